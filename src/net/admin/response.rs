//! The HTTP/1.1 responses to operators: [`AdminResponse`].

pub(super) const STATUS_OK: u16 = 200;
const STATUS_ACCEPTED: u16 = 202;
pub(super) const STATUS_BAD_REQUEST: u16 = 400;
const STATUS_NOT_FOUND: u16 = 404;
const STATUS_METHOD_NOT_ALLOWED: u16 = 405;
pub(super) const STATUS_REQUEST_TIMEOUT: u16 = 408;
const STATUS_CONFLICT: u16 = 409;
pub(super) const STATUS_LENGTH_REQUIRED: u16 = 411;
pub(super) const STATUS_CONTENT_TOO_LARGE: u16 = 413;
pub(super) const STATUS_HEADER_FIELDS_TOO_LARGE: u16 = 431;
const STATUS_SERVICE_UNAVAILABLE: u16 = 503;
/// The length of the `\n` that ends the body, in bytes.
const LINE_END_BYTES: usize = 1;

/// A response: a status, and one line of text or JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AdminResponse {
    /// The HTTP status.
    pub(super) status: u16,
    /// The methods that the path allows, if the request has another one.
    pub(super) allow: Option<&'static str>,
    /// The body, without its line end.
    pub(super) text: String,
    content_type: ContentType,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ContentType {
    Text,
    Json,
}

impl ContentType {
    fn as_str(self) -> &'static str {
        match self {
            ContentType::Text => "text/plain; charset=utf-8",
            ContentType::Json => "application/json",
        }
    }
}

impl AdminResponse {
    /// Creates a response with a line of text.
    pub(super) fn text(status: u16, text: impl Into<String>) -> AdminResponse {
        AdminResponse { status, allow: None, text: text.into(), content_type: ContentType::Text }
    }

    /// Creates a response with a JSON document.
    pub(super) fn json(status: u16, text: impl Into<String>) -> AdminResponse {
        AdminResponse { content_type: ContentType::Json, ..AdminResponse::text(status, text) }
    }

    /// Creates a 200 response with a line of text.
    pub(super) fn ok(text: impl Into<String>) -> AdminResponse {
        AdminResponse::text(STATUS_OK, text)
    }

    /// Creates a 404 response with the reason.
    pub(super) fn not_found(reason: impl Into<String>) -> AdminResponse {
        AdminResponse::text(STATUS_NOT_FOUND, reason)
    }

    /// Creates a 405 response with the reason, and the methods that the path allows.
    pub(super) fn method_not_allowed(allow: &'static str, reason: impl Into<String>) -> AdminResponse {
        AdminResponse { allow: Some(allow), ..AdminResponse::text(STATUS_METHOD_NOT_ALLOWED, reason) }
    }

    /// Creates a 409 response with the reason.
    pub(super) fn conflict(reason: impl Into<String>) -> AdminResponse {
        AdminResponse::text(STATUS_CONFLICT, reason)
    }

    /// Creates a 503 response with the reason.
    pub(super) fn unavailable(reason: impl Into<String>) -> AdminResponse {
        AdminResponse::text(STATUS_SERVICE_UNAVAILABLE, reason)
    }

    /// Encodes the response, which tells the operator that the connection is then closed.
    pub(super) fn encode(&self) -> Vec<u8> {
        let reason = reason_phrase(self.status);
        let allow = self.allow.map_or(String::new(), |methods| format!("Allow: {methods}\r\n"));
        let length = self.text.len() + LINE_END_BYTES;
        let content_type = self.content_type.as_str();
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {content_type}\r\nContent-Length: {length}\r\n\
             {allow}Connection: close\r\n\r\n{}\n",
            self.status, self.text
        )
        .into_bytes()
    }
}

fn reason_phrase(status: u16) -> &'static str {
    match status {
        STATUS_OK => "OK",
        STATUS_ACCEPTED => "Accepted",
        STATUS_BAD_REQUEST => "Bad Request",
        STATUS_NOT_FOUND => "Not Found",
        STATUS_METHOD_NOT_ALLOWED => "Method Not Allowed",
        STATUS_REQUEST_TIMEOUT => "Request Timeout",
        STATUS_CONFLICT => "Conflict",
        STATUS_LENGTH_REQUIRED => "Length Required",
        STATUS_CONTENT_TOO_LARGE => "Content Too Large",
        STATUS_HEADER_FIELDS_TOO_LARGE => "Request Header Fields Too Large",
        STATUS_SERVICE_UNAVAILABLE => "Service Unavailable",
        _ => "Error",
    }
}
