//! Where the processes of one proxy meet: a Unix socket in `$TMPDIR`, and the passing of a socket over it.
//!
//! Each process listens at a name of its own; a symbolic link, named after the clients' address, leads to the
//! one that is to be asked. The link is replaced by renaming, so that no moment is without one.

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

/// Beyond, a path is too long for the address of a Unix socket (108 bytes on Linux, its end included).
const MAX_PATH: usize = 100;

/// The meeting place of one proxy.
#[derive(Debug)]
pub(super) struct Place {
    folder: PathBuf,
    /// Held open where the folder's path is too long: it is then reached by its descriptor.
    open: Option<File>,
    link: String,
    own: String,
}

impl Place {
    /// The meeting place of the proxy whose clients connect to this address.
    pub(super) fn of(clients: SocketAddr) -> io::Result<Place> {
        let folder = std::env::temp_dir();
        let link = format!("pinetrail-{}.sock", clients.to_string().replace([':', '[', ']', '%'], "_"));
        let own = format!("{link}.{}", std::process::id());
        let is_long = folder.as_os_str().len() + 1 + own.len() > MAX_PATH;
        let open = if is_long { Some(File::open(&folder)?) } else { None };
        Ok(Place { folder, open, link, own })
    }

    /// A connection to the process that is to be asked; none if nobody is there.
    pub(super) fn connect(&self) -> io::Result<Option<UnixStream>> {
        match UnixStream::connect(self.reach(&self.link)) {
            Ok(stream) => Ok(Some(stream)),
            // Nothing was left behind, or something stale.
            Err(error) if matches!(error.kind(), ErrorKind::NotFound | ErrorKind::ConnectionRefused) => {
                Ok(None)
            }
            Err(error) => Err(error),
        }
    }

    /// Listens at this process's own name. Nobody is led here before [`Place::claim`].
    pub(super) fn listen(&self) -> io::Result<UnixListener> {
        // Left by another process of the same number.
        let _ = fs::remove_file(self.folder.join(&self.own));
        UnixListener::bind(self.reach(&self.own))
    }

    /// From now on this process is the one to be asked.
    pub(super) fn claim(&self) -> io::Result<()> {
        let link = self.folder.join(&self.link);
        let next = self.folder.join(format!("{}.next", self.own));
        let _ = fs::remove_file(&next);
        symlink(&self.own, &next)?;
        fs::rename(&next, &link)
    }

    /// Takes away what this process left. The link stays if it leads elsewhere by now.
    pub(super) fn leave(&self) {
        let link = self.folder.join(&self.link);
        if fs::read_link(&link).is_ok_and(|target| target.as_os_str() == self.own.as_str()) {
            let _ = fs::remove_file(&link);
        }
        let _ = fs::remove_file(self.folder.join(&self.own));
    }

    /// A path short enough for a socket's address.
    fn reach(&self, name: &str) -> PathBuf {
        match &self.open {
            Some(folder) => PathBuf::from(format!("/proc/self/fd/{}/{name}", folder.as_raw_fd())),
            None => self.folder.join(name),
        }
    }
}

/// Whether the process at the other end belongs to the same user: nobody else may have a socket, or give one.
pub(super) fn is_trusted(stream: &UnixStream) -> bool {
    sockopt::socket_peercred(stream).is_ok_and(|peer| peer.uid == rustix::process::geteuid())
}

/// Passes a listening socket on, with one byte.
pub(super) fn pass(stream: &UnixStream, socket: &TcpListener) -> io::Result<()> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = SendAncillaryBuffer::new(&mut space);
    let sockets = [socket.as_fd()];
    if !control.push(SendAncillaryMessage::ScmRights(&sockets)) {
        return Err(ErrorKind::OutOfMemory.into());
    }
    sendmsg(stream, &[IoSlice::new(b"+")], &mut control, SendFlags::NOSIGNAL)?;
    Ok(())
}

/// Takes one byte, and the listening socket that is passed with it, if one is.
pub(super) fn take(stream: &UnixStream) -> io::Result<(u8, Option<TcpListener>)> {
    let mut space = [MaybeUninit::uninit(); rustix::cmsg_space!(ScmRights(1))];
    let mut control = RecvAncillaryBuffer::new(&mut space);
    let mut byte = [0];
    let came = recvmsg(stream, &mut [IoSliceMut::new(&mut byte)], &mut control, RecvFlags::CMSG_CLOEXEC)?;
    if came.bytes == 0 {
        return Err(ErrorKind::UnexpectedEof.into());
    }
    let passed: Vec<OwnedFd> = control
        .drain()
        .flat_map(|message| match message {
            RecvAncillaryMessage::ScmRights(sockets) => sockets.collect(),
            _ => Vec::new(),
        })
        .collect();
    Ok((byte[0], passed.into_iter().next().map(TcpListener::from)))
}
