use super::*;

#[test]
fn the_phase_follows_from_what_holds() {
    let mut stand = Stand::default();
    let mut after = |change: fn(&mut Stand)| {
        change(&mut stand);
        stand.settle();
        (stand.phase, stand.leaves_accepting())
    };
    assert_eq!(after(|stand| stand.away = true), (Phase::Starting, false), "not before it serves");
    assert_eq!(after(|stand| stand.enter(Phase::Serving)), (Phase::OutOfService, false));
    assert_eq!(after(|stand| stand.reloading = true), (Phase::Reloading, false));
    assert_eq!(after(|stand| stand.partner = PeerProcess::Serving), (Phase::Reloading, true));
    assert_eq!(after(|stand| stand.reloading = false), (Phase::HandingOver, true));
    assert_eq!(after(|stand| stand.partner = PeerProcess::None), (Phase::OutOfService, false));
    assert_eq!(after(|stand| (stand.away, stand.is_newcomer) = (false, true)), (Phase::Serving, false));
    assert_eq!(after(|stand| stand.partner = PeerProcess::Leaving), (Phase::TakingOver, false));
    assert_eq!(after(|stand| stand.enter(Phase::Draining)), (Phase::Draining, false), "it ends once begun");
}
