//! Discovery: the cached list at the start, then a watch from the moment on in which the module asks for one, at the
//! address that the newest configuration names.

mod lists;
mod timing;
mod watch;

use super::config::{Catalog, Instance};
use super::counters::Counters;
use super::deadline_stream::{sleep, DeadlineStream};
use super::dispatcher::Dispatcher;
use super::log::log;
use crate::interface::ListForm;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};
use timing::Waits;

/// While a wait lasts it is looked so often whether discovery has moved.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// How a call or its watch ended, and why.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// What had to come did not.
    TimedOut(&'static str),
    /// It was refused or ended, or what came was no good.
    Broke(&'static str),
}

impl From<&'static str> for Ended {
    fn from(why: &'static str) -> Ended {
        Ended::Broke(why)
    }
}

/// The discovery side of one proxy.
pub struct Discovery {
    exchange: Arc<Dispatcher>,
    counters: Arc<Counters>,
    target: Arc<Target>,
    generation: u64,
    waits: Waits,
    /// When discovery last said anything on a watch.
    heard: Option<Instant>,
}

/// Where discovery is. It may be moved while a watch is on.
pub struct Target {
    state: Mutex<Watched>,
    subscribe: Sender<()>,
}

struct Watched {
    address: SocketAddr,
    /// How often it has moved.
    moves: u64,
    /// The connection of the watch that is on, to be ended by a move.
    link: Option<DeadlineStream>,
}

impl Target {
    /// Moves the watch: the one that is on ends, and another begins at once at the new address.
    pub fn move_to(&self, address: SocketAddr) {
        let link = self.with(|watched| {
            watched.address = address;
            watched.moves += 1;
            watched.link.take()
        });
        link.iter().for_each(DeadlineStream::end);
        // The receiver is only gone when the program stops.
        let _ = self.subscribe.send(());
    }

    fn with<T>(&self, act: impl FnOnce(&mut Watched) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Discovery {
    /// Tells the exchange the cached list, then watches from when it is asked to; `subscribe` is the sending end
    /// of `subscriptions`. Danger: where lists are pushed the module asks for nothing, and what the agent has counts
    /// as told from the first moment on: the watch is opened here.
    pub fn start(
        exchange: Arc<Dispatcher>,
        counters: Arc<Counters>,
        (address, pushed): (SocketAddr, bool),
        known: Catalog,
        seed: u64,
        (subscribe, subscriptions): (Sender<()>, Receiver<()>),
    ) -> Arc<Target> {
        let state = Mutex::new(Watched { address, moves: 0, link: None });
        let target = Arc::new(Target { state, subscribe });
        let generation = known.generation;
        let (own, waits) = (Arc::clone(&target), Waits::new(seed, pushed));
        let mut discovery = Discovery { exchange, counters, target: own, generation, waits, heard: None };
        discovery.tell(ListForm::Cached, known.instances);
        if pushed {
            // The receiver is below.
            let _ = target.subscribe.send(());
        }
        may::go!(move || {
            // The first is waited for. From then on lists are watched for as long as the program runs.
            let _ = subscriptions.recv();
            loop {
                let (wait, moves) = discovery.watch_on();
                discovery.tell(ListForm::Failed, Vec::new());
                if discovery.moves_within(wait, moves) {
                    discovery.waits.begin_anew();
                }
                // What was asked for until now, the next call answers.
                while subscriptions.try_recv().is_ok() {}
            }
        });
        target
    }

    /// Danger: how long a proxy may go without a watch is said by when changes count as told, not by what else it has to
    /// do: this side alone says when the next call begins. Waits so long, or until discovery has moved since; whether it has.
    fn moves_within(&self, time: Duration, moves: u64) -> bool {
        let until = Instant::now() + time;
        loop {
            let left = until.saturating_duration_since(Instant::now());
            let moved = self.target.with(|watched| watched.moves != moves);
            if moved || left.is_zero() {
                return moved;
            }
            sleep(left.min(LOOK_EVERY));
        }
    }

    /// Watches until that fails or ends, starting anew as often as discovery moves; how long to wait then, and the move that
    /// this was about.
    fn watch_on(&mut self) -> (Duration, u64) {
        loop {
            let begun = Instant::now();
            let (address, moves) = self.target.with(|watched| (watched.address, watched.moves));
            self.counters.watches.add();
            let Err(why) = self.watch(&address, moves);
            let moved = self.target.with(|watched| {
                watched.link = None;
                watched.moves != moves
            });
            if !moved {
                self.counters.watches_failed.add();
                let (Ended::TimedOut(words) | Ended::Broke(words)) = why;
                log(&format!("watch: {words}"));
                return (self.waits.before_next(why, begun.elapsed()), moves);
            }
            self.waits.begin_anew();
        }
    }

    fn tell(&self, form: ListForm, instances: Vec<Instance>) {
        self.exchange.update_endpoints(form, instances);
    }
}
