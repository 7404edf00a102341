//! Backends: applies updates of the endpoint list and of the quota, and answers queries about the
//! known backends. Read [`Balancer::on_endpoint_list`] first.

use super::Balancer;
use crate::interface::{Action, BackendId, EndpointInfo, EndpointState, ListForm, Quota};
use crate::logic::concurrency_limit::{self, CapacityDecision};
use crate::logic::endpoint_list::{self, ListedProcess};
use crate::logic::endpoint_selection::{LoadView, RendezvousOrder};
use crate::state::{Backend, Tier, TimerKind};
use rand::Rng;
use std::collections::BTreeSet;

/// The value of [`Settings::discovery`](crate::settings::Settings::discovery) for polling, where
/// the endpoint list arrives only when it is requested.
const POLLED_DISCOVERY: &str = "ask";

impl Balancer {
    /// Applies an update of the endpoint list. After a failure to fetch the list, sets the timer
    /// for another request of the list.
    pub(super) fn on_endpoint_list(
        &mut self,
        form: ListForm,
        endpoints: Vec<EndpointInfo>,
        out: &mut Vec<Action>,
    ) {
        if form == ListForm::Failed {
            return self.schedule_list_retry(out);
        }
        if form == ListForm::Cached && self.settings.discovery == POLLED_DISCOVERY {
            out.push(Action::Subscribe);
        } else {
            self.list_failures = 0;
        }
        let removed = if form == ListForm::Delta { Vec::new() } else { self.unlisted(&endpoints) };
        let mut unusable = BTreeSet::new();
        for endpoint in removed.into_iter().chain(endpoints) {
            let process = self.update_backend(endpoint);
            if process == ListedProcess::New || endpoint.state != EndpointState::Ready {
                unusable.insert(endpoint.backend);
            }
        }
        self.update_mean_node_weight();
        self.prune_removed_backends();
        // Draining and removed backends must not be selected, and a new process has an empty cache.
        if !unusable.is_empty() {
            self.keys.remove_backends(|id| unusable.contains(&id));
        }
    }

    fn schedule_list_retry(&mut self, out: &mut Vec<Action>) {
        let jitter = self.rng.gen_range(endpoint_list::JITTER_FACTOR);
        let delay = endpoint_list::retry_delay(self.list_failures, jitter);
        self.list_failures += 1;
        out.push(Action::SetTimer { delay, token: TimerKind::Resubscribe.token_without_request() });
    }

    /// Applies an entry of the endpoint list. Returns whether it describes the known process of the
    /// backend or a new one.
    fn update_backend(&mut self, listed: EndpointInfo) -> ListedProcess {
        let tier = self.tier_of_kind(listed.kind);
        let limit = concurrency_limit::initial_limit(tier, self.quota.divisor(self.now));
        let backend = self.backends.entry(listed.backend).or_default();
        let process = endpoint_list::compare(&backend.info, &listed);
        if process == ListedProcess::New {
            *backend = Backend::with_limit(limit);
        }
        let started_at = listed.started_at.max(backend.info.started_at);
        backend.info = EndpointInfo { started_at, ..listed };
        process
    }

    /// Returns entries with the state `Gone` for all known backends that a complete list does not
    /// name.
    fn unlisted(&self, complete: &[EndpointInfo]) -> Vec<EndpointInfo> {
        let listed: BTreeSet<BackendId> = complete.iter().map(|endpoint| endpoint.backend).collect();
        let known = self.backends.values().map(|backend| backend.info);
        let unlisted = known.filter(|endpoint| !listed.contains(&endpoint.backend));
        unlisted.map(|endpoint| EndpointInfo { state: EndpointState::Gone, ..endpoint }).collect()
    }

    /// Drops removed backends to which no pending request was sent. Backends are replaced for as
    /// long as a balancer runs, so that the table would otherwise grow without bound.
    fn prune_removed_backends(&mut self) {
        let attempts = self.requests.values().flat_map(|pending| &pending.attempts);
        let used: BTreeSet<BackendId> = attempts.map(|attempt| attempt.backend).collect();
        self.backends.retain(|id, backend| backend.info.state != EndpointState::Gone || used.contains(id));
    }

    /// Recomputes the mean weight of the cache nodes.
    fn update_mean_node_weight(&mut self) {
        let nodes = self.backends.values().filter(|backend| self.is_ready_node(backend));
        let weights = nodes.map(|backend| backend.info.effective_weight());
        self.averages.mean_node_weight = weights.clone().sum::<f64>() / weights.count().max(1) as f64;
    }

    /// Replaces the quota and rescales the concurrency limits, which were learned under the old
    /// one.
    pub(super) fn on_quota(&mut self, quota: Quota) {
        let factor = self.quota.replace(quota, self.now);
        for backend in self.backends.values_mut() {
            concurrency_limit::rescale(&mut backend.limit, factor);
        }
    }

    fn tier_of_kind(&self, kind: u8) -> Tier {
        if i64::from(kind) == self.settings.backend_kinds.origin_kind {
            Tier::Origin
        } else {
            Tier::CacheNodes
        }
    }

    /// Returns the tier of a backend. An origin that is not ready counts as a cache node.
    pub(super) fn tier(&self, id: BackendId) -> Tier {
        if self.origin() == Some(id) {
            Tier::Origin
        } else {
            Tier::CacheNodes
        }
    }

    /// Returns the origin if the endpoint list says that it accepts requests.
    pub(super) fn origin(&self) -> Option<BackendId> {
        let is_origin = |backend: &&Backend| self.tier_of_kind(backend.info.kind) == Tier::Origin;
        self.backends.values().filter(is_origin).find(|origin| origin.is_ready()).map(Backend::id)
    }

    /// Returns the origin if it accepts requests and has capacity for one more attempt.
    pub(super) fn origin_with_capacity(&self) -> Option<BackendId> {
        let id = self.origin()?;
        let origin = self.backends.get(&id)?;
        let capacity = concurrency_limit::decide_capacity(origin, Tier::Origin, &self.quota, self.now);
        (capacity == CapacityDecision::Available).then_some(id)
    }

    /// Returns whether a backend is a cache node that accepts requests according to the endpoint
    /// list.
    fn is_ready_node(&self, backend: &Backend) -> bool {
        backend.is_ready() && self.tier_of_kind(backend.info.kind) == Tier::CacheNodes
    }

    /// Returns the cache nodes that accept requests.
    pub(super) fn ready_nodes(&self) -> Vec<&Backend> {
        self.backends.values().filter(|backend| self.is_ready_node(backend)).collect()
    }

    /// Returns a view of the backends' loads as this proxy sees them.
    pub(super) fn loads(&self) -> LoadView<'_> {
        LoadView {
            backends: &self.backends,
            settings: &self.settings,
            mean_node_weight: self.averages.mean_node_weight,
        }
    }

    /// Returns the inputs from which the rendezvous order of a key is computed.
    pub(super) fn rendezvous_order(&self) -> RendezvousOrder<'_> {
        RendezvousOrder {
            backends: &self.backends,
            keys: &self.keys,
            proxy_number: self.settings.my_number,
            has_small_quota: self.has_small_quota(),
        }
    }
}
