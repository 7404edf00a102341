//! A model of a network for datagrams: [`Network`] decides which datagrams are lost, how long the
//! others take, and which directions are cut.

use crate::Time;
use rand::rngs::StdRng;
use rand::RngExt;
use std::collections::BTreeSet;

/// A network between hosts that are identified by numbers. Shares are from 0 to 1.
#[derive(Debug)]
pub struct Network {
    /// The share of datagrams that are lost.
    pub loss: f64,
    /// The share of the other datagrams that arrive twice.
    pub duplication: f64,
    /// The share of arriving copies in which one byte is damaged.
    pub corruption: f64,
    /// The shortest and the longest delay of a datagram, in ms. Delays differ, so that datagrams
    /// are reordered.
    pub delay: (Time, Time),
    /// The directions that are cut, each from one host to another.
    cuts: BTreeSet<(usize, usize)>,
}

impl Default for Network {
    fn default() -> Network {
        Network { loss: 0.0, duplication: 0.0, corruption: 0.0, delay: (1, 3), cuts: BTreeSet::new() }
    }
}

impl Network {
    /// Cuts the direction from one host to another. The opposite direction is not affected.
    pub fn cut(&mut self, from: usize, to: usize) {
        self.cuts.insert((from, to));
    }

    /// Partitions the network, so that nothing passes between hosts of different sides.
    pub fn partition(&mut self, sides: &[&[usize]]) {
        for (index, side) in sides.iter().enumerate() {
            for (_, other_side) in sides.iter().enumerate().filter(|(other, _)| *other != index) {
                for from in *side {
                    for to in *other_side {
                        self.cut(*from, *to);
                    }
                }
            }
        }
    }

    /// Ends all cuts.
    pub fn heal(&mut self) {
        self.cuts.clear();
    }

    /// Whether a direction is cut.
    pub fn is_cut(&self, from: usize, to: usize) -> bool {
        self.cuts.contains(&(from, to))
    }

    /// Transmits a datagram of `length` bytes. Returns for each copy that arrives its delay, in ms,
    /// and the index of its damaged byte, if one is damaged.
    pub fn transmit(
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
        (0..copies).map(|_| self.transmit_copy(rng, length)).collect()
    }

    fn transmit_copy(&self, rng: &mut StdRng, length: usize) -> (Time, Option<usize>) {
        let is_damaged = length > 0 && rng.random_bool(self.corruption);
        let damaged_byte = is_damaged.then(|| rng.random_range(0..length));
        let delay = rng.random_range(self.delay.0..=self.delay.1);
        (delay, damaged_byte)
    }
}
