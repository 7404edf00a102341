//! A founder that has no vote yet asks the others what they know; one that knows of nothing agreed, or voted for something and
//! never heard that it was, has it agreed once more.

use super::proposer::Transition;
use super::ConsensusNode;
use crate::messages::{Message, Reply};
use crate::{Ballot, ReplicatedState};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use std::time::Duration;
use tokio::time::sleep;

const REST: Duration = Duration::from_millis(60);

enum Wants {
    Nothing,
    /// To be known to the others with this memory.
    Votes(u8, u64),
    /// To know what is agreed; a first book may be made.
    ReplicatedState(bool),
}

impl<N: Network> ConsensusNode<N> {
    /// Does so for as long as this process runs.
    pub(super) async fn join(self: Arc<Self>) {
        let mut before = None;
        loop {
            match self.wants(&mut before) {
                Wants::Nothing => {}
                Wants::Votes(own, storage_id) => self.register_at_all(own, storage_id).await,
                Wants::ReplicatedState(may_found) => {
                    let first = ReplicatedState::initial(&self.settings.initial_policy);
                    let make = |before: Option<&ReplicatedState>| match before {
                        None if may_found => Transition::Next(first.clone()),
                        _ => Transition::Stay,
                    };
                    // Without a majority it is tried again below.
                    let _ = self.step(self.settings.timing.answer, make).await;
                }
            }
            sleep(self.about(REST)).await;
        }
    }

    /// `before` is the last vote of which it was not known at the last look that it was agreed.
    fn wants(&self, before: &mut Option<Ballot>) -> Wants {
        let known = self.known();
        let Some(seat) = &known.seat else { return Wants::Nothing };
        let durable = seat.acceptor.durable();
        if !durable.votes {
            return Wants::Votes(seat.number, durable.storage_id);
        }
        let open = durable.accepted.as_ref().filter(|(_, book)| book.revision > known.head.revision);
        let ballot = open.map(|(ballot, _)| *ballot);
        let is_left = std::mem::replace(before, ballot) == ballot && ballot.is_some();
        if known.head.revision > 0 && !is_left {
            return Wants::Nothing;
        }
        // Danger: a first book while a founder is away might be a second one: it may have the first.
        Wants::ReplicatedState(durable.storage_ids.len() == usize::from(self.settings.voters.0))
    }

    async fn register_at_all(self: &Arc<Self>, own: u8, storage_id: u64) {
        for seat in (0..self.settings.voters.0).filter(|seat| *seat != own) {
            if let Some(Reply::StorageRegistered(told)) =
                self.ask(seat, &Message::RegisterStorage(own, storage_id)).await
            {
                if let Some(held) = self.known().seat.as_mut() {
                    held.told.insert(seat, told);
                }
            }
        }
        let seats = self.settings.voters;
        let joined = {
            let known = self.known();
            let Some(seat) = &known.seat else { return };
            seat.acceptor.joined(&seat.told, seats.0, seats.blocking())
        };
        if joined.is_some_and(|durable| self.keep(durable)) {
            self.app.log("this founder votes");
            self.news();
        }
    }
}
