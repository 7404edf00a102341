//! Where the consumer side and the provider side meet. It owns the decision module, the invocations and
//! the clock, turns what is reported to it into events and the module's actions into orders. It knows no
//! socket and no protocol; payloads pass through it as they came.

mod clock;
mod endpoint_ids;
#[cfg(test)]
mod golden_tests;
mod listed_endpoint;
mod maintenance;
mod messages;

use super::body_stream::BodyWriter;
use super::config::{Instance, Names};
use super::counters::Counters;
use super::log::log;
use super::timer::{self, TimerSet};
use crate::interface::{
    Action, AttemptEnd, Event, ListForm, Member, Outcome, Request, RequestId, ServerId, Share, State, Time,
};
use crate::logic::Balancer;
use crate::settings::Settings;
use clock::Clock;
use endpoint_ids::{key_number, EndpointIds};
use listed_endpoint::{provider, Provider};
use maintenance::MaintenanceSet;
pub use maintenance::{EndpointSnapshot, MaintenanceError, PeerAddress};
use may::sync::mpsc::Sender;
pub use messages::{
    AttemptId, AttemptRequest, BackendCommand, ClientRequest, Payload, Response, ResponseCallback,
    SubmitError,
};
use pinetrail_policy_consensus::{Admission, AdmissionLease};
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::panic::{catch_unwind, AssertUnwindSafe};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

/// The module must have answered this long after the deadline, or the exchange ends the invocation.
const OVERDUE: Duration = Duration::from_millis(10);

/// An invocation, until its answer is given and all its calls have ended.
struct Record {
    invocation: Arc<ClientRequest>,
    /// Until it is answered.
    open: Option<Open>,
    sends: u8,
    out: BTreeMap<u8, (ServerId, Time)>,
    /// When its answer began to flow.
    began: Option<Time>,
}

/// Who takes the answer, and what ends with it.
struct Open {
    reply: ResponseCallback,
    waits: TimerSet,
}

impl Open {
    /// Gives the answer, and only then has the waits end: it goes out before they wake.
    fn answer(self, answer: Response) {
        (self.reply)(answer);
        drop(self.waits);
    }
}

struct Known {
    address: Arc<str>,
    state: State,
    started: Time,
    origin: bool,
}

impl Known {
    fn is_ready(&self) -> bool {
        self.state == State::Ready
    }
}

struct Inner {
    balancer: Balancer,
    names: Arc<Names>,
    origin_kind: i64,
    records: BTreeMap<RequestId, Record>,
    open_ids: BTreeSet<String>,
    last_id: RequestId,
    providers: BTreeMap<ServerId, Known>,
    ids: EndpointIds,
    held_out: MaintenanceSet,
    /// Which version of the fleet's policy the settings are; 0 for this proxy's own.
    policy: u64,
}

/// What is to be done once the exchange's lock is released.
enum Effect {
    Response(Open, Response),
    BackendCommand(BackendCommand),
    Timer(Duration, u64),
    Subscribe,
}

impl Inner {
    /// Providers are replaced for as long as the program runs: who is gone and has no call out is forgotten.
    fn forget_gone(&mut self) {
        let records = self.records.values();
        let busy: BTreeSet<ServerId> = records.flat_map(|r| r.out.values().map(|out| out.0)).collect();
        let (providers, ids) = (&mut self.providers, &mut self.ids);
        providers.retain(|server, known| known.state != State::Gone || busy.contains(server));
        ids.retain(|server| providers.contains_key(&server));
    }

    fn forget(&mut self, id: RequestId) {
        if let Some(record) = self.records.remove(&id) {
            self.open_ids.remove(&record.invocation.opaque);
        }
    }
}

/// The meeting point of consumers, providers and discovery.
pub struct Dispatcher {
    clock: Clock,
    counters: Arc<Counters>,
    state: Mutex<Inner>,
    orders: Sender<BackendCommand>,
    subscribe: Sender<()>,
    /// Under which alone invocations are taken in, where a fleet has one policy.
    permit: OnceLock<Arc<AdmissionLease>>,
}

impl Dispatcher {
    /// An exchange round a new balancer. Orders go to the provider side, subscriptions to discovery's.
    pub fn new(
        settings: Settings,
        seed: u64,
        names: Names,
        counters: Arc<Counters>,
        orders: Sender<BackendCommand>,
        subscribe: Sender<()>,
    ) -> Arc<Dispatcher> {
        let origin_kind = settings.family.origin_kind;
        let state = Inner {
            names: Arc::new(names),
            origin_kind,
            balancer: Balancer::new(settings, seed),
            records: BTreeMap::new(),
            open_ids: BTreeSet::new(),
            last_id: 0,
            providers: BTreeMap::new(),
            ids: EndpointIds::default(),
            held_out: MaintenanceSet::default(),
            policy: 0,
        };
        let state = Mutex::new(state);
        Arc::new(Dispatcher {
            clock: Clock::start(),
            counters,
            state,
            orders,
            subscribe,
            permit: OnceLock::new(),
        })
    }

