//! What proxies of a fleet tell each other: the driver of `pinetrail-membership`. It owns one UDP socket and the wait for
//! what is due next; what is said and believed is decided by the core. Without `fleet` in the configuration there is none.

#[cfg(test)]
mod golden_tests;
mod quota;
mod report;

use super::config::FleetConfig;
use super::deadline_stream::sleep;
use super::log::log;
use super::{counters, timer};
use may::io::{CoIo, WaitIo};
use pinetrail_membership::{Membership, MembershipCounters, Output, State, Time, MAX_DATAGRAM};
use quota::{QuotaDriver, Seen};
use std::io::{self, ErrorKind};
use std::net::{SocketAddr, UdpSocket};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

/// The longest sleep: what is due sooner than was known when it began waits for so long at the most.
const LONGEST_SLEEP: Duration = Duration::from_millis(100);
/// Datagrams taken at a stretch. Danger: a flood of them must not keep the worker from clients.
const TURN: usize = 32;
const BETWEEN_TURNS: Duration = Duration::from_millis(1);
/// Between attempts to open a socket that the other process of this proxy may still have.
const OPEN_EVERY: Duration = Duration::from_millis(20);
/// After so many of them the log says that it is not open.
const OPEN_TRIES: usize = 250;

/// A member that speaks: its socket and what it believes.
struct ActiveMember {
    /// Which one it is: each time that this process begins to speak is another.
    number: u64,
    socket: Arc<CoIo<UdpSocket>>,
    members: Membership,
    sharing: Option<QuotaDriver>,
}

impl ActiveMember {
    /// Does what is due about shares, and hears what was said of them; what the decision module is to be told.
    fn share(&mut self, now: Time, out: &mut Vec<Output>) -> Option<quota::Share> {
        let sharing = self.sharing.as_mut()?;
        let mut told = None;
        // Most datagrams are not about shares.
        if !out.iter().any(|one| matches!(one, Output::QuotaMessage(_))) && now < sharing.next_due() {
            return None;
        }
        let (said, others) =
            std::mem::take(out).into_iter().partition(|one| matches!(one, Output::QuotaMessage(_)));
        *out = others;
        let said: Vec<Output> = said;
        for one in said {
            if let Output::QuotaMessage(bytes) = one {
                told = sharing.heard(now, &bytes, &mut self.members, out).or(told);
            }
        }
        if self.members.is_name_holder() && now >= sharing.next_due() {
            told = sharing.due(now, &mut self.members, out).or(told);
        }
        told
    }
}

/// What the decision module is told.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Share {
    /// This process's part of the whole, until `ends`.
    pub part: f64,
    /// When what it has beyond its base ends.
    pub ends: Instant,
    /// Its part from then on.
    pub base: f64,
    /// Calls in flight of all together, at one node and at the origin.
    pub whole: [f64; 2],
}

/// Who is told of each new share.
pub type Tell = Box<dyn Fn(Share) + Send + Sync>;

/// Who hears what a member at an address says of its links.
pub type LinkMessageHandler = Box<dyn Fn(SocketAddr, &[u8]) + Send + Sync>;

/// A member that is alive, as links need to know it: its name, its start, and where its datagrams go.
pub type LivePeer = (Arc<str>, u64, SocketAddr);

/// Where this process stands in its fleet.
enum Stand {
    /// It is to speak as soon as the socket can be opened.
    Opening,
    /// It speaks.
    Speaks(Box<ActiveMember>),
    /// The other process of this proxy speaks for both, or it has said that it leaves.
    Silent,
}

/// This process's part in a fleet.
pub struct Fleet {
    config: Mutex<FleetConfig>,
    seed: u64,
    began: Instant,
    began_unix_ms: u64,
    stand: Mutex<Stand>,
    spoken: AtomicU64,
    /// What the members that spoke before counted.
    counts: Mutex<MembershipCounters>,
    send_failures: counters::Count,
    tell: Tell,
    /// Whether the other process of this proxy serves as well: they have one base between them.
    beside: AtomicBool,
    /// Who hears what members say of their links, if anybody.
    hear_links: OnceLock<LinkMessageHandler>,
}

