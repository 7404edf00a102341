//! The reasons why a state file cannot be used. See [`DecodeError`].

use thiserror::Error;

/// The reason why a voter cannot use its state file.
#[derive(Clone, Copy, Debug, Error, PartialEq, Eq)]
pub enum DecodeError {
    /// The file is incomplete, or its checksum is wrong.
    #[error("the file is incomplete, or its checksum is wrong")]
    Corrupt,
    /// The file is not a state file, or belongs to another cluster or voter.
    #[error("the file belongs to another cluster, voter or program")]
    OtherCluster,
    /// A newer version of this program wrote the file.
    #[error("a newer version of this program wrote the file")]
    NewerVersion,
}

impl DecodeError {
    /// Returns the suffix for the name of a file that is set aside. Operators rely on these
    /// suffixes.
    #[must_use]
    pub fn file_suffix(self) -> &'static str {
        match self {
            DecodeError::Corrupt => "torn",
            DecodeError::OtherCluster => "foreign",
            DecodeError::NewerVersion => "future",
        }
    }
}
