use super::*;

#[test]
fn it_bears_what_it_bears_and_falls_at_twice_of_it() {
    let mut origin = Origin::new(2, 100, 1000);
    assert!(origin.call(0, 0).is_empty() && origin.call(0, 1).is_empty());
    assert_eq!((origin.ended(99), origin.ended(100)), (vec![], vec![0, 1]));
    (0..3).for_each(|who| assert!(origin.call(200, who).is_empty()));
    // The third takes (3/2)^2 times as long.
    assert_eq!((origin.ended(300), origin.busy()), (vec![0, 1], 1));
    assert!(origin.call(301, 0).is_empty() && origin.call(301, 1).is_empty());
    assert_eq!(origin.call(302, 3), [2, 0, 1, 3]);
    assert_eq!((origin.falls, origin.call(400, 7), origin.busy()), (1, vec![7], 0));
    assert!(origin.call(1302, 1).is_empty());
}
