//! What follows a response whose end is not marked: a duplicate of the response, or bytes that may
//! belong to it. Read [`Surplus`] first.

/// The bytes behind a response whose length is given by its head alone.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Surplus {
    /// Nothing follows the response.
    None,
    /// A second copy of the response follows, so that the response has ended before it.
    Duplicate,
    /// What has arrived may become a second copy.
    Undecided,
    /// Other bytes follow. They may be the rest of a response whose length is wrong.
    Unknown,
}

/// The head of a response, with which a second copy of the response begins.
pub(super) struct OriginalHead {
    /// The head, behind the interim responses before it.
    bytes: Vec<u8>,
    /// The length of the interim responses, which the copy may lack, in bytes.
    interim_length: usize,
}

impl OriginalHead {
    /// Keeps the head of a response, of which the first `interim_length` bytes are interim responses.
    pub(super) fn new(bytes: &[u8], interim_length: usize) -> OriginalHead {
        OriginalHead { bytes: bytes.to_vec(), interim_length }
    }

    /// Classifies the bytes behind a response of which only the head is still known.
    pub(super) fn classify(&self, surplus: &[u8]) -> Surplus {
        Surplus::behind(&self.bytes, self.interim_length, self.bytes.len(), surplus)
    }
}

impl Surplus {
    /// Classifies the bytes behind a response with its head and its body. The first
    /// `interim_length` bytes of the response are interim responses.
    pub(super) fn of_response(
        response: &[u8],
        head_length: usize,
        interim_length: usize,
        surplus: &[u8],
    ) -> Surplus {
        Surplus::behind(response, interim_length, head_length, surplus)
    }

    /// Compares the bytes behind a response with the response, `original`, of which the first
    /// `head_length` bytes are its head. A copy is recognized by at least its whole head, since the
    /// rest of a value may begin with any few bytes.
    fn behind(original: &[u8], interim_length: usize, head_length: usize, surplus: &[u8]) -> Surplus {
        if surplus.is_empty() {
            return Surplus::None;
        }
        let with_interim = compare(original, head_length, surplus);
        let without_interim = compare(&original[interim_length..], head_length - interim_length, surplus);
        match (with_interim, without_interim) {
            (Surplus::Duplicate, _) | (_, Surplus::Duplicate) => Surplus::Duplicate,
            (Surplus::Undecided, _) | (_, Surplus::Undecided) => Surplus::Undecided,
            _ => Surplus::Unknown,
        }
    }
}

fn compare(original: &[u8], head_length: usize, surplus: &[u8]) -> Surplus {
    let length = surplus.len().min(original.len());
    if surplus[..length] != original[..length] {
        Surplus::Unknown
    } else if length < head_length {
        Surplus::Undecided
    } else {
        Surplus::Duplicate
    }
}

/// Decides whether a receipt has ended before the bytes behind it.
///
/// Inputs: the bytes behind the receipt.
/// Reason: a receipt is one printable word, so another byte cannot be the rest of it.
pub(super) fn ends_receipt(surplus: &[u8]) -> bool {
    surplus.first().is_some_and(|byte| !byte.is_ascii_graphic())
}

#[cfg(test)]
mod tests;
