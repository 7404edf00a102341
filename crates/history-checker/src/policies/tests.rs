use super::*;

fn decision(sent: Time, answered: Time, version: u64, proxy: &str) -> PolicyDecision {
    PolicyDecision { sent, answered, version, proxy: proxy.into() }
}

fn violations(decisions: &[PolicyDecision]) -> usize {
    check_policies(decisions, 0.0).unwrap().len()
}

#[test]
fn a_decision_by_an_old_version_after_one_by_a_newer_version_is_a_violation() {
    let good = [
        decision(0.0, 5.0, 1, "a"),
        decision(3.0, 6.0, 2, "b"),
        decision(4.0, 9.0, 1, "a"),
        decision(7.0, 8.0, 2, "a"),
    ];
    assert_eq!(violations(&good), 0, "version 2 can have become active at 5 ms");
    let late = [decision(0.0, 5.0, 2, "b"), decision(6.0, 7.0, 1, "a")];
    assert_eq!(violations(&late), 1);
    let one_proxy = [decision(0.0, 5.0, 2, "a"), decision(6.0, 7.0, 1, "a")];
    assert_eq!(violations(&one_proxy), 1, "a proxy must not go back to an old version either");
    let three_versions = [decision(0.0, 5.0, 3, "a"), decision(6.0, 7.0, 1, "b"), decision(8.0, 9.0, 2, "b")];
    assert_eq!(violations(&three_versions), 2);
    assert_eq!(check_policies(&late, 2.0), Ok(vec![]), "1 ms is within the clock error of 2 ms");
}

#[test]
fn decisions_that_show_nothing_are_not_judged() {
    assert_eq!(check_policies(&[], 0.0), Err(CheckError::Empty));
    let backwards = [decision(5.0, 4.0, 1, "a")];
    assert_eq!(check_policies(&backwards, 0.0), Err(CheckError::OutOfOrder(0)));
}
