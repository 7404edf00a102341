//! One member: what comes in, what goes out, and what is believed in between.

use crate::health::Health;
use crate::identity::MemberId;
use crate::join_admission::JoinAdmission;
use crate::roster::{MemberRecord, MembershipEvent, PartitionSide, Roster, State, LAST_LIFE};
use crate::settings::{Settings, SettingsError};
use crate::swim::{MembershipCounters, Swim, SwimEvent};
use crate::timers::Timers;
use crate::wire::{self, DatagramKind, DropReason};
use crate::Time;
use std::net::SocketAddr;
use std::sync::Arc;

/// Who is called later than this after something was due has not been running, and from this on that counts as a stop.
const LATE: Time = 20;
const STOP: Time = 200;
/// What is believed is looked at so often when nothing says that it has changed: suspicions that others tell of.
const LOOK: Time = 1000;
/// Two processes of one name tell each other so often, and each is believed for so long.
const RIVAL_TOLD: Time = 1000;
const RIVAL_BELIEVED: Time = 3500;
/// A member that has just joined asks one member more each time it asks peers, for so long.
const NEW: Time = 30_000;
/// Who leaves says so to so many directly; the others hear it from them.
const BYES: usize = 16;

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

enum Due {
    /// SWIM's.
    Swim(foca::Timer<MemberId>),
    /// Ask peers that are not heard.
    Ask,
    /// Look what is believed.
    Look,
    /// Tell the rival.
    Rival,
}

/// Where this member stands among those of its name.
#[derive(Clone, Debug, PartialEq, Eq)]
enum LocalState {
    /// It is the only process of its name.
    Only,
    /// An earlier one is still there.
    Followed { earlier: MemberId, heard: Time },
    /// A later one is there: that one counts, and this one is out of the fleet until it is gone.
    Displaced { later: MemberId, heard: Time },
    /// It has said that it leaves.
    Gone,
}

/// The membership of a fleet as one of its members sees it.
pub struct Membership {
    settings: Settings,
    local_id: MemberId,
    seed: u64,
    gate: JoinAdmission,
    swim: Swim,
    timers: Timers<Due>,
    health: Health,
    members: Roster,
    side: PartitionSide,
    standing: LocalState,
    began: Time,
    now: Time,
    /// Peers that were never heard.
    unheard: Vec<SocketAddr>,
    counters: MembershipCounters,
}

impl Membership {
    /// A member that knows nobody yet. `start` is when its process started, in Unix microseconds; equal seeds and
    /// inputs give equal outputs. It is to be called at [`Membership::next_due`] from now on.
    pub fn new(settings: Settings, start: u64, seed: u64, now: Time) -> Result<Membership, SettingsError> {
        settings.check()?;
        let me = MemberId::new(settings.name.as_str().into(), start, settings.advertise);
        let gate = JoinAdmission::new(me.clone(), settings.size);
        let swim = Swim::new(me.clone(), gate.clone(), settings.times, wire::room(&settings.fleet), seed);
        let mut timers = Timers::new();
        timers.set(now, Due::Ask);
        timers.set(now + LOOK, Due::Look);
        let unheard = settings.peers.clone();
        let (roster, counts, health) = (Roster::default(), MembershipCounters::default(), Health::default());
        let side = roster.side(unheard.len());
        let standing = LocalState::Only;
        Ok(Membership {
            settings,
            local_id: me,
            seed,
            gate,
            swim,
            timers,
            health,
            members: roster,
            side,
            standing,
            began: now,
            now,
            unheard,
            counters: counts,
        })
    }

    /// When [`Membership::due`] is to be called at the latest.
    pub fn next_timeout(&self) -> Option<Time> {
        self.timers.next()
    }

    /// Time has passed.
    pub fn handle_timeout(&mut self, now: Time, out: &mut Vec<Output>) {
        self.arrive(now, out);
        while let Some(due) = self.timers.due(now) {
            match due {
                Due::Swim(timer) => {
                    let forgets = matches!(timer, foca::Timer::RemoveDown(_));
                    self.swim.timer(timer);
                    self.carry_out(out);
                    if forgets {
                        self.swim.prune();
                        let marks = self.swim.members().map(|member| member.id().mark()).collect();
                        out.extend(self.members.keep(&marks).into_iter().map(Output::MembershipEvent));
                    }
                }
                Due::Ask => self.ask(out),
                Due::Look => {
                    // Names that came with words which SWIM did not take are forgotten again.
                    self.swim.prune();
                    self.look(out);
                    self.timers.set(now + LOOK, Due::Look);
                }
                Due::Rival => self.tell_rival(out),
            }
        }
    }

