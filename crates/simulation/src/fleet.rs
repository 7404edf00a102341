//! A fleet of members in simulated time: processes that start, die, stop and go on, and the network between them.

use crate::network::Network;
use pinetrail_membership::{
    MemberRecord, Membership, MembershipCounters, MembershipEvent, Output, PartitionSide, Settings, State,
    Time, Timing,
};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// What one process does about its fleet: the real thing, or a baseline beside it.
pub trait Member {
    /// When [`Member::handle_timeout`] is to be called.
    fn next_timeout(&self) -> Option<Time>;
    /// Time has passed.
    fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>);
    /// A datagram has come.
    fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>);
}

impl Member for Membership {
    fn next_timeout(&self) -> Option<Time> {
        Membership::next_timeout(self)
    }

    fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        Membership::handle_timeout(self, now, out);
    }

    fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        Membership::handle_datagram(self, now, from, bytes, out);
    }
}

/// Datagrams that the socket of a stopped process keeps; the others are lost.
const KEPT: usize = 256;

/// What somebody heard.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedEvent {
    /// When.
    pub at: Time,
    /// Which host.
    pub host: usize,
    /// What.
    pub event: MembershipEvent,
}

struct Host<M> {
    member: Option<M>,
    stopped: bool,
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
    /// The wake that counts: others are of an earlier state.
    wake: u64,
    starts: u64,
}

enum Event {
    Datagram { from: usize, to: usize, bytes: Vec<u8> },
    Wake { host: usize, number: u64 },
    Pause { host: usize },
    GoOn { host: usize },
}

/// Pauses of every process by itself, as BRIEF_PAUSES 2.1 has them: how long, and how long apart, in ms.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    /// How long one lasts.
    pub lasts: (Time, Time),
    /// How long there is none.
    pub apart: (Time, Time),
}

/// 200 to 450 ms each 1.7 to 6 s.
pub const BRIEF_PAUSES: Pauses = Pauses { lasts: (200, 450), apart: (1700, 6000) };

/// The fleet and the time.
pub struct Fleet<M> {
    hosts: Vec<Host<M>>,
    places: BTreeMap<SocketAddr, usize>,
    /// The network between the hosts.
    pub network: Network,
    /// Who stands still now and then.
    pub pauses: Option<Pauses>,
    now: Time,
    queue: BTreeMap<(Time, u64), Event>,
    count: u64,
    rng: StdRng,
    /// What was heard, in order; the caller may take it.
    pub observed: Vec<ObservedEvent>,
    /// Datagrams that arrived, by host; and bytes.
    pub received: Vec<(u64, u64)>,
}

/// The address of a host by its number.
pub fn host_address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host >> 8) as u8, host as u8], 7946))
}

/// The settings of a host in a fleet of so many, whose peers are these hosts.
pub fn member_settings(host: usize, size: usize, peers: &[usize]) -> Settings {
    Settings {
        fleet: "gdynia".into(),
        name: format!("n{host:04}"),
        advertise: host_address(host),
        peers: peers.iter().filter(|peer| **peer != host).map(|peer| host_address(*peer)).collect(),
        size,
        times: Timing::default(),
    }
}

impl<M: Member> Fleet<M> {
    /// Hosts on which nothing runs.
    pub fn new(hosts: usize, seed: u64) -> Fleet<M> {
        let host = || Host { member: None, stopped: false, inbox: VecDeque::new(), wake: 0, starts: 0 };
        Fleet {
            hosts: (0..hosts).map(|_| host()).collect(),
            places: (0..hosts).map(|host| (host_address(host), host)).collect(),
            network: Network::default(),
            pauses: None,
            now: 1000,
            queue: BTreeMap::new(),
            count: 0,
            rng: StdRng::seed_from_u64(seed),
            observed: Vec::new(),
            received: vec![(0, 0); hosts],
        }
    }

    /// The time now, in ms.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Starts a process on a host: `make` is given its start in Unix microseconds, a seed and the time.
    pub fn start(&mut self, host: usize, make: impl FnOnce(u64, u64, Time) -> M) {
        let seed = self.rng.random();
        let member = make(self.now * 1000 + 1, seed, self.now);
        let this = &mut self.hosts[host];
        this.starts += 1;
        this.member = Some(member);
        this.stopped = false;
        this.inbox.clear();
        self.rouse(host);
        self.pause_later(host);
    }

