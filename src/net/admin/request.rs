//! Parses the HTTP/1.1 requests of operators: [`parse`] turns bytes into an [`AdminRequest`],
//! without I/O.

use super::response::{
    AdminResponse, STATUS_BAD_REQUEST, STATUS_CONTENT_TOO_LARGE, STATUS_HEADER_FIELDS_TOO_LARGE,
    STATUS_LENGTH_REQUIRED, STATUS_REQUEST_TIMEOUT,
};
use crate::net::hot_restart::{ControlCommand, ServiceState};
use percent_encoding::percent_decode_str;
use std::time::Duration;
use thiserror::Error;

/// The maximum length of a request's head, in bytes.
pub(super) const MAX_HEAD_BYTES: usize = 8 * 1024;
/// The maximum number of a request's headers.
const MAX_HEADERS: usize = 64;
/// The maximum length of a request's body, in bytes.
pub(super) const MAX_BODY_BYTES: usize = 512 * 1024;
const CACHE_NODES_PREFIX: &str = "/control/cache-nodes/";
const POLICY_PATH: &str = "/control/policy";
const CHANGES_PREFIX: &str = "/control/policy/changes/";
/// The number of hexadecimal digits of a percent escape.
const ESCAPE_DIGITS: usize = 2;

/// A request of the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AdminRequest {
    /// Asks whether this process is ready to accept clients.
    Ready,
    /// Asks for the fleet as this process sees it.
    Fleet,
    /// Asks for the active policy of this process, and the open change.
    Policy,
    /// Proposes a change of the common policy, which is the body.
    Propose(Vec<u8>),
    /// Asks for the drift of each process from the approved policy.
    Drift,
    /// Applies the approved policy again.
    Restore,
    /// Asks for the status of the change with this id.
    Change(String),
    /// Requests a command that all processes of this proxy apply.
    Command(ControlCommand),
}

/// The reason why the received bytes are not a valid request. Operators read the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// The request was not complete in time.
    #[error("no whole call within {} s", .0.as_secs())]
    Timeout(Duration),
    /// The bytes are not an HTTP request.
    #[error("no HTTP request: {0}")]
    NotHttp(#[from] httparse::Error),
    /// The head of the request is too long, or has too many headers.
    #[error("the head has over {MAX_HEAD_BYTES} bytes or {MAX_HEADERS} lines")]
    HeadTooLarge,
    /// The request needs a body, and has no valid content length.
    #[error("the call needs a body and its Content-Length")]
    LengthRequired,
    /// The body of the request is too long.
    #[error("the body has over {MAX_BODY_BYTES} bytes")]
    BodyTooLarge,
    /// The path of the request does not exist.
    #[error("no such call: {0:?}")]
    UnknownPath(String),
    /// The path of the request allows other methods only.
    #[error("{path} is called by {allowed}, not {method}")]
    WrongMethod {
        /// The path of the request.
        path: String,
        /// The method of the request.
        method: String,
        /// The methods that the path allows.
        allowed: &'static str,
    },
    /// An id in the path is empty or badly escaped.
    #[error("{0:?} is no id: empty, or badly escaped")]
    BadId(String),
}

impl From<RequestError> for AdminResponse {
    fn from(error: RequestError) -> AdminResponse {
        let text = error.to_string();
        match error {
            RequestError::NotHttp(_) | RequestError::BadId(_) => {
                AdminResponse::text(STATUS_BAD_REQUEST, text)
            }
            RequestError::UnknownPath(_) => AdminResponse::not_found(text),
            RequestError::WrongMethod { allowed, .. } => AdminResponse::method_not_allowed(allowed, text),
            RequestError::Timeout(_) => AdminResponse::text(STATUS_REQUEST_TIMEOUT, text),
            RequestError::LengthRequired => AdminResponse::text(STATUS_LENGTH_REQUIRED, text),
            RequestError::BodyTooLarge => AdminResponse::text(STATUS_CONTENT_TOO_LARGE, text),
            RequestError::HeadTooLarge => AdminResponse::text(STATUS_HEADER_FIELDS_TOO_LARGE, text),
        }
    }
}