    /// A datagram has come.
    pub fn handle_datagram(&mut self, now: Time, from: SocketAddr, bytes: &[u8], out: &mut Vec<Output>) {
        self.arrive(now, out);
        self.counters.datagrams_heard += 1;
        self.counters.bytes_heard += bytes.len() as u64;
        if self.standing == LocalState::Gone {
            return;
        }
        let done = wire::open(&self.settings.fleet, bytes)
            .and_then(|(kind, body)| self.understand(kind, body, from, out));
        if let Err(why) = done {
            match why {
                DropReason::Foreign => self.counters.dropped_foreign += 1,
                DropReason::TooNew => self.counters.dropped_too_new += 1,
                DropReason::Spoilt => self.counters.dropped_spoilt += 1,
                DropReason::OtherFleet => self.counters.dropped_other_fleet += 1,
                DropReason::NoRoom => {
                    self.counters.dropped_no_room += 1;
                    let size = self.settings.size as u64;
                    self.send(DatagramKind::NoRoom, from, &wire::words(&size), out);
                }
            }
        }
    }

    /// Says something about shares to a member, unless this process is out of the fleet.
    pub fn send_quota_message(&mut self, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        if self.is_name_holder() {
            self.send(DatagramKind::Shares, to, body, out);
        }
    }

