//! Checks whether a client is still connected at the moment when an attempt is written for it:
//! [`SocketPresence`].

use crate::net::deadline_stream::has_hung_up;
use crate::net::dispatcher::ClientPresence;
use crate::net::listener::Stream;
use std::sync::{Arc, Weak};

/// The connection state of a client, as its socket reports it. The weak reference does not keep the
/// connection open.
#[derive(Debug)]
pub(super) struct SocketPresence(Weak<Stream>);

impl SocketPresence {
    pub(super) fn of(stream: &Arc<Stream>) -> SocketPresence {
        SocketPresence(Arc::downgrade(stream))
    }
}

impl ClientPresence for SocketPresence {
    fn is_disconnected(&self) -> bool {
        self.0.upgrade().is_none_or(|stream| has_hung_up(stream.inner()))
    }
}
