//! An origin: it bears so many calls at once. Over that each takes longer, and at twice as many it falls for a while.

use std::collections::VecDeque;

/// A time in ms.
type Time = u64;

/// The origin.
#[derive(Clone, Debug)]
pub struct Origin {
    /// Calls at once that it bears.
    pub bears: usize,
    /// How long a call takes as long as it bears them.
    pub takes: Time,
    /// How long it is gone after a fall.
    pub gone_for: Time,
    /// Calls under way: whose, and when they end.
    calls: VecDeque<(usize, Time)>,
    up_at: Time,
    /// How often it fell.
    pub falls: u64,
    /// The most calls that it had at once.
    pub most: usize,
}

impl Origin {
    /// One that bears so many.
    pub fn new(bears: usize, takes: Time, gone_for: Time) -> Origin {
        Origin { bears, takes, gone_for, calls: VecDeque::new(), up_at: 0, falls: 0, most: 0 }
    }

    /// Calls that it has.
    pub fn busy(&self) -> usize {
        self.calls.len()
    }

    /// A call begins; those that it loses by that, if it falls.
    pub fn call(&mut self, now: Time, whose: usize) -> Vec<usize> {
        if now < self.up_at {
            return vec![whose];
        }
        let load = (self.calls.len() + 1) as f64 / self.bears as f64;
        let takes = self.takes as f64 * load.max(1.0).powi(2);
        self.calls.push_back((whose, now + takes as Time));
        self.most = self.most.max(self.calls.len());
        if load < 2.0 {
            return Vec::new();
        }
        (self.up_at, self.falls) = (now + self.gone_for, self.falls + 1);
        self.calls.drain(..).map(|(whose, _)| whose).collect()
    }

    /// The calls that have ended by now.
    pub fn ended(&mut self, now: Time) -> Vec<usize> {
        let (ended, left) = self.calls.drain(..).partition(|(_, ends)| *ends <= now);
        self.calls = left;
        let ended: VecDeque<(usize, Time)> = ended;
        ended.into_iter().map(|(whose, _)| whose).collect()
    }
}

#[cfg(test)]
mod tests;
