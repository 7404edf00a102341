//! Encodes responses to clients; read [`encode_response`] first.
use super::LINE_END;
use std::time::Duration;

/// A response to a client, in the terms of the protocol.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientResponse<'a> {
    /// The value of a read.
    Value(&'a [u8]),
    /// The line that precedes the value of a read whose value is streamed.
    ValueHead {
        /// The length of the value, in bytes.
        length: usize,
    },
    /// The receipt of a write.
    Receipt(&'a str),
    /// The request was rejected.
    Rejected {
        /// The time after which the client may retry, if known; encoded in whole ms.
        retry_after: Option<Duration>,
    },
    /// The request failed.
    Failed,
}

/// Encodes the response to the request with this opaque id.
#[inline]
pub fn encode_response(opaque: &str, response: &ClientResponse<'_>) -> Vec<u8> {
    match response {
        ClientResponse::Value(value) => {
            let mut bytes = encode_value_line(opaque, value.len());
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(LINE_END);
            bytes
        }
        ClientResponse::ValueHead { length } => encode_value_line(opaque, *length),
        ClientResponse::Receipt(receipt) => format!("HD O{opaque} c{receipt}\r\n").into_bytes(),
        ClientResponse::Rejected { retry_after: Some(retry_after) } => {
            format!("SERVER_ERROR busy {}\r\n", retry_after.as_millis()).into_bytes()
        }
        ClientResponse::Rejected { retry_after: None } => b"SERVER_ERROR busy\r\n".to_vec(),
        ClientResponse::Failed => b"SERVER_ERROR failed\r\n".to_vec(),
    }
}

fn encode_value_line(opaque: &str, length: usize) -> Vec<u8> {
    format!("VA {length} O{opaque}\r\n").into_bytes()
}
