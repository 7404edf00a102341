//! One trial: a fleet in simulated time, its faults, and what is measured. Read [`Trial`] first.

use hdrhistogram::Histogram;
use pinetrail_membership::{MemberState, Membership, MembershipEvent};
use pinetrail_simulation::fleet::{member_settings, Fleet, Member, ObservedEvent, BRIEF_PAUSES};
use pinetrail_simulation::heartbeats::Heartbeats;
use pinetrail_simulation::Time;
use serde::Serialize;

/// What a trial is about.
#[derive(Clone, Copy, Debug)]
pub(super) enum TrialKind {
    /// Members die, one after the other.
    Deaths { heartbeats: bool, deaths: usize },
    /// No member dies; datagrams are lost and members are paused.
    FalseAlarms { heartbeats: bool, loss: u8, minutes: u64 },
}

/// A trial.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub members: usize,
    pub kind: TrialKind,
    pub seed: u64,
}

/// Times in ms.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct TimeSummary {
    pub p50: u64,
    pub p99: u64,
    pub worst: u64,
    pub count: u64,
}

/// When the other members knew of deaths.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct DetectionTimes {
    pub first: TimeSummary,
    pub last: TimeSummary,
    /// Deaths of which not all the others knew within a minute.
    pub missed: usize,
}

/// False alarms: members declared failed that were alive.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct FalseAlarms {
    pub loss: u8,
    pub hours: f64,
    /// Members declared failed by at least one other, counted once for each alarm.
    pub members_failed: usize,
}

/// The figures of a trial.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Outcome {
    pub members: usize,
    pub heartbeats: bool,
    /// The time from the last start until all members knew of all, to the second; none if it was
    /// longer than three minutes.
    pub met_within_ms: Option<u64>,
    pub known: Option<DetectionTimes>,
    pub alarms: Option<FalseAlarms>,
    /// Bytes and datagrams that each member sent, on average.
    pub bytes_per_s: f64,
    pub datagrams_per_s: f64,
    #[serde(skip)]
    pub digest: u32,
}

/// The members that the others join through.
const JOIN_PEERS: [usize; 3] = [0, 1, 2];
/// How long a fleet has to join.
const MAX_JOIN_TIME_MS: Time = 180_000;
/// The period of the baseline. With its timeout it detects a death about as fast as SWIM does in a
/// fleet of five.
const HEARTBEAT_PERIOD_MS: Time = 500;
/// A member of the baseline that is silent for longer counts as failed.
const HEARTBEAT_TIMEOUT_MS: Time = 2_000;
/// Reports of one member's failure within this time count as one alarm.
const SAME_ALARM_MS: Time = 20_000;

/// The datagrams that all members have received so far.
#[derive(Clone, Copy)]
struct Traffic {
    at: Time,
    datagrams: u64,
    bytes: u64,
}

impl Traffic {
    fn of<M: Member>(fleet: &Fleet<M>) -> Traffic {
        let mut traffic = Traffic { at: fleet.now(), datagrams: 0, bytes: 0 };
        for (datagrams, bytes) in &fleet.received {
            traffic.datagrams += *datagrams;
            traffic.bytes += *bytes;
        }
        traffic
    }
}

/// The measurements of a fleet whose members have joined.
struct Measurements {
    before: Traffic,
    after: Traffic,
    known: Option<DetectionTimes>,
    alarms: Option<FalseAlarms>,
    digest: u32,
}

impl Trial {
    /// Plays it.
    pub(super) fn play(&self) -> Outcome {
        let heartbeats = match self.kind {
            TrialKind::Deaths { heartbeats, .. } | TrialKind::FalseAlarms { heartbeats, .. } => heartbeats,
        };
        if heartbeats {
            self.play_heartbeats()
        } else {
            self.play_membership()
        }
    }

    /// Plays it with the baseline: heartbeats between all pairs.
    fn play_heartbeats(&self) -> Outcome {
        let members = self.members;
        let start = |host: usize, fleet: &mut Fleet<Heartbeats>| {
            fleet.start(host, |_, _, now| {
                Heartbeats::new(host, members, HEARTBEAT_PERIOD_MS, HEARTBEAT_TIMEOUT_MS, now)
            });
        };
        let mut fleet = Fleet::new(members, self.seed);
        for host in 0..members {
            start(host, &mut fleet);
        }
        fleet.run(5_000);
        let measurements = self.observe(fleet, start);
        self.outcome(true, None, measurements)
    }