    /// Says something about this process's links to a member, unless this process is out of the fleet.
    pub fn send_directory_message(&mut self, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        if self.is_name_holder() {
            self.send(DatagramKind::Links, to, body, out);
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
        self.unheard = self.settings.peers.clone();
        self.arrive(now, out);
        self.timers.retain(|due| !matches!(due, Due::Ask));
        self.ask(out);
        self.look(out);
        Ok(())
    }

    /// This member leaves on purpose.
    pub fn leave(&mut self, now: Time, out: &mut Vec<Output>) {
        self.arrive(now, out);
        if self.is_name_holder() {
            let last = self.local_id.in_life(self.local_id.start, LAST_LIFE);
            let active: Vec<SocketAddr> = self.active().take(BYES).map(|id| id.address).collect();
            let words = wire::words(&last);
            for to in active {
                self.send(DatagramKind::Bye, to, &words, out);
            }
            self.swim.leave(last);
            self.carry_out(out);
        }
        self.standing = LocalState::Gone;
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
        match &self.standing {
            LocalState::Followed { earlier, .. } => Some((earlier.address, false)),
            LocalState::Displaced { later, .. } => Some((later.address, true)),
            LocalState::Only | LocalState::Gone => None,
        }
    }

    /// All members, this one included, in the order of their names.
    pub fn members(&self) -> Vec<MemberRecord> {
        let own = MemberRecord {
            name: Arc::clone(&self.local_id.name),
            start: self.local_id.start,
            address: self.local_id.address,
            state: if self.standing == LocalState::Gone { State::Left } else { State::Alive },
            incarnation: self.swim.incarnation(),
            since: self.began,
        };
        let mut all: Vec<MemberRecord> = self.members.entries().cloned().collect();
        all.push(own);
        all.sort_by(|a, b| a.name.cmp(&b.name));
        all
    }

    /// What was counted.
    pub fn counters(&self) -> MembershipCounters {
        let swim = self.swim.wants.counts;
        let (no_room, heard) = {
            let gate = self.gate.state();
            (gate.no_room, gate.heard)
        };
        MembershipCounters {
            probes: self.counters.probes + swim.probes,
            probes_indirect: self.counters.probes_indirect + swim.probes_indirect,
            probes_failed: self.counters.probes_failed + swim.probes_failed,
            news_sent: self.counters.news_sent + swim.news_sent,
            news_heard: heard,
            dropped_no_room: self.counters.dropped_no_room.max(no_room),
            ..self.counters
        }
    }

    /// It is this time now. Danger: what was due while this process was stopped would be taken for the silence of
    /// others: their answers lie unread. What did not pass here is added to every wait.
    fn arrive(&mut self, now: Time, out: &mut Vec<Output>) {
        self.now = self.now.max(now);
        let Some(due) = self.timers.next().filter(|due| due + LATE < now) else { return };
        let gap = now - due;
        self.timers.put_off(gap);
        // Danger: a suspicion of before would end before anybody could hear of it and object.
        let time_to_object = now + self.settings.times.suspicion / 2;
        let is_suspicion = |due: &Due| matches!(due, Due::Swim(foca::Timer::ChangeSuspectToDown { .. }));
        self.timers.not_before(time_to_object, is_suspicion);
        if gap < STOP {
            return;
        }
        self.health.worsen(1 + (gap / 1000).min(2));
        self.counters.stops += 1;
        out.push(Output::MembershipEvent(MembershipEvent::Stopped(gap)));
    }

    fn understand(
        &mut self,
        kind: DatagramKind,
        body: &[u8],
        from: SocketAddr,
        out: &mut Vec<Output>,
    ) -> Result<(), DropReason> {
        match kind {
            DatagramKind::Swim => return self.swim_said(body, out),
            DatagramKind::Links if self.is_name_holder() => out.push(Output::Links(from, body.to_vec())),
            DatagramKind::Links => {}
            DatagramKind::Shares if self.is_name_holder() => out.push(Output::Shares(body.to_vec())),
            DatagramKind::Shares => {}
            DatagramKind::NoRoom => {
                let room: u64 = wire::read(body)?;
                out.push(Output::MembershipEvent(MembershipEvent::NoRoom(from, room as usize)));
            }
            DatagramKind::Hello | DatagramKind::Here | DatagramKind::Rival | DatagramKind::Bye => {
                let id = wire::read_id(body)?;
                if id.name == self.local_id.name {
                    if id.start != self.local_id.start && kind != DatagramKind::Bye {
                        self.meet_rival(id, out);
                    }
                    return Ok(());
                }
                if matches!(self.standing, LocalState::Displaced { .. }) {
                    return Ok(());
                }
                if !self.gate.state().has_room(&id) {
                    return Err(DropReason::NoRoom);
                }
                match kind {
                    DatagramKind::Hello => {
                        let me = wire::words(&self.local_id);
                        self.send(DatagramKind::Here, id.address, &me, out);
                    }
                    DatagramKind::Here => self.swim.announce(id),
                    DatagramKind::Bye if id.life == LAST_LIFE => self.swim.hear(foca::Member::down(id)),
                    _ => return Err(DropReason::Spoilt),
                }
                self.carry_out(out);
            }
        }
        Ok(())
    }

    fn swim_said(&mut self, body: &[u8], out: &mut Vec<Output>) -> Result<(), DropReason> {
        if matches!(self.standing, LocalState::Displaced { .. }) {
            return Ok(());
        }
        let turned_away = self.gate.state().no_room;
        let done = self.swim.data(body);
        self.carry_out(out);
        let (rival, followed, no_room) = {
            let mut gate = self.gate.state();
            (gate.rival.take(), gate.followed.take(), gate.no_room > turned_away)
        };
        if let Some((earlier, later)) = followed {
            self.send(DatagramKind::Rival, earlier, &wire::words(&later), out);
        }
        if let Some(rival) = rival {
            self.meet_rival(rival, out);
            return Ok(());
        }
        match done {
            Ok(()) => Ok(()),
            Err(_) if no_room => Err(DropReason::NoRoom),
            Err(foca::Error::Decode(_) | foca::Error::MalformedPacket | foca::Error::DataTooBig) => {
                Err(DropReason::Spoilt)
            }
            // What was said to another, or by itself, is no fault of the datagram.
            Err(_) => Ok(()),
        }
    }

    /// Does what SWIM wants.
    fn carry_out(&mut self, out: &mut Vec<Output>) {
        for (to, words) in std::mem::take(&mut self.swim.wants.sends) {
            self.send(DatagramKind::Swim, to.address, &words, out);
        }
        let mut changed = false;
        let (mut probed, mut failed) = (false, false);
        for note in std::mem::take(&mut self.swim.wants.notes) {
            match note {
                SwimEvent::Changed => changed = true,
                SwimEvent::ProbeFailed => failed = true,
                SwimEvent::Probed => probed = true,
                SwimEvent::Refuted(_) => {
                    self.counters.refuted += 1;
                    self.health.worsen(1);
                }
                SwimEvent::Returned(id) => {
                    self.local_id = id;
                    self.gate.state().me = self.local_id.clone();
                    self.counters.returned += 1;
                    out.push(Output::MembershipEvent(MembershipEvent::Returned));
                }
            }
        }
        for (timer, after) in std::mem::take(&mut self.swim.wants.timers) {
            use foca::Timer::{ChangeSuspectToDown, ProbeRandomMember, SendIndirectProbe};
            let waits_for_others =
                matches!(timer, ProbeRandomMember(_) | SendIndirectProbe { .. } | ChangeSuspectToDown { .. });
            let after = if waits_for_others { self.health.stretch(after) } else { after };
            self.timers.set(self.now + after, Due::Swim(timer));
        }
        if probed && !failed {
            self.health.mend();
        }
        if changed {
            self.look(out);
        }
    }

    /// What SWIM believes by now.
    fn look(&mut self, out: &mut Vec<Output>) {
        let news = self.members.take(self.now, self.swim.members());
        let changed = !news.is_empty();
        for news in news {
            if let MembershipEvent::Member { entry, .. } = &news {
                match entry.state {
                    State::Failed => self.counters.failed += 1,
                    State::Left => self.counters.left += 1,
                    State::Alive | State::Suspect => {}
                }
                self.unheard.retain(|peer| *peer != entry.address);
            }
            out.push(Output::MembershipEvent(news));
        }
        if changed {
            self.swim.fit();
        }
        let side = match self.standing {
            LocalState::Displaced { .. } => PartitionSide::Alone,
            _ => self.members.side(self.unheard.len()),
        };
        if side != self.side {
            self.side = side;
            out.push(Output::MembershipEvent(MembershipEvent::PartitionSide(side)));
        }
    }

    /// Whether this process is who bears its name in the fleet.
    pub fn is_name_holder(&self) -> bool {
        matches!(self.standing, LocalState::Only | LocalState::Followed { .. })
    }

    /// The others that are alive or suspected: where they are reached, and when they started.
    pub fn live_peers(&self) -> impl Iterator<Item = (SocketAddr, u64)> + '_ {
        self.active().map(|id| (id.address, id.start))
    }

