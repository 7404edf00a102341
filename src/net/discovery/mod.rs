//! Discovery: the cached list at the start, then a watch whenever the module asks for one, at the address
//! that the newest configuration names.

mod budget;
mod lists;
mod watch;

use super::config::{Catalog, Instance};
use super::counters::Counters;
use super::exchange::Exchange;
use super::guard::Guarded;
use super::link::Link;
use super::log::log;
use crate::interface::ListForm;
use budget::Waits;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

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
    exchange: Arc<Exchange>,
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
    link: Option<Link>,
}

impl Target {
    /// Moves the watch: the one that is on ends, and another begins at once at the new address.
    pub fn move_to(&self, address: SocketAddr) {
        let link = self.with(|watched| {
            watched.address = address;
            watched.moves += 1;
            watched.link.take()
        });
        link.iter().for_each(Link::end);
        // The receiver is only gone when the program stops.
        let _ = self.subscribe.send(());
    }

    fn with<T>(&self, act: impl FnOnce(&mut Watched) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}

impl Discovery {
    /// Tells the exchange the cached list, then watches as often as asked; `subscribe` is the sending end
    /// of `subscriptions`. Danger: where lists are pushed the module asks for nothing, and what the agent has counts
    /// as told from the first moment on: the watch is opened here.
    pub fn start(
        exchange: Arc<Exchange>,
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
            let mut latest = None;
            for () in subscriptions.iter() {
                drop(latest.take());
                let within = discovery.watch_on(&subscriptions);
                discovery.tell(ListForm::Failed, Vec::new());
                latest = Some(discovery.ask_within(within));
            }
        });
        target
    }

    /// Danger: the module asks for a watch again when it thinks fit, and what changes meanwhile counts as told all the same:
    /// the next call begins within this time, unless it does before. The wait ends with what is returned.
    fn ask_within(&self, time: Duration) -> Guarded {
        let (guarded, target) = (Guarded::default(), Arc::clone(&self.target));
        guarded.by(move |guard| {
            if guard.sleep(time) {
                let _ = target.subscribe.send(());
            }
        });
        guarded
    }

    /// Watches until that fails or ends, starting anew as often as discovery moves; within which time to go on.
    fn watch_on(&mut self, subscriptions: &Receiver<()>) -> Duration {
        loop {
            let begun = Instant::now();
            let (address, moves) = self.target.with(|watched| (watched.address, watched.moves));
            self.counters.watches.add();
            let Err(why) = self.watch(&address, moves);
            // What was asked for until now, this watch has answered: no other is to follow it for that.
            while subscriptions.try_recv().is_ok() {}
            let moved = self.target.with(|watched| {
                watched.link = None;
                watched.moves != moves
            });
            if !moved {
                self.counters.watches_failed.add();
                let (Ended::TimedOut(words) | Ended::Broke(words)) = why;
                log(&format!("watch: {words}"));
                return self.waits.next_within(why, begun.elapsed());
            }
            self.waits.begin_anew();
        }
    }

    fn tell(&self, form: ListForm, instances: Vec<Instance>) {
        self.exchange.providers(form, instances);
    }
}