impl Fleet {
    /// A part that is silent.
    pub fn new(config: FleetConfig, seed: u64, beside: bool, tell: Tell) -> Arc<Fleet> {
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let fleet = Arc::new(Fleet {
            config: Mutex::new(config),
            seed,
            began: Instant::now(),
            began_unix_ms: u64::try_from(unix.as_millis()).unwrap_or(u64::MAX),
            stand: Mutex::new(Stand::Silent),
            spoken: AtomicU64::new(0),
            counts: Mutex::default(),
            send_failures: counters::Count::default(),
            tell,
            beside: AtomicBool::new(beside),
            hear_links: OnceLock::new(),
        });
        fleet.tell_base();
        fleet
    }

    /// Whether the other process of this proxy serves as well from now on.
    pub fn set_beside(&self, beside: bool) {
        self.beside.store(beside, Ordering::Release);
        let now = self.now();
        match &*self.stand() {
            Stand::Speaks(speaking) => {
                speaking.sharing.iter().for_each(|sharing| self.say(sharing.share(now)));
            }
            Stand::Opening | Stand::Silent => {}
        }
    }

    /// Until it is granted more a process has its base.
    fn tell_base(&self) {
        if let Some(shares) = &self.config().quota {
            let base = shares.settings.guaranteed_minimum() as f64 / pinetrail_quota::WHOLE_PARTS as f64;
            self.say(quota::Share { part: base, until: 0, base, whole: shares.whole });
        }
    }

    /// What the other process of this proxy has of a base.
    fn others(&self, base: f64) -> f64 {
        if self.beside.load(Ordering::Acquire) {
            base / 2.0
        } else {
            0.0
        }
    }

    /// Danger: said with the stand locked, so that an older share is never told after a newer one.
    fn say(&self, share: quota::Share) {
        let others = self.others(share.base);
        let quota::Share { part, until, base, whole } = share;
        let ends = self.began + Duration::from_millis(until);
        (self.tell)(Share { part: part - others, ends, base: base - others, whole });
    }

    /// Speaks from now on; an error says that the socket cannot be opened.
    pub fn activate(self: &Arc<Self>) -> Result<(), String> {
        *self.stand() = Stand::Opening;
        let config = self.config().clone();
        self.open().map_err(|error| {
            *self.stand() = Stand::Silent;
            format!("fleet at {}: {error}", config.bind)
        })
    }

    /// Speaks as soon as the other process of this proxy has let go of the socket.
    pub fn activate_when_free(self: &Arc<Self>) {
        *self.stand() = Stand::Opening;
        let fleet = Arc::clone(self);
        may::go!(move || {
            for tries in 0.. {
                if !matches!(*fleet.stand(), Stand::Opening) {
                    return;
                }
                match fleet.open() {
                    Ok(()) => return,
                    Err(error) if tries == OPEN_TRIES => log(&format!("fleet: still not open: {error}")),
                    Err(_) => {}
                }
                sleep(OPEN_EVERY);
            }
        });
    }

    /// Leaves speaking to the other process of this proxy.
    pub fn deactivate(&self) {
        self.become_silent(|_, _| {});
    }

    /// This process ends soon: no council is to count on it.
    pub fn begin_to_leave(&self) {
        if let Stand::Speaks(speaking) = &mut *self.stand() {
            speaking.sharing.iter_mut().for_each(QuotaDriver::leave);
        }
    }

    /// Says that this member leaves, if it speaks, and is silent from then on.
    pub fn leave(&self) {
        let now = self.now();
        self.become_silent(|members, out| members.leave(now, out));
    }

    /// Other peers are to be asked from now on. An error changes nothing.
    pub fn set_peers(&self, peers: Vec<SocketAddr>) -> Result<(), String> {
        let now = self.now();
        let mut config = self.config();
        let done = self.with(|members, out| members.set_peers(now, peers.clone(), out));
        match done {
            Some(Err(error)) => return Err(error.to_string()),
            Some(Ok(())) | None => config.settings.peers = peers,
        }
        Ok(())
    }

    /// Whether this process is the steward of shares at this moment: at most one of the fleet is.
    pub fn is_quota_leader(&self) -> bool {
        let now = self.now();
        match &*self.stand() {
            Stand::Speaks(speaking) => {
                speaking.sharing.as_ref().is_some_and(|sharing| sharing.seen(now).steward)
            }
            Stand::Opening | Stand::Silent => false,
        }
    }

