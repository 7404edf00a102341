//! What is to be written to one peer. Bounded: a peer that is slow costs only itself.

use crate::frame::{self, Frame};
use bytes::Bytes;
use std::collections::VecDeque;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::Notify;

/// Frames and bytes that may wait for one peer.
const MOST: usize = 512;
const MOST_BYTES: usize = 4 << 20;

#[derive(Default)]
struct Waiting {
    frames: VecDeque<Bytes>,
    bytes: usize,
    /// Whether something was dropped since the last word of that.
    behind: bool,
    closed: bool,
}

/// The queue to one peer.
#[derive(Default)]
pub(crate) struct SendQueue {
    waiting: Mutex<Waiting>,
    more: Notify,
}

impl SendQueue {
    /// Puts a frame in; false if it is dropped.
    pub(crate) fn put(&self, frame: &Frame) -> bool {
        let Some(sealed) = frame::seal(frame) else { return false };
        let mut waiting = self.waiting();
        let fits = waiting.frames.len() < MOST && waiting.bytes + sealed.len() <= MOST_BYTES;
        if fits && !waiting.closed {
            waiting.bytes += sealed.len();
            waiting.frames.push_back(sealed);
        } else {
            waiting.behind = true;
        }
        drop(waiting);
        self.more.notify_one();
        fits
    }

    /// The next frame, once there is one; none once it is closed.
    pub(crate) async fn next(&self) -> Option<Bytes> {
        loop {
            {
                let mut waiting = self.waiting();
                if waiting.closed {
                    return None;
                }
                if let Some(frame) = waiting.frames.pop_front() {
                    waiting.bytes -= frame.len();
                    return Some(frame);
                }
                if std::mem::take(&mut waiting.behind) {
                    return frame::seal(&Frame::Behind);
                }
            }
            self.more.notified().await;
        }
    }

    /// Nothing more is written.
    pub(crate) fn close(&self) {
        self.waiting().closed = true;
        self.more.notify_one();
    }

    fn waiting(&self) -> MutexGuard<'_, Waiting> {
        self.waiting.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

#[cfg(test)]
mod tests;
