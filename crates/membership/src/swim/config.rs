//! The configuration of `foca`, which depends on the number of members. See [`for_members`].

use crate::settings::Timing;
use foca::{Config, PeriodicParams};
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;

/// Members that are asked to probe one that does not answer.
const INDIRECT_PROBES: usize = 3;
/// Members to which updates are gossiped at a time.
const GOSSIP_FANOUT: usize = 3;
/// How often one member is asked for all that it knows: it mends what no gossip brought.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(2);
/// Failed members that are asked again at a time.
const REUNION_FANOUT: usize = 2;

/// The configuration for a fleet of so many members, this one included. `max_message` is in bytes.
pub(super) fn for_members(timing: &Timing, max_message: usize, members: usize) -> Config {
    let digits = ((members + 1) as f64).log10();
    // Updates reach all when each is sent a number of times that grows with the logarithm (SWIM,
    // section 4.1).
    let max_transmissions = (digits * 6.0).ceil().clamp(12.0, 30.0) as u8;
    let suspicion = timing.suspicion as f64 * (members as f64).log10().max(1.0);
    let reunion = Duration::from_millis(timing.reunion);
    let gossip = Duration::from_millis(timing.gossip);
    Config {
        probe_period: Duration::from_millis(timing.period),
        probe_rtt: Duration::from_millis(timing.answer),
        num_indirect_probes: at_least_one(INDIRECT_PROBES),
        max_transmissions: NonZeroU8::new(max_transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_millis(suspicion as u64),
        remove_down_after: Some(Duration::from_millis(timing.forget)),
        max_packet_size: at_least_one(max_message),
        notify_down_members: true,
        periodic_announce: periodic(FULL_SYNC_INTERVAL, 1),
        periodic_announce_to_down_members: periodic(reunion, REUNION_FANOUT),
        periodic_gossip: periodic(gossip, GOSSIP_FANOUT),
    }
}

fn periodic(frequency: Duration, members: usize) -> Option<PeriodicParams> {
    Some(PeriodicParams { frequency, num_members: at_least_one(members) })
}

fn at_least_one(number: usize) -> NonZeroUsize {
    NonZeroUsize::new(number).unwrap_or(NonZeroUsize::MIN)
}
