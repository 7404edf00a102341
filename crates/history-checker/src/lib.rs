//! Judges histories: timed lists of what could be seen of a fleet from outside, by the rules that every proxy
//! keeps. For tests only; it does no I/O, and shares no code with the decisions that it judges.
//!
//! A [`History`] holds what consumers sent and received, what providers received and how they answered, what
//! discovery told, which figures were in force, and which processes started and ended. Of a proxy's state, actions,
//! counters and log it knows nothing. [`judge`] names each [`Breach`] with its [`Reason`], whom it is about, when it
//! happened and the events at fault. A history that shows no request is an error: nothing was looked at.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod answers;
mod violation;
mod calls;
mod cold;
mod drains;
mod history;
mod ledger;
mod policies;
mod quota;

pub use violation::{Breach, NotJudged, Reason, Rule};
pub use history::{Answer, Class, Effect, End, Figures, History, Node, Process, Scope, Seen, State, Time};
pub use policies::{judge_policies, Decided};
pub use quota::judge_shares;

/// Judges a history by all rules. What it breaks, in the order of time; or why it cannot be judged.
pub fn judge(history: &History) -> Result<Vec<Breach>, NotJudged> {
    let ledger = ledger::Ledger::read(history)?;
    let mut breaches = answers::judge(history, &ledger)?;
    breaches.extend(calls::judge(history, &ledger));
    breaches.extend(drains::judge(history));
    breaches.extend(cold::judge(history));
    breaches.extend(quota::judge(history));
    breaches.sort_by(|a, b| a.at.total_cmp(&b.at));
    Ok(breaches)
}
