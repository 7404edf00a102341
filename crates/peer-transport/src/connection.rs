//! One link, from its greeting to its end.

use crate::frame::{self, Frame, Handshake, VERSION};
use crate::network::Network;
use crate::transport::{PeerConnection, PeerTransport};
use bytes::BytesMut;
use std::io::{self, ErrorKind};
use std::sync::Arc;
use tokio::io::{AsyncReadExt, AsyncWriteExt, ReadHalf, WriteHalf};
use tokio::time::timeout;
use tokio_util::codec::{Decoder, Encoder};

/// What is read from the other end, frame by frame.
struct Reader<S> {
    from: ReadHalf<S>,
    bytes: BytesMut,
    lengths: tokio_util::codec::LengthDelimitedCodec,
}

fn spoilt(why: &'static str) -> io::Error {
    io::Error::new(ErrorKind::InvalidData, why)
}

impl<S: tokio::io::AsyncRead> Reader<S> {
    /// The next frame. A peer that is slow may take its time as long as some of it comes.
    async fn next(&mut self, silence: std::time::Duration) -> io::Result<Frame> {
        loop {
            if let Some(whole) = self.lengths.decode(&mut self.bytes)? {
                return frame::open(&whole).ok_or_else(|| spoilt("a spoilt frame"));
            }
            match timeout(silence, self.from.read_buf(&mut self.bytes)).await {
                Ok(Ok(0)) => return Err(ErrorKind::UnexpectedEof.into()),
                Ok(Ok(_)) => {}
                Ok(Err(error)) => return Err(error),
                Err(_) => return Err(ErrorKind::TimedOut.into()),
            }
        }
    }
}

/// Greets the other end of a connection, then carries what both say until the link ends; why it did.
pub(crate) async fn run<N: Network>(links: &Arc<PeerTransport<N>>, stream: N::Stream) -> io::Error {
    let (from, mut to) = tokio::io::split(stream);
    let mut reader = Reader { from, bytes: BytesMut::new(), lengths: frame::lengths() };
    let hello = match greet(links, &mut reader, &mut to).await {
        Ok(hello) => hello,
        Err(error) => return error,
    };
    let live = Arc::new(PeerConnection::new(hello));
    links.arrived(&live);
    let writing = tokio::spawn(write::<N>(Arc::clone(links), Arc::clone(&live), to));
    let why = tokio::select! {
        // In this order, so that a seed replays it.
        biased;
        why = read(links, &live, &mut reader) => why,
        () = live.ended() => io::Error::new(ErrorKind::ConnectionAborted, "another link took its place"),
    };
    live.end();
    writing.abort();
    links.left(&live);
    why
}

async fn greet<N: Network>(
    links: &PeerTransport<N>,
    reader: &mut Reader<N::Stream>,
    to: &mut WriteHalf<N::Stream>,
) -> io::Result<Handshake> {
    let own = Frame::Handshake(links.hello());
    write_one(to, &frame::seal(&own).ok_or_else(|| spoilt("a hello too long"))?).await?;
    let theirs = timeout(links.times.handshake_timeout, reader.next(links.times.handshake_timeout)).await;
    match theirs {
        Ok(Ok(Frame::Handshake(hello))) if hello.version != VERSION => {
            Err(spoilt("another version of frames"))
        }
        Ok(Ok(Frame::Handshake(hello))) if hello.fleet != links.fleet => Err(spoilt("another fleet")),
        Ok(Ok(Frame::Handshake(hello))) if hello.from == links.me => Err(spoilt("this process itself")),
        Ok(Ok(Frame::Handshake(hello))) => Ok(hello),
        Ok(Ok(_)) => Err(spoilt("no hello")),
        Ok(Err(error)) => Err(error),
        Err(_) => Err(ErrorKind::TimedOut.into()),
    }
}

async fn read<N: Network>(
    links: &Arc<PeerTransport<N>>,
    live: &Arc<PeerConnection>,
    reader: &mut Reader<N::Stream>,
) -> io::Error {
    let from = &live.hello.from;
    loop {
        match reader.next(links.times.silence_timeout).await {
            Ok(Frame::Beat) => {}
            Ok(Frame::Behind) => links.heard().on_resync_needed(from),
            Ok(Frame::Tell(body)) => drop(links.heard().on_message(from, &body)),
            Ok(Frame::Ask(number, body)) => {
                let answer = links.heard().on_message(from, &body);
                live.mailbox.put(&answer.map_or(Frame::NoAnswer(number), |body| Frame::Answer(number, body)));
            }
            Ok(Frame::Answer(number, body)) => live.answered(number, Some(body)),
            Ok(Frame::NoAnswer(number)) => live.answered(number, None),
            Ok(Frame::Handshake(_)) => return spoilt("a second hello"),
            Err(error) => return error,
        }
    }
}

/// Writes what is to be written, and a beat where that is nothing. A peer that takes nothing for the time of silence ends it.
async fn write<N: Network>(
    links: Arc<PeerTransport<N>>,
    live: Arc<PeerConnection>,
    mut to: WriteHalf<N::Stream>,
) {
    let beat = frame::seal(&Frame::Beat).unwrap_or_default();
    loop {
        let next = match timeout(links.times.heartbeat_interval, live.mailbox.next()).await {
            Ok(Some(frame)) => frame,
            Ok(None) => break,
            Err(_) => beat.clone(),
        };
        match timeout(links.times.silence_timeout, write_one(&mut to, &next)).await {
            Ok(Ok(())) => {}
            Ok(Err(_)) | Err(_) => break,
        }
    }
    live.end();
}

async fn write_one<W: tokio::io::AsyncWrite + Unpin>(to: &mut W, frame: &[u8]) -> io::Result<()> {
    let mut out = BytesMut::new();
    frame::lengths().encode(bytes::Bytes::copy_from_slice(frame), &mut out)?;
    to.write_all(&out).await?;
    to.flush().await
}
