//! Processes that share a quota, in simulated time: [`QuotaSimulation`]. Each process has a clock
//! of its own, and the network between them loses, duplicates and delays messages. The simulation
//! records the most parts that all processes use together.

use crate::network::Network;
use crate::Time;
use pinetrail_clock::{whole_millis, Timestamp};
use pinetrail_quota::{Message, Output, Parts, Process, QuotaEvent, QuotaLeases, Settings};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// The clock of a process, which runs at a rate of its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// The time that the clock shows when the process starts, in ms.
    pub shown_at_start: Time,
    /// The rate of the clock, in thousandths of the simulated time.
    pub rate: u64,
    /// When the process starts, in simulated ms.
    started_at: Time,
}

impl Clock {
    /// Creates a clock for a process that starts when the simulation begins.
    pub fn new(shown_at_start: Time, rate: u64) -> Clock {
        Clock { shown_at_start, rate, started_at: 0 }
    }

    /// Returns the time that the clock shows at a simulated time.
    pub fn shown_at(&self, time: Time) -> Timestamp {
        Timestamp::from_millis(self.shown_at_start + (time - self.started_at) * self.rate / 1000)
    }

    /// Returns the first simulated time at which the clock shows a time.
    fn time_when(&self, shown: Timestamp) -> Time {
        let elapsed = shown.as_millis().saturating_sub(self.shown_at_start);
        self.started_at + (elapsed * 1000).div_ceil(self.rate)
    }
}

/// The calls that began under an earlier quota, and may still run.
struct EarlierCalls {
    /// The parts of the earlier quota.
    parts: Parts,
    /// When the last of the calls ends at the latest, in simulated ms.
    end_at: Time,
}

struct Host {
    /// The leases of the process that runs on the host, if one runs.
    leases: Option<QuotaLeases>,
    is_paused: bool,
    /// The messages in the socket of a paused process.
    inbox: Vec<Message>,
    clock: Clock,
    /// The number of processes that were started on the host so far.
    starts: u64,
    /// The serial number of the latest wake-up. Earlier wake-ups are ignored.
    wake_up: u64,
    /// The parts that the process could use when the usage was last recorded.
    usable_parts: Parts,
    earlier_calls: Vec<EarlierCalls>,
}

impl Host {
    fn new() -> Host {
        Host {
            leases: None,
            is_paused: false,
            inbox: Vec::new(),
            clock: Clock::new(1_000_000, 1000),
            starts: 0,
            wake_up: 0,
            usable_parts: 0,
            earlier_calls: Vec::new(),
        }
    }

    /// Records the parts that the process may use now. If they are fewer than before, the calls
    /// that began under the larger quota still run.
    fn update_usable_parts(&mut self, now: Time, longest_call: Time) {
        let shown = self.clock.shown_at(now);
        let parts = self.leases.as_ref().map_or(0, |leases| leases.usable_parts(shown));
        if parts < self.usable_parts {
            self.earlier_calls.push(EarlierCalls { parts: self.usable_parts, end_at: now + longest_call });
        }
        self.usable_parts = parts;
        self.earlier_calls.retain(|calls| now < calls.end_at);
    }

    fn parts_in_use(&self) -> Parts {
        let earlier = self.earlier_calls.iter().map(|calls| calls.parts);
        earlier.chain([self.usable_parts]).max().unwrap_or(0)
    }

    fn is_leader(&self, now: Time) -> bool {
        self.leases.as_ref().is_some_and(|leases| leases.is_leader(self.clock.shown_at(now)))
    }
}

enum Event {
    Message { to: usize, message: Message },
    WakeUp { host: usize, serial: u64 },
}

/// An event that a process reported, with its time and host.
#[derive(Clone, Copy, Debug)]
pub struct ObservedEvent {
    /// When the process reported the event, in simulated ms.
    pub at: Time,
    /// The number of the host on which the process runs.
    pub host: usize,
    /// The reported event.
    pub event: QuotaEvent,
}

