//! The division of a process's descriptors between those who connect to it (consumers) and those it connects
//! to (providers).

/// Over this time, in ms, half of what providers needed at their peak is forgotten.
const HALF_LIFE: f64 = 5000.0;

/// The division. Each side has a share that nobody can take from it; what lies between goes where the need
/// is, and returns with it.
#[derive(Clone, Debug)]
pub struct DescriptorBudget {
    total: usize,
    shares: [f64; 2],
    consumers_least: usize,
    providers_least: usize,
    peak: f64,
    at: u64,
}

impl DescriptorBudget {
    /// A division of `total` descriptors, of which each side is sure of these parts. Every side has at least
    /// one.
    pub fn new(total: usize, consumers_least: f64, providers_least: f64) -> DescriptorBudget {
        let shares = [consumers_least, providers_least];
        debug_assert!(shares[0] + shares[1] <= 1.0);
        let mut split =
            DescriptorBudget { total, shares, consumers_least: 1, providers_least: 1, peak: 0.0, at: 0 };
        split.resize(total);
        split
    }

    /// From now on there are so many, divided by the same shares. Who holds more gives them back in time.
    pub fn resize(&mut self, total: usize) {
        let least = |share: f64| ((total as f64 * share) as usize).max(1);
        (self.consumers_least, self.providers_least) = (least(self.shares[0]), least(self.shares[1]));
        self.total = total.max(2);
    }

    /// Providers hold so many, or would if they could.
    pub fn record_backend_need(&mut self, now: u64, need: usize) {
        self.peak = self.peak_at(now).max(need as f64);
        self.at = self.at.max(now);
    }

    /// So many consumers may be held now: what providers leave, who keep room for a fifth more than they
    /// needed lately, and eight.
    pub fn client_limit(&self, now: u64) -> usize {
        let wanted = (self.peak_at(now) * 1.2) as usize + 8;
        let most = self.total - self.consumers_least;
        self.total - wanted.clamp(self.providers_least.min(most), most)
    }

    /// So many providers may be held while so many consumers are. Danger: a descriptor given twice. What
    /// consumers hold now counts, not what they may; and a side that is told to shrink does so in time.
    pub fn backend_limit(&self, consumers: usize) -> usize {
        self.total.saturating_sub(consumers).max(self.providers_least).min(self.total - self.consumers_least)
    }

    /// Whether one more consumer can be taken in beside what both sides hold.
    pub fn has_room(&self, now: u64, consumers: usize, providers: usize) -> bool {
        let reserved = providers.max(self.providers_least);
        consumers < self.client_limit(now) && consumers + reserved < self.total
    }

    fn peak_at(&self, now: u64) -> f64 {
        self.peak * (-(now.saturating_sub(self.at) as f64) / HALF_LIFE).exp2()
    }
}
