//! Relays operators' commands to the other process of this proxy. Read [`HotRestart::relay`] first.

use super::messages::{ControlCommand, Message};
use super::{HotRestart, PeerProcessState, PeerStream, RelayError};
use crate::net::deadline_stream::sleep;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The time within which the other process must confirm a command, so that operators get their
/// answer within 1 s.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// The interval at which a relayed command checks for its confirmation.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// The outcome of a command at the other process.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CommandOutcome {
    /// The other process has not confirmed the command yet.
    Pending,
    Applied,
    /// The other process rejected the command, for this reason.
    Rejected(String),
}

/// The relayed commands that wait for their confirmation, by number.
#[derive(Debug, Default)]
pub(super) struct PendingCommands {
    last_number: u64,
    outcomes: BTreeMap<u64, CommandOutcome>,
}

impl PendingCommands {
    fn add(&mut self) -> u64 {
        self.last_number += 1;
        self.outcomes.insert(self.last_number, CommandOutcome::Pending);
        self.last_number
    }

    /// Records the outcome of a command. A number without a pending command is ignored.
    pub(super) fn confirm(&mut self, number: u64, reason: Option<String>) {
        if let Some(outcome) = self.outcomes.get_mut(&number) {
            *outcome = match reason {
                Some(reason) => CommandOutcome::Rejected(reason),
                None => CommandOutcome::Applied,
            };
        }
    }

    fn outcome(&self, number: u64) -> CommandOutcome {
        self.outcomes.get(&number).cloned().unwrap_or(CommandOutcome::Pending)
    }

    fn remove(&mut self, number: u64) {
        self.outcomes.remove(&number);
    }
}

impl HotRestart {
    /// Relays a command to the other process, if there is one, and waits for its confirmation.
    ///
    /// # Errors
    ///
    /// Returns [`RelayError`] if the other process rejects the command or does not confirm it in
    /// time.
    pub fn relay(&self, command: ControlCommand) -> Result<(), RelayError> {
        let Some((number, stream)) = self.register_command() else { return Ok(()) };
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        // If the command cannot be sent, it is not confirmed.
        let _ = stream.write(&Message::Command(number, command).to_line(), deadline);
        let result = self.await_confirmation(number, deadline);
        self.with_state(|state| state.commands.remove(number));
        result
    }

    /// Returns the number of a new command, and the stream on which it is sent; `None` if this
    /// process is alone.
    fn register_command(&self) -> Option<(u64, PeerStream)> {
        self.with_state(|state| {
            let stream = state.stream_to_peer(PeerProcessState::serves)?;
            Some((state.commands.add(), stream))
        })
    }

    /// Waits for the confirmation of a command, and decides whether the command counts as applied
    /// by both processes.
    ///
    /// Inputs: the command's outcome at the other process, whether that process still runs, and the
    /// deadline.
    /// Reason: operators must know whether the other process may still act against their command. A
    /// process that has ended cannot, so the command counts as applied.
    fn await_confirmation(&self, number: u64, deadline: Instant) -> Result<(), RelayError> {
        loop {
            let (outcome, is_alone) =
                self.with_state(|state| (state.commands.outcome(number), state.connection.is_none()));
            match outcome {
                CommandOutcome::Applied => return Ok(()),
                CommandOutcome::Rejected(reason) => return Err(RelayError::Rejected(reason)),
                CommandOutcome::Pending if is_alone => return Ok(()),
                CommandOutcome::Pending if Instant::now() >= deadline => {
                    return Err(RelayError::NotConfirmed);
                }
                CommandOutcome::Pending => sleep(POLL_INTERVAL),
            }
        }
    }
}

#[cfg(test)]
mod tests;
