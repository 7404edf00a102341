//! [`LoadView`]: the load of a backend as this proxy sees it.

use super::SET_GROWTH_GAP;
use crate::interface::BackendId;
use crate::settings::Settings;
use crate::state::{Backend, BackendTable};

/// The load that crossing zones adds, in requests in flight for each unit of its cost.
const REQUESTS_PER_UNIT_OF_COST: f64 = 16.0;
/// The load of one request in flight at a node of mean weight.
const SMALLEST_LOAD_STEP: f64 = 1.0;
/// The load of an unknown backend, which sorts last.
const UNKNOWN_LOAD: f64 = f64::MAX;

/// The backends and the other inputs of their loads.
#[derive(Clone, Copy, Debug)]
pub(in crate::logic) struct LoadView<'a> {
    /// All known backends.
    pub(in crate::logic) backends: &'a BackendTable,
    /// The active settings.
    pub(in crate::logic) settings: &'a Settings,
    /// The mean weight of the cache nodes.
    pub(in crate::logic) mean_node_weight: f64,
}

impl LoadView<'_> {
    /// Decides the load of a backend, in requests in flight at a node of mean weight.
    ///
    /// Inputs: this proxy's attempts in flight at the backend; the weight of the backend; whether
    /// the backend is in another zone.
    /// Reason: a backend of higher weight can serve more requests, and a request that crosses zones
    /// costs more.
    /// Source: HyLARD, section 3.3 (active connections).
    pub(in crate::logic) fn load(&self, id: BackendId) -> f64 {
        let Some(backend) = self.backends.get(&id) else { return UNKNOWN_LOAD };
        let in_flight =
            backend.in_flight.len() as f64 * self.mean_node_weight / backend.info.effective_weight();
        if self.is_in_own_zone(backend) {
            in_flight
        } else {
            in_flight + zone_crossing_load(self.settings).ceil()
        }
    }

    /// Returns whether a backend is in this proxy's zone.
    pub(in crate::logic) fn is_in_own_zone(&self, backend: &Backend) -> bool {
        backend.info.zone == self.settings.zone
    }
}

/// Decides whether the home of a key during a warm-up is selected only among the nodes of this
/// proxy's zone.
///
/// Inputs: the cost of crossing zones.
/// Reason: where crossing zones adds as much load as the gap from which on an endpoint set grows,
/// endpoint selection outside a warm-up stays in its zone as well.
pub(in crate::logic) fn stays_in_zone(settings: &Settings) -> bool {
    zone_crossing_load(settings) > SET_GROWTH_GAP - SMALLEST_LOAD_STEP
}

/// Returns the load that crossing zones adds, in requests in flight.
fn zone_crossing_load(settings: &Settings) -> f64 {
    settings.costs.zone_crossing * REQUESTS_PER_UNIT_OF_COST
}
