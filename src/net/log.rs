//! The program's output, one line at a time: the log on standard error, the counters on standard
//! output. A line that cannot be written is dropped. Danger: `eprintln!` and `println!` panic when
//! nobody reads any more, which would end the proxy.

use std::io::Write;

/// Writes a line to the log.
pub fn log(line: &str) {
    let _ = writeln!(std::io::stderr(), "pinetrail: {line}");
}

/// Writes a line to standard output, where the counters go.
pub fn print(line: &str) {
    let _ = writeln!(std::io::stdout(), "{line}");
}