    /// What names mean to the module now.
    pub fn names(&self) -> Arc<Names> {
        Arc::clone(&self.lock().names)
    }

    /// Looks at what is in force: the module's own settings, and what names mean.
    pub fn with_active_settings<T>(&self, look: impl FnOnce(&Settings, &Names) -> T) -> T {
        let state = self.lock();
        look(state.balancer.settings(), &state.names)
    }

    /// From now on invocations are taken in under this permit only; the first that is told counts.
    pub fn set_admission_lease(&self, permit: Arc<AdmissionLease>) {
        let _ = self.permit.set(permit);
    }

    /// Whether invocations are taken in under a permit only.
    pub fn requires_lease(&self) -> bool {
        self.permit.get().is_some()
    }

    /// Whether this process may take nothing in, and is not about to.
    pub fn is_fenced(&self) -> bool {
        self.requires_lease() && matches!(self.admission(self.lock().policy), Admission::Reject(_))
    }

    /// Whether what was read by this version of the names may be judged by it at this moment; none if it is to be read again.
    pub fn admission_for(&self, version: u64) -> Option<Admission> {
        let state = self.lock();
        (state.names.version == version).then(|| self.admission(state.policy))
    }

    /// Danger: looked at when an invocation is taken in, with what is in force locked.
    fn admission(&self, policy: u64) -> Admission {
        self.permit
            .get()
            .map_or(Admission::Admit, |permit| permit.admission(policy, tokio::time::Instant::now()))
    }

    /// Puts a version of the fleet's policy in force, as [`Dispatcher::retune`] does.
    pub fn apply_policy(self: &Arc<Self>, version: u64, settings: Settings, names: Names) {
        let mut state = self.lock();
        state.policy = version;
        self.activate(state, settings, names);
    }

    /// Puts other settings in force, and what names mean by them, in one step. Open invocations keep what they
    /// were taken with.
    pub fn apply_settings(self: &Arc<Self>, settings: Settings, names: Names) {
        self.activate(self.lock(), settings, names);
    }

    fn activate(self: &Arc<Self>, mut state: MutexGuard<Inner>, settings: Settings, mut names: Names) {
        state.origin_kind = settings.family.origin_kind;
        state.balancer.retune(settings);
        names.version = state.names.version + 1;
        state.names = Arc::new(names);
        // Kinds and zones may have other numbers now.
        let listed = state.held_out.all();
        self.hear(state, ListForm::Delta, listed);
    }

    /// From now on this is the proxy's share of what all may have together; what it has beyond its base ends at that moment.
    /// Danger: a moment, not a duration. A process that is stopped before it comes here would count that from its waking.
    pub fn apply_quota(self: &Arc<Self>, share: Share, ends: Instant) {
        let until = self.clock.at(ends);
        self.step(self.lock(), Event::Share(Share { until, ..share }));
    }

    /// Invocations that are not yet answered.
    pub fn pending_count(&self) -> usize {
        self.lock().records.values().filter(|record| record.open.is_some()).count()
    }

    /// Takes an invocation in. Its one answer goes to `reply`, unless the consumer leaves first.
    pub fn submit(
        self: &Arc<Self>,
        invocation: ClientRequest,
        reply: ResponseCallback,
    ) -> Result<RequestId, SubmitError> {
        let write = invocation.value.is_some();
        let overdue = span(invocation.budget) + OVERDUE;
        let mut state = self.lock();
        match self.admission(state.policy) {
            Admission::Admit => {}
            Admission::Wait => {
                return Err(SubmitError::PolicyChanging { request: Box::new(invocation), respond: reply })
            }
            Admission::Reject(back) => {
                self.permit.get().into_iter().for_each(|permit| permit.count_rejection());
                return Err(SubmitError::Fenced { retry_after: back });
            }
        }
        if invocation.version != state.names.version {
            return Err(SubmitError::Outdated { request: Box::new(invocation), respond: reply });
        }
        if !state.open_ids.insert(invocation.opaque.clone()) {
            return Err(SubmitError::IdInUse);
        }
        if write { &self.counters.taken_writes } else { &self.counters.taken_reads }.add();
        state.last_id += 1;
        let id = state.last_id;
        let request = Request {
            id,
            class: invocation.class,
            tenant: invocation.tenant,
            key: key_number(&invocation.key),
            budget: invocation.budget,
            hint: invocation.hint,
            repeat: invocation.repeat,
            write,
        };
        let invocation = Arc::new(invocation);
        let waits = TimerSet::default();
        // The module sets a timer for each deadline. Should it ever lose one, no consumer waits for good.
        let exchange = Arc::clone(self);
        waits.by(move |guard| {
            if guard.sleep(overdue) {
                exchange.expire(id);
            }
        });
        let record = Record {
            invocation,
            open: Some(Open { reply, waits }),
            sends: 0,
            out: BTreeMap::new(),
            began: None,
        };
        state.records.insert(id, record);
        self.step(state, Event::Request(request));
        Ok(id)
    }

