//! Where discovery is. Reload moves it while a watch is open.

use crate::net::deadline_stream::DeadlineStream;
use may::sync::mpsc::Sender;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// The address of discovery, which may be moved while a watch is open.
pub struct DiscoveryTarget {
    /// Guards the address and the stream of the watch that is open.
    state: Mutex<TargetState>,
    subscribe: Sender<()>,
}

/// What a move changes.
struct TargetState {
    address: SocketAddr,
    /// How often it has moved.
    move_count: u64,
    /// The connection of the watch that is open, to be ended by a move.
    stream: Option<DeadlineStream>,
}

/// An address, and the move that led there.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetAddress {
    pub(super) address: SocketAddr,
    move_count: u64,
}

impl DiscoveryTarget {
    pub(super) fn new(address: SocketAddr, subscribe: Sender<()>) -> DiscoveryTarget {
        DiscoveryTarget { state: Mutex::new(TargetState { address, move_count: 0, stream: None }), subscribe }
    }

    /// Moves the watch: the one that is open ends, and another begins at once at the new address.
    pub fn move_to(&self, address: SocketAddr) {
        let stream = self.with_state(|state| {
            state.address = address;
            state.move_count += 1;
            state.stream.take()
        });
        if let Some(stream) = stream {
            stream.shutdown();
        }
        self.subscribe();
    }

    /// Asks for the next watch.
    pub(super) fn subscribe(&self) {
        // An error says that the receiver is gone, that is that the program stops.
        let _ = self.subscribe.send(());
    }

    /// Where discovery is at this moment.
    pub(super) fn current(&self) -> TargetAddress {
        self.with_state(|state| TargetAddress { address: state.address, move_count: state.move_count })
    }

    /// Whether discovery has moved since it was there.
    pub(super) fn has_moved_from(&self, target: TargetAddress) -> bool {
        self.with_state(|state| state.move_count != target.move_count)
    }

    /// Notes the connection of a watch, to be ended by a move. Returns whether discovery is still
    /// there.
    pub(super) fn attach(&self, stream: &DeadlineStream, target: TargetAddress) -> bool {
        self.with_state(|state| {
            state.stream = Some(stream.clone());
            state.move_count == target.move_count
        })
    }

    /// Forgets the connection of a watch that has ended. Returns whether discovery has moved since
    /// it was there.
    pub(super) fn detach(&self, target: TargetAddress) -> bool {
        self.with_state(|state| {
            state.stream = None;
            state.move_count != target.move_count
        })
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut TargetState) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
