//! The state of one established connection, with the interface for sending: [`PeerConnection`]. The
//! tasks that read from and write to the connection are in `session`.

use crate::frame::{Frame, Handshake, RequestId};
use crate::process::Process;
use crate::send_queue::SendQueue;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, Notify};

/// The response to a request; `None` if the peer has no response.
pub(crate) type ResponseBody = Option<Vec<u8>>;

/// The requests in flight, which were sent and have no response yet.
#[derive(Default)]
struct PendingRequests {
    last_id: RequestId,
    senders: BTreeMap<RequestId, oneshot::Sender<ResponseBody>>,
}

/// A request that was sent, with the receiver of its response.
pub(crate) struct SentRequest {
    pub(crate) id: RequestId,
    /// The receiver of the response. The sending half is dropped if the request cannot be queued,
    /// or if the connection ends before the response arrives.
    pub(crate) response: oneshot::Receiver<ResponseBody>,
}

/// The state of one established connection.
pub(crate) struct PeerConnection {
    /// The handshake of the peer.
    handshake: Handshake,
    /// The frames that wait to be written to the peer.
    pub(crate) send_queue: SendQueue,
    /// The requests in flight. Their lock is not held together with another lock.
    pending: Mutex<PendingRequests>,
    closed: Notify,
}

impl PeerConnection {
    pub(crate) fn new(handshake: Handshake) -> PeerConnection {
        PeerConnection {
            handshake,
            send_queue: SendQueue::default(),
            pending: Mutex::default(),
            closed: Notify::new(),
        }
    }

    /// Returns the process at the other end.
    pub(crate) fn peer(&self) -> &Process {
        &self.handshake.sender
    }

    /// Returns the voter id that the peer holds, if any.
    pub(crate) fn voter_id(&self) -> Option<u8> {
        self.handshake.voter_id
    }

    /// Queues a request. If it does not fit into the queue, the receiver of the response fails at
    /// once.
    pub(crate) fn request(&self, body: Vec<u8>) -> SentRequest {
        let (sender, response) = oneshot::channel();
        let id = {
            let mut pending = self.pending();
            let id = pending.last_id.next();
            pending.last_id = id;
            pending.senders.insert(id, sender);
            id
        };
        if !self.send_queue.push(&Frame::Request(id, body)) {
            self.cancel_request(id);
        }
        SentRequest { id, response }
    }

    /// Passes a response to the task that waits for it.
    pub(crate) fn complete_request(&self, id: RequestId, body: ResponseBody) {
        let sender = self.pending().senders.remove(&id);
        if let Some(sender) = sender {
            // Sending fails if the task has stopped waiting and dropped its receiver.
            let _ = sender.send(body);
        }
    }

    /// Removes a request from those in flight; a later response to it is ignored.
    pub(crate) fn cancel_request(&self, id: RequestId) {
        self.pending().senders.remove(&id);
    }

    /// Ends the connection: no further frame is written, and requests in flight get no response.
    pub(crate) fn close(&self) {
        self.send_queue.close();
        self.pending().senders.clear();
        self.closed.notify_one();
    }

    /// Waits for [`PeerConnection::close`]. Only the task that runs the connection may wait, since
    /// one waiter is notified.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    fn pending(&self) -> MutexGuard<'_, PendingRequests> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
