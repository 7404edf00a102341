//! Responses to clients: [`encode_response`].

use super::LINE_END;
use crate::net::dispatcher::{Payload, Response};

/// A response as a client reads it; of a value that streams, what comes before it.
pub fn encode_response(opaque: &str, response: &Response) -> Vec<u8> {
    match response {
        Response::Complete(Payload::Value(value)) => {
            let mut bytes = encode_value_line(opaque, value.len());
            bytes.extend_from_slice(value);
            bytes.extend_from_slice(LINE_END);
            bytes
        }
        Response::Stream { length, .. } => encode_value_line(opaque, *length),
        Response::Complete(Payload::Receipt(receipt)) => format!("HD O{opaque} c{receipt}\r\n").into_bytes(),
        Response::Rejected { retry_after: Some(retry_after) } => {
            format!("SERVER_ERROR busy {}\r\n", retry_after.as_millis()).into_bytes()
        }
        Response::Rejected { retry_after: None } => b"SERVER_ERROR busy\r\n".to_vec(),
        Response::Failed => b"SERVER_ERROR failed\r\n".to_vec(),
    }
}

fn encode_value_line(opaque: &str, length: usize) -> Vec<u8> {
    format!("VA {length} O{opaque}\r\n").into_bytes()
}
