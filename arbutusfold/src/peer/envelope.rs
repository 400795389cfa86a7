//! Envelope of messages between nodes: format version, authentication, replay protection.

use std::net;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::id;
use crate::settings;

/// Message format that this release writes, and the newest that it reads.
pub const MESSAGE_FORMAT: u8 = 1;

/// Length of the message authentication code at the end of each message, in bytes.
const AUTH_CODE_BYTES: usize = 16;

/// Size of the replay window: how many of the highest sequence numbers are tracked.
const REPLAY_WINDOW: u64 = 64;

/// Maximum number of senders whose sequence numbers are tracked.
const SENDER_LIMIT: usize = 4_096;

/// Kind of a message; the numbers are stable between releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Probes and membership updates.
    Membership = 1,
    /// Health of upstreams.
    Health = 2,
    /// Versions and sections of the configuration document.
    Config = 3,
    /// Demand of organisations, for fleet-wide rate limits.
    Demand = 4,
    /// Requests that are suspected of crashing upstreams.
    Suspect = 5,
    /// Rows of the platform's store, for hosts that cannot reach it.
    Mirror = 6,
    /// Load reports between nodes and the leads of their failure domains.
    Lead = 7,
    /// Limits that runners name, and permits to send requests to these runners.
    Limit = 8,
}

impl MessageKind {
    /// Every kind that this release knows.
    pub const ALL: [Self; 8] = [
        Self::Membership,
        Self::Health,
        Self::Config,
        Self::Demand,
        Self::Suspect,
        Self::Mirror,
        Self::Lead,
        Self::Limit,
    ];

    /// Returns the number of the kind.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the kind with the given number, if this release knows it.
    pub fn from_number(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.number() == number)
    }
}

/// Identity of a broadcast, which each receiver forwards once so that it reaches every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct BroadcastTag {
    /// Host that created the broadcast.
    pub origin: id::HostName,
    /// Incarnation of that host.
    pub incarnation: id::IncarnationNumber,
    /// Number of the message among those of that process.
    pub number: u64,
    /// How many more times it may be forwarded.
    pub hops: u8,
}

/// Header and body of a message.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Number of the message kind.
    pub kind: u16,
    /// Host that sent it.
    pub sender: id::HostName,
    /// Incarnation of the sender.
    pub incarnation: id::IncarnationNumber,
    /// Incarnation of the receiver; 0 if the sender does not know it.
    pub receiver: id::IncarnationNumber,
    /// Sequence number at the sender, from 1.
    pub sequence: u64,
    /// Set if the message is a broadcast that receivers forward.
    pub broadcast: Option<BroadcastTag>,
    /// Content, encoded as the message kind defines.
    pub body: Vec<u8>,
}

/// Reason why a message was rejected.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum MessageError {
    /// The message is too short or cannot be decoded.
    #[display("message is malformed")]
    Malformed,
    /// A later release wrote the message in a newer format.
    #[display("message format is newer than this release supports")]
    NewerFormat,
    /// The authentication code matches none of the keys.
    #[display("message authentication code matches no known key")]
    InvalidCode,
    /// The message is addressed to another incarnation of this host.
    #[display("message is addressed to another incarnation of this host")]
    WrongIncarnation,
    /// A message from a later process of the sender was received before.
    #[display("message is from an earlier process of its sender")]
    StaleSender,
    /// The message was accepted before, or it is older than the replay window.
    #[display("message is a replay or older than the replay window")]
    Replay,
    /// The message kind belongs to a later release.
    #[display("message kind is unknown to this release")]
    UnknownKind,
}

/// Signs messages and rejects those without a valid authentication code.
///
/// The code covers the receiver's address, so that every other host rejects
/// the message.
#[derive(Clone)]
pub struct MessageSigner {
    keys: Vec<[u8; settings::PEER_KEY_BYTES]>,
}

impl MessageSigner {
    /// Creates a signer. The first key signs; a code made with any key is valid.
    pub fn new(keys: Vec<[u8; settings::PEER_KEY_BYTES]>) -> Self {
        Self { keys }
    }

    /// Returns the keys; the first one signs.
    pub(crate) fn keys(&self) -> &[[u8; settings::PEER_KEY_BYTES]] {
        &self.keys
    }

