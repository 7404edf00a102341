//! [`SwimOutput`] collects the outputs of `foca` for the caller.

use crate::counters::MembershipCounters;
use crate::identity::MemberId;
use crate::join_admission::JoinAdmission;
use foca::{Message, Notification, Runtime, Timer};
use pinetrail_clock::whole_millis;
use std::time::Duration;

/// An event of SWIM.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum SwimEvent {
    /// The members, or the state of one of them, may have changed.
    Changed,
    /// This member continues under this identity after others had declared it failed.
    Rejoined(MemberId),
    /// A probe got no response.
    ProbeFailed,
    /// This member has sent a probe.
    Probed,
    /// This member refuted a suspicion.
    Refuted,
}

/// A message of SWIM and its receiver.
pub(crate) struct SwimMessage {
    /// The receiver.
    pub to: MemberId,
    /// The encoded message.
    pub bytes: Vec<u8>,
}

/// A timer that SWIM sets.
pub(crate) struct SwimTimer {
    /// The value that is passed back to SWIM when the timer is due.
    pub timer: Timer<MemberId>,
    /// The time after which the timer is due.
    pub after: Duration,
}

/// The outputs of SWIM since the caller took them last, and the counters.
pub(crate) struct SwimOutput {
    /// The messages to send.
    pub messages: Vec<SwimMessage>,
    /// The timers to set.
    pub timers: Vec<SwimTimer>,
    /// The events that have occurred.
    pub events: Vec<SwimEvent>,
    /// The counters since this SWIM was created.
    pub counters: MembershipCounters,
    incarnation: u16,
    admission: JoinAdmission,
}

impl SwimOutput {
    /// Creates the outputs of a SWIM that has just been created.
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

    /// Returns the incarnation that this member sent last.
    pub(super) fn incarnation(&self) -> u16 {
        self.incarnation
    }

    fn record_sent(&mut self, header: &foca::Header<MemberId>) {
        match header.message {
            Message::Ping(_) => {
                self.counters.probes += 1;
                self.events.push(SwimEvent::Probed);
            }
            Message::PingReq { .. } => self.counters.probes_indirect += 1,
            _ => {}
        }
        if self.is_refutation(header) {
            self.incarnation = header.src_incarnation;
            self.events.push(SwimEvent::Refuted);
        }
    }

    /// Decides whether a message that this member sends is its first refutation of a suspicion,
    /// which is counted and worsens local health.
    ///
    /// Inputs: the incarnation in the header, and the highest one that was sent before.
    /// Reason: a member raises its incarnation only to refute a suspicion.
    /// Source: SWIM (Das, Gupta and Motivala, 2002), section 4.2.
    fn is_refutation(&self, header: &foca::Header<MemberId>) -> bool {
        header.src_incarnation > self.incarnation
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
            Notification::DataSent(header) => self.record_sent(header),
            Notification::DataReceived(_) => {}
            _ => self.events.push(SwimEvent::Changed),
        }
    }

    fn send_to(&mut self, to: MemberId, data: &[u8]) {
        // The header is followed by the number of members that the message names, big-endian.
        let header_length = self.admission.state().header_length;
        if let Some([high, low]) = data.get(header_length..header_length + 2) {
            self.counters.updates_sent += u64::from(u16::from_be_bytes([*high, *low]));
        }
        self.messages.push(SwimMessage { to, bytes: data.to_vec() });
    }

    fn submit_after(&mut self, timer: Timer<MemberId>, after: Duration) {
        let after = Duration::from_millis(whole_millis(after));
        self.timers.push(SwimTimer { timer, after });
    }
}
