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

    let joined = HotRestart::new().join(handover, Arc::new(Host::default()));

    assert!(matches!(joined, Err(HandoverError::RejectedLate)), "{joined:?}");
}

/// The older process rejects the handover while the newer one reports that it serves.
#[test]
fn a_process_that_is_rejected_while_it_joins_stops() {
    let (handover, mut older) = handover();
    let host = Arc::new(Host::default());

    HotRestart::new().join(handover, Arc::clone(&host) as Arc<dyn HotRestartHost>).unwrap();
    assert!(!host.rejected.load(Ordering::SeqCst));
    older.write_all(&start_timeout_rejection()).unwrap();

    let deadline = Instant::now() + TEST_TIMEOUT;
    while !host.rejected.load(Ordering::SeqCst) {
        assert!(Instant::now() < deadline, "a rejected process must stop, but it still serves");
        sleep(POLL_INTERVAL);
    }
}
