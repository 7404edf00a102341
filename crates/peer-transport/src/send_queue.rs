//! What is to be written to one peer: [`SendQueue`]. It is bounded, so that a slow peer costs only
//! itself.

use crate::frame::{self, Frame};
use bytes::Bytes;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Frames that may wait for one peer.
const MAX_FRAMES: usize = 512;
/// Bytes that may wait for one peer.
const MAX_BYTES: usize = 4 << 20;

#[derive(Default)]
struct State {
    frames: VecDeque<Bytes>,
    /// The sum of the lengths of `frames`.
    bytes: usize,
    /// Whether a frame was dropped since the last [`Frame::Resync`].
    needs_resync: bool,
    closed: bool,
}

/// The frames that wait to be written to one peer.
#[derive(Default)]
pub(crate) struct SendQueue {
    /// Guards the queue itself; it is held for no longer than one operation on it.
    state: Mutex<State>,
    /// Wakes the task that writes.
    changed: Notify,
}

impl SendQueue {
    /// Appends a frame. False if there is no room for it, or it is too long: it is dropped.
    pub(crate) fn push(&self, frame: &Frame) -> bool {
        let Ok(encoded) = frame::encode(frame) else { return false };
        let has_room = {
            let mut state = self.lock();
            let has_room = state.has_room_for(encoded.len());
            if has_room && !state.closed {
                state.bytes += encoded.len();
                state.frames.push_back(encoded);
            } else {
                state.needs_resync = true;
            }
            has_room
        };
        self.changed.notify_one();
        has_room
    }

    /// Waits for the next frame, encoded; none once the queue is closed. [`Frame::Resync`] comes
    /// after all that was queued.
    pub(crate) async fn pop(&self) -> Option<Bytes> {
        loop {
            {
                let mut state = self.lock();
                if state.closed {
                    return None;
                }
                if let Some(frame) = state.frames.pop_front() {
                    state.bytes -= frame.len();
                    return Some(frame);
                }
                if std::mem::take(&mut state.needs_resync) {
                    return frame::encode(&Frame::Resync).ok();
                }
            }
            self.changed.notified().await;
        }
    }

    /// From now on nothing more is written.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn has_room_for(&self, length: usize) -> bool {
        self.frames.len() < MAX_FRAMES && self.bytes + length <= MAX_BYTES
    }
}

#[cfg(test)]
mod tests;
