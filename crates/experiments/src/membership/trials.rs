//! Plays a trial: simulates a fleet and its faults, and measures detection times, false alarms and
//! traffic. Read [`Trial`] first.

use hdrhistogram::Histogram;
use pinetrail_membership::{MemberState, Membership, MembershipEvent};
use pinetrail_simulation::fleet::{member_settings, Fleet, Member, ObservedEvent, BRIEF_PAUSES};
use pinetrail_simulation::heartbeats::Heartbeats;
use pinetrail_simulation::Time;
use serde::Serialize;

/// The faults and the measurement of a trial.
#[derive(Clone, Copy, Debug)]
pub(super) enum TrialKind {
    /// Members crash one after the other, and detection times are measured.
    Deaths { heartbeats: bool, deaths: usize },
    /// No member crashes. Datagrams are lost, members are paused, and false alarms are counted.
    FalseAlarms { heartbeats: bool, loss: u8, minutes: u64 },
}

/// A fleet to simulate, with its faults and its seed. The same trial gives the same outcome.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub members: usize,
    pub kind: TrialKind,
    pub seed: u64,
}

/// A summary of times in ms.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct TimeSummary {
    pub p50: u64,
    pub p99: u64,
    pub worst: u64,
    pub count: u64,
}

/// The times from crashes until the first and the last of the other members detected them.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct DetectionTimes {
    pub first: TimeSummary,
    pub last: TimeSummary,
    /// The number of crashes that not all other members detected within a minute.
    pub missed: usize,
}

/// The false alarms of a trial: live members that were declared failed.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct FalseAlarms {
    pub loss: u8,
    pub hours: f64,
    /// The number of false alarms. A member that several others declare failed at the same time
    /// counts once.
    pub members_failed: usize,
}

/// The measured figures of a trial.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Outcome {
    pub members: usize,
    pub heartbeats: bool,
    /// The time from the last start until all members knew of all, rounded up to seconds; none if
    /// this took longer than three minutes.
    pub met_within_ms: Option<u64>,
    pub known: Option<DetectionTimes>,
    pub alarms: Option<FalseAlarms>,
    /// The mean number of bytes that each member sent per second.
    pub bytes_per_s: f64,
    /// The mean number of datagrams that each member sent per second.
    pub datagrams_per_s: f64,
    #[serde(skip)]
    pub digest: u32,
}

/// The members that all others contact to join.
const JOIN_PEERS: [usize; 3] = [0, 1, 2];
/// The time after which a fleet counts as not joined.
const MAX_JOIN_TIME_MS: Time = 180_000;
/// The interval of the baseline's heartbeats. With [`HEARTBEAT_TIMEOUT_MS`] the baseline detects a
/// crash about as fast as SWIM does in a fleet of five.
const HEARTBEAT_PERIOD_MS: Time = 500;
/// The time of silence after which the baseline declares a member failed.
const HEARTBEAT_TIMEOUT_MS: Time = 2_000;
/// The time within which reports of one member's failure count as one false alarm.
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
    /// Simulates the fleet of the trial and returns its figures.
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

    /// Simulates the baseline: heartbeats between all pairs.
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

    /// Simulates the membership as it runs in service.
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

    /// Waits until all members know all others; returns how long this took, or none after
    /// [`MAX_JOIN_TIME_MS`].
    fn wait_until_joined(&self, fleet: &mut Fleet<Membership>) -> Option<u64> {
        let all: Vec<usize> = (0..self.members).collect();
        let start = fleet.now();
        // The check costs more than the simulation, so it runs only once a simulated second.
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
                // The traffic of a fleet without faults, before the first crash.
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

    /// Counts the false alarms under loss and brief pauses.
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
                // All other members report the same false alarm, so it must count once.
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
            // The members that the others joined through crash as well.
            let dead = (n * 7 + 1) % self.members;
            let times = self.observe_death(fleet, dead, digest);
            missed += usize::from(times.len() < self.members - 1);
            first.extend(times.iter().min());
            last.extend(times.iter().max());
            restart(dead, fleet);
            // The interval varies, so that crashes fall anywhere in a protocol period.
            fleet.run(15_000 + n as u64 * 37);
        }
        DetectionTimes { first: summarize(&first), last: summarize(&last), missed }
    }

    /// Kills one member. Returns the detection time in ms of each other member that detected the
    /// crash.
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

/// Returns the text of an event in the log of a script.
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

/// Returns the member that an event declares failed, if any.
fn failed_member(observed: &ObservedEvent) -> Option<usize> {
    match &observed.event {
        MembershipEvent::MemberChanged { record, .. } if record.state == MemberState::Failed => {
            record.name.trim_start_matches('n').parse().ok()
        }
        _ => None,
    }
}

/// Extends a digest by the texts of events.
fn extend_digest(mut digest: u32, observed: &[ObservedEvent]) -> u32 {
    for event in observed {
        digest = crc32c::crc32c_append(digest, digest_input(event).as_bytes());
    }
    digest
}

/// Returns the text of an event that goes into digests. Durations are in ms, so that digests can be
/// compared with earlier ones.
fn digest_input(observed: &ObservedEvent) -> String {
    let ObservedEvent { at, host, event } = observed;
    let event = match event {
        MembershipEvent::Paused(pause) => format!("Paused({})", pause.as_millis()),
        other => format!("{other:?}"),
    };
    format!("ObservedEvent {{ at: {at}, host: {host}, event: {event} }}")
}

fn summarize(times: &[u64]) -> TimeSummary {
    let mut histogram = Histogram::<u64>::new(3).expect("three significant digits are valid");
    for time in times {
        histogram.record(*time).expect("the histogram resizes itself");
    }
    TimeSummary {
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        worst: times.iter().copied().max().unwrap_or(0),
        count: times.len() as u64,
    }
}

/// Merges the outcomes of the parts of long trials.
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
