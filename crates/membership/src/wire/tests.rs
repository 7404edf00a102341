use super::*;

#[test]
fn what_is_not_ours_is_told_apart_and_dropped() {
    let good = seal(DatagramKind::Hello, "gdynia", b"body");
    assert_eq!(open("gdynia", &good), Ok((DatagramKind::Hello, &b"body"[..])));
    assert_eq!(open("hel", &good), Err(DropReason::OtherFleet));
    let changed = |at: usize, to: u8| {
        let mut bytes = good.clone();
        bytes[at] = to;
        open("gdynia", &bytes).expect_err("it is changed")
    };
    assert_eq!((changed(0, b'x'), changed(2, 9)), (DropReason::Foreign, DropReason::TooNew));
    // Every other byte is held by the checksum.
    (3..good.len()).for_each(|at| assert_eq!(changed(at, good[at] ^ 0x10), DropReason::Spoilt, "{at}"));
    (0..good.len()).for_each(|end| assert!(open("gdynia", &good[..end]).is_err(), "{end}"));
    let unknown = {
        let mut bytes = good.clone();
        bytes[3] = 200;
        let sum = checksum(&bytes);
        bytes[4..8].copy_from_slice(&sum.to_be_bytes());
        bytes
    };
    assert_eq!(open("gdynia", &unknown), Err(DropReason::TooNew));
    assert_eq!(
        open("g", &seal(DatagramKind::Swim, "g", &[0; MAX_DATAGRAM])),
        Err(DropReason::Spoilt),
        "too long"
    );
    assert_eq!(read_id(&words(&7u32)), Err(DropReason::Spoilt));
}
