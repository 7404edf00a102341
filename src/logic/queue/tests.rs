use super::*;

#[test]
fn the_queue_returns_the_heaviest_of_a_stage_and_of_equals_the_last() {
    let mut queue = RequestQueue::default();
    for (id, stage, weight) in [
        (1, Stage::QueuedForCacheNode, 1.0),
        (2, Stage::QueuedForOrigin, 9.0),
        (3, Stage::QueuedForCacheNode, 2.0),
        (4, Stage::QueuedForCacheNode, 2.0),
    ] {
        queue.push(RequestId(id), stage, weight);
    }
    queue.add_weight(RequestId(1), 1.5);
    let order: Vec<_> = std::iter::from_fn(|| queue.pop_heaviest(Stage::QueuedForCacheNode)).collect();
    assert_eq!(order.iter().map(|queued| queued.id.0).collect::<Vec<_>>(), [1, 4, 3]);
    assert!(!queue.is_empty(), "the request of the other stage stays queued");
}

#[test]
fn a_request_that_is_queued_again_gets_its_weight_back() {
    let mut queue = RequestQueue::default();
    queue.push(RequestId(1), Stage::QueuedForCacheNode, 1.0);
    queue.add_weight(RequestId(1), 4.0);
    let heavy = queue.pop_heaviest(Stage::QueuedForCacheNode).unwrap();
    assert!(!queue.restore_weight(heavy), "the request is not queued");
    queue.push(RequestId(1), Stage::QueuedForCacheNode, 1.0);
    assert!(queue.restore_weight(heavy));
    queue.push(RequestId(2), Stage::QueuedForCacheNode, 3.0);
    assert_eq!(queue.pop_heaviest(Stage::QueuedForCacheNode).map(|queued| queued.id), Some(RequestId(1)));
}
