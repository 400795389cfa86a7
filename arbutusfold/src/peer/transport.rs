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

/// First time after which a try to connect is given up for a fresh one. A
/// system repeats an unanswered opening only after a second.
const DIAL_PATIENCE_START: std_time::Duration = std_time::Duration::from_millis(150);

/// Longest time after which a try to connect is given up for a fresh one.
const DIAL_PATIENCE_LIMIT: std_time::Duration = std_time::Duration::from_millis(2_400);

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

/// Tells when a try to connect is given up for a fresh one.
///
/// The patience doubles with each try, so that slow peers are met as well.
#[derive(Clone, Copy, Debug)]
pub struct DialPatience {
    dialled: time::Instant,
    patience: std_time::Duration,
}

impl DialPatience {
    /// Begins with a first try.
    pub fn new(now: time::Instant) -> Self {
        Self {
            dialled: now,
            patience: DIAL_PATIENCE_START,
        }
    }

    /// Tells whether a fresh try is due, and counts it.
    pub fn is_over(&mut self, now: time::Instant) -> bool {
        let over = now.saturating_duration_since(self.dialled) >= self.patience;
        if over {
            self.dialled = now;
            self.patience = (self.patience * 2).min(DIAL_PATIENCE_LIMIT);
        }
        over
    }

    /// Notes that the connection stands; the next loss begins anew.
    pub fn note_connected(&mut self, now: time::Instant) {
        *self = Self::new(now);
    }
}

/// A socket towards one peer.
struct PeerSocket {
    to: net::SocketAddr,
    socket: nng::Socket,
    dialer: nng::Dialer,
    /// The connection that stands.
    pipe: sync::Arc<sync::Mutex<Option<nng::Pipe>>>,
    patience: DialPatience,
    used: time::Instant,
}

impl PeerSocket {
    fn dial(to: net::SocketAddr, now: time::Instant) -> Result<Self, nng::Error> {
        let socket = nng::Socket::new(nng::Protocol::Push0)?;
        socket.set_opt::<nng::options::SendBufferSize>(SEND_BUFFER_MESSAGES)?;
        socket.set_opt::<nng::options::ReconnectMinTime>(Some(RECONNECT_START))?;
        socket.set_opt::<nng::options::ReconnectMaxTime>(Some(RECONNECT_LIMIT))?;
        let pipe = sync::Arc::<sync::Mutex<Option<nng::Pipe>>>::default();
        let known = sync::Arc::clone(&pipe);
        socket.pipe_notify(move |pipe, event| {
            let mut known = known.lock().unwrap_or_else(sync::PoisonError::into_inner);
            match event {
                nng::PipeEvent::AddPost => *known = Some(pipe),
                // An older connection may end after a fresh one stands.
                nng::PipeEvent::RemovePost if *known == Some(pipe) => *known = None,
                _ => {}
            }
        })?;
        Ok(Self {
            to,
            dialer: dialer(&socket, to)?,
            socket,
            pipe,
            patience: DialPatience::new(now),
            used: now,
        })
    }

    /// Dials anew where the peer has not been reached for long.
    fn keep_dialling(&mut self, now: time::Instant) {
        let pipe = *self
            .pipe
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if pipe.is_some() {
            self.patience.note_connected(now);
        } else if self.patience.is_over(now)
            && let Ok(fresh) = dialer(&self.socket, self.to)
        {
            std::mem::replace(&mut self.dialer, fresh).close();
        }
    }
}

fn dialer(socket: &nng::Socket, to: net::SocketAddr) -> Result<nng::Dialer, nng::Error> {
    nng::Dialer::new(socket, &format!("tcp://{to}"), true)
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
                let Ok(socket) = PeerSocket::dial(to, now) else {
                    return;
                };
                let place = sockets.partition_point(|held| held.to < to);
                sockets.insert(place, socket);
                place
            }
        };
        let held = &mut sockets[place];
        held.used = now;
        held.keep_dialling(now);
        // A full buffer drops the message, as a network may.
        let _ = held.socket.try_send(nng::Message::from(message));
    }
}
