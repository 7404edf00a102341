//! When each proxy of the demo noticed that others crashed or restarted: [`Notice`].

use super::PROXIES;
use pinetrail_test_harness::fleet::Fleet;
use pinetrail_test_harness::script::{Fault, Script, ScriptStep};

/// When one member noticed that another crashed or restarted.
pub(super) struct Notice {
    /// The member that noticed it.
    pub(super) member: String,
    /// The member that crashed or restarted.
    pub(super) subject: String,
    /// `dead` or `back`.
    pub(super) event: &'static str,
    /// The delay in ms; none if it was never noticed.
    pub(super) after_ms: Option<u128>,
}

/// All crashes and restarts of a script, as each other member noticed them. `start` is when the
/// script began, in ms of the timeline.
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
        // The time at which the harness logged the fault.
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