    /// The consumer of an invocation has left.
    pub fn cancel(self: &Arc<Self>, id: RequestId) {
        let mut state = self.lock();
        // What waits on it ends with the lock released.
        let open = state.records.get_mut(&id).and_then(|record| record.open.take());
        if open.is_some() {
            self.counters.consumers_gone.add();
            self.step(state, Event::ClientGone(id));
        }
    }

    /// Ends whatever is unanswered, as failed: the program stops.
    pub fn abort_all(self: &Arc<Self>) {
        let open: Vec<RequestId> = {
            let state = self.lock();
            state.records.iter().filter(|(_, record)| record.open.is_some()).map(|(id, _)| *id).collect()
        };
        for id in open {
            self.expire(id);
        }
    }

    fn expire(self: &Arc<Self>, id: RequestId) {
        let mut state = self.lock();
        if let Some(open) = state.records.get_mut(&id).and_then(|record| record.open.take()) {
            self.counters.overdue.add();
            self.counters.answered_failed.add();
            self.step(state, Event::ClientGone(id));
            open.answer(Response::Failed);
        }
    }

    /// Whether a call may still be sent: it is not too late, its invocation is open, and its provider takes work and is the
    /// process that was meant. Danger: asked before the first byte, and again before each that had to wait.
    pub fn should_send(&self, call: &AttemptRequest) -> bool {
        let state = self.lock();
        if Instant::now() >= call.send_by {
            return false;
        }
        let Some(record) = state.records.get(&call.id.request) else { return false };
        let Some((server, _)) = record.out.get(&call.id.attempt) else { return false };
        let known = state.providers.get(server);
        record.open.is_some()
            && known.is_some_and(|known| known.is_ready() && known.started == call.server_started)
    }

    /// Whether a provider takes new calls, and is still the process that started then.
    pub fn accepts_attempts(&self, provider: ServerId, started: Time) -> bool {
        let same = |known: &Known| known.is_ready() && known.started == started;
        self.lock().providers.get(&provider).is_some_and(same)
    }

    /// The value that a call brings is too long to be read whole: the answer begins here, and the call goes on.
    /// False if nobody waits for it any more.
    pub fn attempt_streaming(self: &Arc<Self>, call: AttemptId, length: usize, sink: BodyWriter) -> bool {
        let mut state = self.lock();
        let now = self.clock.now();
        let Some(record) = state.records.get_mut(&call.request) else { return false };
        let Some(open) = record.open.take() else { return false };
        record.began = Some(now);
        self.counters.answered_served.add();
        open.answer(Response::Stream { length, body: sink });
        self.step(state, Event::StreamBegan(call.request));
        true
    }

    /// An invoker call has ended. Only the first report of a call counts.
    pub fn attempt_finished(self: &Arc<Self>, call: AttemptId, outcome: Outcome, payload: Option<Payload>) {
        let mut state = self.lock();
        let now = self.clock.now();
        let Some(record) = state.records.get_mut(&call.request) else { return };
        let Some((server, sent)) = record.out.remove(&call.attempt) else { return };
        self.counters.outcome(outcome).add();
        let answer = match (outcome, payload) {
            (Outcome::Ok, Some(payload)) => {
                record.open.take().map(|open| (open, Response::Complete(payload)))
            }
            _ => None,
        };
        let end = AttemptEnd {
            id: call.request,
            attempt: call.attempt,
            server,
            // Of a value that flows only the beginning tells of the provider; the rest is the consumer's pace.
            latency: record.began.unwrap_or(now) - sent,
            last: record.open.is_none(),
            outcome,
            report: Vec::new(),
        };
        // The consumer need not wait for what the module makes of it.
        if let Some((open, answer)) = answer {
            self.counters.answered_served.add();
            open.answer(answer);
        }
        self.step(state, Event::AttemptEnd(end));
    }

