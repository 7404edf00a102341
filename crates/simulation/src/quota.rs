//! Processes that share, in simulated time: each with a clock of its own, over a network that loses, doubles and delays,
//! and an eye on what they use together.

use crate::network::Network;
use pinetrail_quota::{Message, Output, Parts, Process, QuotaEvent, QuotaLeases, Settings, Time};
use rand::rngs::StdRng;
use rand::{RngExt, SeedableRng};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A clock that runs at a rate of its own.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    /// What it shows when the process starts.
    pub from: Time,
    /// How fast it runs, in thousandths.
    pub rate: u64,
    /// When that is.
    since: Time,
}

impl Clock {
    /// One that shows this when the process starts.
    pub fn new(from: Time, rate: u64) -> Clock {
        Clock { from, rate, since: 0 }
    }

    /// What it shows at a time.
    pub fn at(&self, time: Time) -> Time {
        self.from + (time - self.since) * self.rate / 1000
    }

    /// When it shows this, at the earliest.
    fn when(&self, shown: Time) -> Time {
        self.since + (shown.saturating_sub(self.from) * 1000).div_ceil(self.rate)
    }
}

struct Host {
    shares: Option<QuotaLeases>,
    stopped: bool,
    inbox: Vec<Message>,
    clock: Clock,
    starts: u64,
    wake: u64,
    /// What it used last.
    share: Parts,
    /// Calls that began under what it used before, and until when they may run.
    calls: Vec<(Parts, Time)>,
}

enum Event {
    Message(usize, Message),
    Wake(usize, u64),
}

/// The processes, the time and the network.
pub struct Sharing {
    /// What they are told.
    pub settings: Settings,
    /// The network.
    pub network: Network,
    hosts: Vec<Host>,
    now: Time,
    queue: BTreeMap<(Time, u64), Event>,
    count: u64,
    /// Random numbers, for the network and for who plays with it.
    pub rng: StdRng,
    /// What was heard, when and by whom.
    pub heard: Vec<(Time, usize, QuotaEvent)>,
    /// The most that all used together, with what calls of before still use.
    pub most: Parts,
    /// The most that took themselves for stewards at once.
    pub stewards: usize,
    /// Messages carried.
    pub messages: u64,
}

/// The address of a host by its number.
pub fn place(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, (host >> 8) as u8, host as u8], 7946))
}

impl Sharing {
    /// So many hosts on which nothing runs, of which the first are the founders.
    pub fn new(hosts: usize, founders: usize, size: usize, seed: u64) -> Sharing {
        let clock = Clock::new(1_000_000, 1000);
        let host = |_| Host {
            shares: None,
            stopped: false,
            inbox: Vec::new(),
            clock,
            starts: 0,
            wake: 0,
            share: 0,
            calls: Vec::new(),
        };
        Sharing {
            settings: Settings::with_defaults((0..founders).map(place).collect(), size),
            network: Network::default(),
            hosts: (0..hosts).map(host).collect(),
            now: 0,
            queue: BTreeMap::new(),
            count: 0,
            rng: StdRng::seed_from_u64(seed),
            heard: Vec::new(),
            most: 0,
            stewards: 0,
            messages: 0,
        }
    }

    /// The time now.
    pub fn now(&self) -> Time {
        self.now
    }

    /// Gives a host another clock; for processes that start from now on.
    pub fn set_clock(&mut self, host: usize, clock: Clock) {
        self.hosts[host].clock = clock;
    }

    /// The process that runs on a host.
    pub fn process(&self, host: usize) -> Process {
        Process { address: place(host), start: self.hosts[host].starts }
    }

    /// Starts a process on a host.
    pub fn start(&mut self, host: usize) {
        self.kill(host);
        self.hosts[host].starts += 1;
        // A process counts from its own beginning, which is another each time.
        let from = self.rng.random_range(0..1 << 30);
        let clock = &mut self.hosts[host].clock;
        *clock = Clock { from, since: self.now, ..*clock };
        let (me, now) = (self.process(host), self.hosts[host].clock.at(self.now));
        let shares = QuotaLeases::new(self.settings.clone(), me, now).expect("settings that can be");
        self.hosts[host].shares = Some(shares);
        self.act(host, |_, _, _| {});
    }

    /// Kills the process on a host; its calls run on.
    pub fn kill(&mut self, host: usize) {
        let ends = self.now + self.settings.longest_call;
        let this = &mut self.hosts[host];
        if this.shares.take().is_some() {
            this.calls.push((this.share, ends));
        }
        (this.stopped, this.share) = (false, 0);
        this.inbox.clear();
    }

