use super::*;

const OWN: VoterId = VoterId(0);
const OTHER: VoterId = VoterId(1);
const THIRD: VoterId = VoterId(2);

fn ballot(round: u64) -> Ballot {
    Ballot { round, proposer: 1 }
}

fn accepted(round: u64) -> AcceptedState {
    AcceptedState { ballot: ballot(round), state: ReplicatedState::initial("a") }
}

fn promised(accepted: Option<AcceptedState>) -> AcceptorReply {
    AcceptorReply::Promised { accepted, storage_id: StorageId(7) }
}

fn voting_acceptor() -> Acceptor {
    let storage_id = StorageId(7);
    Acceptor::new(OWN, DurableState { storage_id, may_vote: true, ..DurableState::default() })
}

#[test]
fn an_acceptor_that_promised_a_ballot_rejects_earlier_ones() {
    let mut acceptor = voting_acceptor();
    let state = ReplicatedState::initial("a");

    let prepared = acceptor.prepare(ballot(2));
    assert_eq!(prepared.reply, promised(None));
    acceptor.mark_durable(prepared.store_first.unwrap());

    assert_eq!(acceptor.prepare(ballot(2)).reply, AcceptorReply::Preempted(ballot(2)));
    let earlier = acceptor.accept(ballot(1), &state, &BTreeMap::new());
    assert_eq!(earlier.reply, AcceptorReply::Preempted(ballot(2)));

    let voted = acceptor.accept(ballot(2), &state, &BTreeMap::from([(OWN, StorageId(7))]));
    assert_eq!(voted.reply, AcceptorReply::Accepted);
    acceptor.mark_durable(voted.store_first.unwrap());
    assert_eq!(acceptor.prepare(ballot(3)).reply, promised(Some(accepted(2))));
}

#[test]
fn an_acceptor_rejects_a_state_that_rests_on_a_replaced_storage() {
    let mut acceptor = voting_acceptor();
    let registered = acceptor.register_storage(OTHER, StorageId(99));
    acceptor.mark_durable(registered.store_first.unwrap());

    let replaced = BTreeMap::from([(OWN, StorageId(7)), (OTHER, StorageId(98))]);
    let voted = acceptor.accept(ballot(1), &ReplicatedState::initial("a"), &replaced);

    assert_eq!(voted.reply, AcceptorReply::StorageReplaced);
    let registered_again = acceptor.register_storage(OTHER, StorageId(99));
    assert_eq!(registered_again.store_first, None, "told twice it is not written twice");
}

#[test]
fn an_acceptor_that_lost_its_disk_votes_again_once_enough_voters_answered_it() {
    let durable = DurableState { storage_id: StorageId(1), ..DurableState::default() };
    let without_vote = Acceptor::new(OWN, durable);
    assert_eq!(without_vote.prepare(ballot(1)).reply, AcceptorReply::Unavailable);

    let voters = VoterSet(3);
    let voting = |accepted| AcceptorSnapshot { may_vote: true, accepted, promised: ballot(4) };
    let empty = || AcceptorSnapshot { may_vote: false, accepted: None, promised: ballot(4) };
    let last = Some(accepted(3));

    let one = BTreeMap::from([(OTHER, voting(last.clone()))]);
    assert_eq!(without_vote.recover(&one, voters), None, "the other one may know more");

    let one_lost = BTreeMap::from([(OTHER, voting(last.clone())), (THIRD, empty())]);
    let reason = "two lost their disks: what they accepted is gone";
    assert_eq!(without_vote.recover(&one_lost, voters), None, "{reason}");

    let both = BTreeMap::from([(OTHER, voting(last.clone())), (THIRD, voting(None))]);
    let recovered = without_vote.recover(&both, voters).unwrap();
    assert_eq!((recovered.accepted, recovered.promised, recovered.may_vote), (last, ballot(4), true));

    let new_fleet = BTreeMap::from([(OTHER, empty()), (THIRD, empty())]);
    let is_recovered = without_vote.recover(&new_fleet, voters).is_some();
    assert!(is_recovered, "nobody has accepted anything: the fleet begins");
}