    /// No call may run longer than this, in ms, if the fleet shares.
    pub fn longest_call(&self) -> Option<u64> {
        self.config().quota.as_ref().map(|shares| shares.settings.longest_call)
    }

    /// The names of this member and of the fleet.
    pub fn names(&self) -> (String, String) {
        let config = self.config();
        (config.settings.name.clone(), config.settings.fleet.clone())
    }

    /// Who hears of links from now on; the first that is told counts.
    pub fn set_directory_handler(&self, hear: LinkMessageHandler) {
        let _ = self.hear_links.set(hear);
    }

    /// Says something of this process's links to the member at an address.
    pub fn send_directory_message(&self, to: SocketAddr, body: &[u8]) {
        self.with(|members, out| members.send_directory_message(to, body, out));
    }

    /// The other members that are alive; none while this process is silent.
    pub fn live_peers(&self) -> Option<Vec<LivePeer>> {
        match &*self.stand() {
            Stand::Speaks(speaking) => {
                let own = &speaking.members.local_id().name;
                let all = speaking.members.members().into_iter();
                let others = all.filter(|entry| entry.name != *own);
                let there = others.filter(|entry| matches!(entry.state, State::Alive | State::Suspect));
                Some(there.map(|entry| (entry.name, entry.start, entry.address)).collect())
            }
            Stand::Opening | Stand::Silent => None,
        }
    }

    /// Where its socket is; none while it is silent.
    pub fn address(&self) -> Option<SocketAddr> {
        match &*self.stand() {
            Stand::Speaks(speaking) => speaking.socket.inner().local_addr().ok(),
            Stand::Opening | Stand::Silent => None,
        }
    }

    /// What operators are told, as JSON; none while the other process of this proxy speaks.
    pub fn report(&self) -> Option<String> {
        let (unix, now) = (self.began_unix_ms, self.now());
        match &*self.stand() {
            Stand::Speaks(speaking) => {
                let seen = speaking.sharing.as_ref().map(|sharing| {
                    let seen = sharing.seen(now);
                    let others = self.others(seen.base);
                    Seen { share: seen.share - others, base: seen.base - others, ..seen }
                });
                Some(report::report(&speaking.members, unix, seen))
            }
            Stand::Opening | Stand::Silent => None,
        }
    }

    /// What was counted, by name.
    pub fn list(&self) -> Vec<(&'static str, u64)> {
        let now = self.with(|members, _| members.counters()).unwrap_or_default();
        let counts = report::sum(*self.earlier(), now);
        let mut all = report::names(&counts, self.send_failures.get());
        if let Stand::Speaks(speaking) = &*self.stand() {
            all.extend(speaking.sharing.iter().flat_map(QuotaDriver::list));
        }
        all
    }

    fn open(self: &Arc<Self>) -> io::Result<()> {
        let config = self.config().clone();
        let socket = UdpSocket::bind(config.bind)?;
        let bound = socket.local_addr()?;
        let unix = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default();
        let start = u64::try_from(unix.as_micros()).unwrap_or(u64::MAX);
        let members =
            Membership::new(config.membership_settings(bound), start, self.seed ^ start, self.now())
                .map_err(|error| io::Error::new(ErrorKind::InvalidInput, error.to_string()))?;
        let socket = Arc::new(CoIo::new(socket).map_err(io::Error::from)?);
        let settings = &config.settings;
        log(&format!("fleet {}: {} is at {bound}", settings.fleet, settings.name));
        let number = self.spoken.fetch_add(1, Ordering::AcqRel);
        let now = self.now();
        let sharing = config.quota.clone().map(|shares| QuotaDriver::new(shares, &members, now));
        let mut stand = self.stand();
        // It knows nothing of what it held before.
        if let Some(sharing) = &sharing {
            self.say(sharing.share(now));
        }
        *stand =
            Stand::Speaks(Box::new(ActiveMember { number, socket: Arc::clone(&socket), members, sharing }));
        drop(stand);
        let (hearing, waiting) = (Arc::clone(self), Arc::clone(self));
        may::go!(move || hearing.hear(number, &socket));
        may::go!(move || waiting.wait(number));
        Ok(())
    }

