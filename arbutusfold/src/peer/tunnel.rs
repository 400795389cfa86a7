//! Frames of a tunnel, a connection on which one node passes bytes on for another,
//! and its opening.
//!
//! Both nodes send a fresh random value before anything else. The codes of all
//! frames depend on both values, on the direction and on the frame's position, so
//! that a frame that was injected, recorded, repeated, moved or left out ends the
//! connection.

use std::io;
use std::net;
use std::time as std_time;

use bytes::{Buf, BufMut, Bytes, BytesMut};
use derive_more::{Display, Error};
use futures_util::{SinkExt, StreamExt};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use tokio_util::codec;

use crate::id;
use crate::peer::envelope;
use crate::peer::frame;
use crate::settings;

/// Format of tunnels that this release writes and reads.
const TUNNEL_FORMAT: u8 = 1;

/// Most bytes in one data frame. A frame is passed on when it is complete, so long
/// ones would delay the first bytes on slow links.
pub const DATA_LIMIT_BYTES: usize = 16 << 10;

/// Longest content of a frame: its kind, its data and its code.
const FRAME_LIMIT_BYTES: usize = 1 + DATA_LIMIT_BYTES + CODE_BYTES;

/// Bytes that a writer collects before it writes them to the socket.
const WRITE_BYTES: usize = 2 * DATA_LIMIT_BYTES;

/// Initial size of the buffers; most frames are smaller.
const BUFFER_BYTES: usize = 1 << 10;

/// Length of the random value of each node in bytes.
const NONCE_BYTES: usize = 16;

/// Length of the code of each frame in bytes.
const CODE_BYTES: usize = 16;

/// Length of the number before each frame in bytes.
const LENGTH_BYTES: usize = 4;

/// Time for which sent bytes may stay unacknowledged until the connection counts as
/// broken. A pause of a second or two is none; both nodes read all the time.
const UNACKNOWLEDGED_LIMIT: std_time::Duration = std_time::Duration::from_secs(3);

/// Time without traffic after which the kernel asks whether the other host is there,
/// and interval of these probes.
const KEEPALIVE_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Frames on a connection whose opening has begun.
pub type TunnelFrames = codec::Framed<tokio_net::TcpStream, TunnelCodec>;

/// What a node asks for when it opens a tunnel.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelRequest {
    /// Host that asks.
    pub sender: id::HostName,
    /// Incarnation of its process.
    pub incarnation: id::IncarnationNumber,
    /// Incarnation of the process that is asked.
    pub receiver: id::IncarnationNumber,
    /// Address to connect to.
    pub target: net::SocketAddr,
    /// Milliseconds within which the answer must arrive.
    pub limit_ms: u32,
}

/// Answer to a [`TunnelRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct TunnelReply {
    /// Tunnels that the node serves now.
    pub load: u32,
    /// What became of the request.
    pub result: TunnelResult,
}

/// What became of a [`TunnelRequest`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelResult {
    /// The target is connected; bytes follow in both directions.
    Connected,
    /// The target could not be connected to.
    Unreachable {
        /// Whether its host refused the connection.
        is_refused: bool,
        /// Whether the node reached another target meanwhile, so that the cause is
        /// not its own way.
        is_proven: bool,
    },
    /// The node does not serve the request; another one may.
    Refused(TunnelRefusal),
}

/// Why a node does not serve a [`TunnelRequest`].
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum TunnelRefusal {
    /// It serves as many tunnels as it may.
    #[display("full")]
    Full,
    /// It is stopping.
    #[display("stopping")]
    Stopping,
    /// It knows no runner at the target address.
    #[display("unknown target")]
    UnknownTarget,
    /// The sender is not a member that it knows.
    #[display("unknown member")]
    UnknownMember,
}

/// A frame after the opening.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum TunnelFrame {
    /// Answer to the request.
    Reply(TunnelReply),
    /// Bytes of the connection.
    Data(Bytes),
    /// Number of further bytes that the receiver of the frame may send.
    Credit(u32),
    /// The connection's other side sends no more bytes.
    End,
    /// The connection to the other side broke.
    Broken,
}

/// Reason why a tunnel ends.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum FrameError {
    /// The frame's code is wrong: it was not sent by the other node, or not at this
    /// position.
    #[display("frame has an invalid code")]
    InvalidCode,
    /// The frame cannot be decoded.
    #[display("frame is malformed")]
    Malformed,
    /// The frame is not allowed now.
    #[display("frame is out of turn")]
    OutOfTurn,
    /// The peer sent more bytes than it may.
    #[display("more bytes than allowed")]
    OverCredit,
    /// No keys are set.
    #[display("no key")]
    NoKey,
}

impl From<FrameError> for io::Error {
    fn from(error: FrameError) -> Self {
        Self::new(io::ErrorKind::InvalidData, error)
    }
}

