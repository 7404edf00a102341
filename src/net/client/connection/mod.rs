//! One consumer connection: reads commands, hands invocations in and writes answers, in the order of the
//! commands.

mod input;
mod output;

use super::{Away, ClientService, Shared};
use crate::interface::RequestId;
use crate::net::body_stream::BodyWriter;
use crate::net::codec::MAX_VALUE;
use crate::net::deadline_stream::sleep;
use crate::net::listener::Stream;
use crate::net::memory::Held;
use may::io::WaitIo;
use pinetrail_connection_limits::{ConnectionId, Phase, Reason, Seq};
use std::collections::VecDeque;
use std::io;
use std::net::Shutdown;
use std::sync::{Arc, Mutex};
use std::time::Duration;

/// Commands that may wait for their answers on one connection; beyond, reading stops.
const MAX_PENDING: usize = 64;
/// Bytes of answers that a consumer may leave unread; beyond, reading stops too.
const MAX_OUTPUT: usize = MAX_VALUE;
/// What an invocation takes beside the values of its command and its answer.
const INVOCATION_SIZE: usize = 4 * 1024;
/// Reads at a stretch. Then others get their turn: one that sends at full speed must not keep the worker.
const TURN: usize = 8;
const BETWEEN_TURNS: Duration = Duration::from_millis(1);
/// How long a connection rests after commands that were no good, lest sending them again at once pay.
const AFTER_ERRORS: Duration = Duration::from_millis(20);

/// An answer in the consumer's protocol, and the value behind it if that flows.
type Said = (Vec<u8>, Option<BodyWriter>);

/// A command whose answer has not been written.
struct Pending {
    id: Option<RequestId>,
    words: Arc<Mutex<Option<Said>>>,
    held: Option<Held>,
}

/// Where a connection stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Stage {
    /// Commands are read and answered.
    Open,
    /// Nothing more is understood; it closes once all is answered.
    Ending,
    /// All is said, and no more will be; what still comes is thrown away.
    Lingering,
}

pub(super) struct Connection<'a> {
    side: &'a Arc<ClientService>,
    number: ConnectionId,
    shared: Arc<Shared>,
    stream: Stream,
    input: Vec<u8>,
    /// Whether anything came, and whether a whole command did.
    heard: bool,
    proven: bool,
    /// What such a command holds of the memory, if it is large.
    input_held: Option<Held>,
    output: Vec<u8>,
    /// The value of the first that is pending, while it flows.
    flowing: Option<BodyWriter>,
    /// Whether that broke off: the connection ends once what was said before has gone out.
    broken: bool,
    /// What the answers in `output` hold of the memory.
    output_held: Vec<Held>,
    pending: VecDeque<Pending>,
    stage: Stage,
    /// What it holds its place for, as last said, and which stay in that phase this is.
    stay: (Phase, Seq),
    /// How much of what came was thrown away.
    lingered: usize,
    /// Whether a command waits for memory.
    short: bool,
    /// Whether whole commands that have come may still have to be obeyed.
    behind: bool,
    /// Whether a command was no good since the last rest.
    errors: bool,
    /// When the last answer had gone out, by the clock of the places.
    answered: u64,
}

impl<'a> Connection<'a> {
    pub(super) fn new(
        side: &'a Arc<ClientService>,
        number: ConnectionId,
        shared: Arc<Shared>,
        stream: Stream,
    ) -> Self {
        Connection {
            side,
            number,
            shared,
            stream,
            input: Vec::new(),
            heard: false,
            proven: false,
            input_held: None,
            output: Vec::new(),
            flowing: None,
            broken: false,
            output_held: Vec::new(),
            pending: VecDeque::new(),
            stage: Stage::Open,
            stay: (Phase::Silent, 0),
            lingered: 0,
            short: false,
            behind: false,
            errors: false,
            answered: 0,
        }
    }

    /// Serves it until it is over; an error says that the consumer has gone.
    pub(super) fn serve(&mut self) -> io::Result<()> {
        loop {
            let mut turn = 0;
            loop {
                let was_full = self.is_full() || self.short;
                let more = self.read()?;
                self.understand();
                let active = self.write()? || more;
                // What was left unread for want of room is not told of again by the poller.
                let is_full = self.is_full() || (self.short && !self.is_idle());
                let has_room_again = was_full && !is_full;
                turn += 1;
                if std::mem::take(&mut self.errors) {
                    sleep(AFTER_ERRORS);
                    self.must_be_there()?;
                } else if !more && !has_room_again {
                    self.settle(active);
                    break;
                } else if turn % TURN == 0 {
                    sleep(BETWEEN_TURNS);
                    self.must_be_there()?;
                }
                // Who never stops sending would never give its place up.
                self.settle(active);
                if self.must_close() && self.is_over() {
                    return Ok(());
                }
            }
            let before = self.stage;
            if self.is_over() {
                return Ok(());
            }
            // What came meanwhile is not told of again either.
            if self.stage == before {
                self.stream.wait_io();
            }
        }
    }

