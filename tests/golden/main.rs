//! Compares the output of the running program with recordings, byte for byte. Renaming or moving
//! code must not change the output. Differences are shown line by line.

mod admin;
mod backends;
mod clients;
mod counters;
mod fleet;
mod starts;

use pinetrail_test_harness::{http_200, StubAction, StubServer};

/// Panics with the differing lines if the actual output is not the recorded one.
fn compare(name: &str, recorded: &str, actual: &str) {
    if recorded == actual {
        return;
    }
    let lines = recorded.lines().count().max(actual.lines().count());
    let mut differences = String::new();
    for number in 0..lines {
        let (was, is) = (recorded.lines().nth(number), actual.lines().nth(number));
        if was != is {
            let (was, is) = (was.unwrap_or("(no line)"), is.unwrap_or("(no line)"));
            differences += &format!("{}\n  recorded {was}\n  actual   {is}\n", number + 1);
        }
    }
    panic!("{name} differs from the recording:\n{differences}\nthe complete output:\n{actual}");
}

/// Formats text as one line of a recording, in which quotes are not escaped.
fn escaped(bytes: &str) -> String {
    bytes.escape_debug().to_string().replace("\\\"", "\"").replace("\\'", "'")
}

/// Replaces the digits after each occurrence of `before` by a mark.
fn without_number(text: &str, before: &str, mark: &str) -> String {
    let mut parts = text.split(before);
    let mut out = parts.next().unwrap_or_default().to_owned();
    for part in parts {
        let rest = part.trim_start_matches(|letter: char| letter.is_ascii_digit());
        assert!(rest.len() < part.len(), "a number follows {before:?}: {part:?}");
        out += &format!("{before}{mark}{rest}");
    }
    out
}

fn origin() -> StubServer {
    StubServer::origin(|_| http_200("r7"))
}

fn silent_origin() -> StubServer {
    StubServer::origin(|_| StubAction::Ignore)
}
