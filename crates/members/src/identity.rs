//! Who a member is. A name is not a process: name and start together are.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;
use std::sync::Arc;

/// The longest name of a member or a fleet, in bytes.
pub const MAX_NAME: usize = 64;

/// One process of the fleet.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct Id {
    /// Its name, which a later process may bear again.
    pub name: Arc<str>,
    /// When it started, in Unix microseconds. Of two processes of one name the later start counts.
    pub start: u64,
    /// How often it had to come back after others took it for failed.
    pub life: u32,
    /// Where it is reached.
    pub address: SocketAddr,
}

impl Id {
    /// Whether this is the same process, or a later one of its name.
    pub fn outlives(&self, other: &Id) -> bool {
        (self.start, self.life) > (other.start, other.life)
    }

    /// Whether its words could be true.
    pub(crate) fn is_sound(&self) -> bool {
        !self.name.is_empty()
            && self.name.len() <= MAX_NAME
            && !self.address.ip().is_unspecified()
            && self.address.port() != 0
    }
}

impl foca::Identity for Id {
    type Addr = Arc<str>;

    fn renew(&self) -> Option<Id> {
        Some(Id { life: self.life.saturating_add(1), ..self.clone() })
    }

    fn addr(&self) -> Arc<str> {
        Arc::clone(&self.name)
    }

    fn win_addr_conflict(&self, other: &Id) -> bool {
        self.outlives(other)
    }
}
