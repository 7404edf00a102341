//! Serves one client connection: reads commands, submits requests, and writes responses in the
//! order of the commands. Read [`Connection::serve`] first.
//!
//! `input` reads and parses, `commands` executes, `submit` submits requests to the dispatcher,
//! `output` writes, `close` ends the connection.

mod close;
mod commands;
mod input;
mod output;
mod submit;

use super::presence::SocketPresence;
use super::registry::ConnectionHandle;
use super::turns::Turn;
use super::ClientService;
use crate::interface::RequestId;
use crate::net::body_stream::BodyReceiver;
use crate::net::dispatcher::{ClientPresence, RequestBehind, ValueDelivery};
use crate::net::listener::Stream;
use crate::net::memory::MemoryReservation;
use crate::net::request_log::{self, CloseReason, ConnectionRemains};
use close::Progress;
use pinetrail_codec::MAX_VALUE_BYTES;
use pinetrail_connection_limits::{ConnectionId, Phase, PhaseNumber, Timestamp};
use std::collections::VecDeque;
use std::io;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

/// The number of commands without a written response at which reading pauses.
const MAX_PENDING_COMMANDS: usize = 64;
/// The size of unwritten responses at which reading pauses.
const MAX_OUTPUT_BYTES: usize = MAX_VALUE_BYTES;
/// The memory of a request in addition to the values of its command and its response.
const REQUEST_OVERHEAD_BYTES: usize = 4 * 1024;
/// The pause of a connection after malformed commands, which limits the rate at which a client can
/// resend them.
const PAUSE_AFTER_ERRORS: Duration = Duration::from_millis(20);

/// A response in the client's protocol.
struct EncodedResponse {
    /// The complete response, or the part before a streamed value.
    bytes: Vec<u8>,
    /// The streamed value, if there is one.
    body: Option<BodyReceiver>,
}

/// A slot for the response to a command; `None` until the response is available. The lock is held
/// only to store or take the response.
type ResponseSlot = Arc<Mutex<Option<EncodedResponse>>>;

/// A command whose response has not been written.
struct PendingCommand {
    /// The request, if it was submitted.
    request: Option<RequestId>,
    response: ResponseSlot,
    /// How a long value of the response is delivered; `None` if the response is no value.
    delivery: Option<Arc<ValueDelivery>>,
    /// The memory that is reserved for the values of the command and its response.
    memory: Option<MemoryReservation>,
}

impl PendingCommand {
    /// Returns whether the response can break off, which would end the connection: it may be a long
    /// value, and is not known to be complete.
    fn may_break_off(&self) -> bool {
        self.delivery.is_some() && !self.has_complete_response()
    }

    /// Ensures that the response cannot break off, so that a request may be executed behind it.
    /// Returns false if a long value is already streamed.
    fn keep_whole(&self, behind: RequestBehind) -> bool {
        let is_kept_whole = self.delivery.as_ref().is_none_or(|delivery| delivery.require_complete(behind));
        is_kept_whole || self.has_complete_response()
    }

    fn has_complete_response(&self) -> bool {
        let response = self.response.lock().unwrap_or_else(PoisonError::into_inner);
        let body = response.as_ref().map(|response| response.body.as_ref());
        body.is_some_and(|body| body.is_none_or(BodyReceiver::is_complete))
    }
}

/// The states of a connection, in their order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum State {
    /// Commands are read and executed.
    Open,
    /// No more commands are executed; pending ones still get their responses.
    Finishing,
    /// All responses are written, and the sending direction is closed. Further input is discarded.
    Lingering,
}

/// The input that the client has sent so far.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Received {
    /// The client has sent nothing.
    Nothing,
    /// The client has sent input, but no complete command.
    PartialCommand,
    /// The client has sent at least one complete command.
    CompleteCommand,
}

/// Whether bytes were read or written, or may still be available to read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum IoActivity {
    None,
    Transferred,
}

/// The phase that was reported to the connection table.
#[derive(Clone, Copy, Debug)]
struct ReportedPhase {
    phase: Phase,
    /// The number of the phase, counted per connection, by which a close order refers to the phase.
    phase_number: PhaseNumber,
}

