use super::*;

#[test]
fn a_script_shows_what_the_members_heard_and_refuses_what_is_not_there() {
    let script = Script::parse("100 kill 2\n9000 start 2\n").unwrap();
    let lines = play(&script, 5, 1).unwrap();
    let heard = |words: &str| lines.iter().filter(|line| line.contains(words)).count();
    assert_eq!((heard("fault  kill 2"), heard("n0002 failed")), (1, 4), "{lines:?}");
    assert_eq!(play(&script, 5, 1), Ok(lines.clone()));
    assert!(play(&Script::parse("1 kill 7").unwrap(), 5, 1).unwrap_err().contains("5 members only"));
}
