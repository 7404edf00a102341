//! Checks the observations of the clients and backends of a soak against the rules: [`judge`]. The
//! state and the decisions of the proxies are not used.
//!
//! The times of arrivals are those that the kernel recorded, and each other time errs in favour of
//! the proxy. Two errors are measured and added to the limits that they affect: the delays of this
//! program where it sends signals or publishes endpoint lists, and the time by which it stopped a
//! proxy for longer than a proxy must tolerate.

mod circumstances;
mod request;
mod verdict;

use super::record::{AttemptEnd, Change, Class, FinalResponse, Observation, Record, Stop};
use super::request_logs::RequestLogs;
use super::HOLD_UP_DURATION;
use request::{group_by_request, Attempt, Request};
use std::time::{Duration, Instant};
pub(super) use verdict::{LateResponse, Rule, Verdict, Violation};

/// The tolerance that is added to every limit.
const CLOCK_TOLERANCE: Duration = Duration::from_millis(25);
/// The time before and after an observation within which delays of this program count as its error.
const DELAY_WINDOW: Duration = Duration::from_millis(400);
/// The time after its deadline within which a final response is still in time.
const RESPONSE_SLACK: Duration = Duration::from_millis(60);
/// The shortest timeout that leaves time for a hold-up at its end. With a shorter timeout, a
/// response only has to meet [`MISSING_AFTER`].
const LONG_TIMEOUT_MS: u64 = 734;
/// The time after its deadline from which a final response counts as missing instead of late.
const MISSING_AFTER: Duration = Duration::from_millis(500);
/// The time after the client disconnected within which an attempt may still begin.
const CANCEL_GRACE: Duration = Duration::from_millis(100);
/// The time by which the budget of an attempt may exceed the time that the client still waits.
const BUDGET_SLACK: Duration = Duration::from_millis(150);
/// The deduplication window in the configuration.
pub(super) const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(300);
/// The time after the deduplication window in which a repeat may still arrive over the network.
const WINDOW_SLACK: Duration = Duration::from_millis(50);
/// The time after a backend was listed as draining in which it may still get new attempts.
const DRAIN_GRACE: Duration = Duration::from_millis(2200);
/// The time after an outage of discovery within which a proxy must receive the endpoint list.
const OUTAGE_RECOVERY_TIME: Duration = Duration::from_secs(6);
/// The time after SIGTERM within which a request must be sent for SIGKILL to excuse its missing
/// response.
const KILL_EXCUSE_WINDOW: Duration = Duration::from_millis(700);

/// The longest budget of a request of the soak, in ms.
const MAX_BUDGET_MS: u64 = 60_000;
/// The time before the end of its budget at which an attempt may end.
const TIMER_TOLERANCE: Duration = Duration::from_millis(10);
/// The longest time from SIGTERM or SIGKILL to the end of a process.
const ENDING_TIME: Duration = Duration::from_millis(2000);
/// The fraction of a short timeout at which a proxy plans to respond.
const PLANNED_FRACTION: f64 = 0.85;
/// The time within which a proxy writes responses that became due while it was stopped.
const CATCH_UP_TIME: Duration = Duration::from_millis(10);
/// The time before a request from which changes of proxies, backends and discovery are shown.
const CHANGES_SHOWN_BEFORE: Duration = Duration::from_secs(8);

/// The observations of a run, and the verdict so far.
struct Judge<'a> {
    began: Instant,
    ended: Instant,
    changes: &'a [(Instant, Change)],
    delays: &'a [(Instant, Duration)],
    observations: &'a [(Instant, String, Observation)],
    stops: &'a [Stop],
    logs: &'a RequestLogs,
    verdict: Verdict,
}

/// Checks a run that lasted from `began` to `ended` against the rules.
pub(super) fn judge(record: &Record, logs: &RequestLogs, began: Instant, ended: Instant) -> Verdict {
    let (observations, changes, delays, stops) =
        (record.requests(), record.changes(), record.delays(), record.stops());
    let requests = group_by_request(&observations);
    let mut judge = Judge {
        began,
        ended,
        changes: &changes,
        delays: &delays,
        observations: &observations,
        stops: &stops,
        logs,
        verdict: Verdict { requests: requests.len(), ..Verdict::default() },
    };
    for (id, request) in &requests {
        judge.judge(id, request);
    }
    let read_delay = |(_, _, observation): &(Instant, String, Observation)| match observation {
        Observation::AttemptArrived { read_delay, .. } => Some(*read_delay),
        _ => None,
    };
    judge.verdict.longest_read_delay = observations.iter().filter_map(read_delay).max().unwrap_or_default();
    judge.verdict
}

