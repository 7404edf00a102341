//! [`LoadView`]: how loaded a backend is, as this proxy sees it.

use super::SET_GROWTH_GAP;
use crate::interface::BackendId;
use crate::settings::Settings;
use crate::state::{Backend, BackendTable};

/// A request that crosses zones weighs this many requests in flight for each unit of its cost.
const REQUESTS_PER_UNIT_OF_COST: f64 = 16.0;
/// The load of one request in flight at a node of mean size.
const SMALLEST_LOAD_STEP: f64 = 1.0;
/// The load of a backend that is not known.
const UNKNOWN_LOAD: f64 = f64::MAX;

/// The backends, and what their loads depend on.
#[derive(Clone, Copy, Debug)]
pub(in crate::logic) struct LoadView<'a> {
    /// All backends.
    pub(in crate::logic) backends: &'a BackendTable,
    /// The settings in use.
    pub(in crate::logic) settings: &'a Settings,
    /// The mean relative size of a cache node.
    pub(in crate::logic) mean_node_weight: f64,
}

impl LoadView<'_> {
    /// Decides: how loaded a backend is.
    /// Inputs: this proxy's attempts in flight there; its relative size; whether it is in another
    /// zone.
    /// Reason: a larger backend bears more, and a request that crosses zones costs more.
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

    /// Whether a backend is in this proxy's zone.
    pub(in crate::logic) fn is_in_own_zone(&self, backend: &Backend) -> bool {
        backend.info.zone == self.settings.zone
    }
}

/// Decides: whether the home of a key is drawn among the nodes of this proxy's zone only.
/// Inputs: the cost of crossing zones.
/// Reason: where crossing zones weighs as much as the load gap that grows a set, the ordinary path
/// stays in its zone as well.
pub(in crate::logic) fn stays_in_zone(settings: &Settings) -> bool {
    zone_crossing_load(settings) > SET_GROWTH_GAP - SMALLEST_LOAD_STEP
}

/// What a request that crosses zones weighs, in requests in flight.
fn zone_crossing_load(settings: &Settings) -> f64 {
    settings.costs.zone_crossing * REQUESTS_PER_UNIT_OF_COST
}