    /// Whether nothing is left to do; moves it on to its next stage.
    fn is_over(&mut self) -> bool {
        if let Some(reason) = self.shared.order_about(self.stay.1) {
            match self.stay.0 {
                // Half a command is owed an error.
                Phase::PartialFirstCommand | Phase::PartialCommand if self.stage == Stage::Open => {
                    self.side.count(reason);
                    self.refuse("CLIENT_ERROR no whole command in time");
                    // What does not go out at once is not waited for.
                    let _ = self.write();
                    self.stage = Stage::Ending;
                }
                Phase::CommandOpen => {}
                // Danger: what crosses the order would be lost by it, and the close would be a reset. It is heard first.
                Phase::Silent | Phase::Idle if self.stage == Stage::Open && self.has_unread() => {}
                // Nobody waits for the descriptor.
                Phase::Silent | Phase::Idle if self.stage == Stage::Open && reason == Reason::Overdue => {
                    self.side.count(reason);
                    self.stage = Stage::Ending;
                }
                _ => {
                    self.side.count(reason);
                    return true;
                }
            }
        }
        // Half a command has not been taken: it does not keep a connection of a proxy that stops.
        if self.stage == Stage::Open && self.is_idle() && (self.side.is_closing() || self.is_to_go()) {
            self.stage = Stage::Ending;
        }
        // Danger: a close over bytes that are not read resets the connection, and the last answer may go with it. Its end
        // is told, and what still comes is thrown away until the consumer has ended it too.
        if self.is_idle() && self.stage == Stage::Ending {
            // An error says that the consumer has gone.
            let _ = self.stream.inner().shutdown(Shutdown::Write);
            self.stage = Stage::Lingering;
        }
        self.settle(false);
        false
    }

    /// Whether clients are sent away and it is this one's turn.
    fn is_to_go(&self) -> bool {
        let Some(away) = *self.side.away() else { return false };
        let now = self.side.descriptors.now();
        let Away { since, plan } = away;
        // Danger: what has begun to come would cross the close.
        if !self.input.is_empty() && plan.keeps_partial_command(now.saturating_sub(since)) {
            return false;
        }
        self.answered >= since.max(1) || away.is_due(self.number, self.shared.arrived, now)
    }

    /// Says what it holds its place for. `active` tells whether anything came or went.
    fn settle(&mut self, active: bool) {
        let phase = self.phase();
        if phase != self.stay.0 || (active && phase == Phase::ResponseUnread) {
            self.stay = (phase, self.side.enter(self.number, phase));
        }
    }

    fn phase(&self) -> Phase {
        match self.stage {
            Stage::Lingering => Phase::Closing,
            _ if !self.output.is_empty() => Phase::ResponseUnread,
            _ if !self.pending.is_empty() => Phase::CommandOpen,
            Stage::Ending => Phase::Closing,
            Stage::Open if !self.heard => Phase::Silent,
            Stage::Open if !self.proven => Phase::PartialFirstCommand,
            Stage::Open if self.input.is_empty() => Phase::Idle,
            Stage::Open => Phase::PartialCommand,
        }
    }

    fn is_idle(&self) -> bool {
        self.pending.is_empty() && self.output.is_empty()
    }

    fn must_close(&self) -> bool {
        self.side.is_closing() || self.is_to_go() || self.shared.order_about(self.stay.1).is_some()
    }

    /// Whether reading rests until answers have been written.
    fn is_full(&self) -> bool {
        let late =
            |away: &Away| away.plan.stops_reading(self.side.descriptors.now().saturating_sub(away.since));
        self.pending.len() >= MAX_PENDING
            || self.output.len() >= MAX_OUTPUT
            // Danger: who always has a command open would never stand between two.
            || (!self.pending.is_empty() && self.side.away().as_ref().is_some_and(late))
    }
}

impl Drop for Connection<'_> {
    /// Also when its coroutine panics: nobody waits for what is still out, and its place is free.
    fn drop(&mut self) {
        self.side.left(self.number);
        for id in self.pending.iter().filter_map(|pending| pending.id) {
            self.side.exchange.cancel(id);
        }
    }
}
