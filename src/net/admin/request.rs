//! What operators ask, as HTTP/1.1 requests, and what they are answered: bytes in, calls out; text in, bytes out.

use percent_encoding::percent_decode_str;

/// The longest head of a request.
pub(super) const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;
/// The longest body.
pub(super) const MAX_BODY: usize = 512 * 1024;
const NODES: &str = "/control/cache-nodes/";
const POLICY: &str = "/control/policy";
const CHANGES: &str = "/control/policy/changes/";

/// A call of the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum Call {
    /// Whether this process takes clients.
    Ready,
    /// What this process knows of its fleet.
    Fleet,
    /// Where this process stands with the fleet's policy.
    Policy,
    /// A change of it is proposed: the body.
    Propose(Vec<u8>),
    /// What each process has in force against what was approved.
    Drift,
    /// Put what was approved in force again.
    Restore,
    /// How the change of this name stands.
    Change(String),
    /// Nothing more to the cache node of this id.
    Offline(String),
    /// The cache node of this id may serve again.
    Online(String),
    /// Send clients away.
    OutOfService,
    /// Take them again.
    InService,
}

/// What a call is answered: a status, the methods to use instead if the one used is wrong, and a line of text.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) struct Said {
    /// The status: 2xx means yes.
    pub status: u16,
    /// The methods that the path knows.
    pub allow: Option<&'static str>,
    /// What was done, or what was wrong.
    pub text: String,
    /// Whether the text is JSON.
    pub json: bool,
}

impl Said {
    /// An answer with this status.
    pub(super) fn new(status: u16, text: impl Into<String>) -> Said {
        Said { status, allow: None, text: text.into(), json: false }
    }

    /// A status and a JSON text.
    pub(super) fn answer((status, text): (u16, String)) -> Said {
        Said { status, allow: None, text, json: true }
    }

    /// Yes, in JSON.
    pub(super) fn json(text: String) -> Said {
        Said { status: 200, allow: None, text, json: true }
    }

    /// The answer as it is written.
    pub(super) fn words(&self) -> Vec<u8> {
        let reason = match self.status {
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
        };
        let allow = self.allow.map_or(String::new(), |methods| format!("Allow: {methods}\r\n"));
        let length = self.text.len() + 1;
        let kind = if self.json { "application/json" } else { "text/plain; charset=utf-8" };
        format!(
            "HTTP/1.1 {} {reason}\r\nContent-Type: {kind}\r\nContent-Length: {length}\r\n\
             {allow}Connection: close\r\n\r\n{}\n",
            self.status, self.text
        )
        .into_bytes()
    }
}

/// Reads a request; none while it is not whole. What follows the head is a concern of those calls only that have a body.
pub(super) fn call(bytes: &[u8]) -> Option<Result<Call, Said>> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut request = httparse::Request::new(&mut headers);
    match request.parse(&bytes[..bytes.len().min(MAX_HEAD)]) {
        Ok(httparse::Status::Complete(head)) => {
            let asked = asked(request.method.unwrap_or_default(), request.path.unwrap_or_default());
            match asked {
                Ok(Call::Propose(_)) => match body(request.headers, &bytes[head..]) {
                    Ok(body) => body.map(|body| Ok(Call::Propose(body))),
                    Err(said) => Some(Err(said)),
                },
                asked => Some(asked),
            }
        }
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD => None,
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            Some(Err(Said::new(431, format!("the head has over {MAX_HEAD} bytes or {MAX_HEADERS} lines"))))
        }
        Err(error) => Some(Err(Said::new(400, format!("no HTTP request: {error}")))),
    }
}

/// The body of a request whose head has these headers; none while it is not whole.
fn body(headers: &[httparse::Header], bytes: &[u8]) -> Result<Option<Vec<u8>>, Said> {
    let length = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"));
    let length =
        length.and_then(|length| std::str::from_utf8(length.value).ok()?.trim().parse::<usize>().ok());
    match length {
        None => Err(Said::new(411, "the call needs a body and its Content-Length")),
        Some(length) if length > MAX_BODY => {
            Err(Said::new(413, format!("the body has over {MAX_BODY} bytes")))
        }
        Some(length) => Ok(bytes.get(..length).map(<[u8]>::to_vec)),
    }
}

fn asked(method: &str, target: &str) -> Result<Call, Said> {
    let path = target.split('?').next().unwrap_or_default();
    let (wanted, call) = match path {
        "/control/ready" => ("GET", Call::Ready),
        "/control/fleet" => ("GET", Call::Fleet),
        POLICY if method == "POST" => ("POST", Call::Propose(Vec::new())),
        POLICY => ("GET", Call::Policy),
        "/control/drift" => ("GET", Call::Drift),
        "/control/policy/restore" => ("POST", Call::Restore),
        _ if path.starts_with(CHANGES) => ("GET", Call::Change(decoded(&path[CHANGES.len()..])?)),
        "/control/out-of-service" => ("POST", Call::OutOfService),
        "/control/in-service" => ("POST", Call::InService),
        _ => {
            let node = path.strip_prefix(NODES).and_then(|rest| rest.split_once('/'));
            match node {
                Some((id, "offline")) => ("POST", Call::Offline(decoded(id)?)),
                Some((id, "online")) => ("POST", Call::Online(decoded(id)?)),
                _ => return Err(Said::new(404, format!("no such call: {path:?}"))),
            }
        }
    };
    if method != wanted {
        let wanted = if path == POLICY { "GET, POST" } else { wanted };
        let text = format!("{path} is called by {wanted}, not {method}");
        return Err(Said { allow: Some(wanted), ..Said::new(405, text) });
    }
    Ok(call)
}

/// An id in a path, its escapes resolved.
fn decoded(id: &str) -> Result<String, Said> {
    let bad = || Said::new(400, format!("{id:?} is no id: empty, or badly escaped"));
    let escapes = id.split('%').skip(1);
    let whole = |rest: &str| rest.len() >= 2 && rest.bytes().take(2).all(|byte| byte.is_ascii_hexdigit());
    if id.is_empty() || !escapes.clone().all(whole) {
        return Err(bad());
    }
    percent_decode_str(id).decode_utf8().map(std::borrow::Cow::into_owned).map_err(|_| bad())
}

#[cfg(test)]
mod tests;
