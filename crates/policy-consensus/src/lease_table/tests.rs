use super::*;
use crate::ReplicatedState;

fn process() -> Process {
    Process { name: "n1".into(), start: 5 }
}

fn request(sequence: u64, version: u64) -> LeaseRequest {
    LeaseRequest { sequence, version, wants_lease: true, readiness: None, fails_open: false }
}

fn ready_request(sequence: u64, version: u64) -> LeaseRequest {
    let readiness = ChangeReadiness { change_id: "x".into(), readiness: Readiness::Ready };
    LeaseRequest { readiness: Some(readiness), ..request(sequence, version) }
}

fn view(agreed: &StateSummary) -> VoterView<'_> {
    VoterView { agreed, accepted_version: 1 }
}

fn rejected(rejection: LeaseRejection) -> LeaseDecision {
    LeaseDecision::Rejected(rejection)
}

fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

fn second_version() -> ReplicatedState {
    ReplicatedState { version: 2, ..ReplicatedState::initial("b") }
}

#[test]
fn a_lease_blocks_votes_for_another_version_until_it_expires_or_is_released() {
    let timing = Timing::default();
    let started_at = Instant::now();
    let now = started_at + timing.lease_at_voter() * 2;
    let mut leases = LeaseTable::new(timing, started_at);
    let first = ReplicatedState::initial("a");
    let second = second_version();
    let agreed = first.summary();

    assert_eq!(leases.decide(now, &process(), request(1, 1), view(&agreed)), LeaseDecision::Granted);
    assert_eq!(leases.blocking_leases(now, &first, 1), []);
    assert_eq!(leases.blocking_leases(now, &second, 1).len(), 1);
    let at_holders_expiry = leases.blocking_leases(now + timing.lease_duration, &second, 1);
    assert_eq!(at_holders_expiry.len(), 1, "the holder's clock may be slower than the voter's");
    assert_eq!(leases.blocking_leases(now + timing.lease_at_voter(), &second, 1), []);

    let release = LeaseRequest { wants_lease: false, ..request(2, 1) };
    assert_eq!(leases.decide(now, &process(), release, view(&agreed)), rejected(LeaseRejection::Released));
    assert_eq!(leases.blocking_leases(now, &second, 1), []);
    let late = leases.decide(now, &process(), request(2, 1), view(&agreed));
    assert_eq!(late, rejected(LeaseRejection::OutdatedRequest), "a late request changes nothing");
    assert_eq!(leases.blocking_leases(now, &second, 1), []);
}

#[test]
fn no_lease_is_granted_for_a_version_that_is_not_agreed_or_is_being_replaced() {
    let now = Instant::now();
    let mut leases = LeaseTable::new(Timing::default(), now);
    let open = ReplicatedState::initial("a").propose("x", 1, "b", "n0").unwrap();
    let agreed = open.summary();

    let not_active = leases.decide(now, &process(), request(1, 2), view(&agreed));
    assert_eq!(not_active, rejected(LeaseRejection::OtherVersion));
    let accepted_later = VoterView { agreed: &agreed, accepted_version: 2 };
    let outdated = leases.decide(now, &process(), request(2, 1), accepted_later);
    assert_eq!(outdated, rejected(LeaseRejection::OtherVersion), "this voter accepted a later version");
    assert_eq!(leases.decide(now, &process(), request(3, 1), view(&agreed)), LeaseDecision::Granted);

    let strict = open.advance("x", 1, Stage::Preparing { strict: true }).unwrap();
    let agreed = strict.summary();
    let unready = leases.decide(now, &process(), request(4, 1), view(&agreed));
    assert_eq!(unready, rejected(LeaseRejection::NotReady));
    assert_eq!(leases.decide(now, &process(), ready_request(5, 1), view(&agreed)), LeaseDecision::Granted);

    let agreed = strict.advance("x", 1, Stage::Closing).unwrap().summary();
    let closing = leases.decide(now, &process(), ready_request(6, 1), view(&agreed));
    assert_eq!(closing, rejected(LeaseRejection::ChangeClosing));

    assert_eq!(leases.holders(now + ms(2100), "x"), []);
    let unexpired = LeaseHolder { name: "n1".to_owned(), is_ready: true, remaining: ms(2041) };
    assert_eq!(leases.holders(now, "x")[0], unexpired, "the lease that was granted earlier still counts");
}

#[test]
fn a_process_that_fails_open_is_listed_unless_it_released_its_lease() {
    let now = Instant::now();
    let mut leases = LeaseTable::new(Timing::default(), now);
    let agreed = ReplicatedState::initial("a").summary();
    let fails_open = LeaseRequest { fails_open: true, ..request(1, 1) };
    assert_eq!(leases.decide(now, &process(), fails_open, view(&agreed)), LeaseDecision::Granted);
    assert_eq!(leases.failing_open(now), Vec::<String>::new());

    let later = now + ms(60_000);
    leases.remove_idle(later, Duration::from_secs(30));
    assert_eq!(leases.failing_open(later), ["n1"]);

    let release = LeaseRequest { wants_lease: false, fails_open: true, ..request(2, 1) };
    leases.decide(later, &process(), release, view(&agreed));
    assert_eq!(leases.failing_open(later), Vec::<String>::new());
}

#[test]
fn a_restarted_voter_does_not_vote_for_the_duration_of_a_lease() {
    let now = Instant::now();
    let leases = LeaseTable::new(Timing::default(), now);
    let second = second_version();
    assert_eq!(leases.blocking_leases(now, &second, 1).len(), 1);
    assert_eq!(
        leases.blocking_leases(now, &second, 2),
        [],
        "the voter accepted that version before its restart"
    );
    assert_eq!(leases.blocking_leases(now + ms(2100), &second, 1), []);
}
