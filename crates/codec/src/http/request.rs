//! Encodes requests to the origin and to discovery; read [`encode_request`] first.
use std::fmt::Write;

/// Encodes a `GET` request, or a `PUT` request if there is a value for the body.
pub fn encode_request(path: &str, host: &str, headers: &[(&str, &str)], value: Option<&[u8]>) -> Vec<u8> {
    let method = if value.is_some() { "PUT" } else { "GET" };
    let mut head = format!("{method} {path} HTTP/1.1\r\nHost: {host}\r\n");
    for (name, header_value) in headers {
        let _ = write!(head, "{name}: {header_value}\r\n");
    }
    if let Some(value) = value {
        let _ = write!(head, "Content-Length: {}\r\n", value.len());
    }
    head.push_str("\r\n");
    let mut bytes = head.into_bytes();
    bytes.extend_from_slice(value.unwrap_or_default());
    bytes
}

/// Encodes a key as the path of a URL, in which all bytes that are not allowed are percent-encoded.
pub fn encode_path(key: &str) -> String {
    let mut path = String::from("/");
    for byte in key.bytes() {
        match byte {
            b'a'..=b'z' | b'A'..=b'Z' | b'0'..=b'9' | b'-' | b'.' | b'_' | b'~' | b':' | b'@' => {
                path.push(char::from(byte));
            }
            _ => {
                let _ = write!(path, "%{byte:02X}");
            }
        }
    }
    path
}
