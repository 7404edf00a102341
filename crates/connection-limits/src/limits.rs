//! How long a place may be held, in milliseconds, and what share of the places each need may take.

/// The limits of one [`crate::ConnectionTable`].
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Limits {
    /// A first whole command is owed this long after connecting, and each later one after its first byte.
    pub whole_command: u64,
    /// A connection may be idle for so long, whoever it is, once half of the places are held.
    pub idle: u64,
    /// And for so long while less than half of them are.
    pub idle_with_room: u64,
    /// Something of an answer must be read within this time.
    pub unread: u64,
    /// After the error that ends a connection, what still comes is thrown away for so long.
    pub linger: u64,
    /// However short room is, a connection that has said nothing yet keeps its place for so long.
    pub silent_floor: u64,
    /// The same for an idle one. Long enough for a client that asks again at once over a slow line.
    pub idle_floor: u64,
    /// The same for half a command.
    pub half_floor: u64,
    /// The same for one that ends.
    pub linger_floor: u64,
    /// The share of the places that may be held before any limit tightens.
    pub room: f64,
    /// At this share held, an idle connection stays only if it is at least `stake` likely to come back.
    pub crowded: f64,
    /// See `crowded`.
    pub stake: f64,
    /// Under pressure, the share of the places that each of these may take beyond its floor: the silent,
    /// first commands half sent, later commands half sent, answers not read, connections that end.
    pub budget: f64,
    /// How far ahead the growth of the places held is reckoned as pressure, in ms.
    pub ahead: f64,
    /// One in so many idle connections keeps the generous limit, within `budget`: else nothing could be learnt
    /// any more of who would have come back.
    pub sample: u64,
}

impl Default for Limits {
    fn default() -> Limits {
        Limits {
            whole_command: 2500,
            idle: 2200,
            idle_with_room: 11_000,
            unread: 5000,
            linger: 500,
            silent_floor: 250,
            idle_floor: 100,
            half_floor: 600,
            linger_floor: 100,
            room: 0.25,
            crowded: 0.9,
            stake: 0.5,
            budget: 0.125,
            ahead: 500.0,
            sample: 16,
        }
    }
}

impl Limits {
    /// How likely an idle connection must be to come back so that it may stay at this pressure.
    pub fn stake_at(&self, pressure: f64) -> f64 {
        let over = (pressure - self.room) / (self.crowded - self.room);
        self.stake * over.clamp(0.0, 1.0)
    }

    /// The generous limit of an idle connection at this pressure.
    pub fn idle_at(&self, pressure: f64) -> u64 {
        if pressure < 0.5 {
            self.idle_with_room
        } else {
            self.idle
        }
    }
}
