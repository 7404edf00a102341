//! When each proxy of the demo noticed the deaths and returns of others: [`Notice`].

use super::PROXIES;
use pinetrail_test_harness::fleet::Fleet;
use pinetrail_test_harness::script::{Fault, Script, ScriptStep};

/// When one member noticed the death or the return of another.
pub(super) struct Notice {
    /// Who noticed.
    pub(super) member: String,
    /// Whose death or return.
    pub(super) of: String,
    /// `dead` or `back`.
    pub(super) what: &'static str,
    /// In ms after it happened; none if never.
    pub(super) after_ms: Option<u128>,
}

/// When each member noticed each death and return. The script began at this time of the timeline,
/// in ms.
pub(super) fn find(fleet: &Fleet, script: &Script, start: u128) -> Vec<Notice> {
    let mut notices = Vec::new();
    for ScriptStep { at, fault } in &script.steps {
        let (of, what, text, suffix) = match fault {
            Fault::Kill(member) => {
                (*member, "dead", format!("fleet: {} at ", Fleet::name(*member)), "-> failed")
            }
            Fault::Start(member) => {
                (*member, "back", format!("fleet: {} is a new process", Fleet::name(*member)), "")
            }
            _ => continue,
        };
        // The moment at which the harness notes that it did it.
        let injected = fleet.timeline.first_match("harness", &fault.to_string(), start + u128::from(*at));
        let happened = injected.unwrap_or(start);
        for member in (0..PROXIES).filter(|member| *member != of) {
            let member = Fleet::name(member);
            let noticed = fleet.timeline.first_match_of_both(&member, &text, suffix, happened);
            let after_ms = noticed.map(|noticed| noticed - happened);
            notices.push(Notice { member, of: Fleet::name(of), what, after_ms });
        }
    }
    notices
}