    /// Discovery tells of providers, or that a watch failed.
    pub fn update_endpoints(self: &Arc<Self>, form: ListForm, list: Vec<Instance>) {
        let mut state = self.lock();
        let heard = state.held_out.told(form, list);
        self.hear(state, form, heard);
    }

    /// What another process of this proxy is to know of nodes.
    pub fn endpoint_snapshot(&self) -> EndpointSnapshot {
        self.lock().held_out.nodes()
    }

    /// Takes over what another process knew of nodes, before discovery's list is told.
    pub fn restore_snapshot(&self, nodes: EndpointSnapshot) {
        self.lock().held_out.inherit(nodes);
    }

    /// Operators hold a cache node out: once this returns, nothing new goes there until it is brought back.
    pub fn enter_maintenance(self: &Arc<Self>, name: &str) -> Result<(), MaintenanceError> {
        let mut state = self.lock();
        let is_origin =
            |node: &Instance| i64::from(state.names.kind(&node.machine_type)) == state.origin_kind;
        if state.held_out.listed(name).is_some_and(is_origin) {
            return Err(MaintenanceError::Origin(name.to_owned()));
        }
        let heard = state.held_out.hold(name, self.clock.now())?;
        log(&format!("{name} is held out"));
        self.hear(state, ListForm::Delta, heard.into_iter().collect());
        Ok(())
    }

    /// Operators let a cache node serve again.
    pub fn leave_maintenance(self: &Arc<Self>, name: &str) -> Result<(), MaintenanceError> {
        let mut state = self.lock();
        let heard = state.held_out.release(name, self.clock.now())?;
        log(&format!("{name} is no longer held out"));
        self.hear(state, ListForm::Delta, heard.into_iter().collect());
        Ok(())
    }

    /// Has the module hear of nodes, and forgets what leads to those that take nothing new.
    fn hear(self: &Arc<Self>, mut state: MutexGuard<Inner>, form: ListForm, list: Vec<Instance>) {
        let list: Vec<Provider> = list.into_iter().filter_map(|node| provider(&state.names, node)).collect();
        state.ids.learn(list.iter().map(|provider| provider.name.as_str()));
        let mut stale = Vec::new();
        if matches!(form, ListForm::Cached | ListForm::Full) {
            let named: BTreeSet<ServerId> = list.iter().map(|p| state.ids.number(&p.name)).collect();
            for (server, known) in state.providers.iter_mut().filter(|(server, _)| !named.contains(server)) {
                known.state = State::Gone;
                stale.push(*server);
            }
        }
        let mut members = Vec::with_capacity(list.len());
        for provider in list {
            let server = state.ids.number(&provider.name);
            let member = Member { server, ..provider.member };
            let origin = i64::from(member.kind) == state.origin_kind;
            let address = provider.address.into();
            let known = Known { address, state: member.state, started: member.started, origin };
            let before = state.providers.get(&server);
            let is_same = |old: &Known| old.address == known.address && old.started == known.started;
            if !known.is_ready() || !before.is_none_or(is_same) {
                stale.push(server);
            }
            state.providers.insert(server, known);
            members.push(member);
        }
        state.forget_gone();
        for server in stale {
            drop(self.orders.send(BackendCommand::Forget(server)));
        }
        self.step(state, Event::Members(form, members));
    }

    /// Shows the module an event and carries out what it wants, the last of it with the lock released.
    fn step(self: &Arc<Self>, mut state: MutexGuard<Inner>, event: Event) {
        let now = self.clock.now();
        let mut events = VecDeque::from([event]);
        let mut effects = Vec::new();
        let mut actions = Vec::new();
        while let Some(event) = events.pop_front() {
            let about = invocation_of(&event);
            let state = &mut *state;
            let handled = catch_unwind(AssertUnwindSafe(|| state.balancer.handle(now, event, &mut actions)));
            if handled.is_err() {
                // The module fell over this event: nothing more can be hoped for its invocation.
                self.counters.panics.add();
                actions.clear();
                actions.extend(about.map(Action::Fail));
            }
            for action in actions.drain(..) {
                match action {
                    Action::Send(id, server, limit, within) => {
                        match self.send(state, now, (id, server), (limit, within)) {
                            Ok(call) => effects.push(Effect::BackendCommand(BackendCommand::Attempt(call))),
                            Err(end) => events.push_back(Event::AttemptEnd(end)),
                        }
                    }
                    Action::Refuse(id, wait) => {
                        let retry_after = (wait > 0.0).then(|| Duration::from_millis(wait.ceil() as u64));
                        effects.extend(self.finish(state, id, Response::Rejected { retry_after }));
                    }
                    Action::Fail(id) => effects.extend(self.finish(state, id, Response::Failed)),
                    Action::Timer(delay, token) => effects.push(Effect::Timer(span(delay), token)),
                    Action::TimerFor(id, delay, token) => {
                        // It ends with its invocation: else the timers of what is long answered pile up.
                        if let Some(open) = state.records.get(&id).and_then(|record| record.open.as_ref()) {
                            let exchange = Arc::clone(self);
                            open.waits.by(move |guard| {
                                if guard.sleep(span(delay)) {
                                    exchange.step(exchange.lock(), Event::Timer(token));
                                }
                            });
                        }
                    }
                    Action::Subscribe => effects.push(Effect::Subscribe),
                }
            }
            if let Some(id) = about {
                let over = |record: &Record| record.open.is_none() && record.out.is_empty();
                if state.records.get(&id).is_some_and(over) {
                    state.forget(id);
                }
            }
        }
        drop(state);
        for effect in effects {
            self.carry_out(effect);
        }
    }

