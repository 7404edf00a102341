//! The wire format of the frames that processes exchange over TCP, compared with recorded bytes:
//! the handshake and each kind of frame, with the length prefix. Processes of different versions
//! exchange frames, so each version must read the frames of the other. A failure here means that
//! the program has changed its format; the recorded bytes, which are older than some names in the
//! code, must not be adapted.

use crate::frame::{self, Frame, RequestId, PROTOCOL_VERSION};
use crate::session;
use crate::{
    ConnectionError, Handshake, MessageHandler, Network, PeerTransport, Process, Timing, TransportConfig,
};
use bytes::BytesMut;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio_util::codec::{Decoder, Encoder};

const HANDSHAKE: &str = "00000019166f71430001066764796e6961026e308080f9c0c1c4820300";
const HANDSHAKE_OF_VOTER: &str = "0000001af2d93ae80001066764796e6961026e308080f9c0c1c482030102";
const HANDSHAKE_OF_PEER: &str = "000000124d2776570001066764796e6961026e390500";
const ONE_WAY: &str = "0000000af2c8603c0304746f6c64";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// Returns the bytes of a frame on TCP, with the length prefix.
fn written(frame: &Frame) -> Vec<u8> {
    let mut out = BytesMut::new();
    let encoded = frame::encode(frame).expect("the frame is short");
    frame::length_codec().encode(encoded, &mut out).expect("the frame is short");
    out.to_vec()
}

fn process(name: &str, start: u64) -> Process {
    Process { name: name.into(), start }
}

fn handshake(sender: Process, voter_id: Option<u8>) -> Frame {
    Frame::Handshake(Handshake { version: PROTOCOL_VERSION, fleet: "gdynia".into(), sender, voter_id })
}

/// Returns the recorded bytes of a frame. The `match` has no wildcard, so a new kind of frame does
/// not compile until its bytes are recorded.
fn recorded(frame: &Frame) -> &'static str {
    match frame {
        Frame::Handshake(Handshake { sender, .. }) if sender.start == 5 => HANDSHAKE_OF_PEER,
        Frame::Handshake(Handshake { voter_id: None, .. }) => HANDSHAKE,
        Frame::Handshake(Handshake { voter_id: Some(_), .. }) => HANDSHAKE_OF_VOTER,
        Frame::Heartbeat => "00000005a016d05201",
        Frame::Resync => "00000005b34623a602",
        Frame::OneWay(_) => ONE_WAY,
        Frame::Request(..) => "0000000dde5544b204ac020561736b6564",
        Frame::Response(..) => "000000102bdff21a05ad0208616e737765726564",
        Frame::NoResponse(_) => "00000007207daeeb06ae02",
    }
}

#[test]
fn every_kind_of_frame_has_the_recorded_bytes() {
    let frames = [
        handshake(process("n0", 1_700_000_000_000_000), None),
        handshake(process("n0", 1_700_000_000_000_000), Some(2)),
        handshake(process("n9", 5), None),
        Frame::Heartbeat,
        Frame::Resync,
        Frame::OneWay(b"told".to_vec()),
        Frame::Request(RequestId(300), b"asked".to_vec()),
        Frame::Response(RequestId(301), b"answered".to_vec()),
        Frame::NoResponse(RequestId(302)),
    ];
    for value in frames {
        let recorded = recorded(&value);
        assert_eq!(hex(&written(&value)), recorded, "encoding of {value:?}");
        let mut stream = BytesMut::from(&bytes(recorded)[..]);
        let body =
            frame::length_codec().decode(&mut stream).expect("a valid length").expect("a complete frame");
        assert!(stream.is_empty(), "the length prefix covers all of {recorded}");
        assert_eq!(frame::decode(&body), Ok(value), "decoding of {recorded}");
    }
}

/// A network without connections, for tests that run a connection on a stream of their own.
#[derive(Clone)]
pub(crate) struct NoNetwork;

impl Network for NoNetwork {
    type Stream = DuplexStream;
    type Listener = ();

    async fn bind(&self, _: SocketAddr) -> io::Result<()> {
        Ok(())
    }

    async fn accept((): &()) -> io::Result<DuplexStream> {
        Err(io::ErrorKind::Unsupported.into())
    }

    async fn connect(&self, _: IpAddr, _: SocketAddr) -> io::Result<DuplexStream> {
        Err(io::ErrorKind::Unsupported.into())
    }
}

/// A handler that records its events in order, as text.
#[derive(Default)]
pub(crate) struct Recorder(Mutex<Vec<String>>);

impl Recorder {
    fn add(&self, line: String) {
        self.0.lock().expect("no holder of the lock has panicked").push(line);
    }
}

impl MessageHandler for Recorder {
    fn on_message(&self, from: &Process, body: &[u8]) -> Option<Vec<u8>> {
        self.add(format!("{from} {} says {}", from.start, String::from_utf8_lossy(body)));
        None
    }

    fn on_connected(&self, peer: &Process, voter_id: Option<u8>) {
        self.add(format!("{peer} {} is connected with voter id {voter_id:?}", peer.start));
    }

    fn on_disconnected(&self, _: &Process) {}

    fn on_resync_needed(&self, _: &Process) {}

    fn on_connection_failed(&self, _: &Process, _: &ConnectionError) {}
}

/// A connection carries the recorded bytes of frames and no others.
#[tokio::test]
async fn a_connection_begins_with_the_recorded_handshake_and_accepts_the_recorded_bytes() {
    let local = process("n0", 1_700_000_000_000_000);
    let config = TransportConfig {
        fleet: "gdynia".into(),
        process: local,
        local_address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        timing: Timing::default(),
        seed: 1,
    };
    let transport = PeerTransport::new(NoNetwork, config);
    let recorder = Arc::new(Recorder::default());
    transport.set_handler(Arc::clone(&recorder) as Arc<dyn MessageHandler>);
    transport.set_voter_id(Some(2));
    let (mut ours, theirs) = tokio::io::duplex(4096);
    let running = tokio::spawn(async move { session::run(transport.shared(), theirs).await });

    let mut handshake = vec![0; bytes(HANDSHAKE_OF_VOTER).len()];
    ours.read_exact(&mut handshake).await.expect("a handshake arrives");
    assert_eq!(hex(&handshake), HANDSHAKE_OF_VOTER);

    // The peer sends its recorded frames.
    ours.write_all(&bytes(HANDSHAKE_OF_PEER)).await.expect("the peer writes the bytes");
    ours.write_all(&bytes(ONE_WAY)).await.expect("the peer writes the bytes");
    ours.shutdown().await.expect("the peer shuts its stream down");
    let end = running.await.expect("the task of the connection does not panic");
    assert!(matches!(end, ConnectionError::ClosedByPeer), "{end:?}");
    let events = recorder.0.lock().expect("no holder of the lock has panicked").clone();
    assert_eq!(events, ["n9 5 is connected with voter id None", "n9 5 says told"]);
}
