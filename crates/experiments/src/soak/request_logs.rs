//! The request logs of the proxies of a soak, from which the report of a violation takes the lines
//! about its request: [`RequestLogs`].

use pinetrail_test_harness::{keep_request_logs, run_folder};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: f64 = 86_400.0;
/// The time before the first and after the last log line of a request for which the faults of the
/// same process are shown.
const FAULT_WINDOW: Duration = Duration::from_millis(500);
/// The byte range of the time of day in a log line.
const TIME_OF_DAY: std::ops::Range<usize> = 11..26;

/// A line of a log.
#[derive(Clone, Debug)]
pub(super) struct LogLine {
    /// The time at which the line was written.
    pub at: Instant,
    /// The text of the line without the time.
    pub text: String,
}

/// The folder to which the proxies write their request logs.
pub(super) struct RequestLogs {
    folder: PathBuf,
    /// The reference time for conversions, by the monotonic clock.
    reference: Instant,
    /// The reference time by the wall clock, in seconds since midnight UTC.
    reference_seconds: f64,
}

impl RequestLogs {
    /// Makes all proxies that are started after this call write request logs.
    ///
    /// # Errors
    ///
    /// If the folder for the logs cannot be created.
    pub(super) fn enable() -> io::Result<RequestLogs> {
        let folder = run_folder().join("logs");
        std::fs::create_dir_all(&folder)?;
        keep_request_logs(folder.clone());
        Ok(RequestLogs::in_folder(folder))
    }

    /// Reads the logs from a folder, which need not exist.
    #[allow(clippy::disallowed_methods, reason = "log lines have wall-clock times")]
    pub(super) fn in_folder(folder: PathBuf) -> RequestLogs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let reference_seconds = since_epoch.as_secs_f64() % SECONDS_PER_DAY;
        RequestLogs { folder, reference: Instant::now(), reference_seconds }
    }

    /// Removes the logs of earlier runs, whose requests have the same ids.
    pub(super) fn clear(&self) {
        for path in self.files() {
            // A file that cannot be removed only adds lines of other runs to reports.
            let _ = std::fs::remove_file(path);
        }
    }

    /// Returns the lines about a request and the faults that the same process logged around them,
    /// in the order of time.
    pub(super) fn lines_of(&self, id: &str) -> Vec<LogLine> {
        // Proxies log ids without the letter `O` of the protocol's flag.
        let quoted = format!("id=\"{}\"", id.trim_start_matches('O'));
        let mut found = Vec::new();
        for path in self.files() {
            let text = std::fs::read_to_string(path).unwrap_or_default();
            let own: Vec<LogLine> = text
                .lines()
                .filter(|line| line.contains(&quoted))
                .filter_map(|line| self.parse(line))
                .collect();
            let Some(first) = own.first() else { continue };
            let from = first.at.checked_sub(FAULT_WINDOW).unwrap_or(first.at);
            let until = own.last().unwrap_or(first).at + FAULT_WINDOW;
            let faults =
                text.lines().filter(|line| line.contains(" fault: ")).filter_map(|line| self.parse(line));
            found.extend(faults.filter(|fault| fault.at >= from && fault.at <= until));
            found.extend(own);
        }
        found.sort_by_key(|line| line.at);
        found
    }

    fn files(&self) -> Vec<PathBuf> {
        let Ok(entries) = std::fs::read_dir(&self.folder) else { return Vec::new() };
        entries.filter_map(Result::ok).map(|entry| entry.path()).collect()
    }

    /// Parses a line that begins with a time such as `2026-12-03T12:00:00.000000Z`. Returns none
    /// for another line.
    fn parse(&self, line: &str) -> Option<LogLine> {
        let mut fields = line.get(TIME_OF_DAY)?.split(':');
        let mut next = || fields.next()?.parse::<f64>().ok();
        let (hours, minutes, seconds) = (next()?, next()?, next()?);
        let of_day = (hours * 60.0 + minutes) * 60.0 + seconds;
        let after = (of_day - self.reference_seconds).rem_euclid(SECONDS_PER_DAY);
        let text = line.get(TIME_OF_DAY.end + 1..)?.trim().to_owned();
        Some(LogLine { at: self.reference + Duration::from_secs_f64(after), text })
    }
}
