//! Checks the observations of the clients and backends of a soak against the rules: [`judge`]. The
//! state and the decisions of the proxies are not used.
//!
//! The times of arrivals are those that the kernel recorded, and each other time errs in favour of
//! the proxy. Two errors are measured and added to the limits that they affect: the delays of this
//! program where it sends signals or publishes endpoint lists, and the time by which it stopped a
//! proxy for longer than a proxy must tolerate.

use super::record::{AttemptEnd, Change, Class, FinalResponse, Observation, Record, Stop};
use super::request_logs::RequestLogs;
use super::HOLD_UP_DURATION;
use std::collections::BTreeMap;
use std::fmt::Write;
use std::time::{Duration, Instant};

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

/// A rule of the soak.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) enum Rule {
    /// A request has no final response, or one that comes so late that it counts as missing.
    Unanswered,
    /// The final response to a request with a long timeout is late.
    Late,
    /// A connection was closed without a response to a request that had reached a backend, or that
    /// was the first on the connection.
    ClosedUnanswered,
    /// A response has a value that no backend returned for this request.
    UnknownValue,
    /// An attempt began after the client had disconnected.
    AfterDisconnect,
    /// An attempt began after the final response.
    AfterResponse,
    /// The budget of an attempt was longer than the time that the client still waited.
    BudgetTooLong,
    /// Two attempts of a request ran at once.
    ConcurrentAttempts,
    /// A request that is not idempotent was repeated although an earlier attempt may have run.
    UnsafeRepeat,
    /// A request with an idempotency key was repeated after the deduplication window although an
    /// earlier attempt may have run.
    RepeatAfterWindow,
    /// A request that is not idempotent was rejected although an attempt may have run.
    RejectedAfterRun,
    /// A backend got an attempt too long after it was listed as draining.
    Draining,
    /// A response that a backend was still sending was cut off, although its time was not over.
    CutOff,
    /// A long value was cut off because its process ended after SIGTERM, or because SIGKILL found it
    /// incomplete although its request was sent late in a drain.
    CutOffAtExit,
}

/// A violation of a rule.
#[derive(Clone, Debug)]
pub(super) struct Violation {
    /// The violated rule.
    pub rule: Rule,
    /// The request's id.
    pub request: String,
    /// All that is known of the request in the order of time, a line each.
    pub timeline: String,
}

/// A late final response to a request with a short timeout that no stop of the proxy explains.
#[derive(Clone, Debug)]
pub(super) struct LateResponse {
    /// The request's id.
    pub request: String,
    /// All that is known of the request in the order of time, a line each.
    pub timeline: String,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub(super) struct Verdict {
    /// The number of requests that were sent.
    pub requests: usize,
    /// The number of requests that were served.
    pub served: usize,
    /// The number of late final responses to requests with short timeouts.
    pub late_after_short_timeouts: usize,
    /// The late final responses to requests with short timeouts that no stop of the proxy explains.
    pub unexplained_late: Vec<LateResponse>,
    /// The longest time between the arrival of an attempt and its read by a backend of this
    /// program.
    pub longest_read_delay: Duration,
    /// The violations of rules.
    pub violations: Vec<Violation>,
}

/// An attempt, as its backend observed it.
struct Attempt {
    backend: usize,
    budget_ms: u64,
    arrived: Instant,
    end: Option<(Instant, AttemptEnd)>,
    is_of_other_client: bool,
}

/// The observations of one request.
struct Request {
    /// The time before the first byte was written.
    sent: Instant,
    /// The time after the last byte was written. The timeout counts from a time between
    /// [`Request::sent`] and this one.
    written: Instant,
    proxy: usize,
    class: Class,
    timeout: Duration,
    is_first_on_connection: bool,
    answered: Option<(Instant, FinalResponse)>,
    /// The time at which the connection ended without a response.
    ended: Option<Instant>,
    disconnected_at: Option<Instant>,
    attempts: BTreeMap<u64, Attempt>,
}

impl Request {
    /// Returns the attempts for the request's own client.
    fn own_attempts(&self) -> impl Iterator<Item = &Attempt> {
        self.attempts.values().filter(|attempt| !attempt.is_of_other_client)
    }

