//! SWIM by the library `foca`, with what it wants done kept for the caller: what is sent, set and noticed.

use crate::identity::MemberId;
use crate::join_admission::JoinAdmission;
use crate::settings::Timing;
use crate::wire;
use foca::{
    Codec, Config, Foca, Header, Message, NoCustomBroadcast, Notification, PeriodicParams, Runtime, Timer,
};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::num::{NonZeroU8, NonZeroUsize};
use std::time::Duration;
use thiserror::Error;

/// Members by way of which one is probed that does not answer.
const INDIRECT_PROBES: usize = 3;
/// Members that are told of news at a time.
const GOSSIP_FANOUT: usize = 3;
/// All that one member knows is asked of another so often: it mends what no news brought.
const FULL_SYNC_INTERVAL: Duration = Duration::from_secs(2);

/// What was counted.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct MembershipCounters {
    /// Members probed.
    pub probes: u64,
    /// Probes asked of other members.
    pub probes_indirect: u64,
    /// Probes that nobody answered.
    pub probes_failed: u64,
    /// Members found failed.
    pub failed: u64,
    /// Members that said that they leave.
    pub left: u64,
    /// Times that others took this member for failed.
    pub returned: u64,
    /// Suspicions that this member objected to.
    pub refuted: u64,
    /// Times that this process did not run when it had something to do.
    pub stops: u64,
    /// Members named in datagrams sent.
    pub news_sent: u64,
    /// Members named in datagrams heard.
    pub news_heard: u64,
    /// Datagrams sent.
    pub datagrams_sent: u64,
    /// Their bytes.
    pub bytes_sent: u64,
    /// Datagrams heard.
    pub datagrams_heard: u64,
    /// Their bytes.
    pub bytes_heard: u64,
    /// Datagrams dropped: none of ours.
    pub dropped_foreign: u64,
    /// Datagrams dropped: of a newer format.
    pub dropped_too_new: u64,
    /// Datagrams dropped: damaged.
    pub dropped_spoilt: u64,
    /// Datagrams dropped: another fleet's.
    pub dropped_other_fleet: u64,
    /// Members not taken for want of room.
    pub dropped_no_room: u64,
}

/// What SWIM noticed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SwimEvent {
    /// Who belongs, or what is believed of it, has changed.
    Changed,
    /// Others had taken this member for failed: it goes on under this identity.
    Rejoined(MemberId),
    /// A probe failed.
    ProbeFailed,
    /// This member has been probing.
    Probed,
    /// It objected to a suspicion.
    Refuted(u16),
}

/// What SWIM wants done.
#[derive(Default)]
pub(crate) struct SwimOutput {
    pub datagrams: Vec<(MemberId, Vec<u8>)>,
    pub timers: Vec<(Timer<MemberId>, u64)>,
    pub events: Vec<SwimEvent>,
    incarnation: u16,
    admission: Option<JoinAdmission>,
    pub counts: MembershipCounters,
}

impl Runtime<MemberId> for SwimOutput {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        match notification {
            Notification::Rejoin(id) => {
                self.incarnation = 0;
                self.events.push(SwimEvent::Rejoined(id.clone()));
            }
            Notification::ProbeFailed(..) => {
                self.counts.probes_failed += 1;
                self.events.push(SwimEvent::ProbeFailed);
                self.events.push(SwimEvent::Changed);
            }
            Notification::DataSent(header) => {
                match header.message {
                    Message::Ping(_) => {
                        self.counts.probes += 1;
                        self.events.push(SwimEvent::Probed);
                    }
                    Message::PingReq { .. } => self.counts.probes_indirect += 1,
                    _ => {}
                }
                if header.src_incarnation > self.incarnation {
                    self.incarnation = header.src_incarnation;
                    self.events.push(SwimEvent::Refuted(self.incarnation));
                }
            }
            Notification::DataReceived(_) => {}
            _ => self.events.push(SwimEvent::Changed),
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        let head = self.admission.as_ref().map_or(0, |admission| admission.state().head);
        if let Some([high, low]) = data.get(head..head + 2) {
            self.counts.news_sent += u64::from(u16::from_be_bytes([*high, *low]));
        }
        self.datagrams.push((to, data.to_vec()));
    }

