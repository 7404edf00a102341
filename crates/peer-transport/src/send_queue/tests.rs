use super::*;

#[tokio::test]
async fn what_does_not_fit_is_made_up_for_by_one_word() {
    let mailbox = SendQueue::default();
    let long = Frame::Tell(vec![1; 900_000]);
    let taken = (0..10).filter(|_| mailbox.put(&long)).count();
    assert_eq!(taken, MOST_BYTES / 900_000);
    for _ in 0..taken {
        assert_eq!(mailbox.next().await, frame::seal(&long));
    }
    assert_eq!(mailbox.next().await, frame::seal(&Frame::Behind));
    assert!(mailbox.put(&Frame::Beat), "there is room again");
    mailbox.close();
    assert_eq!(mailbox.next().await, None);
}
