//! The bytes that processes exchange over TCP, recorded from the program before names in it were
//! changed: the greeting and each kind of frame, with the length before it. They must not change:
//! processes of different versions talk to each other, so a new version must write what an old one
//! reads, and read what an old one writes. A test that fails here says that the program has changed
//! its format; the recorded bytes are not to be adapted.

use crate::connection;
use crate::frame::{self, Frame, VERSION};
use crate::{Handshake, MessageHandler, Network, PeerTransport, Process, Timing, TransportConfig};
use bytes::BytesMut;
use std::io;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};
use tokio::io::{AsyncReadExt, AsyncWriteExt, DuplexStream};
use tokio_util::codec::{Decoder, Encoder};

const GREETING: &str = "00000019166f71430001066764796e6961026e308080f9c0c1c4820300";
const GREETING_OF_FOUNDER: &str = "0000001af2d93ae80001066764796e6961026e308080f9c0c1c482030102";
const GREETING_OF_PEER: &str = "000000124d2776570001066764796e6961026e390500";
const TELL: &str = "0000000af2c8603c0304746f6c64";

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

/// A frame as it goes over TCP, its length included.
fn written(frame: &Frame) -> Vec<u8> {
    let mut out = BytesMut::new();
    let sealed = frame::seal(frame).expect("it is short");
    frame::lengths().encode(sealed, &mut out).expect("it is short");
    out.to_vec()
}

fn process(name: &str, start: u64) -> Process {
    Process { name: name.into(), start }
}

fn hello(from: Process, seat: Option<u8>) -> Frame {
    Frame::Handshake(Handshake { version: VERSION, fleet: "gdynia".into(), from, seat })
}

/// Does not compile when a kind of frame is added, until its bytes are recorded as well.
fn recorded(frame: &Frame) -> &'static str {
    match frame {
        Frame::Handshake(Handshake { from, .. }) if from.start == 5 => GREETING_OF_PEER,
        Frame::Handshake(Handshake { seat: None, .. }) => GREETING,
        Frame::Handshake(Handshake { seat: Some(_), .. }) => GREETING_OF_FOUNDER,
        Frame::Beat => "00000005a016d05201",
        Frame::Behind => "00000005b34623a602",
        Frame::Tell(_) => TELL,
        Frame::Ask(..) => "0000000dde5544b204ac020561736b6564",
        Frame::Answer(..) => "000000102bdff21a05ad0208616e737765726564",
        Frame::NoAnswer(_) => "00000007207daeeb06ae02",
    }
}

#[test]
fn every_kind_of_frame_has_the_recorded_bytes() {
    let frames = [
        hello(process("n0", 1_700_000_000_000_000), None),
        hello(process("n0", 1_700_000_000_000_000), Some(2)),
        hello(process("n9", 5), None),
        Frame::Beat,
        Frame::Behind,
        Frame::Tell(b"told".to_vec()),
        Frame::Ask(300, b"asked".to_vec()),
        Frame::Answer(301, b"answered".to_vec()),
        Frame::NoAnswer(302),
    ];
    for value in frames {
        let recorded = recorded(&value);
        assert_eq!(hex(&written(&value)), recorded, "encoding of {value:?}");
        let mut stream = BytesMut::from(&bytes(recorded)[..]);
        let body = frame::lengths().decode(&mut stream).expect("a length").expect("all of it");
        assert!(stream.is_empty(), "the length counts all of {recorded}");
        assert_eq!(frame::open(&body), Some(value), "decoding of {recorded}");
    }
}

/// No network: the only connection is the one that the test holds.
#[derive(Clone)]
struct NoNetwork;

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

/// What was heard, in order.
#[derive(Default)]
struct Recorder(Mutex<Vec<String>>);

impl Recorder {
    fn add(&self, line: String) {
        self.0.lock().expect("no panic").push(line);
    }
}

impl MessageHandler for Recorder {
    fn on_message(&self, from: &Process, body: &[u8]) -> Option<Vec<u8>> {
        self.add(format!("{from} {} says {}", from.start, String::from_utf8_lossy(body)));
        None
    }

    fn on_connected(&self, peer: &Process, seat: Option<u8>) {
        self.add(format!("{peer} {} is up with seat {seat:?}", peer.start));
    }

    fn on_disconnected(&self, _: &Process) {}

    fn on_resync_needed(&self, _: &Process) {}

    fn on_connection_failed(&self, _: &Process, _: &io::Error) {}
}

/// The bytes at the end of a connection are those of the frames, with nothing around them.
#[tokio::test]
async fn a_connection_begins_with_the_recorded_greeting_and_takes_the_recorded_bytes() {
    let me = process("n0", 1_700_000_000_000_000);
    let config = TransportConfig {
        fleet: "gdynia".into(),
        process: me,
        local_address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        timing: Timing::default(),
        seed: 1,
    };
    let links = PeerTransport::new(NoNetwork, config);
    let recorder = Arc::new(Recorder::default());
    links.set_handler(Arc::clone(&recorder) as Arc<dyn MessageHandler>);
    links.set_voter_id(Some(2));
    let (mut ours, theirs) = tokio::io::duplex(4096);
    let running = tokio::spawn(async move { connection::run(&links, theirs).await });

    let mut greeting = vec![0; bytes(GREETING_OF_FOUNDER).len()];
    ours.read_exact(&mut greeting).await.expect("a greeting");
    assert_eq!(hex(&greeting), GREETING_OF_FOUNDER);

    // Another process answers, as it did before.
    ours.write_all(&bytes(GREETING_OF_PEER)).await.expect("written");
    ours.write_all(&bytes(TELL)).await.expect("written");
    ours.shutdown().await.expect("ended");
    let end = running.await.expect("no panic");
    assert_eq!(end.kind(), io::ErrorKind::UnexpectedEof);
    let heard = recorder.0.lock().expect("no panic").clone();
    assert_eq!(heard, ["n9 5 is up with seat None", "n9 5 says told"]);
}
