//! The lifecycle phases as a state machine. Read [`LifecycleState`] first: it decides the
//! [`Phase`]. Its only side effect is a log line at each transition.
//!
//! | phase | [`LifecycleEvent`] | next phase |
//! | --- | --- | --- |
//! | `Starting` | `Started` | the serving phase below that applies |
//! | a serving phase | `ReloadStarted`, `ReloadFinished` | the serving phase below that applies |
//! | a serving phase | `PeerChanged`, `ServiceSet` | the serving phase below that applies |
//! | any | `StopRequested` | `Draining` |
//! | any | `ServingFinished` | `FinishingResponses` |
//! | any | `DrainFinished` | `Stopped` |
//!
//! Every other event is only recorded, and the phase stays. Of the serving phases, the first that
//! applies is entered:
//!
//! | phase | applies while |
//! | --- | --- |
//! | `Reloading` | the configuration is being read again |
//! | `HandingOver` | the peer process accepts clients, and this process is the older one |
//! | `TakingOver` | the peer process serves or drains, and this process is the newer one |
//! | `OutOfService` | operators have put the proxy out of service |
//! | `Serving` | none of the above |

use crate::net::hot_restart::{PeerProcessState, ServiceState};
use crate::net::log::log;

/// A stage of the process between start and exit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Phase {
    /// The process reads its configuration and the cached endpoint list, and does not listen yet.
    Starting,
    /// The process accepts and serves clients, while the older process still serves the connections
    /// that it holds.
    TakingOver,
    /// The process accepts and serves clients.
    Serving,
    /// The process accepts and serves clients, but directs them to other proxies, as operators
    /// requested.
    OutOfService,
    /// The newer process accepts clients, and this one serves the connections that it holds until
    /// it is stopped.
    HandingOver,
    /// The process reads its configuration again, and continues to serve clients.
    Reloading,
    /// The process has been asked to stop, and completes the requests that it has accepted.
    Draining,
    /// The process has given up its addresses and leases, and passes on the responses that have begun.
    FinishingResponses,
    /// Every response is complete, or the time for the drain is over.
    Stopped,
}

/// Whether this process is the older or the newer one of two processes of one proxy.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum ProcessRole {
    /// The process started first, or is the only one.
    Older,
    /// The process has taken over from an older one that still runs.
    Newer,
}

/// An event in the life of a process.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum LifecycleEvent {
    /// An older process of this proxy has handed over.
    HandoverReceived,
    /// All services run, and clients are accepted.
    Started,
    /// Operators put the proxy in service or out of it.
    ServiceSet(ServiceState),
    /// The configuration is being read again.
    ReloadStarted,
    /// The configuration has been read, or is invalid.
    ReloadFinished,
    /// The other process of this proxy has changed its state.
    PeerChanged(PeerProcessState),
    /// The process is asked to stop.
    StopRequested,
    /// Every request has its response, which may still be incomplete.
    ServingFinished,
    /// Every response is complete, or the time for the drain is over.
    DrainFinished,
}

/// The phase, and the inputs from which it is derived while the process serves.
#[derive(Debug)]
pub(super) struct LifecycleState {
    phase: Phase,
    service: ServiceState,
    is_reloading: bool,
    peer: PeerProcessState,
    role: ProcessRole,
}

impl Default for LifecycleState {
    fn default() -> LifecycleState {
        LifecycleState {
            phase: Phase::Starting,
            service: ServiceState::InService,
            is_reloading: false,
            peer: PeerProcessState::None,
            role: ProcessRole::Older,
        }
    }
}

impl LifecycleState {
    /// Returns whether clients are accepted or served, even if only to direct them to other
    /// proxies.
    pub(super) fn accepts_clients(&self) -> bool {
        !matches!(self.phase, Phase::Starting | Phase::Draining | Phase::FinishingResponses | Phase::Stopped)
    }

    /// Returns whether this process has given up its addresses, its membership and its leases.
    pub(super) fn has_finished_serving(&self) -> bool {
        matches!(self.phase, Phase::FinishingResponses | Phase::Stopped)
    }

    /// Decides which of two processes of one proxy accepts clients: returns whether the peer
    /// process does so instead of this one.
    ///
    /// Inputs: this process's role, and the state of its peer process.
    /// Reason: if no process accepted, clients would wait in the listen queue; while a newer one
    /// serves, the older one must not accept, so that its connections run out.
    ///
    /// Invariant: a process that is alone accepts clients.
    pub(super) fn peer_accepts_clients(&self) -> bool {
        self.role == ProcessRole::Older && self.peer == PeerProcessState::Serving
    }

    /// Applies an event, and enters the phase that follows from it.
    pub(super) fn apply(&mut self, event: LifecycleEvent) {
        match event {
            LifecycleEvent::HandoverReceived => {
                self.role = ProcessRole::Newer;
                self.peer = PeerProcessState::Serving;
            }
            LifecycleEvent::Started => self.enter(Phase::Serving),
            LifecycleEvent::ServiceSet(service) => self.service = service,
            LifecycleEvent::ReloadStarted => self.is_reloading = true,
            LifecycleEvent::ReloadFinished => self.is_reloading = false,
            LifecycleEvent::PeerChanged(peer) => self.set_peer(peer),
            LifecycleEvent::StopRequested => self.enter(Phase::Draining),
            LifecycleEvent::ServingFinished => self.enter(Phase::FinishingResponses),
            LifecycleEvent::DrainFinished => self.enter(Phase::Stopped),
        }
        self.enter_serving_phase();
    }

    fn set_peer(&mut self, peer: PeerProcessState) {
        self.peer = peer;
        // A process whose older peer serves no more is the older one in the next hot restart.
        if !peer.serves() {
            self.role = ProcessRole::Older;
        }
    }

    /// Enters the serving phase that applies, if the process serves.
    fn enter_serving_phase(&mut self) {
        if self.accepts_clients() {
            self.enter(self.serving_phase());
        }
    }

    fn serving_phase(&self) -> Phase {
        let has_older_peer = self.role == ProcessRole::Newer
            && matches!(self.peer, PeerProcessState::Serving | PeerProcessState::Leaving);
        if self.is_reloading {
            Phase::Reloading
        } else if self.peer_accepts_clients() {
            Phase::HandingOver
        } else if has_older_peer {
            Phase::TakingOver
        } else if self.service == ServiceState::OutOfService {
            Phase::OutOfService
        } else {
            Phase::Serving
        }
    }

    fn enter(&mut self, phase: Phase) {
        if phase != self.phase {
            log(&format!("{:?} -> {phase:?}", self.phase));
            self.phase = phase;
        }
    }
}

#[cfg(test)]
mod tests;
