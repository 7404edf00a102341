//! SWIM by the library `foca`: [`Swim`] drives it and collects its outputs in [`SwimOutput`], which
//! the caller takes. `config` holds the suspicion timeout, `runtime` the refutation of suspicions,
//! `codec` the format.

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

/// What [`Swim`] needs to start.
pub(crate) struct SwimParameters {
    /// This member.
    pub local_id: MemberId,
    /// The processes that it may learn of.
    pub admission: JoinAdmission,
    /// Periods and timeouts.
    pub timing: Timing,
    /// The most bytes of a message of SWIM.
    pub max_message_bytes: usize,
    /// Equal seeds and inputs give equal outputs.
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
    /// A member that knows no other member.
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
    /// The message is malformed, or not for this member.
    pub(crate) fn handle_data(&mut self, message: &[u8]) -> Result<(), foca::Error> {
        self.foca.handle_data(message, &mut self.output)
    }

    /// Handles a timer that is due.
    pub(crate) fn handle_timer(&mut self, timer: Timer<MemberId>) {
        // The library restarts an interrupted probe by itself, and its error reports nothing else.
        let _ = self.foca.handle_timer(timer, &mut self.output);
    }

    /// Asks a member to let this one join, and for the members that it knows.
    pub(crate) fn announce(&mut self, to: MemberId) {
        let _ = self.foca.announce(to, &mut self.output);
    }

    /// Applies an update that a member sent about itself.
    pub(crate) fn apply(&mut self, member: foca::Member<MemberId>) {
        let _ = self.foca.apply_many(std::iter::once(member), true, &mut self.output);
    }

    /// Sends a member the suspicion of it. If it has not refuted it yet, it does so.
    pub(crate) fn notify_suspect(&mut self, suspicion: &Suspicion) {
        let header = foca::Header {
            src: self.foca.identity().clone(),
            src_incarnation: self.incarnation(),
            dst: suspicion.id.clone(),
            message: foca::Message::Gossip,
        };
        let update = foca::Member::new(suspicion.id.clone(), suspicion.incarnation, foca::State::Suspect);
        // Two members fit into each datagram: a fleet's name and its members' names are bounded.
        if let Ok(bytes) = codec::encode_gossip(&header, &update) {
            self.output.messages.push(SwimMessage { to: suspicion.id.clone(), bytes });
        }
    }

    /// How long a suspected member has to refute, in a fleet of the present size.
    pub(crate) fn suspicion_timeout(&self) -> Duration {
        config::suspicion_timeout(&self.timing, self.active_count() + 1)
    }

    /// Announces that this member leaves, under its last identity.
    pub(crate) fn leave(&mut self, last_id: MemberId) {
        let _ = self.foca.change_identity(last_id, &mut self.output);
        let _ = self.foca.leave_cluster(&mut self.output);
    }

    /// All members that are remembered.
    pub(crate) fn members(&self) -> impl Iterator<Item = &foca::Member<MemberId>> {
        self.foca.iter_membership_state()
    }

    /// How many members are alive or suspected.
    pub(crate) fn active_count(&self) -> usize {
        self.foca.num_members()
    }

    /// How often this member refuted a suspicion in this generation.
    pub(crate) fn incarnation(&self) -> u16 {
        self.output.incarnation()
    }

    /// Adapts the configuration to the present number of members.
    pub(crate) fn adapt_to_size(&mut self) {
        let members = self.active_count() + 1;
        let config = config::for_members(&self.timing, self.max_message_bytes, members);
        // The library rejects changes of some fields, which never change here.
        let _ = self.foca.set_config(config);
    }

    /// Removes the members from the admission that SWIM does not remember.
    pub(crate) fn prune_admission(&self) {
        let mut admission = self.admission.state();
        let local = admission.local_id.name_hash();
        let remembered = || self.members().map(foca::Member::id).filter(|id| id.name_hash() != local);
        // All remembered members were admitted: if there are as many, they are the same.
        if admission.admitted.len() > remembered().count() {
            admission.admitted = remembered().map(|id| (id.name_hash(), id.clone())).collect();
        }
    }
}
