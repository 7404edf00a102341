//! The network of the peer transport on simulated connections: [`SimulatedNetwork`].

use pinetrail_peer_transport::Network;
use std::io;
use std::net::{IpAddr, SocketAddr};
use turmoil::net::{TcpListener, TcpStream};

/// The TCP connections of `turmoil` between simulated hosts.
#[derive(Clone, Copy, Debug)]
pub(super) struct SimulatedNetwork;

impl Network for SimulatedNetwork {
    type Stream = TcpStream;
    type Listener = TcpListener;

    async fn bind(&self, address: SocketAddr) -> io::Result<TcpListener> {
        TcpListener::bind(address).await
    }

    async fn accept(listener: &TcpListener) -> io::Result<TcpStream> {
        let (stream, _peer) = listener.accept().await?;
        Ok(stream)
    }

    async fn connect(&self, _from: IpAddr, to: SocketAddr) -> io::Result<TcpStream> {
        TcpStream::connect(to).await
    }
}