    /// Asks the process on a host to end: it is killed later.
    pub fn leave(&mut self, host: usize) {
        self.hosts[host].shares.iter_mut().for_each(QuotaLeases::leave);
    }

    /// Stops the process on a host.
    pub fn stop(&mut self, host: usize) {
        self.hosts[host].stopped = true;
    }

    /// Has it go on: what is due comes before what has come.
    pub fn go_on(&mut self, host: usize) {
        self.hosts[host].stopped = false;
        self.act(host, pinetrail_quota::QuotaLeases::handle_timeout);
        for message in std::mem::take(&mut self.hosts[host].inbox) {
            self.act(host, |shares, now, out| shares.handle_message(now, &message, out));
        }
    }

    /// Whether a process runs there.
    pub fn runs(&self, host: usize) -> bool {
        self.hosts[host].shares.is_some()
    }

    /// Whether it is stopped.
    pub fn is_stopped(&self, host: usize) -> bool {
        self.hosts[host].stopped
    }

    /// The shares of a host, and its time.
    pub fn at(&self, host: usize) -> Option<(&QuotaLeases, Time)> {
        let this = &self.hosts[host];
        this.shares.as_ref().map(|shares| (shares, this.clock.at(self.now)))
    }

    /// What a host may use now.
    pub fn share(&self, host: usize) -> Parts {
        self.at(host).map_or(0, |(shares, now)| shares.usable_parts(now))
    }

    /// Tells a host who is there.
    pub fn know(&mut self, host: usize, alive: Vec<Process>) {
        if let Some(shares) = &mut self.hosts[host].shares {
            shares.set_live_processes(alive);
        }
    }

    /// Tells each host who runs.
    pub fn know_all(&mut self) {
        let running: Vec<Process> =
            (0..self.hosts.len()).filter(|host| self.runs(*host)).map(|host| self.process(host)).collect();
        (0..self.hosts.len()).for_each(|host| self.know(host, running.clone()));
    }

    /// Lets time pass.
    pub fn run(&mut self, for_ms: Time) {
        let end = self.now + for_ms;
        while let Some(first) = self.queue.first_entry().filter(|first| first.key().0 <= end) {
            let ((at, _), event) = first.remove_entry();
            self.now = at;
            match event {
                Event::Message(to, message) if self.hosts[to].stopped => self.hosts[to].inbox.push(message),
                Event::Message(to, message) => {
                    self.act(to, |shares, now, out| shares.handle_message(now, &message, out));
                }
                Event::Wake(host, number) => {
                    if self.hosts[host].wake == number && !self.hosts[host].stopped {
                        self.act(host, pinetrail_quota::QuotaLeases::handle_timeout);
                    }
                }
            }
            self.watch();
        }
        self.now = end;
    }

    fn act(&mut self, host: usize, act: impl FnOnce(&mut QuotaLeases, Time, &mut Vec<Output>)) {
        let this = &mut self.hosts[host];
        let shown = this.clock.at(self.now);
        let Some(shares) = this.shares.as_mut() else { return };
        let mut out = Vec::new();
        act(shares, shown, &mut out);
        let due = this.clock.when(shares.next_timeout()).max(self.now + 1);
        self.count += 1;
        this.wake = self.count;
        self.queue.insert((due, self.count), Event::Wake(host, self.count));
        for output in out {
            match output {
                Output::Event(news) => self.heard.push((self.now, host, news)),
                Output::Send(to, message) => {
                    let to = (0..self.hosts.len()).find(|host| place(*host) == to).expect("a host");
                    self.messages += 1;
                    for (delay, _) in self.network.carry(&mut self.rng, host, to, 0) {
                        self.count += 1;
                        let event = Event::Message(to, message.clone());
                        self.queue.insert((self.now + delay, self.count), event);
                    }
                }
            }
        }
        self.watch();
    }

    /// Adds up what all use. A process that is stopped uses nothing, but what it would use once it goes on counts.
    fn watch(&mut self) {
        let (now, calls) = (self.now, self.settings.longest_call);
        let (mut in_use, mut stewards) = (0, 0);
        for host in &mut self.hosts {
            let share = host.shares.as_ref().map_or(0, |shares| shares.usable_parts(host.clock.at(now)));
            if share < host.share {
                host.calls.push((host.share, now + calls));
            }
            host.share = share;
            let serves = |shares: &QuotaLeases| shares.is_leader(host.clock.at(now));
            stewards += usize::from(host.shares.as_ref().is_some_and(serves));
            host.calls.retain(|(_, until)| now < *until);
            in_use += host.calls.iter().map(|(part, _)| *part).chain([share]).max().unwrap_or(0);
        }
        self.stewards = self.stewards.max(stewards);
        self.most = self.most.max(in_use);
    }
}
