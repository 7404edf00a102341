//! The [`State`] of the model, and the [`Action`]s that are possible in a state.

use crate::Time;
use pinetrail_quota::{Message, Process, QuotaLeases};
use std::collections::BTreeSet;
use std::net::SocketAddr;

/// The number of hosts in the model.
pub(super) const HOSTS: usize = 3;

pub(super) fn host_address(host: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, host as u8], 1))
}

/// A directed link between two hosts, which are given by their numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct Link {
    /// The host that sends the messages.
    pub from: usize,
    /// The host that receives the messages.
    pub to: usize,
}

/// A fault of the next message on a link.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageFault {
    /// The message is lost.
    Lost,
    /// The message is held back until [`Action::Release`].
    Held,
    /// The message arrives twice.
    Duplicated,
}

/// A transition of the model.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum Action {
    /// Time passes by one tick.
    Tick,
    /// The next message on a link gets a fault.
    FailMessage(Link, MessageFault),
    /// All links from and to a host are cut.
    Isolate(usize),
    /// A link is cut.
    Cut(Link),
    /// All cuts end.
    Heal,
    /// The messages that were held back arrive.
    Release,
    /// The process on a host crashes.
    Crash(usize),
    /// A process starts on a host.
    Start(usize),
    /// The process on a host is paused.
    Pause(usize),
    /// The process on a host resumes.
    Resume(usize),
    /// Every process believes that the process on a host is dead, so that the view changes.
    BelieveDead(usize),
    /// Every process believes that the process on a host is alive again.
    BelieveAlive(usize),
}

impl Action {
    /// Whether the action counts as one of the faults, whose number is bounded.
    pub(super) fn is_fault(self) -> bool {
        match self {
            Action::FailMessage(..)
            | Action::Isolate(_)
            | Action::Cut(_)
            | Action::Crash(_)
            | Action::Pause(_)
            | Action::BelieveDead(_) => true,
            Action::Tick
            | Action::Heal
            | Action::Release
            | Action::Start(_)
            | Action::Resume(_)
            | Action::BelieveAlive(_) => false,
        }
    }
}

/// A message that has not arrived at its host.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Delivery {
    pub(super) to: usize,
    pub(super) message: Message,
}

/// The state of all hosts and of the network between them.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct State {
    pub(super) now: Time,
    /// The leases of the process on each host; none if no process runs there.
    pub(super) hosts: Vec<Option<QuotaLeases>>,
    /// The number of processes that were started on each host so far.
    pub(super) starts: Vec<u64>,
    pub(super) paused: BTreeSet<usize>,
    pub(super) believed_dead: BTreeSet<usize>,
    pub(super) cuts: BTreeSet<Link>,
    pub(super) message_faults: BTreeSet<(Link, MessageFault)>,
    /// Messages that are held back until [`Action::Release`].
    pub(super) held: Vec<Delivery>,
    /// Messages in the sockets of paused processes.
    pub(super) inbox: Vec<Delivery>,
    pub(super) faults: usize,
    pub(super) ticks: u64,
}

impl State {
    /// Creates a state in which no process runs.
    pub(super) fn empty(now: Time) -> State {
        State {
            now,
            hosts: vec![None; HOSTS],
            starts: vec![0; HOSTS],
            paused: BTreeSet::new(),
            believed_dead: BTreeSet::new(),
            cuts: BTreeSet::new(),
            message_faults: BTreeSet::new(),
            held: Vec::new(),
            inbox: Vec::new(),
            faults: 0,
            ticks: 0,
        }
    }

    pub(super) fn process(&self, host: usize) -> Process {
        Process { address: host_address(host), start: self.starts[host] }
    }

    /// Gives every process the list of processes that are believed to be alive.
    pub(super) fn update_live_processes(&mut self) {
        let is_alive = |host: &usize| self.hosts[*host].is_some() && !self.believed_dead.contains(host);
        let alive: Vec<Process> = (0..HOSTS).filter(is_alive).map(|host| self.process(host)).collect();
        for leases in self.hosts.iter_mut().flatten() {
            leases.set_live_processes(alive.clone());
        }
    }

    /// Adds the actions that end a fault of this state.
    pub(super) fn recoveries(&self, actions: &mut Vec<Action>) {
        if !self.cuts.is_empty() {
            actions.push(Action::Heal);
        }
        if !self.held.is_empty() {
            actions.push(Action::Release);
        }
        for host in 0..HOSTS {
            if self.hosts[host].is_none() {
                actions.push(Action::Start(host));
            }
            if self.paused.contains(&host) {
                actions.push(Action::Resume(host));
            }
            if self.believed_dead.contains(&host) {
                actions.push(Action::BelieveAlive(host));
            }
        }
    }

    /// Adds the faults that are possible in this state.
    pub(super) fn possible_faults(&self, actions: &mut Vec<Action>) {
        for host in 0..HOSTS {
            if self.hosts[host].is_some() {
                actions.push(Action::Crash(host));
                if self.paused.is_empty() {
                    actions.push(Action::Pause(host));
                }
            }
            if self.believed_dead.is_empty() {
                actions.push(Action::BelieveDead(host));
            }
            if self.cuts.is_empty() {
                actions.push(Action::Isolate(host));
            }
            for to in (0..HOSTS).filter(|to| *to != host) {
                self.possible_link_faults(Link { from: host, to }, actions);
            }
        }
    }

    fn possible_link_faults(&self, link: Link, actions: &mut Vec<Action>) {
        if self.cuts.is_empty() {
            actions.push(Action::Cut(link));
        }
        for fault in [MessageFault::Lost, MessageFault::Held, MessageFault::Duplicated] {
            if !self.message_faults.contains(&(link, fault)) {
                actions.push(Action::FailMessage(link, fault));
            }
        }
    }
}
