//! Closes client connections: applies close orders, and moves a connection through the states that
//! precede its close. Read [`Connection::advance`] first.

use super::{Connection, IoActivity, State};
use crate::net::request_log::CloseReason;
use pinetrail_connection_limits::{CloseOrderReason, Phase, Timestamp};
use std::net::Shutdown;

/// Whether a connection continues after a step.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Progress {
    /// The connection is still open.
    Continues,
    /// The connection has ended and is to be closed.
    Finished,
}

impl Connection<'_> {
    /// Applies a close order if there is one, and enters the next state if that is due.
    ///
    /// Note: closing a socket with unread input resets the connection, and the reset may discard
    /// the last response. Therefore the sending direction is shut down first, and input is
    /// discarded until the client has closed the connection too.
    pub(super) fn advance(&mut self) -> Progress {
        if let Some(reason) = self.handle.close_reason(self.reported.phase_number) {
            if self.apply_close_order(reason) == Progress::Finished {
                return Progress::Finished;
            }
        }
        let is_due = self.is_due_to_close();
        if !is_due {
            self.final_input_bytes = None;
        }
        // A partial command was not accepted, so it does not delay the close.
        if is_due && self.state == State::Open && self.is_idle() && !self.has_final_input() {
            let is_stopping = self.service.closes_when_idle();
            self.close_reason =
                Some(if is_stopping { CloseReason::Stopping } else { CloseReason::Disconnecting });
            self.state = State::Finishing;
        }
        if self.state == State::Finishing && self.has_written_last_response() {
            // An error means that the client has disconnected.
            let _ = self.stream.inner().shutdown(Shutdown::Write);
            self.state = State::Lingering;
        }
        self.report_phase(IoActivity::None);
        Progress::Continues
    }

    /// Returns whether the connection closes as soon as it is idle.
    fn is_due_to_close(&self) -> bool {
        self.service.closes_when_idle() || self.is_due_to_disconnect()
    }

    /// Decides whether the connection, which is idle and due to close, first executes further
    /// input: what had arrived before the response that made it idle for the first time. Input that
    /// arrives later crosses the close.
    ///
    /// Inputs: the bytes that were unread before that response was written, less those executed
    /// since.
    /// Reason: commands that had to wait for a limit are not lost by the close, and a client that
    /// sends continuously, or a command for each response, does not delay it.
    /// Source: docs/incidents/2026-12-04-commands-dropped-late-in-a-drain.md.
    fn has_final_input(&mut self) -> bool {
        let arrived = self.final_input_bytes.or(self.input_before_write);
        let bytes = arrived.unwrap_or_else(|| self.unread_input_bytes());
        self.final_input_bytes = Some(bytes);
        bytes > 0
    }

    /// Returns how many bytes of input wait in the socket, if the connection may be due to close
    /// once responses are written.
    pub(super) fn unread_input_before_close(&self) -> Option<usize> {
        let may_close = self.service.closes_when_idle() || self.service.disconnecting().is_some();
        may_close.then(|| self.unread_input_bytes())
    }

    /// Decides whether further requests are rejected: the connection is due to close, and clients
    /// have been directed to other proxies for so long that no request may be begun.
    ///
    /// Inputs: the schedule by which clients are directed to other proxies.
    /// Reason: a request needs time for an attempt.
    /// Source: docs/daily-operation.md.
    pub(super) fn rejects_requests(&self) -> bool {
        let Some(disconnecting) = self.service.disconnecting() else { return false };
        let elapsed = disconnecting.elapsed(self.service.descriptors.now());
        !disconnecting.schedule.keeps_partial_command(elapsed) && self.is_due_to_disconnect()
    }

    /// Returns whether nothing more will be written: every response, or the part that arrived of a
    /// value that broke off. No command behind such a value was executed.
    fn has_written_last_response(&self) -> bool {
        self.output.is_empty() && (self.pending.is_empty() || self.body_broken)
    }

    /// Applies a close order: decides whether the connection closes at once, closes after an error
    /// response, or stays open.
    ///
    /// Inputs: the reason of the order, the connection's phase and state, and its unread input.
    /// Reason: a reset would lose a command that arrives during the close, so unread input is read
    /// first.
    /// Source: docs/connection-limits.md.
    fn apply_close_order(&mut self, reason: CloseOrderReason) -> Progress {
        let is_open = self.state == State::Open;
        if is_open && reason == CloseOrderReason::Overdue && self.continues_value() {
            return Progress::Continues;
        }
        match self.reported.phase {
            // A partial command gets an error as its response.
            Phase::PartialFirstCommand | Phase::PartialCommand if is_open => {
                self.count_close(reason);
                self.respond_malformed("CLIENT_ERROR no whole command in time");
                // The close does not wait for output that the socket does not take now.
                let _ = self.write();
                self.state = State::Finishing;
            }
            Phase::CommandOpen => {}
            // The unread input may contain a command, so it is read before the close.
            Phase::Silent | Phase::Idle if is_open && self.has_unread_input() => {}
            // No other connection needs the descriptor, so this one is closed without a reset.
            Phase::Silent | Phase::Idle if is_open && reason == CloseOrderReason::Overdue => {
                self.count_close(reason);
                self.state = State::Finishing;
            }
            _ => {
                self.count_close(reason);
                return Progress::Finished;
            }
        }
        Progress::Continues
    }

    /// Decides whether a partial command may go on: the value of the command is arriving, and the
    /// client has not stopped. Its time is counted from its last byte then.
    ///
    /// Inputs: whether the line of the command is complete, and the time of the last input, on the
    /// connection table's clock.
    /// Reason: a value may be written slowly, while a client that has stopped is owed an error.
    /// Source: docs/connection-limits.md, "Slow writers and readers".
    fn continues_value(&mut self) -> bool {
        let is_partial = matches!(self.reported.phase, Phase::PartialFirstCommand | Phase::PartialCommand);
        if !is_partial || !self.input.contains(&b'\n') {
            return false;
        }
        let now = self.service.descriptors.now();
        let restarted =
            self.service.with_registry(|registry| registry.restart_phase(now, self.id, self.last_input_at));
        if let Some(phase_number) = restarted {
            self.reported.phase_number = phase_number;
        }
        restarted.is_some()
    }

    /// Counts a close order, and records its reason for the request log.
    fn count_close(&mut self, reason: CloseOrderReason) {
        self.service.count_close(reason);
        self.close_reason = Some(match reason {
            CloseOrderReason::Overdue => CloseReason::Overdue,
            CloseOrderReason::UnlikelyToReturn => CloseReason::UnlikelyToReturn,
            CloseOrderReason::OverBudget => CloseReason::OverBudget,
            CloseOrderReason::Evicted => CloseReason::Evicted,
        });
    }

    /// Decides whether the connection is due to close because clients are directed to other
    /// proxies. An idle connection is due after a response since the schedule began, or at its time
    /// in the schedule; a partial command keeps the connection open for a while.
    ///
    /// Inputs: the schedule, the time since it began, the arrival of the connection and its last
    /// response, in ms of the connection table's clock, and its unexecuted input.
    /// Reason: a reset would lose the rest of a command that arrives during a close.
    /// Source: docs/daily-operation.md.
    fn is_due_to_disconnect(&self) -> bool {
        let Some(disconnecting) = self.service.disconnecting() else { return false };
        let now = self.service.descriptors.now();
        let elapsed = disconnecting.elapsed(now);
        if !self.input.is_empty() && disconnecting.schedule.keeps_partial_command(elapsed) {
            return false;
        }
        let has_responded_since =
            self.last_response_at >= disconnecting.started_at.max(Timestamp::from_millis(1));
        has_responded_since || disconnecting.is_due(self.id, self.handle.arrived, now)
    }

    /// Returns whether the connection is to close, for any reason.
    pub(super) fn must_close(&self) -> bool {
        self.is_due_to_close() || self.handle.close_reason(self.reported.phase_number).is_some()
    }
}
