//! The identity of a process: [`Process`].

use serde::{Deserialize, Serialize};
use std::fmt;
use std::sync::Arc;

/// The identity of a process: its name together with its start. After a restart the process with
/// the same name is another process.
///
/// The order of the fields is part of the format of frames.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Process {
    /// The name of the proxy.
    pub name: Arc<str>,
    /// The start of the process, in Unix microseconds.
    pub start: u64,
}

impl fmt::Display for Process {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str(&self.name)
    }
}
