use super::*;
use crate::net::dispatcher::IdHash;
use crate::net::hot_restart::{BudgetGrant, CommandError, ControlCommand, DrainState, HandoverOffer};
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::sleep;
use std::time::{Duration, Instant};

/// The longest time that a test waits for an expected event.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);
const POLL_INTERVAL: Duration = Duration::from_millis(5);

/// A newer process that records whether it was told to stop.
#[derive(Default)]
struct Host {
    rejected: AtomicBool,
}

impl HotRestartHost for Host {
    fn handover_offer(&self) -> Option<HandoverOffer> {
        None
    }
    fn shrink_budget(&self, _drain_state: DrainState) -> ResourceBudget {
        ResourceBudget::default()
    }
    fn set_budget(&self, _grant: BudgetGrant) {}
    fn apply_command(&self, _command: &ControlCommand) -> Result<(), CommandError> {
        Ok(())
    }
    fn unrepeatable_ids(&self) -> Vec<IdHash> {
        Vec::new()
    }
    fn remember_ids(&self, _ids: &[IdHash]) {}
    fn peer_changed(&self, _peer: PeerProcessState) {}
    fn handover_rejected(&self) {
        self.rejected.store(true, Ordering::SeqCst);
    }
}

/// A handover, and the older process's end of its connection.
fn handover() -> (Handover, UnixStream) {
    let (stream, older) = UnixStream::pair().unwrap();
    let handover = Handover {
        socket: TcpListener::bind("127.0.0.1:0").unwrap(),
        endpoints: EndpointSnapshot::default(),
        budget: ResourceBudget::default(),
        stream,
        reader: MessageReader::default(),
    };
    (handover, older)
}

fn start_timeout_rejection() -> Vec<u8> {
    Message::Rejection("it took too long".to_owned()).to_line()
}

/// Guards against a newer process that serves alongside the older one, although the older one has
/// abandoned the handover: the rejection arrives during the start, behind another message.
#[test]
fn a_process_that_was_rejected_while_it_started_does_not_join() {
    let (handover, mut older) = handover();
    older.write_all(&Message::Budget(ResourceBudget::default()).to_line()).unwrap();
    older.write_all(&start_timeout_rejection()).unwrap();
    drop(older);

    let joined = HotRestart::new().join(handover);

    assert!(matches!(joined, Err(HandoverError::RejectedLate)), "{joined:?}");
}

/// The older process rejects the handover while the newer one reports that it serves.
#[test]
fn a_process_that_is_rejected_while_it_joins_stops() {
    let (handover, mut older) = handover();
    let host = Arc::new(Host::default());

    let hot_restart = HotRestart::new();
    let peer = hot_restart.join(handover).unwrap();
    hot_restart.begin_serving(peer, Arc::clone(&host) as Arc<dyn HotRestartHost>);
    assert!(!host.rejected.load(Ordering::SeqCst));
    older.write_all(&start_timeout_rejection()).unwrap();

    let deadline = Instant::now() + TEST_TIMEOUT;
    while !host.rejected.load(Ordering::SeqCst) {
        assert!(Instant::now() < deadline, "a rejected process must stop, but it still serves");
        sleep(POLL_INTERVAL);
    }
}

/// Receives the ids of an older process that sends these messages at once; returns the ids and the
/// time that it took. The older process stays unless `is_gone`.
fn receive_ids(
    (shares_ids, ends_ids): (bool, bool),
    messages: &[Message],
    is_gone: bool,
) -> (Vec<IdHash>, Duration, Handover) {
    let (mut handover, mut older) = handover();
    handover.endpoints.shares_ids = shares_ids;
    handover.endpoints.ends_ids = ends_ids;
    for message in messages {
        older.write_all(&message.to_line()).unwrap();
    }
    let older = (!is_gone).then_some(older);
    let received = std::cell::RefCell::new(Vec::new());
    let began = Instant::now();
    handover.receive_ids(|ids| received.borrow_mut().extend_from_slice(ids)).unwrap();
    let time = began.elapsed();
    drop(older);
    (received.into_inner(), time, handover)
}

const AT_ONCE: Duration = Duration::from_millis(300);
/// The newer process must be ready within 6 s, of which the handover may take 4 s.
const MAX_WAIT: Duration = Duration::from_millis(1900);

/// Guards against clients that are accepted before the ids of the older process are known, and against
/// a wait for an older process that has ended, is stopped, or is of an earlier release.
#[test]
fn the_ids_of_the_older_process_are_awaited_until_their_end_and_no_longer() {
    let ids = |ids: &[IdHash]| Message::UnrepeatableIds(ids.to_vec());
    let budget = Message::Budget(ResourceBudget::default());
    let (received, time, handover) =
        receive_ids((true, true), &[ids(&[1, 2]), budget.clone(), ids(&[3]), ids(&[]), ids(&[4])], false);
    assert_eq!(received, [1, 2, 3]);
    assert!(time < AT_ONCE, "{time:?}");
    let mut rest = handover.reader;
    assert_eq!(rest.next_message().unwrap(), Some(budget), "other messages are handled later");
    assert_eq!(rest.next_message().unwrap(), Some(ids(&[4])));

    for (case, is_gone, min, max) in [
        ((true, true), false, AT_ONCE, MAX_WAIT),
        ((true, false), false, AT_ONCE, Duration::from_millis(800)),
        ((true, true), true, Duration::ZERO, AT_ONCE),
        ((false, false), false, Duration::ZERO, AT_ONCE),
    ] {
        let (received, time, _) = receive_ids(case, &[ids(&[5])], is_gone);
        assert_eq!(received, if case.0 { vec![5] } else { Vec::new() }, "{case:?}, gone: {is_gone}");
        assert!((min..max).contains(&time), "{case:?}, gone: {is_gone}: {time:?}");
    }
}
