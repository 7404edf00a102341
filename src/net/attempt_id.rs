//! [`AttemptId`]: identifies an attempt in the dispatcher, the backend service and the request log.

use crate::interface::RequestId;

/// The identity of one attempt: its request, and its number within the request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct AttemptId {
    /// The id of the request at this proxy.
    pub request: RequestId,
    /// The number of the attempt within the request, from 0, in the order in which the decision
    /// module requested the attempts.
    pub attempt: u8,
}
