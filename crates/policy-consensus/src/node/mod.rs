//! A process of the fleet, as far as the book is concerned: what it knows, and the tasks that keep it true.

mod admin;
mod catch_up;
mod join;
mod leader;
mod lease_renewal;
mod proposer;
mod serve;

pub use admin::{ChangeStatus, ConsensusStatus, ProposalError};

use crate::change_notifier::ChangeNotifier;
use crate::lease_table::{LeaseTable, Readiness};
use crate::messages::{encode, Message, Reply};
use crate::storage::{self, LoadOutcome, Storage};
use crate::{
    Acceptor, AcceptorSnapshot, AdmissionLease, Ballot, Digest, DurableState, PolicyApplier, ReplicatedState,
    Settings, StateSummary,
};
use pinetrail_peer_transport::{Network, PeerTransport, Process};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::io;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::time::Instant;
use xxhash_rust::xxh3::xxh3_64;

/// The vote of this process.
struct Seat {
    number: u8,
    acceptor: Acceptor,
    grants: LeaseTable,
    disk: Box<dyn Storage>,
    told: BTreeMap<u8, AcceptorSnapshot>,
}

#[derive(Default)]
struct Known {
    /// What is agreed, as far as it was heard.
    head: StateSummary,
    /// The book, perhaps of an earlier step.
    book: Option<ReplicatedState>,
    /// Who told of it last.
    source: Option<Process>,
    /// The version in force here.
    in_force: u64,
    /// Why the version that is agreed is not in force here.
    unfit: Option<(u64, String)>,
    /// What this process makes of the open change.
    word: Option<(String, Readiness)>,
    /// For whom the open change waits.
    waits: (String, Vec<String>),
    /// The latest ballot heard of.
    ballot: Ballot,
    seat: Option<Seat>,
    /// Whether it was ever permitted.
    admitted: bool,
}

impl Known {
    /// The text of a digest, if it is at hand.
    fn text(&self, digest: Digest) -> Option<Arc<str>> {
        let own = self.seat.as_ref().and_then(|seat| seat.acceptor.durable().accepted.as_ref()).map(|a| &a.1);
        let books = self.book.iter().chain(own);
        let texts = books.flat_map(|book| {
            [Some(&book.text), book.change.as_ref().map(|change| &change.text)].into_iter().flatten()
        });
        texts.into_iter().find(|text| Digest::of(text) == digest).cloned()
    }
}

/// A process of the fleet.
pub struct ConsensusNode<N: Network> {
    settings: Settings,
    fleet: String,
    by: u64,
    links: Arc<PeerTransport<N>>,
    app: Arc<dyn PolicyApplier>,
    permit: Arc<AdmissionLease>,
    known: Mutex<Known>,
    /// Counts what became known, for those who wait for that.
    news: ChangeNotifier,
    rng: Mutex<StdRng>,
}

impl<N: Network> ConsensusNode<N> {
    /// A process that knows nothing; its links bring it what there is. It is to be given its seat, if it has one, and started.
    pub fn new(
        settings: Settings,
        fleet: &str,
        links: Arc<PeerTransport<N>>,
        app: Arc<dyn PolicyApplier>,
        permit: Arc<AdmissionLease>,
    ) -> Arc<ConsensusNode<N>> {
        let me = format!("{}/{}", settings.process.name, settings.process.start);
        let node = Arc::new(ConsensusNode {
            by: xxh3_64(me.as_bytes()),
            rng: Mutex::new(StdRng::seed_from_u64(settings.seed)),
            settings,
            fleet: fleet.to_owned(),
            links: Arc::clone(&links),
            app,
            permit,
            known: Mutex::default(),
            news: ChangeNotifier::default(),
        });
        links.set_handler(Arc::clone(&node) as Arc<dyn pinetrail_peer_transport::MessageHandler>);
        node
    }

    /// Begins its tasks, on the runtime that it is called in.
    pub fn start(self: &Arc<Self>) {
        tokio::spawn(Arc::clone(self).follow());
        for seat in 0..self.settings.voters.0 {
            tokio::spawn(Arc::clone(self).renew(seat));
        }
        tokio::spawn(Arc::clone(self).join());
        tokio::spawn(Arc::clone(self).steward());
    }

    /// From now on it holds this founder's seat, with what that has on its disk.
    pub fn become_voter(&self, number: u8, mut disk: Box<dyn Storage>) -> io::Result<()> {
        let durable = match storage::load(&mut *disk, &self.fleet, number)? {
            LoadOutcome::Loaded(durable) => *durable,
            found => {
                if let LoadOutcome::SetAside(why) = found {
                    self.app.log(&format!("ERROR: what this founder's disk had is {why}; it was put aside"));
                }
                let storage_id = self.with_rng(rand::RngExt::random);
                let durable = DurableState { storage_id, ..DurableState::default() };
                storage::save(&mut *disk, &self.fleet, number, &durable)?;
                durable
            }
        };
        let acceptor = Acceptor::new(number, durable);
        let grants = LeaseTable::new(self.settings.timing, Instant::now());
        self.known().seat = Some(Seat { number, acceptor, grants, disk, told: BTreeMap::new() });
        self.links.set_voter_id(Some(number));
        self.news();
        Ok(())
    }

    /// It holds no seat from now on: another process of this proxy does.
    pub fn resign_voter(&self) {
        self.known().seat = None;
        self.links.set_voter_id(None);
    }

    /// This process.
    pub fn process(&self) -> &Process {
        &self.settings.process
    }

    /// The permit under which this process admits.
    pub fn admission_lease(&self) -> &Arc<AdmissionLease> {
        &self.permit
    }

    /// The links to others.
    pub fn transport(&self) -> &Arc<PeerTransport<N>> {
        &self.links
    }

    /// Asks who holds a seat, be it this process; none without an answer in time.
    async fn ask(&self, seat: u8, message: &Message) -> Option<Reply> {
        let own = self.known().seat.as_ref().is_some_and(|own| own.number == seat);
        if own {
            return self.answer(&self.settings.process, message.clone());
        }
        let holder = self.links.voter_process(seat)?;
        let answer = self.links.request(&holder, encode(message), self.settings.timing.answer).await?;
        crate::messages::decode(&answer)
    }

    /// Something is agreed.
    fn agreed(&self, book: ReplicatedState) {
        let head = book.summary();
        {
            let mut known = self.known();
            if head.revision >= known.head.revision {
                known.head = head.clone();
            }
            if known.book.as_ref().is_none_or(|before| before.revision < book.revision) {
                known.book = Some(book);
            }
        }
        self.links.broadcast(&encode(&Message::Decided(head)));
        self.news();
    }

    fn news(&self) {
        self.news.tell();
    }

    fn known(&self) -> MutexGuard<'_, Known> {
        self.known.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn with_rng<T>(&self, act: impl FnOnce(&mut StdRng) -> T) -> T {
        act(&mut self.rng.lock().unwrap_or_else(PoisonError::into_inner))
    }

    /// A time of about this, never the same at all processes.
    fn about(&self, time: Duration) -> Duration {
        time.mul_f64(self.with_rng(|rng| rng.random_range(0.5..1.5)))
    }
}