    /// Returns the encoded and signed message for the host at `to`.
    pub fn sign(&self, to: net::SocketAddr, envelope: &PeerEnvelope) -> Option<Vec<u8>> {
        let key = self.keys.first()?;
        let mut message = postcard::to_extend(envelope, vec![MESSAGE_FORMAT]).ok()?;
        let code = compute_code(key, to, &message);
        message.extend_from_slice(&code);
        Some(message)
    }

    /// Verifies a message that arrived at `to` and returns its envelope.
    ///
    /// # Errors
    ///
    /// Returns the reason why the message was rejected.
    pub fn verify(
        &self,
        to: net::SocketAddr,
        message: &[u8],
    ) -> Result<PeerEnvelope, MessageError> {
        let format = *message.first().ok_or(MessageError::Malformed)?;
        if format > MESSAGE_FORMAT {
            return Err(MessageError::NewerFormat);
        }
        let length = message.len().checked_sub(AUTH_CODE_BYTES);
        let (signed, code) = length
            .and_then(|length| message.split_at_checked(length))
            .ok_or(MessageError::Malformed)?;
        let valid = self.keys.iter().fold(false, |valid, key| {
            valid | bool::from(compute_code(key, to, signed).ct_eq(code))
        });
        if !valid {
            return Err(MessageError::InvalidCode);
        }
        let envelope = signed.get(1..).ok_or(MessageError::Malformed)?;
        postcard::from_bytes(envelope).map_err(|_| MessageError::Malformed)
    }
}

fn compute_code(
    key: &[u8; settings::PEER_KEY_BYTES],
    to: net::SocketAddr,
    message: &[u8],
) -> [u8; AUTH_CODE_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(to.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(message);
    let mut code = [0; AUTH_CODE_BYTES];
    code.copy_from_slice(&hasher.finalize().as_bytes()[..AUTH_CODE_BYTES]);
    code
}

/// Sequence numbers accepted from one sender.
#[derive(Clone, Debug)]
struct SenderWindow {
    sender: id::HostName,
    incarnation: id::IncarnationNumber,
    highest: u64,
    /// Bit N is set if `highest - N` was accepted.
    accepted: u64,
}

/// Rejects messages that were accepted before.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    windows: Vec<SenderWindow>,
}

impl ReplayGuard {
    /// Accepts the sequence number of a message once.
    ///
    /// # Errors
    ///
    /// [`MessageError::Replay`] if it was accepted before or is older than the
    /// replay window, [`MessageError::StaleSender`] if a message from a later
    /// process of the sender was accepted.
    pub fn accept(
        &mut self,
        sender: &str,
        incarnation: id::IncarnationNumber,
        sequence: u64,
    ) -> Result<(), MessageError> {
        let fresh = SenderWindow {
            sender: sender.to_owned(),
            incarnation,
            highest: sequence,
            accepted: 1,
        };
        let found = self
            .windows
            .binary_search_by(|window| window.sender.as_str().cmp(sender));
        let index = match found {
            Ok(index) => index,
            Err(_) => {
                self.evict_if_full();
                let index = self
                    .windows
                    .partition_point(|window| window.sender.as_str() < sender);
                self.windows.insert(index, fresh);
                return Ok(());
            }
        };
        let window = &mut self.windows[index];
        match incarnation.cmp(&window.incarnation) {
            std::cmp::Ordering::Less => Err(MessageError::StaleSender),
            std::cmp::Ordering::Equal if window.accept(sequence) => Ok(()),
            std::cmp::Ordering::Equal => Err(MessageError::Replay),
            std::cmp::Ordering::Greater => {
                *window = fresh;
                Ok(())
            }
        }
    }

    fn evict_if_full(&mut self) {
        if self.windows.len() < SENDER_LIMIT {
            return;
        }
        let oldest = (0..self.windows.len()).min_by_key(|index| self.windows[*index].incarnation);
        if let Some(oldest) = oldest {
            self.windows.remove(oldest);
        }
    }
}

impl SenderWindow {
    fn accept(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let step = sequence - self.highest;
            let shifted = if step < REPLAY_WINDOW {
                self.accepted << step
            } else {
                0
            };
            self.accepted = shifted | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= REPLAY_WINDOW {
            return false;
        }
        let bit = 1 << age;
        let first = self.accepted & bit == 0;
        self.accepted |= bit;
        first
    }
}