/// Parses a request. Returns `None` while it is incomplete. Bytes after the head are ignored unless
/// the request has a body.
///
/// # Errors
///
/// Returns [`RequestError`] if the bytes are not a valid request.
pub(super) fn parse(bytes: &[u8]) -> Result<Option<AdminRequest>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut http = httparse::Request::new(&mut headers);
    let head_length = match http.parse(&bytes[..bytes.len().min(MAX_HEAD_BYTES)]) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD_BYTES => return Ok(None),
        Ok(httparse::Status::Partial) | Err(httparse::Error::TooManyHeaders) => {
            return Err(RequestError::HeadTooLarge);
        }
        Err(error) => return Err(RequestError::NotHttp(error)),
    };
    let request = route(http.method.unwrap_or_default(), http.path.unwrap_or_default())?;
    if let AdminRequest::Propose(_) = request {
        let body = read_body(http.headers, &bytes[head_length..])?;
        return Ok(body.map(AdminRequest::Propose));
    }
    Ok(Some(request))
}

/// Returns the body of a request with these headers, or `None` while it is incomplete.
fn read_body(headers: &[httparse::Header], bytes: &[u8]) -> Result<Option<Vec<u8>>, RequestError> {
    let length = content_length(headers).ok_or(RequestError::LengthRequired)?;
    if length > MAX_BODY_BYTES {
        return Err(RequestError::BodyTooLarge);
    }
    Ok(bytes.get(..length).map(<[u8]>::to_vec))
}

fn content_length(headers: &[httparse::Header]) -> Option<usize> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))?;
    std::str::from_utf8(header.value).ok()?.trim().parse().ok()
}

/// Returns the request with this method and target, without its body.
fn route(method: &str, target: &str) -> Result<AdminRequest, RequestError> {
    let path = target.split('?').next().unwrap_or_default();
    let (expected, request) = match path {
        "/control/ready" => ("GET", AdminRequest::Ready),
        "/control/fleet" => ("GET", AdminRequest::Fleet),
        POLICY_PATH if method == "POST" => ("POST", AdminRequest::Propose(Vec::new())),
        POLICY_PATH => ("GET", AdminRequest::Policy),
        "/control/drift" => ("GET", AdminRequest::Drift),
        "/control/policy/restore" => ("POST", AdminRequest::Restore),
        "/control/out-of-service" => ("POST", set_service(ServiceState::OutOfService)),
        "/control/in-service" => ("POST", set_service(ServiceState::InService)),
        _ => route_with_id(path)?,
    };
    if method != expected {
        let allowed = if path == POLICY_PATH { "GET, POST" } else { expected };
        let (path, method) = (path.to_owned(), method.to_owned());
        return Err(RequestError::WrongMethod { path, method, allowed });
    }
    Ok(request)
}

/// Returns the request to a path that contains an id, and the method that the path allows.
fn route_with_id(path: &str) -> Result<(&'static str, AdminRequest), RequestError> {
    if let Some(id) = path.strip_prefix(CHANGES_PREFIX) {
        return Ok(("GET", AdminRequest::Change(decode_id(id)?)));
    }
    let node = path.strip_prefix(CACHE_NODES_PREFIX).and_then(|rest| rest.split_once('/'));
    match node {
        Some((id, "offline")) => {
            Ok(("POST", AdminRequest::Command(ControlCommand::EnterMaintenance(decode_id(id)?))))
        }
        Some((id, "online")) => {
            Ok(("POST", AdminRequest::Command(ControlCommand::LeaveMaintenance(decode_id(id)?))))
        }
        _ => Err(RequestError::UnknownPath(path.to_owned())),
    }
}

fn set_service(service: ServiceState) -> AdminRequest {
    AdminRequest::Command(ControlCommand::SetService(service))
}

/// Decodes an id in a path by resolving its percent escapes.
fn decode_id(id: &str) -> Result<String, RequestError> {
    let bad_id = || RequestError::BadId(id.to_owned());
    if id.is_empty() || !id.split('%').skip(1).all(begins_with_escape_digits) {
        return Err(bad_id());
    }
    percent_decode_str(id).decode_utf8().map(std::borrow::Cow::into_owned).map_err(|_| bad_id())
}

/// Returns whether a text that follows a `%` begins with two hexadecimal digits.
fn begins_with_escape_digits(text: &str) -> bool {
    text.len() >= ESCAPE_DIGITS && text.bytes().take(ESCAPE_DIGITS).all(|byte| byte.is_ascii_hexdigit())
}

#[cfg(test)]
mod tests;