    /// Plays it with the membership as it runs in service.
    fn play_membership(&self) -> Outcome {
        let peers = &JOIN_PEERS[..JOIN_PEERS.len().min(self.members)];
        let size = self.members.max(peers.len() + 1);
        let start = |host: usize, fleet: &mut Fleet<Membership>| {
            fleet.start_member_with(host, member_settings(host, size, peers));
        };
        let mut fleet: Fleet<Membership> = Fleet::new(self.members, self.seed);
        for host in 0..self.members {
            start(host, &mut fleet);
            // Members start one after the other, as in a release.
            fleet.run(10);
        }
        let met_within_ms = self.wait_until_joined(&mut fleet);
        let measurements = self.observe(fleet, start);
        self.outcome(false, met_within_ms, measurements)
    }

    /// Waits until all members know of all; returns how long it took, or none if it took too long.
    fn wait_until_joined(&self, fleet: &mut Fleet<Membership>) -> Option<u64> {
        let all: Vec<usize> = (0..self.members).collect();
        let start = fleet.now();
        // The check costs more than the simulation, so it is made rarely.
        while !fleet.all_agree(&all) && fleet.now() < start + MAX_JOIN_TIME_MS {
            fleet.run(1_000);
        }
        fleet.all_agree(&all).then(|| fleet.now() - start)
    }

    fn outcome(&self, heartbeats: bool, met_within_ms: Option<u64>, measurements: Measurements) -> Outcome {
        let Measurements { before, after, known, alarms, digest } = measurements;
        let seconds = (after.at - before.at) as f64 / 1000.0 * self.members as f64;
        Outcome {
            members: self.members,
            heartbeats,
            met_within_ms,
            known,
            alarms,
            bytes_per_s: (after.bytes - before.bytes) as f64 / seconds,
            datagrams_per_s: (after.datagrams - before.datagrams) as f64 / seconds,
            digest,
        }
    }

    fn observe<M: Member>(
        &self,
        mut fleet: Fleet<M>,
        restart: impl Fn(usize, &mut Fleet<M>),
    ) -> Measurements {
        fleet.run(15_000);
        fleet.observed.clear();
        let before = Traffic::of(&fleet);
        let mut digest = 0;
        match self.kind {
            TrialKind::Deaths { deaths, .. } => {
                // The traffic of a fleet without faults, before the first death.
                fleet.run(30_000);
                let after = Traffic::of(&fleet);
                let known = self.observe_deaths(&mut fleet, deaths, &mut digest, &restart);
                Measurements { before, after, known: Some(known), alarms: None, digest }
            }
            TrialKind::FalseAlarms { loss, minutes, .. } => {
                let members_failed = self.observe_alarms(&mut fleet, loss, minutes, &mut digest);
                let after = Traffic::of(&fleet);
                let alarms = FalseAlarms { loss, hours: minutes as f64 / 60.0, members_failed };
                Measurements { before, after, known: None, alarms: Some(alarms), digest }
            }
        }
    }

    /// The number of false alarms under loss and brief pauses.
    fn observe_alarms<M: Member>(
        &self,
        fleet: &mut Fleet<M>,
        loss: u8,
        minutes: u64,
        digest: &mut u32,
    ) -> usize {
        fleet.network.loss = f64::from(loss) / 100.0;
        fleet.pauses = Some(BRIEF_PAUSES);
        fleet.start_pauses();
        let mut members_failed = 0;
        let mut failed_at = vec![None; self.members];
        for _ in 0..minutes * 6 {
            fleet.run(10_000);
            *digest = extend_digest(*digest, &fleet.observed);
            for observed in std::mem::take(&mut fleet.observed) {
                let Some(member) = failed_member(&observed) else { continue };
                // All other members report the same false alarm, which counts once.
                let is_new = failed_at[member].is_none_or(|at| at + SAME_ALARM_MS < observed.at);
                members_failed += usize::from(is_new);
                failed_at[member] = Some(observed.at);
            }
        }
        members_failed
    }

