//! What each request does, and what its response is. A request about the whole proxy is put to this
//! process, then to the other one, if there are two.

use super::backend::{AdminBackend, FleetReportError};
use super::request::AdminRequest;
use super::response::AdminResponse;
use crate::net::dispatcher::MaintenanceError;
use crate::net::hot_restart::{ControlCommand, ServiceState};
use crate::net::policy::Policy;
use std::sync::Arc;

/// Has the backend do what a request asks. A refusal is a response too.
pub(super) fn handle(request: AdminRequest, backend: &dyn AdminBackend) -> AdminResponse {
    let result = match request {
        AdminRequest::Ready => return ready(backend),
        AdminRequest::Fleet => return fleet_report(backend),
        AdminRequest::Policy => return with_policy(backend, |policy| policy.standing()),
        AdminRequest::Drift => return with_policy(backend, |policy| policy.drift()),
        AdminRequest::Restore => return with_policy(backend, |policy| policy.restore()),
        AdminRequest::Propose(body) => return with_policy(backend, |policy| policy.propose(&body)),
        AdminRequest::Change(id) => return with_policy(backend, |policy| policy.change(&id)),
        AdminRequest::Offline(id) => enter_maintenance(id, backend),
        AdminRequest::Online(id) => leave_maintenance(id, backend),
        AdminRequest::OutOfService => set_service(ServiceState::OutOfService, backend),
        AdminRequest::InService => set_service(ServiceState::InService, backend),
    };
    result.unwrap_or_else(|refusal| refusal)
}

fn ready(backend: &dyn AdminBackend) -> AdminResponse {
    match backend.readiness() {
        Ok(()) => AdminResponse::ok("ready"),
        Err(reason) => AdminResponse::unavailable(reason.to_string()),
    }
}

fn fleet_report(backend: &dyn AdminBackend) -> AdminResponse {
    match backend.fleet_report() {
        Ok(report) => AdminResponse::json(200, report),
        Err(error @ FleetReportError::NotConfigured) => AdminResponse::not_found(error.to_string()),
        Err(error @ FleetReportError::NotActive) => AdminResponse::unavailable(error.to_string()),
    }
}

/// The status and the JSON document that the common policy answers.
fn with_policy(backend: &dyn AdminBackend, ask: impl FnOnce(&Arc<Policy>) -> (u16, String)) -> AdminResponse {
    match backend.policy() {
        Some(policy) => {
            let (status, json) = ask(policy);
            AdminResponse::json(status, json)
        }
        None => AdminResponse::not_found("no common policy is configured, or it starts"),
    }
}

fn enter_maintenance(id: String, backend: &dyn AdminBackend) -> Result<AdminResponse, AdminResponse> {
    backend.enter_maintenance(&id).map_err(|error| maintenance_refused(&error))?;
    let text = format!("{id} is out: nothing more goes there until it is called back");
    relay(ControlCommand::EnterMaintenance(id), backend)?;
    Ok(AdminResponse::ok(text))
}

fn leave_maintenance(id: String, backend: &dyn AdminBackend) -> Result<AdminResponse, AdminResponse> {
    backend.leave_maintenance(&id).map_err(|error| maintenance_refused(&error))?;
    let text = format!("{id} may serve as far as discovery lists it as ready");
    relay(ControlCommand::LeaveMaintenance(id), backend)?;
    Ok(AdminResponse::ok(text))
}

fn set_service(service: ServiceState, backend: &dyn AdminBackend) -> Result<AdminResponse, AdminResponse> {
    backend.set_service(service).map_err(|error| AdminResponse::conflict(error.to_string()))?;
    relay(ControlCommand::SetService(service), backend)?;
    Ok(AdminResponse::ok(match service {
        ServiceState::OutOfService => "out of service: clients are sent away",
        ServiceState::InService => "in service",
    }))
}

/// Has the other process apply what this one has applied.
fn relay(command: ControlCommand, backend: &dyn AdminBackend) -> Result<(), AdminResponse> {
    backend.relay(command).map_err(|error| AdminResponse::unavailable(format!("done here only: {error}")))
}

pub(super) fn maintenance_refused(error: &MaintenanceError) -> AdminResponse {
    match error {
        MaintenanceError::NeverListed(_) => AdminResponse::not_found(error.to_string()),
        MaintenanceError::Origin(_) | MaintenanceError::TooMany => AdminResponse::conflict(error.to_string()),
    }
}

#[cfg(test)]
mod tests;
