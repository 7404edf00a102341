//! Defines how long a connection may stay in a phase, and which share of the capacity each phase
//! may use; read [`Limits`] first.

use std::time::Duration;

/// The pressure from which on idle connections have the shorter of their two timeouts.
const SHORT_IDLE_TIMEOUT_FROM_PRESSURE: f64 = 0.5;

/// The limits of one [`crate::ConnectionTable`]. Pressure is the share of the capacity that is used
/// or soon will be.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// The maximum time until a command is complete: from the arrival of the connection for the
    /// first command, and from its first byte for each later command. While the value of a command
    /// arrives, it counts from the last byte ([`crate::ConnectionTable::restart_phase`]).
    pub command_timeout: Duration,
    /// The maximum idle time of any connection at a pressure of one half or more.
    pub idle_timeout: Duration,
    /// The maximum idle time of any connection below a pressure of one half.
    pub idle_timeout_at_low_pressure: Duration,
    /// The time within which the client must read a part of a response. A system announces space in
    /// a full buffer only in steps, so that a slow reader shows no progress for a while.
    pub unread_response_timeout: Duration,
    /// The time without progress for which a connection with an unread response stays open at any
    /// pressure.
    pub unread_response_floor: Duration,
    /// The maximum time for which input of a closing connection is discarded.
    pub linger_timeout: Duration,
    /// The time, from a connection's arrival, for which a connection that has sent nothing yet
    /// stays open at any pressure.
    pub silent_floor: Duration,
    /// The time for which an idle connection stays open while the capacity is not used up: long
    /// enough for a client on a slow link that sends its next request at once.
    pub idle_floor: Duration,
    /// The time for which a connection with a partial command stays open at any pressure.
    pub partial_command_floor: Duration,
    /// The time for which input of a closing connection is discarded at any pressure.
    pub linger_floor: Duration,
    /// The pressure up to which no limit is lowered.
    pub low_pressure: f64,
    /// The pressure at which an idle connection stays open only if its probability of being used
    /// again is at least [`Limits::required_reuse_probability`]. Between low and high pressure the
    /// required probability rises in proportion.
    pub high_pressure: f64,
    /// The probability of being used again that an idle connection needs at
    /// [`Limits::high_pressure`].
    pub required_reuse_probability: f64,
    /// The share of the capacity that, above low pressure, connections in each of these phases may
    /// use once they are older than their floor: silent, partial first command, partial later
    /// command, response unread, closing.
    pub phase_budget_share: f64,
    /// The time for which the growth of the number of connections is estimated. The estimate is
    /// part of the pressure.
    pub growth_horizon: Duration,
    /// The sampling interval: the life tables do not lower the limit of one silent or idle
    /// connection in this many, within [`Limits::phase_budget_share`]. Without this sample the
    /// tables could no longer learn which connections would have been used again.
    pub sample_one_in: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            command_timeout: Duration::from_millis(2_500),
            idle_timeout: Duration::from_millis(2_200),
            idle_timeout_at_low_pressure: Duration::from_millis(11_000),
            unread_response_timeout: Duration::from_millis(20_000),
            unread_response_floor: Duration::from_millis(5_000),
            linger_timeout: Duration::from_millis(500),
            silent_floor: Duration::from_millis(250),
            idle_floor: Duration::from_millis(100),
            partial_command_floor: Duration::from_millis(600),
            linger_floor: Duration::from_millis(100),
            low_pressure: 0.25,
            high_pressure: 0.9,
            required_reuse_probability: 0.5,
            phase_budget_share: 0.125,
            growth_horizon: Duration::from_millis(500),
            sample_one_in: 16,
        }
    }
}

impl Limits {
    /// Returns the probability of being used again that an idle connection needs to stay open at
    /// this pressure.
    pub fn required_reuse_probability_at(&self, pressure: f64) -> f64 {
        let range = self.high_pressure - self.low_pressure;
        let position = (pressure - self.low_pressure) / range;
        self.required_reuse_probability * position.clamp(0.0, 1.0)
    }

    /// Returns the maximum idle time of any connection at this pressure.
    pub fn idle_timeout_at(&self, pressure: f64) -> Duration {
        if pressure < SHORT_IDLE_TIMEOUT_FROM_PRESSURE {
            self.idle_timeout_at_low_pressure
        } else {
            self.idle_timeout
        }
    }
}
