//! Guards against a change of the format of datagrams: of each kind, of the identity of a member,
//! and of the messages of SWIM as the library encodes them. Processes of different versions
//! exchange these datagrams, so that a new version must write what an old one reads, and read what
//! an old one writes. If a test here fails, the program is to be corrected, not the recorded bytes.

use crate::wire::{
    decode_body, decode_datagram, decode_member_id, encode_body, encode_datagram, DatagramKind,
};
use crate::{MemberId, MemberState, Membership, Output, Settings, Timestamp, Timing};
use std::net::SocketAddr;

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|byte| format!("{byte:02x}")).collect()
}

fn bytes(hex: &str) -> Vec<u8> {
    let byte = |at| u8::from_str_radix(&hex[at..at + 2], 16).expect("two hex digits");
    (0..hex.len()).step_by(2).map(byte).collect()
}

fn check(written: &[u8], recorded: &str) {
    assert_eq!(hex(written), recorded);
}

fn address(host: u8) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host], 7946))
}

/// Returns the recorded datagram of this kind. The `match` does not compile until a new kind has a
/// recorded datagram.
fn recorded(kind: DatagramKind) -> &'static str {
    match kind {
        DatagramKind::Swim => "70740100d6503d43066764796e6961626f6479",
        DatagramKind::Discover => "70740101e721e973066764796e6961626f6479",
        DatagramKind::DiscoverReply => "70740102b4b39523066764796e6961626f6479",
        DatagramKind::NameConflict => "7074010385c24113066764796e6961626f6479",
        DatagramKind::FleetFull => "7074010413976d83066764796e6961626f6479",
        DatagramKind::Leave => "7074010522e6b9b3066764796e6961626f6479",
        DatagramKind::Quota => "707401067174c5e3066764796e6961626f6479",
        DatagramKind::Directory => "70740107400511d3066764796e6961626f6479",
    }
}

#[test]
fn every_kind_of_datagram_has_the_recorded_bytes() {
    let kinds = [
        DatagramKind::Swim,
        DatagramKind::Discover,
        DatagramKind::DiscoverReply,
        DatagramKind::NameConflict,
        DatagramKind::FleetFull,
        DatagramKind::Leave,
        DatagramKind::Quota,
        DatagramKind::Directory,
    ];
    for kind in kinds {
        check(&encode_datagram(kind, "gdynia", b"body"), recorded(kind));
        assert_eq!(decode_datagram("gdynia", &bytes(recorded(kind))), Ok((kind, &b"body"[..])));
    }
}

#[test]
fn the_identity_of_a_member_has_the_recorded_bytes() {
    let v6 = SocketAddr::from(([0xfd00, 1, 2, 3, 4, 5, 6, 7], 65_535));
    let first = MemberId::new("n0".into(), 1_700_000_000_000_000, address(1));
    let recorded = [
        (first.with_generation(300), "026e308080f9c0c1c48203ac02000a0000018a3e"),
        (first, "026e308080f9c0c1c4820300000a0000018a3e"),
        (MemberId::new("n1".into(), 5, v6), "026e31050001fd000001000200030004000500060007ffff03"),
    ];
    for (id, recorded) in recorded {
        check(&encode_body(&id), recorded);
        assert_eq!(decode_member_id(&bytes(recorded)), Ok(id));
    }
}

#[test]
fn the_body_of_fleet_full_has_the_recorded_bytes() {
    check(&encode_body(&300_u64), "ac02");
    assert_eq!(decode_body(&bytes("ac02")), Ok(300_u64));
}

fn member(host: u8) -> Membership {
    let settings = Settings {
        fleet: "gdynia".into(),
        name: format!("n{host}"),
        advertise: address(host),
        peers: [1, 2, 3].into_iter().filter(|peer| *peer != host).map(address).collect(),
        size: 5,
        timing: Timing::default(),
    };
    let (start, seed) = (1_700_000_000_000_000 + u64::from(host), u64::from(host));
    Membership::new(settings, start, seed, Timestamp::ZERO).expect("the settings are valid")
}

const LEAVES_AT_MS: u64 = 450;