/// A client connection and its open commands.
///
/// Invariant: fields are dropped in this order, so that the socket is closed before its pending
/// commands are dropped.
pub(super) struct Connection<'a> {
    service: &'a Arc<ClientService>,
    id: ConnectionId,
    handle: Arc<ConnectionHandle>,
    stream: Arc<Stream>,
    presence: Arc<dyn ClientPresence>,
    state: State,
    /// The present turn of the connection on the worker.
    turn: Turn,
    reported: ReportedPhase,
    /// The part of a command that has arrived. Complete commands that wait for a limit stay in the
    /// socket.
    input: Vec<u8>,
    /// The longest time for which the connection may have been in the accept queue; zero after its
    /// first input.
    queue_time: Duration,
    /// The longest time for which the last input may have been unread, because the process was held
    /// up or the connection was in the accept queue.
    unread_time: Duration,
    /// The memory that is reserved for a large command in `input`.
    input_memory: Option<MemoryReservation>,
    received: Received,
    /// The time at which input was last taken from the socket, by the clock of the connection table.
    last_input_at: Timestamp,
    /// Whether the next command waits for memory.
    waits_for_memory: bool,
    /// Whether the next command waits until no response before it can break off.
    waits_for_response: bool,
    /// Whether a limit has left input in the socket.
    has_waiting_input: bool,
    /// The input that was unread before responses were last written, in bytes; `None` if no close
    /// was possible then.
    input_before_write: Option<usize>,
    /// The input that is still executed before the connection closes, which is due; `None` until it
    /// was idle.
    final_input_bytes: Option<usize>,
    /// The input that had arrived before requests began to count as late and is not executed yet;
    /// `None` before that.
    early_input_bytes: Option<usize>,
    /// Whether a command was malformed since the last pause.
    had_errors: bool,
    /// The number of bytes that were read and will never be executed.
    unexecuted_bytes: usize,
    /// The number of bytes that were discarded while lingering.
    discarded_bytes: usize,
    /// The bytes to write next.
    output: Vec<u8>,
    /// The streamed value of the first pending command.
    body: Option<BodyReceiver>,
    /// Whether the streamed value ended before it was complete. Only the end of the connection can
    /// signal that to the client.
    body_broken: bool,
    /// The memory that is reserved for the responses in `output`.
    output_memory: Vec<MemoryReservation>,
    /// Commands without a written response, in their order.
    pending: VecDeque<PendingCommand>,
    /// The time at which the last response was written, by the clock of the connection table; zero
    /// before the first.
    last_response_at: Timestamp,
    /// The reason why the connection ends, for the request log.
    close_reason: Option<CloseReason>,
}

impl<'a> Connection<'a> {
    pub(super) fn new(
        service: &'a Arc<ClientService>,
        id: ConnectionId,
        handle: Arc<ConnectionHandle>,
        stream: Stream,
        queue_time: Duration,
    ) -> Self {
        let stream = Arc::new(stream);
        Connection {
            presence: Arc::new(SocketPresence::of(&stream)),
            service,
            id,
            handle,
            stream,
            state: State::Open,
            turn: Turn::begin(),
            reported: ReportedPhase { phase: Phase::Silent, phase_number: 0 },
            input: Vec::new(),
            queue_time,
            unread_time: Duration::ZERO,
            input_memory: None,
            received: Received::Nothing,
            last_input_at: Timestamp::ZERO,
            waits_for_memory: false,
            waits_for_response: false,
            has_waiting_input: false,
            input_before_write: None,
            final_input_bytes: None,
            early_input_bytes: None,
            had_errors: false,
            unexecuted_bytes: 0,
            discarded_bytes: 0,
            output: Vec::new(),
            body: None,
            body_broken: false,
            output_memory: Vec::new(),
            pending: VecDeque::new(),
            last_response_at: Timestamp::ZERO,
            close_reason: None,
        }
    }

    /// Records that the connection closes because the client has disconnected.
    pub(super) fn record_disconnect(&mut self) {
        self.close_reason.get_or_insert(CloseReason::ClientGone);
    }

    /// Serves the connection until it ends.
    ///
    /// # Errors
    ///
    /// Returns an error if the client has disconnected.
    pub(super) fn serve(&mut self) -> io::Result<()> {
        loop {
            if self.serve_without_waiting()? == Progress::Finished {
                return Ok(());
            }
            let before = self.state;
            if self.advance() == Progress::Finished {
                return Ok(());
            }
            // After a change of state the connection is served again before the wait: the poller
            // does not report earlier input a second time.
            if self.state == before {
                self.stream.wait_io();
            }
        }
    }