    fn active(&self) -> impl Iterator<Item = &MemberId> {
        self.swim.members().filter(|member| member.state() != foca::State::Down).map(foca::Member::id)
    }

    /// Asks the peers that are not among those alive. A new member asks one of those as well, for whom it knows.
    fn ask(&mut self, out: &mut Vec<Output>) {
        if self.is_name_holder() {
            let here: Vec<SocketAddr> = self.active().map(|id| id.address).collect();
            let me = wire::words(&self.local_id);
            for peer in self.settings.peers.clone() {
                if !here.contains(&peer) {
                    self.send(DatagramKind::Hello, peer, &me, out);
                }
            }
            if self.now < self.began + NEW {
                let nth = (self.now / self.settings.times.rejoin.max(1)) as usize;
                let one = self.active().nth(nth % self.swim.active().max(1)).cloned();
                if let Some(id) = one {
                    self.swim.announce(id);
                }
                self.carry_out(out);
            }
        }
        self.timers.set(self.now + self.settings.times.rejoin, Due::Ask);
    }

    /// Another process bears this member's name. None of them wins in silence: both say so for as long as both are
    /// there, and the later start is who counts.
    fn meet_rival(&mut self, rival: MemberId, out: &mut Vec<Output>) {
        let later = rival.start > self.local_id.start;
        let is_new = self.name_conflict() != Some((rival.address, later));
        let was_displaced = matches!(self.standing, LocalState::Displaced { .. });
        if is_new {
            out.push(Output::MembershipEvent(MembershipEvent::Rival(rival.address, later)));
            self.timers.retain(|due| !matches!(due, Due::Rival));
            self.timers.set(self.now, Due::Rival);
        }
        if later {
            if !was_displaced {
                self.timers.retain(|due| !matches!(due, Due::Swim(_)));
            }
            self.standing = LocalState::Displaced { later: rival, heard: self.now };
        } else {
            self.standing = LocalState::Followed { earlier: rival, heard: self.now };
        }
        if is_new {
            self.look(out);
        }
    }

    fn tell_rival(&mut self, out: &mut Vec<Output>) {
        let (rival, heard, later) = match &self.standing {
            LocalState::Followed { earlier, heard } => (earlier.clone(), *heard, false),
            LocalState::Displaced { later, heard } => (later.clone(), *heard, true),
            LocalState::Only | LocalState::Gone => return,
        };
        if heard + RIVAL_BELIEVED > self.now {
            let me = wire::words(&self.local_id);
            self.send(DatagramKind::Rival, rival.address, &me, out);
            return self.timers.set(self.now + RIVAL_TOLD, Due::Rival);
        }
        out.push(Output::MembershipEvent(MembershipEvent::RivalGone));
        self.standing = LocalState::Only;
        if later {
            // It comes back as the process after that one: who heard of that one would hear of no earlier one.
            self.local_id = self.local_id.in_life(rival.start + 1, 0);
            self.gate.state().me = self.local_id.clone();
            let counts = self.counters();
            let room = wire::room(&self.settings.fleet);
            self.seed = self.seed.wrapping_add(1);
            self.swim =
                Swim::new(self.local_id.clone(), self.gate.clone(), self.settings.times, room, self.seed);
            self.counters = counts;
            self.timers.retain(|due| !matches!(due, Due::Ask));
            self.ask(out);
        }
        self.look(out);
    }

    fn send(&mut self, kind: DatagramKind, to: SocketAddr, body: &[u8], out: &mut Vec<Output>) {
        let datagram = wire::seal(kind, &self.settings.fleet, body);
        self.counters.datagrams_sent += 1;
        self.counters.bytes_sent += datagram.len() as u64;
        out.push(Output::Send(to, datagram));
    }
}
