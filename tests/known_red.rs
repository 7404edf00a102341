//! What CI makes of a run of the tests with and without a list of known failures: the script on
//! logs of such runs.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const GREEN: &str =
    "running 2 tests\ntest one ... ok\ntest deep::two ... ok\n\ntest result: ok. 2 passed; 0 failed\n";
const RED: &str = "running 2 tests\ntest one ... ok\ntest deep::two ... FAILED\n\nfailures:\n\nfailures:\n    deep::two\n\n\
    test result: FAILED. 1 passed; 1 failed\nerror: test failed, to rerun pass `-p x --test y`\n";
/// What a test prints stands before its verdict.
const NOISY: &str =
    "running 1 test\ntest deep::two ... said this\nFAILED\n\nfailures:\n\nfailures:\n    deep::two\n\n\
    test result: FAILED. 0 passed; 1 failed\nerror: test failed, to rerun pass `-p x --test y`\n";
const CRASHED: &str =
    "running 2 tests\ntest one ... ok\nerror: test failed, to rerun pass `-p x --test y`\n\nCaused by:\n  \
    process didn't exit successfully (signal: 6, SIGABRT: process abort signal)\n";
const LISTED: &str = "deep::two | a node's close crosses the write | 37\n";

fn file(folder: &Path, name: &str, text: &str) -> PathBuf {
    let path = folder.join(name);
    std::fs::write(&path, text).unwrap();
    path
}

fn judged(name: &str, list: Option<&str>, log: &str, code: &str) -> Output {
    let folder = std::env::temp_dir().join(format!("pinetrail-known-red-{}-{name}", std::process::id()));
    std::fs::create_dir_all(&folder).unwrap();
    let listed = list.map_or(folder.join("absent"), |list| file(&folder, "list", list));
    let script = Path::new(env!("CARGO_MANIFEST_DIR")).join(".ci/known-red");
    let output =
        Command::new(script).args([listed, file(&folder, "log", log), code.into()]).output().unwrap();
    std::fs::remove_dir_all(folder).unwrap();
    output
}

#[test]
fn only_what_is_listed_is_passed_over() {
    let twice = format!("{RED}{CRASHED}");
    let four = "one | a | 1\n".to_owned() + &LISTED.repeat(3);
    let cases: [(&str, Option<&str>, &str, &str, bool); 14] = [
        ("green", None, GREEN, "0", true),
        ("green and an empty list", Some("\n"), GREEN, "0", true),
        ("red", None, RED, "101", false),
        ("red and an empty list", Some(""), RED, "101", false),
        ("red and listed", Some(LISTED), RED, "101", true),
        ("red, listed and noisy", Some(LISTED), NOISY, "101", true),
        ("red and another listed", Some("one | why | 37\n"), RED, "101", false),
        ("listed and green", Some(LISTED), GREEN, "0", false),
        ("listed and not there", Some("gone | why | 37\n"), GREEN, "0", false),
        ("four lines", Some(&four), RED, "101", false),
        ("no cause", Some("deep::two |  | 37\n"), RED, "101", false),
        ("no issue", Some("deep::two | why\n"), RED, "101", false),
        ("it did not build", None, "error: could not compile\n", "101", false),
        ("listed, and another program crashed", Some(LISTED), &twice, "101", false),
    ];
    for (name, list, log, code, passes) in cases {
        let output = judged(&name.replace([' ', ','], "-"), list, log, code);
        let words = String::from_utf8_lossy(&output.stdout).into_owned();
        assert_eq!(
            output.status.success(),
            passes,
            "{name}: {words} {}",
            String::from_utf8_lossy(&output.stderr)
        );
        assert_eq!(words.contains("deep::two | "), passes && list == Some(LISTED), "{name}: {words}");
    }
}
