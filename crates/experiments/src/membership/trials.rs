//! One trial: a fleet in simulated time, what happens to it, and what is seen.

use hdrhistogram::Histogram;
use pinetrail_membership::{Membership, MembershipEvent, State, Time};
use pinetrail_simulation::fleet::{member_settings, Fleet, Member, ObservedEvent, BRIEF_PAUSES};
use pinetrail_simulation::heartbeats::Heartbeats;
use serde::Serialize;

/// What a trial is about.
#[derive(Clone, Copy, Debug)]
pub(super) enum Kind {
    /// Members die, one after the other.
    Deaths { heartbeats: bool, deaths: usize },
    /// Nobody dies; datagrams are lost and members stand still.
    Alarms { heartbeats: bool, loss: u8, minutes: u64 },
}

/// A trial.
#[derive(Clone, Copy, Debug)]
pub(super) struct Trial {
    pub members: usize,
    pub kind: Kind,
    pub seed: u64,
}

/// Times in ms.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Times {
    pub p50: u64,
    pub p99: u64,
    pub worst: u64,
    pub count: u64,
}

/// When the others knew of deaths.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Known {
    pub first: Times,
    pub last: Times,
    /// Deaths of which not all the others knew within a minute.
    pub missed: usize,
}

/// Who was taken for failed without being so.
#[derive(Clone, Copy, Debug, Serialize)]
pub(super) struct Alarms {
    pub loss: u8,
    pub hours: f64,
    /// Members that somebody took for failed, counted once for each time that it began.
    pub members_failed: usize,
}

/// What a trial showed.
#[derive(Clone, Debug, Serialize)]
pub(super) struct Outcome {
    pub members: usize,
    pub heartbeats: bool,
    /// How long after the last start all knew of all, to the second; none if they did not in three minutes.
    pub met_within_ms: Option<u64>,
    pub known: Option<Known>,
    pub alarms: Option<Alarms>,
    /// Bytes and datagrams that each member sent, on average.
    pub bytes_per_s: f64,
    pub datagrams_per_s: f64,
    #[serde(skip)]
    pub digest: u32,
}

/// Members by way of which the others join.
const SEEDS: [usize; 3] = [0, 1, 2];
/// Until a fleet has met, in ms, at the most.
const MEETING: Time = 180_000;
/// Times of the baseline, chosen so that it notices a death about as fast at five members.
const BEAT: Time = 500;
const SILENCE: Time = 2_000;

impl Trial {
    /// Plays it.
    pub(super) fn play(&self) -> Outcome {
        let heartbeats = match self.kind {
            Kind::Deaths { heartbeats, .. } | Kind::Alarms { heartbeats, .. } => heartbeats,
        };
        let (members, seed) = (self.members, self.seed);
        if heartbeats {
            let mut fleet = Fleet::new(members, seed);
            for host in 0..members {
                fleet.start(host, |_, _, now| Heartbeats::new(host, members, BEAT, SILENCE, now));
            }
            fleet.run(5_000);
            self.watch(fleet, true, |host, fleet| {
                fleet.start(host, |_, _, now| Heartbeats::new(host, members, BEAT, SILENCE, now));
            })
        } else {
            let peers = &SEEDS[..SEEDS.len().min(members)];
            let mut fleet: Fleet<Membership> = Fleet::new(members, seed);
            for host in 0..members {
                fleet.start_member_with(host, member_settings(host, members.max(peers.len() + 1), peers));
                // A release starts them one after the other.
                fleet.run(10);
            }
            let all: Vec<usize> = (0..members).collect();
            let begun = fleet.now();
            // Asked rarely: the question costs more than the fleet does.
            while !fleet.all_agree(&all) && fleet.now() < begun + MEETING {
                fleet.run(1_000);
            }
            let met = fleet.all_agree(&all).then(|| fleet.now() - begun);
            Outcome {
                met_within_ms: met,
                ..self.watch(fleet, false, |host, fleet| {
                    fleet.start_member_with(host, member_settings(host, members.max(peers.len() + 1), peers));
                })
            }
        }
    }

