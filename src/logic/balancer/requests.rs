//! Requests: their path from arrival to the final response. Read [`Balancer::on_request`] and
//! [`Balancer::route`] first.

use super::Balancer;
use crate::interface::{Action, BackendId, GiveUpReason, Key, Request, RequestId};
use crate::logic::admission::{AdmissionDecision, ArrivalInputs};
use crate::logic::eligibility::EligibilityRules;
use crate::logic::endpoint_selection::{self, stays_in_zone, Selection, SelectionInputs, LARGE_KEY_FRACTION};
use crate::logic::give_up::{self, GiveUpResponse};
use crate::logic::outlier_ejection::ExclusionScope;
use crate::logic::retry::idempotency::{self, RepeatSafety};
use crate::logic::retry::{self, OriginAvailability};
use crate::logic::slow_start::{self, KeyLoad, WarmUpInputs};
use crate::logic::{origin_fetch, queue};
use crate::rendezvous;
use crate::state::{Backend, OriginFetch, PendingRequest, Stage, TimerKind};
use crate::time::{TimeSpan, Timestamp};
use rand::Rng;

/// The weight of one request in the moving average of the expected work.
const WORK_AVERAGE_WEIGHT: f64 = 0.02;
/// The weight of one request in the moving average of the priority weights.
const PRIORITY_AVERAGE_WEIGHT: f64 = 0.05;
/// The lowest expected work of a request without a hint, in ms.
const MIN_EXPECTED_WORK_MS: f64 = 1.0;
/// The least number of nodes among which a proxy with a small quota selects the home of a key while
/// a node warms up.
const MIN_WARM_UP_CANDIDATES: usize = 2;
/// The backend id that is hashed with a key to get the key's warm-up sample. No endpoint list
/// contains it, so that the sample is independent of the rendezvous scores.
const WARM_UP_SAMPLE_ID: BackendId = BackendId(u32::MAX);

impl Balancer {
    /// Handles the arrival of a request: stores the request, sets its timers, and routes or sheds
    /// it.
    pub(super) fn on_request(&mut self, mut request: Request, out: &mut Vec<Action>) {
        let id = request.id;
        let Some(class) = self.settings.classes.get(usize::from(request.class)).copied() else {
            return out.push(reject_unknown_class(id));
        };
        let response_budget = if request.budget.is_finite() { request.budget } else { TimeSpan::ZERO };
        let response_budget = response_budget.max(TimeSpan::ZERO);
        request.work_hint = request.work_hint.filter(|hint| hint.is_finite() && *hint > TimeSpan::ZERO);
        let expected_work = self.expected_work(&request);
        self.averages.work_ms.update_or_init(WORK_AVERAGE_WEIGHT, expected_work.as_ms());
        self.averages.priority_weight.update(PRIORITY_AVERAGE_WEIGHT, class.priority_weight);
        let deadline = self.now + response_budget;
        let pending = PendingRequest::new(request, class, self.settings.limits, deadline, expected_work);
        self.requests.insert(id, pending);
        self.retry_budget.deposit();
        let until_deadline = (response_budget - self.settings.tick).max(TimeSpan::ZERO);
        out.push(TimerKind::Deadline.set(id, until_deadline));
        let until_shed = queue::shed_after(class.latency_objective, response_budget);
        out.push(TimerKind::ShedQueued.set(id, until_shed));
        self.admit(id, class.priority_weight, out);
    }

    /// Returns the expected processing time of a request: its hint, or else the moving average.
    fn expected_work(&self, request: &Request) -> TimeSpan {
        let average = self.averages.work_ms.value().max(MIN_EXPECTED_WORK_MS);
        request.work_hint.unwrap_or(TimeSpan::from_ms(average))
    }

    /// Routes a request that has just arrived, or sheds it. Writes go to the origin, if one is
    /// configured, without admission control.
    fn admit(&mut self, id: RequestId, priority_weight: f64, out: &mut Vec<Action>) {
        let is_write = self.requests.get(&id).is_some_and(|pending| pending.request.is_write);
        if is_write && self.origin_availability() != OriginAvailability::NotConfigured {
            return self.route_to_origin(id, out);
        }
        let decision = self.admission.decide_arrival(ArrivalInputs {
            priority_weight,
            average_priority_weight: self.averages.priority_weight.value(),
            sample: self.rng.gen(),
        });
        match decision {
            AdmissionDecision::Admit => self.route(id, out),
            AdmissionDecision::Shed(reason) => self.give_up(id, reason, out),
        }
    }

