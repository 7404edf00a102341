//! The HTTP/1.1 requests of operators: bytes in, [`AdminRequest`] out. It does no I/O.

use super::response::AdminResponse;
use crate::net::hot_restart::{ControlCommand, ServiceState};
use percent_encoding::percent_decode_str;
use std::time::Duration;
use thiserror::Error;

/// The longest head of a request, in bytes.
pub(super) const MAX_HEAD: usize = 8 * 1024;
const MAX_HEADERS: usize = 64;
/// The longest body of a request, in bytes.
pub(super) const MAX_BODY: usize = 512 * 1024;
const CACHE_NODES_PREFIX: &str = "/control/cache-nodes/";
const POLICY_PATH: &str = "/control/policy";
const CHANGES_PREFIX: &str = "/control/policy/changes/";

/// A request of the operators.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(super) enum AdminRequest {
    /// Whether this process takes clients.
    Ready,
    /// What this process knows of its fleet.
    Fleet,
    /// Which policy this process has active, and which change is open.
    Policy,
    /// Proposes a change of the common policy: the body.
    Propose(Vec<u8>),
    /// What each process has active against what was approved.
    Drift,
    /// Makes the approved policy active again.
    Restore,
    /// The status of the change of this name.
    Change(String),
    /// A command that binds all processes of this proxy.
    Command(ControlCommand),
}

/// Why what was received is no request. Operators read the text.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub(super) enum RequestError {
    /// It was not complete in time.
    #[error("no whole call within {} s", .0.as_secs())]
    Timeout(Duration),
    /// It is not HTTP.
    #[error("no HTTP request: {0}")]
    NotHttp(#[from] httparse::Error),
    /// Its head is longer than may be, or has more lines.
    #[error("the head has over {MAX_HEAD} bytes or {MAX_HEADERS} lines")]
    HeadTooLarge,
    /// It needs a body, and does not say how long that is.
    #[error("the call needs a body and its Content-Length")]
    LengthRequired,
    /// Its body is longer than may be.
    #[error("the body has over {MAX_BODY} bytes")]
    BodyTooLarge,
    /// There is no such path.
    #[error("no such call: {0:?}")]
    UnknownPath(String),
    /// The path is called by other methods.
    #[error("{path} is called by {allowed}, not {method}")]
    WrongMethod {
        /// The path of the request.
        path: String,
        /// The method of the request.
        method: String,
        /// The methods that the path knows.
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
            RequestError::NotHttp(_) | RequestError::BadId(_) => AdminResponse::text(400, text),
            RequestError::UnknownPath(_) => AdminResponse::not_found(text),
            RequestError::WrongMethod { allowed, .. } => AdminResponse::method_not_allowed(allowed, text),
            RequestError::Timeout(_) => AdminResponse::text(408, text),
            RequestError::LengthRequired => AdminResponse::text(411, text),
            RequestError::BodyTooLarge => AdminResponse::text(413, text),
            RequestError::HeadTooLarge => AdminResponse::text(431, text),
        }
    }
}

/// Parses a request; none while it is incomplete. Bytes after the head are looked at only for
/// requests that have a body.
///
/// # Errors
///
/// [`RequestError`] if the bytes cannot become a request.
pub(super) fn parse(bytes: &[u8]) -> Result<Option<AdminRequest>, RequestError> {
    let mut headers = [httparse::EMPTY_HEADER; MAX_HEADERS];
    let mut http = httparse::Request::new(&mut headers);
    let head_length = match http.parse(&bytes[..bytes.len().min(MAX_HEAD)]) {
        Ok(httparse::Status::Complete(length)) => length,
        Ok(httparse::Status::Partial) if bytes.len() < MAX_HEAD => return Ok(None),
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

/// The body of a request whose head has these headers; none while it is incomplete.
fn read_body(headers: &[httparse::Header], bytes: &[u8]) -> Result<Option<Vec<u8>>, RequestError> {
    let length = content_length(headers).ok_or(RequestError::LengthRequired)?;
    if length > MAX_BODY {
        return Err(RequestError::BodyTooLarge);
    }
    Ok(bytes.get(..length).map(<[u8]>::to_vec))
}

fn content_length(headers: &[httparse::Header]) -> Option<usize> {
    let header = headers.iter().find(|header| header.name.eq_ignore_ascii_case("content-length"))?;
    std::str::from_utf8(header.value).ok()?.trim().parse().ok()
}

/// The request that a method and a target name, without its body.
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

/// The request of a path that holds an id, and its method.
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

/// An id in a path, its escapes resolved.
fn decode_id(id: &str) -> Result<String, RequestError> {
    let bad_id = || RequestError::BadId(id.to_owned());
    if id.is_empty() || !id.split('%').skip(1).all(begins_with_escape) {
        return Err(bad_id());
    }
    percent_decode_str(id).decode_utf8().map(std::borrow::Cow::into_owned).map_err(|_| bad_id())
}

/// Whether what follows a `%` are two hexadecimal digits.
fn begins_with_escape(rest: &str) -> bool {
    rest.len() >= 2 && rest.bytes().take(2).all(|byte| byte.is_ascii_hexdigit())
}

#[cfg(test)]
mod tests;
