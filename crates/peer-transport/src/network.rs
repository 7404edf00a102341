//! What links take from outside: connections. The simulated network of tests is another one.

use std::future::Future;
use std::io;
use std::net::{IpAddr, SocketAddr};
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::net::{TcpListener, TcpSocket, TcpStream};

/// A network.
pub trait Network: Clone + Send + Sync + 'static {
    /// A connection.
    type Stream: AsyncRead + AsyncWrite + Unpin + Send + 'static;
    /// Takes connections in.
    type Listener: Send + Sync + 'static;
    /// Listens at an address.
    fn bind(&self, at: SocketAddr) -> impl Future<Output = io::Result<Self::Listener>> + Send;
    /// The next connection that comes in.
    fn accept(listener: &Self::Listener) -> impl Future<Output = io::Result<Self::Stream>> + Send;
    /// Connects, by this address of this machine.
    fn connect(&self, from: IpAddr, to: SocketAddr) -> impl Future<Output = io::Result<Self::Stream>> + Send;
}

/// The network of the operating system.
#[derive(Clone, Copy, Debug)]
pub struct TcpNetwork;

impl Network for TcpNetwork {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn bind(&self, at: SocketAddr) -> io::Result<TcpListener> {
        let socket = match at {
            SocketAddr::V4(_) => TcpSocket::new_v4()?,
            SocketAddr::V6(_) => TcpSocket::new_v6()?,
        };
        // The process before this one may have left connections behind that wait for their end.
        socket.set_reuseaddr(true)?;
        socket.bind(at)?;
        socket.listen(128)
    }

    async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
        let stream = listener.accept().await?.0;
        stream.set_nodelay(true)?;
        Ok(stream)
    }

    async fn connect(&self, from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
        let socket = if to.is_ipv4() { TcpSocket::new_v4()? } else { TcpSocket::new_v6()? };
        if !from.is_unspecified() {
            socket.bind(SocketAddr::new(from, 0))?;
        }
        let stream = socket.connect(to).await?;
        stream.set_nodelay(true)?;
        Ok(stream)
    }
}
