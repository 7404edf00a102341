//! Who is linked where. Members of the fleet tell each other by datagrams; of two processes the one with the lower name dials. A
//! process that does not speak in the fleet (it is being upgraded, or is the newcomer) dials all that it knows, and holds no seat.

use crate::net::config::PolicyConfig;
use crate::net::dispatcher::PeerAddress;
use crate::net::fleet::{Fleet, LivePeer};
use crate::net::log::log;
use pinetrail_peer_transport::{Peer, Process, TcpNetwork};
use pinetrail_policy_consensus::{ConsensusNode, FileStorage, VoterId};
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use std::io::ErrorKind;
use std::net::SocketAddr;
use std::sync::mpsc::{Receiver, TryRecvError};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;
use tokio::task::JoinHandle;
use tokio::time::sleep;

const LOOK_EVERY: Duration = Duration::from_millis(50);

/// What one says of its links.
#[derive(Serialize, Deserialize)]
struct Said {
    /// Whether it wants to hear the same of who is told.
    asks: bool,
    name: String,
    start: u64,
    place: SocketAddr,
}

struct Known {
    /// The start that membership had of it then.
    member: u64,
    neighbour: PeerAddress,
}

/// Who is linked where.
pub(super) struct Directory {
    config: PolicyConfig,
    fleet: Arc<Fleet>,
    node: Arc<ConsensusNode<TcpNetwork>>,
    me: Process,
    known: Mutex<BTreeMap<String, Known>>,
    there: Mutex<Vec<LivePeer>>,
    /// What another process of this proxy told at the start.
    given: Mutex<Vec<PeerAddress>>,
}

impl Directory {
    /// Nobody is known but those whom another process of this proxy told of.
    pub(super) fn new(
        config: PolicyConfig,
        fleet: Arc<Fleet>,
        node: Arc<ConsensusNode<TcpNetwork>>,
        me: Process,
        given: Vec<PeerAddress>,
    ) -> Directory {
        let (known, there) = (Mutex::default(), Mutex::default());
        Directory { config, fleet, node, me, known, there, given: Mutex::new(given) }
    }

    /// Keeps it true until the process ends.
    pub(super) async fn keep(self: Arc<Self>, ended: &Receiver<()>) {
        let hearing = Arc::clone(&self);
        self.fleet.set_directory_handler(Box::new(move |from, body| hearing.heard(from, body)));
        let mut listening: Option<JoinHandle<()>> = None;
        let (mut seated, mut said) = (false, None);
        while ended.try_recv() != Err(TryRecvError::Disconnected) {
            let there = self.fleet.live_peers();
            let speaks = there.is_some();
            // Danger: two processes of one proxy must not vote with one seat: who speaks in the fleet has it.
            if speaks && listening.is_none() {
                match self.node.transport().listen(self.config.bind).await {
                    Ok(listens) => listening = Some(listens),
                    Err(error) => {
                        self.say_once(&mut said, &format!("links at {}: {error}", self.config.bind))
                    }
                }
            }
            if speaks && !seated && listening.is_some() {
                seated = self.take_seat(&mut said);
            }
            if !speaks {
                listening.take().into_iter().for_each(|listens| listens.abort());
                if std::mem::take(&mut seated) && self.config.seat.is_some() {
                    self.node.resign_voter();
                }
            }
            self.meet(there);
            sleep(LOOK_EVERY).await;
        }
    }

    fn say_once(&self, said: &mut Option<String>, words: &str) {
        if said.as_deref() != Some(words) {
            log(&format!("ERROR: policy: {words}; it is tried again"));
            *said = Some(words.to_owned());
        }
    }

    /// Whether this process holds what seat it is to hold.
    fn take_seat(&self, said: &mut Option<String>) -> bool {
        let (Some(seat), Some(path)) = (self.config.seat, &self.config.state_dir) else { return true };
        let taken = FileStorage::open(path.clone())
            .and_then(|disk| self.node.become_voter(VoterId(seat), Box::new(disk)));
        match taken {
            Ok(()) => true,
            // The process that it belongs to lets go of it soon.
            Err(error) if error.kind() == ErrorKind::WouldBlock => false,
            Err(error) => {
                self.say_once(said, &format!("this founder has no seat: {}: {error}", path.display()));
                false
            }
        }
    }

    /// Asks members of whom it is not known where they are, and has those dialled that are to be.
    fn meet(&self, there: Option<Vec<LivePeer>>) {
        let speaks = there.is_some();
        let mut peers: Vec<PeerAddress> = lock(&self.given).clone();
        if let Some(there) = there {
            let mut known = lock(&self.known);
            known.retain(|name, known| {
                there.iter().any(|(of, start, _)| **of == **name && *start == known.member)
            });
            let unknown: Vec<SocketAddr> = there
                .iter()
                .filter(|(name, ..)| !known.contains_key(&**name))
                .map(|(_, _, place)| *place)
                .collect();
            drop(known);
            *lock(&self.there) = there;
            for place in unknown {
                self.fleet.send_directory_message(place, &self.own(true));
            }
        }
        let known = lock(&self.known);
        let dialled = known.values().map(|known| &known.neighbour);
        peers.extend(dialled.filter(|other| !speaks || *self.me.name < *other.name).cloned());
        drop(known);
        // Of those told at the start, who is a later process by now is dialled as that.
        let peers = peers.into_iter().map(|peer| Peer {
            process: Process { name: peer.name.into(), start: peer.start },
            address: peer.place,
        });
        self.node.transport().set_peers(peers.collect());
        if speaks {
            let there: Vec<String> = lock(&self.there).iter().map(|(name, ..)| name.to_string()).collect();
            lock(&self.given).retain(|given| there.contains(&given.name));
        }
    }

    fn own(&self, asks: bool) -> Vec<u8> {
        let (name, start) = (self.me.name.to_string(), self.me.start);
        postcard::to_allocvec(&Said { asks, name, start, place: self.config.advertise }).unwrap_or_default()
    }

    fn heard(&self, from: SocketAddr, body: &[u8]) {
        let Ok(said) = postcard::from_bytes::<Said>(body) else { return };
        let member = {
            let there = lock(&self.there);
            there.iter().find(|(name, _, place)| **name == *said.name && *place == from).map(|there| there.1)
        };
        // Whom membership does not know yet asks again.
        if let Some(member) = member {
            let neighbour = PeerAddress { name: said.name.clone(), start: said.start, place: said.place };
            lock(&self.known).insert(said.name, Known { member, neighbour });
        }
        if said.asks {
            // Answered from elsewhere: this is called with the fleet locked.
            let (fleet, own) = (Arc::clone(&self.fleet), self.own(false));
            may::go!(move || fleet.send_directory_message(from, &own));
        }
    }

    /// All that are known, this process included, for a newcomer of this proxy.
    pub(super) fn neighbours(&self) -> Vec<PeerAddress> {
        let known = lock(&self.known);
        let own = PeerAddress {
            name: self.me.name.to_string(),
            start: self.me.start,
            place: self.config.advertise,
        };
        known.values().map(|known| known.neighbour.clone()).chain([own]).collect()
    }
}

fn lock<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(PoisonError::into_inner)
}

#[cfg(test)]
#[path = "directory_golden_tests.rs"]
mod golden_tests;
