//! The configuration of `foca`, which depends on the number of members. Read [`for_members`] first,
//! then [`suspicion_timeout`].

use crate::settings::Timing;
use foca::{Config, PeriodicParams};
use pinetrail_clock::whole_millis;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// The number of members that are asked to probe a member that does not respond.
const INDIRECT_PROBES: usize = 3;
/// The number of members that get updates in each gossip interval.
const GOSSIP_FANOUT: usize = 3;
/// The interval at which a member is asked for all members that it knows, which repairs missed
/// gossip.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// The number of members that are asked for all members in each full sync interval.
const FULL_SYNC_FANOUT: usize = 1;
/// The number of failed members that are contacted in each reconnect interval.
const RECONNECT_FANOUT: usize = 2;
/// The number of transmissions of an update for each factor of ten in the number of members.
const TRANSMISSIONS_PER_DIGIT: f64 = 6.0;
const MIN_TRANSMISSIONS: f64 = 12.0;
const MAX_TRANSMISSIONS: f64 = 30.0;
/// The minimum factor of the suspicion timeout, so that it is never below the configured one.
const MIN_SUSPICION_FACTOR: f64 = 1.0;

/// Returns the configuration for a fleet of this many members, this one included.
pub(super) fn for_members(timing: &Timing, max_message_bytes: usize, members: usize) -> Config {
    Config {
        probe_period: timing.probe_period,
        probe_rtt: timing.probe_timeout,
        num_indirect_probes: at_least_one(INDIRECT_PROBES),
        max_transmissions: max_transmissions(members),
        suspect_to_down_after: suspicion_timeout(timing, members),
        remove_down_after: Some(timing.retention),
        max_packet_size: at_least_one(max_message_bytes),
        notify_down_members: true,
        periodic_announce: periodic(FULL_SYNC_INTERVAL, FULL_SYNC_FANOUT),
        periodic_announce_to_down_members: periodic(timing.reconnect_interval, RECONNECT_FANOUT),
        periodic_gossip: periodic(timing.gossip_interval, GOSSIP_FANOUT),
    }
}

/// Decides when a suspected member has failed: returns the time that it has to refute the
/// suspicion.
///
/// Inputs: the configured timeout; the number of members, this one included.
/// Reason: gossip takes longer in a larger fleet, and the suspicion and its refutation must reach
/// all members in time.
/// Source: SWIM (Das, Gupta and Motivala, 2002), section 4.2; Lifeguard for the logarithm.
pub(super) fn suspicion_timeout(timing: &Timing, members: usize) -> Duration {
    let factor = (members as f64).log10().max(MIN_SUSPICION_FACTOR);
    let millis = whole_millis(timing.suspicion_timeout) as f64 * factor;
    Duration::from_millis(millis as u64)
}

/// Returns the number of transmissions of each update. An update reaches all members if this number
/// grows with the logarithm of the number of members (SWIM, section 4.1).
fn max_transmissions(members: usize) -> NonZeroU8 {
    let digits = ((members + 1) as f64).log10();
    let transmissions = (digits * TRANSMISSIONS_PER_DIGIT).ceil();
    let bounded = transmissions.clamp(MIN_TRANSMISSIONS, MAX_TRANSMISSIONS) as u8;
    NonZeroU8::new(bounded).unwrap_or(NonZeroU8::MIN)
}

fn periodic(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency, num_members: at_least_one(members) })
}

fn at_least_one(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
