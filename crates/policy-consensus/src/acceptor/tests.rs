use super::*;

fn ballot(round: u64) -> Ballot {
    Ballot { round, by: 1 }
}

fn voter(storage_id: u64) -> Acceptor {
    Acceptor::new(0, DurableState { storage_id, votes: true, ..DurableState::default() })
}

#[test]
fn a_promise_shuts_out_earlier_ballots() {
    let mut voter = voter(7);
    let book = ReplicatedState::initial("a");
    let (vote, kept) = voter.promise(ballot(2));
    assert_eq!(vote, AcceptorReply::Promised(None, 7));
    voter.synced(kept.unwrap());
    assert_eq!(voter.promise(ballot(2)).0, AcceptorReply::Preempted(ballot(2)));
    assert_eq!(voter.accept(ballot(1), &book, &BTreeMap::new()).0, AcceptorReply::Preempted(ballot(2)));
    let (vote, kept) = voter.accept(ballot(2), &book, &BTreeMap::from([(0, 7)]));
    assert_eq!(vote, AcceptorReply::Accepted);
    voter.synced(kept.unwrap());
    assert_eq!(voter.promise(ballot(3)).0, AcceptorReply::Promised(Some((ballot(2), book)), 7));
}

#[test]
fn a_book_that_rests_on_a_lost_memory_gets_no_vote() {
    let mut voter = voter(7);
    let (_, kept) = voter.register(1, 99);
    voter.synced(kept.unwrap());
    let old = BTreeMap::from([(0, 7), (1, 98)]);
    assert_eq!(
        voter.accept(ballot(1), &ReplicatedState::initial("a"), &old).0,
        AcceptorReply::StorageReplaced
    );
    assert_eq!(voter.register(1, 99).1, None, "told twice it is not written twice");
}

#[test]
fn who_lost_its_disk_votes_again_once_enough_that_vote_told_it() {
    let newborn = Acceptor::new(0, DurableState { storage_id: 1, ..DurableState::default() });
    assert_eq!(newborn.promise(ballot(1)).0, AcceptorReply::Unavailable);
    let told = |votes, accepted| AcceptorSnapshot { votes, accepted, promised: ballot(4) };
    let book = Some((ballot(3), ReplicatedState::initial("a")));
    let one = BTreeMap::from([(1, told(true, book.clone()))]);
    assert_eq!(newborn.joined(&one, 3, 2), None, "the other one may know more");
    let lost = BTreeMap::from([(1, told(true, book.clone())), (2, told(false, None))]);
    assert_eq!(newborn.joined(&lost, 3, 2), None, "two lost their disks: what they voted for is gone");
    let both = BTreeMap::from([(1, told(true, book.clone())), (2, told(true, None))]);
    let joined = newborn.joined(&both, 3, 2).unwrap();
    assert_eq!((joined.accepted, joined.promised, joined.votes), (book, ballot(4), true));
    let first = BTreeMap::from([(1, told(false, None)), (2, told(false, None))]);
    assert!(newborn.joined(&first, 3, 2).is_some(), "nobody has anything: the fleet begins");
}
