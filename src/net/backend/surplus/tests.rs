//! Tests of the recognition of a second copy of a response.

use super::{ends_receipt, OriginalHead, Surplus};

const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nContent-Length: 3\r\n\r\n";
const INTERIM: &[u8] = b"HTTP/1.1 100 Continue\r\n\r\n";

fn classify(surplus: &[u8]) -> Surplus {
    Surplus::of_response(&[HEAD, b"abc"].concat(), HEAD.len(), 0, surplus)
}

/// Guards against the rest of a value that is taken for a second copy, and against a copy that is
/// taken for the rest of a value.
#[test]
fn only_a_copy_of_the_response_is_a_duplicate() {
    assert_eq!(classify(b""), Surplus::None);
    assert_eq!(classify(b"def"), Surplus::Unknown);
    assert_eq!(classify(HEAD), Surplus::Duplicate);
    assert_eq!(classify(&[HEAD, b"abc"].concat()), Surplus::Duplicate);
    assert_eq!(classify(&[HEAD, b"abc", HEAD].concat()), Surplus::Duplicate);
    assert_eq!(classify(&[HEAD, b"abd"].concat()), Surplus::Unknown);
    // The rest of a value may begin like a response.
    for length in 1..HEAD.len() {
        assert_eq!(classify(&HEAD[..length]), Surplus::Undecided, "{length}");
        assert_eq!(classify(&[&HEAD[..length], b"\0"].concat()), Surplus::Unknown, "{length}");
    }
}

/// Guards against a copy that is not recognized because the response had interim responses.
#[test]
fn a_copy_may_lack_the_interim_responses() {
    let head = [INTERIM, HEAD].concat();
    let original = OriginalHead::new(&head, INTERIM.len());
    for copy in [HEAD, &head] {
        assert_eq!(original.classify(copy), Surplus::Duplicate);
        assert_eq!(original.classify(&[copy, b"abc"].concat()), Surplus::Duplicate);
    }
    assert_eq!(original.classify(INTERIM), Surplus::Undecided);
    assert_eq!(original.classify(b"abc"), Surplus::Unknown);
}

#[test]
fn a_receipt_ends_before_a_byte_that_it_cannot_have() {
    assert!(ends_receipt(b"\r\n"));
    assert!(ends_receipt(&[0xff, b'a']));
    assert!(!ends_receipt(b"rest"));
    assert!(!ends_receipt(b""));
}
