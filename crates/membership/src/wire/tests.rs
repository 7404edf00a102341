use super::*;

#[test]
fn what_is_not_ours_is_told_apart_and_dropped() {
    let good = seal(Kind::Hello, "gdynia", b"body");
    assert_eq!(open("gdynia", &good), Ok((Kind::Hello, &b"body"[..])));
    assert_eq!(open("hel", &good), Err(Dropped::OtherFleet));
    let changed = |at: usize, to: u8| {
        let mut bytes = good.clone();
        bytes[at] = to;
        open("gdynia", &bytes).expect_err("it is changed")
    };
    assert_eq!((changed(0, b'x'), changed(2, 9)), (Dropped::Foreign, Dropped::TooNew));
    // Every other byte is held by the checksum.
    (3..good.len()).for_each(|at| assert_eq!(changed(at, good[at] ^ 0x10), Dropped::Spoilt, "{at}"));
    (0..good.len()).for_each(|end| assert!(open("gdynia", &good[..end]).is_err(), "{end}"));
    let unknown = {
        let mut bytes = good.clone();
        bytes[3] = 200;
        let sum = checksum(&bytes);
        bytes[4..8].copy_from_slice(&sum.to_be_bytes());
        bytes
    };
    assert_eq!(open("gdynia", &unknown), Err(Dropped::TooNew));
    assert_eq!(open("g", &seal(Kind::Swim, "g", &[0; MAX_DATAGRAM])), Err(Dropped::Spoilt), "too long");
    assert_eq!(read_id(&words(&7u32)), Err(Dropped::Spoilt));
}