    fn send(
        &self,
        state: &mut Inner,
        now: Time,
        (id, server): (RequestId, ServerId),
        (limit, within): (Time, Time),
    ) -> Result<AttemptRequest, AttemptEnd> {
        let known = state.providers.get(&server);
        let record = state.records.get_mut(&id);
        let attempt = record.as_ref().map_or(0, |record| record.sends);
        let moot = |last| AttemptEnd {
            id,
            attempt,
            server,
            latency: 0.0,
            last,
            outcome: Outcome::Moot,
            report: Vec::new(),
        };
        let Some(record) = record else { return Err(moot(true)) };
        record.sends = record.sends.saturating_add(1);
        self.counters.calls_ordered.add();
        // Danger: a second copy. No module asks for one while a call is out; should one ever, it is seen here, and not sent.
        if !record.out.is_empty() {
            log(&format!("ERROR: a second call was asked for: {}", record.invocation.opaque));
        }
        let is_free = record.open.is_some() && record.out.is_empty();
        let Some(known) = known.filter(|known| known.is_ready() && is_free) else {
            self.counters.calls_moot.add();
            return Err(moot(record.open.is_none()));
        };
        record.out.insert(attempt, (server, now));
        let limit = if limit > 0.0 { limit } else { record.invocation.budget };
        let decided = Instant::now();
        Ok(AttemptRequest {
            id: AttemptId { request: id, attempt },
            server,
            address: Arc::clone(&known.address),
            is_origin: known.origin,
            request: Arc::clone(&record.invocation),
            server_started: known.started,
            deadline: decided + span(limit),
            send_by: decided + span(within),
        })
    }

    /// Ends an invocation with an answer that no provider gave.
    fn finish(&self, state: &mut Inner, id: RequestId, answer: Response) -> Option<Effect> {
        let record = state.records.get_mut(&id)?;
        let open = record.open.take()?;
        if record.out.is_empty() {
            state.forget(id);
        }
        match answer {
            Response::Rejected { .. } => self.counters.answered_rejected.add(),
            _ => self.counters.answered_failed.add(),
        }
        Some(Effect::Response(open, answer))
    }

    fn carry_out(self: &Arc<Self>, effect: Effect) {
        match effect {
            Effect::Response(open, answer) => open.answer(answer),
            // Either side is only gone when the program stops.
            Effect::BackendCommand(order) => drop(self.orders.send(order)),
            Effect::Subscribe => drop(self.subscribe.send(())),
            Effect::Timer(delay, token) => {
                let exchange = Arc::clone(self);
                may::go!(move || {
                    timer::sleep(delay);
                    exchange.step(exchange.lock(), Event::Timer(token));
                });
            }
        }
    }

    fn lock(&self) -> MutexGuard<'_, Inner> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A time of the module's.
fn span(time: Time) -> Duration {
    Duration::from_secs_f64(time.clamp(0.0, MAX_WAIT_MS) / 1000.0)
}

/// No wait is longer than this: more than the module may ask for.
const MAX_WAIT_MS: f64 = 4_260_000.0;

fn invocation_of(event: &Event) -> Option<RequestId> {
    match event {
        Event::Request(request) => Some(request.id),
        Event::AttemptEnd(end) => Some(end.id),
        Event::ClientGone(id) | Event::StreamBegan(id) => Some(*id),
        Event::Members(..) | Event::Timer(_) | Event::Probed(..) | Event::Peer(..) | Event::Share(_) => None,
    }
}
