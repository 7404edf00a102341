//! The program's output, one line at a time: the log on standard error, the counters on standard
//! output. A line that cannot be written is dropped. Danger: `eprintln!` and `println!` panic when
//! nobody reads any more, which would end the proxy.

use std::io::Write;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

/// Lines about faults that are written within [`FAULT_PERIOD`] at the most.
const FAULT_LINES: u32 = 10;
/// See [`FAULT_LINES`].
const FAULT_PERIOD: Duration = Duration::from_secs(1);

/// How many lines about faults were written lately.
struct FaultLines {
    period_began: Option<Instant>,
    written: u32,
    suppressed: u32,
}

/// Guards the count only.
static FAULTS: Mutex<FaultLines> = Mutex::new(FaultLines { period_began: None, written: 0, suppressed: 0 });

/// Writes a line about a fault: something that loses a request, or would without a second guard.
/// Beyond a few in a second they are only counted.
pub fn log_fault(line: &str) {
    let Some(suppressed) = FAULTS.lock().unwrap_or_else(PoisonError::into_inner).admit() else { return };
    if suppressed > 0 {
        log(&format!("FAULT: {suppressed} more lines were left out"));
    }
    log(&format!("FAULT: {line}"));
}

impl FaultLines {
    /// How many lines were left out before this one; none if it is left out too.
    fn admit(&mut self) -> Option<u32> {
        let now = Instant::now();
        if self.period_began.is_none_or(|began| now.duration_since(began) >= FAULT_PERIOD) {
            self.period_began = Some(now);
            self.written = 0;
        }
        if self.written == FAULT_LINES {
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
