//! The messages of SWIM in `postcard`: [`SwimCodec`]. Each member that a received message names
//! must pass [`JoinAdmission`].

use crate::identity::MemberId;
use crate::join_admission::{AdmissionDecision, JoinAdmission};
use crate::wire;
use foca::{Codec, Header};
use thiserror::Error;

/// Why a message of SWIM is not encoded or not accepted.
#[derive(Debug, Error)]
pub(crate) enum SwimCodecError {
    /// It cannot be decoded.
    #[error("not a message of SWIM")]
    Malformed(#[source] postcard::Error),
    /// It names a process that cannot exist.
    #[error("{0:?} cannot be a member")]
    InvalidMember(MemberId),
    /// It does not fit into a datagram.
    #[error("{length} bytes do not fit into {capacity}")]
    TooLong {
        /// Bytes that it takes.
        length: usize,
        /// Bytes of the datagram that are free.
        capacity: usize,
    },
    /// Its sender is not admitted.
    #[error("the sender is not admitted")]
    NotAdmitted,
}

/// Encodes and decodes messages for `foca`.
pub(super) struct SwimCodec {
    admission: JoinAdmission,
}

impl SwimCodec {
    /// A codec that asks this admission.
    pub(super) fn new(admission: JoinAdmission) -> SwimCodec {
        SwimCodec { admission }
    }
}

/// Appends a value to a buffer; returns its length in bytes.
fn encode(value: &impl serde::Serialize, mut buffer: impl bytes::BufMut) -> Result<usize, SwimCodecError> {
    let bytes = wire::encode_body(value);
    let (length, capacity) = (bytes.len(), buffer.remaining_mut());
    if capacity < length {
        return Err(SwimCodecError::TooLong { length, capacity });
    }
    buffer.put_slice(&bytes);
    Ok(length)
}

/// Reads a value from the beginning of a buffer and advances it.
fn decode<T: serde::de::DeserializeOwned>(mut buffer: impl bytes::Buf) -> Result<T, SwimCodecError> {
    let (value, rest) = postcard::take_from_bytes(buffer.chunk()).map_err(SwimCodecError::Malformed)?;
    let used = buffer.remaining() - rest.len();
    buffer.advance(used);
    Ok(value)
}

/// Encodes a message of gossip with one update, as the library does: the header, the number of
/// updates, the updates.
///
/// # Errors
///
/// If it does not fit.
pub(super) fn encode_gossip(
    header: &Header<MemberId>,
    update: &foca::Member<MemberId>,
) -> Result<Vec<u8>, SwimCodecError> {
    const UPDATES: u16 = 1;
    let mut bytes = Vec::new();
    encode(header, &mut bytes)?;
    bytes.extend_from_slice(&UPDATES.to_be_bytes());
    encode(update, &mut bytes)?;
    Ok(bytes)
}

impl Codec<MemberId> for SwimCodec {
    type Error = SwimCodecError;

    fn encode_header(
        &mut self,
        header: &Header<MemberId>,
        buffer: impl bytes::BufMut,
    ) -> Result<(), SwimCodecError> {
        let length = encode(header, buffer)?;
        self.admission.state().header_length = length;
        Ok(())
    }

    fn decode_header(&mut self, buffer: impl bytes::Buf) -> Result<Header<MemberId>, SwimCodecError> {
        let header: Header<MemberId> = decode(buffer)?;
        if !header.src.is_valid() {
            return Err(SwimCodecError::InvalidMember(header.src));
        }
        let mut admission = self.admission.state();
        if admission.conflicts_with(&header.src) {
            admission.conflicting = Some(header.src);
            return Err(SwimCodecError::NotAdmitted);
        }
        admission.record_if_superseded(&header.src);
        match admission.admit(&header.src) {
            AdmissionDecision::Admitted => Ok(header),
            AdmissionDecision::FleetFull => Err(SwimCodecError::NotAdmitted),
        }
    }

    fn encode_member(
        &mut self,
        member: &foca::Member<MemberId>,
        buffer: impl bytes::BufMut,
    ) -> Result<(), SwimCodecError> {
        encode(member, buffer)?;
        Ok(())
    }

    fn decode_member(&mut self, buffer: impl bytes::Buf) -> Result<foca::Member<MemberId>, SwimCodecError> {
        let member: foca::Member<MemberId> = decode(buffer)?;
        if !member.id().is_valid() {
            return Err(SwimCodecError::InvalidMember(member.id().clone()));
        }
        let mut admission = self.admission.state();
        admission.members_received += 1;
        // An update by which this member is alive has no effect on SWIM, and replaces an update that
        // SWIM must not receive.
        let no_effect = foca::Member::alive(admission.local_id.clone());
        if admission.conflicts_with(member.id()) {
            // An earlier process of the name was superseded by this one; a later one is a conflict
            // unless it has ended.
            if member.id().start > admission.local_id.start {
                if member.state() != foca::State::Down {
                    admission.conflicting = Some(member.id().clone());
                }
                return Ok(no_effect);
            }
            return Ok(member);
        }
        match admission.admit(member.id()) {
            AdmissionDecision::Admitted => Ok(member),
            AdmissionDecision::FleetFull => Ok(no_effect),
        }
    }
}
