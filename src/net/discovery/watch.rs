//! Runs one watch, from its connection to its end. Read [`Discovery::watch`] first.

use super::error::WatchError;
use super::lists::{ListError, ListReader};
use super::target::TargetAddress;
use super::timing::{CallTimeouts, SILENCE_TIMEOUT};
use super::Discovery;
use crate::interface::ListForm;
use crate::net::deadline_stream::DeadlineStream;
use pinetrail_codec::http::{self, Body, Head};
use pinetrail_codec::{ParseError, Parsed};
use pinetrail_config::Catalog;
use std::convert::Infallible;
use std::io::ErrorKind;
use std::time::{Duration, Instant};

/// The maximum length of a list, in bytes.
const MAX_LIST_BYTES: usize = 1 << 20;
/// The maximum size of the buffered response of a watch, in bytes.
const MAX_BUFFER_BYTES: usize = 2 * MAX_LIST_BYTES;
const STATUS_OK: u16 = 200;

/// The response of a watch, after its head.
struct WatchStream {
    stream: DeadlineStream,
    /// The received bytes that are not yet part of a complete chunk.
    buffer: Vec<u8>,
}

impl Discovery {
    /// Opens a watch, and applies its lists until the watch fails or ends.
    pub(super) fn watch(&mut self, target: TargetAddress) -> Result<Infallible, WatchError> {
        let mut response = self.open_watch(target)?;
        self.last_received = Some(Instant::now());
        let mut lists = ListReader::new(MAX_LIST_BYTES);
        // When the first bytes of an incomplete list were received.
        let mut incomplete_since: Option<Instant> = None;
        loop {
            let chunks = response.take_chunks(&mut lists);
            // Lists that precede the end of the response count as notified, so they are applied
            // first.
            while let Some(list) = lists.next_list()? {
                incomplete_since = None;
                self.apply_list(list)?;
            }
            chunks?;
            if response.buffer.len() > MAX_BUFFER_BYTES {
                return Err(ListError::TooLong.into());
            }
            // An incomplete list must not extend the silence timeout: it may never become complete.
            let now = Instant::now();
            if lists.is_empty() && response.buffer.is_empty() {
                incomplete_since = None;
            } else {
                incomplete_since.get_or_insert(now);
            }
            read_some(
                &response.stream,
                &mut response.buffer,
                incomplete_since.unwrap_or(now) + SILENCE_TIMEOUT,
            )?;
            self.last_received = Some(Instant::now());
        }
    }

    /// Connects to discovery, and requests all changes after the last generation.
    fn open_watch(&self, target: TargetAddress) -> Result<WatchStream, WatchError> {
        let silent_for = self.last_received.map_or(Duration::MAX, |received| received.elapsed());
        let timeouts = CallTimeouts::after_silence(silent_for);
        let deadline = Instant::now() + timeouts.watch_start;
        let stream = DeadlineStream::connect(&target.address, timeouts.connect).map_err(connect_error)?;
        if !self.target.attach_stream(&stream, target) {
            return Err(WatchError::AddressChanged);
        }
        let path = format!("/catalog/members?watch=1&after={}", self.generation);
        let request = http::encode_request(&path, &target.address.to_string(), &[], None);
        stream.write(&request, deadline).map_err(WatchError::RequestNotWritten)?;
        let mut buffer = Vec::new();
        let head = read_head(&stream, &mut buffer, deadline)?;
        if head.status != STATUS_OK || head.body != Body::Chunked {
            return Err(WatchError::Rejected);
        }
        Ok(WatchStream { stream, buffer })
    }

    /// Applies a list, or rejects it as older than the present one. After a rejection, the next
    /// watch requests the whole list.
    ///
    /// Inputs: the generations of both lists, and whether the new one is complete.
    /// Reason: older changes would undo newer ones, and if a restarted discovery counts from zero,
    /// all its changes would be ignored.
    fn apply_list(&mut self, list: Catalog) -> Result<(), WatchError> {
        if !list.reset && list.generation < self.generation {
            self.generation = 0;
            return Err(WatchError::OldGeneration);
        }
        let form = if list.reset { ListForm::Full } else { ListForm::Delta };
        self.generation = list.generation;
        self.counters.endpoint_lists.increment();
        self.update_endpoints(form, list.instances);
        Ok(())
    }
}

impl WatchStream {
    /// Moves the complete chunks of the response to the list reader.
    fn take_chunks(&mut self, lists: &mut ListReader) -> Result<(), WatchError> {
        loop {
            let used = match http::parse_chunk(&self.buffer, MAX_LIST_BYTES) {
                Err(ParseError::Incomplete) => return Ok(()),
                Err(ParseError::Malformed { error, .. }) => return Err(error.into()),
                Ok(Parsed { message: [], .. }) => return Err(WatchError::ResponseEnded),
                Ok(Parsed { message: chunk, length }) => {
                    lists.push(chunk)?;
                    length
                }
            };
            self.buffer.drain(..used);
        }
    }
}

fn connect_error(error: std::io::Error) -> WatchError {
    match error.kind() {
        ErrorKind::TimedOut => WatchError::ConnectTimeout(error),
        _ => WatchError::Connect(error),
    }
}

/// Reads the head of the response, which must be complete by the deadline.
fn read_head(stream: &DeadlineStream, buffer: &mut Vec<u8>, deadline: Instant) -> Result<Head, WatchError> {
    loop {
        read_some(stream, buffer, deadline)?;
        match http::parse_head(buffer) {
            Err(ParseError::Incomplete) => {}
            Err(ParseError::Malformed { error, .. }) => return Err(error.into()),
            Ok(Parsed { message: head, length }) => {
                buffer.drain(..length);
                return Ok(head);
            }
        }
    }
}

fn read_some(stream: &DeadlineStream, buffer: &mut Vec<u8>, deadline: Instant) -> Result<(), WatchError> {
    match stream.read(buffer, deadline) {
        Ok(0) => Err(WatchError::ConnectionEnded),
        Ok(_) => Ok(()),
        Err(error) if error.kind() == ErrorKind::TimedOut => Err(WatchError::Silent(error)),
        Err(error) => Err(WatchError::ConnectionBroken(error)),
    }
}
