use super::*;
use std::path::PathBuf;

const ID: &str = "O0.0.1";
const PROXY: usize = 0;
const NODE: usize = 1;
/// The timeout of the client in these tests.
const TIMEOUT_MS: u64 = 40;

/// The observations of one request, at times after the beginning of the run.
struct Case {
    began: Instant,
    record: Record,
}

fn ms(number: u64) -> Duration {
    Duration::from_millis(number)
}

impl Case {
    fn new() -> Case {
        Case { began: Instant::now(), record: Record::default() }
    }

    fn observe(&self, at_ms: u64, observation: Observation) {
        self.record.add_observation(self.began + ms(at_ms), ID, observation);
    }

    fn sent(&self, at_ms: u64) {
        let write_time = Duration::ZERO;
        let (proxy, class, timeout_ms) = (PROXY, Class::Read, TIMEOUT_MS);
        self.observe(
            at_ms,
            Observation::Sent { proxy, class, timeout_ms, is_first_on_connection: true, write_time },
        );
    }

    fn attempt_arrived(&self, at_ms: u64, attempt: u64, budget_ms: u64) {
        let read_delay = Duration::ZERO;
        self.observe(
            at_ms,
            Observation::AttemptArrived {
                attempt,
                backend: NODE,
                budget_ms,
                read_delay,
                is_of_other_client: false,
            },
        );
    }

    fn attempt_ended(&self, at_ms: u64, attempt: u64) {
        self.observe(at_ms, Observation::AttemptEnded { attempt, end: AttemptEnd::NeverRan });
    }

    fn changed(&self, at_ms: u64, change: Change) {
        self.record.add_change_at(self.began + ms(at_ms), change);
    }

    fn broken_rules(&self) -> Vec<Rule> {
        let logs = RequestLogs::in_folder(PathBuf::from("/nonexistent"));
        let verdict = judge(&self.record, &logs, self.began, self.began + Duration::from_secs(20));
        verdict.violations.iter().map(|violation| violation.rule).collect()
    }
}

/// Guards against a proxy that still sends an attempt after the client has the final response.
#[test]
fn an_attempt_60_ms_after_the_response_is_a_violation() {
    let case = Case::new();
    case.sent(0);
    case.observe(34, Observation::Answered(FinalResponse::Rejected));
    case.attempt_arrived(94, 1, 1);
    case.attempt_ended(95, 1);

    assert_eq!(case.broken_rules(), [Rule::AfterResponse]);
}

#[test]
fn attempts_are_ordered_by_their_arrival() {
    let case = Case::new();
    case.sent(0);
    // The thread that read the first attempt was late, so the second attempt has the lower number.
    case.attempt_arrived(1, 2, 34);
    case.attempt_ended(5, 2);
    case.attempt_arrived(6, 1, 28);
    case.attempt_ended(9, 1);
    case.observe(10, Observation::Answered(FinalResponse::Rejected));

    assert_eq!(case.broken_rules(), []);
}

#[test]
fn two_attempts_at_once_are_a_violation() {
    let case = Case::new();
    case.sent(0);
    case.attempt_arrived(1, 1, 34);
    case.attempt_arrived(2, 2, 33);
    case.attempt_ended(30, 1);
    case.attempt_ended(5, 2);
    case.observe(6, Observation::Answered(FinalResponse::Rejected));

    assert_eq!(case.broken_rules(), [Rule::ConcurrentAttempts]);
}

#[test]
fn a_longer_stop_than_a_proxy_must_tolerate_excuses_its_excess_only() {
    for (arrived_ms, broken) in [(170, vec![]), (330, vec![Rule::BudgetTooLong])] {
        let case = Case::new();
        case.sent(0);
        let stop = Stop { proxy: PROXY, began: case.began, ended: case.began + ms(180) };
        case.record.add_stop(stop);
        // The proxy encoded the budget when 34 ms of the timeout were left.
        let budget_ms = if broken.is_empty() { 34 } else { 210 };
        case.attempt_arrived(arrived_ms, 1, budget_ms);
        case.attempt_ended(arrived_ms + 1, 1);
        case.observe(arrived_ms + 1, Observation::Answered(FinalResponse::Rejected));

        assert_eq!(case.broken_rules(), broken, "at {arrived_ms} ms");
    }
}

