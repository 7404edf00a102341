//! Holds the address of discovery, which a reload may change while a watch is open. Read
//! [`DiscoveryTarget`] first.

use crate::net::deadline_stream::DeadlineStream;
use may::sync::mpsc::Sender;
use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};

/// The address of discovery, and the open watch.
pub struct DiscoveryTarget {
    state: Mutex<TargetState>,
    subscribe: Sender<()>,
}

/// The state that a change of the address affects.
struct TargetState {
    address: SocketAddr,
    /// The number of changes of the address.
    revision: u64,
    /// The connection of the open watch, which a change of the address closes.
    stream: Option<DeadlineStream>,
}

/// An address of discovery, with its revision.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) struct TargetAddress {
    pub(super) address: SocketAddr,
    revision: u64,
}

impl DiscoveryTarget {
    pub(super) fn new(address: SocketAddr, subscribe: Sender<()>) -> DiscoveryTarget {
        DiscoveryTarget { state: Mutex::new(TargetState { address, revision: 0, stream: None }), subscribe }
    }

    /// Changes the address. The open watch ends, and another begins at once at the new address.
    pub fn change_address(&self, address: SocketAddr) {
        let stream = self.with_state(|state| {
            state.address = address;
            state.revision += 1;
            state.stream.take()
        });
        if let Some(stream) = stream {
            stream.shutdown();
        }
        self.subscribe();
    }

    /// Requests the next watch.
    pub(super) fn subscribe(&self) {
        // An error means that the receiver is dropped because the process stops.
        let _ = self.subscribe.send(());
    }

    /// Returns the present address.
    pub(super) fn current(&self) -> TargetAddress {
        self.with_state(|state| TargetAddress { address: state.address, revision: state.revision })
    }

    /// Returns whether the address has changed since it was `target`, even if it has changed back.
    pub(super) fn has_changed_since(&self, target: TargetAddress) -> bool {
        self.with_state(|state| state.revision != target.revision)
    }

    /// Stores the connection of a watch, which a change of the address closes. Returns whether the
    /// address is still `target`.
    pub(super) fn attach_stream(&self, stream: &DeadlineStream, target: TargetAddress) -> bool {
        self.with_state(|state| {
            state.stream = Some(stream.clone());
            state.revision == target.revision
        })
    }

    /// Removes the connection of a watch that has ended. Returns whether the address has changed
    /// since it was `target`.
    pub(super) fn detach_stream(&self, target: TargetAddress) -> bool {
        self.with_state(|state| {
            state.stream = None;
            state.revision != target.revision
        })
    }

    fn with_state<T>(&self, act: impl FnOnce(&mut TargetState) -> T) -> T {
        act(&mut self.state.lock().unwrap_or_else(PoisonError::into_inner))
    }
}
