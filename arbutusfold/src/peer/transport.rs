//! Transport of messages between nodes over nng.

use std::net;
use std::sync;
use std::thread;
use std::time as std_time;

use derive_more::{Display, Error};
use nng::options::Options;
use tokio::sync::mpsc;
use tokio::time;

/// Send buffer per peer, in messages; a full buffer drops further messages.
const SEND_BUFFER_MESSAGES: i32 = 64;

/// Buffer of received messages that the node has not processed yet; a full
/// buffer drops further messages.
const RECEIVE_BUFFER_MESSAGES: usize = 4_096;

/// Maximum size of a received message, in bytes.
const MESSAGE_LIMIT_BYTES: usize = 16 << 20;

/// Maximum number of open sockets to peers.
const SOCKET_LIMIT: usize = 96;

/// Idle time after which a socket is closed.
const SOCKET_IDLE: std_time::Duration = std_time::Duration::from_secs(30);

/// Maximum delay between two attempts to connect to a peer.
const RECONNECT_LIMIT: std_time::Duration = std_time::Duration::from_millis(500);

/// Initial delay between two attempts to connect to a peer.
const RECONNECT_START: std_time::Duration = std_time::Duration::from_millis(20);

/// Reason why the transport could not start.
#[derive(Debug, Display, Error)]
#[display("cannot open peer transport on {address}: {reason}")]
pub struct PeerError {
    /// Address to listen on.
    pub address: net::SocketAddr,
    /// Error of the socket or of the receiving thread.
    pub reason: String,
}

/// Transport of messages between nodes. Delivery is not guaranteed.
pub trait PeerTransport: Send + Sync {
    /// Sends a message without blocking.
    fn send(&self, to: net::SocketAddr, message: &[u8]);
}

/// A socket that dials one peer.
struct PeerSocket {
    to: net::SocketAddr,
    socket: nng::Socket,
    last_used: time::Instant,
}

/// Transport over nng: one listening socket, and one dialled socket per peer.
pub struct NngTransport {
    sockets: sync::Mutex<Vec<PeerSocket>>,
    _listener: nng::Socket,
}

impl NngTransport {
    /// Listens on `address`; returns the transport and the channel of received messages.
    ///
    /// # Errors
    ///
    /// [`PeerError`] if the address cannot be opened or the receiving thread cannot start.
    pub fn open(address: net::SocketAddr) -> Result<(Self, mpsc::Receiver<Vec<u8>>), PeerError> {
        let open_error = |error: nng::Error| PeerError {
            address,
            reason: error.to_string(),
        };
        let listener = nng::Socket::new(nng::Protocol::Pull0).map_err(open_error)?;
        listener
            .set_opt::<nng::options::RecvMaxSize>(MESSAGE_LIMIT_BYTES)
            .map_err(open_error)?;
        listener
            .listen(&format!("tcp://{address}"))
            .map_err(open_error)?;
        let (sender, receiver) = mpsc::channel(RECEIVE_BUFFER_MESSAGES);
        let socket = listener.clone();
        thread::Builder::new()
            .name("peer-receive".to_owned())
            .spawn(move || receive(&socket, &sender))
            .map_err(|error| PeerError {
                address,
                reason: error.to_string(),
            })?;
        let transport = Self {
            sockets: sync::Mutex::default(),
            _listener: listener,
        };
        Ok((transport, receiver))
    }
}

fn receive(socket: &nng::Socket, sender: &mpsc::Sender<Vec<u8>>) {
    while let Ok(message) = socket.recv() {
        let result = sender.try_send(message.as_slice().to_vec());
        if matches!(result, Err(mpsc::error::TrySendError::Closed(_))) {
            return;
        }
    }
}

fn dial(to: net::SocketAddr) -> Result<nng::Socket, nng::Error> {
    let socket = nng::Socket::new(nng::Protocol::Push0)?;
    socket.set_opt::<nng::options::SendBufferSize>(SEND_BUFFER_MESSAGES)?;
    socket.set_opt::<nng::options::ReconnectMinTime>(Some(RECONNECT_START))?;
    socket.set_opt::<nng::options::ReconnectMaxTime>(Some(RECONNECT_LIMIT))?;
    socket.dial_async(&format!("tcp://{to}"))?;
    Ok(socket)
}

/// Closes idle sockets, then the least recently used ones until one more may be opened.
fn close_idle(sockets: &mut Vec<PeerSocket>, now: time::Instant) {
    let (kept, idle) = std::mem::take(sockets)
        .into_iter()
        .partition(|peer| now.duration_since(peer.last_used) < SOCKET_IDLE);
    *sockets = kept;
    for peer in idle {
        peer.socket.close();
    }
    while sockets.len() >= SOCKET_LIMIT {
        let oldest = (0..sockets.len()).min_by_key(|index| sockets[*index].last_used);
        let Some(oldest) = oldest else { return };
        sockets.remove(oldest).socket.close();
    }
}

impl PeerTransport for NngTransport {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        let now = time::Instant::now();
        let mut sockets = self
            .sockets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let index = match sockets.binary_search_by_key(&to, |peer| peer.to) {
            Ok(index) => index,
            Err(_) => {
                close_idle(&mut sockets, now);
                let Ok(socket) = dial(to) else { return };
                let index = sockets.partition_point(|peer| peer.to < to);
                let last_used = now;
                sockets.insert(
                    index,
                    PeerSocket {
                        to,
                        socket,
                        last_used,
                    },
                );
                index
            }
        };
        let peer = &mut sockets[index];
        peer.last_used = now;
        // A full buffer drops the message; callers do not rely on delivery.
        let _ = peer.socket.try_send(nng::Message::from(message));
    }
}
