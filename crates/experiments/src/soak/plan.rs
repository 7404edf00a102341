//! The faults of a soak, which are derived from a seed: [`Plan`].

use super::{HOLD_UP_DURATION, NODES, TERM_TO_KILL};
use clap::ValueEnum;
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::time::Duration;

/// The kinds of faults that are played. CI plays fixed seeds of the standard mix, so the faults of
/// its seeds must not change.
#[derive(Clone, Copy, Debug, PartialEq, Eq, ValueEnum)]
pub(super) enum FaultMix {
    /// Hold-ups, reloads, restarts, kills, drains and outages of discovery, and in some seeds
    /// crowds of idle clients.
    Standard,
    /// The standard faults, and also series of signals after which a process ends on its own, a
    /// crowd in one seed of four, and hold-ups in pairs: at the arrival of requests with long
    /// timeouts, and when their responses are planned. Backends complete some responses late, and
    /// clients write some commands slowly.
    Wide,
    /// The wide faults, and an upgrade whose older process is held up while other clients send the
    /// ids of open writes. The origin states some lengths that are too short, and nodes give some
    /// long values slowly, of which some have a read behind them on their client's connection.
    Upgrades,
}

impl FaultMix {
    /// Returns whether the mix has the faults of [`FaultMix::Wide`].
    pub(super) fn is_wide(self) -> bool {
        self != FaultMix::Standard
    }

    /// Returns whether the mix has the faults of [`FaultMix::Upgrades`].
    pub(super) fn has_upgrades(self) -> bool {
        self == FaultMix::Upgrades
    }
}

/// A fault of a proxy or of a cache node, by its number, or of discovery.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Fault {
    /// A proxy is stopped for [`HOLD_UP_DURATION`].
    HoldUp(usize),
    /// A proxy loads three configurations in a row, the second of which is invalid.
    Reload(usize),
    /// A proxy is sent SIGTERM, further signals and SIGKILL, and is started again.
    Restart(usize),
    /// A proxy is sent SIGKILL without SIGTERM, and is started again.
    Kill(usize),
    /// A proxy is sent a series of signals that ends with SIGTERM, ends on its own, and is started
    /// again.
    SignalSeries(usize),
    /// A second process takes over from a proxy, which is held up meanwhile and then sent SIGTERM.
    Upgrade(usize),
    /// A cache node is listed as draining.
    Drain(usize),
    /// A cache node that was draining is listed as ready again.
    Undrain(usize),
    /// Discovery ends its watches and does not respond.
    DiscoveryDown,
    /// Discovery responds again.
    DiscoveryUp,
    /// A crowd of idle clients uses up the descriptors of a proxy.
    Crowd(usize),
}

impl Fault {
    /// Returns the duration of the fault. The next fault begins after it, because two hold-ups
    /// without a break would be one that is longer than a proxy must tolerate.
    fn duration(self) -> Duration {
        match self {
            Fault::HoldUp(_) => HOLD_UP_DURATION,
            Fault::Restart(_) | Fault::SignalSeries(_) => TERM_TO_KILL,
            _ => Duration::ZERO,
        }
    }
}

/// The proxies and the faults of one seed.
#[derive(Clone, Debug)]
pub(super) struct Plan {
    /// The seed from which the plan is derived.
    pub seed: u64,
    /// The mix from which the faults were drawn.
    pub mix: FaultMix,
    /// The number of proxies.
    pub proxies: usize,
    /// The time for which clients send requests.
    pub duration: Duration,
    /// The faults in the order of time, each with its planned time. A fault delays the next one
    /// until it is over.
    pub faults: Vec<(Duration, Fault)>,
    /// The numbers of proxies and of faults of each kind, for the report.
    pub summary: String,
}

/// The time without faults at the beginning of a run, in which the proxies start to serve.
const FAULT_FREE_START: Duration = Duration::from_millis(500);
/// The time at the end of a run in which no fault is drawn.
const FAULT_FREE_END: Duration = Duration::from_millis(500);
/// The duration of an outage of discovery.
const OUTAGE_DURATION: Duration = Duration::from_millis(1200);
/// The time for which a cache node is listed as draining.
const DRAIN_DURATION: Duration = Duration::from_millis(3500);

