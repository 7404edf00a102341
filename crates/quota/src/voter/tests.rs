use super::vote_rules::VoteRefusal;
use super::*;
use crate::message::RequestTime;
use std::net::SocketAddr;
use std::time::Duration;

const STARTED_AT: Timestamp = Timestamp::from_millis(10_000);

fn process(host: u8) -> Process {
    Process { address: SocketAddr::from(([10, 0, 0, host], 1)), start: 1 }
}

fn settings() -> Settings {
    Settings::with_defaults((1..=3).map(|host| process(host).address).collect(), 5)
}

fn founding_request(round: u64, candidate: u8) -> VoteRequest {
    VoteRequest {
        ballot: Ballot { round, proposer: process(candidate) },
        sent_at: RequestTime::at(Timestamp::from_millis(1)),
        founding: true,
        is_leader: false,
        view: None,
        proposed_view: None,
    }
}

fn after_start(millis: u64) -> Timestamp {
    STARTED_AT + Duration::from_millis(millis)
}

/// Handles a vote request, and returns whether the vote is granted.
fn vote(voter: &mut Voter, now: Timestamp, request: &VoteRequest) -> bool {
    voter.handle_vote_request(now, request, LeaseRequest::default(), &settings()).vote_granted
}

#[test]
fn a_restarted_founder_refuses_its_vote_until_that_of_its_predecessor_has_expired() {
    let voter = Voter::new(process(2), STARTED_AT);
    let check = |millis| voter.check_vote(after_start(millis), &founding_request(1, 1), &settings());
    // A vote of 1,200 ms may last 1,225 ms on a clock that is 2 percent faster: 24 ms for the skew
    // and 1 ms for rounding.
    assert_eq!(check(1_224), Err(VoteRefusal::PredecessorVoteMayBeActive));
    assert_eq!(check(1_225), Ok(()));
}

#[test]
fn a_vote_is_held_by_one_candidate_until_it_expires() {
    let mut voter = Voter::new(process(2), STARTED_AT);
    assert!(vote(&mut voter, after_start(2_000), &founding_request(1, 1)));
    let other = founding_request(2, 3);
    let refused = voter.check_vote(after_start(3_224), &other, &settings());
    assert_eq!(refused, Err(VoteRefusal::HeldByOtherCandidate));
    assert!(vote(&mut voter, after_start(3_225), &other));
    let earlier_ballot = founding_request(1, 1);
    let refused = voter.check_vote(after_start(9_000), &earlier_ballot, &settings());
    assert_eq!(refused, Err(VoteRefusal::LaterBallotPromised));
}

#[test]
fn a_vote_in_a_view_needs_a_voter_of_the_same_view() {
    let mut voter = Voter::new(process(2), STARTED_AT);
    let ballot = Ballot { round: 1, proposer: process(1) };
    let view = View { ballot, number: 1, voters: vec![process(1), process(3)] };
    let request = VoteRequest { founding: false, view: Some(view.clone()), ..founding_request(2, 1) };
    let now = after_start(2_000);
    assert_eq!(voter.check_vote(now, &request, &settings()), Err(VoteRefusal::ViewMismatch));
    voter.adopt(&view);
    assert_eq!(voter.check_vote(now, &request, &settings()), Err(VoteRefusal::NotVoter));
    let founding = founding_request(3, 1);
    assert_eq!(voter.check_vote(now, &founding, &settings()), Err(VoteRefusal::RecentLeaderContact));
}
