//! What leaves the process: the bytes by which members of a fleet tell each other where their
//! links are. Members of other versions read them: bytes that change here leave members unlinked,
//! and so without a policy. All bytes were recorded before any renaming.

use super::Said;

fn said(asks: bool) -> Said {
    let place = "127.0.0.1:8001".parse().unwrap();
    Said { asks, name: "p1".into(), start: 1_700_000_000_000_001, place }
}

/// The name `p1`, the start as a varint, and an address of IPv4 with its port.
const REST: [u8; 18] = [2, 112, 49, 129, 128, 249, 192, 193, 196, 130, 3, 0, 127, 0, 0, 1, 193, 62];

/// The value is written as the recorded bytes, and the recorded bytes are read as the value.
fn assert_bytes(asks: bool, first: u8) {
    let mut recorded = vec![first];
    recorded.extend(REST);
    assert_eq!(postcard::to_allocvec(&said(asks)).unwrap(), recorded);
    let read: Said = postcard::from_bytes(&recorded).unwrap();
    assert_eq!((read.asks, &*read.name), (asks, "p1"));
    assert_eq!((read.start, read.place), (said(asks).start, said(asks).place));
}

#[test]
fn words_of_links_that_ask_are_the_recorded_bytes() {
    assert_bytes(true, 1);
}

#[test]
fn words_of_links_that_answer_are_the_recorded_bytes() {
    assert_bytes(false, 0);
}

#[test]
fn an_address_of_ipv6_is_the_recorded_bytes() {
    let place = "[::1]:8001".parse().unwrap();
    let said = Said { asks: true, name: String::new(), start: 0, place };
    let recorded = [1, 0, 0, 1, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 1, 193, 62];
    assert_eq!(postcard::to_allocvec(&said).unwrap(), recorded);
}
