//! Tests of the window between the sender and the receiver of a streamed value.

use super::*;
use crate::net::memory::MemoryBudget;
use std::thread;

const WINDOW_BYTES: usize = 32 * 1024;

#[test]
fn a_full_window_makes_the_sender_wait_and_every_byte_arrives() {
    let (sender, receiver) = channel();
    let sending = thread::spawn(move || {
        for n in 0..1000u32 {
            sender.send(&n.to_be_bytes().repeat(256), WINDOW_BYTES).unwrap();
        }
        sender.finish();
    });
    let mut body = Vec::new();
    let mut longest = 0;
    loop {
        match receiver.receive(WINDOW_BYTES) {
            ReceiveOutcome::Bytes(bytes) => {
                longest = longest.max(bytes.len());
                body.extend(bytes);
            }
            ReceiveOutcome::Pending => thread::yield_now(),
            ReceiveOutcome::End => break,
            ReceiveOutcome::Broken => panic!("a value that was sent completely is reported as broken"),
        }
    }
    sending.join().unwrap();
    assert!(longest < WINDOW_BYTES + 1024);
    assert_eq!(body, (0..1000u32).flat_map(|n| n.to_be_bytes().repeat(256)).collect::<Vec<u8>>());
}

#[test]
fn each_end_notices_that_the_other_was_dropped() {
    let (sender, receiver) = channel();
    sender.send(b"half", WINDOW_BYTES).unwrap();
    drop(sender);
    assert_eq!(
        (receiver.receive(WINDOW_BYTES), receiver.receive(WINDOW_BYTES)),
        (ReceiveOutcome::Bytes(b"half".to_vec()), ReceiveOutcome::Broken)
    );
    let (sender, receiver) = channel();
    sender.send(&[0; WINDOW_BYTES], WINDOW_BYTES).unwrap();
    let sending = thread::spawn(move || sender.send(b"more", WINDOW_BYTES));
    drop(receiver);
    assert_eq!(sending.join().unwrap(), Err(ReceiverDropped));
}

#[test]
fn a_complete_value_is_received_by_windows_and_keeps_its_memory_until_it_is_dropped() {
    const PIECE_BYTES: usize = 4096;
    const PIECES: usize = 20;
    let budget = MemoryBudget::new(16);
    let limit = MemoryBudget::bytes_within(16);
    let memory = budget.reserve(limit).unwrap();
    let receiver = complete(vec![vec![7; PIECE_BYTES]; PIECES], memory);
    assert!(receiver.is_complete());
    let mut lengths = Vec::new();
    while let ReceiveOutcome::Bytes(bytes) = receiver.receive(WINDOW_BYTES) {
        assert!(bytes.iter().all(|byte| *byte == 7));
        lengths.push(bytes.len());
    }
    assert_eq!(lengths, [WINDOW_BYTES, WINDOW_BYTES, PIECES * PIECE_BYTES - 2 * WINDOW_BYTES]);
    assert_eq!(receiver.receive(WINDOW_BYTES), ReceiveOutcome::End);
    assert!(budget.reserve(1).is_none());
    drop(receiver);
    assert!(budget.reserve(limit).is_some());
}

#[test]
fn a_value_is_complete_only_once_its_sender_has_finished() {
    let (sender, receiver) = channel();
    sender.send(b"all", WINDOW_BYTES).unwrap();
    assert!(!receiver.is_complete());
    sender.finish();
    assert!(receiver.is_complete());
    let (sender, receiver) = channel();
    drop(sender);
    assert!(!receiver.is_complete());
}
