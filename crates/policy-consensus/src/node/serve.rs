//! What a process answers others.

use super::{ConsensusNode, Known, Seat};
use crate::lease_table::Readiness;
use crate::messages::{decode, encode, Message, Reply};
use crate::{storage, AcceptorReply, Ballot, DurableState, ReplicatedState, StateSummary};
use pinetrail_peer_transport::{MessageHandler, Network, Process};
use std::collections::BTreeMap;
use std::io;
use std::time::Duration;
use tokio::time::Instant;

/// Who holds no permit and was not heard for so long is forgotten.
const FORGET: Duration = Duration::from_secs(30);

impl<N: Network> MessageHandler for ConsensusNode<N> {
    fn heard(&self, from: &Process, body: &[u8]) -> Option<Vec<u8>> {
        let message = decode(body)?;
        self.answer(from, message).map(|reply| encode(&reply))
    }

    fn on_connected(&self, peer: &Process, _seat: Option<u8>) {
        let head = self.known().head.clone();
        if head.revision > 0 {
            self.links.send(peer, encode(&Message::Decided(head)));
        }
        self.news();
    }

    fn on_disconnected(&self, _peer: &Process) {
        self.news();
    }

    fn on_resync_needed(&self, _peer: &Process) {
        // What counts comes with the answer to the next question.
        self.news();
    }

    fn on_connection_failed(&self, _peer: &Process, _why: &io::Error) {}
}

impl<N: Network> ConsensusNode<N> {
    /// What a message is answered, if it asks.
    pub(super) fn answer(&self, from: &Process, message: Message) -> Option<Reply> {
        match message {
            Message::Prepare(ballot) => self.promise(ballot).map(Reply::Acceptor),
            Message::Accept(ballot, book, storage_ids) => {
                self.accept(ballot, &book, &storage_ids).map(Reply::Acceptor)
            }
            Message::RegisterStorage(seat, storage_id) => self.register(seat, storage_id),
            Message::RequestLease(asked) => self.permits(from, asked),
            Message::ListHolders(id) => {
                let known = self.known();
                Some(Reply::Holders(known.seat.as_ref()?.grants.holders(Instant::now(), &id)))
            }
            Message::FetchState(revision) => {
                let known = self.known();
                let book = known.book.as_ref().filter(|book| book.revision >= revision)?;
                Some(Reply::State(Box::new(book.clone())))
            }
            Message::Decided(head) => {
                self.heard_of(from, head);
                None
            }
            Message::Application(floor, body) => {
                self.app.on_peer_message(from, floor, &body);
                None
            }
            Message::WaitingFor(id, names) => {
                self.known().waits = (id, names);
                None
            }
        }
    }

    /// Another process knows of this.
    pub(super) fn heard_of(&self, from: &Process, head: StateSummary) {
        let mut known = self.known();
        if head.revision <= known.head.revision {
            return;
        }
        // A founder has at hand what it voted for.
        let voted = known.seat.as_ref().and_then(|seat| seat.acceptor.durable().accepted.clone());
        if let Some((_, book)) = voted.filter(|(_, book)| book.summary() == head) {
            known.book = Some(book);
        }
        let is_founder = known.seat.is_some();
        known.head = head.clone();
        known.source = Some(from.clone());
        drop(known);
        // Who proposed it may be cut off from some that this one reaches.
        if is_founder {
            self.links.broadcast(&encode(&Message::Decided(head)));
        }
        self.news();
    }

    fn promise(&self, ballot: Ballot) -> Option<AcceptorReply> {
        let mut known = self.known();
        known.ballot = known.ballot.max(ballot);
        let seat = known.seat.as_mut()?;
        let (vote, owed) = seat.acceptor.promise(ballot);
        Some(self.once_kept(seat, vote, owed))
    }

    fn accept(
        &self,
        ballot: Ballot,
        book: &ReplicatedState,
        storage_ids: &BTreeMap<u8, u64>,
    ) -> Option<AcceptorReply> {
        let mut known = self.known();
        known.ballot = known.ballot.max(ballot);
        let voted = voted(&known);
        let seat = known.seat.as_mut()?;
        let (vote, owed) = seat.acceptor.accept(ballot, book, storage_ids);
        // Danger: looked at when the vote is given, not before: a founder that was stopped wakes believing the past.
        let blocks = seat.grants.block(Instant::now(), book, voted);
        if vote == AcceptorReply::Accepted && !blocks.is_empty() {
            return Some(AcceptorReply::Blocked(blocks));
        }
        Some(self.once_kept(seat, vote, owed))
    }

    fn register(&self, of: u8, storage_id: u64) -> Option<Reply> {
        let mut known = self.known();
        let seat = known.seat.as_mut()?;
        let (told, owed) = seat.acceptor.register(of, storage_id);
        match self.once_kept(seat, AcceptorReply::Accepted, owed) {
            AcceptorReply::Accepted => Some(Reply::StorageRegistered(told)),
            _ => None,
        }
    }

    /// A vote that may be said once the disk has what it owes to it.
    fn once_kept(&self, seat: &mut Seat, vote: AcceptorReply, owed: Option<DurableState>) -> AcceptorReply {
        let Some(durable) = owed else { return vote };
        match storage::save(&mut *seat.disk, &self.fleet, seat.number, &durable) {
            Ok(()) => {
                seat.acceptor.synced(durable);
                vote
            }
            Err(error) => {
                self.app.log(&format!("ERROR: this founder cannot vote: its disk: {error}"));
                AcceptorReply::Unavailable
            }
        }
    }

    /// Gives what a disk owes; whether it has it.
    pub(super) fn keep(&self, durable: DurableState) -> bool {
        let mut known = self.known();
        let Some(seat) = known.seat.as_mut() else { return false };
        self.once_kept(seat, AcceptorReply::Accepted, Some(durable)) == AcceptorReply::Accepted
    }

    fn permits(&self, from: &Process, asked: crate::LeaseRequest) -> Option<Reply> {
        let (reply, no) = {
            let mut known = self.known();
            let (head, voted) = (known.head.clone(), voted(&known));
            let seat = known.seat.as_mut()?;
            let no = matches!(&asked.word, Some((_, Readiness::Rejected(_))));
            let now = Instant::now();
            // Danger: who has no vote may have lost what it voted for, and would permit what is over.
            let head_here =
                if seat.acceptor.durable().votes { head.clone() } else { StateSummary::default() };
            let permitted = seat.grants.ask(now, from, asked, &head_here, voted);
            seat.grants.forget(now, FORGET);
            (Reply::Lease(permitted, head), no)
        };
        if no {
            self.news();
        }
        Some(reply)
    }
}

/// The version that this founder voted for last.
fn voted(known: &Known) -> u64 {
    let accepted = known.seat.as_ref().and_then(|seat| seat.acceptor.durable().accepted.as_ref());
    accepted.map_or(0, |(_, book)| book.version)
}
