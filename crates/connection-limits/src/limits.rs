//! How long a connection may stay in a phase, and which share of the capacity each phase may take:
//! [`Limits`].

use crate::Millis;

/// From this pressure on, idle connections have the shorter of their two limits.
const SHORTER_IDLE_LIMIT_FROM: f64 = 0.5;

/// The limits of one [`crate::ConnectionTable`]. Times are in ms; pressure is the share of the
/// capacity that is used or soon will be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// How long the first whole command may take from the connection's arrival on, and each later
    /// one from its first byte on.
    pub whole_command: Millis,
    /// How long any connection may be idle, from a pressure of one half on.
    pub idle: Millis,
    /// How long any connection may be idle below that pressure.
    pub idle_at_low_pressure: Millis,
    /// Within this time something of a response must be read.
    pub unread: Millis,
    /// How long what still arrives is thrown away after the error that ends a connection.
    pub linger: Millis,
    /// At any pressure, a connection that has sent nothing yet stays for at least so long.
    pub silent_floor: Millis,
    /// The same for an idle one: long enough for a client that sends its next request at once, over
    /// a slow line.
    pub idle_floor: Millis,
    /// The same for one with a command that is not whole.
    pub partial_command_floor: Millis,
    /// The same for one that is closing.
    pub linger_floor: Millis,
    /// Up to this pressure no limit tightens.
    pub low_pressure: f64,
    /// At this pressure an idle connection stays only if it is at least
    /// [`Limits::required_reuse_probability`] likely to be used again; between the two pressures
    /// the requirement rises in proportion.
    pub high_pressure: f64,
    /// See [`Limits::high_pressure`].
    pub required_reuse_probability: f64,
    /// Above low pressure, the share of the capacity that connections in each of these phases may
    /// take, if they are older than their floor: silent, first command not whole, later command not
    /// whole, closing.
    pub phase_budget: f64,
    /// The growth of the number of connections in so many ms from now counts as pressure.
    pub growth_horizon: f64,
    /// One idle connection in so many keeps the generous limit, within [`Limits::phase_budget`].
    /// Otherwise nothing could be learnt any more of which connections would have been used again.
    pub sample_one_in: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            whole_command: 2500,
            idle: 2200,
            idle_at_low_pressure: 11_000,
            unread: 5000,
            linger: 500,
            silent_floor: 250,
            idle_floor: 100,
            partial_command_floor: 600,
            linger_floor: 100,
            low_pressure: 0.25,
            high_pressure: 0.9,
            required_reuse_probability: 0.5,
            phase_budget: 0.125,
            growth_horizon: 500.0,
            sample_one_in: 16,
        }
    }
}

impl Limits {
    /// How likely an idle connection must be to be used again so that it may stay at this pressure.
    pub fn required_reuse_probability_at(&self, pressure: f64) -> f64 {
        let range = self.high_pressure - self.low_pressure;
        let position = (pressure - self.low_pressure) / range;
        self.required_reuse_probability * position.clamp(0.0, 1.0)
    }

    /// How long any connection may be idle at this pressure.
    pub fn idle_at(&self, pressure: f64) -> Millis {
        if pressure < SHORTER_IDLE_LIMIT_FROM {
            self.idle_at_low_pressure
        } else {
            self.idle
        }
    }
}