    /// Takes datagrams until this process speaks no longer, or anew.
    fn hear(&self, number: u64, socket: &CoIo<UdpSocket>) {
        let mut room = vec![0; MAX_DATAGRAM + 1];
        let mut turn = 0;
        while self.is_on(number) {
            match socket.inner().recv_from(&mut room) {
                Ok((count, from)) => {
                    let now = self.now();
                    self.with(|members, out| members.handle_datagram(now, from, &room[..count], out));
                    turn += 1;
                    if turn % TURN == 0 {
                        sleep(BETWEEN_TURNS);
                    }
                }
                Err(error) if error.kind() == ErrorKind::WouldBlock => {
                    socket.wait_io();
                }
                // One that could not be reached says so here; it says nothing of the socket.
                Err(_) => sleep(BETWEEN_TURNS),
            }
        }
    }

    /// Has what is due done in time, as long as that.
    fn wait(&self, number: u64) {
        while self.is_on(number) {
            let now = self.now();
            self.with(|members, out| members.handle_timeout(now, out));
            let next = self.next_due();
            let wait = Duration::from_millis(next.map_or(u64::MAX, |next| next.saturating_sub(self.now())));
            timer::sleep(wait.clamp(Duration::from_millis(1), LONGEST_SLEEP));
        }
    }

    fn next_due(&self) -> Option<Time> {
        match &*self.stand() {
            Stand::Speaks(speaking) => {
                let sharing = speaking.sharing.as_ref().filter(|_| speaking.members.is_name_holder());
                let shares = sharing.map(QuotaDriver::next_due);
                speaking.members.next_timeout().into_iter().chain(shares).min()
            }
            Stand::Opening | Stand::Silent => None,
        }
    }

    fn is_on(&self, number: u64) -> bool {
        matches!(&*self.stand(), Stand::Speaks(speaking) if speaking.number == number)
    }

    /// Has the member do something, and does what it wants; none if this process does not speak.
    fn with<T>(&self, act: impl FnOnce(&mut Membership, &mut Vec<Output>) -> T) -> Option<T> {
        let mut out = Vec::new();
        let (done, socket) = match &mut *self.stand() {
            Stand::Speaks(speaking) => {
                let done = act(&mut speaking.members, &mut out);
                speaking.share(self.now(), &mut out).into_iter().for_each(|share| self.say(share));
                (done, Arc::clone(&speaking.socket))
            }
            Stand::Opening | Stand::Silent => return None,
        };
        self.carry_out(out, &socket);
        Some(done)
    }

    fn become_silent(&self, last: impl FnOnce(&mut Membership, &mut Vec<Output>)) {
        let mut out = Vec::new();
        let before = std::mem::replace(&mut *self.stand(), Stand::Silent);
        if let Stand::Speaks(mut speaking) = before {
            last(&mut speaking.members, &mut out);
            let counts = report::sum(*self.earlier(), speaking.members.counters());
            *self.earlier() = counts;
            self.carry_out(out, &speaking.socket);
            // Who waits on it wakes, and lets go of it: it closes with the last of them.
            speaking.socket.waker().wakeup();
        }
    }

    fn carry_out(&self, out: Vec<Output>, socket: &CoIo<UdpSocket>) {
        for output in out {
            match output {
                // What does not go out is lost like any datagram.
                Output::Send(to, datagram) => {
                    if socket.inner().send_to(&datagram, to).is_err() {
                        self.send_failures.add();
                    }
                }
                Output::QuotaMessage(_) => {}
                Output::DirectoryMessage(from, body) => {
                    self.hear_links.get().into_iter().for_each(|hear| hear(from, &body));
                }
                Output::MembershipEvent(news) => log(&format!("fleet: {}", report::words(&news))),
            }
        }
    }

    fn now(&self) -> Time {
        u64::try_from(self.began.elapsed().as_millis()).unwrap_or(u64::MAX)
    }

    fn stand(&self) -> MutexGuard<'_, Stand> {
        self.stand.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn config(&self) -> MutexGuard<'_, FleetConfig> {
        self.config.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn earlier(&self) -> MutexGuard<'_, MembershipCounters> {
        self.counts.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
