//! A value on its way from a provider to a consumer, in pieces: a window between two coroutines. A full one stops
//! whoever fills it, so that a slow reader stops the reading at the other end.

use may::sync::SyncFlag;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};

/// Bytes that may lie between the two.
pub const WINDOW: usize = 32 * 1024;

#[derive(Default)]
struct State {
    bytes: Vec<u8>,
    /// Whether all has been put in; whether it broke off before.
    ended: Option<bool>,
    /// Whether nobody takes any more.
    left: bool,
    /// Called when there is something to take.
    wake: Option<Box<dyn Fn() + Send>>,
    /// Fired when there is room again.
    room: Option<Arc<SyncFlag>>,
}

type Shared = Arc<Mutex<State>>;

/// The end that pieces are put into. Dropped before [`BodyReader::end`], it says that the value broke off.
pub struct BodyReader(Shared);

/// The end that pieces are taken from. Dropped, it says that nobody wants the rest.
pub struct BodyWriter(Shared);

/// What can be taken now.
#[derive(Debug, PartialEq, Eq)]
pub enum Taken {
    /// These bytes; there may be more.
    Some(Vec<u8>),
    /// Nothing yet.
    Nothing,
    /// All has been taken.
    End,
    /// The rest will never come.
    Broken,
}

/// Nobody takes what is put in.
#[derive(Debug, PartialEq, Eq)]
pub struct Left;

/// The two ends of a window.
pub fn window() -> (BodyReader, BodyWriter) {
    let shared = Shared::default();
    (BodyReader(Arc::clone(&shared)), BodyWriter(shared))
}

impl BodyReader {
    /// Puts a piece in, once there is room. It waits without a time limit: the other end takes or is dropped.
    pub fn put(&self, piece: &[u8]) -> Result<(), Left> {
        loop {
            let flag = {
                let mut state = lock(&self.0);
                if state.left {
                    return Err(Left);
                }
                if state.bytes.len() < WINDOW {
                    state.bytes.extend_from_slice(piece);
                    state.wake();
                    return Ok(());
                }
                Arc::clone(state.room.insert(Arc::new(SyncFlag::new())))
            };
            flag.wait();
        }
    }

    /// All has been put in.
    pub fn end(self) {
        lock(&self.0).ended = Some(true);
        // Dropping it wakes the other end.
    }
}

impl Drop for BodyReader {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.ended.get_or_insert(false);
        state.wake();
    }
}

impl BodyWriter {
    /// Has `wake` called whenever there is something to take. It must not wait.
    pub fn wake_by(&self, wake: Box<dyn Fn() + Send>) {
        let mut state = lock(&self.0);
        state.wake = Some(wake);
        state.wake();
    }

    /// Takes what is there.
    pub fn take(&self) -> Taken {
        let mut state = lock(&self.0);
        if state.bytes.is_empty() {
            return match state.ended {
                None => Taken::Nothing,
                Some(true) => Taken::End,
                Some(false) => Taken::Broken,
            };
        }
        let bytes = std::mem::take(&mut state.bytes);
        state.make_room();
        Taken::Some(bytes)
    }
}

impl Drop for BodyWriter {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.left = true;
        (state.bytes, state.wake) = (Vec::new(), None);
        state.make_room();
    }
}

impl State {
    fn wake(&self) {
        self.wake.iter().for_each(|wake| wake());
    }

    fn make_room(&mut self) {
        self.room.take().iter().for_each(|room| room.fire());
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl std::fmt::Debug for BodyWriter {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("Sink")
    }
}

#[cfg(test)]
mod tests;
