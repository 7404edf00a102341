//! Runs one case of the review: `standin CASE FOLDER` writes `record.txt` into the folder and exits with 1 if the
//! rule was broken, 0 if it held, 2 if the case could not run. `TROUBLE=0` leaves the disruption out.
//!
//! `standin` has the stand-ins and the proxy as a process, `deployment` the settings and a small deployment, `cases`
//! one module for each case.

mod cases;
mod deployment;
mod standin;

use deployment::{Case, Verdict};
use standin::{kill_started, ms, temporary_folder, Record};
use std::panic::AssertUnwindSafe;
use std::path::PathBuf;
use std::process::exit;
use std::thread;

/// The longest time of a case; it is ended after that.
const LONGEST_RUN_MS: u64 = 110_000;

fn main() {
    let arguments: Vec<String> = std::env::args().collect();
    let [_, name, target] = &arguments[..] else {
        eprintln!("usage: standin CASE FOLDER");
        exit(2);
    };
    let Ok(record) = Record::create(&PathBuf::from(target).join("record.txt")) else {
        eprintln!("the record cannot be created in {target}");
        exit(2);
    };
    let trouble = std::env::var("TROUBLE").map_or(true, |value| value != "0");
    let root = std::env::current_dir().expect("the current folder can be read");
    let folder = temporary_folder();
    let case = Case { root, folder: folder.clone(), record: record.clone(), trouble };
    record.line(&format!("case {name}, disruption {}", if trouble { "on" } else { "off" }));
    let watchdog_record = record.clone();
    thread::spawn(move || {
        thread::sleep(ms(LONGEST_RUN_MS));
        watchdog_record.line("the case could not run: it took too long");
        kill_started();
        exit(2);
    });
    let verdict = std::panic::catch_unwind(AssertUnwindSafe(|| cases::run(name, &case)))
        .unwrap_or_else(|_| Err("the case panicked".to_owned()));
    kill_started();
    let _ = std::fs::remove_dir_all(&folder);
    let (text, code) = match verdict {
        Ok(Verdict::Held) => ("the rule held".to_owned(), 0),
        Ok(Verdict::Broken(what)) => (format!("the rule was broken: {what}"), 1),
        Err(why) => (format!("the case could not run: {why}"), 2),
    };
    record.line(&text);
    println!("{text}");
    exit(code);
}