    /// Kills the process on a host.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].member = None;
        self.hosts[host].starts += 1;
        self.hosts[host].inbox.clear();
    }

    /// Stops the process on a host: it does nothing, and its socket keeps some of what comes.
    pub fn pause(&mut self, host: usize) {
        self.hosts[host].stopped = true;
    }

    /// Has it go on.
    pub fn resume(&mut self, host: usize) {
        self.hosts[host].stopped = false;
        // What is due is handled before what has come, which is the worse order of the two.
        self.act(host, Member::handle_timeout);
        while let Some((from, bytes)) = self.hosts[host].inbox.pop_front() {
            self.act(host, |member, now, out| member.handle_datagram(now, from, &bytes, out));
        }
    }

    /// The process on a host, if one runs.
    pub fn member(&self, host: usize) -> Option<&M> {
        self.hosts[host].member.as_ref()
    }

    /// Has the process on a host do something now.
    pub fn act(&mut self, host: usize, act: impl FnOnce(&mut M, Time, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(member) = self.hosts[host].member.as_mut() {
            act(member, now, &mut out);
        }
        for output in out {
            match output {
                // Shares have a world of their own.
                Output::QuotaMessage(_) | Output::DirectoryMessage(..) => {}
                Output::MembershipEvent(event) => self.observed.push(ObservedEvent { at: now, host, event }),
                Output::Send(to, bytes) => {
                    let Some(to) = self.places.get(&to).copied() else { continue };
                    for (delay, damaged) in self.network.carry(&mut self.rng, host, to, bytes.len()) {
                        let mut bytes = bytes.clone();
                        if let Some(at) = damaged {
                            bytes[at] ^= 1 << (delay % 8);
                        }
                        self.later(delay, Event::Datagram { from: host, to, bytes });
                    }
                }
            }
        }
        self.rouse(host);
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: Time) {
        let end = self.now + for_ms;
        while let Some(first) = self.queue.first_entry().filter(|first| first.key().0 <= end) {
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.happen(event);
        }
        self.now = end;
    }

    /// Lets time pass until something holds, for so long at the most; whether it does.
    pub fn run_until(&mut self, at_most: Time, holds: impl Fn(&Fleet<M>) -> bool) -> bool {
        let end = self.now + at_most;
        while self.now < end && !holds(self) {
            self.run(10);
        }
        holds(self)
    }

    fn happen(&mut self, event: Event) {
        match event {
            Event::Datagram { from, to, bytes } => {
                self.received[to].0 += 1;
                self.received[to].1 += bytes.len() as u64;
                let host = &mut self.hosts[to];
                let from = host_address(from);
                match host.stopped {
                    true if host.inbox.len() < KEPT => host.inbox.push_back((from, bytes)),
                    true => {}
                    false => self.act(to, |member, now, out| member.handle_datagram(now, from, &bytes, out)),
                }
            }
            Event::Wake { host, number } => {
                if self.hosts[host].wake == number && !self.hosts[host].stopped {
                    self.act(host, Member::handle_timeout);
                }
            }
            Event::Pause { host } => {
                if let Some(pauses) = self.pauses.filter(|_| self.hosts[host].member.is_some()) {
                    self.pause(host);
                    let lasts = self.rng.random_range(pauses.lasts.0..=pauses.lasts.1);
                    self.later(lasts, Event::GoOn { host });
                }
            }
            Event::GoOn { host } => {
                self.resume(host);
                self.pause_later(host);
            }
        }
    }

    /// Pauses of those that run begin.
    pub fn start_pauses(&mut self) {
        (0..self.hosts.len()).for_each(|host| self.pause_later(host));
    }

    fn pause_later(&mut self, host: usize) {
        if let Some(pauses) = self.pauses {
            let apart = self.rng.random_range(pauses.apart.0..=pauses.apart.1);
            self.later(apart, Event::Pause { host });
        }
    }

    /// Has a host wake when its process wants to.
    fn rouse(&mut self, host: usize) {
        let this = &mut self.hosts[host];
        let Some(at) = this.member.as_ref().and_then(Member::next_timeout) else { return };
        this.wake = self.count + 1;
        let number = this.wake;
        self.later(at.saturating_sub(self.now), Event::Wake { host, number });
    }

    fn later(&mut self, after: Time, event: Event) {
        self.count += 1;
        self.queue.insert((self.now + after, self.count), event);
    }
}

impl Fleet<Membership> {
    /// A fleet of so many, all started at once, of which each knows only these peers.
    pub fn with_members(hosts: usize, seed: u64, peers: &[usize]) -> Fleet<Membership> {
        let mut fleet = Fleet::new(hosts, seed);
        (0..hosts).for_each(|host| fleet.start_member(host, hosts.max(2), peers));
        fleet
    }

    /// Starts a member on a host.
    pub fn start_member(&mut self, host: usize, size: usize, peers: &[usize]) {
        self.start_member_with(host, member_settings(host, size, peers));
    }

    /// Starts a member on a host with these settings.
    pub fn start_member_with(&mut self, host: usize, settings: Settings) {
        self.start(host, |start, seed, now| {
            Membership::new(settings, start, seed, now).expect("settings that can be")
        });
    }

    /// What a host believes of another; none if it knows nothing of it.
    pub fn state_seen_by(&self, host: usize, of: usize) -> Option<State> {
        let name = member_settings(of, 2, &[]).name;
        self.record_seen_by(host, &name).map(|entry| entry.state)
    }

    /// What a host knows of a name.
    pub fn record_seen_by(&self, host: usize, name: &str) -> Option<MemberRecord> {
        self.member(host)?.members().into_iter().find(|entry| &*entry.name == name)
    }

    /// Whether all of these believe that all of these are alive, and that nobody else is or may be.
    pub fn all_agree(&self, hosts: &[usize]) -> bool {
        let mut names: Vec<String> = hosts.iter().map(|host| member_settings(*host, 2, &[]).name).collect();
        names.sort();
        // A roster is in the order of names.
        let agrees = |member: &Membership| {
            let roster = member.members();
            let there = roster.iter().filter(|entry| entry.state <= State::Suspect);
            there.clone().count() == names.len()
                && there.zip(&names).all(|(entry, name)| entry.state == State::Alive && *entry.name == **name)
        };
        hosts.iter().all(|host| self.member(*host).is_some_and(agrees))
    }

    /// On which side a host is.
    pub fn side(&self, host: usize) -> Option<PartitionSide> {
        self.member(host).map(Membership::side)
    }

    /// What a host counted.
    pub fn counts(&self, host: usize) -> MembershipCounters {
        self.member(host).map_or_else(MembershipCounters::default, Membership::counters)
    }

    /// Times that somebody took somebody else for failed who was not dead then.
    pub fn false_failures(&self) -> usize {
        let failed = |heard: &&ObservedEvent| matches!(&heard.event, MembershipEvent::Member { entry, .. } if entry.state == State::Failed);
        self.observed.iter().filter(failed).count()
    }
}
