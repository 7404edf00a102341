//! [`Balancer`]: the wiring of the decision module. An event comes in, the rules that it concerns
//! are asked, and their answers become actions. The rules themselves are in the modules beside this
//! one.

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

/// The decisions of one proxy, and what they are made from.
pub struct Balancer {
    settings: Settings,
    rng: SmallRng,
    /// The time of the event that is handled.
    now: Timestamp,
    /// The backends on the endpoint list, and removed ones that a pending request was sent to.
    backends: BackendTable,
    /// Requests without a final response.
    requests: BTreeMap<RequestId, PendingRequest>,
    /// The keys used most recently.
    keys: KeyTable,
    averages: Averages,
    /// Origin fetches under way.
    fetches: FetchTable,
    /// Requests that wait for capacity.
    queue: RequestQueue,
    /// Whether a timer is set after which the queue is looked at.
    is_dispatch_timer_set: bool,
    retry_budget: RetryBudget,
    /// How many times in a row the endpoint list could not be had.
    list_failures: i32,
    admission: AdmissionControl,
    quota: ProxyQuota,
}

impl Balancer {
    /// A balancer that knows nothing yet but its settings. Its random choices follow from `seed`.
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

    /// The settings in use.
    pub fn settings(&self) -> &Settings {
        &self.settings
    }

    /// Replaces the settings. Pending requests keep those that they arrived with.
    pub fn apply_settings(&mut self, settings: Settings) {
        let is_group_size_changed =
            self.quota.is_equal_share() && settings.group_size != self.settings.group_size;
        self.quota.set_group_size(settings.group_size);
        self.settings = settings;
        if is_group_size_changed {
            self.reset_learned_limits();
        }
    }

    /// Limits and admission were learned as the part of another number of proxies.
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

    /// Handles one event at `now`, which never falls, and appends what is to be done about it.
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

    /// The time by which it is decided what may still be sent.
    fn decision_time(&self) -> DecisionTime {
        DecisionTime { now: self.now, write_delay: self.settings.write_delay, tick: self.settings.tick }
    }

    /// Which origin there is.
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

/// Whether an event may give a queued request the capacity that it waits for.
fn may_free_capacity(event: &Event) -> bool {
    const DISPATCH_TOKEN: u64 = TimerKind::DispatchQueued.token_without_request();
    matches!(event, Event::AttemptEnd(_) | Event::EndpointList { .. } | Event::Timer(DISPATCH_TOKEN))
}
