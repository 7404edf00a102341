//! Executes the operators' commands on this process: the implementation of [`AdminBackend`]. It
//! needs no other service than the dispatcher, so that operators get answers while the process is
//! still catching up with the common policy.

use super::Lifecycle;
use crate::net::admin::{AdminBackend, FleetReportError, NotReady, NotServing};
use crate::net::dispatcher::{Dispatcher, MaintenanceError};
use crate::net::hot_restart::{ControlCommand, RelayError, ServiceState};
use crate::net::policy::Policy;
use std::sync::Arc;

/// The process that the operators' HTTP endpoint controls.
pub(super) struct AdminControl {
    pub(super) dispatcher: Arc<Dispatcher>,
    pub(super) lifecycle: Arc<Lifecycle>,
}

impl AdminBackend for AdminControl {
    fn readiness(&self) -> Result<(), NotReady> {
        self.lifecycle.readiness()
    }

    fn fleet_report(&self) -> Result<String, FleetReportError> {
        let fleet = self.lifecycle.fleet().ok_or(FleetReportError::NotConfigured)?;
        fleet.report().ok_or(FleetReportError::NotActive)
    }

    fn policy(&self) -> Option<&Arc<Policy>> {
        self.lifecycle.policy()
    }

    fn enter_maintenance(&self, id: &str) -> Result<(), MaintenanceError> {
        self.dispatcher.enter_maintenance(id)
    }

    fn leave_maintenance(&self, id: &str) -> Result<(), MaintenanceError> {
        self.dispatcher.leave_maintenance(id)
    }

    fn set_service(&self, service: ServiceState) -> Result<(), NotServing> {
        self.lifecycle.set_service(service)
    }

    fn relay(&self, command: ControlCommand) -> Result<(), RelayError> {
        self.lifecycle.hot_restart().relay(command)
    }
}