    /// Returns the latest time at which the client's timeout may have ended.
    fn deadline(&self) -> Instant {
        self.written + self.timeout
    }
}

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

fn is_long_value_cut_off(request: &Request) -> bool {
    let is_cut_off = |attempt: &Attempt| matches!(attempt.end, Some((_, AttemptEnd::LongValueCutOff)));
    request.own_attempts().any(is_cut_off)
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

fn group_by_request(observations: &[(Instant, String, Observation)]) -> BTreeMap<String, Request> {
    let mut requests: BTreeMap<String, Request> = BTreeMap::new();
    for (at, id, observation) in observations {
        if let Observation::Sent { proxy, class, timeout_ms, is_first_on_connection, write_time } =
            observation
        {
            let request = Request {
                sent: *at,
                written: *at + *write_time,
                proxy: *proxy,
                class: *class,
                timeout: Duration::from_millis(*timeout_ms),
                is_first_on_connection: *is_first_on_connection,
                answered: None,
                ended: None,
                disconnected_at: None,
                attempts: BTreeMap::new(),
            };
            requests.insert(id.clone(), request);
        }
    }
    for (at, id, observation) in observations {
        let Some(request) = requests.get_mut(id) else { continue };
        match observation {
            Observation::Sent { .. } => {}
            Observation::Answered(answer) => request.answered = Some((*at, answer.clone())),
            Observation::ConnectionEnded => request.ended = Some(*at),
            Observation::Disconnected => request.disconnected_at = Some(*at),
            Observation::AttemptArrived { attempt, backend, budget_ms, is_of_other_client, .. } => {
                let (backend, budget_ms, is_of_other_client) = (*backend, *budget_ms, *is_of_other_client);
                let arrived = Attempt { backend, budget_ms, arrived: *at, end: None, is_of_other_client };
                request.attempts.insert(*attempt, arrived);
            }
            Observation::AttemptEnded { attempt, end } => {
                if let Some(attempt) = request.attempts.get_mut(attempt) {
                    attempt.end = Some((*at, end.clone()));
                }
            }
        }
    }
    requests
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
        if is_long_value_cut_off(request) && self.is_ending(request, at) {
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

    /// Returns the latest time at which a proxy learned that a backend is draining, if the backend
    /// is draining at `at`. A process that has started since learns it with its first watch, and
    /// may serve before this program knows that it is ready. After an outage of discovery a proxy
    /// has [`OUTAGE_RECOVERY_TIME`].
    fn drain_listed_at(&self, proxy: usize, backend: usize, at: Instant) -> Option<Instant> {
        let since = self.draining_since(backend, at)?;
        let last = |change| self.changes_of(change).filter(|changed| *changed <= at).last();
        let process_since =
            last(Change::Started(proxy)).max(last(Change::Ended(proxy))).max(last(Change::Exited(proxy)));
        let started = process_since.map_or(since, |started| started.max(since));
        match (last(Change::DiscoveryDown), last(Change::DiscoveryUp)) {
            (None, _) => Some(started),
            (Some(down), Some(up)) if up > down && up < since => Some(started),
            (Some(down), Some(up)) if up > down => Some(started.max(up + OUTAGE_RECOVERY_TIME)),
            _ => None,
        }
    }

    /// Returns the time at which a backend was listed as draining, if it is still listed so at
    /// `at`.
    fn draining_since(&self, backend: usize, at: Instant) -> Option<Instant> {
        let is_state = |change: &Change| [Change::Draining(backend), Change::Ready(backend)].contains(change);
        let last = self.changes.iter().rfind(|(changed, change)| *changed <= at && is_state(change))?;
        (last.1 == Change::Draining(backend)).then_some(last.0)
    }

    fn changes_of(&self, wanted: Change) -> impl Iterator<Item = Instant> + '_ {
        self.changes.iter().filter(move |(_, change)| *change == wanted).map(|(at, _)| *at)
    }

    /// Returns whether a proxy was stopped at the time at which it planned a response to a request
    /// with a short timeout, and wrote the response as soon as it continued. A proxy could only do
    /// better if it responded earlier to all requests.
    fn is_explained_by_stop(&self, request: &Request, answered: Instant) -> bool {
        let planned = request.sent + request.timeout.mul_f64(PLANNED_FRACTION);
        let explains = |stop: &Stop| {
            stop.proxy == request.proxy && stop.began <= planned && answered <= stop.ended + CATCH_UP_TIME
        };
        self.stops.iter().any(explains)
    }

    /// Returns the time beyond [`HOLD_UP_DURATION`] for which this program stopped a proxy, as the
    /// sum over the stops that overlap a period.
    fn excess_stop(&self, proxy: usize, from: Instant, until: Instant) -> Duration {
        let overlaps = |stop: &&Stop| stop.proxy == proxy && stop.began <= until && stop.ended >= from;
        let stops = self.stops.iter().filter(overlaps);
        stops.map(|stop| stop.ended.duration_since(stop.began).saturating_sub(HOLD_UP_DURATION)).sum()
    }

    /// Returns the error of a time at which this program sent a signal or published an endpoint
    /// list.
    fn tolerance(&self, at: Instant) -> Duration {
        let from = at.checked_sub(DELAY_WINDOW).unwrap_or(self.began);
        let first = self.delays.partition_point(|(delayed, _)| *delayed < from);
        let until = at + DELAY_WINDOW;
        let near = self.delays[first..].iter().take_while(|(delayed, _)| *delayed <= until);
        CLOCK_TOLERANCE + near.map(|(_, delay)| *delay).max().unwrap_or_default()
    }

    fn report(&mut self, rule: Rule, id: &str) {
        let timeline = self.timeline(id);
        self.verdict.violations.push(Violation { rule, request: id.to_owned(), timeline });
    }

    /// Returns all that is known of a request in the order of time: observations, log lines of the
    /// proxy, and the changes and stops around them.
    fn timeline(&self, id: &str) -> String {
        let own = self.observations.iter().filter(|(_, seen_id, _)| seen_id == id);
        let mut lines: Vec<(Instant, String)> =
            own.map(|(at, _, observation)| (*at, format!("{observation:?}"))).collect();
        lines.extend(self.logs.lines_of(id).into_iter().map(|line| (line.at, format!("log: {}", line.text))));
        let first = lines.iter().map(|(at, _)| *at).min().unwrap_or(self.began);
        let last = lines.iter().map(|(at, _)| *at).max().unwrap_or(self.ended);
        let from = first.checked_sub(CHANGES_SHOWN_BEFORE).unwrap_or(first);
        let changes = self.changes.iter().filter(|(at, _)| *at >= from && *at <= last);
        lines.extend(changes.map(|(at, change)| (*at, format!("change: {change:?}"))));
        let stops = self.stops.iter().filter(|stop| stop.ended >= first && stop.began <= last);
        lines.extend(stops.map(|stop| {
            let lasted = stop.ended.duration_since(stop.began);
            (stop.began, format!("proxy {} is stopped for {lasted:?}", stop.proxy))
        }));
        lines.sort_by_key(|(at, _)| *at);
        let began = self.began;
        let mut timeline = String::new();
        for (at, line) in lines {
            let at = at.saturating_duration_since(began).as_secs_f64();
            // Writing to a string does not fail.
            let _ = writeln!(timeline, "    {at:8.4} {line}");
        }
        timeline
    }
}

#[cfg(test)]
mod tests;
