//! The faults of a scenario and their times: [`steps`].

use super::{Event, Scenario, START_OF_EVENT_MS};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// A fault of one proxy, which is given by its number from 0, or of the network.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// A proxy begins a graceful shutdown.
    Shutdown(usize),
    /// A proxy ends: it crashes, or its graceful shutdown is complete.
    Crash(usize),
    /// A proxy starts again.
    Restart(usize),
    /// The network between the proxies is partitioned into halves.
    Partition,
    /// The partition ends.
    Heal,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScriptStep {
    /// The time in ms from the beginning of the scenario.
    pub(super) at: u64,
    pub(super) fault: Fault,
}

/// The time from a crash of many proxies until they restart.
const CRASH_DURATION_MS: u64 = 40_000;
/// The time within which the proxies of a release end one after the other.
const RELEASE_DURATION_MS: u64 = 20_000;
/// The time from the beginning of a release until its proxies restart.
const RELEASE_RETURN_MS: u64 = 45_000;
/// The duration of a graceful shutdown.
const SHUTDOWN_DURATION_MS: u64 = 2_000;
/// The duration of a partition.
const PARTITION_DURATION_MS: u64 = 6_000;

/// Returns the steps of a scenario in the order of time.
pub(super) fn steps(scenario: &Scenario, rng: &mut StdRng) -> Vec<ScriptStep> {
    let mut all: Vec<usize> = (0..scenario.proxies).collect();
    all.shuffle(rng);
    let seven_in_ten = &all[..scenario.proxies * 7 / 10];
    match scenario.event {
        Event::Release => releases(seven_in_ten, SHUTDOWN_DURATION_MS),
        Event::Deaths => releases(seven_in_ten, 0),
        Event::Crash => crash(seven_in_ten),
        Event::Zone => {
            let zone: Vec<usize> = (0..scenario.proxies).filter(|proxy| proxy % 3 == 0).collect();
            crash(&zone)
        }
        Event::Cut => vec![
            ScriptStep { at: START_OF_EVENT_MS, fault: Fault::Partition },
            ScriptStep { at: START_OF_EVENT_MS + PARTITION_DURATION_MS, fault: Fault::Heal },
        ],
    }
}

/// Returns the steps of a crash of all these proxies at once, and of their restart.
fn crash(proxies: &[usize]) -> Vec<ScriptStep> {
    let crash_of = |proxy: &usize| ScriptStep { at: START_OF_EVENT_MS, fault: Fault::Crash(*proxy) };
    let restart_at = START_OF_EVENT_MS + CRASH_DURATION_MS;
    let restart_of = |proxy: &usize| ScriptStep { at: restart_at, fault: Fault::Restart(*proxy) };
    proxies.iter().map(crash_of).chain(proxies.iter().map(restart_of)).collect()
}

/// Returns the steps in which these proxies end one after the other and restart. They end by a
/// graceful shutdown of this duration, or by a crash if the duration is 0.
fn releases(proxies: &[usize], shutdown_duration_ms: u64) -> Vec<ScriptStep> {
    let interval = RELEASE_DURATION_MS / proxies.len() as u64;
    let mut steps = Vec::new();
    if shutdown_duration_ms > 0 {
        for (nth, proxy) in proxies.iter().enumerate() {
            let at = START_OF_EVENT_MS + nth as u64 * interval;
            steps.push(ScriptStep { at, fault: Fault::Shutdown(*proxy) });
        }
    }
    for (nth, proxy) in proxies.iter().enumerate() {
        let at = START_OF_EVENT_MS + nth as u64 * interval + shutdown_duration_ms;
        steps.push(ScriptStep { at, fault: Fault::Crash(*proxy) });
    }
    for proxy in proxies {
        steps.push(ScriptStep { at: START_OF_EVENT_MS + RELEASE_RETURN_MS, fault: Fault::Restart(*proxy) });
    }
    steps.sort_by_key(|step| step.at);
    steps
}
