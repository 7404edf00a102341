use super::*;

#[test]
fn a_blocking_set_intersects_every_majority_and_no_smaller_set_does() {
    for size in 1..=15 {
        let voters = VoterSet(size);
        let all = usize::from(size);
        assert!(voters.majority() * 2 > all, "two majorities intersect");
        assert!(voters.blocking() + voters.majority() > all, "a blocking set intersects a majority");
        assert!(voters.blocking() - 1 + voters.majority() <= all, "a smaller set does not");
    }
}
