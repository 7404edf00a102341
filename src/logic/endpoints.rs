//! The list of backends: who is there, and which process of it is known.

use super::Balancer;
use crate::interface::{Action, ListForm, Member, State, Time};
use crate::state::{BackendState, TimerKind};
use rand::Rng;
use std::collections::BTreeSet;

const LIST_RETRY_MS: Time = 500.0;

impl Balancer {
    pub(super) fn on_members(&mut self, form: ListForm, members: Vec<Member>, out: &mut Vec<Action>) {
        if form == ListForm::Failed {
            // Danger: a list service that fails is asked again by everyone at once.
            let backoff = 2f64.powi(self.list_failures.min(2));
            let delay = LIST_RETRY_MS * backoff * self.rng.gen_range(0.5..1.5);
            self.list_failures += 1;
            return out.push(Action::SetTimer { delay, token: TimerKind::Resubscribe.token(0) });
        }
        if form == ListForm::Cached && self.settings.discovery == "ask" {
            out.push(Action::Subscribe);
        } else {
            self.list_failures = 0;
        }
        let is_complete = form != ListForm::Delta;
        let gone = if is_complete { self.departed(&members) } else { Vec::new() };
        let mut left = BTreeSet::new();
        for member in gone.into_iter().chain(members) {
            if self.update_backend(member) || member.state != State::Ready {
                left.insert(member.server);
            }
        }
        self.update_node_size();
        self.forget_gone();
        // Drained, gone, or empty after a restart: no set may lead there.
        self.forget_members(&left);
    }

    /// Takes over what a list says of a backend; whether that is a process not known before.
    fn update_backend(&mut self, member: Member) -> bool {
        let limit = self.initial_limit(&member);
        let backend = self.backends.entry(member.server).or_default();
        // Knowledge belongs to one process: who was gone, or started later, is another. Danger: a
        // list that is behind tells an older start; a cold node would pass for warm.
        let is_new = backend.member.state == State::Gone || member.started > backend.member.started;
        if is_new {
            *backend = BackendState::with_limit(limit);
        }
        let started = member.started.max(backend.member.started);
        backend.member = Member { started, ..member };
        is_new
    }
}
