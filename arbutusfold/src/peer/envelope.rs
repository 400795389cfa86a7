//! The envelope of messages between nodes: versioned, signed, never taken twice.

use std::net;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::id;
use crate::settings;

/// Format that this release writes and reads.
pub const MESSAGE_FORMAT: u8 = 1;

/// Length of the code that ends each message, in bytes.
const CODE_BYTES: usize = 16;

/// Sequence numbers below the highest one that are still told apart.
const WINDOW_MESSAGES: u64 = 64;

/// Senders whose sequence numbers are kept.
const SENDER_LIMIT: usize = 4_096;

/// What a message is about; numbers are stable between releases.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum MessageKind {
    /// Probes and changes of membership.
    Membership = 1,
    /// Health of upstreams.
    Health = 2,
    /// Versions and sections of the configuration document.
    Config = 3,
    /// Demand of organisations, for limits over the fleet.
    Demand = 4,
    /// Requests suspected of crashing upstreams.
    Suspect = 5,
    /// Rows of the platform's store, for hosts that are cut off from it.
    Mirror = 6,
    /// Words between nodes and the leads of their failure domains.
    Lead = 7,
}

impl MessageKind {
    /// Every kind that this release knows.
    pub const ALL: [Self; 7] = [
        Self::Membership,
        Self::Health,
        Self::Config,
        Self::Demand,
        Self::Suspect,
        Self::Mirror,
        Self::Lead,
    ];

    /// Returns the number of the kind.
    pub fn number(self) -> u16 {
        self as u16
    }

    /// Returns the kind of that number, if this release knows it.
    pub fn of(number: u16) -> Option<Self> {
        Self::ALL.into_iter().find(|kind| kind.number() == number)
    }
}

/// A message that each receiver passes on once, so that it reaches every node.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct SpreadTag {
    /// Host that began it.
    pub origin: id::HostName,
    /// Incarnation of that host.
    pub incarnation: id::IncarnationNumber,
    /// Number of the message at that host.
    pub number: u64,
    /// How often it may still be passed on.
    pub hops: u8,
}

/// Head of a message with its body.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct PeerEnvelope {
    /// Number of the kind.
    pub kind: u16,
    /// Host that sent it.
    pub sender: id::HostName,
    /// Incarnation of the sender.
    pub incarnation: id::IncarnationNumber,
    /// Incarnation that it is meant for; 0 where the sender has not met it.
    pub receiver: id::IncarnationNumber,
    /// Number of the message at the sender, from 1.
    pub sequence: u64,
    /// Set when receivers pass it on.
    pub spread: Option<SpreadTag>,
    /// Content, by kind.
    pub body: Vec<u8>,
}

/// Why a message was not taken.
#[derive(Clone, Copy, Debug, Display, Error, PartialEq, Eq)]
pub enum OpenError {
    /// It is too short or cannot be decoded.
    #[display("message is malformed")]
    Malformed,
    /// It has a newer format, written by a later release.
    #[display("message has a newer format")]
    Format,
    /// No key made its code.
    #[display("message is signed with no known key")]
    Code,
    /// It was meant for another incarnation of this host.
    #[display("message is meant for another incarnation")]
    Receiver,
    /// A later process of the sender was heard before.
    #[display("message is from an earlier process of its sender")]
    Older,
    /// It was taken before or is too old to tell.
    #[display("message was taken before")]
    Replay,
    /// Its kind belongs to a later release.
    #[display("message kind is unknown")]
    Kind,
}

/// Signs messages and refuses those without a valid code.
///
/// The receiver's address is part of what is signed, so that a message to
/// one host is refused by every other.
#[derive(Clone)]
pub struct MessageSigner {
    keys: Vec<[u8; settings::PEER_KEY_BYTES]>,
}

impl MessageSigner {
    /// Creates a signer; the first key signs, every key verifies.
    pub fn new(keys: Vec<[u8; settings::PEER_KEY_BYTES]>) -> Self {
        Self { keys }
    }

    /// Returns the signed message for the host at `to`.
    pub fn seal(&self, to: net::SocketAddr, envelope: &PeerEnvelope) -> Option<Vec<u8>> {
        let key = self.keys.first()?;
        let mut sealed = postcard::to_extend(envelope, vec![MESSAGE_FORMAT]).ok()?;
        let code = code_of(key, to, &sealed);
        sealed.extend_from_slice(&code);
        Some(sealed)
    }