/// Guards against a false violation: on a loaded machine, in seed 81036, the new process served
/// requests before this program knew that it was ready.
#[test]
fn a_new_process_may_use_a_draining_node_until_its_grace_is_over() {
    let drained_and_restarted = |sent_ms| {
        let case = Case::new();
        case.changed(0, Change::Draining(NODE));
        case.changed(3290, Change::Killed(PROXY));
        case.changed(3300, Change::Ended(PROXY));
        case.changed(3350, Change::Started(PROXY));
        case.sent(sent_ms);
        case.attempt_arrived(sent_ms + 1, 1, 34);
        case.attempt_ended(sent_ms + 2, 1);
        case.observe(sent_ms + 3, Observation::Answered(FinalResponse::Rejected));
        case.broken_rules()
    };

    assert_eq!(drained_and_restarted(3280), [Rule::Draining], "the old process");
    assert_eq!(drained_and_restarted(3330), [], "the new process, not yet known to be ready");
    assert_eq!(drained_and_restarted(3400), [], "the new process, in its grace period");
    assert_eq!(drained_and_restarted(5600), [Rule::Draining], "the new process, after its grace period");
}

/// Guards against a false violation: on a loaded machine, in seed 81036, SIGKILL took effect 30 ms
/// after this program had recorded it.
#[test]
fn a_kill_excuses_what_was_sent_until_the_process_had_ended() {
    let cut_off = |sent_ms| {
        let case = Case::new();
        case.changed(0, Change::Killed(PROXY));
        case.changed(35, Change::Ended(PROXY));
        case.sent(sent_ms);
        case.observe(sent_ms + 1, Observation::ConnectionEnded);
        case.broken_rules()
    };

    assert_eq!(cut_off(31), []);
    assert_eq!(cut_off(40), [Rule::ClosedUnanswered]);
}

/// Guards against a response that is cut off by a bound of the proxy while its client waits, and
/// against reports of those that the proxy has to end.
#[test]
fn a_response_that_is_cut_off_before_its_budget_is_over_is_a_violation() {
    let cut_off_at = |at_ms| {
        let case = Case::new();
        case.sent(0);
        case.attempt_arrived(1, 1, 800);
        case.observe(at_ms, Observation::AttemptEnded { attempt: 1, end: AttemptEnd::CutOff });
        case.observe(at_ms + 1, Observation::Answered(FinalResponse::Rejected));
        case
    };
    assert!(cut_off_at(301).broken_rules().contains(&Rule::CutOff));
    assert!(!cut_off_at(795).broken_rules().contains(&Rule::CutOff));
    let ending = cut_off_at(301);
    ending.changed(250, Change::Killed(PROXY));
    assert!(!ending.broken_rules().contains(&Rule::CutOff));
}

/// Guards against a judge that takes a slow long value for one whose time is over, or excuses an exit
/// that cuts it off; and against one that reports what a kill excuses.
#[test]
fn a_long_value_has_no_time_limit_and_may_be_cut_off_only_by_an_excused_kill() {
    let cut_off = |sent_ms| {
        let case = Case::new();
        case.sent(sent_ms);
        case.attempt_arrived(sent_ms + 1, 1, TIMEOUT_MS);
        let end = AttemptEnd::LongValueCutOff;
        case.observe(sent_ms + 795, Observation::AttemptEnded { attempt: 1, end });
        case
    };
    let answered = cut_off(0);
    answered.observe(796, Observation::Answered(FinalResponse::Rejected));
    assert!(answered.broken_rules().contains(&Rule::CutOff));
    let ended = cut_off(0);
    ended.observe(796, Observation::ConnectionEnded);
    assert!(ended.broken_rules().contains(&Rule::ClosedUnanswered));
    let exited = cut_off(0);
    exited.changed(250, Change::Terminated(PROXY));
    exited.observe(796, Observation::ConnectionEnded);
    assert_eq!(exited.broken_rules(), [Rule::CutOffAtExit]);
    let killed = |sent_ms| {
        let case = cut_off(sent_ms);
        case.changed(250, Change::Terminated(PROXY));
        case.changed(sent_ms + 780, Change::Killed(PROXY));
        case.changed(sent_ms + 790, Change::Ended(PROXY));
        case.observe(sent_ms + 796, Observation::ConnectionEnded);
        case.broken_rules()
    };
    assert_eq!(killed(900), [], "sent 0.65 s after SIGTERM");
    assert_eq!(killed(1000), [Rule::CutOffAtExit], "sent 0.75 s after SIGTERM");
}
