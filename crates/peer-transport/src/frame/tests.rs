use super::*;

#[test]
fn a_frame_is_read_as_it_was_written_or_not_at_all() {
    let frame = Frame::Ask(7, b"what".to_vec());
    let sealed = seal(&frame).unwrap();
    assert_eq!(open(&sealed), Some(frame));
    for at in 0..sealed.len() {
        let mut spoilt = sealed.to_vec();
        spoilt[at] ^= 0x10;
        assert_eq!(open(&spoilt), None, "byte {at}");
        assert_eq!(open(&sealed[..at]), None, "cut at {at}");
    }
    assert!(seal(&Frame::Tell(vec![0; MAX_FRAME_LENGTH])).is_none());
}
