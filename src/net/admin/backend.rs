//! The only interface between the operators' endpoint and its process: [`AdminBackend`].

use crate::net::dispatcher::MaintenanceError;
use crate::net::hot_restart::{ControlCommand, RelayError, ServiceState};
use crate::net::policy::Policy;
use std::sync::Arc;
use thiserror::Error;

/// The process that operators control.
pub trait AdminBackend: Send + Sync + 'static {
    /// Checks whether this process is ready to accept clients.
    ///
    /// # Errors
    ///
    /// Returns [`NotReady`] with the reason while the process is not ready.
    fn readiness(&self) -> Result<(), NotReady>;

    /// Returns the fleet as this process sees it, as JSON.
    ///
    /// # Errors
    ///
    /// Returns [`FleetReportError`] if this process is not an active member of a fleet.
    fn fleet_report(&self) -> Result<String, FleetReportError>;

    /// Returns this process's part in the fleet's common policy, if there is one.
    fn policy(&self) -> Option<&Arc<Policy>>;

    /// Puts a cache node in maintenance: no more requests are sent to it.
    ///
    /// # Errors
    ///
    /// Returns [`MaintenanceError`] if the node cannot enter maintenance.
    fn enter_maintenance(&self, id: &str) -> Result<(), MaintenanceError>;

    /// Ends the maintenance of a cache node: requests may be sent to it again.
    ///
    /// # Errors
    ///
    /// Returns [`MaintenanceError`] if discovery has never listed such a node.
    fn leave_maintenance(&self, id: &str) -> Result<(), MaintenanceError>;

    /// Puts this process in service, or out of it.
    ///
    /// # Errors
    ///
    /// Returns [`NotServing`] while the process starts or stops.
    fn set_service(&self, service: ServiceState) -> Result<(), NotServing>;

    /// Relays a command to the other process of this proxy, if there is one.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError`] if the other process has rejected or not confirmed the command.
    fn relay(&self, command: ControlCommand) -> Result<(), RelayError>;
}

/// The reason why a process is not ready. Operators read the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotReady {
    /// The process is starting or stopping.
    #[error("not ready: starting or stopping")]
    StartingOrStopping,
    /// The process has no admission lease, for this reason.
    #[error("not ready: fenced: {0}")]
    Fenced(String),
    /// The process does not have the fleet's common policy yet, for this reason.
    #[error("not ready: it catches up: {0}")]
    CatchingUp(String),
}

/// The error of a process that is starting or stopping, and so cannot be put in service or out of
/// it. Operators read the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this process stops")]
pub struct NotServing;

/// The reason why there is no fleet report. Operators read the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FleetReportError {
    /// The configuration has no fleet.
    #[error("no fleet is configured")]
    NotConfigured,
    /// This process is not an active member of its fleet.
    #[error(
        "this process does not speak in the fleet: it starts or stops, or the other process of this \
         proxy speaks"
    )]
    NotActive,
}