/// The datagrams that two members exchange until both have sent a probe and one has left. The third
/// configured peer never responds, and the datagrams to it are not recorded.
const RECORDED_DATAGRAMS: &[&str] = &[
    "707401017db6f863066764796e6961026e318180f9c0c1c4820300000a0000018a3e",
    "70740101644d3c02066764796e6961026e328280f9c0c1c4820300000a0000028a3e",
    "70740102860e8be2066764796e6961026e328280f9c0c1c4820300000a0000028a3e",
    "707401029ff54f83066764796e6961026e318180f9c0c1c4820300000a0000018a3e",
    "707401009c5621f9066764796e6961026e318180f9c0c1c4820300000a0000018a3e00026e32\
     8280f9c0c1c4820300000a0000028a3e06",
    "70740100040dff48066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c4820300000a0000018a3e06",
    "707401009b5eb74c066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c4820300000a0000018a3e070000",
    "707401004cda0196066764796e6961026e318180f9c0c1c4820300000a0000018a3e00026e32\
     8280f9c0c1c4820300000a0000028a3e070000",
    "7074010017e14cb7066764796e6961026e318180f9c0c1c4820300000a0000018a3e00026e32\
     8280f9c0c1c4820300000a0000028a3e080001026e328280f9c0c1c4820300000a0000028a3e\
     0000",
    "70740100dda33247066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c4820300000a0000018a3e080001026e318180f9c0c1c4820300000a0000018a3e\
     0000",
    "7074010017e14cb7066764796e6961026e318180f9c0c1c4820300000a0000018a3e00026e32\
     8280f9c0c1c4820300000a0000028a3e080001026e328280f9c0c1c4820300000a0000028a3e\
     0000",
    "70740100dda33247066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c4820300000a0000018a3e080001026e318180f9c0c1c4820300000a0000018a3e\
     0000",
    "7074010017e14cb7066764796e6961026e318180f9c0c1c4820300000a0000018a3e00026e32\
     8280f9c0c1c4820300000a0000028a3e080001026e328280f9c0c1c4820300000a0000028a3e\
     0000",
    "70740100dda33247066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c4820300000a0000018a3e080001026e318180f9c0c1c4820300000a0000018a3e\
     0000",
    "7074010010d782ee066764796e6961026e318180f9c0c1c4820300000a0000018a3e00026e32\
     8280f9c0c1c4820300000a0000028a3e00010001026e328280f9c0c1c4820300000a0000028a\
     3e0000",
    "7074010017e14cb7066764796e6961026e318180f9c0c1c4820300000a0000018a3e00026e32\
     8280f9c0c1c4820300000a0000028a3e080001026e328280f9c0c1c4820300000a0000028a3e\
     0000",
    "70740100d783ca71066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c4820300000a0000018a3e00010001026e318180f9c0c1c4820300000a0000018a\
     3e0000",
    "70740100dda33247066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c4820300000a0000018a3e080001026e318180f9c0c1c4820300000a0000018a3e\
     0000",
    "70740100f9b701ec066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c4820300000a0000018a3e01010001026e318180f9c0c1c4820300000a0000018a\
     3e0000",
    "707401003ee34973066764796e6961026e318180f9c0c1c4820300000a0000018a3e00026e32\
     8280f9c0c1c4820300000a0000028a3e01010001026e328280f9c0c1c4820300000a0000028a\
     3e0000",
    "707401053c1efa6d066764796e6961026e318180f9c0c1c48203ffffffff0f000a0000018a3e",
    "70740100d555a91d066764796e6961026e318180f9c0c1c48203ffffffff0f000a0000018a3e\
     00026e328280f9c0c1c4820300000a0000028a3e080002026e318180f9c0c1c4820300000a00\
     00018a3e0002026e328280f9c0c1c4820300000a0000028a3e0000",
    "70740100c2ba7335066764796e6961026e318180f9c0c1c48203ffffffff0f000a0000018a3e\
     00026e328280f9c0c1c4820300000a0000028a3e080002026e318180f9c0c1c48203ffffffff\
     0f000a0000018a3e0002026e328280f9c0c1c4820300000a0000028a3e0000",
    "70740100a639c96a066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c48203ffffffff0f000a0000018a3e0a",
    "70740100a639c96a066764796e6961026e328280f9c0c1c4820300000a0000028a3e00026e31\
     8180f9c0c1c48203ffffffff0f000a0000018a3e0a",
];

/// Guards against a change of the encoding of SWIM's messages by the library: a request to join and
/// its response, probes and their responses, updates, and the message that a member has left.
#[test]
fn two_members_join_probe_and_leave_by_the_recorded_datagrams() {
    let mut members = [member(1), member(2)];
    let mut recorded = RECORDED_DATAGRAMS.iter();
    let mut in_flight: Vec<(usize, Vec<u8>)> = Vec::new();
    for now_ms in 0..=LEAVES_AT_MS + 1 {
        let now = Timestamp::from_millis(now_ms);
        let mut out = Vec::new();
        for (to, datagram) in std::mem::take(&mut in_flight) {
            members[to].handle_datagram(now, address(2 - to as u8), &datagram, &mut out);
        }
        for member in &mut members {
            if member.next_timeout().is_some_and(|due| due <= now) {
                member.handle_timeout(now, &mut out);
            }
        }
        if now_ms == LEAVES_AT_MS {
            let member_list = members[1].members();
            let believed: Vec<_> = member_list.iter().map(|entry| (&*entry.name, entry.state)).collect();
            assert_eq!(believed, [("n1", MemberState::Alive), ("n2", MemberState::Alive)]);
            members[0].leave(now, &mut out);
        }
        for output in out {
            let Output::Send(to, datagram) = output else { continue };
            let to = [address(1), address(2)].iter().position(|address| *address == to);
            let Some(to) = to else { continue };
            let recorded = recorded.next().expect("every sent datagram is recorded");
            assert_eq!(hex(&datagram), *recorded, "to n{} at {now_ms} ms", to + 1);
            // The receiver decodes the recorded bytes, not the ones just written.
            in_flight.push((to, bytes(recorded)));
        }
    }
    assert_eq!(recorded.next(), None, "every recorded datagram is sent");
    let left = members[1].members().into_iter().find(|entry| &*entry.name == "n1");
    assert_eq!(left.map(|entry| entry.state), Some(MemberState::Left));
}
