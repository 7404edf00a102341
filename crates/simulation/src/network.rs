//! A network for datagrams: what is lost, how long the rest takes, and which ways are cut.

use pinetrail_membership::Time;
use rand::rngs::StdRng;
use rand::RngExt;
use std::collections::BTreeSet;

/// A network between hosts that have numbers.
#[derive(Debug)]
pub struct Network {
    /// The share of datagrams that is lost.
    pub loss: f64,
    /// The share that arrives duplication.
    pub duplication: f64,
    /// The share of which one byte arrives damaged.
    pub corruption: f64,
    /// How long a datagram takes: at least, and at the most. What takes differently long is reordered.
    pub delay: (Time, Time),
    cuts: BTreeSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Network {
        Network { loss: 0.0, duplication: 0.0, corruption: 0.0, delay: (1, 3), cuts: BTreeSet::new() }
    }
}

impl Network {
    /// Nothing arrives on the way from one host to another any more.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Nothing passes between hosts of different sides.
    pub fn cut_into(&mut self, sides: &[&[usize]]) {
        for (at, side) in sides.iter().enumerate() {
            for (_, other) in sides.iter().enumerate().filter(|(other, _)| *other != at) {
                side.iter().for_each(|from| other.iter().for_each(|to| self.cut(*from, *to)));
            }
        }
    }

    /// Every way is whole again.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Whether a way is cut.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// How long each copy of a datagram takes, and which byte of it is damaged.
    pub fn carry(
        &self,
        rng: &mut StdRng,
        from: usize,
        to: usize,
        length: usize,
    ) -> Vec<(Time, Option<usize>)> {
        if self.is_cut(from, to) || rng.random_bool(self.loss) {
            return Vec::new();
        }
        let copies = if rng.random_bool(self.duplication) { 2 } else { 1 };
        let copy = |rng: &mut StdRng| {
            let damaged = length > 0 && rng.random_bool(self.corruption);
            let at = damaged.then(|| rng.random_range(0..length.max(1)));
            (rng.random_range(self.delay.0..=self.delay.1), at)
        };
        (0..copies).map(|_| copy(rng)).collect()
    }
}
