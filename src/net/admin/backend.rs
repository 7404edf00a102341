//! What operators' requests are put to. The server and its codecs know the process only by
//! [`AdminBackend`].

use crate::net::dispatcher::MaintenanceError;
use crate::net::hot_restart::{ControlCommand, RelayError, ServiceState};
use crate::net::policy::Policy;
use std::sync::Arc;
use thiserror::Error;

/// The process that operators drive.
pub trait AdminBackend: Send + Sync + 'static {
    /// Whether this process takes clients.
    ///
    /// # Errors
    ///
    /// [`NotReady`] while it takes none.
    fn readiness(&self) -> Result<(), NotReady>;

    /// What this process knows of its fleet, as JSON.
    ///
    /// # Errors
    ///
    /// [`FleetReportError`] if this process is no active member of a fleet.
    fn fleet_report(&self) -> Result<String, FleetReportError>;

    /// This process's part in the fleet's common policy, if there is one.
    fn policy(&self) -> Option<&Arc<Policy>>;

    /// Sends nothing more to a cache node.
    ///
    /// # Errors
    ///
    /// [`MaintenanceError`] if the node cannot be put in maintenance.
    fn enter_maintenance(&self, id: &str) -> Result<(), MaintenanceError>;

    /// Lets a cache node serve again.
    ///
    /// # Errors
    ///
    /// [`MaintenanceError`] if no such node was ever listed.
    fn leave_maintenance(&self, id: &str) -> Result<(), MaintenanceError>;

    /// Puts this process in service, or out of it.
    ///
    /// # Errors
    ///
    /// [`NotServing`] while the process starts or stops.
    fn set_service(&self, service: ServiceState) -> Result<(), NotServing>;

    /// Has the other process of this proxy, if there is one, apply a command too.
    ///
    /// # Errors
    ///
    /// [`RelayError`] if the other process is not known to have applied it.
    fn relay(&self, command: ControlCommand) -> Result<(), RelayError>;
}

/// Why a process takes no clients. Operators read the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum NotReady {
    /// It starts or stops.
    #[error("not ready: starting or stopping")]
    StartingOrStopping,
    /// It has no admission lease, for this reason.
    #[error("not ready: fenced: {0}")]
    Fenced(String),
    /// It does not have the fleet's common policy yet, for this reason.
    #[error("not ready: it catches up: {0}")]
    CatchingUp(String),
}

/// The process starts or stops: it cannot be put in service or out of it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("this process stops")]
pub struct NotServing;

/// Why there is no report of a fleet. Operators read the text.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
pub enum FleetReportError {
    /// The configuration has no fleet.
    #[error("no fleet is configured")]
    NotConfigured,
    /// This process is no active member.
    #[error(
        "this process does not speak in the fleet: it starts or stops, or the other process of this \
         proxy speaks"
    )]
    NotActive,
}
