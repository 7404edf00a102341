//! The decision module: all decisions of the proxy, without I/O. [`Balancer::handle`] is the entry
//! point: it takes an event, evaluates the rules that apply, and appends the resulting actions.
//!
//! Each rule has a module of its own, which can be read alone. The function of a rule documents
//! what it decides, its inputs with their units, its reason, and its source where there is one.
//! `docs/decisions.md` lists all rules; `docs/design.md` explains the selection of a backend by the
//! HyLARD algorithm (`endpoint_selection`).

mod admission;
mod balancer;
mod concurrency_limit;
mod eligibility;
mod endpoint_list;
mod endpoint_selection;
#[cfg(test)]
mod fixtures;
mod give_up;
mod origin_fetch;
mod outlier_ejection;
mod queue;
mod retry;
mod slow_start;

pub use balancer::Balancer;
