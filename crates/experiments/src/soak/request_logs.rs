//! The request logs of the proxies of a soak, of which a violation shows the lines that concern it:
//! [`RequestLogs`].

use pinetrail_test_harness::{keep_request_logs, run_folder};
use std::io;
use std::path::PathBuf;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

const SECONDS_PER_DAY: f64 = 86_400.0;
/// Faults that a proxy logged within this time of a violation are shown with it.
const FAULT_WINDOW: Duration = Duration::from_millis(500);
/// Where the time of the day begins in a line, and where it ends.
const TIME_OF_DAY: std::ops::Range<usize> = 11..26;

/// A line of a log.
#[derive(Clone, Debug)]
pub(super) struct LogLine {
    /// When it was written.
    pub at: Instant,
    /// Its text, without the time.
    pub text: String,
}

/// The files in which the proxies write their request logs.
pub(super) struct RequestLogs {
    folder: PathBuf,
    /// One moment by both clocks.
    reference: Instant,
    /// In seconds of the day, UTC.
    reference_seconds: f64,
}

impl RequestLogs {
    /// Has all proxies that are started from now on write their request logs.
    ///
    /// # Errors
    ///
    /// If the folder for them cannot be made.
    pub(super) fn enable() -> io::Result<RequestLogs> {
        let folder = run_folder().join("logs");
        std::fs::create_dir_all(&folder)?;
        keep_request_logs(folder.clone());
        Ok(RequestLogs::in_folder(folder))
    }

    /// The logs in a folder, which need not exist.
    #[allow(clippy::disallowed_methods, reason = "logs have the time of the wall clock")]
    pub(super) fn in_folder(folder: PathBuf) -> RequestLogs {
        let since_epoch = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let reference_seconds = since_epoch.as_secs_f64() % SECONDS_PER_DAY;
        RequestLogs { folder, reference: Instant::now(), reference_seconds }
    }

    /// Removes the logs of earlier runs, whose requests have the same ids.
    pub(super) fn clear(&self) {
        for path in self.files() {
            // A file that stays only shows lines that do not belong to the run.
            let _ = std::fs::remove_file(path);
        }
    }

    /// The lines about a request, and the faults that the same process logged around them.
    pub(super) fn lines_of(&self, id: &str) -> Vec<LogLine> {
        // Proxies log ids without the letter of the protocol's flag.
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

    /// A line that begins with a time such as `2026-12-03T12:00:00.000000Z`.
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
