//! The quorum of a [`LeaderTerm`]: which votes count, and until when they are a quorum.

use super::LeaderTerm;
use crate::settings::Settings;
use crate::view::Process;
use pinetrail_clock::Timestamp;
use std::collections::BTreeMap;
use std::net::SocketAddr;

impl LeaderTerm {
    /// Returns the addresses of the processes whose votes count.
    pub(crate) fn voter_addresses(&self, settings: &Settings) -> Vec<SocketAddr> {
        match &self.view {
            Some(view) => view.voters.iter().map(|process| process.address).collect(),
            None => settings.founders.clone(),
        }
    }

    /// Returns whether the vote of a process counts.
    pub(super) fn is_voter(&self, process: &Process, settings: &Settings) -> bool {
        match &self.view {
            Some(view) => view.is_voter(process),
            None => settings.is_founder(&process.address),
        }
    }

    /// Returns the size of a quorum: the number of voters that decide.
    pub(super) fn quorum(&self, settings: &Settings) -> usize {
        match &self.view {
            Some(view) => view.quorum(settings.min_quorum()),
            None => settings.founding_quorum(),
        }
    }

    /// Updates the expiry of this term: the time until which the term has the votes of a quorum.
    ///
    /// Inputs: the expiry of each vote (own clock), the addresses of the voters, the size of a
    /// quorum.
    /// Reason: a process and its successor at the same address count as one voter, and the term
    /// lasts only as long as the votes of a quorum are valid at the same time.
    /// Source: PaxosLease (Trencseni, Gazso and Reinhardt 2012).
    pub(super) fn update_valid_until(&mut self, settings: &Settings) {
        let mut expiry_by_address: BTreeMap<SocketAddr, Timestamp> = BTreeMap::new();
        for (process, expires_at) in &self.votes {
            if self.view.as_ref().is_none_or(|view| view.is_voter(process)) {
                let latest = expiry_by_address.entry(process.address).or_default();
                *latest = (*latest).max(*expires_at);
            }
        }
        let mut latest_first: Vec<Timestamp> = expiry_by_address.into_values().collect();
        latest_first.sort_unstable_by(|a, b| b.cmp(a));
        let last_needed = self.quorum(settings) - 1;
        self.valid_until = latest_first.get(last_needed).copied().unwrap_or(Timestamp::ZERO);
    }
}