/// A simulated fleet with a quota: the hosts, the network between them, and the time. Equal seeds
/// and calls give equal runs.
pub struct QuotaSimulation {
    /// The settings of processes that are started next.
    pub settings: Settings,
    /// The network between the hosts.
    pub network: Network,
    hosts: Vec<Host>,
    now: Time,
    /// The scheduled events by time, and by a serial number that keeps the order of scheduling.
    queue: BTreeMap<(Time, u64), Event>,
    scheduled: u64,
    /// The source of random numbers for the network and for the caller.
    pub rng: StdRng,
    /// The events that processes reported, in the order of time.
    pub observed: Vec<ObservedEvent>,
    /// The largest number of parts that were in use at once, including those of calls that began
    /// under earlier quotas.
    pub max_parts_in_use: Parts,
    /// The largest number of processes that believed themselves to be the leader at once.
    pub max_leaders: usize,
    /// The number of messages that were sent.
    pub messages_sent: u64,
}

/// Returns the address of a host by its number.
pub fn host_address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host >> 8) as u8, host as u8], 7946))
}

impl QuotaSimulation {
    /// Creates a simulation of hosts on which nothing runs. The first `founders` hosts are the
    /// founders of a fleet of at most `size` processes.
    pub fn new(hosts: usize, founders: usize, size: usize, seed: u64) -> QuotaSimulation {
        QuotaSimulation {
            settings: Settings::with_defaults((0..founders).map(host_address).collect(), size),
            network: Network::default(),
            hosts: (0..hosts).map(|_| Host::new()).collect(),
            now: 0,
            queue: BTreeMap::new(),
            scheduled: 0,
            rng: StdRng::seed_from_u64(seed),
            observed: Vec::new(),
            max_parts_in_use: 0,
            max_leaders: 0,
            messages_sent: 0,
        }
    }

    /// Returns the simulated time, in ms.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Sets the clock of the processes that are started on a host after this call.
    pub fn set_clock(&mut self, host: usize, clock: Clock) {
        self.hosts[host].clock = clock;
    }

    /// Returns the process that runs on a host, or ran there last.
    pub fn process(&self, host: usize) -> Process {
        Process { address: host_address(host), start: self.hosts[host].starts }
    }

    /// Starts a process on a host, in place of the process that runs there.
    ///
    /// # Panics
    ///
    /// If the settings are invalid.
    pub fn start(&mut self, host: usize) {
        self.kill(host);
        self.hosts[host].starts += 1;
        // Each process counts time from its own start, so its clock shows an arbitrary time.
        let shown_at_start = self.rng.random_range(0..1 << 30);
        let clock = Clock { shown_at_start, started_at: self.now, ..self.hosts[host].clock };
        let leases = QuotaLeases::new(self.settings.clone(), self.process(host), clock.shown_at(self.now))
            .expect("settings are valid");
        self.hosts[host].clock = clock;
        self.hosts[host].leases = Some(leases);
        self.act(host, |_, _, _| {});
    }

    /// Kills the process on a host. The calls of the process still run to their end.
    pub fn kill(&mut self, host: usize) {
        let end_at = self.now + whole_millis(self.settings.max_attempt_duration);
        let this = &mut self.hosts[host];
        if this.leases.take().is_some() {
            this.earlier_calls.push(EarlierCalls { parts: this.usable_parts, end_at });
        }
        this.is_paused = false;
        this.usable_parts = 0;
        this.inbox.clear();
    }

    /// Begins the shutdown of the process on a host. The caller kills the process later.
    pub fn begin_shutdown(&mut self, host: usize) {
        if let Some(leases) = &mut self.hosts[host].leases {
            leases.begin_shutdown();
        }
    }

    /// Pauses the process on a host.
    pub fn pause(&mut self, host: usize) {
        self.hosts[host].is_paused = true;
    }

    /// Resumes the process on a host, which handles its timeouts before the messages that have
    /// arrived.
    pub fn resume(&mut self, host: usize) {
        self.hosts[host].is_paused = false;
        self.act(host, QuotaLeases::handle_timeout);
        for message in std::mem::take(&mut self.hosts[host].inbox) {
            self.act(host, |leases, now, out| leases.handle_message(now, &message, out));
        }
    }

    /// Whether a process runs on a host, or is paused there.
    pub fn is_running(&self, host: usize) -> bool {
        self.hosts[host].leases.is_some()
    }

    /// Whether the process on a host is paused.
    pub fn is_paused(&self, host: usize) -> bool {
        self.hosts[host].is_paused
    }