impl Judge<'_> {
    fn judge(&mut self, id: &str, request: &Request) {
        self.judge_response(id, request);
        self.judge_repeats(id, request);
        for attempt in request.own_attempts() {
            self.judge_attempt(id, request, attempt);
        }
    }

    fn judge_response(&mut self, id: &str, request: &Request) {
        let deadline = request.deadline();
        match (&request.answered, request.ended) {
            (Some((at, answer)), _) => {
                self.judge_content(id, request, answer);
                let excess = self.excess_stop(request.proxy, request.sent, *at);
                let late = at.saturating_duration_since(deadline).saturating_sub(CLOCK_TOLERANCE + excess);
                let has_long_timeout = request.timeout.as_millis() >= u128::from(LONG_TIMEOUT_MS);
                if late > MISSING_AFTER {
                    self.report(Rule::Unanswered, id);
                } else if late > RESPONSE_SLACK && has_long_timeout {
                    self.report(Rule::Late, id);
                } else if late > RESPONSE_SLACK {
                    self.verdict.late_after_short_timeouts += 1;
                    if !self.is_explained_by_stop(request, *at) {
                        let timeline = self.timeline(id);
                        self.verdict.unexplained_late.push(LateResponse { request: id.to_owned(), timeline });
                    }
                }
            }
            (None, Some(at)) => self.judge_closed_connection(id, request, at),
            (None, None) if request.disconnected_at.is_some() => {}
            // The run ended before the response was due.
            (None, None) if deadline + MISSING_AFTER > self.ended => {}
            (None, None) => self.report(Rule::Unanswered, id),
        }
    }

    fn judge_content(&mut self, id: &str, request: &Request, answer: &FinalResponse) {
        match answer {
            FinalResponse::Served(value) => {
                self.verdict.served += 1;
                let is_from_backend = |attempt: &Attempt| matches!(&attempt.end, Some((_, AttemptEnd::Served(given))) if given == value);
                // A backend records the end of an attempt only after it has written the response.
                let is_open = |attempt: &Attempt| attempt.end.is_none();
                if !request.own_attempts().any(|attempt| is_from_backend(attempt) || is_open(attempt)) {
                    self.report(Rule::UnknownValue, id);
                }
            }
            FinalResponse::Rejected if request.class == Class::Confirm => {
                let may_have_run =
                    |attempt: &Attempt| !matches!(attempt.end, Some((_, AttemptEnd::NeverRan)));
                if request.own_attempts().any(may_have_run) {
                    self.report(Rule::RejectedAfterRun, id);
                }
            }
            FinalResponse::Rejected | FinalResponse::Failed => {}
        }
    }

    /// Checks a request whose connection ended without a response. A request that the proxy did not
    /// read is not lost, because the client can send it again.
    fn judge_closed_connection(&mut self, id: &str, request: &Request, at: Instant) {
        let proxy = request.proxy;
        // The process ended at a time between the two changes.
        let kills = self.changes_of(Change::Killed(proxy)).zip(self.changes_of(Change::Ended(proxy)));
        let killed = kills
            .filter(|(killed, ended)| *ended >= request.sent && *killed <= at)
            .map(|(killed, _)| killed)
            .next();
        let terminated =
            self.changes_of(Change::Terminated(proxy)).filter(|term| *term <= request.sent).last();
        let started = self.changes_of(Change::Started(proxy)).filter(|start| *start <= request.sent).last();
        let is_draining = terminated.is_some() && started.is_none_or(|start| Some(start) < terminated);
        if let Some(killed) = killed {
            // The response to a request that was sent late in a drain must be written before
            // SIGKILL.
            let was_sent_late =
                terminated.is_some_and(|term| is_draining && request.sent > term + KILL_EXCUSE_WINDOW);
            if !was_sent_late || killed < request.sent {
                return;
            }
        }
        if request.is_long_value_cut_off() && self.is_ending(request, at) {
            self.report(Rule::CutOffAtExit, id);
            return;
        }
        let is_crowded = self.changes_of(Change::Crowd(proxy)).next().is_some();
        let was_read = request.own_attempts().next().is_some();
        let is_new = request.is_first_on_connection && !is_draining && !is_crowded && killed.is_none();
        if was_read || is_new {
            self.report(Rule::ClosedUnanswered, id);
        }
    }

    /// Checks an attempt whose connection ended while its backend paused within the response.
    fn judge_cut_off(&mut self, id: &str, request: &Request, attempt: &Attempt) {
        let budget_over = attempt.arrived + Duration::from_millis(attempt.budget_ms.min(MAX_BUDGET_MS));
        let (at, is_over) = match attempt.end {
            Some((at, AttemptEnd::CutOff)) => (at, at + CLOCK_TOLERANCE + TIMER_TOLERANCE >= budget_over),
            Some((at, AttemptEnd::LongValueCutOff)) => (at, false),
            _ => return,
        };
        let has_left = request.disconnected_at.is_some_and(|left| left <= at);
        if !(is_over || has_left || self.is_ending(request, at)) {
            self.report(Rule::CutOff, id);
        }
    }

    /// Returns whether the process of a request was ending at `at`, by SIGTERM or SIGKILL.
    fn is_ending(&self, request: &Request, at: Instant) -> bool {
        let proxy = request.proxy;
        [Change::Terminated(proxy), Change::Killed(proxy)].into_iter().any(|change| {
            self.changes_of(change).any(|ending| ending <= at && ending + ENDING_TIME >= request.sent)
        })
    }

    fn judge_attempt(&mut self, id: &str, request: &Request, attempt: &Attempt) {
        self.judge_cut_off(id, request, attempt);
        let excess = self.excess_stop(request.proxy, request.sent, attempt.arrived);
        if request
            .disconnected_at
            .is_some_and(|at| attempt.arrived > at + CANCEL_GRACE + CLOCK_TOLERANCE + excess)
        {
            self.report(Rule::AfterDisconnect, id);
        }
        let answered = request.answered.as_ref().map(|(at, _)| *at);
        if answered.is_some_and(|answered| attempt.arrived > answered + CLOCK_TOLERANCE) {
            self.report(Rule::AfterResponse, id);
        }
        let tolerance = self.tolerance(attempt.arrived);
        let listed_at = self.drain_listed_at(request.proxy, attempt.backend, attempt.arrived);
        if listed_at.is_some_and(|listed_at| attempt.arrived > listed_at + DRAIN_GRACE + tolerance) {
            self.report(Rule::Draining, id);
        }
        let left = request.deadline().saturating_duration_since(attempt.arrived);
        if Duration::from_millis(attempt.budget_ms) > left + BUDGET_SLACK + CLOCK_TOLERANCE + excess {
            self.report(Rule::BudgetTooLong, id);
        }
    }

    fn judge_repeats(&mut self, id: &str, request: &Request) {
        let mut attempts: Vec<&Attempt> = request.attempts.values().collect();
        // Attempts are numbered in the order in which the threads of the backends read them, which
        // may differ from the order of arrival.
        attempts.sort_by_key(|attempt| attempt.arrived);
        for (number, later) in attempts.iter().enumerate().skip(1) {
            let earlier = &attempts[..number];
            let is_in_flight = |attempt: &&&Attempt| {
                attempt.end.as_ref().is_none_or(|(ended_at, _)| *ended_at > later.arrived + CLOCK_TOLERANCE)
            };
            if earlier.iter().any(|attempt| is_in_flight(&attempt)) {
                self.report(Rule::ConcurrentAttempts, id);
            }
            let may_have_run = |attempt: &&&Attempt| !matches!(attempt.end, Some((_, AttemptEnd::NeverRan)));
            let Some(first) = earlier.iter().find(|attempt| may_have_run(attempt)) else { continue };
            if request.class == Class::Confirm {
                self.report(Rule::UnsafeRepeat, id);
            }
            let excess = self.excess_stop(request.proxy, first.arrived, later.arrived);
            let window_ends = first.arrived + DEDUPLICATION_WINDOW + WINDOW_SLACK + CLOCK_TOLERANCE + excess;
            if request.class == Class::Put && later.arrived > window_ends {
                self.report(Rule::RepeatAfterWindow, id);
            }
        }
    }

    fn report(&mut self, rule: Rule, id: &str) {
        let timeline = self.timeline(id);
        self.verdict.violations.push(Violation { rule, request: id.to_owned(), timeline });
    }
}

#[cfg(test)]
mod tests;
