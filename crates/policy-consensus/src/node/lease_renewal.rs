//! Asks one founder for this process's permit, again and again, and tells it what this process makes of a change.

use super::ConsensusNode;
use crate::messages::{Message, Reply};
use crate::{LeaseExpiryMode, LeaseRequest, Stage};
use pinetrail_peer_transport::Network;
use std::sync::Arc;
use tokio::time::{sleep, timeout, Instant};

impl<N: Network> ConsensusNode<N> {
    /// Does so for as long as this process runs: ask, take the answer, wait until it is time or there is news.
    pub(super) async fn renew(self: Arc<Self>, seat: u8) {
        let mut number = 0;
        let mut said = None;
        loop {
            number += 1;
            let (asked, epoch) = self.question(number);
            let begun = Instant::now();
            let word = (asked.version, asked.admits, asked.word.clone(), epoch);
            // Danger: a permit counts from before it was asked for: its holder's clock ends first.
            let answer = self.ask(seat, &Message::RequestLease(asked)).await;
            let was_answered = match answer {
                Some(Reply::Lease(permitted, head)) => {
                    if permitted {
                        self.permitted(seat, epoch, begun + self.settings.timing.permit);
                    }
                    let from =
                        self.links.voter_process(seat).unwrap_or_else(|| self.settings.process.clone());
                    self.heard_of(&from, head);
                    true
                }
                _ => false,
            };
            if was_answered {
                said = Some(word);
            }
            // News of other things are no reason to ask anew.
            let next = begun + self.settings.timing.renew;
            loop {
                let seen = self.news.seen();
                let (now, epoch) = self.question(number);
                if said != Some((now.version, now.admits, now.word, epoch)) {
                    // A founder that is not there is not asked in a circle.
                    if !was_answered {
                        sleep(self.about(self.settings.timing.renew / 20)).await;
                    }
                    break;
                }
                let left = next.saturating_duration_since(Instant::now());
                if left.is_zero() || timeout(left, self.news.since(seen)).await.is_err() {
                    break;
                }
            }
        }
    }

    /// What is to be asked now, and the epoch in which the answer counts.
    fn question(&self, number: u64) -> (LeaseRequest, u64) {
        let known = self.known();
        let closing = known.head.change.as_ref().is_some_and(|open| open.stage == Stage::Closing);
        let given_up = self.permit.is_released();
        let asked = LeaseRequest {
            number,
            version: known.in_force,
            // Danger: only who has given it up may say so: a founder votes by that.
            admits: !(closing && given_up),
            word: known.word.clone(),
            serves_on: self.settings.lease_expiry_mode == LeaseExpiryMode::FailOpen,
        };
        (asked, self.permit.epoch())
    }

    fn permitted(&self, seat: u8, epoch: u64, until: Instant) {
        let lasted = self.permit.valid_until(Instant::now()).is_some();
        self.permit.granted(seat, epoch, until);
        if !lasted && self.permit.valid_until(Instant::now()).is_some() {
            self.known().admitted = true;
            self.news();
        }
    }
}
