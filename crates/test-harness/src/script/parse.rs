//! Parses a [`Script`] from text.

use super::{Fault, Script, ScriptStep};
use thiserror::Error;

/// The reasons for which a text is not a script.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum ScriptError {
    /// A line is not a time in ms followed by a fault with its arguments.
    #[error("line {line}: no fault: {text:?}")]
    NoFault {
        /// The number of the line, counted from 1.
        line: usize,
        /// The text of the line.
        text: String,
    },
}

impl Script {
    /// Parses lines of a time in ms and a fault. Ignores empty lines and the rest of a line after
    /// `#`. The lines need not be in the order of time.
    ///
    /// # Errors
    /// [`ScriptError::NoFault`] for the first line that is not a fault.
    pub fn parse(text: &str) -> Result<Script, ScriptError> {
        let mut script = Script::default();
        for (index, line) in text.lines().enumerate() {
            let words: Vec<&str> = line.split('#').next().unwrap_or_default().split_whitespace().collect();
            if words.is_empty() {
                continue;
            }
            let no_fault = || ScriptError::NoFault { line: index + 1, text: line.to_owned() };
            script.steps.push(parse_step(&words).ok_or_else(no_fault)?);
        }
        script.steps.sort_by_key(|step| step.at_ms);
        Ok(script)
    }
}

fn parse_step(words: &[&str]) -> Option<ScriptStep> {
    let [at_ms, name, arguments @ ..] = words else { return None };
    let at_ms = at_ms.parse().ok()?;
    Some(ScriptStep { at_ms, fault: parse_fault(name, arguments)? })
}

fn parse_fault(name: &str, arguments: &[&str]) -> Option<Fault> {
    match (name, arguments) {
        ("kill", [member]) => Some(Fault::Kill(parse_number(member)?)),
        ("start", [member]) => Some(Fault::Start(parse_number(member)?)),
        ("stop", [member]) => Some(Fault::Stop(parse_number(member)?)),
        ("go-on", [member]) => Some(Fault::Continue(parse_number(member)?)),
        ("upgrade", [member]) => Some(Fault::HotRestart(parse_number(member)?)),
        ("cut", [from, to]) => Some(Fault::Cut(parse_number(from)?, parse_number(to)?)),
        ("sides", [sides]) => Some(Fault::Partition(parse_sides(sides)?)),
        ("heal", []) => Some(Fault::Heal),
        ("loss", [percent]) => {
            let percent = percent.parse().ok()?;
            (percent <= 100).then_some(Fault::Loss(percent))
        }
        ("node", [node, "up"]) => Some(Fault::NodeUp(parse_number(node)?)),
        ("node", [node, _]) => Some(Fault::NodeDown(parse_number(node)?)),
        _ => None,
    }
}

fn parse_number(word: &str) -> Option<usize> {
    word.parse().ok()
}

/// Parses the sides of a partition: members are separated by commas, sides by `|`.
fn parse_sides(word: &str) -> Option<Vec<Vec<usize>>> {
    word.split('|').map(|side| side.split(',').map(parse_number).collect()).collect()
}
