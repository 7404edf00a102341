//! The Unix socket in `$TMPDIR` by which the processes of one proxy connect, and the passing of a
//! descriptor over it. Read [`HandoverSocket`] first.
//!
//! Each process listens at a name of its own. A symbolic link, named after the clients' address,
//! points to the process to which a newer one connects. The link is replaced by renaming, so that
//! it always exists.

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

/// The maximum length of a socket's path, in bytes. The address of a Unix socket on Linux holds at
/// most 108 bytes, including the terminating NUL.
const MAX_PATH_BYTES: usize = 100;
/// The byte of data with which a listening socket is sent.
const SOCKET_CARRIER: &[u8] = b"+";

/// The files by which the processes of one proxy connect.
#[derive(Debug)]
pub(super) struct HandoverSocket {
    directory: PathBuf,
    /// The open directory, by whose descriptor its files are reached. Set only if the directory's
    /// path is too long for the address of a socket.
    open_directory: Option<File>,
    /// The name of the symbolic link, which is the same for all processes of the proxy.
    link_name: String,
    /// The name of this process's socket.
    socket_name: String,
}

impl HandoverSocket {
    /// Returns the files of the proxy whose clients connect to this address.
    ///
    /// # Errors
    ///
    /// Returns an error if `$TMPDIR` has a long path and cannot be opened.
    pub(super) fn for_clients(client_address: SocketAddr) -> io::Result<HandoverSocket> {
        let directory = std::env::temp_dir();
        let link_name =
            format!("pinetrail-{}.sock", client_address.to_string().replace([':', '[', ']', '%'], "_"));
        let socket_name = format!("{link_name}.{}", std::process::id());
        let is_long = directory.as_os_str().len() + 1 + socket_name.len() > MAX_PATH_BYTES;
        let open_directory = if is_long { Some(File::open(&directory)?) } else { None };
        Ok(HandoverSocket { directory, open_directory, link_name, socket_name })
    }

    /// Connects to the process to which the link points. Returns `None` if there is no process.
    ///
    /// # Errors
    ///
    /// Returns an error if connecting fails although there may be a process.
    pub(super) fn connect(&self) -> io::Result<Option<UnixStream>> {
        match UnixStream::connect(self.socket_path(&self.link_name)) {
            Ok(stream) => Ok(Some(stream)),
            // There is no link, or a process that was killed has left it.
            Err(error) if matches!(error.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Listens at this process's own name. No newer process connects before
    /// [`HandoverSocket::claim_link`].
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be written.
    pub(super) fn listen(&self) -> io::Result<UnixListener> {
        // An earlier process with the same id may have left this file.
        let _ = fs::remove_file(self.directory.join(&self.socket_name));
        UnixListener::bind(self.socket_path(&self.socket_name))
    }

    /// Points the link to this process.
    ///
    /// # Errors
    ///
    /// Returns an error if the directory cannot be written.
    pub(super) fn claim_link(&self) -> io::Result<()> {
        let link = self.directory.join(&self.link_name);
        let new_link = self.directory.join(format!("{}.next", self.socket_name));
        let _ = fs::remove_file(&new_link);
        symlink(&self.socket_name, &new_link)?;
        fs::rename(&new_link, &link)
    }

    /// Removes this process's files. The link stays if it already points to another process.
    pub(super) fn remove(&self) {
        let link = self.directory.join(&self.link_name);
        if fs::read_link(&link).is_ok_and(|target| target.as_os_str() == self.socket_name.as_str()) {
            let _ = fs::remove_file(&link);
        }
        let _ = fs::remove_file(self.directory.join(&self.socket_name));
    }

    /// Returns a path to a file in the directory that fits into a socket's address.
    fn socket_path(&self, name: &str) -> PathBuf {
        match &self.open_directory {
            Some(directory) => PathBuf::from(format!("/proc/self/fd/{}/{name}", directory.as_raw_fd())),
            None => self.directory.join(name),
        }
    }
}

/// Decides whether the process at the other end of a connection may take part in a handover; if
/// not, the connection is rejected.
///
/// Inputs: the user ids of both processes.
/// Reason: a process of another user must not receive the listening socket, nor send one.
pub(super) fn is_trusted(stream: &UnixStream) -> bool {
    sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Sends a listening socket, with the byte of data that must accompany a descriptor.
///
/// # Errors
///
/// Returns an error if the other process has ended or cannot receive descriptors.
pub(super) fn send_listener(stream: &UnixStream, listener: &TcpListener) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let descriptors = [listener.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&descriptors)) {
        return Err(ErrorKind::OutOfMemory.into());
    }
    sendmsg(stream, &[IoSlice::new(SOCKET_CARRIER)], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// The first byte of an answer, and the listening socket that it carries, if any.
#[derive(Debug)]
pub(super) struct FirstByte {
    pub(super) byte: u8,
    pub(super) listener: Option<TcpListener>,
}

/// Receives one byte, and the listening socket that it carries, if any.
///
/// # Errors
///
/// Returns [`ErrorKind::UnexpectedEof`] if the other process has ended, or the error of the system
/// call.
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
