//! [`Balancer`]: the entry point of the decision module. It dispatches each event to the rules that
//! apply and turns their decisions into actions. The rules are in the sibling modules.

mod attempts;
mod backends;
mod requests;
mod timers;

use super::admission::AdmissionControl;
use super::concurrency_limit::{self, ProxyQuota};
use super::queue::RequestQueue;
use super::retry::{DecisionTime, OriginAvailability, RetryBudget};
use crate::interface::{Action, Event, RequestId};
use crate::settings::Settings;
use crate::state::{Averages, BackendTable, FetchTable, KeyTable, PendingRequest, Tier, TimerKind};
use crate::time::Timestamp;
use rand::{rngs::SmallRng, SeedableRng};
use std::collections::BTreeMap;

/// The decision module of one proxy, with its state.
pub struct Balancer {
    settings: Settings,
    rng: SmallRng,
    /// The time of the event that is being handled.
    now: Timestamp,
    /// The backends on the endpoint list, and removed backends to which a pending request was sent.
    backends: BackendTable,
    /// The requests without a final response.
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The most recently used keys.
    keys: KeyTable,
    averages: Averages,
    /// The origin fetches in progress.
    fetches: FetchTable,
    /// The requests that wait for capacity.
    queue: RequestQueue,
    /// Whether the timer that dispatches queued requests is set.
    is_dispatch_timer_set: bool,
    retry_budget: RetryBudget,
    /// The number of consecutive failures to fetch the endpoint list.
    list_failures: i32,
    admission: AdmissionControl,
    quota: ProxyQuota,
}

impl Balancer {
    /// Creates a balancer that knows no backends yet. `seed` determines all its random choices.
    pub fn new(settings: Settings, seed: u64) -> Balancer {
        Balancer {
            rng: SmallRng::seed_from_u64(seed),
            now: Timestamp::ZERO,
            backends: BackendTable::new(),
            requests: BTreeMap::new(),
            keys: KeyTable::new(),
            averages: Averages::default(),
            fetches: FetchTable::default(),
            queue: RequestQueue::default(),
            is_dispatch_timer_set: false,
            retry_budget: RetryBudget::new(),
            list_failures: 0,
            admission: AdmissionControl::default(),
            quota: ProxyQuota::equal_share(settings.group_size),
            settings,
        }
    }

    /// Returns the active settings.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings. Pending requests keep the class and limits that they arrived with.
    pub fn apply_settings(&mut self, settings: Settings) {
        let is_group_size_changed =
            self.quota.is_equal_share() && settings.group_size != self.settings.group_size;
        self.quota.set_group_size(settings.group_size);
        self.settings = settings;
        if is_group_size_changed {
            self.reset_learned_limits();
        }
    }

    /// Resets the concurrency limits and admission probabilities, which were learned while another
    /// number of proxies shared the fleet.
    fn reset_learned_limits(&mut self) {
        let divisor = self.quota.divisor(self.now);
        let origin_kind = self.settings.backend_kinds.origin_kind;
        for backend in self.backends.values_mut() {
            let is_origin = i64::from(backend.info.kind) == origin_kind;
            let tier = if is_origin { Tier::Origin } else { Tier::CacheNodes };
            backend.limit.max_in_flight = concurrency_limit::initial_limit(tier, divisor);
        }
        self.admission = AdmissionControl::default();
    }

    /// Handles an event at the time `now`, which must never decrease, and appends the resulting
    /// actions to `out`.
    pub fn handle(&mut self, now: Timestamp, event: Event, out: &mut Vec<Action>) {
        self.now = now;
        let may_free_capacity = may_free_capacity(&event);
        match event {
            Event::EndpointList { form, endpoints } => self.on_endpoint_list(form, endpoints, out),
            Event::Request(request) => self.on_request(request, out),
            Event::StreamBegan(id) => self.clear_deadline(id),
            Event::AttemptEnd(end) => self.on_attempt_end(&end, out),
            Event::ClientGone(id) => self.close(id, out),
            Event::Timer(token) => self.on_timer(token, out),
            Event::Quota(quota) => self.on_quota(quota),
            Event::Probed { .. } | Event::PeerMessage { .. } => {}
        }
        if may_free_capacity {
            self.dispatch_queued(out);
        }
        self.set_dispatch_timer(out);
    }

    /// Returns the times on which decisions about attempts depend.
    fn decision_time(&self) -> DecisionTime {
        DecisionTime { now: self.now, write_delay: self.settings.write_delay, tick: self.settings.tick }
    }

    /// Returns whether an origin is configured and accepts requests.
    fn origin_availability(&self) -> OriginAvailability {
        if self.settings.backend_kinds.origin_kind < 0 {
            OriginAvailability::NotConfigured
        } else if self.origin().is_some() {
            OriginAvailability::Ready
        } else {
            OriginAvailability::NotReady
        }
    }

    fn has_small_quota(&self) -> bool {
        self.quota.is_small(self.now)
    }
}

/// Returns whether an event may free capacity for which queued requests wait.
fn may_free_capacity(event: &Event) -> bool {
    const DISPATCH_TOKEN: u64 = TimerKind::DispatchQueued.token_without_request();
    matches!(event, Event::AttemptEnd(_) | Event::EndpointList { .. } | Event::Timer(DISPATCH_TOKEN))
}
