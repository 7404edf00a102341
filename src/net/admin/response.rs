//! The HTTP/1.1 responses to operators.

/// A response: a status, and one line of text or JSON.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct AdminResponse {
    /// The HTTP status.
    pub(super) status: u16,
    /// The methods that the path knows, after a request with another one.
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
    /// A line of text.
    pub(super) fn text(status: u16, text: impl Into<String>) -> AdminResponse {
        AdminResponse { status, allow: None, text: text.into(), content_type: ContentType::Text }
    }

    /// A JSON document.
    pub(super) fn json(status: u16, text: impl Into<String>) -> AdminResponse {
        AdminResponse { content_type: ContentType::Json, ..AdminResponse::text(status, text) }
    }

    /// 200 with a line of text.
    pub(super) fn ok(text: impl Into<String>) -> AdminResponse {
        AdminResponse::text(200, text)
    }

    /// 404 with the reason.
    pub(super) fn not_found(reason: impl Into<String>) -> AdminResponse {
        AdminResponse::text(404, reason)
    }

    /// 405 with the reason, and the methods that the path knows.
    pub(super) fn method_not_allowed(allow: &'static str, reason: impl Into<String>) -> AdminResponse {
        AdminResponse { allow: Some(allow), ..AdminResponse::text(405, reason) }
    }

    /// 409 with the reason.
    pub(super) fn conflict(reason: impl Into<String>) -> AdminResponse {
        AdminResponse::text(409, reason)
    }

    /// 503 with the reason.
    pub(super) fn unavailable(reason: impl Into<String>) -> AdminResponse {
        AdminResponse::text(503, reason)
    }

    /// The response as it is written to the connection, which it closes.
    pub(super) fn encode(&self) -> Vec<u8> {
        let reason = reason_phrase(self.status);
        let allow = self.allow.map_or(String::new(), |methods| format!("Allow: {methods}\r\n"));
        let length = self.text.len() + 1;
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
        200 => "OK",
        202 => "Accepted",
        400 => "Bad Request",
        404 => "Not Found",
        405 => "Method Not Allowed",
        408 => "Request Timeout",
        409 => "Conflict",
        411 => "Length Required",
        413 => "Content Too Large",
        431 => "Request Header Fields Too Large",
        503 => "Service Unavailable",
        _ => "Error",
    }
}
