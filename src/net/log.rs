//! Writes the program's output line by line: the log to standard error, the counters to standard
//! output. Read [`log`] first.
//!
//! Note: a line that cannot be written is dropped. `eprintln!` and `println!` would panic if the
//! reader has closed the pipe, and that would end the proxy.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The maximum number of fault lines written in one [`FAULT_PERIOD`].
const MAX_FAULT_LINES: u32 = 10;
/// The period over which fault lines are counted.
const FAULT_PERIOD: Duration = Duration::from_secs(1);

/// The rate limiter for fault lines.
struct FaultRateLimiter {
    period_started: Option<Instant>,
    written: u32,
    suppressed: u32,
}

static LIMITER: Mutex<FaultRateLimiter> =
    Mutex::new(FaultRateLimiter { period_started: None, written: 0, suppressed: 0 });

/// Writes a line about a fault: an event that loses a request, or would lose it without a second
/// safeguard. At most ten lines a second are written; the number of suppressed ones is written with
/// the next line.
pub fn log_fault(line: &str) {
    let Some(suppressed) = LIMITER.lock().unwrap_or_else(PoisonError::into_inner).admit() else { return };
    if suppressed > 0 {
        log(&format!("FAULT: {suppressed} lines about faults were suppressed to limit the rate"));
    }
    log(&format!("FAULT: {line}"));
    // The request log, if enabled, shows the line with its time.
    tracing::warn!(target: "fault", "{line}");
}

impl FaultRateLimiter {
    /// Decides whether a fault line is written. If so, returns how many lines were suppressed
    /// before it.
    ///
    /// Inputs: the number of lines in the current period, and the age of the period.
    /// Reason: a fault that repeats must not fill the log.
    /// Source: docs/on-call.md.
    fn admit(&mut self) -> Option<u32> {
        let now = Instant::now();
        if self.period_started.is_none_or(|started| now.duration_since(started) >= FAULT_PERIOD) {
            self.period_started = Some(now);
            self.written = 0;
        }
        if self.written == MAX_FAULT_LINES {
            self.suppressed += 1;
            return None;
        }
        self.written += 1;
        Some(std::mem::take(&mut self.suppressed))
    }
}

/// Writes a line to the log.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "pinetrail: {line}");
}

/// Writes a line to standard output, which is for the counters.
pub fn print(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}