    fn submit_after(&mut self, event: Timer<MemberId>, after: Duration) {
        self.timers.push((event, u64::try_from(after.as_millis()).unwrap_or(u64::MAX)));
    }
}

/// Why words of SWIM are not taken.
#[derive(Debug, Error)]
pub(crate) enum SwimCodecError {
    /// They are none.
    #[error("no words of SWIM")]
    Malformed,
    /// They do not fit.
    #[error("too long")]
    TooLong,
    /// The gate keeps the sender out.
    #[error("not admitted")]
    NotAdmitted,
}

/// The words of SWIM by `postcard`; whom a datagram names passes the gate.
struct SwimCodec(JoinAdmission);

impl SwimCodec {
    fn encode(value: &impl serde::Serialize, mut buf: impl bytes::BufMut) -> Result<usize, SwimCodecError> {
        let words = wire::encode_body(value);
        if buf.remaining_mut() < words.len() {
            return Err(SwimCodecError::TooLong);
        }
        buf.put_slice(&words);
        Ok(words.len())
    }

    fn decode<T: serde::de::DeserializeOwned>(mut buf: impl bytes::Buf) -> Result<T, SwimCodecError> {
        let (said, rest) = postcard::take_from_bytes(buf.chunk()).map_err(|_| SwimCodecError::Malformed)?;
        let used = buf.remaining() - rest.len();
        buf.advance(used);
        Ok(said)
    }
}

impl Codec<MemberId> for SwimCodec {
    type Error = SwimCodecError;

    fn encode_header(
        &mut self,
        header: &Header<MemberId>,
        buf: impl bytes::BufMut,
    ) -> Result<(), SwimCodecError> {
        let head = SwimCodec::encode(header, buf)?;
        self.0.state().head = head;
        Ok(())
    }

    fn decode_header(&mut self, buf: impl bytes::Buf) -> Result<Header<MemberId>, SwimCodecError> {
        let header: Header<MemberId> = SwimCodec::decode(buf)?;
        if !header.src.is_valid() {
            return Err(SwimCodecError::Malformed);
        }
        let mut admission = self.0.state();
        if admission.conflicts_with(&header.src) {
            admission.conflicting = Some(header.src);
            return Err(SwimCodecError::NotAdmitted);
        }
        admission.note_sender(&header.src);
        if admission.admit(&header.src) {
            Ok(header)
        } else {
            Err(SwimCodecError::NotAdmitted)
        }
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<MemberId>,
        buf: impl bytes::BufMut,
    ) -> Result<(), SwimCodecError> {
        SwimCodec::encode(member, buf).map(drop)
    }

    fn decode_member(&mut self, buf: impl bytes::Buf) -> Result<foca::Member<MemberId>, SwimCodecError> {
        let member: foca::Member<MemberId> = SwimCodec::decode(buf)?;
        if !member.id().is_valid() {
            return Err(SwimCodecError::Malformed);
        }
        let mut admission = self.0.state();
        admission.heard += 1;
        // That this member is alive says nothing to it: it stands for what is not to be heard.
        let unheard = foca::Member::alive(admission.me.clone());
        if admission.conflicts_with(member.id()) {
            // What ended before this process began is old news; a later process of its name is not.
            if member.id().start > admission.me.start {
                if member.state() != foca::State::Down {
                    admission.conflicting = Some(member.id().clone());
                }
                return Ok(unheard);
            }
            return Ok(member);
        }
        if admission.admit(member.id()) {
            Ok(member)
        } else {
            Ok(unheard)
        }
    }
}

/// SWIM for one member.
pub(crate) struct Swim {
    foca: Foca<MemberId, SwimCodec, StdRng, NoCustomBroadcast>,
    admission: JoinAdmission,
    times: Timing,
    body_capacity: usize,
    pub output: SwimOutput,
}

