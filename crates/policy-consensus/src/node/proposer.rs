//! One step of the book, compared and set: a majority promises, the book that comes of what they voted for last is made, and
//! a majority votes for it.

use super::ConsensusNode;
use crate::messages::{Message, Reply};
use crate::{AcceptorReply, Ballot, Conflict, ReplicatedState};
use pinetrail_peer_transport::Network;
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;
use tokio::sync::mpsc;
use tokio::time::{sleep, Instant};

/// What is to become of the book.
pub(super) enum Transition {
    /// It stays, and is agreed once more.
    Stay,
    /// This one follows.
    Next(ReplicatedState),
    /// It stays; who wanted something else is told why not.
    Not(Conflict),
}

/// Why no step was made, as far as is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum StepError {
    /// What was wanted does not follow from what is agreed.
    Conflict(Conflict),
    /// Permits of before are out: whose, and for how many ms.
    Blocked(Vec<(String, u64)>),
    /// No majority answered in time.
    NoMajority,
}

const REST: Duration = Duration::from_millis(8);

impl<N: Network> ConsensusNode<N> {
    /// Makes a step, by as many ballots as fit into the time.
    pub(super) async fn step(
        self: &Arc<Self>,
        within: Duration,
        make: impl Fn(Option<&ReplicatedState>) -> Transition,
    ) -> Result<ReplicatedState, StepError> {
        let until = Instant::now() + within;
        let mut rest = REST;
        loop {
            match self.ballot(&make).await {
                Err(StepError::NoMajority) if Instant::now() + rest < until => {}
                done => return done,
            }
            sleep(self.about(rest)).await;
            rest = (rest * 2).min(Duration::from_millis(200));
        }
    }

    async fn ballot(
        self: &Arc<Self>,
        make: impl Fn(Option<&ReplicatedState>) -> Transition,
    ) -> Result<ReplicatedState, StepError> {
        let ballot = {
            let mut known = self.known();
            known.ballot = Ballot::beyond(known.ballot, self.by);
            known.ballot
        };
        let majority = self.settings.voters.majority();
        let (mut last, mut storage_ids) = (None, BTreeMap::new());
        let mut votes = self.all(&Message::Prepare(ballot));
        while storage_ids.len() < majority {
            match votes.recv().await {
                Some((seat, AcceptorReply::Promised(accepted, storage_id))) => {
                    storage_ids.insert(seat, storage_id);
                    last = last.max_by_ballot(accepted);
                }
                Some((_, AcceptorReply::Preempted(later))) => self.known_ballot(later),
                Some(_) => {}
                None => return Err(StepError::NoMajority),
            }
        }
        let before: Option<ReplicatedState> = last.map(|(_, book)| book);
        let (book, conflict) = match (make(before.as_ref()), before) {
            (Transition::Next(book), _) => (book, None),
            (Transition::Stay, Some(book)) => (book, None),
            // Danger: what a few voted for may never be agreed; who is refused by it is refused by what is.
            (Transition::Not(why), Some(book)) => (book, Some(why)),
            (Transition::Not(why), None) => return Err(StepError::Conflict(why)),
            (Transition::Stay, None) => return Err(StepError::NoMajority),
        };
        let mut votes = self.all(&Message::Accept(ballot, Box::new(book.clone()), storage_ids));
        let (mut yes, mut blocked) = (0, Vec::new());
        while yes < majority {
            match votes.recv().await {
                Some((_, AcceptorReply::Accepted)) => yes += 1,
                Some((_, AcceptorReply::Preempted(later))) => self.known_ballot(later),
                Some((_, AcceptorReply::Blocked(by))) => blocked.extend(by),
                Some(_) => {}
                None if blocked.is_empty() => return Err(StepError::NoMajority),
                None => return Err(StepError::Blocked(blocked)),
            }
        }
        self.agreed(book.clone());
        conflict.map_or(Ok(book), |why| Err(StepError::Conflict(why)))
    }

    /// Asks all seats; what they vote, as it comes.
    fn all(self: &Arc<Self>, message: &Message) -> mpsc::UnboundedReceiver<(u8, AcceptorReply)> {
        let (say, said) = mpsc::unbounded_channel();
        for seat in 0..self.settings.voters.0 {
            let (node, message, say) = (Arc::clone(self), message.clone(), say.clone());
            tokio::spawn(async move {
                if let Some(Reply::Acceptor(vote)) = node.ask(seat, &message).await {
                    // A majority may have answered already.
                    let _ = say.send((seat, vote));
                }
            });
        }
        said
    }

    fn known_ballot(&self, later: Ballot) {
        let mut known = self.known();
        known.ballot = known.ballot.max(later);
    }
}

trait Later {
    fn max_by_ballot(self, other: Self) -> Self;
}

impl Later for Option<(Ballot, ReplicatedState)> {
    fn max_by_ballot(self, other: Self) -> Self {
        match (self, other) {
            (Some(a), Some(b)) => Some(if b.0 > a.0 { b } else { a }),
            (a, b) => a.or(b),
        }
    }
}
