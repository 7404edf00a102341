use super::*;

#[tokio::test]
async fn a_full_queue_drops_frames_and_sends_one_resync_for_all_of_them() {
    let queue = SendQueue::default();
    let long = Frame::OneWay(vec![1; 900_000]);
    let encoded = frame::encode(&long).unwrap();

    let queued = (0..10).filter(|_| queue.push(&long)).count();

    assert_eq!(queued, MAX_QUEUED_BYTES / 900_000);
    for _ in 0..queued {
        assert_eq!(queue.pop().await.as_ref(), Some(&encoded));
    }
    assert_eq!(queue.pop().await, frame::encode(&Frame::Resync).ok());
    assert!(queue.push(&Frame::Heartbeat), "the emptied queue has capacity again");
    queue.close();
    assert_eq!(queue.pop().await, None);
}

/// Guards against messages that are reported as sent but never written.
#[test]
fn a_closed_queue_reports_that_it_drops_frames() {
    let queue = SendQueue::default();
    queue.close();

    assert!(!queue.push(&Frame::Heartbeat));
}
