//! What happens to the proxies of a day, and when.

use super::{Day, Event, START_OF_EVENT};
use rand::rngs::StdRng;
use rand::seq::SliceRandom;

/// What happens to proxies, by their numbers.
#[derive(Clone, Copy, Debug)]
pub(super) enum Fault {
    /// One is asked to end.
    Leave(usize),
    /// One dies.
    Die(usize),
    /// One is there again.
    Return(usize),
    /// The fleet is partitioned into halves.
    Partition,
    /// The partition ends.
    Heal,
}

/// A fault and when it happens.
#[derive(Clone, Copy, Debug)]
pub(super) struct ScriptStep {
    /// In ms from the day's beginning.
    pub(super) at: u64,
    pub(super) fault: Fault,
}

/// How long a crashed proxy is away, in ms.
const CRASH_LASTS: u64 = 40_000;
/// Within which time the proxies of a release end, one after the other, in ms.
const RELEASE_LASTS: u64 = 20_000;
/// When those of a release are there again, in ms after its beginning.
const RELEASE_RETURNS: u64 = 45_000;
/// How long after it was asked a proxy has ended, in ms.
const LEAVING_LASTS: u64 = 2_000;
/// How long the fleet is partitioned, in ms.
const PARTITION_LASTS: u64 = 6_000;

/// The steps of a day, in the order of time.
pub(super) fn steps(day: &Day, rng: &mut StdRng) -> Vec<ScriptStep> {
    let mut all: Vec<usize> = (0..day.proxies).collect();
    all.shuffle(rng);
    let seven_in_ten = &all[..day.proxies * 7 / 10];
    match day.event {
        Event::Release => releases(seven_in_ten, LEAVING_LASTS),
        Event::Deaths => releases(seven_in_ten, 0),
        Event::Crash => crash(seven_in_ten),
        Event::Zone => {
            let zone: Vec<usize> = (0..day.proxies).filter(|proxy| proxy % 3 == 0).collect();
            crash(&zone)
        }
        Event::Cut => vec![
            ScriptStep { at: START_OF_EVENT, fault: Fault::Partition },
            ScriptStep { at: START_OF_EVENT + PARTITION_LASTS, fault: Fault::Heal },
        ],
    }
}

/// All of these die at once, and return later.
fn crash(proxies: &[usize]) -> Vec<ScriptStep> {
    let death = |proxy: &usize| ScriptStep { at: START_OF_EVENT, fault: Fault::Die(*proxy) };
    let back = START_OF_EVENT + CRASH_LASTS;
    let return_of = |proxy: &usize| ScriptStep { at: back, fault: Fault::Return(*proxy) };
    proxies.iter().map(death).chain(proxies.iter().map(return_of)).collect()
}

/// These end one after the other, so many ms after they were asked, or unasked for 0.
fn releases(proxies: &[usize], leaving_lasts: u64) -> Vec<ScriptStep> {
    let interval = RELEASE_LASTS / proxies.len() as u64;
    let mut steps = Vec::new();
    if leaving_lasts > 0 {
        for (nth, proxy) in proxies.iter().enumerate() {
            let at = START_OF_EVENT + nth as u64 * interval;
            steps.push(ScriptStep { at, fault: Fault::Leave(*proxy) });
        }
    }
    for (nth, proxy) in proxies.iter().enumerate() {
        let at = START_OF_EVENT + nth as u64 * interval + leaving_lasts;
        steps.push(ScriptStep { at, fault: Fault::Die(*proxy) });
    }
    for proxy in proxies {
        steps.push(ScriptStep { at: START_OF_EVENT + RELEASE_RETURNS, fault: Fault::Return(*proxy) });
    }
    steps.sort_by_key(|step| step.at);
    steps
}