    /// Returns the envelope of a message that arrived at `to`.
    ///
    /// # Errors
    ///
    /// [`OpenError`] tells why the message is not taken.
    pub fn open(&self, to: net::SocketAddr, sealed: &[u8]) -> Result<PeerEnvelope, OpenError> {
        let format = *sealed.first().ok_or(OpenError::Malformed)?;
        if format > MESSAGE_FORMAT {
            return Err(OpenError::Format);
        }
        let length = sealed.len().checked_sub(CODE_BYTES);
        let (message, code) = length
            .and_then(|length| sealed.split_at_checked(length))
            .ok_or(OpenError::Malformed)?;
        let signed = self.keys.iter().fold(false, |signed, key| {
            signed | bool::from(code_of(key, to, message).ct_eq(code))
        });
        if !signed {
            return Err(OpenError::Code);
        }
        let body = message.get(1..).ok_or(OpenError::Malformed)?;
        postcard::from_bytes(body).map_err(|_| OpenError::Malformed)
    }
}

fn code_of(
    key: &[u8; settings::PEER_KEY_BYTES],
    to: net::SocketAddr,
    message: &[u8],
) -> [u8; CODE_BYTES] {
    let mut hasher = blake3::Hasher::new_keyed(key);
    hasher.update(to.to_string().as_bytes());
    hasher.update(&[0]);
    hasher.update(message);
    let mut code = [0; CODE_BYTES];
    code.copy_from_slice(&hasher.finalize().as_bytes()[..CODE_BYTES]);
    code
}

/// Sequence numbers taken from one sender.
#[derive(Clone, Debug)]
struct SenderWindow {
    sender: id::HostName,
    incarnation: id::IncarnationNumber,
    highest: u64,
    /// Bit N tells whether `highest - N` was taken.
    taken: u64,
}

/// Refuses messages that were taken before.
#[derive(Clone, Debug, Default)]
pub struct ReplayGuard {
    windows: Vec<SenderWindow>,
}

impl ReplayGuard {
    /// Takes the number of a message.
    ///
    /// # Errors
    ///
    /// [`OpenError::Replay`] when it was taken before, [`OpenError::Older`]
    /// when a later process of the sender was heard.
    pub fn accept(
        &mut self,
        sender: &str,
        incarnation: id::IncarnationNumber,
        sequence: u64,
    ) -> Result<(), OpenError> {
        let fresh = SenderWindow {
            sender: sender.to_owned(),
            incarnation,
            highest: sequence,
            taken: 1,
        };
        let found = self
            .windows
            .binary_search_by(|held| held.sender.as_str().cmp(sender));
        let place = match found {
            Ok(place) => place,
            Err(_) => {
                self.make_room();
                let place = self
                    .windows
                    .partition_point(|held| held.sender.as_str() < sender);
                self.windows.insert(place, fresh);
                return Ok(());
            }
        };
        let window = &mut self.windows[place];
        match incarnation.cmp(&window.incarnation) {
            std::cmp::Ordering::Less => Err(OpenError::Older),
            std::cmp::Ordering::Equal if window.take(sequence) => Ok(()),
            std::cmp::Ordering::Equal => Err(OpenError::Replay),
            std::cmp::Ordering::Greater => {
                *window = fresh;
                Ok(())
            }
        }
    }

    fn make_room(&mut self) {
        if self.windows.len() < SENDER_LIMIT {
            return;
        }
        let oldest = (0..self.windows.len()).min_by_key(|place| self.windows[*place].incarnation);
        if let Some(oldest) = oldest {
            self.windows.remove(oldest);
        }
    }
}

impl SenderWindow {
    fn take(&mut self, sequence: u64) -> bool {
        if sequence > self.highest {
            let step = sequence - self.highest;
            let kept = if step < WINDOW_MESSAGES {
                self.taken << step
            } else {
                0
            };
            self.taken = kept | 1;
            self.highest = sequence;
            return true;
        }
        let age = self.highest - sequence;
        if age >= WINDOW_MESSAGES {
            return false;
        }
        let bit = 1 << age;
        let first = self.taken & bit == 0;
        self.taken |= bit;
        first
    }
}
