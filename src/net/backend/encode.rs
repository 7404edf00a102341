//! Encodes requests in the protocol of their backend: [`encode_request`].

use crate::net::dispatcher::AttemptRequest;
use crate::net::time_limits::remaining_deadline_ms;
use pinetrail_codec::{http, memcache};
use std::time::Instant;

/// The label of the remaining time until the deadline, in ms.
const DEADLINE_LABEL: &str = "d";

/// Encodes the request of an attempt: memcache for a cache node, HTTP for the origin.
pub(super) fn encode_request(attempt: &AttemptRequest) -> Vec<u8> {
    let request = &attempt.request;
    let labels = encode_labels(attempt);
    let value = request.value.as_deref();
    if attempt.is_origin {
        let headers = [("X-Txn", request.opaque.as_str()), ("X-Labels", labels.as_str())];
        http::encode_request(&http::encode_path(&request.key), &attempt.address, &headers, value)
    } else {
        memcache::encode_request(&request.key, &request.opaque, &labels, value)
    }
}

/// Encodes the labels as the client sent them, but with the remaining time until the deadline.
fn encode_labels(attempt: &AttemptRequest) -> String {
    let remaining_ms = remaining_deadline_ms(attempt.deadline, Instant::now()).to_string();
    let encode_label = |(name, value): (&str, &str)| {
        let value = if name == DEADLINE_LABEL { remaining_ms.as_str() } else { value };
        format!("{name}={value}")
    };
    let labels: Vec<String> = attempt.request.labels.iter().map(encode_label).collect();
    labels.join(",")
}
