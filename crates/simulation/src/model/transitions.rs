//! The transitions of the model: the effect of each action on the state.

use super::state::{host_address, HOSTS};
use super::{Action, Delivery, Link, MessageFault, QuotaModel, State};
use crate::Time;
use pinetrail_quota::{Output, QuotaLeases};
use std::collections::VecDeque;

/// The time that passes in a tick, in ms.
const TICK_MS: Time = 100;
/// The number of ticks from the start of the fleet until all processes have their leases.
const TICKS_TO_SETTLE: usize = 60;
/// The number of ticks after the last fault within which all processes must have equal leases.
const TICKS_TO_RECOVER: usize = 100;

impl QuotaModel {
    /// Returns the state after an action.
    pub(super) fn after(&self, state: &State, action: Action) -> State {
        let mut next = state.clone();
        next.faults += usize::from(action.is_fault());
        match action {
            Action::Tick => {
                next.ticks += 1;
                self.tick(&mut next);
            }
            Action::FailMessage(link, fault) => {
                next.message_faults.insert((link, fault));
            }
            Action::Isolate(host) => isolate(&mut next, host),
            Action::Cut(link) => {
                next.cuts.insert(link);
            }
            Action::Heal => next.cuts.clear(),
            Action::Release => {
                let held = std::mem::take(&mut next.held);
                self.deliver(&mut next, held.into());
            }
            Action::Crash(host) => crash(&mut next, host),
            Action::Start(host) => self.start(&mut next, host),
            Action::Pause(host) => {
                next.paused.insert(host);
            }
            Action::Resume(host) => self.resume(&mut next, host),
            Action::BelieveDead(host) => {
                next.believed_dead.insert(host);
                next.update_live_processes();
            }
            Action::BelieveAlive(host) => {
                next.believed_dead.remove(&host);
                next.update_live_processes();
            }
        }
        next
    }

    /// Returns the state in which all processes have their first leases.
    pub(super) fn settled_state(&self) -> State {
        let mut state = State::empty(10_000);
        for host in 0..HOSTS {
            self.start(&mut state, host);
        }
        for _ in 0..TICKS_TO_SETTLE {
            self.tick(&mut state);
        }
        assert!(
            self.all_have_equal_leases(&state),
            "the leases are not equal after {TICKS_TO_SETTLE} ticks: {state:#?}"
        );
        state
    }

    /// Whether all processes get equal leases within the time for recovery, if all faults end now.
    pub(super) fn recovers(&self, state: &State) -> bool {
        let mut state = state.clone();
        state.cuts.clear();
        state.message_faults.clear();
        state.believed_dead.clear();
        for host in 0..HOSTS {
            if state.hosts[host].is_none() {
                self.start(&mut state, host);
            }
            if state.paused.contains(&host) {
                self.resume(&mut state, host);
            }
        }
        state.update_live_processes();
        for _ in 0..TICKS_TO_RECOVER {
            self.tick(&mut state);
            if self.all_have_equal_leases(&state) {
                return true;
            }
        }
        false
    }

    fn tick(&self, state: &mut State) {
        state.now += TICK_MS;
        for host in 0..HOSTS {
            if !state.paused.contains(&host) {
                self.handle_timeout(state, host);
            }
        }
    }

    fn start(&self, state: &mut State, host: usize) {
        state.starts[host] += 1;
        let now = self.clock(state, host);
        let leases =
            QuotaLeases::new(self.settings.clone(), state.process(host), now).expect("settings are valid");
        state.hosts[host] = Some(leases);
        state.update_live_processes();
    }

    /// Resumes the process on a host, which handles its timeouts before the messages that have
    /// arrived.
    fn resume(&self, state: &mut State, host: usize) {
        state.paused.remove(&host);
        self.handle_timeout(state, host);
        let inbox = std::mem::take(&mut state.inbox);
        let (own, others): (Vec<Delivery>, Vec<Delivery>) =
            inbox.into_iter().partition(|delivery| delivery.to == host);
        state.inbox = others;
        self.deliver(state, own.into());
    }

    fn handle_timeout(&self, state: &mut State, host: usize) {
        let now = self.clock(state, host);
        let Some(leases) = &mut state.hosts[host] else { return };
        if leases.next_timeout() > now {
            return;
        }
        let mut out = Vec::new();
        leases.handle_timeout(now, &mut out);
        let mut queue = VecDeque::new();
        send(state, host, out, &mut queue);
        self.deliver(state, queue);
    }

    /// Delivers messages, and the messages that are sent in response.
    fn deliver(&self, state: &mut State, mut queue: VecDeque<Delivery>) {
        while let Some(delivery) = queue.pop_front() {
            let to = delivery.to;
            if state.paused.contains(&to) {
                state.inbox.push(delivery);
                continue;
            }
            let now = self.clock(state, to);
            let mut out = Vec::new();
            if let Some(leases) = &mut state.hosts[to] {
                leases.handle_message(now, &delivery.message, &mut out);
            }
            send(state, to, out, &mut queue);
        }
    }
}

/// Queues the messages that a host sends, except those that a cut or a message fault stops.
fn send(state: &mut State, from: usize, outputs: Vec<Output>, queue: &mut VecDeque<Delivery>) {
    for output in outputs {
        let Output::Send(address, message) = output else { continue };
        let to = (0..HOSTS).find(|host| host_address(*host) == address).expect("messages go to hosts");
        let link = Link { from, to };
        if state.cuts.contains(&link) || state.message_faults.remove(&(link, MessageFault::Lost)) {
            continue;
        }
        let delivery = Delivery { to, message };
        if state.message_faults.remove(&(link, MessageFault::Held)) {
            state.held.push(delivery);
            continue;
        }
        if state.message_faults.remove(&(link, MessageFault::Duplicated)) {
            queue.push_back(delivery.clone());
        }
        queue.push_back(delivery);
    }
}

fn isolate(state: &mut State, host: usize) {
    for other in (0..HOSTS).filter(|other| *other != host) {
        state.cuts.insert(Link { from: host, to: other });
        state.cuts.insert(Link { from: other, to: host });
    }
}

fn crash(state: &mut State, host: usize) {
    state.hosts[host] = None;
    state.paused.remove(&host);
    state.inbox.retain(|delivery| delivery.to != host);
    state.update_live_processes();
}