impl Swim {
    /// A member that knows nobody.
    pub(crate) fn new(
        me: MemberId,
        admission: JoinAdmission,
        times: Timing,
        body_capacity: usize,
        seed: u64,
    ) -> Swim {
        let config = config(&times, body_capacity, 1);
        let foca = Foca::new(me, config, StdRng::seed_from_u64(seed), SwimCodec(admission.clone()));
        let output = SwimOutput { admission: Some(admission.clone()), ..SwimOutput::default() };
        Swim { foca, admission, times, body_capacity, output }
    }

    /// Takes words of another member.
    pub(crate) fn handle_data(&mut self, words: &[u8]) -> Result<(), foca::Error> {
        self.foca.handle_data(words, &mut self.output)
    }

    /// A timer is due.
    pub(crate) fn handle_timer(&mut self, timer: Timer<MemberId>) {
        // A probe that could not run its course is begun anew by the library itself; it says so, and that is all.
        let _ = self.foca.handle_timer(timer, &mut self.output);
    }

    /// Asks a member to be let in, and whom it knows.
    pub(crate) fn announce(&mut self, to: MemberId) {
        let _ = self.foca.announce(to, &mut self.output);
    }

    /// Hears what a member says of itself.
    pub(crate) fn apply(&mut self, member: foca::Member<MemberId>) {
        let _ = self.foca.apply_many(std::iter::once(member), true, &mut self.output);
    }

    /// Says that this member leaves.
    pub(crate) fn leave(&mut self, last: MemberId) {
        let _ = self.foca.change_identity(last, &mut self.output);
        let _ = self.foca.leave_cluster(&mut self.output);
    }

    /// All that are remembered.
    pub(crate) fn members(&self) -> impl Iterator<Item = &foca::Member<MemberId>> {
        self.foca.iter_membership_state()
    }

    /// Those that are alive or suspected.
    pub(crate) fn active(&self) -> usize {
        self.foca.num_members()
    }

    /// How often this member objected in this life.
    pub(crate) fn incarnation(&self) -> u16 {
        self.output.incarnation
    }

    /// Has the times fit a fleet of this size.
    pub(crate) fn adapt_to_size(&mut self) {
        let config = config(&self.times, self.body_capacity, self.active() + 1);
        // What may not change is as it was.
        let _ = self.foca.set_config(config);
    }

    /// The gate keeps those that are remembered, and no others.
    pub(crate) fn prune(&self) {
        let mut admission = self.admission.state();
        let own = admission.me.name_hash();
        let remembered = || self.members().map(foca::Member::id).filter(|id| id.name_hash() != own);
        // All that are remembered have passed it: if there are as many, they are the same.
        if admission.known.len() > remembered().count() {
            admission.known = remembered().map(|id| (id.name_hash(), id.clone())).collect();
        }
    }
}

fn config(times: &Timing, body_capacity: usize, members: usize) -> Config {
    let params = |frequency, members| {
        Some(PeriodicParams {
            frequency,
            num_members: NonZeroUsize::new(members).unwrap_or(NonZeroUsize::MIN),
        })
    };
    let digits = ((members + 1) as f64).log10();
    // News reach all in a number of max_transmissions that grows with the logarithm (SWIM, section 4.1).
    let max_transmissions = (digits * 6.0).ceil().clamp(12.0, 30.0) as u8;
    let suspicion = times.suspicion as f64 * (members as f64).log10().max(1.0);
    Config {
        probe_period: Duration::from_millis(times.period),
        probe_rtt: Duration::from_millis(times.answer),
        num_indirect_probes: NonZeroUsize::new(INDIRECT_PROBES).unwrap_or(NonZeroUsize::MIN),
        max_transmissions: NonZeroU8::new(max_transmissions).unwrap_or(NonZeroU8::MIN),
        suspect_to_down_after: Duration::from_millis(suspicion as u64),
        remove_down_after: Some(Duration::from_millis(times.forget)),
        max_packet_size: NonZeroUsize::new(body_capacity).unwrap_or(NonZeroUsize::MIN),
        notify_down_members: true,
        periodic_announce: params(FULL_SYNC_INTERVAL, 1),
        periodic_announce_to_down_members: params(Duration::from_millis(times.reunion), 2),
        periodic_gossip: params(Duration::from_millis(times.gossip), GOSSIP_FANOUT),
    }
}
