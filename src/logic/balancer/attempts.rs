//! Attempts: starts them, and handles their ends. Read [`Balancer::start_attempt`] first.

use super::Balancer;
use crate::interface::{Action, AttemptEnd, BackendId, GiveUpReason, Outcome, RequestId};
use crate::logic::admission::{self, AdmissionDecision};
use crate::logic::concurrency_limit::{self, SlowThresholdInputs, TimedAttempt, Timeliness};
use crate::logic::origin_fetch::{self, MissDecision};
use crate::logic::outlier_ejection::{self, EndedAttempt, JITTER_FACTOR};
use crate::logic::retry::{self, RetryCost, RetryTarget};
use crate::state::{AttemptId, Stage, Tier};
use crate::time::TimeSpan;
use rand::Rng;

/// The shortest timeout of an attempt.
const MIN_ATTEMPT_TIMEOUT: TimeSpan = TimeSpan::from_ms(1.0);

impl Balancer {
    /// Starts an attempt at a backend that accepts requests and sets its time limits, or gives the
    /// request up if the attempt is not allowed. All attempts start here.
    pub(super) fn start_attempt(&mut self, id: RequestId, backend: BackendId, out: &mut Vec<Action>) {
        let time = self.decision_time();
        let Some(pending) = self.requests.get(&id) else { return };
        if let Err(reason) = retry::check_attempt_at(pending, backend, &self.backends, time) {
            return self.give_up(id, reason, out);
        }
        let time_left = pending.deadline - self.now;
        let send_within = retry::send_within(pending, time_left, time);
        let timeout = time_left.max(MIN_ATTEMPT_TIMEOUT);
        let Some(pending) = self.requests.get_mut(&id) else { return };
        let Some(target) = self.backends.get_mut(&backend) else { return };
        target.in_flight.insert(pending.begin_attempt(backend, self.now));
        out.push(Action::StartAttempt { request: id, backend, timeout, send_within });
    }

    /// Handles the end of an attempt: updates the state of the backend, then closes, retries or
    /// gives up the request, or fetches its key from the origin. A request with another attempt in
    /// flight, and one that is queued, only waits.
    pub(super) fn on_attempt_end(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        self.record_outcome(end);
        let Some(pending) = self.requests.get_mut(&end.id) else { return };
        pending.end_attempt(end.attempt, end.outcome);
        let key = pending.request.key;
        // Invariant: a request has at most one attempt in flight. The end of an attempt therefore
        // starts no other attempt if one is in flight already or the request is queued.
        let must_wait = pending.stage != Stage::InFlight || pending.has_attempt_in_flight();
        if end.outcome == Outcome::Ok {
            if let Some(fetch) = self.fetches.remove_if_leader(end.id, key) {
                self.finish_fetch(fetch, out);
            }
        }
        if end.is_request_finished || end.outcome == Outcome::Ok {
            return self.close(end.id, out);
        }
        if must_wait {
            return;
        }
        if end.outcome == Outcome::Miss {
            self.on_miss(end, out);
        } else {
            self.retry(end.id, out);
        }
    }

    /// Handles a miss: sheds the request, fetches the key from the origin, or, where no origin is
    /// ready, retries the request.
    fn on_miss(&mut self, miss: &AttemptEnd, out: &mut Vec<Action>) {
        match self.admission.decide_fetch(self.rng.gen()) {
            AdmissionDecision::Shed(reason) => self.give_up(miss.id, reason, out),
            AdmissionDecision::Admit if self.origin().is_some() => self.fetch(miss, out),
            AdmissionDecision::Admit => self.retry(miss.id, out),
        }
    }

    /// Fetches from the origin a key that a cache node does not hold, or lets the request wait for
    /// another request's fetch of the key.
    fn fetch(&mut self, miss: &AttemptEnd, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&miss.id) else { return };
        let key = pending.request.key;
        match origin_fetch::after_miss(&self.fetches, key, miss.id) {
            MissDecision::Wait => self.wait_for_fetch(miss.id, key),
            MissDecision::Fetch => {
                self.fetches.begin(key, miss.id, miss.backend);
                self.route_to_origin(miss.id, out);
            }
        }
    }

    /// Retries a request after a failed attempt, or gives it up if its limits or the retry budget
    /// forbid another attempt.
    fn retry(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let target = retry::target(pending, self.origin_availability());
        let cost = retry::cost(pending);
        if let Err(reason) = retry::check_attempt(pending, self.decision_time()) {
            return self.give_up(id, reason, out);
        }
        if cost == RetryCost::One && self.retry_budget.withdraw().is_err() {
            return self.give_up(id, GiveUpReason::RetryBudgetEmpty, out);
        }
        match target {
            RetryTarget::Origin => self.route_to_origin(id, out),
            RetryTarget::CacheNode => self.route(id, out),
        }
    }

    /// Updates the outlier history, the concurrency limit and the admission probability after an
    /// attempt. An attempt that was sent to an earlier process of the backend is ignored, since it
    /// says nothing about the present one.
    fn record_outcome(&mut self, end: &AttemptEnd) {
        let jitter = self.rng.gen_range(JITTER_FACTOR);
        let tier = self.tier(end.backend);
        let timeliness = Timeliness::of(end.outcome, end.latency, self.slow_threshold(end.id, tier));
        let Some(backend) = self.backends.get_mut(&end.backend) else { return };
        if !backend.in_flight.remove(&AttemptId { request: end.id, number: end.attempt }) {
            return;
        }
        let ended = EndedAttempt {
            outcome: end.outcome,
            now: self.now,
            jitter,
            max_ejection: self.settings.limits.idle_connection_timeout,
        };
        outlier_ejection::record(&mut backend.outlier_history, ended);
        let timed = TimedAttempt {
            outcome: end.outcome,
            latency: end.latency,
            timeliness,
            tier,
            in_flight: backend.in_flight.len() as f64 + 1.0,
            now: self.now,
        };
        concurrency_limit::record(&mut backend.limit, timed);
        let is_limit_at_minimum = concurrency_limit::is_at_minimum(&backend.limit);
        if admission::should_adjust(end.outcome, timeliness, is_limit_at_minimum) {
            self.adjust_admission(tier, timeliness);
        }
    }

    /// Returns the latency above which an attempt of a request is slow. The class of a request that
    /// has ended is no longer known, so that none of its attempts is slow by its latency.
    fn slow_threshold(&self, id: RequestId, tier: Tier) -> TimeSpan {
        let Some(pending) = self.requests.get(&id) else { return TimeSpan::MAX };
        let objectives = self.settings.classes.iter().map(|class| class.latency_objective);
        let inputs = SlowThresholdInputs {
            tier,
            latency_objective: pending.class.latency_objective,
            shortest_objective: objectives.fold(TimeSpan::MAX, TimeSpan::min),
            expected_work: pending.expected_work,
        };
        inputs.slow_threshold()
    }

    /// Adjusts the admission probability after an attempt that has ended or is overdue, if this
    /// proxy has a small quota.
    pub(super) fn adjust_admission(&mut self, tier: Tier, timeliness: Timeliness) {
        if self.has_small_quota() {
            self.admission.record(tier, timeliness);
        }
    }
}