    /// Sends a request to the cache node that is selected for it; lets it wait if that node is
    /// about to receive the key from the origin, or queues it if no node is eligible.
    pub(super) fn route(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        if let Err(reason) = retry::check_attempt(pending, self.decision_time()) {
            return self.give_up(id, reason, out);
        }
        let request = pending.request;
        let eligible = self.eligible_nodes(pending);
        match self.select_backend(request, &eligible) {
            Some(node) if origin_fetch::is_under_way(&self.fetches, request.key, node) => {
                self.wait_for_fetch(id, request.key);
            }
            Some(node) => self.start_attempt(id, node, out),
            None => self.enqueue(id, Stage::QueuedForCacheNode),
        }
    }

    /// Returns the cache nodes that may receive a request now.
    pub(super) fn eligible_nodes(&self, pending: &PendingRequest) -> Vec<BackendId> {
        let nodes = self.ready_nodes();
        let rules = EligibilityRules {
            exclusion: ExclusionScope::for_nodes(&nodes, self.now),
            warm_up: self.warm_up_inputs(&pending.request, &nodes),
            safety_limits: &self.settings.safety_limits,
            quota: &self.quota,
            backends: &self.backends,
            now: self.now,
        };
        rules.eligible_nodes(&nodes, pending)
    }

    /// Returns the inputs of the slow-start rule for a request: the home of its key, if any node
    /// warms up, and this proxy's sample for the key.
    fn warm_up_inputs(&self, request: &Request, nodes: &[&Backend]) -> WarmUpInputs {
        let key = self.warm_up_key(request, nodes.len());
        let order = self.rendezvous_order();
        let limits = &self.settings.safety_limits;
        let is_any_warming_up = nodes.iter().any(|node| slow_start::is_warming_up(node, limits, self.now));
        let home = if is_any_warming_up {
            let loads = self.loads();
            let includes_other_zones = !stays_in_zone(&self.settings);
            let near = nodes.iter().filter(|node| includes_other_zones || loads.is_in_own_zone(node));
            order.home(key, near.map(|node| node.id()), MIN_WARM_UP_CANDIDATES)
        } else {
            None
        };
        WarmUpInputs {
            home: home.map(|home| home.backend),
            sample: rendezvous::uniform_hash(order.per_proxy_key(key), WARM_UP_SAMPLE_ID),
        }
    }

    /// Returns the key by which the home and sample of a request are computed during a warm-up.
    /// Each request for a hot key, and each request without a key, gets a key of its own, so that
    /// these requests spread over all nodes.
    fn warm_up_key(&self, request: &Request, nodes: usize) -> Key {
        let frequency = self.keys.frequency(request.key);
        let load = KeyLoad {
            fraction: frequency.requests / frequency.total,
            nodes,
            has_small_quota: self.has_small_quota(),
        };
        if request.key.is_none() || slow_start::is_hot(load) {
            Key(request.key.0 ^ (request.id.0 << 1 | 1))
        } else {
            request.key
        }
    }

    /// Selects one of the eligible backends for a request and updates the endpoint set of its key.
    fn select_backend(&mut self, request: Request, eligible: &[BackendId]) -> Option<BackendId> {
        let entry = self.keys.get(request.key);
        let selection = endpoint_selection::select(&SelectionInputs {
            key: request.key,
            entry,
            eligible,
            loads: self.loads(),
            order: self.rendezvous_order(),
            is_origin_full: self.origin().is_some() && self.origin_with_capacity().is_none(),
        });
        let chosen = match selection {
            Selection::NoBackend => return None,
            Selection::WithoutKey(backend) | Selection::Overflow(backend) => return Some(backend),
            Selection::InSet(backend) => backend,
        };
        let dropped = endpoint_selection::dropped_backend(entry, chosen, self.loads(), self.now);
        let is_large = match entry {
            Some(entry) => entry.is_large,
            None => self.is_large(&request),
        };
        let entry = self.keys.touch(request.key);
        entry.is_large = is_large;
        entry.requests += 1.0;
        entry.change_set(chosen, dropped, self.now);
        Some(chosen)
    }

    /// Returns whether a new key is large, judged by the hint of its request against recent hints.
    fn is_large(&mut self, request: &Request) -> bool {
        let Some(hint) = request.work_hint else { return false };
        self.averages.large_hint_ms.record_and_compare(hint.as_ms(), LARGE_KEY_FRACTION)
    }