impl Plan {
    /// Derives the plan of a seed.
    pub(super) fn from_seed(seed: u64, duration: Duration, mix: FaultMix) -> Plan {
        let mut rng = StdRng::seed_from_u64(seed);
        let proxies = rng.random_range(3..=5);
        let has_crowd = rng.random_ratio(1, 4);
        let mut faults = Vec::new();
        let mut at = FAULT_FREE_START;
        let mut drained = None;
        while at < duration.saturating_sub(FAULT_FREE_END) {
            let proxy = rng.random_range(0..proxies);
            let fault = match rng.random_range(0..100) {
                0..=59 => Fault::HoldUp(proxy),
                60..=69 => Fault::Reload(proxy),
                70..=79 => Fault::Restart(proxy),
                80..=83 => Fault::Kill(proxy),
                84..=89 if drained.is_none() => {
                    let node = rng.random_range(0..NODES);
                    drained = Some((at + DRAIN_DURATION, node));
                    Fault::Drain(node)
                }
                90..=93 => Fault::DiscoveryDown,
                94..=97 if has_crowd => Fault::Crowd(proxy),
                _ => Fault::HoldUp(proxy),
            };
            faults.push((at, fault));
            if fault == Fault::DiscoveryDown {
                faults.push((at + OUTAGE_DURATION, Fault::DiscoveryUp));
            }
            at += fault.duration() + Duration::from_millis(rng.random_range(60..300));
            if let Some((until, node)) = drained.filter(|(until, _)| at >= *until) {
                faults.push((until.max(at), Fault::Undrain(node)));
                drained = None;
            }
        }
        if mix.is_wide() {
            // Drawn after the standard faults, so that the standard faults of a seed are drawn
            // alike in both mixes.
            add_wide_faults(&mut faults, &mut rng, proxies);
        }
        if mix.has_upgrades() {
            faults.push((FAULT_FREE_START, Fault::Upgrade(rng.random_range(0..proxies))));
        }
        faults.sort_by_key(|(at, _)| *at);
        let summary = summarize(proxies, &faults);
        Plan { seed, mix, proxies, duration, faults, summary }
    }
}

/// The time in ms from the beginning of the first hold-up of a pair until the second begins.
/// Proxies then plan the responses to requests with timeouts of 800 and 900 ms that arrived in the
/// first.
const PAIR_OFFSET_MS: std::ops::RangeInclusive<u64> = 600..=820;

/// Replaces half of the restarts by series of signals, adds a second hold-up to half of the
/// hold-ups, and adds a crowd in one seed of four.
fn add_wide_faults(faults: &mut Vec<(Duration, Fault)>, rng: &mut StdRng, proxies: usize) {
    for (_, fault) in faults.iter_mut() {
        if let Fault::Restart(proxy) = *fault {
            if rng.random_bool(0.5) {
                *fault = Fault::SignalSeries(proxy);
            }
        }
    }
    let hold_ups: Vec<(Duration, Fault)> =
        faults.iter().filter(|(_, fault)| matches!(fault, Fault::HoldUp(_))).copied().collect();
    for (at, fault) in hold_ups {
        if rng.random_bool(0.5) {
            faults.push((at + Duration::from_millis(rng.random_range(PAIR_OFFSET_MS)), fault));
        }
    }
    if rng.random_ratio(1, 4) {
        let last = faults.last().map_or(FAULT_FREE_START, |(at, _)| *at);
        let at = rng.random_range(FAULT_FREE_START..=last.max(FAULT_FREE_START));
        faults.push((at, Fault::Crowd(rng.random_range(0..proxies))));
    }
}

fn summarize(proxies: usize, faults: &[(Duration, Fault)]) -> String {
    let count = |is_kind: fn(&Fault) -> bool| faults.iter().filter(|(_, fault)| is_kind(fault)).count();
    format!(
        "{proxies} proxies, {} hold-ups, {} reloads, {} restarts, {} kills, {} drains, {} outages, {} crowds, {} signal series, {} upgrades",
        count(|fault| matches!(fault, Fault::HoldUp(_))),
        count(|fault| matches!(fault, Fault::Reload(_))),
        count(|fault| matches!(fault, Fault::Restart(_))),
        count(|fault| matches!(fault, Fault::Kill(_))),
        count(|fault| matches!(fault, Fault::Drain(_))),
        count(|fault| matches!(fault, Fault::DiscoveryDown)),
        count(|fault| matches!(fault, Fault::Crowd(_))),
        count(|fault| matches!(fault, Fault::SignalSeries(_))),
        count(|fault| matches!(fault, Fault::Upgrade(_))),
    )
}