/// Key and position of the frames in one direction.
struct FrameSeal {
    key: [u8; settings::PEER_KEY_BYTES],
    position: u64,
}

impl FrameSeal {
    /// Returns the code of the next frame.
    fn code(&self, content: &[u8]) -> [u8; CODE_BYTES] {
        let mut hasher = blake3::Hasher::new_keyed(&self.key);
        hasher.update(&self.position.to_be_bytes());
        hasher.update(content);
        let mut code = [0; CODE_BYTES];
        code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE_BYTES]);
        code
    }

    fn open(&mut self, mut sealed: BytesMut) -> Result<Bytes, FrameError> {
        let length = sealed.len().checked_sub(CODE_BYTES);
        let code = sealed.split_off(length.ok_or(FrameError::Malformed)?);
        if !bool::from(self.code(&sealed).ct_eq(&code)) {
            return Err(FrameError::InvalidCode);
        }
        self.position += 1;
        Ok(sealed.freeze())
    }

    fn seal(&mut self, content: &[u8]) -> Bytes {
        let code = self.code(content);
        self.position += 1;
        let mut sealed = BytesMut::with_capacity(content.len() + CODE_BYTES);
        sealed.put_slice(content);
        sealed.put_slice(&code);
        sealed.freeze()
    }
}

/// The seals of both directions, as the node that opens the tunnel uses them.
fn seals(
    key: &[u8; settings::PEER_KEY_BYTES],
    receiver: net::SocketAddr,
    nonces: [[u8; NONCE_BYTES]; 2],
) -> [FrameSeal; 2] {
    let direction = |name: &[u8]| {
        let mut hasher = blake3::Hasher::new_keyed(key);
        // No code of a message begins like this: that has an address here.
        hasher.update(b"tunnel ");
        hasher.update(name);
        nonces.iter().for_each(|nonce| {
            hasher.update(nonce);
        });
        hasher.update(receiver.to_string().as_bytes());
        FrameSeal {
            key: *hasher.finalize().as_bytes(),
            position: 0,
        }
    };
    [direction(b"asking"), direction(b"serving")]
}

/// Codec of sealed frames.
pub struct TunnelCodec {
    lengths: codec::LengthDelimitedCodec,
    sending: FrameSeal,
    receiving: FrameSeal,
}

impl TunnelCodec {
    fn new(sending: FrameSeal, receiving: FrameSeal) -> Self {
        Self {
            lengths: lengths(),
            sending,
            receiving,
        }
    }
}

fn lengths() -> codec::LengthDelimitedCodec {
    codec::LengthDelimitedCodec::builder()
        .length_field_length(LENGTH_BYTES)
        .max_frame_length(FRAME_LIMIT_BYTES)
        .new_codec()
}

const KIND_REPLY: u8 = 1;
const KIND_DATA: u8 = 2;
const KIND_CREDIT: u8 = 3;
const KIND_END: u8 = 4;
const KIND_BROKEN: u8 = 5;

impl codec::Encoder<TunnelFrame> for TunnelCodec {
    type Error = io::Error;

    fn encode(&mut self, frame: TunnelFrame, buffer: &mut BytesMut) -> io::Result<()> {
        let mut content = BytesMut::new();
        match frame {
            TunnelFrame::Reply(reply) => {
                content.put_u8(KIND_REPLY);
                let encoded = postcard::to_stdvec(&reply).map_err(|_| FrameError::Malformed)?;
                content.put_slice(&encoded);
            }
            TunnelFrame::Data(bytes) => {
                content.reserve(1 + bytes.len());
                content.put_u8(KIND_DATA);
                content.put_slice(&bytes);
            }
            TunnelFrame::Credit(credit) => {
                content.put_u8(KIND_CREDIT);
                content.put_u32(credit);
            }
            TunnelFrame::End => content.put_u8(KIND_END),
            TunnelFrame::Broken => content.put_u8(KIND_BROKEN),
        }
        let sealed = self.sending.seal(&content);
        self.lengths.encode(sealed, buffer)
    }
}

impl codec::Decoder for TunnelCodec {
    type Item = TunnelFrame;
    type Error = io::Error;

    fn decode(&mut self, buffer: &mut BytesMut) -> io::Result<Option<TunnelFrame>> {
        let Some(sealed) = self.lengths.decode(buffer)? else {
            return Ok(None);
        };
        let mut content = self.receiving.open(sealed)?;
        let kind = content.try_get_u8().map_err(|_| FrameError::Malformed)?;
        let frame = match kind {
            KIND_REPLY => {
                let reply = postcard::from_bytes(&content).map_err(|_| FrameError::Malformed)?;
                TunnelFrame::Reply(reply)
            }
            KIND_DATA => TunnelFrame::Data(content),
            KIND_CREDIT if content.len() == 4 => TunnelFrame::Credit(content.get_u32()),
            KIND_END if content.is_empty() => TunnelFrame::End,
            KIND_BROKEN if content.is_empty() => TunnelFrame::Broken,
            _ => return Err(FrameError::Malformed.into()),
        };
        Ok(Some(frame))
    }
}

