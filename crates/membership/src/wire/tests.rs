use super::*;

#[test]
fn datagrams_that_are_not_this_fleets_are_dropped_with_the_reason() {
    let good = encode_datagram(DatagramKind::Discover, "gdynia", b"body");
    assert_eq!(decode_datagram("gdynia", &good), Ok((DatagramKind::Discover, &b"body"[..])));
    assert_eq!(decode_datagram("hel", &good), Err(DropReason::OtherFleet));
    let reason_with = |index: usize, byte: u8| {
        let mut bytes = good.clone();
        bytes[index] = byte;
        decode_datagram("gdynia", &bytes).expect_err("the datagram is damaged")
    };
    assert_eq!(
        (reason_with(0, b'x'), reason_with(2, 9)),
        (DropReason::UnknownProtocol, DropReason::UnsupportedVersion)
    );
    // The checksum detects a change of any byte after the magic and the version.
    for (index, byte) in good.iter().enumerate().skip(3) {
        assert_eq!(reason_with(index, byte ^ 0x10), DropReason::Corrupt, "{index}");
    }
    for end in 0..good.len() {
        assert!(decode_datagram("gdynia", &good[..end]).is_err(), "{end}");
    }
    let unknown_kind = {
        let mut bytes = good.clone();
        bytes[3] = 200;
        let sum = checksum(&bytes);
        bytes[4..8].copy_from_slice(&sum.to_be_bytes());
        bytes
    };
    assert_eq!(decode_datagram("gdynia", &unknown_kind), Err(DropReason::UnsupportedVersion));
    assert_eq!(
        decode_datagram("g", &encode_datagram(DatagramKind::Swim, "g", &[0; MAX_DATAGRAM_BYTES])),
        Err(DropReason::Corrupt),
        "the datagram is longer than the maximum"
    );
    assert_eq!(decode_member_id(&encode_body(&7u32)), Err(DropReason::Corrupt));
}
