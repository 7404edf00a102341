//! The division of a process's descriptors between its clients and its backends:
//! [`DescriptorBudget`].

/// After this time, in ms, half of what backends needed at their peak is forgotten.
const PEAK_HALF_LIFE: f64 = 5000.0;
/// Backends keep so many times the descriptors that they needed lately ...
const BACKEND_HEADROOM: f64 = 1.2;
/// ... and so many more.
const BACKEND_SPARE: usize = 8;

/// The division. Each side has a reserve that the other cannot take; what lies between goes to the
/// side that needs it, and returns when the need is over. Times are in ms.
#[derive(Clone, Debug)]
pub struct DescriptorBudget {
    total: usize,
    client_share: f64,
    backend_share: f64,
    client_reserve: usize,
    backend_reserve: usize,
    /// The most that backends needed, less what is forgotten since `peak_at`.
    peak: f64,
    peak_at: u64,
}

impl DescriptorBudget {
    /// A division of `total` descriptors, of which these shares, from 0 to 1, are the reserves of
    /// the two sides. Each side has at least one.
    pub fn new(total: usize, client_share: f64, backend_share: f64) -> DescriptorBudget {
        debug_assert!(client_share + backend_share <= 1.0);
        let mut budget = DescriptorBudget {
            total,
            client_share,
            backend_share,
            client_reserve: 1,
            backend_reserve: 1,
            peak: 0.0,
            peak_at: 0,
        };
        budget.resize(total);
        budget
    }

    /// Changes the total; the shares stay. A side that holds more than it may gives it back in
    /// time.
    pub fn resize(&mut self, total: usize) {
        let reserve = |share: f64| ((total as f64 * share) as usize).max(1);
        self.client_reserve = reserve(self.client_share);
        self.backend_reserve = reserve(self.backend_share);
        self.total = total.max(2);
    }

    /// Notes how many descriptors backends hold, or would if they could.
    pub fn record_backend_need(&mut self, now: u64, need: usize) {
        self.peak = self.decayed_peak(now).max(need as f64);
        self.peak_at = self.peak_at.max(now);
    }

    /// How many client connections there may be now: what backends leave, which keep room for a
    /// fifth more than they needed lately, and eight.
    pub fn client_limit(&self, now: u64) -> usize {
        let wanted = (self.decayed_peak(now) * BACKEND_HEADROOM) as usize + BACKEND_SPARE;
        let most = self.total - self.client_reserve;
        self.total - wanted.clamp(self.backend_reserve.min(most), most)
    }

    /// How many backend connections there may be beside so many client connections. Danger: a
    /// descriptor given twice. What clients hold now counts, not what they may; and a side that is
    /// told to shrink does so in time.
    pub fn backend_limit(&self, clients: usize) -> usize {
        let left = self.total.saturating_sub(clients);
        left.max(self.backend_reserve).min(self.total - self.client_reserve)
    }

    /// Whether one more client connection can be accepted beside what both sides hold.
    pub fn has_room(&self, now: u64, clients: usize, backends: usize) -> bool {
        let reserved = backends.max(self.backend_reserve);
        clients < self.client_limit(now) && clients + reserved < self.total
    }

    fn decayed_peak(&self, now: u64) -> f64 {
        let elapsed = now.saturating_sub(self.peak_at);
        self.peak * (-(elapsed as f64) / PEAK_HALF_LIFE).exp2()
    }
}