/// Sets the options of a socket so that the loss of the other host shows.
fn configure(stream: &tokio_net::TcpStream) -> io::Result<()> {
    // Nagle's algorithm would delay small frames until earlier ones are acknowledged.
    stream.set_nodelay(true)?;
    let keepalive = socket2::TcpKeepalive::new()
        .with_time(KEEPALIVE_PERIOD)
        .with_interval(KEEPALIVE_PERIOD);
    let socket = socket2::SockRef::from(stream);
    socket.set_tcp_keepalive(&keepalive)?;
    socket.set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))
}

/// Opens a tunnel to the node at `to` and returns it with the node's answer.
///
/// # Errors
///
/// The reason why there is no answer.
pub async fn ask(
    to: net::SocketAddr,
    signer: &envelope::MessageSigner,
    request: &TunnelRequest,
) -> io::Result<(TunnelFrames, TunnelReply)> {
    let key = signer.keys().first().ok_or(FrameError::NoKey)?;
    let mut stream = tokio_net::TcpStream::connect(to).await?;
    configure(&stream)?;
    stream.write_all(&frame::TUNNEL_HEADER).await?;
    let mut header = [0; frame::HEADER_BYTES];
    stream.read_exact(&mut header).await?;
    if header != frame::RECEIVER_HEADER {
        return Err(FrameError::Malformed.into());
    }
    let mut challenge = [0; NONCE_BYTES];
    stream.read_exact(&mut challenge).await?;
    let nonce: [u8; NONCE_BYTES] = rand::random();
    let [mut sending, receiving] = seals(key, to, [challenge, nonce]);
    let mut content = vec![TUNNEL_FORMAT];
    content.extend_from_slice(&nonce);
    let content = postcard::to_extend(request, content).map_err(|_| FrameError::Malformed)?;
    let sealed = sending.seal(&content);
    let mut opening = BytesMut::new();
    codec::Encoder::encode(&mut lengths(), sealed, &mut opening)?;
    stream.write_all(&opening).await?;
    let mut frames = frames(stream, TunnelCodec::new(sending, receiving));
    match frames.next().await {
        Some(Ok(TunnelFrame::Reply(reply))) => Ok((frames, reply)),
        Some(Ok(_)) => Err(FrameError::OutOfTurn.into()),
        Some(Err(error)) => Err(error),
        None => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// Reads the request of a node that sent the header of a tunnel to this node's
/// address `own`.
///
/// # Errors
///
/// The reason why the connection is closed.
pub async fn answer(
    mut stream: tokio_net::TcpStream,
    own: net::SocketAddr,
    signer: &envelope::MessageSigner,
) -> io::Result<(TunnelFrames, TunnelRequest)> {
    configure(&stream)?;
    let challenge: [u8; NONCE_BYTES] = rand::random();
    stream.write_all(&challenge).await?;
    let mut opening = codec::Framed::new(stream, lengths());
    let sealed = match opening.next().await {
        Some(sealed) => sealed?,
        None => return Err(io::ErrorKind::UnexpectedEof.into()),
    };
    let nonce = sealed
        .get(1..=NONCE_BYTES)
        .filter(|_| sealed[0] == TUNNEL_FORMAT);
    let nonce = nonce.and_then(|nonce| nonce.try_into().ok());
    let nonce: [u8; NONCE_BYTES] = nonce.ok_or(FrameError::Malformed)?;
    let opened = signer.keys().iter().find_map(|key| {
        let [mut receiving, sending] = seals(key, own, [challenge, nonce]);
        let content = receiving.open(sealed.clone()).ok()?;
        Some((content, TunnelCodec::new(sending, receiving)))
    });
    let (content, codec) = opened.ok_or(FrameError::InvalidCode)?;
    let request = postcard::from_bytes(&content[1 + NONCE_BYTES..]);
    let request = request.map_err(|_| FrameError::Malformed)?;
    // Nothing may follow the request before its answer.
    let parts = opening.into_parts();
    if !parts.read_buf.is_empty() {
        return Err(FrameError::OutOfTurn.into());
    }
    Ok((frames(parts.io, codec), request))
}

/// Sends the answer to a request.
///
/// # Errors
///
/// The error of the connection.
pub async fn reply(frames: &mut TunnelFrames, reply: TunnelReply) -> io::Result<()> {
    frames.send(TunnelFrame::Reply(reply)).await
}

fn frames(stream: tokio_net::TcpStream, codec: TunnelCodec) -> TunnelFrames {
    let mut frames = codec::Framed::with_capacity(stream, codec, BUFFER_BYTES);
    frames.set_backpressure_boundary(WRITE_BYTES);
    frames
}
