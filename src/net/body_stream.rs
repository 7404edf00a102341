//! Streams a long value from a backend to a client in pieces, through a bounded window between two
//! coroutines. The attempt writes to the [`BodySender`], the client's connection reads from the
//! [`BodyReceiver`]. A full window makes the sender wait, which applies back-pressure to the
//! backend of a slow client. Read [`channel`] first.

use super::memory::MemoryReservation;
use may::sync::SyncFlag;
use std::collections::VecDeque;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use thiserror::Error;

/// The state that the sender and the receiver share under one lock.
///
/// Invariant: no coroutine waits while it holds the lock.
#[derive(Default)]
struct State {
    pieces: VecDeque<Vec<u8>>,
    /// The length of the pieces together, in bytes.
    length: usize,
    progress: Progress,
    /// The memory that is reserved for a value beyond the window.
    memory: Option<MemoryReservation>,
    /// Whether the [`BodyReceiver`] was dropped.
    is_receiver_dropped: bool,
    /// The function that is called when the receiver has something to read.
    waker: Option<Box<dyn Fn() + Send>>,
    /// The flag that is set when the window has space again.
    space: Option<Arc<SyncFlag>>,
}

type Shared = Arc<Mutex<State>>;

/// Whether more of the value will arrive.
#[derive(Clone, Copy, Default, PartialEq, Eq)]
enum Progress {
    /// More of the value may arrive.
    #[default]
    Open,
    /// The whole value has arrived.
    Complete,
    /// The rest of the value will never arrive.
    Broken,
}

/// The sending end, for the coroutine that reads from the backend. A drop before
/// [`BodySender::finish`] marks the value as broken.
pub struct BodySender(Shared);

/// The receiving end, for the coroutine that writes to the client. After its drop, sending fails.
pub struct BodyReceiver(Shared);

/// The content of the window at one moment.
#[derive(Debug, PartialEq, Eq)]
pub enum ReceiveOutcome {
    /// The window contained these bytes; more may follow.
    Bytes(Vec<u8>),
    /// The window is empty, but more may follow.
    Pending,
    /// The complete value has been received.
    End,
    /// The rest of the value will never arrive.
    Broken,
}

/// The receiving end was dropped, since the client has disconnected.
#[derive(Debug, PartialEq, Eq, Error)]
#[error("the client has disconnected")]
pub struct ReceiverDropped;

/// Creates a window, and returns its sending and its receiving end.
pub fn channel() -> (BodySender, BodyReceiver) {
    let shared = Shared::default();
    (BodySender(Arc::clone(&shared)), BodyReceiver(shared))
}

/// Creates a window that begins with these pieces, and returns its ends. `memory` is reserved for the
/// pieces, and released once they are received.
pub fn channel_after(pieces: Vec<Vec<u8>>, memory: MemoryReservation) -> (BodySender, BodyReceiver) {
    let length = pieces.iter().map(Vec::len).sum();
    let state = State { length, pieces: pieces.into(), memory: Some(memory), ..State::default() };
    let shared = Arc::new(Mutex::new(state));
    (BodySender(Arc::clone(&shared)), BodyReceiver(shared))
}

/// Returns the receiving end of a value that has arrived completely. `memory` is reserved for the
/// pieces, and released once the value is dropped.
pub fn complete(pieces: Vec<Vec<u8>>, memory: MemoryReservation) -> BodyReceiver {
    let state = State {
        length: pieces.iter().map(Vec::len).sum(),
        pieces: pieces.into(),
        progress: Progress::Complete,
        memory: Some(memory),
        ..State::default()
    };
    BodyReceiver(Arc::new(Mutex::new(state)))
}

impl BodySender {
    /// Sends a piece once the window holds less than `window_bytes`, which it may exceed by one piece.
    /// The wait has no timeout, since the receiver either reads or is dropped.
    ///
    /// # Errors
    ///
    /// Returns an error if the receiver was dropped.
    pub fn send(&self, piece: &[u8], window_bytes: usize) -> Result<(), ReceiverDropped> {
        loop {
            let flag = {
                let mut state = lock(&self.0);
                if state.is_receiver_dropped {
                    return Err(ReceiverDropped);
                }
                if state.length < window_bytes {
                    state.length += piece.len();
                    state.pieces.push_back(piece.to_vec());
                    state.wake();
                    return Ok(());
                }
                Arc::clone(state.space.insert(Arc::new(SyncFlag::new())))
            };
            flag.wait();
        }
    }

    /// Marks the value as complete.
    pub fn finish(self) {
        lock(&self.0).progress = Progress::Complete;
        // The drop of the sender wakes the receiver.
    }
}

impl Drop for BodySender {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        if state.progress == Progress::Open {
            state.progress = Progress::Broken;
        }
        state.wake();
    }
}

impl BodyReceiver {
    /// Sets the function that is called whenever there is something to receive. The function must
    /// not wait.
    pub fn set_waker(&self, waker: Box<dyn Fn() + Send>) {
        let mut state = lock(&self.0);
        state.waker = Some(waker);
        state.wake();
    }

    /// Takes pieces from the window until they have `window_bytes`, or reports why it is empty.
    pub fn receive(&self, window_bytes: usize) -> ReceiveOutcome {
        let mut state = lock(&self.0);
        if state.pieces.is_empty() {
            return match state.progress {
                Progress::Open => ReceiveOutcome::Pending,
                Progress::Complete => ReceiveOutcome::End,
                Progress::Broken => ReceiveOutcome::Broken,
            };
        }
        let bytes = state.take_window(window_bytes);
        if state.pieces.is_empty() && state.progress == Progress::Open {
            state.memory = None;
        }
        state.signal_space();
        ReceiveOutcome::Bytes(bytes)
    }

    /// Returns whether the whole value has arrived, so that it cannot break off any more.
    pub fn is_complete(&self) -> bool {
        lock(&self.0).progress == Progress::Complete
    }
}

impl Drop for BodyReceiver {
    fn drop(&mut self) {
        let mut state = lock(&self.0);
        state.is_receiver_dropped = true;
        state.pieces = VecDeque::new();
        state.memory = None;
        state.waker = None;
        state.signal_space();
    }
}

impl State {
    /// Takes pieces until their length reaches that of the window.
    fn take_window(&mut self, window_bytes: usize) -> Vec<u8> {
        let mut bytes = Vec::new();
        while bytes.len() < window_bytes {
            let Some(piece) = self.pieces.pop_front() else { break };
            bytes.extend_from_slice(&piece);
        }
        self.length -= bytes.len();
        bytes
    }

    fn wake(&self) {
        if let Some(waker) = &self.waker {
            waker();
        }
    }

    fn signal_space(&mut self) {
        if let Some(space) = self.space.take() {
            space.fire();
        }
    }
}

fn lock(shared: &Shared) -> MutexGuard<'_, State> {
    shared.lock().unwrap_or_else(PoisonError::into_inner)
}

impl std::fmt::Debug for BodyReceiver {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.write_str("BodyReceiver")
    }
}

#[cfg(test)]
mod tests;
