use super::*;
use crate::interface::{Outcome, RequestId};
use crate::logic::fixtures::{pending, SAFETY_LIMITS};
use crate::logic::outlier_ejection::EndedAttempt;
use crate::settings::{DeduplicationScope, Idempotency};
use crate::state::AttemptId;
use crate::time::TimeSpan;

const NODE: BackendId = BackendId(1);
const NOW: Timestamp = Timestamp::from_ms(100_000.0);

fn node() -> Backend {
    let mut node = Backend::with_limit(1.0);
    node.info.backend = NODE;
    node
}

/// Returns a non-idempotent request after attempts at the node with these outcomes.
fn non_idempotent(outcomes: &[Outcome]) -> PendingRequest {
    pending(Idempotency::NotIdempotent, DeduplicationScope::All, outcomes)
}

fn fail(node: &mut Backend, outcome: Outcome) {
    let max_ejection = TimeSpan::from_ms(60_000.0);
    let ended = EndedAttempt { outcome, now: NOW, jitter: 1.0, max_ejection };
    outlier_ejection::record(&mut node.outlier_history, ended);
}

#[test]
fn each_rule_can_exclude_a_node_and_is_named() {
    let mut ejected = node();
    fail(&mut ejected, Outcome::ConnectFailed);
    let mut outlier = node();
    fail(&mut outlier, Outcome::Reset);
    fail(&mut outlier, Outcome::Reset);
    let mut full = node();
    full.in_flight.insert(AttemptId { request: RequestId(9), number: 0 });
    let mut cold = node();
    cold.info.started_at = NOW;
    let cases = [
        (node(), vec![], Eligibility::Eligible),
        (ejected, vec![], Eligibility::Ejected),
        (outlier, vec![], Eligibility::Outlier),
        (full, vec![], Eligibility::NoCapacity),
        (cold, vec![], Eligibility::WarmingUp),
        (node(), vec![Outcome::Timeout], Eligibility::RepeatUnsafe),
    ];
    for (node, outcomes, expected) in cases {
        let fleet = [&node, &Backend::default(), &Backend::default()];
        let backends = BackendTable::new();
        let quota = ProxyQuota::equal_share(1);
        let rules = EligibilityRules {
            exclusion: ExclusionScope::for_nodes(&fleet, NOW),
            warm_up: WarmUpInputs { home: None, sample: 0.0 },
            safety_limits: &SAFETY_LIMITS,
            quota: &quota,
            backends: &backends,
            now: NOW,
        };
        assert_eq!(rules.decide(&node, &non_idempotent(&outcomes)), expected);
    }
}
