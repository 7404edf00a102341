use super::*;

fn one(sent: Time, answered: Time, version: u64, proxy: &str) -> PolicyDecision {
    PolicyDecision { sent, answered, version, proxy: proxy.into() }
}

fn wrong(decided: &[PolicyDecision]) -> usize {
    check_policies(decided, 0.0).unwrap().len()
}

#[test]
fn a_moment_is_one_for_all() {
    let good = [one(0.0, 5.0, 1, "a"), one(3.0, 6.0, 2, "b"), one(4.0, 9.0, 1, "a"), one(7.0, 8.0, 2, "a")];
    assert_eq!(wrong(&good), 0, "all may have been admitted at one side of 5");
    let late = [one(0.0, 5.0, 2, "b"), one(6.0, 7.0, 1, "a")];
    assert_eq!(wrong(&late), 1);
    assert_eq!(wrong(&[one(0.0, 5.0, 2, "a"), one(6.0, 7.0, 1, "a")]), 1, "nor does one proxy go back");
    assert_eq!(wrong(&[one(0.0, 5.0, 3, "a"), one(6.0, 7.0, 1, "b"), one(8.0, 9.0, 2, "b")]), 2);
    assert_eq!(check_policies(&late, 2.0), Ok(vec![]), "clocks are read one after the other");
}

#[test]
fn what_shows_nothing_is_not_judged() {
    assert_eq!(check_policies(&[], 0.0), Err(CheckError::Empty));
    assert_eq!(check_policies(&[one(5.0, 4.0, 1, "a")], 0.0), Err(CheckError::OutOfOrder(0)));
}
