//! Plays a script of faults on a fleet in simulated time, and logs the events of its members:
//! [`play`].

use crate::error::PlayError;
use crate::membership::trials::event_text;
use pinetrail_membership::Membership;
use pinetrail_simulation::fleet::Fleet;
use pinetrail_test_harness::script::{Fault, Script, ScriptStep};

/// The time for which members are observed after the last fault.
const OBSERVATION_AFTER_MS: u64 = 15_000;

/// The time that members have to join before the script begins.
const JOIN_TIME_MS: u64 = 30_000;
/// The number of members that all others contact to join.
const PEER_COUNT: usize = 3;

/// Plays a script on a fleet of this many members; returns the log lines.
pub(super) fn play(script: &Script, members: usize, seed: u64) -> Result<Vec<String>, PlayError> {
    let peers: Vec<usize> = (0..members.min(PEER_COUNT)).collect();
    let size = members.max(peers.len() + 1);
    let mut fleet = Fleet::with_members(members, seed, &peers);
    fleet.run(JOIN_TIME_MS);
    fleet.observed.clear();
    let start = fleet.now();
    let mut player = ScriptPlayer { fleet, members, size, peers, start, lines: Vec::new() };
    for ScriptStep { at_ms: at, fault } in &script.steps {
        player.run_until(*at);
        player.lines.push(format!("{at:>7} ms  fault  {fault}"));
        player.inject(fault)?;
    }
    player.fleet.run(OBSERVATION_AFTER_MS);
    player.log_events();
    Ok(player.lines)
}

/// A fleet on which the faults of a script are injected.
struct ScriptPlayer {
    fleet: Fleet<Membership>,
    members: usize,
    /// The maximum number of members of the fleet.
    size: usize,
    /// The members that all others contact to join.
    peers: Vec<usize>,
    /// The start of the script in ms of the fleet's clock.
    start: u64,
    /// The log lines so far.
    lines: Vec<String>,
}

impl ScriptPlayer {
    /// Advances simulated time to `at` ms after the start of the script.
    fn run_until(&mut self, at: u64) {
        let left = (self.start + at).saturating_sub(self.fleet.now());
        self.fleet.run(left);
        self.log_events();
    }

    /// Logs the events of members since the previous call.
    fn log_events(&mut self) {
        for observed in std::mem::take(&mut self.fleet.observed) {
            let at = observed.at - self.start;
            self.lines.push(format!("{at:>7} ms  n{:04}  {}", observed.host, event_text(&observed.event)));
        }
    }

    fn inject(&mut self, fault: &Fault) -> Result<(), PlayError> {
        self.check_members(fault)?;
        match fault {
            Fault::Kill(member) => self.fleet.kill(*member),
            Fault::Start(member) => self.fleet.start_member(*member, self.size, &self.peers),
            Fault::Stop(member) => self.fleet.pause(*member),
            Fault::Continue(member) => self.fleet.resume(*member),
            Fault::Cut(from, to) => self.fleet.network.cut(*from, *to),
            Fault::Partition(sides) => {
                let sides: Vec<&[usize]> = sides.iter().map(Vec::as_slice).collect();
                self.fleet.network.partition(&sides);
            }
            Fault::Heal => self.fleet.network.heal(),
            Fault::Loss(percent) => self.fleet.network.loss = f64::from(*percent) / 100.0,
            Fault::HotRestart(member) => {
                // Only the process that accepts connections speaks as the member. The new process
                // is a later start of the same name.
                self.fleet.kill(*member);
                self.fleet.start_member(*member, self.size, &self.peers);
            }
            Fault::NodeDown(_) | Fault::NodeUp(_) => return Err(PlayError::NoCacheNodes(fault.clone())),
        }
        Ok(())
    }

    /// Checks that all members that a fault names exist.
    fn check_members(&self, fault: &Fault) -> Result<(), PlayError> {
        let named = match fault {
            Fault::Kill(member)
            | Fault::Start(member)
            | Fault::Stop(member)
            | Fault::Continue(member)
            | Fault::HotRestart(member) => vec![*member],
            Fault::Cut(from, to) => vec![*from, *to],
            Fault::Partition(sides) => sides.concat(),
            Fault::Heal | Fault::Loss(_) | Fault::NodeDown(_) | Fault::NodeUp(_) => Vec::new(),
        };
        if named.iter().all(|member| *member < self.members) {
            return Ok(());
        }
        Err(PlayError::NoSuchMember { fault: fault.clone(), members: self.members })
    }
}

#[cfg(test)]
mod tests;
