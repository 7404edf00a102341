//! A fleet in simulated time: processes that start, die, pause and resume, and the network between
//! them. Read [`Fleet`] first. Each host runs one [`Member`].

mod members;
mod schedule;

pub use members::member_settings;

use crate::network::Network;
use crate::Time;
use pinetrail_membership::{MembershipEvent, Output, Timestamp};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use schedule::Event;
use std::collections::{BTreeMap, VecDeque};
use std::net::SocketAddr;

/// The time at which a simulation begins, in ms.
const START_MS: Time = 1000;
/// The interval at which [`Fleet::run_until`] checks its condition, in ms.
const CHECK_INTERVAL_MS: Time = 10;

/// The failure detector of one process: the membership as it runs in service, or a baseline to
/// compare it with.
pub trait Member {
    /// Returns the time at which [`Member::handle_timeout`] is to be called next.
    fn next_timeout(&self) -> Option<Timestamp>;
    /// Performs the actions that are due by `now`, and adds the outputs to `out`.
    fn handle_timeout(&mut self, now: Timestamp, out: &mut Vec<Output>);
    /// Handles a datagram that was received, and adds the outputs to `out`.
    fn handle_datagram(&mut self, now: Timestamp, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>);
}

/// An event that a member reported, with its time and host.
#[derive(Clone, Debug, PartialEq)]
pub struct ObservedEvent {
    /// When the member reported the event, in simulated ms.
    pub at: Time,
    /// The number of the host on which the member runs.
    pub host: usize,
    /// The reported event.
    pub event: MembershipEvent,
}

/// Random pauses of every process. Each range is from the shortest to the longest, in ms.
#[derive(Clone, Copy, Debug)]
pub struct Pauses {
    /// The range of the duration of a pause.
    pub duration: (Time, Time),
    /// The range of the time from the end of a pause to the beginning of the next.
    pub interval: (Time, Time),
}

/// Pauses after which a member must not be declared failed: 200 to 450 ms every 1.7 to 6 s.
pub const BRIEF_PAUSES: Pauses = Pauses { duration: (200, 450), interval: (1700, 6000) };

struct Host<M> {
    /// The process that runs on the host, if one runs.
    member: Option<M>,
    is_paused: bool,
    /// The datagrams in the socket of a paused process.
    inbox: VecDeque<(SocketAddr, Vec<u8>)>,
    /// The serial number of the latest wake-up. Earlier wake-ups are ignored.
    wake_up: u64,
}

impl<M> Host<M> {
    fn new() -> Host<M> {
        Host { member: None, is_paused: false, inbox: VecDeque::new(), wake_up: 0 }
    }
}

/// A simulated fleet: the hosts, the network between them, and the time. Equal seeds and calls give
/// equal runs.
pub struct Fleet<M> {
    hosts: Vec<Host<M>>,
    hosts_by_address: BTreeMap<SocketAddr, usize>,
    /// The network between the hosts.
    pub network: Network,
    /// The pauses of every process; none if processes do not pause.
    pub pauses: Option<Pauses>,
    now: Time,
    /// The scheduled events by time, and by a serial number that keeps the order of scheduling.
    queue: BTreeMap<(Time, u64), Event>,
    scheduled: u64,
    rng: StdRng,
    /// The events that members reported, in the order of time. The caller may remove them.
    pub observed: Vec<ObservedEvent>,
    /// The number of datagrams that arrived at each host, and the number of their bytes.
    pub received: Vec<(u64, u64)>,
}

/// Returns the address of a host by its number.
pub fn host_address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host >> 8) as u8, host as u8], 7946))
}

impl<M: Member> Fleet<M> {
    /// Creates a fleet of hosts on which nothing runs.
    pub fn new(hosts: usize, seed: u64) -> Fleet<M> {
        Fleet {
            hosts: (0..hosts).map(|_| Host::new()).collect(),
            hosts_by_address: (0..hosts).map(|host| (host_address(host), host)).collect(),
            network: Network::default(),
            pauses: None,
            now: START_MS,
            queue: BTreeMap::new(),
            scheduled: 0,
            rng: StdRng::seed_from_u64(seed),
            observed: Vec::new(),
            received: vec![(0, 0); hosts],
        }
    }

    /// Returns the simulated time, in ms.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Starts a process on a host, in place of the process that runs there. `make` creates the
    /// member from the start of the process in Unix microseconds, a seed, and the time.
    pub fn start(&mut self, host: usize, make: impl FnOnce(u64, u64, Timestamp) -> M) {
        let seed = self.rng.random();
        let member = make(self.now * 1000 + 1, seed, Timestamp::from_millis(self.now));
        let this = &mut self.hosts[host];
        this.member = Some(member);
        this.is_paused = false;
        this.inbox.clear();
        self.schedule_wake_up(host);
        self.schedule_pause(host);
    }

    /// Kills the process on a host.
    pub fn kill(&mut self, host: usize) {
        self.hosts[host].member = None;
        self.hosts[host].inbox.clear();
    }

    /// Pauses the process on a host. A paused process does nothing, and its socket keeps a bounded
    /// number of datagrams.
    pub fn pause(&mut self, host: usize) {
        self.hosts[host].is_paused = true;
    }

    /// Ends the pause of the process on a host.
    pub fn resume(&mut self, host: usize) {
        self.hosts[host].is_paused = false;
        // Timeouts are handled before the datagrams that have arrived, which is the worse of the
        // two orders.
        self.act(host, Member::handle_timeout);
        while let Some((from, bytes)) = self.hosts[host].inbox.pop_front() {
            self.act(host, |member, now, out| member.handle_datagram(now, from, &bytes, out));
        }
    }

    /// Returns the process on a host, if one runs.
    pub fn member(&self, host: usize) -> Option<&M> {
        self.hosts[host].member.as_ref()
    }

    /// Calls the member on a host, and carries out the outputs of the call.
    pub fn act(&mut self, host: usize, act: impl FnOnce(&mut M, Timestamp, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let now = self.now;
        if let Some(member) = self.hosts[host].member.as_mut() {
            act(member, Timestamp::from_millis(now), &mut out);
        }
        for output in out {
            match output {
                // The quota has a simulation of its own, and the peer directory needs none.
                Output::QuotaMessage(_) | Output::DirectoryMessage(..) => {}
                Output::MembershipEvent(event) => {
                    self.observed.push(ObservedEvent { at: now, host, event });
                }
                Output::Send(to, bytes) => self.send(host, to, &bytes),
            }
        }
        self.schedule_wake_up(host);
    }

    /// Runs the simulation for a duration, in ms.
    pub fn run(&mut self, duration: Time) {
        let end = self.now + duration;
        while let Some(first) = self.queue.first_entry().filter(|first| first.key().0 <= end) {
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.handle_event(event);
        }
        self.now = end;
    }

    /// Runs the simulation until a condition holds, for at most `at_most` ms. Returns whether the
    /// condition holds.
    pub fn run_until(&mut self, at_most: Time, holds: impl Fn(&Fleet<M>) -> bool) -> bool {
        let end = self.now + at_most;
        while self.now < end && !holds(self) {
            self.run(CHECK_INTERVAL_MS);
        }
        holds(self)
    }

    /// Schedules the first pause of every process.
    pub fn start_pauses(&mut self) {
        for host in 0..self.hosts.len() {
            self.schedule_pause(host);
        }
    }
}
