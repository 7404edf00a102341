use super::*;
use crate::ReplicatedState;

fn who() -> Process {
    Process { name: "n1".into(), start: 5 }
}

fn asked(number: u64, version: u64) -> LeaseRequest {
    LeaseRequest { number, version, admits: true, word: None, serves_on: false }
}

fn later(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

#[test]
fn a_permit_keeps_votes_back_until_it_has_ended_or_is_given_up() {
    let times = Timing::default();
    let began = Instant::now();
    let now = began + times.counted() * 2;
    let mut grants = LeaseTable::new(times, began);
    let (one, two) =
        (ReplicatedState::initial("a"), ReplicatedState { version: 2, ..ReplicatedState::initial("b") });
    assert!(grants.ask(now, &who(), asked(1, 1), &one.summary(), 1));
    assert_eq!(grants.block(now, &one, 1), []);
    assert_eq!(grants.block(now, &two, 1).len(), 1);
    assert_eq!(grants.block(now + times.permit, &two, 1).len(), 1, "its holder's clock may be slower");
    assert_eq!(grants.block(now + times.counted(), &two, 1), []);
    assert!(!grants.ask(now, &who(), LeaseRequest { admits: false, ..asked(2, 1) }, &one.summary(), 1));
    assert_eq!(grants.block(now, &two, 1), []);
    assert!(!grants.ask(now, &who(), asked(2, 1), &one.summary(), 1), "a late word changes nothing");
    assert_eq!(grants.block(now, &two, 1), []);
}

#[test]
fn no_permit_for_what_is_not_agreed_or_is_about_to_end() {
    let now = Instant::now();
    let mut grants = LeaseTable::new(Timing::default(), now);
    let one = ReplicatedState::initial("a").open("x", 1, "b", "n0").unwrap();
    assert!(!grants.ask(now, &who(), asked(1, 2), &one.summary(), 1), "it is not in force");
    assert!(!grants.ask(now, &who(), asked(2, 1), &one.summary(), 2), "this founder voted beyond it");
    assert!(grants.ask(now, &who(), asked(3, 1), &one.summary(), 1));
    let strict = one.at("x", 1, Stage::Preparing { strict: true }).unwrap();
    assert!(!grants.ask(now, &who(), asked(4, 1), &strict.summary(), 1), "it is not ready");
    let ready = LeaseRequest { word: Some(("x".into(), Readiness::Ready)), ..asked(5, 1) };
    assert!(grants.ask(now, &who(), ready, &strict.summary(), 1));
    let closing = strict.at("x", 1, Stage::Closing).unwrap();
    let ready = LeaseRequest { word: Some(("x".into(), Readiness::Ready)), ..asked(6, 1) };
    assert!(!grants.ask(now, &who(), ready, &closing.summary(), 1));
    let later = now + later(2100);
    assert_eq!(grants.holders(later, "x"), []);
    assert_eq!(grants.holders(now, "x")[0], ("n1".to_owned(), true, 2041), "what it has still counts");
}

#[test]
fn who_goes_on_without_a_permit_is_named_unless_it_gave_it_up() {
    let now = Instant::now();
    let mut grants = LeaseTable::new(Timing::default(), now);
    let head = ReplicatedState::initial("a").summary();
    assert!(grants.ask(now, &who(), LeaseRequest { serves_on: true, ..asked(1, 1) }, &head, 1));
    assert_eq!(grants.serving_on(now), Vec::<String>::new());
    let later = now + later(60_000);
    grants.forget(later, Duration::from_secs(30));
    assert_eq!(grants.serving_on(later), ["n1"]);
    grants.ask(later, &who(), LeaseRequest { admits: false, serves_on: true, ..asked(2, 1) }, &head, 1);
    assert_eq!(grants.serving_on(later), Vec::<String>::new());
}

#[test]
fn a_founder_that_has_just_started_keeps_its_vote_for_a_permits_time() {
    let now = Instant::now();
    let grants = LeaseTable::new(Timing::default(), now);
    let two = ReplicatedState { version: 2, ..ReplicatedState::initial("b") };
    assert_eq!(grants.block(now, &two, 1).len(), 1);
    assert_eq!(grants.block(now, &two, 2), [], "it voted for that before");
    assert_eq!(grants.block(now + later(2100), &two, 1), []);
}