    /// Reads, executes and writes until the connection would have to wait for the socket.
    fn serve_without_waiting(&mut self) -> io::Result<Progress> {
        self.turn.resume();
        self.release_spare_memory();
        loop {
            let may_have_more = self.receive()?;
            let was_full = self.is_full() || self.waits_for_memory;
            self.input_before_write = self.unread_input_before_close();
            let has_written = self.write()?;
            let activity =
                if has_written || may_have_more { IoActivity::Transferred } else { IoActivity::None };
            // The poller does not report input a second time, so input that a limit left unread is
            // read as soon as the limit allows it.
            let is_full = self.is_full() || (self.waits_for_memory && !self.is_idle());
            let may_read_again = was_full && !is_full;
            let is_turn_over = self.turn.end_round();
            if std::mem::take(&mut self.had_errors) {
                self.service.turns.rest(&mut self.turn, PAUSE_AFTER_ERRORS);
                self.check_client_present()?;
            } else if is_turn_over && (may_have_more || may_read_again || is_full) {
                self.service.turns.rest(&mut self.turn, Duration::ZERO);
                self.check_client_present()?;
            } else if !may_have_more && !may_read_again {
                self.report_phase(activity);
                self.turn.pause();
                return Ok(Progress::Continues);
            }
            // Without this check, the connection of a client that sends continuously would never be
            // closed.
            self.report_phase(activity);
            if self.must_close() && self.advance() == Progress::Finished {
                return Ok(Progress::Finished);
            }
        }
    }

    /// Reports the phase to the connection table if it has changed.
    fn report_phase(&mut self, activity: IoActivity) {
        let phase = self.phase();
        let has_progress = activity == IoActivity::Transferred && phase == Phase::ResponseUnread;
        if phase != self.reported.phase || has_progress {
            self.reported = ReportedPhase { phase, phase_number: self.service.set_phase(self.id, phase) };
        }
    }

    fn phase(&self) -> Phase {
        match (self.state, self.received) {
            (State::Lingering, _) => Phase::Closing,
            _ if !self.output.is_empty() => Phase::ResponseUnread,
            _ if !self.pending.is_empty() => Phase::CommandOpen,
            (State::Finishing, _) => Phase::Closing,
            (State::Open, Received::Nothing) => Phase::Silent,
            (State::Open, Received::PartialCommand) => Phase::PartialFirstCommand,
            (State::Open, Received::CompleteCommand) if self.input.is_empty() => Phase::Idle,
            (State::Open, Received::CompleteCommand) => Phase::PartialCommand,
        }
    }

    /// Returns whether the responses to all commands are written.
    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.output.is_empty()
    }

    /// Decides whether reading and executing commands pauses until responses have been written.
    ///
    /// Inputs: the number of pending commands, the size of unwritten responses in bytes, whether the
    /// next command waits for the responses before it, and the schedule while clients are directed to
    /// other proxies.
    /// Reason: the memory of a connection is bounded. A client that always has a command open would
    /// never be idle, and so never disconnect.
    /// Source: docs/daily-operation.md.
    fn is_full(&self) -> bool {
        self.pending.len() >= MAX_PENDING_COMMANDS
            || self.output.len() >= MAX_OUTPUT_BYTES
            || (self.waits_for_response && self.pending.iter().any(PendingCommand::may_break_off))
            || (!self.pending.is_empty() && self.is_reading_stopped())
    }

    /// Returns whether clients have been directed to other proxies for so long that reading stops
    /// while commands are open.
    fn is_reading_stopped(&self) -> bool {
        let Some(disconnecting) = self.service.disconnecting() else { return false };
        let elapsed = disconnecting.elapsed(self.service.descriptors.now());
        disconnecting.schedule.stops_reading(elapsed)
    }
}

impl Drop for Connection<'_> {
    /// Removes the connection from the registry and cancels its open requests, also if its
    /// coroutine panics.
    fn drop(&mut self) {
        self.service.remove(self.id);
        let reason = self.close_reason.unwrap_or(CloseReason::Finished);
        let remains = ConnectionRemains {
            unanswered_commands: self.pending.len(),
            unexecuted_bytes: self.unexecuted_bytes,
            discarded_bytes: self.discarded_bytes,
        };
        request_log::connection_closed(self.id, reason, remains);
        for request in self.pending.iter().filter_map(|pending| pending.request) {
            self.service.dispatcher.cancel(request);
        }
    }
}
