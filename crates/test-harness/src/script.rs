//! Faults as a script: written by hand, a line each, or drawn from a seed.

use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::fmt;

/// One fault, or its end.
#[derive(Clone, Debug, PartialEq)]
pub enum Fault {
    /// SIGKILL.
    Kill(usize),
    /// It starts again, under its name, with only its configuration.
    Start(usize),
    /// SIGSTOP.
    Stop(usize),
    /// SIGCONT.
    GoOn(usize),
    /// An upgrade: a second process takes over, and the first is asked to end.
    Upgrade(usize),
    /// Nothing passes from one member to another.
    Cut(usize, usize),
    /// Nothing passes between the sides, in either direction.
    Sides(Vec<Vec<usize>>),
    /// Every way passes again.
    Heal,
    /// So many in a hundred datagrams are lost, everywhere.
    Loss(u32),
    /// A cache node breaks its connections and answers nobody, or is back.
    Node(usize, bool),
}

impl fmt::Display for Fault {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Fault::Kill(member) => write!(f, "kill {member}"),
            Fault::Start(member) => write!(f, "start {member}"),
            Fault::Stop(member) => write!(f, "stop {member}"),
            Fault::GoOn(member) => write!(f, "go-on {member}"),
            Fault::Upgrade(member) => write!(f, "upgrade {member}"),
            Fault::Cut(from, to) => write!(f, "cut {from} {to}"),
            Fault::Sides(sides) => {
                let side =
                    |side: &Vec<usize>| side.iter().map(ToString::to_string).collect::<Vec<_>>().join(",");
                write!(f, "sides {}", sides.iter().map(side).collect::<Vec<_>>().join("|"))
            }
            Fault::Heal => f.write_str("heal"),
            Fault::Loss(percent) => write!(f, "loss {percent}"),
            Fault::Node(node, up) => write!(f, "node {node} {}", if *up { "up" } else { "down" }),
        }
    }
}

/// What happens when, in ms from the beginning.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Script(pub Vec<(u64, Fault)>);

impl fmt::Display for Script {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        self.0.iter().try_for_each(|(at, fault)| writeln!(f, "{at} {fault}"))
    }
}

impl Script {
    /// Reads lines of a time in ms and a fault; what follows a `#` is left aside. The error names the line.
    pub fn parse(text: &str) -> Result<Script, String> {
        let mut script = Script::default();
        for (at, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
            if words.is_empty() {
                continue;
            }
            let fault = fault(&words).ok_or_else(|| format!("line {}: no fault: {line:?}", at + 1))?;
            script.0.push(fault);
        }
        script.0.sort_by_key(|(at, _)| *at);
        Ok(script)
    }

    /// Faults of a seed for so many members: each ends within the time, and all is whole after it.
    pub fn from_seed(seed: u64, members: usize, faults: usize, ms: u64) -> Script {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut script = Vec::new();
        let each = ms / faults.max(1) as u64;
        for n in 0..faults as u64 {
            let (from, to) = (n * each, n * each + each * 4 / 5);
            let member = rng.random_range(0..members);
            let other = (member + rng.random_range(1..members)) % members;
            let (begins, ends) = match rng.random_range(0..5) {
                0 => (Fault::Kill(member), Fault::Start(member)),
                1 => (Fault::Stop(member), Fault::GoOn(member)),
                2 => (Fault::Cut(member, other), Fault::Heal),
                3 => {
                    let first = rng.random_range(1..members);
                    let all: Vec<usize> = (0..members).map(|n| (member + n) % members).collect();
                    let (one, two) = all.split_at(first);
                    (Fault::Sides(vec![one.to_vec(), two.to_vec()]), Fault::Heal)
                }
                _ => (Fault::Loss(rng.random_range(5..15)), Fault::Loss(0)),
            };
            script.extend([(from, begins), (to, ends)]);
        }
        Script(script)
    }
}

fn fault(words: &[&str]) -> Option<(u64, Fault)> {
    let (at, name) = (words.first()?.parse().ok()?, *words.get(1)?);
    let number = |nth: usize| words.get(nth)?.parse().ok();
    let (fault, length) = match name {
        "kill" => (Fault::Kill(number(2)?), 3),
        "start" => (Fault::Start(number(2)?), 3),
        "stop" => (Fault::Stop(number(2)?), 3),
        "go-on" => (Fault::GoOn(number(2)?), 3),
        "upgrade" => (Fault::Upgrade(number(2)?), 3),
        "cut" => (Fault::Cut(number(2)?, number(3)?), 4),
        "sides" => {
            let side = |side: &str| {
                side.split(',').map(|member| member.parse().ok()).collect::<Option<Vec<usize>>>()
            };
            (Fault::Sides(words.get(2)?.split('|').map(side).collect::<Option<_>>()?), 3)
        }
        "heal" => (Fault::Heal, 2),
        "loss" => (Fault::Loss(words.get(2)?.parse().ok().filter(|percent| *percent <= 100)?), 3),
        "node" => (Fault::Node(number(2)?, *words.get(3)? == "up"), 4),
        _ => return None,
    };
    (words.len() == length).then_some((at, fault))
}

#[cfg(test)]
mod tests;
