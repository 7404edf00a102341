//! Attempts: how they start, and what follows when one ends.

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

/// The shortest time after which an attempt times out.
const MIN_ATTEMPT_TIMEOUT: TimeSpan = TimeSpan::from_ms(1.0);

impl Balancer {
    /// Starts an attempt at a backend that takes requests, and decides its times. All attempts start
    /// here.
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

    pub(super) fn on_attempt_end(&mut self, end: &AttemptEnd, out: &mut Vec<Action>) {
        self.record_outcome(end);
        let Some(pending) = self.requests.get_mut(&end.id) else { return };
        pending.end_attempt(end.attempt, end.outcome);
        let key = pending.request.key;
        // Invariant: one attempt of a request at a time. While another is in flight, or the request
        // is queued, this end leads to none.
        let must_wait = pending.stage != Stage::InFlight || pending.has_attempt_in_flight();
        if end.outcome == Outcome::Ok {
            if let Some(fetch) = self.fetches.take_led_by(end.id, key) {
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

    /// Fetches what a cache node lacks from the origin, where the proxy has to.
    fn on_miss(&mut self, miss: &AttemptEnd, out: &mut Vec<Action>) {
        match self.admission.decide_fetch(self.rng.gen()) {
            AdmissionDecision::Shed(reason) => self.give_up(miss.id, reason, out),
            AdmissionDecision::Admit if self.origin().is_some() => self.fetch(miss, out),
            AdmissionDecision::Admit => self.retry(miss.id, out),
        }
    }

    /// Fetches a key that a node did not hold, or waits for another request's fetch.
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

    /// Makes another attempt after a failure, if the request and the retry budget allow it.
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

    /// Passes on what an outcome says of its backend. An attempt at the process before the present
    /// one says nothing of that.
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

    /// The latency beyond which an attempt of a request is slow. The class of a request that is gone
    /// is not known any more, and none of its attempts counts as slow.
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

    /// Lets the probability of admission follow an attempt that ended, or one that is overdue, where
    /// this proxy's quota is small.
    pub(super) fn adjust_admission(&mut self, tier: Tier, timeliness: Timeliness) {
        if self.has_small_quota() {
            self.admission.record(tier, timeliness);
        }
    }
}
