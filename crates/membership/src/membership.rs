//! One member: what comes in, what goes out, and what is believed in between.

use crate::health::LocalHealth;
use crate::identity::MemberId;
use crate::join_admission::JoinAdmission;
use crate::roster::{MemberRecord, MembershipEvent, PartitionSide, Roster, State, LEAVE_GENERATION};
use crate::settings::{Settings, SettingsError};
use crate::swim::{MembershipCounters, Swim, SwimEvent};
use crate::timers::Timers;
use crate::wire::{self, DatagramKind, DropReason};
use crate::Time;
use std::net::SocketAddr;
use std::sync::Arc;

/// Who is called later than this after something was due has not been running, and from this on that counts as a stop.
const LATE_AFTER: Time = 20;
const PAUSED_AFTER: Time = 200;
/// What is believed is looked at so often when nothing says that it has changed: suspicions that others tell of.
const REFRESH_INTERVAL: Time = 1000;
/// Two processes of one name tell each other so often, and each is believed for so long.
const CONFLICT_ANNOUNCE_INTERVAL: Time = 1000;
const CONFLICT_EXPIRES_AFTER: Time = 3500;
/// A member that has just joined asks one member more each time it asks peers, for so long.
const NEWCOMER_PERIOD: Time = 30_000;
/// Who leaves says so to so many directly; the others hear it from them.
const LEAVE_FANOUT: usize = 16;

/// What is to be done.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Output {
    /// Send a datagram.
    Send(SocketAddr, Vec<u8>),
    /// Hear something.
    MembershipEvent(MembershipEvent),
    /// What another member says about shares.
    Shares(Vec<u8>),
    /// What the member at this address says about its links.
    Links(SocketAddr, Vec<u8>),
}

enum TimerKind {
    /// SWIM's.
    Swim(foca::Timer<MemberId>),
    /// Ask peers that are not heard.
    Discover,
    /// Look what is believed.
    Refresh,
    /// Tell the rival.
    NameConflict,
}

/// Where this member stands among those of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LocalState {
    /// It is the only process of its name.
    SoleHolder,
    /// An earlier one is still there.
    Superseding { earlier: MemberId, heard: Time },
    /// A later one is there: that one counts, and this one is out of the fleet until it is gone.
    Superseded { later: MemberId, heard: Time },
    /// It has said that it leaves.
    Left,
}

/// The membership of a fleet as one of its members sees it.
pub struct Membership {
    settings: Settings,
    local_id: MemberId,
    seed: u64,
    admission: JoinAdmission,
    swim: Swim,
    timers: Timers<TimerKind>,
    health: LocalHealth,
    roster: Roster,
    side: PartitionSide,
    local_state: LocalState,
    started_at: Time,
    now: Time,
    /// Peers that were never heard.
    unseen_peers: Vec<SocketAddr>,
    counters: MembershipCounters,
}

impl Membership {
    /// A member that knows nobody yet. `start` is when its process started, in Unix microseconds; equal seeds and
    /// inputs give equal outputs. It is to be called at [`Membership::next_due`] from now on.
    pub fn new(settings: Settings, start: u64, seed: u64, now: Time) -> Result<Membership, SettingsError> {
        settings.check()?;
        let me = MemberId::new(settings.name.as_str().into(), start, settings.advertise);
        let admission = JoinAdmission::new(me.clone(), settings.size);
        let swim = Swim::new(
            me.clone(),
            admission.clone(),
            settings.times,
            wire::body_capacity(&settings.fleet),
            seed,
        );
        let mut timers = Timers::new();
        timers.set(now, TimerKind::Discover);
        timers.set(now + REFRESH_INTERVAL, TimerKind::Refresh);
        let unseen_peers = settings.peers.clone();
        let (roster, counts, health) =
            (Roster::default(), MembershipCounters::default(), LocalHealth::default());
        let side = roster.side(unseen_peers.len());
        let local_state = LocalState::SoleHolder;
        Ok(Membership {
            settings,
            local_id: me,
            seed,
            admission,
            swim,
            timers,
            health,
            roster,
            side,
            local_state,
            started_at: now,
            now,
            unseen_peers,
            counters: counts,
        })
    }

