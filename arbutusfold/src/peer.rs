//! Signed messages between nodes over nng.

use std::collections;
use std::net;
use std::sync;
use std::thread;

use derive_more::{Display, Error};
use nng::options::Options;
use tokio::sync::mpsc;

/// Length of the code that ends each message, in bytes.
const CODE_BYTES: usize = 32;

/// Messages that may wait for one peer before more are dropped.
const SEND_BUFFER_MESSAGES: i32 = 64;

/// Messages that may wait for the node's own loop before more are dropped.
const RECEIVE_BUFFER_MESSAGES: usize = 4_096;

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

/// Signs messages and refuses those without a valid code.
#[derive(Clone)]
pub struct MessageSigner {
    keys: Vec<[u8; 32]>,
}

impl MessageSigner {
    /// Creates a signer; the first key signs, every key verifies.
    pub fn new(keys: Vec<[u8; 32]>) -> Self {
        Self { keys }
    }

    /// Returns the message with its code at the end.
    pub fn seal(&self, message: &[u8]) -> Option<Vec<u8>> {
        let key = self.keys.first()?;
        let mut sealed = message.to_vec();
        sealed.extend_from_slice(blake3::keyed_hash(key, message).as_bytes());
        Some(sealed)
    }

    /// Returns the message without its code, if a key made that code.
    pub fn open<'a>(&self, sealed: &'a [u8]) -> Option<&'a [u8]> {
        let (message, code) = sealed.split_at_checked(sealed.len().checked_sub(CODE_BYTES)?)?;
        let code: [u8; CODE_BYTES] = code.try_into().ok()?;
        // Comparison of two hashes takes the same time whatever they hold.
        self.keys
            .iter()
            .any(|key| blake3::keyed_hash(key, message) == blake3::Hash::from(code))
            .then_some(message)
    }
}

/// The transport over nng: one listening socket, one dialled socket a peer.
pub struct NngTransport {
    sockets: sync::Mutex<collections::HashMap<net::SocketAddr, nng::Socket>>,
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
    socket.dial_async(&format!("tcp://{to}"))?;
    Ok(socket)
}

impl PeerTransport for NngTransport {
    fn send(&self, to: net::SocketAddr, message: &[u8]) {
        let mut sockets = self
            .sockets
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if let collections::hash_map::Entry::Vacant(entry) = sockets.entry(to) {
            let Ok(socket) = dial(to) else { return };
            entry.insert(socket);
        }
        if let Some(socket) = sockets.get(&to) {
            // A full buffer drops the message, as a network may.
            let _ = socket.try_send(nng::Message::from(message));
        }
    }
}
