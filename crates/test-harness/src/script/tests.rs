use super::*;

#[test]
fn a_script_reads_as_it_is_written_and_a_seed_draws_the_same() {
    let text =
        "0 sides 0,1,2|3,4\n200 kill 1 # and so on\n\n900 heal\n950 start 1\n1000 loss 5\n1100 node 2 down\n";
    let script = Script::parse(text).unwrap();
    assert_eq!(Script::parse(&script.to_string()), Ok(script.clone()));
    assert_eq!(script.0.len(), 6);
    let drawn = Script::from_seed(3, 5, 20, 10_000);
    assert_eq!(drawn, Script::from_seed(3, 5, 20, 10_000));
    assert_ne!(drawn, Script::from_seed(4, 5, 20, 10_000));
    assert_eq!(Script::parse(&drawn.to_string()), Ok(drawn));
    for bad in ["kill 1", "5 kill", "5 kill x", "5 kill 1 2", "5 sides 1|x", "5 loss 101", "x heal", "5 harm"]
    {
        assert!(Script::parse(bad).unwrap_err().starts_with("line 1"), "{bad}");
    }
}
