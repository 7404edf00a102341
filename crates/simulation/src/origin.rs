//! A model of an origin with a capacity of concurrent calls: [`Origin`]. Beyond the capacity each
//! call takes longer, and at twice the capacity the origin goes down for a while.

use std::collections::VecDeque;

/// A simulated time or duration, in ms.
type Time = u64;

/// The load at which an origin goes down, as a multiple of its capacity.
const OUTAGE_LOAD: f64 = 2.0;
/// The exponent of the load in the duration of a call beyond the capacity.
const OVERLOAD_EXPONENT: i32 = 2;

/// A call in flight.
#[derive(Clone, Copy, Debug)]
struct Call {
    caller: usize,
    ends_at: Time,
}

/// An origin that slows down under overload, and goes down under a greater overload.
#[derive(Clone, Debug)]
pub struct Origin {
    /// The number of concurrent calls that the origin serves in their usual time.
    pub capacity: usize,
    /// The duration of a call within the capacity, in ms.
    pub call_duration: Time,
    /// The duration of an outage, in ms.
    pub outage_duration: Time,
    /// The calls in flight, in the order in which they began.
    calls: VecDeque<Call>,
    /// When the last outage ends.
    up_at: Time,
    /// The number of outages so far.
    pub outages: u64,
    /// The largest number of calls that were in flight at once.
    pub max_calls: usize,
}

impl Origin {
    /// Creates an origin without calls. Durations are in ms.
    pub fn new(capacity: usize, call_duration: Time, outage_duration: Time) -> Origin {
        Origin {
            capacity,
            call_duration,
            outage_duration,
            calls: VecDeque::new(),
            up_at: 0,
            outages: 0,
            max_calls: 0,
        }
    }

    /// Returns the number of calls in flight.
    pub fn calls_in_flight(&self) -> usize {
        self.calls.len()
    }

    /// Begins a call. Returns the callers of the calls that fail: this caller while the origin is
    /// down, and all callers if the origin goes down.
    pub fn begin_call(&mut self, now: Time, caller: usize) -> Vec<usize> {
        if now < self.up_at {
            return vec![caller];
        }
        let load = (self.calls.len() + 1) as f64 / self.capacity as f64;
        let duration = self.call_duration as f64 * load.max(1.0).powi(OVERLOAD_EXPONENT);
        self.calls.push_back(Call { caller, ends_at: now + duration as Time });
        self.max_calls = self.max_calls.max(self.calls.len());
        if load < OUTAGE_LOAD {
            return Vec::new();
        }
        self.up_at = now + self.outage_duration;
        self.outages += 1;
        self.calls.drain(..).map(|call| call.caller).collect()
    }

    /// Removes the calls that have ended by now, and returns their callers.
    pub fn take_ended(&mut self, now: Time) -> Vec<usize> {
        let has_ended = |call: &Call| call.ends_at <= now;
        let (ended, in_flight): (VecDeque<Call>, VecDeque<Call>) = self.calls.drain(..).partition(has_ended);
        self.calls = in_flight;
        ended.into_iter().map(|call| call.caller).collect()
    }
}

#[cfg(test)]
mod tests;
