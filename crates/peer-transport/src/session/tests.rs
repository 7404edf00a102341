use super::*;
use crate::golden_tests::{NoNetwork, Recorder};
use crate::{Process, TransportConfig};
use std::net::{IpAddr, Ipv4Addr};

const FLEET: &str = "gdynia";

fn process(name: &str) -> Process {
    Process { name: name.into(), start: 1 }
}

fn handshake_of(name: &str) -> Handshake {
    Handshake { version: PROTOCOL_VERSION, fleet: FLEET.into(), sender: process(name), voter_id: None }
}

/// Runs a connection of the process "own" to a peer that writes only these frames. Returns the
/// reason for the end of the connection.
async fn end_after(frames: &[Frame]) -> ConnectionError {
    let config = TransportConfig {
        fleet: FLEET.into(),
        process: process("own"),
        local_address: IpAddr::V4(Ipv4Addr::LOCALHOST),
        timing: Timing::default(),
        seed: 1,
    };
    let shared = Arc::new(Shared::new(NoNetwork, config));
    shared.set_handler(Arc::new(Recorder::default()));
    let (mut peer, stream) = tokio::io::duplex(4096);
    for frame in frames {
        write_frame(&mut peer, frame::encode(frame).unwrap()).await.unwrap();
    }
    run(&shared, stream).await
}

#[tokio::test]
async fn a_peer_of_another_version_is_rejected() {
    let error = end_after(&[Frame::Handshake(Handshake { version: 2, ..handshake_of("peer") })]).await;

    let expected = HandshakeError::VersionMismatch { expected: 1, found: 2 };
    assert!(matches!(&error, ConnectionError::Handshake(found) if *found == expected), "{error:?}");
}

#[tokio::test]
async fn a_peer_of_another_fleet_is_rejected() {
    let error = end_after(&[Frame::Handshake(Handshake { fleet: "x".into(), ..handshake_of("peer") })]).await;

    let expected = HandshakeError::FleetMismatch { expected: FLEET.into(), found: "x".into() };
    assert!(matches!(&error, ConnectionError::Handshake(found) if *found == expected), "{error:?}");
}

#[tokio::test]
async fn a_connection_to_this_process_itself_is_rejected() {
    let error = end_after(&[Frame::Handshake(handshake_of("own"))]).await;

    let expected = HandshakeError::ConnectedToSelf { process: process("own") };
    assert!(matches!(&error, ConnectionError::Handshake(found) if *found == expected), "{error:?}");
}

#[tokio::test]
async fn a_peer_whose_first_frame_is_no_handshake_is_rejected() {
    let error = end_after(&[Frame::Heartbeat]).await;

    assert!(matches!(error, ConnectionError::Handshake(HandshakeError::NotAHandshake)), "{error:?}");
}

#[tokio::test(start_paused = true)]
async fn a_peer_that_sends_no_handshake_times_out() {
    let error = end_after(&[]).await;

    let limit = Timing::default().handshake_timeout;
    let expected = HandshakeError::Timeout { limit };
    assert!(matches!(&error, ConnectionError::Handshake(found) if *found == expected), "{error:?}");
}

#[tokio::test]
async fn a_second_handshake_ends_the_connection() {
    let handshake = Frame::Handshake(handshake_of("peer"));

    let error = end_after(&[handshake.clone(), handshake]).await;

    assert!(matches!(error, ConnectionError::SecondHandshake), "{error:?}");
}

#[tokio::test(start_paused = true)]
async fn the_connection_of_a_silent_peer_ends() {
    let error = end_after(&[Frame::Handshake(handshake_of("peer"))]).await;

    let silence = Timing::default().silence_timeout;
    assert!(matches!(error, ConnectionError::Silent { limit } if limit == silence), "{error:?}");
}