    /// When [`Membership::due`] is to be called at the latest.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Time has passed.
    pub fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        self.advance_clock(now, out);
        while let Some(due) = self.timers.pop_due(now) {
            match due {
                TimerKind::Swim(timer) => {
                    let forgets = matches!(timer, foca::Timer::RemoveDown(_));
                    self.swim.handle_timer(timer);
                    self.apply_swim_output(out);
                    if forgets {
                        self.swim.prune();
                        let name_hashes = self.swim.members().map(|member| member.id().name_hash()).collect();
                        out.extend(
                            self.roster.retain_known(&name_hashes).into_iter().map(Output::MembershipEvent),
                        );
                    }
                }
                TimerKind::Discover => self.discover_peers(out),
                TimerKind::Refresh => {
                    // Names that came with words which SWIM did not take are forgotten again.
                    self.swim.prune();
                    self.refresh_roster(out);
                    self.timers.set(now + REFRESH_INTERVAL, TimerKind::Refresh);
                }
                TimerKind::NameConflict => self.announce_name_conflict(out),
            }
        }
    }

    /// A datagram has come.
    pub fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.advance_clock(now, out);
        self.counters.datagrams_heard += 1;
        self.counters.bytes_heard += bytes.len() as u64;
        if self.local_state == LocalState::Left {
            return;
        }
        let done = wire::decode_datagram(&self.settings.fleet, bytes)
            .and_then(|(kind, body)| self.handle_body(kind, body, from, out));
        if let Err(why) = done {
            match why {
                DropReason::UnknownProtocol => self.counters.dropped_foreign += 1,
                DropReason::UnsupportedVersion => self.counters.dropped_too_new += 1,
                DropReason::Corrupt => self.counters.dropped_spoilt += 1,
                DropReason::OtherFleet => self.counters.dropped_other_fleet += 1,
                DropReason::FleetFull => {
                    self.counters.dropped_no_room += 1;
                    let size = self.settings.size as u64;
                    self.send(DatagramKind::FleetFull, from, &wire::encode_body(&size), out);
                }
            }
        }
    }

    /// Says something about shares to a member, unless this process is out of the fleet.
    pub fn send_quota_message(&mut self, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        if self.is_name_holder() {
            self.send(DatagramKind::Quota, to, body, out);
        }
    }

    /// Says something about this process's links to a member, unless this process is out of the fleet.
    pub fn send_directory_message(&mut self, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        if self.is_name_holder() {
            self.send(DatagramKind::Directory, to, body, out);
        }
    }

    /// Other peers are to be asked from now on.
    pub fn set_peers(
        &mut self,
        now: Time,
        peers: Vec<SocketAddr>,
        out: &mut Vec<Output>,
    ) -> Result<(), SettingsError> {
        let newer = Settings { peers, ..self.settings.clone() };
        newer.check()?;
        self.settings = newer;
        self.unseen_peers = self.settings.peers.clone();
        self.advance_clock(now, out);
        self.timers.retain(|due| !matches!(due, TimerKind::Discover));
        self.discover_peers(out);
        self.refresh_roster(out);
        Ok(())
    }

    /// This member leaves on purpose.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.advance_clock(now, out);
        if self.is_name_holder() {
            let last = self.local_id.with_generation(LEAVE_GENERATION);
            let active: Vec<SocketAddr> = self.active().take(LEAVE_FANOUT).map(|id| id.address).collect();
            let words = wire::encode_body(&last);
            for to in active {
                self.send(DatagramKind::Leave, to, &words, out);
            }
            self.swim.leave(last);
            self.apply_swim_output(out);
        }
        self.local_state = LocalState::Left;
        self.timers.retain(|_| false);
    }

    /// This process, as others know it.
    pub fn local_id(&self) -> &MemberId {
        &self.local_id
    }

    /// On which side this member is.
    pub fn side(&self) -> PartitionSide {
        self.side
    }

    /// Where a process runs that bears this member's name too, and whether that one counts in the fleet.
    pub fn name_conflict(&self) -> Option<(SocketAddr, bool)> {
        match &self.local_state {
            LocalState::Superseding { earlier, .. } => Some((earlier.address, false)),
            LocalState::Superseded { later, .. } => Some((later.address, true)),
            LocalState::SoleHolder | LocalState::Left => None,
        }
    }

    /// All members, this one included, in the order of their names.
    pub fn members(&self) -> Vec<MemberRecord> {
        let own = MemberRecord {
            name: Arc::clone(&self.local_id.name),
            start: self.local_id.start,
            address: self.local_id.address,
            state: if self.local_state == LocalState::Left { State::Left } else { State::Alive },
            incarnation: self.swim.incarnation(),
            since: self.started_at,
        };
        let mut all: Vec<MemberRecord> = self.roster.entries().cloned().collect();
        all.push(own);
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// What was counted.
    pub fn counters(&self) -> MembershipCounters {
        let swim = self.swim.output.counts;
        let (rejected_full, heard) = {
            let admission = self.admission.state();
            (admission.rejected_full, admission.heard)
        };
        MembershipCounters {
            probes: self.counters.probes + swim.probes,
            probes_indirect: self.counters.probes_indirect + swim.probes_indirect,
            probes_failed: self.counters.probes_failed + swim.probes_failed,
            news_sent: self.counters.news_sent + swim.news_sent,
            news_heard: heard,
            dropped_no_room: self.counters.dropped_no_room.max(rejected_full),
            ..self.counters
        }
    }

    /// It is this time now. Danger: what was due while this process was stopped would be taken for the silence of
    /// others: their answers lie unread. What did not pass here is added to every wait.
    fn advance_clock(&mut self, now: Time, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let Some(due) = self.timers.next().filter(|due| due + LATE_AFTER < now) else { return };
        let gap = now - due;
        self.timers.postpone_all(gap);
        // Danger: a suspicion of before would end before anybody could hear of it and object.
        let time_to_object = now + self.settings.times.suspicion / 2;
        let is_suspicion =
            |timer: &TimerKind| matches!(timer, TimerKind::Swim(foca::Timer::ChangeSuspectToDown { .. }));
        self.timers.postpone_until(time_to_object, is_suspicion);
        if gap < PAUSED_AFTER {
            return;
        }
        self.health.worsen(1 + (gap / 1000).min(2));
        self.counters.stops += 1;
        out.push(Output::MembershipEvent(MembershipEvent::Stopped(gap)));
    }

    fn handle_body(
        &mut self,
        kind: DatagramKind,
        body: &[u8],
        from: SocketAddr,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        match kind {
            DatagramKind::Swim => return self.handle_swim(body, out),
            DatagramKind::Directory if self.is_name_holder() => out.push(Output::Links(from, body.to_vec())),
            DatagramKind::Directory => {}
            DatagramKind::Quota if self.is_name_holder() => out.push(Output::Shares(body.to_vec())),
            DatagramKind::Quota => {}
            DatagramKind::FleetFull => {
                let room: u64 = wire::decode_body(body)?;
                out.push(Output::MembershipEvent(MembershipEvent::NoRoom(from, room as usize)));
            }
            DatagramKind::Discover
            | DatagramKind::DiscoverReply
            | DatagramKind::NameConflict
            | DatagramKind::Leave => {
                let id = wire::decode_member_id(body)?;
                if id.name == self.local_id.name {
                    if id.start != self.local_id.start && kind != DatagramKind::Leave {
                        self.record_name_conflict(id, out);
                    }
                    return Ok(());
                }
                if matches!(self.local_state, LocalState::Superseded { .. }) {
                    return Ok(());
                }
                if !self.admission.state().has_capacity_for(&id) {
                    return Err(DropReason::FleetFull);
                }
                match kind {
                    DatagramKind::Discover => {
                        let me = wire::encode_body(&self.local_id);
                        self.send(DatagramKind::DiscoverReply, id.address, &me, out);
                    }
                    DatagramKind::DiscoverReply => self.swim.announce(id),
                    DatagramKind::Leave if id.generation == LEAVE_GENERATION => {
                        self.swim.apply(foca::Member::down(id))
                    }
                    _ => return Err(DropReason::Corrupt),
                }
                self.apply_swim_output(out);
            }
        }
        Ok(())
    }

    fn handle_swim(&mut self, body: &[u8], out: &mut Vec<Output>) -> Result<(), DropReason> {
        if matches!(self.local_state, LocalState::Superseded { .. }) {
            return Ok(());
        }
        let turned_away = self.admission.state().rejected_full;
        let done = self.swim.handle_data(body);
        self.apply_swim_output(out);
        let (rival, superseded, rejected_full) = {
            let mut admission = self.admission.state();
            (admission.conflicting.take(), admission.superseded.take(), admission.rejected_full > turned_away)
        };
        if let Some((earlier, later)) = superseded {
            self.send(DatagramKind::NameConflict, earlier, &wire::encode_body(&later), out);
        }
        if let Some(rival) = rival {
            self.record_name_conflict(rival, out);
            return Ok(());
        }
        match done {
            Ok(()) => Ok(()),
            Err(_) if rejected_full => Err(DropReason::FleetFull),
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig) => {
                Err(DropReason::Corrupt)
            }
            // What was said to another, or by itself, is no fault of the datagram.
            Err(_) => Ok(()),
        }
    }

    /// Does what SWIM wants.
    fn apply_swim_output(&mut self, out: &mut Vec<Output>) {
        for (to, words) in std::mem::take(&mut self.swim.output.datagrams) {
            self.send(DatagramKind::Swim, to.address, &words, out);
        }
        let mut changed = false;
        let (mut probed, mut failed) = (false, false);
        for note in std::mem::take(&mut self.swim.output.events) {
            match note {
                SwimEvent::Changed => changed = true,
                SwimEvent::ProbeFailed => failed = true,
                SwimEvent::Probed => probed = true,
                SwimEvent::Refuted(_) => {
                    self.counters.refuted += 1;
                    self.health.worsen(1);
                }
                SwimEvent::Rejoined(id) => {
                    self.local_id = id;
                    self.admission.state().me = self.local_id.clone();
                    self.counters.returned += 1;
                    out.push(Output::MembershipEvent(MembershipEvent::Returned));
                }
            }
        }
        for (timer, after) in std::mem::take(&mut self.swim.output.timers) {
            use foca::Timer::{ChangeSuspectToDown, ProbeRandomMember, SendIndirectProbe};
            let waits_for_others =
                matches!(timer, ProbeRandomMember(_) | SendIndirectProbe { .. } | ChangeSuspectToDown { .. });
            let after = if waits_for_others { self.health.scale(after) } else { after };
            self.timers.set(self.now + after, TimerKind::Swim(timer));
        }
        if probed && !failed {
            self.health.improve();
        }
        if changed {
            self.refresh_roster(out);
        }
    }

    /// What SWIM believes by now.
    fn refresh_roster(&mut self, out: &mut Vec<Output>) {
        let news = self.roster.update(self.now, self.swim.members());
        let changed = !news.is_empty();
        for news in news {
            if let MembershipEvent::Member { entry, .. } = &news {
                match entry.state {
                    State::Failed => self.counters.failed += 1,
                    State::Left => self.counters.left += 1,
                    State::Alive | State::Suspect => {}
                }
                self.unseen_peers.retain(|peer| *peer != entry.address);
            }
            out.push(Output::MembershipEvent(news));
        }
        if changed {
            self.swim.adapt_to_size();
        }
        let side = match self.local_state {
            LocalState::Superseded { .. } => PartitionSide::Alone,
            _ => self.roster.side(self.unseen_peers.len()),
        };
        if side != self.side {
            self.side = side;
            out.push(Output::MembershipEvent(MembershipEvent::PartitionSide(side)));
        }
    }

    /// Whether this process is who bears its name in the fleet.
    pub fn is_name_holder(&self) -> bool {
        matches!(self.local_state, LocalState::SoleHolder | LocalState::Superseding { .. })
    }

    /// The others that are alive or suspected: where they are reached, and when they started.
    pub fn live_peers(&self) -> impl Iterator<Item = (SocketAddr, u64)> + '_ {
        self.active().map(|id| (id.address, id.start))
    }

    fn active(&self) -> impl Iterator<Item = &MemberId> {
        self.swim.members().filter(|member| member.state() != foca::State::Down).map(foca::Member::id)
    }

    /// Asks the peers that are not among those alive. A new member asks one of those as well, for whom it knows.
    fn discover_peers(&mut self, out: &mut Vec<Output>) {
        if self.is_name_holder() {
            let here: Vec<SocketAddr> = self.active().map(|id| id.address).collect();
            let me = wire::encode_body(&self.local_id);
            for peer in self.settings.peers.clone() {
                if !here.contains(&peer) {
                    self.send(DatagramKind::Discover, peer, &me, out);
                }
            }
            if self.now < self.started_at + NEWCOMER_PERIOD {
                let nth = (self.now / self.settings.times.rejoin.max(1)) as usize;
                let one = self.active().nth(nth % self.swim.active().max(1)).cloned();
                if let Some(id) = one {
                    self.swim.announce(id);
                }
                self.apply_swim_output(out);
            }
        }
        self.timers.set(self.now + self.settings.times.rejoin, TimerKind::Discover);
    }

    /// Another process bears this member's name. None of them wins in silence: both say so for as long as both are
    /// there, and the later start is who counts.
    fn record_name_conflict(&mut self, rival: MemberId, out: &mut Vec<Output>) {
        let later = rival.start > self.local_id.start;
        let is_new = self.name_conflict() != Some((rival.address, later));
        let was_displaced = matches!(self.local_state, LocalState::Superseded { .. });
        if is_new {
            out.push(Output::MembershipEvent(MembershipEvent::Rival(rival.address, later)));
            self.timers.retain(|due| !matches!(due, TimerKind::NameConflict));
            self.timers.set(self.now, TimerKind::NameConflict);
        }
        if later {
            if !was_displaced {
                self.timers.retain(|due| !matches!(due, TimerKind::Swim(_)));
            }
            self.local_state = LocalState::Superseded { later: rival, heard: self.now };
        } else {
            self.local_state = LocalState::Superseding { earlier: rival, heard: self.now };
        }
        if is_new {
            self.refresh_roster(out);
        }
    }

    fn announce_name_conflict(&mut self, out: &mut Vec<Output>) {
        let (rival, heard, later) = match &self.local_state {
            LocalState::Superseding { earlier, heard } => (earlier.clone(), *heard, false),
            LocalState::Superseded { later, heard } => (later.clone(), *heard, true),
            LocalState::SoleHolder | LocalState::Left => return,
        };
        if heard + CONFLICT_EXPIRES_AFTER > self.now {
            let me = wire::encode_body(&self.local_id);
            self.send(DatagramKind::NameConflict, rival.address, &me, out);
            return self.timers.set(self.now + CONFLICT_ANNOUNCE_INTERVAL, TimerKind::NameConflict);
        }
        out.push(Output::MembershipEvent(MembershipEvent::RivalGone));
        self.local_state = LocalState::SoleHolder;
        if later {
            // It comes back as the process after that one: who heard of that one would hear of no earlier one.
            self.local_id = self.local_id.with_start(rival.start + 1);
            self.admission.state().me = self.local_id.clone();
            let counts = self.counters();
            let room = wire::body_capacity(&self.settings.fleet);
            self.seed = self.seed.wrapping_add(1);
            self.swim = Swim::new(
                self.local_id.clone(),
                self.admission.clone(),
                self.settings.times,
                room,
                self.seed,
            );
            self.counters = counts;
            self.timers.retain(|due| !matches!(due, TimerKind::Discover));
            self.discover_peers(out);
        }
        self.refresh_roster(out);
    }

    fn send(&mut self, kind: DatagramKind, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        let datagram = wire::encode_datagram(kind, &self.settings.fleet, body);
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += datagram.len() as u64;
        out.push(Output::Send(to, datagram));
    }
}