    /// Returns the parts that the process on a host holds by lease now; 0 if no process runs there.
    pub fn leased_parts(&self, host: usize) -> Parts {
        let shown = self.hosts[host].clock.shown_at(self.now);
        self.hosts[host].leases.as_ref().map_or(0, |leases| leases.lease().parts_at(shown))
    }

    /// Returns the parts that the process on a host may use now; 0 if no process runs there.
    pub fn usable_parts(&self, host: usize) -> Parts {
        let shown = self.hosts[host].clock.shown_at(self.now);
        self.hosts[host].leases.as_ref().map_or(0, |leases| leases.usable_parts(shown))
    }

    /// Whether the process on a host believes itself to be the leader now.
    pub fn is_leader(&self, host: usize) -> bool {
        self.hosts[host].is_leader(self.now)
    }

    /// Sets the processes that the process on a host believes to be alive.
    pub fn set_live_processes(&mut self, host: usize, alive: Vec<Process>) {
        if let Some(leases) = &mut self.hosts[host].leases {
            leases.set_live_processes(alive);
        }
    }

    /// Tells every process that exactly the running processes are alive.
    pub fn update_all_live_processes(&mut self) {
        let running = (0..self.hosts.len()).filter(|host| self.is_running(*host));
        let running: Vec<Process> = running.map(|host| self.process(host)).collect();
        for host in 0..self.hosts.len() {
            self.set_live_processes(host, running.clone());
        }
    }

    /// Runs the simulation for a duration, in ms.
    pub fn run(&mut self, duration: Time) {
        let end = self.now + duration;
        while let Some(first) = self.queue.first_entry().filter(|first| first.key().0 <= end) {
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            self.handle(event);
            self.record_usage();
        }
        self.now = end;
    }

    fn handle(&mut self, event: Event) {
        match event {
            Event::Message { to, message } => {
                if self.hosts[to].is_paused {
                    self.hosts[to].inbox.push(message);
                } else {
                    self.act(to, |leases, now, out| leases.handle_message(now, &message, out));
                }
            }
            Event::WakeUp { host, serial } => {
                if self.hosts[host].wake_up == serial && !self.hosts[host].is_paused {
                    self.act(host, QuotaLeases::handle_timeout);
                }
            }
        }
    }

    fn act(&mut self, host: usize, act: impl FnOnce(&mut QuotaLeases, Timestamp, &mut Vec<Output>)) {
        let this = &mut self.hosts[host];
        let shown = this.clock.shown_at(self.now);
        let Some(leases) = this.leases.as_mut() else { return };
        let mut out = Vec::new();
        act(leases, shown, &mut out);
        let due = this.clock.time_when(leases.next_timeout()).max(self.now + 1);
        let serial = self.schedule(due, |serial| Event::WakeUp { host, serial });
        self.hosts[host].wake_up = serial;
        for output in out {
            match output {
                Output::Event(event) => {
                    self.observed.push(ObservedEvent { at: self.now, host, event });
                }
                Output::Send(to, message) => self.send(host, to, &message),
            }
        }
        self.record_usage();
    }

    fn send(&mut self, from: usize, to: SocketAddr, message: &Message) {
        let mut hosts = 0..self.hosts.len();
        let to = hosts.find(|host| host_address(*host) == to).expect("messages go to hosts");
        self.messages_sent += 1;
        for (delay, _) in self.network.transmit(&mut self.rng, from, to, 0) {
            self.schedule(self.now + delay, |_| Event::Message { to, message: message.clone() });
        }
    }

    /// Schedules an event, and returns its serial number.
    fn schedule(&mut self, at: Time, event: impl FnOnce(u64) -> Event) -> u64 {
        self.scheduled += 1;
        self.queue.insert((at, self.scheduled), event(self.scheduled));
        self.scheduled
    }

    /// Updates the largest numbers of parts in use and of leaders. The parts that a paused process
    /// would use after it resumes count too.
    fn record_usage(&mut self) {
        let now = self.now;
        for host in &mut self.hosts {
            host.update_usable_parts(now, whole_millis(self.settings.max_attempt_duration));
        }
        let parts_in_use = self.hosts.iter().map(Host::parts_in_use).sum();
        let leaders = self.hosts.iter().filter(|host| host.is_leader(now)).count();
        self.max_parts_in_use = self.max_parts_in_use.max(parts_in_use);
        self.max_leaders = self.max_leaders.max(leaders);
    }
}
