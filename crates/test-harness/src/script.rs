//! Fault scripts, parsed from text with one fault a line or drawn from a seed. Read [`Script`]
//! first, then [`Fault`].

mod parse;
#[cfg(test)]
mod tests;

pub use parse::ScriptError;

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fmt;

/// The start or the end of a fault. Members and cache nodes are given by their numbers.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// A member is killed with SIGKILL.
    Kill(usize),
    /// A member that does not run starts under its name, with only its configuration.
    Start(usize),
    /// A member is paused with SIGSTOP.
    Stop(usize),
    /// A paused member continues with SIGCONT.
    Continue(usize),
    /// A member performs a hot restart: its second process takes over, and its first one exits.
    HotRestart(usize),
    /// Nothing passes from the first member to the second: datagrams are lost, and the bytes of
    /// connections are held back.
    Cut(usize, usize),
    /// Nothing passes between members of different sides, in either direction.
    Partition(Vec<Vec<usize>>),
    /// No path between members is partitioned any longer.
    Heal,
    /// This percentage of datagrams is lost on every path between members.
    Loss(u32),
    /// A cache node fails: its connections break, and requests on new ones get no response.
    NodeDown(usize),
    /// A cache node that failed responds again.
    NodeUp(usize),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Kill(member) => write!(f, "kill {member}"),
            Fault::Start(member) => write!(f, "start {member}"),
            Fault::Stop(member) => write!(f, "stop {member}"),
            Fault::Continue(member) => write!(f, "go-on {member}"),
            Fault::HotRestart(member) => write!(f, "upgrade {member}"),
            Fault::Cut(from, to) => write!(f, "cut {from} {to}"),
            Fault::Partition(sides) => {
                let sides: Vec<String> = sides.iter().map(|side| side_to_text(side)).collect();
                write!(f, "sides {}", sides.join("|"))
            }
            Fault::Heal => f.write_str("heal"),
            Fault::Loss(percent) => write!(f, "loss {percent}"),
            Fault::NodeDown(node) => write!(f, "node {node} down"),
            Fault::NodeUp(node) => write!(f, "node {node} up"),
        }
    }
}

fn side_to_text(side: &[usize]) -> String {
    let members: Vec<String> = side.iter().map(ToString::to_string).collect();
    members.join(",")
}

/// A fault and the time at which it is injected.
#[derive(Clone, Debug, PartialEq)]
pub struct ScriptStep {
    /// Time since the start of the script, in ms.
    pub at_ms: u64,
    /// The fault to inject.
    pub fault: Fault,
}

/// A sequence of faults in the order of time. Its text form has one line for each step.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script {
    /// The steps in the order of time.
    pub steps: Vec<ScriptStep>,
}

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for ScriptStep { at_ms, fault } in &self.steps {
            writeln!(f, "{at_ms} {fault}")?;
        }
        Ok(())
    }
}

impl Script {
    /// Draws a number of faults for a number of members from a seed. Each fault begins and ends
    /// within `duration_ms`.
    pub fn from_seed(seed: u64, members: usize, faults: usize, duration_ms: u64) -> Script {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut script = Script::default();
        let interval = duration_ms / faults.max(1) as u64;
        for n in 0..faults as u64 {
            let start = n * interval;
            let (fault, end_of_fault) = draw_fault(&mut rng, members);
            script.steps.push(ScriptStep { at_ms: start, fault });
            script.steps.push(ScriptStep { at_ms: start + interval * 4 / 5, fault: end_of_fault });
        }
        script
    }
}

/// Returns the start and the end of a random fault.
fn draw_fault(rng: &mut StdRng, members: usize) -> (Fault, Fault) {
    let member = rng.random_range(0..members);
    let other = (member + rng.random_range(1..members)) % members;
    match rng.random_range(0..5) {
        0 => (Fault::Kill(member), Fault::Start(member)),
        1 => (Fault::Stop(member), Fault::Continue(member)),
        2 => (Fault::Cut(member, other), Fault::Heal),
        3 => {
            let first_side = rng.random_range(1..members);
            let all: Vec<usize> = (0..members).map(|n| (member + n) % members).collect();
            let (one, two) = all.split_at(first_side);
            (Fault::Partition(vec![one.to_vec(), two.to_vec()]), Fault::Heal)
        }
        _ => (Fault::Loss(rng.random_range(5..15)), Fault::Loss(0)),
    }
}
