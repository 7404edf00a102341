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

fn request<'a>(
    round: u64,
    state: &'a ReplicatedState,
    storage_ids: &'a BTreeMap<VoterId, StorageId>,
) -> AcceptRequest<'a> {
    AcceptRequest { ballot: ballot(round), state, storage_ids }
}

fn voting_acceptor() -> Acceptor {
    let storage_id = StorageId(7);
    Acceptor::new(OWN, DurableState { storage_id, voting: VotingStatus::Voting, ..DurableState::default() })
}

#[test]
fn an_acceptor_that_promised_a_ballot_rejects_earlier_ones() {
    let mut acceptor = voting_acceptor();
    let state = ReplicatedState::initial("a");

    let prepared = acceptor.prepare(ballot(2));
    assert_eq!(prepared.reply, promised(None));
    acceptor.mark_durable(prepared.store_first.unwrap());

    assert_eq!(acceptor.prepare(ballot(2)).reply, AcceptorReply::Preempted(ballot(2)));
    let earlier = acceptor.accept(&request(1, &state, &BTreeMap::new()), Vec::new());
    assert_eq!(earlier.reply, AcceptorReply::Preempted(ballot(2)));

    let storage_ids = BTreeMap::from([(OWN, StorageId(7))]);
    let voted = acceptor.accept(&request(2, &state, &storage_ids), Vec::new());
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
    let state = ReplicatedState::initial("a");
    let voted = acceptor.accept(&request(1, &state, &replaced), Vec::new());

    assert_eq!(voted.reply, AcceptorReply::StorageReplaced);
    let registered_again = acceptor.register_storage(OTHER, StorageId(99));
    assert_eq!(registered_again.store_first, None, "a repeated registration is not stored again");
}

#[test]
fn an_acceptor_that_lost_its_disk_votes_after_enough_voters_replied() {
    let durable = DurableState { storage_id: StorageId(1), ..DurableState::default() };
    let recovering = Acceptor::new(OWN, durable);
    assert_eq!(recovering.prepare(ballot(1)).reply, AcceptorReply::Unavailable);

    let voters = VoterSet(3);
    let voting = |accepted| AcceptorSnapshot { voting: VotingStatus::Voting, accepted, promised: ballot(4) };
    let empty = || AcceptorSnapshot { voting: VotingStatus::Recovering, accepted: None, promised: ballot(4) };
    let last = Some(accepted(3));

    let one = BTreeMap::from([(OTHER, voting(last.clone()))]);
    assert_eq!(
        recovering.recover(&one, voters),
        None,
        "the voter that has not replied may have a later state"
    );

    let one_lost = BTreeMap::from([(OTHER, voting(last.clone())), (THIRD, empty())]);
    let reason = "two voters lost their disks, and with them the states that they accepted";
    assert_eq!(recovering.recover(&one_lost, voters), None, "{reason}");

    let both = BTreeMap::from([(OTHER, voting(last.clone())), (THIRD, voting(None))]);
    let recovered = recovering.recover(&both, voters).unwrap();
    assert_eq!((recovered.accepted, recovered.promised), (last, ballot(4)));
    assert_eq!(recovered.voting, VotingStatus::Voting);

    let new_fleet = BTreeMap::from([(OTHER, empty()), (THIRD, empty())]);
    let is_recovered = recovering.recover(&new_fleet, voters).is_some();
    assert!(is_recovered, "no voter has accepted a state: the fleet is new");
}

#[test]
fn an_acceptor_does_not_vote_while_a_lease_for_another_version_is_held() {
    let acceptor = voting_acceptor();
    let state = ReplicatedState::initial("a");
    let storage_ids = BTreeMap::from([(OWN, StorageId(7))]);
    let remaining = std::time::Duration::from_millis(5);
    let leases = vec![BlockingLease { holder: "n1".to_owned(), remaining }];

    let blocked = acceptor.accept(&request(1, &state, &storage_ids), leases.clone());

    assert_eq!(blocked.reply, AcceptorReply::Blocked(leases.clone()));
    assert_eq!(blocked.store_first, None);
    let replaced = BTreeMap::from([(OWN, StorageId(8))]);
    let other = acceptor.accept(&request(1, &state, &replaced), leases);
    assert_eq!(
        other.reply,
        AcceptorReply::StorageReplaced,
        "a replaced storage is reported before blocking leases"
    );
}
