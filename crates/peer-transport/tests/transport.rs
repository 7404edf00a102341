//! Transports of several processes on an in-memory network, with tokio's clock paused.

use pinetrail_peer_transport::{
    ConnectionError, MessageHandler, Network, Peer, PeerTransport, Process, Timing, TransportConfig,
};
use std::collections::HashMap;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use std::time::Duration;
use tokio::io::DuplexStream;
use tokio::sync::mpsc::{channel, Receiver, Sender};
use tokio::sync::Mutex as AsyncMutex;
use tokio::time::{sleep, timeout};

const FLEET: &str = "gdynia";
/// The timeout of requests and conditions.
const TEST_TIMEOUT: Duration = Duration::from_secs(5);

/// An in-memory network. All clones share their listeners.
#[derive(Clone, Default)]
struct MemoryNetwork {
    listeners: Arc<Mutex<HashMap<SocketAddr, Sender<DuplexStream>>>>,
}

impl Network for MemoryNetwork {
    type Stream = DuplexStream;
    type Listener = AsyncMutex<Receiver<DuplexStream>>;

    async fn bind(&self, address: SocketAddr) -> io::Result<Self::Listener> {
        let (sender, receiver) = channel(16);
        self.listeners.lock().unwrap().insert(address, sender);
        Ok(AsyncMutex::new(receiver))
    }

    async fn accept(listener: &Self::Listener) -> io::Result<DuplexStream> {
        match listener.lock().await.recv().await {
            Some(stream) => Ok(stream),
            None => std::future::pending().await,
        }
    }

    async fn connect(&self, _: IpAddr, remote: SocketAddr) -> io::Result<DuplexStream> {
        let listener = self.listeners.lock().unwrap().get(&remote).cloned();
        let listener = listener.ok_or(io::ErrorKind::ConnectionRefused)?;
        let (own, theirs) = tokio::io::duplex(1 << 16);
        listener.send(theirs).await.map_err(|_| io::ErrorKind::ConnectionRefused)?;
        Ok(own)
    }
}

/// Responds to "ping" with "pong" and to no other request; records messages and errors.
#[derive(Default)]
struct Handler {
    messages: Mutex<Vec<Vec<u8>>>,
    errors: Mutex<Vec<String>>,
}

impl MessageHandler for Handler {
    fn on_message(&self, _: &Process, body: &[u8]) -> Option<Vec<u8>> {
        self.messages.lock().unwrap().push(body.to_vec());
        (body == b"ping").then(|| b"pong".to_vec())
    }

    fn on_connected(&self, _: &Process, _: Option<u8>) {}

    fn on_disconnected(&self, _: &Process) {}

    fn on_resync_needed(&self, _: &Process) {}

    fn on_connection_failed(&self, _: &Process, error: &ConnectionError) {
        self.errors.lock().unwrap().push(error.to_string());
    }
}

struct Node {
    transport: Arc<PeerTransport<MemoryNetwork>>,
    handler: Arc<Handler>,
    peer: Peer,
}

/// Starts process `number`, which accepts connections at an address with the same number.
async fn start(network: &MemoryNetwork, number: u8) -> Node {
    let process = Process { name: format!("n{number}").as_str().into(), start: u64::from(number) };
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, number), 7947));
    let config = TransportConfig {
        fleet: FLEET.into(),
        process: process.clone(),
        local_address: address.ip(),
        timing: Timing::default(),
        seed: u64::from(number),
    };
    let transport = PeerTransport::new(network.clone(), config);
    let handler = Arc::new(Handler::default());
    transport.set_handler(Arc::clone(&handler) as Arc<dyn MessageHandler>);
    transport.listen(address).await.unwrap();
    Node { transport, handler, peer: Peer { process, address } }
}

/// Waits until a condition holds, for at most [`TEST_TIMEOUT`] on the test's clock.
async fn wait_until(condition: impl Fn() -> bool) {
    timeout(TEST_TIMEOUT, async {
        while !condition() {
            sleep(Duration::from_millis(1)).await;
        }
    })
    .await
    .expect("the condition holds within the timeout");
}

/// Returns two connected processes, of which the first has dialled the second.
async fn connected_pair() -> (Node, Node) {
    let network = MemoryNetwork::default();
    let first = start(&network, 1).await;
    let second = start(&network, 2).await;
    first.transport.set_peers(vec![second.peer.clone()]);
    wait_until(|| first.transport.is_connected(&second.peer.process)).await;
    wait_until(|| second.transport.is_connected(&first.peer.process)).await;
    (first, second)
}

async fn request(from: &Node, to: &Node, body: &[u8]) -> Option<Vec<u8>> {
    from.transport.request(&to.peer.process, body.to_vec(), TEST_TIMEOUT).await
}

/// A connection serves both directions, whichever process dialled it.
#[tokio::test(start_paused = true)]
async fn either_end_of_a_connection_can_send_requests() {
    let (first, second) = connected_pair().await;

    assert_eq!(request(&first, &second, b"ping").await, Some(b"pong".to_vec()));
    assert_eq!(request(&second, &first, b"ping").await, Some(b"pong".to_vec()));
}

#[tokio::test(start_paused = true)]
async fn a_request_without_a_response_ends_at_once() {
    let (first, second) = connected_pair().await;

    let response = timeout(Duration::from_millis(100), request(&first, &second, b"other")).await;

    assert_eq!(response, Ok(None));
}

#[tokio::test(start_paused = true)]
async fn a_message_reaches_only_connected_peers() {
    let (first, second) = connected_pair().await;
    let unconnected = Process { name: "n9".into(), start: 9 };

    assert!(first.transport.send(&second.peer.process, b"sent".to_vec()));
    assert!(!first.transport.send(&unconnected, b"sent".to_vec()));
    first.transport.broadcast(b"to all");

    wait_until(|| second.handler.messages.lock().unwrap().len() == 2).await;
    assert_eq!(*second.handler.messages.lock().unwrap(), [b"sent".to_vec(), b"to all".to_vec()]);
}

#[tokio::test(start_paused = true)]
async fn a_new_voter_id_is_announced_by_a_new_connection() {
    let (first, second) = connected_pair().await;
    assert_eq!(first.transport.voter_process(3), None);

    second.transport.set_voter_id(Some(3));

    wait_until(|| first.transport.voter_process(3).is_some()).await;
    assert_eq!(first.transport.voter_process(3).as_ref(), Some(&second.peer.process));
}

#[tokio::test(start_paused = true)]
async fn an_unreachable_peer_is_dialled_until_it_is_removed_from_the_peers() {
    let network = MemoryNetwork::default();
    let node = start(&network, 1).await;
    let failures = || node.handler.errors.lock().unwrap().len();
    let process = Process { name: "n2".into(), start: 2 };
    let address = SocketAddr::from((Ipv4Addr::new(10, 0, 0, 2), 7947));

    node.transport.set_peers(vec![Peer { process, address }]);
    wait_until(|| failures() >= 3).await;
    assert_eq!(node.handler.errors.lock().unwrap()[0], "connecting failed");

    node.transport.set_peers(vec![]);
    let before = failures();
    sleep(TEST_TIMEOUT).await;
    assert_eq!(failures(), before);
}

#[tokio::test(start_paused = true)]
async fn a_process_does_not_dial_itself() {
    let network = MemoryNetwork::default();
    let node = start(&network, 1).await;

    node.transport.set_peers(vec![node.peer.clone()]);
    sleep(TEST_TIMEOUT).await;

    assert_eq!(node.transport.connected_peers(), []);
    assert!(node.handler.errors.lock().unwrap().is_empty());
}
