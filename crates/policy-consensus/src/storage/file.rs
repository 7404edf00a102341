//! The storage of a voter in a directory of the file system. See [`FileStorage`].
//!
//! A state is written to a new file and synced; then the file is renamed to replace the previous
//! one, and the directory is synced too.

use super::{DecodeError, Storage};
use std::fs::{self, File};
use std::io::{self, ErrorKind, Read, Write};
use std::path::PathBuf;
use std::time::{SystemTime, UNIX_EPOCH};

const STATE_FILE: &str = "rulebook";
const NEW_STATE_FILE: &str = "rulebook.new";
const LOCK_FILE: &str = "rulebook.lock";
/// The maximum length of a state file that is read, in bytes.
const MAX_FILE_BYTES: u64 = 64 << 20;

/// A directory that is locked by this process and keeps the state of a voter.
#[derive(Debug)]
pub struct FileStorage {
    directory: PathBuf,
    /// Keeps the lock on the directory, which is released when the file is closed.
    _lock: File,
}

impl FileStorage {
    /// Opens and locks a directory; creates it if it does not exist.
    ///
    /// # Errors
    ///
    /// [`ErrorKind::WouldBlock`] if another process has locked the directory, otherwise the error
    /// of the file system.
    pub fn open(directory: PathBuf) -> io::Result<FileStorage> {
        fs::create_dir_all(&directory)?;
        let lock = File::options().create(true).append(true).open(directory.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(FileStorage { directory, _lock: lock }),
            Err(fs::TryLockError::WouldBlock) => Err(ErrorKind::WouldBlock.into()),
            Err(fs::TryLockError::Error(error)) => Err(error),
        }
    }
}

impl Storage for FileStorage {
    fn read(&mut self) -> io::Result<Option<Vec<u8>>> {
        match File::open(self.directory.join(STATE_FILE)) {
            Ok(file) => {
                let mut bytes = Vec::new();
                file.take(MAX_FILE_BYTES).read_to_end(&mut bytes)?;
                Ok(Some(bytes))
            }
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn replace(&mut self, bytes: &[u8]) -> io::Result<()> {
        let new_path = self.directory.join(NEW_STATE_FILE);
        let mut file = File::create(&new_path)?;
        file.write_all(bytes)?;
        file.sync_all()?;
        drop(file);
        // A file that was truncated by a full disk must not replace the state on which the voter's
        // replies rest.
        if fs::metadata(&new_path)?.len() != bytes.len() as u64 {
            return Err(ErrorKind::WriteZero.into());
        }
        fs::rename(&new_path, self.directory.join(STATE_FILE))?;
        File::open(&self.directory)?.sync_all()
    }

    #[allow(clippy::disallowed_methods, reason = "names a file")]
    fn set_aside(&mut self, reason: DecodeError) -> io::Result<()> {
        let now = SystemTime::now().duration_since(UNIX_EPOCH).unwrap_or_default().as_millis();
        let name = format!("{STATE_FILE}.{}-{now}", reason.file_suffix());
        fs::rename(self.directory.join(STATE_FILE), self.directory.join(name))
    }
}

#[cfg(test)]
mod tests;
