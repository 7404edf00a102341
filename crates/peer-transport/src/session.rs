//! The tasks of one connection, from its handshake to its end. Read [`run`] first.

use crate::config::Timing;
use crate::connection::PeerConnection;
use crate::error::{ConnectionError, HandshakeError};
use crate::frame::{self, Frame, Handshake, PROTOCOL_VERSION};
use crate::network::Network;
use crate::shared::Shared;
use bytes::{Bytes, BytesMut};
use std::io;
use std::sync::Arc;
use std::time::Duration;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder, LengthDelimitedCodec};

/// Reads frames from a stream.
struct FrameReader<S> {
    stream: ReadHalf<S>,
    /// The bytes that were read but not decoded yet.
    buffer: BytesMut,
    length_codec: LengthDelimitedCodec,
}

impl<S: AsyncRead> FrameReader<S> {
    fn new(stream: ReadHalf<S>) -> FrameReader<S> {
        FrameReader { stream, buffer: BytesMut::new(), length_codec: frame::length_codec() }
    }

    /// Reads the next frame. The limit applies to each read, not to the whole frame: a frame of a
    /// slow peer may take longer, as long as bytes keep arriving.
    async fn next_frame(&mut self, limit: Duration) -> Result<Frame, ConnectionError> {
        loop {
            if let Some(bytes) = self.length_codec.decode(&mut self.buffer)? {
                return Ok(frame::decode(&bytes)?);
            }
            match timeout(limit, self.stream.read_buf(&mut self.buffer)).await {
                Ok(Ok(0)) => return Err(ConnectionError::ClosedByPeer),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error.into()),
                Err(_) => return Err(ConnectionError::Silent { limit }),
            }
        }
    }
}

/// Runs one connection: exchanges handshakes, then reads and writes frames until the connection
/// ends. Returns the reason for the end.
///
/// The task that writes is spawned after the handshakes and aborted at the end.
pub(crate) async fn run<N: Network>(shared: &Arc<Shared<N>>, stream: N::Stream) -> ConnectionError {
    let (input, mut output) = tokio::io::split(stream);
    let mut reader = FrameReader::new(input);
    let handshake = match exchange_handshakes(shared, &mut reader, &mut output).await {
        Ok(handshake) => handshake,
        Err(error) => return error,
    };
    let connection = Arc::new(PeerConnection::new(handshake));
    shared.add_connection(&connection);
    let writer = tokio::spawn(write_frames(shared.timing(), Arc::clone(&connection), output));
    let error = tokio::select! {
        // Polled in a fixed order, so that simulations with the same seed have identical runs.
        biased;
        error = read_frames(shared, &connection, &mut reader) => error,
        () = connection.closed() => ConnectionError::ClosedLocally,
    };
    connection.close();
    writer.abort();
    shared.remove_connection(&connection);
    error
}

/// Sends the handshake of this process, and returns the peer's handshake if it is accepted.
async fn exchange_handshakes<N: Network>(
    shared: &Shared<N>,
    reader: &mut FrameReader<N::Stream>,
    output: &mut WriteHalf<N::Stream>,
) -> Result<Handshake, ConnectionError> {
    let own = frame::encode(&Frame::Handshake(shared.handshake())).map_err(HandshakeError::Encode)?;
    write_frame(output, own).await?;
    let limit = shared.timing().handshake_timeout;
    let first = match timeout(limit, reader.next_frame(limit)).await {
        Ok(Err(ConnectionError::Silent { .. })) | Err(_) => {
            return Err(HandshakeError::Timeout { limit }.into());
        }
        Ok(first) => first?,
    };
    let Frame::Handshake(handshake) = first else {
        return Err(HandshakeError::NotAHandshake.into());
    };
    check_handshake(shared, &handshake)?;
    Ok(handshake)
}

/// Decides whether the handshake of a peer is accepted.
///
/// Inputs: the handshake; the version of the frames, the fleet and the identity of this process.
/// Reason: frames of another version cannot be decoded, messages of another fleet are about another
/// policy, and in a connection with itself a process would count as its own peer.
fn check_handshake<N: Network>(shared: &Shared<N>, handshake: &Handshake) -> Result<(), HandshakeError> {
    if handshake.version != PROTOCOL_VERSION {
        return Err(HandshakeError::VersionMismatch { expected: PROTOCOL_VERSION, found: handshake.version });
    }
    if handshake.fleet != shared.config.fleet {
        let expected = shared.config.fleet.clone();
        return Err(HandshakeError::FleetMismatch { expected, found: handshake.fleet.clone() });
    }
    if handshake.sender == shared.config.process {
        return Err(HandshakeError::ConnectedToSelf { process: handshake.sender.clone() });
    }
    Ok(())
}

/// Reads and handles frames until one of them fails. Returns the error.
async fn read_frames<N: Network>(
    shared: &Shared<N>,
    connection: &PeerConnection,
    reader: &mut FrameReader<N::Stream>,
) -> ConnectionError {
    let limit = shared.timing().silence_timeout;
    loop {
        let received = reader.next_frame(limit).await;
        if let Err(error) = received.and_then(|frame| handle_frame(shared, connection, frame)) {
            return error;
        }
    }
}

fn handle_frame<N: Network>(
    shared: &Shared<N>,
    connection: &PeerConnection,
    frame: Frame,
) -> Result<(), ConnectionError> {
    let handler = shared.handler();
    let peer = connection.peer();
    match frame {
        Frame::Handshake(_) => return Err(ConnectionError::SecondHandshake),
        Frame::Heartbeat => {}
        Frame::Resync => handler.on_resync_needed(peer),
        Frame::OneWay(body) => {
            // A one-way message has no response, so what the handler returns is dropped.
            let _ = handler.on_message(peer, &body);
        }
        Frame::Request(id, body) => {
            let response = match handler.on_message(peer, &body) {
                Some(body) => Frame::Response(id, body),
                None => Frame::NoResponse(id),
            };
            // If the queue drops the response, the request times out at the peer.
            connection.send_queue.push(&response);
        }
        Frame::Response(id, body) => connection.complete_request(id, Some(body)),
        Frame::NoResponse(id) => connection.complete_request(id, None),
    }
    Ok(())
}

/// Writes the queued frames, and a heartbeat after each [`Timing::heartbeat_interval`] without a
/// frame. Closes the connection if a frame cannot be written within [`Timing::silence_timeout`].
///
/// The task ends when the queue is closed, when writing fails, or when [`run`] aborts it.
async fn write_frames<W: AsyncWrite + Unpin>(timing: Timing, connection: Arc<PeerConnection>, mut output: W) {
    let heartbeat = frame::encode(&Frame::Heartbeat).unwrap_or_default();
    loop {
        let next = match timeout(timing.heartbeat_interval, connection.send_queue.pop()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => break,
            Err(_) => heartbeat.clone(),
        };
        match timeout(timing.silence_timeout, write_frame(&mut output, next)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => break,
        }
    }
    connection.close();
}

/// Writes the length prefix and an encoded frame.
async fn write_frame<W: AsyncWrite + Unpin>(output: &mut W, frame: Bytes) -> io::Result<()> {
    let mut bytes = BytesMut::new();
    frame::length_codec().encode(frame, &mut bytes)?;
    output.write_all(&bytes).await?;
    output.flush().await
}

#[cfg(test)]
mod tests;
