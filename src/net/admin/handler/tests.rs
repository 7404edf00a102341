use super::*;
use crate::net::admin::{NotReady, NotServing};
use crate::net::hot_restart::RelayError;
use std::sync::Mutex;

/// A backend that records relayed commands, and returns its fields as results.
struct StubBackend {
    readiness: Result<(), NotReady>,
    fleet_report: Result<String, FleetReportError>,
    maintenance: Result<(), MaintenanceError>,
    service: Result<(), NotServing>,
    relay: Result<(), RelayError>,
    /// The commands that were relayed, in their order.
    relayed: Mutex<Vec<ControlCommand>>,
}

impl Default for StubBackend {
    fn default() -> StubBackend {
        StubBackend {
            readiness: Ok(()),
            fleet_report: Ok("{}".to_owned()),
            maintenance: Ok(()),
            service: Ok(()),
            relay: Ok(()),
            relayed: Mutex::default(),
        }
    }
}

impl AdminBackend for StubBackend {
    fn readiness(&self) -> Result<(), NotReady> {
        self.readiness.clone()
    }

    fn fleet_report(&self) -> Result<String, FleetReportError> {
        self.fleet_report.clone()
    }

    fn policy(&self) -> Option<&Arc<Policy>> {
        None
    }

    fn enter_maintenance(&self, _id: &str) -> Result<(), MaintenanceError> {
        self.maintenance.clone()
    }

    fn leave_maintenance(&self, _id: &str) -> Result<(), MaintenanceError> {
        self.maintenance.clone()
    }

    fn set_service(&self, _service: ServiceState) -> Result<(), NotServing> {
        self.service
    }

    fn relay(&self, command: ControlCommand) -> Result<(), RelayError> {
        self.relayed.lock().unwrap().push(command);
        self.relay.clone()
    }
}

fn enter_maintenance(id: &str) -> AdminRequest {
    AdminRequest::Command(ControlCommand::EnterMaintenance(id.to_owned()))
}

fn leave_maintenance(id: &str) -> AdminRequest {
    AdminRequest::Command(ControlCommand::LeaveMaintenance(id.to_owned()))
}

fn set_service(service: ServiceState) -> AdminRequest {
    AdminRequest::Command(ControlCommand::SetService(service))
}

/// Handles a request, and returns the status and the text of the response.
fn handled(request: AdminRequest, backend: &StubBackend) -> (u16, String) {
    let response = handle(request, backend);
    (response.status, response.text)
}

#[test]
fn the_response_to_ready_depends_on_the_state_of_the_process() {
    let catching_up = Err(NotReady::CatchingUp("no leader".into()));
    let fenced = Err(NotReady::Fenced("no lease".into()));
    let stopping = Err(NotReady::StartingOrStopping);
    let ready_is = |readiness| handled(AdminRequest::Ready, &StubBackend { readiness, ..Default::default() });

    assert_eq!(ready_is(Ok(())), (200, "ready".into()));
    assert_eq!(ready_is(catching_up), (503, "not ready: it catches up: no leader".into()));
    assert_eq!(ready_is(fenced), (503, "not ready: fenced: no lease".into()));
    assert_eq!(ready_is(stopping), (503, "not ready: starting or stopping".into()));
}

#[test]
fn a_command_of_operators_is_relayed_to_the_other_process() {
    let backend = StubBackend::default();

    assert_eq!(handled(enter_maintenance("a"), &backend).0, 200);
    assert_eq!(handled(leave_maintenance("a"), &backend).0, 200);
    assert_eq!(handled(set_service(ServiceState::OutOfService), &backend).0, 200);
    assert_eq!(handled(set_service(ServiceState::InService), &backend), (200, "in service".into()));

    let relayed = [
        ControlCommand::EnterMaintenance("a".into()),
        ControlCommand::LeaveMaintenance("a".into()),
        ControlCommand::SetService(ServiceState::OutOfService),
        ControlCommand::SetService(ServiceState::InService),
    ];
    assert_eq!(*backend.relayed.lock().unwrap(), relayed);
}

#[test]
fn a_command_that_this_process_rejects_is_not_relayed() {
    let backend = StubBackend {
        maintenance: Err(MaintenanceError::Origin("o".into())),
        service: Err(NotServing),
        ..Default::default()
    };

    assert_eq!(handled(enter_maintenance("o"), &backend).0, 409);
    assert_eq!(handled(set_service(ServiceState::InService), &backend), (409, "this process stops".into()));
    assert!(backend.relayed.lock().unwrap().is_empty());
}

#[test]
fn a_command_that_the_other_process_does_not_confirm_is_unavailable() {
    let backend = StubBackend { relay: Err(RelayError::NotConfirmed), ..Default::default() };
    let text = "done here only: the other process of this proxy has not confirmed it";

    assert_eq!(handled(set_service(ServiceState::OutOfService), &backend), (503, text.into()));
}

#[test]
fn without_a_fleet_or_a_policy_their_requests_are_not_found() {
    let fleet_report = Err(FleetReportError::NotConfigured);
    let backend = StubBackend { fleet_report, ..Default::default() };
    let inactive = StubBackend { fleet_report: Err(FleetReportError::NotActive), ..Default::default() };

    assert_eq!(handled(AdminRequest::Fleet, &backend), (404, "no fleet is configured".into()));
    assert_eq!(handled(AdminRequest::Fleet, &inactive).0, 503);
    assert_eq!(handled(AdminRequest::Fleet, &StubBackend::default()), (200, "{}".into()));
    let no_policy = "no common policy is configured, or it starts";
    assert_eq!(handled(AdminRequest::Policy, &backend), (404, no_policy.into()));
}
