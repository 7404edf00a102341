//! By when a change of the list is known, whatever call failed: one budget, from which each wait of a watch is taken.

use super::Ended;
use rand::{rngs::SmallRng, Rng, SeedableRng};
use std::ops::Range;
use std::time::Duration;

const fn ms(ms: u64) -> Duration {
    Duration::from_millis(ms)
}

/// A change counts as told so long after discovery had it and could be reached.
const TOLD_AFTER: Duration = ms(6000);
/// A line, if only an empty one, comes every 2 s: a watch that is silent for longer is dead.
pub(super) const SILENCE: Duration = ms(2500);
/// While what changed since the last word is not yet counted as told, a call is given up after this time if its watch has
/// not begun: another can still come in time.
const BRIEF: Duration = ms(1400);
/// After that, a call is waited for. Discovery takes calls in turn, and many may wait before this one.
const PATIENT: Duration = ms(2600);
/// A connection that has not come up by then never will.
const CONNECT: Duration = ms(750);
/// What ran out of time is followed by another call after such a time.
const SOON: Range<Duration> = ms(100)..ms(300);
/// What was ended or refused again, so long after it began. Danger: a discovery that fails is asked again by
/// hundreds: the sooner it fails, the longer each waits, and no two equally long.
const LATER: Range<Duration> = ms(2000)..ms(2700);
/// The first time, and no sooner ever: a discovery that goes ends all its watches in one moment.
const SPREAD: Range<Duration> = ms(300)..ms(1200);
/// Where an agent pushes lists, what it has counts as told at once. Nobody else calls that agent.
const PUSHED: Range<Duration> = ms(200)..ms(400);
/// After a move of discovery its news count as told sooner.
const TOLD_AFTER_A_MOVE: Duration = ms(4000);

// A watch falls silent in the moment of a change, and the next call hangs.
const _: () = in_time(&[SILENCE, SOON.end, BRIEF, SOON.end, BRIEF]);
// The next call is refused at once, and so is the one after that.
const _: () = in_time(&[SILENCE, SOON.end, SPREAD.end]);
// A move finds a connection to the old address coming up, and the first call at the new one hangs or is refused.
const _: () = assert!(total(&[CONNECT, BRIEF, SOON.end, BRIEF]) <= TOLD_AFTER_A_MOVE.as_millis());
const _: () = assert!(total(&[CONNECT, SPREAD.end, BRIEF]) <= TOLD_AFTER_A_MOVE.as_millis());
// A call begins in the moment in which discovery is back, and hangs all the same; or is refused.
const _: () = in_time(&[PATIENT, SOON.end, PATIENT]);
const _: () = in_time(&[LATER.end, PATIENT]);

const fn in_time(waits: &[Duration]) {
    assert!(total(waits) <= TOLD_AFTER.as_millis());
}

const fn total(waits: &[Duration]) -> u128 {
    let (mut sum, mut at) = (0, 0);
    while at < waits.len() {
        sum += waits[at].as_millis();
        at += 1;
    }
    sum
}

/// How long a call may take until its watch has begun, and its connection to come up; nothing was heard for so long.
pub(super) fn call_within(silent_for: Duration) -> (Duration, Duration) {
    let call = if silent_for < TOLD_AFTER { BRIEF } else { PATIENT };
    (call, CONNECT)
}

/// Draws how long to wait.
#[derive(Debug)]
pub(super) struct Waits {
    rng: SmallRng,
    pushed: bool,
    /// Whether the last call was ended or refused before it had lasted.
    failed: bool,
}

impl Waits {
    /// Those of one proxy: each has a seed of its own.
    pub(super) fn new(seed: u64, pushed: bool) -> Waits {
        Waits { rng: SmallRng::seed_from_u64(seed), pushed, failed: false }
    }

    /// Discovery is another one from now on.
    pub(super) fn begin_anew(&mut self) {
        self.failed = false;
    }

    /// How long after the end of a call, or of the watch that came of it, the next one begins; it lasted so long.
    pub(super) fn before_next(&mut self, ended: Ended, lasted: Duration) -> Duration {
        let failed_before = std::mem::replace(&mut self.failed, lasted < LATER.end);
        let (spread, later) = (self.rng.gen_range(SPREAD), self.rng.gen_range(LATER));
        match ended {
            Ended::TimedOut(_) => self.rng.gen_range(SOON),
            Ended::Broke(_) if self.pushed => self.rng.gen_range(PUSHED),
            Ended::Broke(_) if failed_before && self.failed => spread.max(later.saturating_sub(lasted)),
            Ended::Broke(_) => spread,
        }
    }
}
