//! The program's output, one line at a time: the log on standard error, the counters on standard
//! output.
//!
//! Note: a line that cannot be written is dropped. `eprintln!` and `println!` panic when the reader
//! has closed the pipe, which would end the proxy.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// The most lines about faults that are written in one [`FAULT_PERIOD`].
const MAX_FAULT_LINES: u32 = 10;
/// The period over which lines about faults are counted.
const FAULT_PERIOD: Duration = Duration::from_secs(1);

/// The rate limiter for lines about faults.
struct FaultRateLimiter {
    period_started: Option<Instant>,
    written: u32,
    suppressed: u32,
}

static LIMITER: Mutex<FaultRateLimiter> =
    Mutex::new(FaultRateLimiter { period_started: None, written: 0, suppressed: 0 });

/// Writes a line about a fault: an event that loses a request, or that would lose it without a
/// second safeguard. At most ten lines a second are written; the others are only counted.
pub fn log_fault(line: &str) {
    let Some(suppressed) = LIMITER.lock().unwrap_or_else(PoisonError::into_inner).admit() else { return };
    if suppressed > 0 {
        log(&format!("FAULT: {suppressed} more lines were suppressed"));
    }
    log(&format!("FAULT: {line}"));
    // With its time, where the request log is on.
    tracing::warn!(target: "fault", "{line}");
}

impl FaultRateLimiter {
    /// Decides: whether a line about a fault is written; if so, how many were suppressed before it.
    /// Inputs: the lines of the present period, and its age.
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

/// Writes a line to standard output, where the counters go.
pub fn print(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}