    fn observe_deaths<M: Member>(
        &self,
        fleet: &mut Fleet<M>,
        deaths: usize,
        digest: &mut u32,
        restart: &impl Fn(usize, &mut Fleet<M>),
    ) -> DetectionTimes {
        let mut first = Vec::new();
        let mut last = Vec::new();
        let mut missed = 0;
        for n in 0..deaths {
            // Every member has its turn, those that the others joined through included.
            let dead = (n * 7 + 1) % self.members;
            let times = self.observe_death(fleet, dead, digest);
            missed += usize::from(times.len() < self.members - 1);
            first.extend(times.iter().min());
            last.extend(times.iter().max());
            restart(dead, fleet);
            // The time differs, so that deaths fall anywhere in a protocol period.
            fleet.run(15_000 + n as u64 * 37);
        }
        DetectionTimes { first: summarize(&first), last: summarize(&last), missed }
    }

    /// Kills one member. Returns how many ms later each of the others knew of it, for those that
    /// did.
    fn observe_death<M: Member>(&self, fleet: &mut Fleet<M>, dead: usize, digest: &mut u32) -> Vec<u64> {
        fleet.observed.clear();
        let killed_at = fleet.now();
        fleet.kill(dead);
        let mut known_after = vec![None; self.members];
        for _ in 0..600 {
            fleet.run(100);
            *digest = extend_digest(*digest, &fleet.observed);
            for observed in std::mem::take(&mut fleet.observed) {
                if failed_member(&observed) == Some(dead) {
                    known_after[observed.host].get_or_insert(observed.at - killed_at);
                }
            }
            if known_after.iter().flatten().count() == self.members - 1 {
                break;
            }
        }
        known_after.into_iter().flatten().collect()
    }
}

/// An event as text.
pub(super) fn event_text(event: &MembershipEvent) -> String {
    match event {
        MembershipEvent::MemberChanged { record, .. } => {
            format!("{} {} (incarnation {})", record.name, record.state, record.incarnation)
        }
        MembershipEvent::PartitionSide(side) => format!("side {side}"),
        MembershipEvent::Paused(pause) => format!("Paused({})", pause.as_millis()),
        other => format!("{other:?}"),
    }
}

/// The member that an event declares failed, if it is such an event.
fn failed_member(observed: &ObservedEvent) -> Option<usize> {
    match &observed.event {
        MembershipEvent::MemberChanged { record, .. } if record.state == MemberState::Failed => {
            record.name.trim_start_matches('n').parse().ok()
        }
        _ => None,
    }
}

/// Extends a digest by these events.
fn extend_digest(mut digest: u32, observed: &[ObservedEvent]) -> u32 {
    for event in observed {
        digest = crc32c::crc32c_append(digest, digest_input(event).as_bytes());
    }
    digest
}

/// The text of an event of which digests were recorded: durations in it are in ms.
fn digest_input(observed: &ObservedEvent) -> String {
    let ObservedEvent { at, host, event } = observed;
    let event = match event {
        MembershipEvent::Paused(pause) => format!("Paused({})", pause.as_millis()),
        other => format!("{other:?}"),
    };
    format!("ObservedEvent {{ at: {at}, host: {host}, event: {event} }}")
}

fn summarize(times: &[u64]) -> TimeSummary {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are possible");
    for time in times {
        histogram.record(*time).expect("it grows as needed");
    }
    TimeSummary {
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        worst: times.iter().copied().max().unwrap_or(0),
        count: times.len() as u64,
    }
}

/// Merges the parts of long trials.
pub(super) fn merge_parts(outcomes: Vec<Outcome>) -> Vec<Outcome> {
    let mut merged: Vec<Outcome> = Vec::new();
    for outcome in outcomes {
        let same = |other: &&mut Outcome| {
            (other.members, other.heartbeats) == (outcome.members, outcome.heartbeats)
                && other.alarms.zip(outcome.alarms).is_some_and(|(a, b)| a.loss == b.loss)
        };
        match (merged.iter_mut().find(same), outcome.alarms) {
            (Some(Outcome { alarms: Some(before), .. }), Some(part)) => {
                before.hours += part.hours;
                before.members_failed += part.members_failed;
            }
            _ => merged.push(outcome),
        }
    }
    merged
}

#[cfg(test)]
mod tests;
