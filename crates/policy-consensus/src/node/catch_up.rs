//! Follows what is agreed: fetches the texts that are not at hand, looks at what is proposed, and puts in force what was taken.

use super::{ConsensusNode, Known};
use crate::lease_table::Readiness;
use crate::messages::{encode, Message, Reply};
use crate::Stage;
use pinetrail_peer_transport::{Network, Process};
use std::sync::Arc;
use std::time::Duration;
use tokio::time::{sleep, timeout, Instant};

/// Between attempts to fetch what nobody gave.
const REST: Duration = Duration::from_millis(50);

impl<N: Network> ConsensusNode<N> {
    /// Does so for as long as this process runs.
    pub(super) async fn follow(self: Arc<Self>) {
        loop {
            let seen = self.news.seen();
            if self.lacks_text() {
                if !self.fetch().await {
                    // Perhaps there is newer news by then.
                    let _ = timeout(self.about(REST), self.news.since(seen)).await;
                }
                continue;
            }
            self.apply();
            if self.lacks_ended() && !self.fetch().await {
                sleep(self.about(REST)).await;
                continue;
            }
            self.news.since(seen).await;
        }
    }

    /// Whether something is agreed of which the text is not at hand.
    fn lacks_text(&self) -> bool {
        let known = self.known();
        let open = known.head.change.as_ref().map(|open| open.digest);
        let digests = [Some(known.head.digest), open];
        known.head.revision > 0 && digests.into_iter().flatten().any(|digest| known.text(digest).is_none())
    }

    /// Whether a change ended of which this process knows only that.
    fn lacks_ended(&self) -> bool {
        let known = self.known();
        let at = known.book.as_ref().map_or(0, |book| book.revision);
        known.head.revision > at && known.head.change.is_none()
    }

    /// Fetches the book; from version 1,000 back too it is the version that comes, not the history.
    async fn fetch(&self) -> bool {
        let (revision, source) = {
            let known = self.known();
            (known.head.revision, known.source.clone())
        };
        let founders = (0..self.settings.voters.0).filter_map(|seat| self.links.voter_process(seat));
        let from: Vec<Process> = source.into_iter().chain(founders).collect();
        for peer in from {
            // A text may be long, and a way slow.
            let within = self.settings.timing.answer * 10;
            let answer = self.links.request(&peer, encode(&Message::FetchState(revision)), within).await;
            if let Some(Reply::State(book)) = answer.and_then(|answer| crate::messages::decode(&answer)) {
                let mut known = self.known();
                if book.revision >= known.head.revision {
                    known.head = book.summary();
                }
                if known.book.as_ref().is_none_or(|before| before.revision < book.revision) {
                    known.book = Some(*book);
                }
                return true;
            }
        }
        false
    }

    /// Looks at what is proposed, puts in force what was taken, and gives the permit up where all have to.
    fn apply(&self) {
        let mut known = self.known();
        let head = known.head.clone();
        let mut changed = false;
        if head.version > known.in_force {
            changed |= self.put_in_force(&mut known, head.version);
        }
        let Some(open) = head.change else { return drop(known) };
        if known.in_force != head.version {
            return;
        }
        let looked = known.word.as_ref().is_some_and(|(id, _)| *id == open.id);
        if !looked {
            let Some(text) = known.text(open.digest) else { return };
            let word = self.app.validate(&text).map_or_else(Readiness::Rejected, |()| Readiness::Ready);
            if let Readiness::Rejected(why) = &word {
                self.app.log(&format!("the change {} is refused here: {why}", open.id));
            }
            known.word = Some((open.id.clone(), word));
            changed = true;
        }
        let is_ready = known.word.as_ref().is_some_and(|(_, word)| *word == Readiness::Ready);
        if open.stage == Stage::Closing && is_ready && !self.permit.is_released() {
            self.permit.release(Instant::now());
            changed = true;
        }
        drop(known);
        if changed {
            self.news();
        }
    }

    fn put_in_force(&self, known: &mut Known, version: u64) -> bool {
        let Some(text) = known.text(known.head.digest) else { return false };
        // It knows better than what it has.
        self.permit.mark_outdated();
        match self.app.validate(&text) {
            Ok(()) => {
                self.app.apply(version, &text);
                self.permit.begin(version);
                (known.in_force, known.unfit, known.word) = (version, None, None);
                self.app
                    .log(&format!("version {version} of the policy is in force here, {}", known.head.digest));
                true
            }
            Err(why) => {
                if known.unfit.as_ref().is_none_or(|(of, _)| *of != version) {
                    self.app.log(&format!(
                        "ERROR: version {version} of the policy cannot be in force here: {why}"
                    ));
                }
                known.unfit = Some((version, why));
                false
            }
        }
    }
}
