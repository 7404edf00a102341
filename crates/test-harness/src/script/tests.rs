use super::*;

#[test]
fn a_script_is_written_as_it_is_read() {
    let text =
        "0 sides 0,1,2|3,4\n200 kill 1 # and so on\n\n900 heal\n950 start 1\n1000 loss 5\n1100 node 2 down\n";

    let script = Script::parse(text).unwrap();

    assert_eq!(script.steps.len(), 6);
    assert_eq!(Script::parse(&script.to_string()), Ok(script));
}

#[test]
fn a_seed_draws_the_same_script_each_time_and_another_seed_another() {
    let drawn = Script::from_seed(3, 5, 20, 10_000);

    assert_eq!(drawn, Script::from_seed(3, 5, 20, 10_000));
    assert_ne!(drawn, Script::from_seed(4, 5, 20, 10_000));
    assert_eq!(Script::parse(&drawn.to_string()), Ok(drawn));
}

#[test]
fn a_line_that_is_no_fault_is_an_error_that_names_it() {
    let bad_lines =
        ["kill 1", "5 kill", "5 kill x", "5 kill 1 2", "5 sides 1|x", "5 loss 101", "x heal", "5 harm"];

    for bad in bad_lines {
        let error = Script::parse(bad).unwrap_err();

        assert_eq!(error, ScriptError::NoFault { line: 1, text: bad.to_owned() });
        assert!(error.to_string().starts_with("line 1"), "{bad:?}: {error}");
    }
}
