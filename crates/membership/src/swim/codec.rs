//! [`SwimCodec`] encodes the messages of SWIM by `postcard`. Each member that a received message
//! names must pass [`JoinAdmission`].

use crate::identity::MemberId;
use crate::join_admission::{AdmissionDecision, JoinAdmission};
use crate::wire;
use foca::{Codec, Header};
use thiserror::Error;

/// The reason why a message of SWIM is not encoded or not accepted.
#[derive(Debug, Error)]
pub(crate) enum SwimCodecError {
    /// The message cannot be decoded.
    #[error("malformed SWIM message")]
    Malformed(#[source] postcard::Error),
    /// The message names a process that cannot exist.
    #[error("{0:?} is not the identity of a member")]
    InvalidMember(MemberId),
    /// A value does not fit into the datagram.
    #[error("a value of {length} bytes does not fit into the {capacity} bytes left in the datagram")]
    TooLong {
        /// The length of the encoded value, in bytes.
        length: usize,
        /// The free space in the datagram, in bytes.
        capacity: usize,
    },
    /// The sender of the message is not admitted.
    #[error("the sender is not admitted to the fleet")]
    NotAdmitted,
}

/// Encodes and decodes messages for `foca`.
pub(super) struct SwimCodec {
    admission: JoinAdmission,
}

impl SwimCodec {
    /// Creates a codec that checks members against this admission.
    pub(super) fn new(admission: JoinAdmission) -> SwimCodec {
        SwimCodec { admission }
    }
}

/// Appends a value to a buffer and returns the length of the encoded value, in bytes.
fn encode(value: &impl serde::Serialize, mut buffer: impl bytes::BufMut) -> Result<usize, SwimCodecError> {
    let bytes = wire::encode_body(value);
    let (length, capacity) = (bytes.len(), buffer.remaining_mut());
    if capacity < length {
        return Err(SwimCodecError::TooLong { length, capacity });
    }
    buffer.put_slice(&bytes);
    Ok(length)
}

/// Decodes a value from the beginning of a buffer and advances the buffer past the value.
fn decode<T: serde::de::DeserializeOwned>(mut buffer: impl bytes::Buf) -> Result<T, SwimCodecError> {
    let (value, rest) = postcard::take_from_bytes(buffer.chunk()).map_err(SwimCodecError::Malformed)?;
    let used = buffer.remaining() - rest.len();
    buffer.advance(used);
    Ok(value)
}

/// Encodes a gossip message with one update in the library's format: the header, the number of
/// updates, the updates.
///
/// # Errors
///
/// [`SwimCodecError::TooLong`] if the message does not fit.
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
        // An update that states this member to be alive has no effect on SWIM. It replaces an
        // update that SWIM must not get.
        let no_effect = foca::Member::alive(admission.local_id.clone());
        if admission.conflicts_with(member.id()) {
            // This process has superseded an earlier one with the same name. A later one is a
            // conflict unless it has failed or left.
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
