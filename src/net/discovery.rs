//! Discovery: the cached list at the start, then a watch whenever the module asks for one, at the address
//! that the newest configuration names.

use super::codec::Parsed;
use super::config::{Catalog, Instance};
use super::counters::Counters;
use super::exchange::Exchange;
use super::http::{self, Body};
use super::link::Link;
use super::log::log;
use crate::interface::ListForm;
use may::sync::mpsc::{Receiver, Sender};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

/// A call that waits longer than this for its connection has failed.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(1000);
/// A line, if only an empty one, comes every 2 s: a watch that is silent for longer is dead.
const SILENCE: Duration = Duration::from_millis(3000);
/// The longest line of a watch.
const MAX_LINE: usize = 1 << 20;

/// Why a watch ended.
type Ended = &'static str;

/// The discovery side of one proxy.
pub struct Discovery {
    exchange: Arc<Exchange>,
    counters: Arc<Counters>,
    target: Arc<Target>,
    generation: u64,
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
    /// of `subscriptions`.
    pub fn start(
        exchange: Arc<Exchange>,
        counters: Arc<Counters>,
        address: SocketAddr,
        known: Catalog,
        (subscribe, subscriptions): (Sender<()>, Receiver<()>),
    ) -> Arc<Target> {
        let state = Mutex::new(Watched { address, moves: 0, link: None });
        let target = Arc::new(Target { state, subscribe });
        let generation = known.generation;
        let mut discovery = Discovery { exchange, counters, target: Arc::clone(&target), generation };
        discovery.tell(ListForm::Cached, known.instances);
        may::go!(move || {
            for () in subscriptions.iter() {
                discovery.watch_on(&subscriptions);
                discovery.tell(ListForm::Failed, Vec::new());
            }
        });
        target
    }

    /// Watches until that fails or ends, starting anew as often as discovery moves.
    fn watch_on(&mut self, subscriptions: &Receiver<()>) {
        loop {
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
                return log(&format!("watch: {why}"));
            }
        }
    }

    /// Watches until that fails or ends.
    fn watch(&mut self, address: &SocketAddr, moves: u64) -> Result<std::convert::Infallible, Ended> {
        let link = Link::connect(address, CONNECT_TIMEOUT).map_err(|_| "no connection")?;
        let current = self.target.with(|watched| {
            watched.link = Some(link.clone());
            watched.moves == moves
        });
        if !current {
            return Err("moved");
        }
        let path = format!("/catalog/members?watch=1&after={}", self.generation);
        let words = http::request(&path, &address.to_string(), &[], None);
        link.write(&words, Instant::now() + SILENCE).map_err(|_| "the request was not written")?;
        let mut bytes = Vec::new();
        let head = loop {
            read(&link, &mut bytes)?;
            match http::head(&bytes) {
                Parsed::Incomplete => {}
                Parsed::Malformed(why, _) => return Err(why),
                Parsed::Whole(head, used) => {
                    bytes.drain(..used);
                    break head;
                }
            }
        };
        if head.status != 200 || head.body != Body::Chunked {
            return Err("turned away");
        }
        let mut text = Vec::new();
        loop {
            loop {
                let used = match http::chunk(&bytes, MAX_LINE) {
                    Parsed::Incomplete => break,
                    Parsed::Malformed(why, _) => return Err(why),
                    Parsed::Whole([], _) => return Err("ended"),
                    Parsed::Whole(part, used) => {
                        text.extend_from_slice(part);
                        used
                    }
                };
                bytes.drain(..used);
            }
            while let Some(end) = text.iter().position(|byte| *byte == b'\n') {
                self.line(&text[..end])?;
                text.drain(..=end);
            }
            if text.len() > MAX_LINE || bytes.len() > 2 * MAX_LINE {
                return Err("a line too long");
            }
            read(&link, &mut bytes)?;
        }
    }

    fn line(&mut self, line: &[u8]) -> Result<(), Ended> {
        let line = line.trim_ascii();
        if line.is_empty() {
            return Ok(());
        }
        let catalog: Catalog = serde_json::from_slice(line).map_err(|_| "a line that is no list")?;
        // Danger: changes that are older than what is known would undo it, and a discovery that has begun again
        // counts from below: all its news would go unheard. It is asked for the whole list.
        if !catalog.reset && catalog.generation < self.generation {
            self.generation = 0;
            return Err("its generation is older than the one known");
        }
        let form = if catalog.reset { ListForm::Full } else { ListForm::Delta };
        self.generation = catalog.generation;
        self.counters.lists.add();
        self.tell(form, catalog.instances);
        Ok(())
    }

    fn tell(&self, form: ListForm, instances: Vec<Instance>) {
        self.exchange.providers(form, instances);
    }
}

fn read(link: &Link, bytes: &mut Vec<u8>) -> Result<(), Ended> {
    match link.read(bytes, Instant::now() + SILENCE) {
        Ok(0) => Err("the connection ended"),
        Ok(_) => Ok(()),
        Err(error) if error.kind() == std::io::ErrorKind::TimedOut => Err("silent for too long"),
        Err(_) => Err("the connection broke"),
    }
}
