//! Where the processes of one proxy meet: a Unix socket in `$TMPDIR`, and the passing of a
//! descriptor over it. Read [`HandoverSocket`] first.
//!
//! Each process listens at a name of its own. A symbolic link, named after the clients' address,
//! leads to the process that a newer one is to ask. The link is replaced by renaming, so that there
//! is always one.

use rustix::net::{
    recvmsg, sendmsg, sockopt, RecvAncillaryBuffer, RecvAncillaryMessage, RecvFlags, SendAncillaryBuffer,
    SendAncillaryMessage, SendFlags,
};
use std::fs::{self, File};
use std::io::{self, ErrorKind, IoSlice, IoSliceMut};
use std::mem::MaybeUninit;
use std::net::{SocketAddr, TcpListener};
use std::os::fd::{AsFd, AsRawFd, OwnedFd};
use std::os::unix::fs::symlink;
use std::os::unix::net::{UnixListener, UnixStream};
use std::path::PathBuf;

/// A longer path does not fit the address of a Unix socket (108 bytes on Linux, its end included).
const MAX_PATH: usize = 100;

/// The names in the file system at which the processes of one proxy meet.
#[derive(Debug)]
pub(super) struct HandoverSocket {
    folder: PathBuf,
    /// Held open where the folder's path is too long: it is then reached by its descriptor.
    open_folder: Option<File>,
    /// The symbolic link, which both processes look for.
    link_name: String,
    /// The socket of this process.
    socket_name: String,
}

impl HandoverSocket {
    /// The meeting point of the proxy whose clients connect to this address.
    ///
    /// # Errors
    ///
    /// If `$TMPDIR` has a long path and cannot be opened.
    pub(super) fn for_clients(clients: SocketAddr) -> io::Result<HandoverSocket> {
        let folder = std::env::temp_dir();
        let link_name = format!("pinetrail-{}.sock", clients.to_string().replace([':', '[', ']', '%'], "_"));
        let socket_name = format!("{link_name}.{}", std::process::id());
        let is_long = folder.as_os_str().len() + 1 + socket_name.len() > MAX_PATH;
        let open_folder = if is_long { Some(File::open(&folder)?) } else { None };
        Ok(HandoverSocket { folder, open_folder, link_name, socket_name })
    }

    /// Connects to the process that the link leads to; none if no process is there.
    ///
    /// # Errors
    ///
    /// If a process is there and cannot be connected to.
    pub(super) fn connect(&self) -> io::Result<Option<UnixStream>> {
        match UnixStream::connect(self.socket_path(&self.link_name)) {
            Ok(stream) => Ok(Some(stream)),
            // There is no link, or one that a dead process left behind.
            Err(error) if matches!(error.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Listens at this process's own name. No newer process is led here before
    /// [`HandoverSocket::claim`].
    ///
    /// # Errors
    ///
    /// If the folder cannot be written.
    pub(super) fn listen(&self) -> io::Result<UnixListener> {
        // Left behind by an earlier process of the same number.
        let _ = fs::remove_file(self.folder.join(&self.socket_name));
        UnixListener::bind(self.socket_path(&self.socket_name))
    }

    /// Makes the link lead to this process.
    ///
    /// # Errors
    ///
    /// If the folder cannot be written.
    pub(super) fn claim(&self) -> io::Result<()> {
        let link = self.folder.join(&self.link_name);
        let new_link = self.folder.join(format!("{}.next", self.socket_name));
        let _ = fs::remove_file(&new_link);
        symlink(&self.socket_name, &new_link)?;
        fs::rename(&new_link, &link)
    }

    /// Removes this process's files. The link stays if it leads to another process by now.
    pub(super) fn remove(&self) {
        let link = self.folder.join(&self.link_name);
        if fs::read_link(&link).is_ok_and(|target| target.as_os_str() == self.socket_name.as_str()) {
            let _ = fs::remove_file(&link);
        }
        let _ = fs::remove_file(self.folder.join(&self.socket_name));
    }

    /// A path to a name in the folder that is short enough for a socket's address.
    fn socket_path(&self, name: &str) -> PathBuf {
        match &self.open_folder {
            Some(folder) => PathBuf::from(format!("/proc/self/fd/{}/{name}", folder.as_raw_fd())),
            None => self.folder.join(name),
        }
    }
}

/// Whether the process at the other end belongs to the same user: no other user's process may
/// receive a socket, or send one.
pub(super) fn is_trusted(stream: &UnixStream) -> bool {
    sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Sends a listening socket, with one byte.
///
/// # Errors
///
/// If the other process has gone or cannot receive descriptors.
pub(super) fn send_listener(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
        return Err(ErrorKind::OutOfMemory.into());
    }
    sendmsg(stream, &[IoSlice::new(b"+")], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// The first byte of an answer, and the listening socket that came with it.
#[derive(Debug)]
pub(super) struct FirstByte {
    pub(super) byte: u8,
    pub(super) listener: Option<TcpListener>,
}

/// Receives one byte, and the listening socket that comes with it, if one does.
///
/// # Errors
///
/// [`ErrorKind::UnexpectedEof`] if the other process has ended, or the error of the system call.
pub(super) fn receive_first_byte(stream: &UnixStream) -> io::Result<FirstByte> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let received = recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    if received.bytes == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let descriptors: Vec<OwnedFd> = control
        .drain()
        .flat_map(|message| match message {
            RecvAncillaryMessage::ScmRights(descriptors) => descriptors.collect(),
            _ => Vec::new(),
        })
        .collect();
    let listener = descriptors.into_iter().next().map(TcpListener::from);
    Ok(FirstByte { byte: byte[0], listener })
}
