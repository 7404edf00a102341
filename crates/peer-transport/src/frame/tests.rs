use super::*;

#[test]
fn a_frame_decodes_to_the_encoded_one_and_a_damaged_frame_is_an_error() {
    let frame = Frame::Request(RequestId(7), b"what".to_vec());
    let encoded = encode(&frame).unwrap();
    assert_eq!(decode(&encoded), Ok(frame));
    for at in 0..encoded.len() {
        let mut damaged = encoded.to_vec();
        damaged[at] ^= 0x10;
        assert!(matches!(decode(&damaged), Err(DecodeError::ChecksumMismatch { .. })), "byte {at}");
        assert!(decode(&encoded[..at]).is_err(), "cut at {at}");
    }
    let too_long = encode(&Frame::OneWay(vec![0; MAX_FRAME_BYTES]));
    assert!(matches!(too_long, Err(EncodeError::TooLong { .. })));
}

#[test]
fn bytes_that_follow_the_value_are_an_error() {
    let mut body = postcard::to_allocvec(&Frame::Heartbeat).unwrap();
    body.push(0);
    let mut bytes = crc32c::crc32c(&body).to_be_bytes().to_vec();
    bytes.extend(body);

    assert_eq!(decode(&bytes), Err(DecodeError::TrailingBytes { length: 1 }));
}
