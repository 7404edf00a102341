use super::*;

#[test]
fn each_event_leads_to_the_phase_of_the_transition_table() {
    use LifecycleEvent::{PeerChanged, ReloadFinished, ReloadStarted, ServiceSet, Started, StopRequested};
    let mut state = LifecycleState::default();
    let mut after = |event| {
        state.apply(event);
        (state.phase, state.peer_accepts_clients())
    };
    let out_of_service = ServiceSet(ServiceState::OutOfService);

    assert_eq!(after(out_of_service), (Phase::Starting, false), "the phase stays while the process starts");
    assert_eq!(after(Started), (Phase::OutOfService, false));
    assert_eq!(after(ReloadStarted), (Phase::Reloading, false));
    assert_eq!(after(PeerChanged(PeerProcessState::Serving)), (Phase::Reloading, true));
    assert_eq!(after(ReloadFinished), (Phase::HandingOver, true));
    assert_eq!(after(PeerChanged(PeerProcessState::None)), (Phase::OutOfService, false));

    // A newer process whose peer has just ended.
    state.service = ServiceState::InService;
    state.role = ProcessRole::Newer;
    state.enter_serving_phase();
    assert_eq!((state.phase, state.peer_accepts_clients()), (Phase::Serving, false));

    let mut after = |event| {
        state.apply(event);
        (state.phase, state.peer_accepts_clients())
    };
    assert_eq!(after(PeerChanged(PeerProcessState::Leaving)), (Phase::TakingOver, false));
    assert_eq!(after(StopRequested), (Phase::Draining, false), "a drain that has begun is not undone");
}

#[test]
fn a_newer_process_becomes_the_older_one_when_its_peer_has_ended() {
    let mut state = LifecycleState::default();

    state.apply(LifecycleEvent::HandoverReceived);
    assert_eq!(state.phase, Phase::Starting, "a handover alone does not start the serving phase");
    state.apply(LifecycleEvent::Started);
    assert_eq!(state.phase, Phase::TakingOver);
    state.apply(LifecycleEvent::PeerChanged(PeerProcessState::None));
    assert_eq!(state.phase, Phase::Serving);
    state.apply(LifecycleEvent::PeerChanged(PeerProcessState::Serving));
    assert_eq!(state.phase, Phase::HandingOver);
    state.apply(LifecycleEvent::DrainFinished);
    assert_eq!(state.phase, Phase::Stopped);
}
