//! The simulated network.

use pinetrail_peer_transport::Network;
use std::io;
use std::net::{IpAddr, SocketAddr};
use turmoil::net::{TcpListener, TcpStream};

#[derive(Clone, Copy, Debug)]
pub(super) struct SimulatedNetwork;

impl Network for SimulatedNetwork {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn bind(&self, at: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(at).await
    }

    async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
        Ok(listener.accept().await?.0)
    }

    async fn connect(&self, _from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(to).await
    }
}
