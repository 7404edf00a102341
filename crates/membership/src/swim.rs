//! SWIM by the library `foca`: [`Swim`] drives the library and collects its outputs in
//! [`SwimOutput`], which the caller takes. `config` has the suspicion timeout, `runtime` the
//! refutation of suspicions, and `codec` the format of messages.

mod codec;
mod config;
mod runtime;

use runtime::SwimMessage;
pub(crate) use runtime::{SwimEvent, SwimOutput, SwimTimer};

use crate::identity::MemberId;
use crate::join_admission::JoinAdmission;
use crate::settings::Timing;
use crate::suspicions::Suspicion;
use codec::SwimCodec;
use foca::{Foca, NoCustomBroadcast, Timer};
use rand::rngs::StdRng;
use rand::SeedableRng;
use std::time::Duration;

/// The parameters of [`Swim::new`].
pub(crate) struct SwimParameters {
    /// The identity of this member.
    pub local_id: MemberId,
    /// The admission of the processes that SWIM may learn of.
    pub admission: JoinAdmission,
    /// The periods and timeouts.
    pub timing: Timing,
    /// The maximum length of a message of SWIM, in bytes.
    pub max_message_bytes: usize,
    /// The seed of the random numbers. Equal seeds and inputs give equal outputs.
    pub seed: u64,
}

/// SWIM for one member.
pub(crate) struct Swim {
    foca: Foca<MemberId, SwimCodec, StdRng, NoCustomBroadcast>,
    admission: JoinAdmission,
    timing: Timing,
    max_message_bytes: usize,
    /// The outputs since the caller took them last.
    pub output: SwimOutput,
}

impl Swim {
    /// Creates a member that knows no other member.
    pub(crate) fn new(parameters: SwimParameters) -> Swim {
        let SwimParameters { local_id, admission, timing, max_message_bytes, seed } = parameters;
        let config = config::for_members(&timing, max_message_bytes, 1);
        let rng = StdRng::seed_from_u64(seed);
        let foca = Foca::new(local_id, config, rng, SwimCodec::new(admission.clone()));
        let output = SwimOutput::new(admission.clone());
        Swim { foca, admission, timing, max_message_bytes, output }
    }

    /// Handles a message of another member.
    ///
    /// # Errors
    ///
    /// [`foca::Error`] if the message is malformed or not for this member.
    pub(crate) fn handle_data(&mut self, message: &[u8]) -> Result<(), foca::Error> {
        self.foca.handle_data(message, &mut self.output)
    }

    /// Handles a timer that is due.
    pub(crate) fn handle_timer(&mut self, timer: Timer<MemberId>) {
        // The only possible error reports an interrupted probe, which the library restarts by
        // itself.
        let _ = self.foca.handle_timer(timer, &mut self.output);
    }

    /// Asks a member to let this one join and to send the members that it knows.
    pub(crate) fn announce(&mut self, to: MemberId) {
        let _ = self.foca.announce(to, &mut self.output);
    }

    /// Applies an update about a member and gossips it.
    pub(crate) fn apply(&mut self, member: foca::Member<MemberId>) {
        let _ = self.foca.apply_many(std::iter::once(member), true, &mut self.output);
    }

    /// Sends a suspicion to the suspected member, which refutes it if it has not done so yet.
    pub(crate) fn notify_suspect(&mut self, suspicion: &Suspicion) {
        let header = foca::Header {
            src: self.foca.identity().clone(),
            src_incarnation: self.incarnation(),
            dst: suspicion.id.clone(),
            message: foca::Message::Gossip,
        };
        let update = foca::Member::new(suspicion.id.clone(), suspicion.incarnation, foca::State::Suspect);
        // Two members fit into each datagram, since the names of fleets and members are bounded.
        if let Ok(bytes) = codec::encode_gossip(&header, &update) {
            self.output.messages.push(SwimMessage { to: suspicion.id.clone(), bytes });
        }
    }

    /// Returns the time that a suspected member has to refute in a fleet of the present size.
    pub(crate) fn suspicion_timeout(&self) -> Duration {
        config::suspicion_timeout(&self.timing, self.active_count() + 1)
    }

    /// Announces under its last identity that this member leaves.
    pub(crate) fn leave(&mut self, last_id: MemberId) {
        let _ = self.foca.change_identity(last_id, &mut self.output);
        let _ = self.foca.leave_cluster(&mut self.output);
    }

    /// Returns all members that are remembered.
    pub(crate) fn members(&self) -> impl Iterator<Item = &foca::Member<MemberId>> {
        self.foca.iter_membership_state()
    }

    /// Returns the number of other members that are alive or suspected.
    pub(crate) fn active_count(&self) -> usize {
        self.foca.num_members()
    }

    /// Returns the number of suspicions that this member refuted in this generation.
    pub(crate) fn incarnation(&self) -> u16 {
        self.output.incarnation()
    }

    /// Adapts the configuration to the present number of members.
    pub(crate) fn adapt_to_size(&mut self) {
        let members = self.active_count() + 1;
        let config = config::for_members(&self.timing, self.max_message_bytes, members);
        // The library rejects only changes of some fields, which never change here.
        let _ = self.foca.set_config(config);
    }

    /// Removes the members that SWIM does not remember from the admission.
    pub(crate) fn prune_admission(&self) {
        let mut admission = self.admission.state();
        let local = admission.local_id.name_hash();
        let remembered = || self.members().map(foca::Member::id).filter(|id| id.name_hash() != local);
        // All remembered members were admitted, so that equal numbers mean the same members.
        if admission.admitted.len() > remembered().count() {
            admission.admitted = remembered().map(|id| (id.name_hash(), id.clone())).collect();
        }
    }
}
