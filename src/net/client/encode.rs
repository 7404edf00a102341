//! Encodes responses in the clients' protocol: [`encode_response`].

use crate::net::dispatcher::{Payload, Response};
use pinetrail_codec::memcache::{self, ClientResponse};

/// Encodes the response to the request with this opaque id. Of a streamed value, only the part that
/// precedes the value is encoded.
pub(super) fn encode_response(opaque: &str, response: &Response) -> Vec<u8> {
    let response = match response {
        Response::Complete(Payload::Value(value)) => ClientResponse::Value(value),
        Response::Complete(Payload::Receipt(receipt)) => ClientResponse::Receipt(receipt),
        Response::Stream { length, .. } => ClientResponse::ValueHead { length: *length },
        Response::Rejected { retry_after } => ClientResponse::Rejected { retry_after: *retry_after },
        Response::Failed => ClientResponse::Failed,
    };
    memcache::encode_response(opaque, &response)
}
