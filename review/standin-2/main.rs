//! The cases of the second review. `case NAME FOLDER` runs one; its exit is 0 if the rule held, 1 if
//! it was broken, 2 if the case could not run.

mod behind;
mod kit;
mod lengths;
mod memory;
mod restart;
mod twice;

use kit::{Outcome, Record, Verdict};
use std::panic::catch_unwind;
use std::thread;
use std::time::Duration;

/// A case that takes longer could not run.
const LONGEST_RUN: Duration = Duration::from_secs(110);

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let (Some(name), Some(folder)) = (arguments.get(1), arguments.get(2)) else {
        eprintln!("usage: case NAME FOLDER");
        std::process::exit(2);
    };
    let Ok(record) = Record::open(folder) else {
        eprintln!("no record can be written in {folder}");
        std::process::exit(2);
    };
    let run: fn(&Record) -> Outcome = match name.as_str() {
        "behind" => behind::run,
        "lengths" => lengths::run,
        "memory" => memory::run,
        "restart" => restart::run,
        "twice" => twice::run,
        _ => |_| Err("no such case".to_owned()),
    };
    let watched = record.clone();
    thread::spawn(move || {
        thread::sleep(LONGEST_RUN);
        watched.line("verdict: could not run: it took too long");
        kit::end_processes();
        std::process::exit(2);
    });
    let outcome = catch_unwind(|| run(&record)).unwrap_or_else(|_| Err("the stand-in panicked".to_owned()));
    kit::end_processes();
    let (code, text) = match outcome {
        Ok(Verdict::Held) => (0, "held".to_owned()),
        Ok(Verdict::Broken) => (1, "BROKEN".to_owned()),
        Err(reason) => (2, format!("could not run: {reason}")),
    };
    record.line(&format!("verdict: {text}"));
    println!("{name}: {text}");
    std::process::exit(code);
}
