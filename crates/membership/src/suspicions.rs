//! The suspicions that this member holds: [`Suspicions`]. SWIM's library keeps a timer only for
//! those that this member has found itself, and forgets it when this member rejoins.

use crate::identity::MemberId;
use std::collections::BTreeMap;

/// The suspicion of one process in one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    /// The suspected process.
    pub id: MemberId,
    /// Its incarnation: it refutes by taking a higher one.
    pub incarnation: u16,
}

/// All suspicions that this member holds.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    /// By the hashes of the names.
    held: BTreeMap<u128, Suspicion>,
}

impl Suspicions {
    /// Takes over the state of SWIM; returns the suspicions that are new.
    pub(crate) fn update<'a>(
        &mut self,
        members: impl Iterator<Item = &'a foca::Member<MemberId>>,
    ) -> Vec<Suspicion> {
        let suspected = members.filter(|member| member.state() == foca::State::Suspect);
        let now_held: BTreeMap<u128, Suspicion> =
            suspected.map(|member| (member.id().name_hash(), Suspicion::of(member))).collect();
        let before = std::mem::replace(&mut self.held, now_held);
        let is_new = |(name, suspicion): &(&u128, &Suspicion)| before.get(name) != Some(suspicion);
        self.held.iter().filter(is_new).map(|(_, suspicion)| suspicion.clone()).collect()
    }

    /// Whether this suspicion has not ended.
    pub(crate) fn holds(&self, suspicion: &Suspicion) -> bool {
        self.held.get(&suspicion.id.name_hash()) == Some(suspicion)
    }
}

impl Suspicion {
    fn of(member: &foca::Member<MemberId>) -> Suspicion {
        Suspicion { id: member.id().clone(), incarnation: member.incarnation() }
    }
}
