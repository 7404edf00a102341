//! Executes operators' requests: [`handle`]. A command for the whole proxy is applied by this
//! process, then by the other one, if there are two.

use super::backend::{AdminBackend, FleetReportError};
use super::request::AdminRequest;
use super::response::{AdminResponse, STATUS_OK};
use crate::net::dispatcher::MaintenanceError;
use crate::net::hot_restart::{ControlCommand, ServiceState};
use crate::net::policy::admin::PolicyResponse;
use crate::net::policy::Policy;
use std::sync::Arc;

/// Executes a request, and returns its response. A request that fails gets a response too.
pub(super) fn handle(request: AdminRequest, backend: &dyn AdminBackend) -> AdminResponse {
    match request {
        AdminRequest::Ready => ready(backend),
        AdminRequest::Fleet => fleet_report(backend),
        AdminRequest::Policy => with_policy(backend, |policy| policy.status()),
        AdminRequest::Drift => with_policy(backend, |policy| policy.drift_report()),
        AdminRequest::Restore => with_policy(backend, |policy| policy.restore()),
        AdminRequest::Propose(body) => with_policy(backend, |policy| policy.propose(&body)),
        AdminRequest::Change(id) => with_policy(backend, |policy| policy.change_status(&id)),
        AdminRequest::Command(command) => run_command(command, backend),
    }
}

fn ready(backend: &dyn AdminBackend) -> AdminResponse {
    match backend.readiness() {
        Ok(()) => AdminResponse::ok("ready"),
        Err(reason) => AdminResponse::unavailable(reason.to_string()),
    }
}

fn fleet_report(backend: &dyn AdminBackend) -> AdminResponse {
    match backend.fleet_report() {
        Ok(report) => AdminResponse::json(STATUS_OK, report),
        Err(error @ FleetReportError::NotConfigured) => AdminResponse::not_found(error.to_string()),
        Err(error @ FleetReportError::NotActive) => AdminResponse::unavailable(error.to_string()),
    }
}

/// Responds with the status and the JSON document of the common policy.
fn with_policy(
    backend: &dyn AdminBackend,
    query: impl FnOnce(&Arc<Policy>) -> PolicyResponse,
) -> AdminResponse {
    match backend.policy() {
        Some(policy) => {
            let PolicyResponse { status, json } = query(policy);
            AdminResponse::json(status, json)
        }
        None => AdminResponse::not_found("no common policy is configured, or it starts"),
    }
}

/// Applies a command in this process, then in the other one, if there is one.
///
/// Invariant: a command that this process rejects is not relayed.
fn run_command(command: ControlCommand, backend: &dyn AdminBackend) -> AdminResponse {
    if let Err(rejection) = apply_locally(&command, backend) {
        return rejection;
    }
    let text = applied_text(&command);
    match backend.relay(command) {
        Ok(()) => AdminResponse::ok(text),
        Err(error) => AdminResponse::unavailable(format!("done here only: {error}")),
    }
}

/// Applies a command in this process. The error is the response to a command that is rejected.
fn apply_locally(command: &ControlCommand, backend: &dyn AdminBackend) -> Result<(), AdminResponse> {
    match command {
        ControlCommand::EnterMaintenance(id) => {
            backend.enter_maintenance(id).map_err(|error| maintenance_rejected(&error))
        }
        ControlCommand::LeaveMaintenance(id) => {
            backend.leave_maintenance(id).map_err(|error| maintenance_rejected(&error))
        }
        ControlCommand::SetService(service) => {
            backend.set_service(*service).map_err(|error| AdminResponse::conflict(error.to_string()))
        }
    }
}

/// Returns the text of the response to a command that both processes have applied.
fn applied_text(command: &ControlCommand) -> String {
    match command {
        ControlCommand::EnterMaintenance(id) => {
            format!("{id} is out: nothing more goes there until it is called back")
        }
        ControlCommand::LeaveMaintenance(id) => {
            format!("{id} may serve as far as discovery lists it as ready")
        }
        ControlCommand::SetService(ServiceState::OutOfService) => {
            "out of service: clients are sent away".to_owned()
        }
        ControlCommand::SetService(ServiceState::InService) => "in service".to_owned(),
    }
}

/// Returns the response to a command for a node that cannot enter or leave maintenance.
pub(super) fn maintenance_rejected(error: &MaintenanceError) -> AdminResponse {
    match error {
        MaintenanceError::NeverListed(_) => AdminResponse::not_found(error.to_string()),
        MaintenanceError::Origin(_) | MaintenanceError::TooMany => AdminResponse::conflict(error.to_string()),
    }
}

#[cfg(test)]
mod tests;