    /// Sends queued requests while there is capacity, those of the highest weight first.
    pub(super) fn dispatch_queued(&mut self, out: &mut Vec<Action>) {
        while self.origin_with_capacity().is_some() {
            let Some(queued) = self.queue.pop_heaviest(Stage::QueuedForOrigin) else { break };
            self.route_to_origin(queued.id, out);
            if self.queue.restore_weight(queued) {
                break;
            }
        }
        // If a request is queued again, no request of lower weight could be sent either.
        while let Some(queued) = self.queue.pop_heaviest(Stage::QueuedForCacheNode) {
            self.route(queued.id, out);
            if self.queue.restore_weight(queued) {
                break;
            }
        }
    }

    /// Sends a request to the origin, or queues it if the origin has no capacity.
    pub(super) fn route_to_origin(&mut self, id: RequestId, out: &mut Vec<Action>) {
        if let Some(origin) = self.origin_with_capacity() {
            return self.start_attempt(id, origin, out);
        }
        let Some(pending) = self.requests.get(&id) else { return };
        match retry::check_attempt(pending, self.decision_time()) {
            Ok(()) => self.enqueue(id, Stage::QueuedForOrigin),
            Err(reason) => self.give_up(id, reason, out),
        }
    }

    /// Sends the requests that waited for a fetch to the node that now holds the value, or reroutes
    /// them if that node may not receive them.
    pub(super) fn finish_fetch(&mut self, fetch: OriginFetch, out: &mut Vec<Action>) {
        for id in fetch.waiters {
            let pending = self.requests.get(&id);
            if pending.is_some_and(|pending| self.eligible_nodes(pending).contains(&fetch.node)) {
                self.start_attempt(id, fetch.node, out);
            } else {
                self.route(id, out);
            }
        }
    }

    /// Queues a request until capacity is available.
    fn enqueue(&mut self, id: RequestId, stage: Stage) {
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.stage = stage;
        self.queue.push(id, stage, pending.class.priority_weight);
    }

    /// Lets a request wait for the fetch of its key. If the request that makes the fetch is queued,
    /// its weight is increased by that of the waiting request.
    pub(super) fn wait_for_fetch(&mut self, id: RequestId, key: Key) {
        let Some(fetch) = self.fetches.get_mut(key) else { return };
        let Some(pending) = self.requests.get_mut(&id) else { return };
        pending.stage = Stage::WaitingForFetch;
        fetch.waiters.push(id);
        self.queue.add_weight(fetch.leader, pending.class.priority_weight);
    }

    /// Ends a request that no backend served, with a final response from the proxy.
    pub(super) fn give_up(&mut self, id: RequestId, reason: GiveUpReason, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.get(&id) else { return };
        let repeat = idempotency::safety_anywhere(pending, self.decision_time());
        let response = give_up::decide(reason, repeat, pending.limits.max_retry_after);
        out.push(final_response(id, response, reason));
        self.close(id, out);
    }

    /// Removes a request that has its final response or needs none, and reroutes the requests that
    /// waited for its fetch.
    pub(super) fn close(&mut self, id: RequestId, out: &mut Vec<Action>) {
        let Some(pending) = self.requests.remove(&id) else { return };
        if pending.stage != Stage::InFlight {
            self.queue.remove(id);
        }
        if let Some(fetch) = self.fetches.remove_if_leader(id, pending.request.key) {
            for waiter in fetch.waiters {
                self.route(waiter, out);
            }
        }
    }

    /// Removes the deadline of a request whose response has begun to stream.
    pub(super) fn clear_deadline(&mut self, id: RequestId) {
        if let Some(pending) = self.requests.get_mut(&id) {
            pending.deadline = Timestamp::NEVER;
        }
    }
}

/// Returns the response to a request whose class is not in the settings.
fn reject_unknown_class(id: RequestId) -> Action {
    let reason = GiveUpReason::UnknownClass;
    final_response(id, give_up::decide(reason, RepeatSafety::NeverExecuted, TimeSpan::ZERO), reason)
}

fn final_response(request: RequestId, response: GiveUpResponse, reason: GiveUpReason) -> Action {
    match response {
        GiveUpResponse::Reject { retry_after } => Action::Reject { request, retry_after, reason },
        GiveUpResponse::Fail => Action::Fail { request, reason },
    }
}
