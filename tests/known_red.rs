//! Tests of `.ci/known-red`, the script that decides from the log of a test run and a list of known
//! failures whether CI passes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const GREEN: &str =
    "running 2 tests\ntest one ... ok\ntest deep::two ... ok\n\ntest result: ok. 2 passed; 0 failed\n";
const RED: &str = "running 2 tests\ntest one ... ok\ntest deep::two ... FAILED\n\nfailures:\n\nfailures:\n    deep::two\n\n\
    test result: FAILED. 1 passed; 1 failed\nerror: test failed, to rerun pass `-p x --test y`\n";
/// A log in which the output of a test stands between its name and its result.
const NOISY: &str =
    "running 1 test\ntest deep::two ... said this\nFAILED\n\nfailures:\n\nfailures:\n    deep::two\n\n\
    test result: FAILED. 0 passed; 1 failed\nerror: test failed, to rerun pass `-p x --test y`\n";
const CRASHED: &str =
    "running 2 tests\ntest one ... ok\nerror: test failed, to rerun pass `-p x --test y`\n\nCaused by:\n  \
    process didn't exit successfully (signal: 6, SIGABRT: process abort signal)\n";
const FIVE_RED: &str =
    "running 5 tests\ntest a ... FAILED\ntest b ... FAILED\ntest c ... FAILED\ntest d ... FAILED\ntest e ... FAILED\n\n\
    failures:\n\nfailures:\n    a\n    b\n    c\n    d\n    e\n\n\
    test result: FAILED. 0 passed; 5 failed\nerror: test failed, to rerun pass `-p x --test y`\n";
const LISTED: &str = "deep::two | cargo test --test y, seed 7 | a node's close crosses the write | 37\n";

/// A test run, a list of known failures, and whether CI passes with them.
struct Case {
    name: &'static str,
    list: Option<String>,
    log: String,
    exit_code: &'static str,
    passes: bool,
}

fn accepted(name: &'static str, list: Option<&str>, log: &str, exit_code: &'static str) -> Case {
    Case { name, list: list.map(str::to_owned), log: log.to_owned(), exit_code, passes: true }
}

fn rejected(name: &'static str, list: Option<&str>, log: &str, exit_code: &'static str) -> Case {
    Case { passes: false, ..accepted(name, list, log, exit_code) }
}

/// Returns a list with one entry for each of these tests.
fn entries(tests: &[&str]) -> String {
    tests.iter().map(|test| format!("{test} | cargo test {test}, seed 1 | it stops | 37\n")).collect()
}

fn write_file(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn run_script(case: &Case) -> Output {
    let name = case.name.replace([' ', ','], "-");
    let folder = std::env::temp_dir().join(format!("pinetrail-known-red-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let list = case.list.as_deref().map_or(folder.join("absent"), |list| write_file(&folder, "list", list));
    let log = write_file(&folder, "log", &case.log);
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let output = Command::new(script).args([list, log, case.exit_code.into()]).output().unwrap();
    std::fs::remove_dir_all(folder).unwrap();
    output
}

/// Runs the script on each case. The script must print every entry of a list that it accepts, and
/// no other entry.
fn check(cases: &[Case]) {
    for case in cases {
        let output = run_script(case);
        let name = case.name;
        let stdout = String::from_utf8_lossy(&output.stdout).into_owned();
        let stderr = String::from_utf8_lossy(&output.stderr);
        assert_eq!(output.status.success(), case.passes, "{name}: {stdout} {stderr}");
        let list = case.list.as_deref().unwrap_or_default();
        let printed: Vec<&str> = stdout.lines().filter(|line| line.contains(" | ")).collect();
        let expected: Vec<&str> =
            list.lines().filter(|line| case.passes && !line.trim().is_empty()).collect();
        assert_eq!(printed, expected, "{name}: printed entries");
    }
}

#[test]
fn only_listed_failures_are_passed_over_and_each_entry_is_printed() {
    let crashed_too = format!("{RED}{CRASHED}");
    let five = entries(&["a", "b", "c", "d", "e"]);
    let four = entries(&["a", "b", "c", "d"]);
    check(&[
        accepted("green", None, GREEN, "0"),
        accepted("green and an empty list", Some("\n"), GREEN, "0"),
        accepted("red and listed", Some(LISTED), RED, "101"),
        accepted("red, listed and noisy", Some(LISTED), NOISY, "101"),
        accepted("five red and listed", Some(&five), FIVE_RED, "101"),
        rejected("red", None, RED, "101"),
        rejected("red and an empty list", Some(""), RED, "101"),
        rejected("red and another listed", Some(&entries(&["one"])), RED, "101"),
        rejected("five red and four listed", Some(&four), FIVE_RED, "101"),
        rejected("one red and both listed", Some(&(entries(&["one"]) + LISTED)), RED, "101"),
        rejected("listed and green", Some(LISTED), GREEN, "0"),
        rejected("listed and not there", Some(&entries(&["gone"])), GREEN, "0"),
        rejected("build failed", None, "error: could not compile\n", "101"),
        rejected("listed, and another program crashed", Some(LISTED), &crashed_too, "101"),
    ]);
}

#[test]
fn a_test_that_is_listed_as_failing_at_times_may_pass_or_fail() {
    let at_times = "deep::two | cargo test --test y, seed 7 | at times: it stops | 37\n";
    let green = GREEN.replace("one", "deep::two");
    check(&[
        accepted("at times, red", Some(at_times), RED, "101"),
        accepted("at times, green", Some(at_times), &green, "0"),
        rejected("at times, another red", Some(&at_times.replace("deep::two", "one")), RED, "101"),
        rejected("at times, not there", Some(&at_times.replace("deep::two", "gone")), &green, "0"),
        rejected("at times, no observation", Some(&at_times.replace("it stops", "")), &green, "0"),
        rejected(
            "the mark in another field",
            Some(&entries(&["deep::two"]).replace("37", "at times: 37")),
            &green,
            "0",
        ),
    ]);
}

#[test]
fn an_entry_needs_test_command_observation_and_issue() {
    check(&[
        rejected("no command", Some("deep::two |  | it stops | 37\n"), RED, "101"),
        rejected("no observation", Some("deep::two | cargo test, seed 7 |  | 37\n"), RED, "101"),
        rejected("no issue", Some("deep::two | cargo test, seed 7 | it stops | \n"), RED, "101"),
        rejected("no test", Some(" | cargo test, seed 7 | it stops | 37\n"), RED, "101"),
        rejected("three fields", Some("deep::two | it stops | 37\n"), RED, "101"),
        rejected("two fields", Some("deep::two | why\n"), RED, "101"),
        rejected("five fields", Some("deep::two | cargo test | seed 7 | it stops | 37\n"), RED, "101"),
        rejected("two entries for a test", Some(&LISTED.repeat(2)), RED, "101"),
    ]);
}
