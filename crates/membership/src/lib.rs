//! Who belongs to a fleet of proxies, who answers and who has failed: membership without I/O. Datagrams, ends of
//! timers and a time go in; datagrams and news come out. Equal inputs give equal outputs.
//!
//! Read [`Members`] first, then [`Output`]. SWIM itself (probes, suspicion, incarnations, what travels along with
//! other messages) is the library `foca`; what no library gives is here: who a member is ([`Id`]), what is believed and
//! since when ([`Entry`]), local health, the bound on members, and the [`News`] for the rest of the program.
//!
//! Nothing safe may hang on what this says: it is fast and may be wrong.

mod join_admission;
#[cfg(test)]
mod golden_tests;
mod health;
mod identity;
mod membership;
mod roster;
mod settings;
mod swim;
mod timers;
mod wire;

pub use identity::{Id, MAX_NAME};
pub use membership::{Members, Output};
pub use roster::{Entry, News, Side, State};
pub use settings::{Bad, Settings, Times};
pub use swim::Counts;
pub use wire::{open, Dropped, Kind, MAX_DATAGRAM};

/// Milliseconds, counted by the caller's clock from any beginning.
pub type Time = u64;
