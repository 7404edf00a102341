//! Tests of the numbers of keys and backends, which must be the same at every proxy and in the
//! simulator. The expected numbers are published values of FNV-1a, or contained in the names.

use super::*;

#[test]
fn a_key_of_sixteen_digits_is_its_number_and_any_other_is_hashed() {
    assert_eq!(key_number("00000000000000ff"), Key(255));
    assert_eq!(key_number("a"), Key(0xaf63_dc4c_8601_ec8c));
    assert_eq!(key_number("foobar"), Key(0x8594_4171_f739_67e8));
    assert_eq!(
        key_number("00000000000000FF"),
        Key(fnv1a("00000000000000FF".bytes())),
        "upper-case digits are hashed"
    );
}

#[test]
fn no_key_has_the_number_that_means_no_key() {
    assert_eq!(key_number("0000000000000000"), Key(1));
}

#[test]
fn a_backend_whose_name_ends_in_a_dash_and_eight_digits_has_that_number() {
    let mut ids = EndpointIds::default();
    assert_eq!(ids.get_or_assign("s-0000000a"), BackendId(10));
    assert_eq!(
        ids.get_or_assign("a"),
        BackendId(0xaf63_dc4c ^ 0x8601_ec8c),
        "a name without a number has the exclusive or of the hash's halves"
    );
}

#[test]
fn of_two_backends_with_one_number_the_first_as_text_has_it() {
    let mut ids = EndpointIds::default();
    ids.assign_all(["b-00000001", "a-00000001"].into_iter());
    assert_eq!(ids.get_or_assign("a-00000001"), BackendId(1));
    assert_eq!(ids.get_or_assign("b-00000001"), hashed_endpoint_number("b-00000001", 1));
}

#[test]
fn a_number_that_is_not_retained_is_free_for_another_name() {
    let mut ids = EndpointIds::default();
    assert_eq!(ids.get_or_assign("a-00000001"), BackendId(1));
    ids.retain(|id| id != BackendId(1));
    assert_eq!(ids.get_or_assign("b-00000001"), BackendId(1));
}