    fn watch<M: Member>(
        &self,
        mut fleet: Fleet<M>,
        heartbeats: bool,
        restart: impl Fn(usize, &mut Fleet<M>),
    ) -> Outcome {
        fleet.run(15_000);
        fleet.observed.clear();
        let mut digest = 0;
        let (mut known, mut alarms) = (None, None);
        let sent =
            |fleet: &Fleet<M>| fleet.received.iter().fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let (before, from) = (sent(&fleet), fleet.now());
        match self.kind {
            Kind::Deaths { deaths, .. } => {
                // What a quiet fleet sends, before anybody dies.
                fleet.run(30_000);
                let quiet = (sent(&fleet), fleet.now());
                known = Some(self.deaths(&mut fleet, deaths, &mut digest, &restart));
                let seconds = (quiet.1 - from) as f64 / 1000.0 * self.members as f64;
                return Outcome {
                    members: self.members,
                    heartbeats,
                    met_within_ms: None,
                    known,
                    alarms,
                    bytes_per_s: (quiet.0 .1 - before.1) as f64 / seconds,
                    datagrams_per_s: (quiet.0 .0 - before.0) as f64 / seconds,
                    digest,
                };
            }
            Kind::Alarms { loss, minutes, .. } => {
                fleet.network.loss = f64::from(loss) / 100.0;
                fleet.pauses = Some(BRIEF_PAUSES);
                fleet.start_pauses();
                let mut members_failed = 0;
                let mut failed_at = vec![None; self.members];
                for _ in 0..minutes * 6 {
                    fleet.run(10_000);
                    digest = fold(digest, &fleet.observed);
                    for heard in std::mem::take(&mut fleet.observed) {
                        let Some(of) = failed(&heard) else { continue };
                        // Of one false alarm all the others hear: it counts once.
                        let is_new = failed_at[of].is_none_or(|at| at + 20_000 < heard.at);
                        members_failed += usize::from(is_new);
                        failed_at[of] = Some(heard.at);
                    }
                }
                alarms = Some(Alarms { loss, hours: minutes as f64 / 60.0, members_failed });
            }
        }
        let after = sent(&fleet);
        let seconds = (fleet.now() - from) as f64 / 1000.0 * self.members as f64;
        Outcome {
            members: self.members,
            heartbeats,
            met_within_ms: None,
            known,
            alarms,
            bytes_per_s: (after.1 - before.1) as f64 / seconds,
            datagrams_per_s: (after.0 - before.0) as f64 / seconds,
            digest,
        }
    }

    fn deaths<M: Member>(
        &self,
        fleet: &mut Fleet<M>,
        deaths: usize,
        digest: &mut u32,
        restart: &impl Fn(usize, &mut Fleet<M>),
    ) -> Known {
        let (mut first, mut last) = (Vec::new(), Vec::new());
        let mut missed = 0;
        for n in 0..deaths {
            // Everybody's turn comes, those by whom the others joined among them.
            let dead = (n * 7 + 1) % self.members;
            fleet.observed.clear();
            let died = fleet.now();
            fleet.kill(dead);
            let mut knows = vec![None; self.members];
            for _ in 0..600 {
                fleet.run(100);
                *digest = fold(*digest, &fleet.observed);
                for heard in std::mem::take(&mut fleet.observed) {
                    if failed(&heard) == Some(dead) {
                        knows[heard.host].get_or_insert(heard.at - died);
                    }
                }
                if knows.iter().flatten().count() == self.members - 1 {
                    break;
                }
            }
            let times: Vec<u64> = knows.iter().flatten().copied().collect();
            missed += usize::from(times.len() < self.members - 1);
            first.extend(times.iter().min());
            last.extend(times.iter().max());
            restart(dead, fleet);
            // Differently long, so that deaths fall anywhere in a period.
            fleet.run(15_000 + n as u64 * 37);
        }
        Known { first: summary(&first), last: summary(&last), missed }
    }
}

/// What was heard, in words.
pub(super) fn words(news: &MembershipEvent) -> String {
    match news {
        MembershipEvent::Member { entry, .. } => {
            format!("{} {} (incarnation {})", entry.name, entry.state, entry.incarnation)
        }
        MembershipEvent::PartitionSide(side) => format!("side {side}"),
        other => format!("{other:?}"),
    }
}

/// Whom somebody took for failed.
fn failed(heard: &ObservedEvent) -> Option<usize> {
    match &heard.event {
        MembershipEvent::Member { entry, .. } if entry.state == State::Failed => {
            entry.name.trim_start_matches('n').parse().ok()
        }
        _ => None,
    }
}

fn fold(digest: u32, heard: &[ObservedEvent]) -> u32 {
    heard.iter().fold(digest, |digest, heard| crc32c::crc32c_append(digest, format!("{heard:?}").as_bytes()))
}

fn summary(times: &[u64]) -> Times {
    let mut histogram = Histogram::<u64>::new(3).expect("three digits are possible");
    for time in times {
        histogram.record(*time).expect("it grows as needed");
    }
    Times {
        p50: histogram.value_at_quantile(0.5),
        p99: histogram.value_at_quantile(0.99),
        worst: times.iter().copied().max().unwrap_or(0),
        count: times.len() as u64,
    }
}

/// Puts the pieces of long trials together.
pub(super) fn merged(outcomes: Vec<Outcome>) -> Vec<Outcome> {
    let mut merged: Vec<Outcome> = Vec::new();
    for outcome in outcomes {
        let same = |other: &&mut Outcome| {
            (other.members, other.heartbeats) == (outcome.members, outcome.heartbeats)
                && other.alarms.zip(outcome.alarms).is_some_and(|(a, b)| a.loss == b.loss)
        };
        match (merged.iter_mut().find(same), outcome.alarms) {
            (Some(Outcome { alarms: Some(before), .. }), Some(piece)) => {
                before.hours += piece.hours;
                before.members_failed += piece.members_failed;
            }
            _ => merged.push(outcome),
        }
    }
    merged
}

#[cfg(test)]
mod tests;
