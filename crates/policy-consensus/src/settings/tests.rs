use super::*;

#[test]
fn whoever_blocks_is_in_every_majority() {
    for seats in 1..=15 {
        let (all, seats) = (usize::from(seats), VoterSet(seats));
        assert!(seats.majority() * 2 > all, "two majorities meet");
        assert!(seats.blocking() + seats.majority() > all, "a majority meets who blocks");
        assert!(seats.blocking() - 1 + seats.majority() <= all, "and no fewer do");
    }
}
