use super::*;

#[test]
fn what_is_not_ours_is_told_apart_and_dropped() {
    let good = encode_datagram(DatagramKind::Discover, "gdynia", b"body");
    assert_eq!(decode_datagram("gdynia", &good), Ok((DatagramKind::Discover, &b"body"[..])));
    assert_eq!(decode_datagram("hel", &good), Err(DropReason::OtherFleet));
    let changed = |at: usize, to: u8| {
        let mut bytes = good.clone();
        bytes[at] = to;
        decode_datagram("gdynia", &bytes).expect_err("it is changed")
    };
    assert_eq!(
        (changed(0, b'x'), changed(2, 9)),
        (DropReason::UnknownProtocol, DropReason::UnsupportedVersion)
    );
    // Every other byte is held by the checksum.
    (3..good.len()).for_each(|at| assert_eq!(changed(at, good[at] ^ 0x10), DropReason::Corrupt, "{at}"));
    (0..good.len()).for_each(|end| assert!(decode_datagram("gdynia", &good[..end]).is_err(), "{end}"));
    let unknown = {
        let mut bytes = good.clone();
        bytes[3] = 200;
        let sum = checksum(&bytes);
        bytes[4..8].copy_from_slice(&sum.to_be_bytes());
        bytes
    };
    assert_eq!(decode_datagram("gdynia", &unknown), Err(DropReason::UnsupportedVersion));
    assert_eq!(
        decode_datagram("g", &encode_datagram(DatagramKind::Swim, "g", &[0; MAX_DATAGRAM])),
        Err(DropReason::Corrupt),
        "too long"
    );
    assert_eq!(decode_member_id(&encode_body(&7u32)), Err(DropReason::Corrupt));
}
