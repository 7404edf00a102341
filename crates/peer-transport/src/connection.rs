//! One connection that is up, as those see it who send on it: [`PeerConnection`]. The tasks that
//! read and write it are in `session`.

use crate::frame::{Frame, Handshake, RequestId};
use crate::process::Process;
use crate::send_queue::SendQueue;
use std::collections::BTreeMap;
use std::sync::{Mutex, MutexGuard, PoisonError};
use tokio::sync::{oneshot, Notify};

/// The response to a request; none if the peer has none.
pub(crate) type ResponseBody = Option<Vec<u8>>;

/// The requests that were sent and have no response yet.
#[derive(Default)]
struct PendingRequests {
    last_id: RequestId,
    senders: BTreeMap<RequestId, oneshot::Sender<ResponseBody>>,
}

/// A request that was sent.
pub(crate) struct SentRequest {
    pub(crate) id: RequestId,
    /// Gets the response; its sender is dropped if the request could not be sent, or the
    /// connection ends before the response.
    pub(crate) response: oneshot::Receiver<ResponseBody>,
}

/// One connection that is up.
pub(crate) struct PeerConnection {
    /// What the peer said of itself.
    handshake: Handshake,
    /// What is to be written to the peer.
    pub(crate) send_queue: SendQueue,
    /// Guards the requests in flight; it is never held while another lock is.
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

    /// The process at the other end.
    pub(crate) fn peer(&self) -> &Process {
        &self.handshake.sender
    }

    /// The voter id that the peer holds, if any.
    pub(crate) fn voter_id(&self) -> Option<u8> {
        self.handshake.voter_id
    }

    /// Queues a request.
    pub(crate) fn request(&self, body: Vec<u8>) -> SentRequest {
        let (sender, response) = oneshot::channel();
        let id = {
            let mut pending = self.pending();
            pending.last_id += 1;
            let id = pending.last_id;
            pending.senders.insert(id, sender);
            id
        };
        if !self.send_queue.push(&Frame::Request(id, body)) {
            self.forget_request(id);
        }
        SentRequest { id, response }
    }

    /// Hands a response to whoever waits for it.
    pub(crate) fn complete_request(&self, id: RequestId, body: ResponseBody) {
        let sender = self.pending().senders.remove(&id);
        if let Some(sender) = sender {
            // Whoever asked may not wait any longer.
            let _ = sender.send(body);
        }
    }

    /// Nobody waits for this response any more.
    pub(crate) fn forget_request(&self, id: RequestId) {
        self.pending().senders.remove(&id);
    }

    /// Ends the connection: nothing more is written, and no request gets a response.
    pub(crate) fn close(&self) {
        self.send_queue.close();
        self.pending().senders.clear();
        self.closed.notify_one();
    }

    /// Waits for [`PeerConnection::close`]. Only the task that runs the connection may wait.
    pub(crate) async fn closed(&self) {
        self.closed.notified().await;
    }

    fn pending(&self) -> MutexGuard<'_, PendingRequests> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
