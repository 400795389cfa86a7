//! The carrying of messages over nng.

use std::net;
use std::sync;
use std::thread;
use std::time as std_time;

use derive_more::{Display, Error};
use nng::options::Options;
use tokio::sync::mpsc;
use tokio::time;

/// Messages that may wait for one peer before more are dropped.
const SEND_BUFFER_MESSAGES: i32 = 64;

/// Messages that may wait for the node's own loop before more are dropped.
const RECEIVE_BUFFER_MESSAGES: usize = 4_096;

/// Longest message that is received, in bytes.
const MESSAGE_LIMIT_BYTES: usize = 16 << 20;

/// Sockets that may be open towards peers.
const SOCKET_LIMIT: usize = 96;

/// Time after which a socket that sent nothing is closed.
const SOCKET_IDLE: std_time::Duration = std_time::Duration::from_secs(30);

/// Longest pause between two tries to reach a peer.
const RECONNECT_LIMIT: std_time::Duration = std_time::Duration::from_millis(500);

/// First pause between two tries to reach a peer.
const RECONNECT_START: std_time::Duration = std_time::Duration::from_millis(20);

/// Why the transport could not start.
#[derive(Debug, Display, Error)]
#[display("peer transport on {address}: {reason}")]
pub struct PeerError {
    /// Address that was to be opened.
    pub address: net::SocketAddr,
    /// Cause.
    pub reason: String,
}

/// Carries messages between nodes; a message may be lost.
pub trait PeerTransport: Send + Sync {
    /// Sends a message without waiting.
    fn send(&self, to: net::SocketAddr, message: &[u8]);
}

/// A socket towards one peer.
struct PeerSocket {
    to: net::SocketAddr,
    socket: nng::Socket,
    used: time::Instant,
}

/// The transport over nng: one listening socket, one dialled socket a peer.
pub struct NngTransport {
    sockets: sync::Mutex<Vec<PeerSocket>>,
    _listener: nng::Socket,
}

impl NngTransport {
    /// Listens on `address` and returns the transport with what it receives.
    ///
    /// # Errors
    ///
    /// [`PeerError`] when the address cannot be opened.
    pub fn open(address: net::SocketAddr) -> Result<(Self, mpsc::Receiver<Vec<u8>>), PeerError> {
        let refuse = |error: nng::Error| PeerError {
            address,
            reason: error.to_string(),
        };
        let listener = nng::Socket::new(nng::Protocol::Pull0).map_err(refuse)?;
        listener
            .set_opt::<nng::options::RecvMaxSize>(MESSAGE_LIMIT_BYTES)
            .map_err(refuse)?;
        listener
            .listen(&format!("tcp://{address}"))
            .map_err(refuse)?;
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
        let full = sender.try_send(message.as_slice().to_vec());
        if matches!(full, Err(mpsc::error::TrySendError::Closed(_))) {
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

/// Closes sockets that sent nothing for long, and the least used over the limit.
fn close_idle(sockets: &mut Vec<PeerSocket>, now: time::Instant) {
    let (kept, idle) = std::mem::take(sockets)
        .into_iter()
        .partition(|held| now.duration_since(held.used) < SOCKET_IDLE);
    *sockets = kept;
    for held in idle {
        held.socket.close();
    }
    while sockets.len() >= SOCKET_LIMIT {
        let oldest = (0..sockets.len()).min_by_key(|place| sockets[*place].used);
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
        let place = match sockets.binary_search_by_key(&to, |held| held.to) {
            Ok(place) => place,
            Err(_) => {
                close_idle(&mut sockets, now);
                let Ok(socket) = dial(to) else { return };
                let place = sockets.partition_point(|held| held.to < to);
                let used = now;
                sockets.insert(place, PeerSocket { to, socket, used });
                place
            }
        };
        let held = &mut sockets[place];
        held.used = now;
        // A full buffer drops the message, as a network may.
        let _ = held.socket.try_send(nng::Message::from(message));
    }
}
