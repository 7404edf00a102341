//! Tests of the window between the sender and the receiver of a streamed value.

use super::*;
use std::thread;

#[test]
fn a_full_window_makes_the_sender_wait_and_every_byte_arrives() {
    let (sender, receiver) = channel();
    let sending = thread::spawn(move || {
        for n in 0..1000u32 {
            sender.send(&n.to_be_bytes().repeat(256)).unwrap();
        }
        sender.finish();
    });
    let mut body = Vec::new();
    let mut longest = 0;
    loop {
        match receiver.receive() {
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
    sender.send(b"half").unwrap();
    drop(sender);
    assert_eq!(
        (receiver.receive(), receiver.receive()),
        (ReceiveOutcome::Bytes(b"half".to_vec()), ReceiveOutcome::Broken)
    );
    let (sender, receiver) = channel();
    sender.send(&[0; WINDOW_BYTES]).unwrap();
    let sending = thread::spawn(move || sender.send(b"more"));
    drop(receiver);
    assert_eq!(sending.join().unwrap(), Err(ReceiverDropped));
}
