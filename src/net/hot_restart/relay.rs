//! Operators' commands that have to be applied by both processes.

use super::messages::{ControlCommand, Message};
use super::{HotRestart, PeerProcess, PeerStream, RelayError};
use crate::net::deadline_stream::sleep;
use std::collections::BTreeMap;
use std::time::{Duration, Instant};

/// The other process confirms a command within this time. Operators are owed an answer within 1 s.
const CONFIRM_TIMEOUT: Duration = Duration::from_millis(700);
/// How often a command that waits looks for its confirmation.
const POLL_INTERVAL: Duration = Duration::from_millis(2);

/// What the other process has made of a command.
#[derive(Clone, Debug, PartialEq, Eq)]
enum CommandOutcome {
    /// It has not answered.
    Pending,
    Applied,
    /// It does not apply it, for this reason.
    Rejected(String),
}

/// The commands that were relayed and wait for their confirmation, by number.
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

    /// Notes what the other process has made of a command. A number that nobody waits for is
    /// ignored.
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
    /// Has the other process, if there is one, apply a command too.
    ///
    /// # Errors
    ///
    /// [`RelayError`] if the other process does not apply it or has not answered in time.
    pub fn relay(&self, command: ControlCommand) -> Result<(), RelayError> {
        let Some((number, stream)) = self.register_command() else { return Ok(()) };
        let deadline = Instant::now() + CONFIRM_TIMEOUT;
        // A command that cannot be sent is not confirmed.
        let _ = stream.write(&Message::Command(number, command).to_line(), deadline);
        let result = self.await_confirmation(number, deadline);
        self.with_state(|state| state.commands.remove(number));
        result
    }

    /// The number of a new command, and the stream to send it on; none if this process is alone.
    fn register_command(&self) -> Option<(u64, PeerStream)> {
        self.with_state(|state| {
            let stream = state.stream_to(|peer| peer != PeerProcess::None)?;
            Some((state.commands.add(), stream))
        })
    }

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
