//! [`Suspicions`]: the suspicions that this member holds. The library `foca` keeps a timer only for
//! suspicions that this member began itself, and drops that timer when this member rejoins.

use crate::identity::MemberId;
use std::collections::BTreeMap;

/// The suspicion of one process in one incarnation.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) struct Suspicion {
    /// The suspected process.
    pub id: MemberId,
    /// The suspected incarnation. The process refutes the suspicion by taking a higher one.
    pub incarnation: u16,
}

/// All suspicions that this member holds.
#[derive(Debug, Default)]
pub(crate) struct Suspicions {
    /// The suspicions by the hash of the member's name.
    held: BTreeMap<u128, Suspicion>,
}

impl Suspicions {
    /// Updates the suspicions from the state of SWIM and returns the new ones.
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

    /// Returns whether this member still holds the suspicion.
    pub(crate) fn holds(&self, suspicion: &Suspicion) -> bool {
        self.held.get(&suspicion.id.name_hash()) == Some(suspicion)
    }
}

impl Suspicion {
    fn of(member: &foca::Member<MemberId>) -> Suspicion {
        Suspicion { id: member.id().clone(), incarnation: member.incarnation() }
    }
}
