//! Divides the descriptors of a process between its clients and its backends; read
//! [`DescriptorBudget`] first.

use crate::{millis_f64, Timestamp};

/// The half-life, in ms, of the peak number of descriptors that backends needed.
const PEAK_HALF_LIFE_MS: f64 = 5_000.0;
/// The multiple of the recent peak number of backend descriptors that is kept for backends.
const BACKEND_HEADROOM_FACTOR: f64 = 1.2;
/// The number of descriptors that are kept for backends in addition to [`BACKEND_HEADROOM_FACTOR`]
/// times the recent peak.
const BACKEND_SPARE_DESCRIPTORS: usize = 8;
/// The minimum reserve of each side, in descriptors.
const MIN_RESERVE_DESCRIPTORS: usize = 1;

/// The division of a process's descriptors between clients and backends.
///
/// Each side has a reserve that the other side cannot use. The remaining descriptors go to
/// backends while they need them, and to clients otherwise.
#[derive(Clone, Debug)]
pub struct DescriptorBudget {
    total: usize,
    client_share: f64,
    backend_share: f64,
    client_reserve: usize,
    backend_reserve: usize,
    /// The maximum number of descriptors that backends needed, decayed until `peak_at`.
    peak: f64,
    peak_at: Timestamp,
}

impl DescriptorBudget {
    /// Creates a division of `total` descriptors. The two shares, from 0 to 1, are the reserves of
    /// the two sides; each reserve has at least one descriptor.
    pub fn new(total: usize, client_share: f64, backend_share: f64) -> DescriptorBudget {
        debug_assert!(client_share + backend_share <= 1.0);
        let mut budget = DescriptorBudget {
            total,
            client_share,
            backend_share,
            client_reserve: MIN_RESERVE_DESCRIPTORS,
            backend_reserve: MIN_RESERVE_DESCRIPTORS,
            peak: 0.0,
            peak_at: Timestamp::ZERO,
        };
        budget.resize(total);
        budget
    }

    /// Changes the total, and the reserves in proportion. A side that holds more than its new limit
    /// keeps those descriptors until its connections close.
    pub fn resize(&mut self, total: usize) {
        let reserve = |share: f64| ((total as f64 * share) as usize).max(MIN_RESERVE_DESCRIPTORS);
        self.client_reserve = reserve(self.client_share);
        self.backend_reserve = reserve(self.backend_share);
        self.total = total.max(2 * MIN_RESERVE_DESCRIPTORS);
    }

    /// Records the number of descriptors that backends hold, or would hold if they were available.
    pub fn record_backend_need(&mut self, now: Timestamp, need: usize) {
        self.peak = self.decayed_peak(now).max(need as f64);
        self.peak_at = self.peak_at.max(now);
    }

    /// Returns the maximum number of client connections at this moment, which lies between the
    /// clients' reserve and the total less the backends' reserve.
    ///
    /// Inputs: the decayed peak of backend connections, the total and both reserves, in
    /// descriptors.
    /// Reason: backends keep headroom above their recent peak, so that a crowd of clients cannot
    /// take the descriptors that its own requests need.
    /// Source: docs/connection-limits.md, "Descriptors".
    pub fn client_limit(&self, now: Timestamp) -> usize {
        let headroom = (self.decayed_peak(now) * BACKEND_HEADROOM_FACTOR) as usize;
        let wanted_by_backends = headroom + BACKEND_SPARE_DESCRIPTORS;
        let most = self.total - self.client_reserve;
        self.total - wanted_by_backends.clamp(self.backend_reserve.min(most), most)
    }

    /// Returns the maximum number of backend connections alongside `clients` client connections.
    ///
    /// Invariant: no descriptor is given to both sides. The descriptors that clients hold now
    /// count, not those that they may hold, because a side whose limit was lowered shrinks only as
    /// its connections close.
    ///
    /// Inputs: the open client connections, the total and both reserves, in descriptors.
    /// Reason: backends may use every descriptor that clients neither hold nor have in reserve.
    /// Source: docs/connection-limits.md, "Descriptors".
    pub fn backend_limit(&self, clients: usize) -> usize {
        let free = self.total.saturating_sub(clients);
        free.max(self.backend_reserve).min(self.total - self.client_reserve)
    }

    /// Decides whether one more client connection is accepted or waits in the listen queue.
    ///
    /// Inputs: the open client and backend connections, the total and the backends' reserve, in
    /// descriptors.
    /// Reason: the descriptor must be free now, beside those that backends hold or have in reserve.
    /// Source: docs/connection-limits.md, "Descriptors".
    pub fn has_room(&self, now: Timestamp, clients: usize, backends: usize) -> bool {
        let reserved = backends.max(self.backend_reserve);
        clients < self.client_limit(now) && clients + reserved < self.total
    }

    fn decayed_peak(&self, now: Timestamp) -> f64 {
        let elapsed = now.saturating_duration_since(self.peak_at);
        self.peak * (-millis_f64(elapsed) / PEAK_HALF_LIFE_MS).exp2()
    }
}
