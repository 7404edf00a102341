//! The times that the proxies of the demo took to detect the crash or restart of another proxy:
//! [`Notice`].

use super::PROXIES;
use pinetrail_test_harness::fleet::Fleet;
use pinetrail_test_harness::script::{Fault, Script, ScriptStep};

/// The detection of one member's crash or restart by another member.
pub(super) struct Notice {
    /// The name of the member that detected the crash or restart.
    pub(super) member: String,
    /// The name of the member that crashed or restarted.
    pub(super) subject: String,
    /// `dead` for a crash, or `back` for a restart.
    pub(super) event: &'static str,
    /// The time from the crash or restart until its detection in ms; none if it was never detected.
    pub(super) after_ms: Option<u128>,
}

/// Finds in the log of each proxy when it detected the crashes and restarts of a script. `start` is
/// the time in ms of the timeline at which the script began.
pub(super) fn find(fleet: &Fleet, script: &Script, start: u128) -> Vec<Notice> {
    let mut notices = Vec::new();
    for ScriptStep { at_ms: at, fault } in &script.steps {
        let (subject, event, text, suffix) = match fault {
            Fault::Kill(member) => {
                (*member, "dead", format!("fleet: {} at ", Fleet::name(*member)), "-> failed")
            }
            Fault::Start(member) => {
                (*member, "back", format!("fleet: {} is a new process", Fleet::name(*member)), "")
            }
            _ => continue,
        };
        // Faults are injected later than planned, so delays count from the harness's log line.
        let logged_at = fleet.timeline.first_match("harness", &fault.to_string(), start + u128::from(*at));
        let injected_at = logged_at.unwrap_or(start);
        for member in (0..PROXIES).filter(|member| *member != subject) {
            let member = Fleet::name(member);
            let seen_at = fleet.timeline.first_match_of_both(&member, &text, suffix, injected_at);
            let after_ms = seen_at.map(|seen_at| seen_at - injected_at);
            notices.push(Notice { member, subject: Fleet::name(subject), event, after_ms });
        }
    }
    notices
}
