//! What `foca` wants done, kept for the caller: [`SwimOutput`].

use crate::counters::MembershipCounters;
use crate::identity::MemberId;
use crate::join_admission::JoinAdmission;
use foca::{Message, Notification, Runtime, Timer};
use std::time::Duration;

/// What SWIM noticed.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SwimEvent {
    /// The members, or what is believed of one, may have changed.
    Changed,
    /// Others had taken this member for failed: it goes on under this identity.
    Rejoined(MemberId),
    /// Nobody answered a probe.
    ProbeFailed,
    /// This member has sent a probe.
    Probed,
    /// This member refuted a suspicion.
    Refuted,
}

/// A message of SWIM and to whom it goes.
pub(crate) struct SwimMessage {
    /// The receiver.
    pub to: MemberId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// A timer that SWIM wants to be set.
pub(crate) struct SwimTimer {
    /// What is to be handed back to SWIM then.
    pub timer: Timer<MemberId>,
    /// After how long, in ms.
    pub after: u64,
}

/// What SWIM wants done.
pub(crate) struct SwimOutput {
    /// Messages to be sent.
    pub messages: Vec<SwimMessage>,
    /// Timers to be set.
    pub timers: Vec<SwimTimer>,
    /// What was noticed.
    pub events: Vec<SwimEvent>,
    /// What was counted since this SWIM began.
    pub counters: MembershipCounters,
    incarnation: u16,
    admission: JoinAdmission,
}

impl SwimOutput {
    /// Nothing is to be done yet.
    pub(super) fn new(admission: JoinAdmission) -> SwimOutput {
        SwimOutput {
            messages: Vec::new(),
            timers: Vec::new(),
            events: Vec::new(),
            counters: MembershipCounters::default(),
            incarnation: 0,
            admission,
        }
    }

    /// The incarnation that this member sent last.
    pub(super) fn incarnation(&self) -> u16 {
        self.incarnation
    }

    fn note_sent(&mut self, header: &foca::Header<MemberId>) {
        match header.message {
            Message::Ping(_) => {
                self.counters.probes += 1;
                self.events.push(SwimEvent::Probed);
            }
            Message::PingReq { .. } => self.counters.probes_indirect += 1,
            _ => {}
        }
        // A member raises its incarnation only to refute a suspicion.
        if header.src_incarnation > self.incarnation {
            self.incarnation = header.src_incarnation;
            self.events.push(SwimEvent::Refuted);
        }
    }
}

impl Runtime<MemberId> for SwimOutput {
    fn notify(&mut self, notification: Notification<'_, MemberId>) {
        match notification {
            Notification::Rejoin(id) => {
                self.incarnation = 0;
                self.events.push(SwimEvent::Rejoined(id.clone()));
            }
            Notification::ProbeFailed(..) => {
                self.counters.probes_failed += 1;
                self.events.push(SwimEvent::ProbeFailed);
                self.events.push(SwimEvent::Changed);
            }
            Notification::DataSent(header) => self.note_sent(header),
            Notification::DataReceived(_) => {}
            _ => self.events.push(SwimEvent::Changed),
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        // The number of members that a message names follows its header, big-endian.
        let header_length = self.admission.state().header_length;
        if let Some([high, low]) = data.get(header_length..header_length + 2) {
            self.counters.news_sent += u64::from(u16::from_be_bytes([*high, *low]));
        }
        self.messages.push(SwimMessage { to, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, timer: Timer<MemberId>, after: Duration) {
        let after = u64::try_from(after.as_millis()).unwrap_or(u64::MAX);
        self.timers.push(SwimTimer { timer, after });
    }
}
