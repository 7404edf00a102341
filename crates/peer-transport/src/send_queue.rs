//! The queue of frames for one peer: [`SendQueue`]. The queue is bounded, so that a slow peer does
//! not exhaust the memory of this process.

use crate::frame::{self, Frame};
use bytes::Bytes;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// The capacity of a queue in frames.
const MAX_QUEUED_FRAMES: usize = 512;
/// The capacity of a queue in bytes.
const MAX_QUEUED_BYTES: usize = 4 << 20;

#[derive(Default)]
struct State {
    frames: VecDeque<Bytes>,
    /// The total length of `frames` in bytes.
    bytes: usize,
    /// Whether a frame was dropped since the last [`Frame::Resync`].
    needs_resync: bool,
    closed: bool,
}

/// The frames that wait to be written to one peer.
#[derive(Default)]
pub(crate) struct SendQueue {
    /// The queue. Its lock is held for single operations only.
    state: Mutex<State>,
    /// Notifies the task that writes of a new frame, or that the queue is closed.
    changed: Notify,
}

impl SendQueue {
    /// Queues or drops a frame, and returns whether it was queued. A frame is dropped if it is too
    /// long, if it exceeds the capacity of the queue, or if the queue is closed.
    ///
    /// Inputs: the encoded length of the frame in bytes; the frames and bytes in the queue; whether
    /// the queue is closed.
    /// Reason: a peer that does not read must not exhaust the memory of this process. The peer gets
    /// one [`Frame::Resync`] for all dropped frames.
    pub(crate) fn push(&self, frame: &Frame) -> bool {
        let Ok(encoded) = frame::encode(frame) else { return false };
        let is_queued = {
            let mut state = self.lock();
            let is_queued = !state.closed && state.has_capacity_for(encoded.len());
            if is_queued {
                state.bytes += encoded.len();
                state.frames.push_back(encoded);
            } else {
                state.needs_resync = true;
            }
            is_queued
        };
        self.changed.notify_one();
        is_queued
    }

    /// Waits for the next frame and returns its encoding; `None` when the queue is closed.
    /// [`Frame::Resync`] is returned after all queued frames.
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

    /// Closes the queue: queued frames are not written, and later ones are dropped.
    pub(crate) fn close(&self) {
        self.lock().closed = true;
        self.changed.notify_one();
    }

    fn lock(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn has_capacity_for(&self, length: usize) -> bool {
        self.frames.len() < MAX_QUEUED_FRAMES && self.bytes + length <= MAX_QUEUED_BYTES
    }
}

#[cfg(test)]
mod tests;
