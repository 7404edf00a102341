//! The network below the transport: [`Network`]. The program uses [`TcpNetwork`], the simulation
//! uses a simulated network.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// The maximum number of connections that the kernel queues until this process accepts them.
const LISTEN_BACKLOG: u32 = 128;

/// A network with connections that are streams of bytes.
pub trait Network: Clone + Send + Sync + 'static {
    /// A connection, as a stream of bytes.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// A listener, which accepts connections.
    type Listener: Send + Sync + 'static;
    /// Listens at an address.
    ///
    /// # Errors
    ///
    /// If this process cannot listen at the address, for example because the address is in use.
    fn bind(&self, address: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> + Send;
    /// Waits for the next incoming connection.
    ///
    /// # Errors
    ///
    /// If accepting fails; a further call may succeed.
    fn accept(listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>> + Send;
    /// Connects to `remote` from `local`, an address of this machine or an unspecified one.
    ///
    /// # Errors
    ///
    /// If `local` is not an address of this machine, or `remote` does not accept the connection.
    fn connect(
        &self,
        local: IpAddr,
        remote: SocketAddr,
    ) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// The network of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct TcpNetwork;

impl Network for TcpNetwork {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn bind(&self, address: SocketAddr) -> io::Result<TcpListener> {
        let socket = new_socket(address)?;
        // Connections of the previous process at this address may still be in TIME_WAIT.
        socket.set_reuseaddr(true)?;
        socket.bind(address)?;
        socket.listen(LISTEN_BACKLOG)
    }

    async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
        let (stream, _) = listener.accept().await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn connect(&self, local: IpAddr, remote: SocketAddr) -> io::Result<TcpStream> {
        let socket = new_socket(remote)?;
        if !local.is_unspecified() {
            socket.bind(SocketAddr::new(local, 0))?;
        }
        let stream = socket.connect(remote).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}

fn new_socket(address: SocketAddr) -> io::Result<TcpSocket> {
    if address.is_ipv4() {
        TcpSocket::new_v4()
    } else {
        TcpSocket::new_v6()
    }
}
