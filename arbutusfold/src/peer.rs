//! Messaging between nodes: sending, broadcast and dispatch to handlers.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use rand::seq::IndexedRandom;

use crate::id;
use crate::member;

pub mod envelope;
mod frame;
pub mod inbound;
pub mod metrics;
pub mod outbound;
pub mod transport;
pub mod tunnel;
pub mod tunnel_flow;

pub use envelope::{
    BroadcastTag, MessageError, MessageKind, MessageSigner, PeerEnvelope, ReplayGuard,
};
pub use inbound::ReceivedMessage;
pub use metrics::TransportMetrics;
pub use transport::{PeerError, PeerTransport, TcpTransport, TransportMonitor};

/// Number of hosts to which each node forwards a broadcast.
const BROADCAST_FANOUT: usize = 8;

/// Maximum number of times that a broadcast is forwarded.
const BROADCAST_HOPS: u8 = 6;

/// Number of recent broadcasts kept to detect duplicates.
const BROADCAST_HISTORY: usize = 4_096;

/// Handler of the messages of one kind.
pub trait MessageHandler: Send + Sync {
    /// Processes a message without blocking. `sender` is the host that created it,
    /// which for a broadcast may not be the host that delivered it.
    fn handle(&self, sender: &str, body: &[u8]);
}

/// Sends the messages of this node and dispatches those that arrive from peers.
pub struct PeerEndpoint {
    host: id::HostName,
    address: net::SocketAddr,
    incarnation: atomic::AtomicU64,
    sequence: atomic::AtomicU64,
    signer: MessageSigner,
    members: sync::Arc<member::MemberView>,
    transport: sync::OnceLock<sync::Arc<dyn PeerTransport>>,
    guard: sync::Mutex<ReplayGuard>,
    recent_broadcasts: sync::Mutex<collections::VecDeque<BroadcastTag>>,
    handlers: sync::Mutex<Vec<(MessageKind, sync::Arc<dyn MessageHandler>)>>,
}

impl PeerEndpoint {
    /// Creates the endpoint of a host; it drops messages until a transport is attached.
    pub fn new(
        host: id::HostName,
        address: net::SocketAddr,
        incarnation: id::IncarnationNumber,
        signer: MessageSigner,
        members: sync::Arc<member::MemberView>,
    ) -> Self {
        Self {
            host,
            address,
            incarnation: atomic::AtomicU64::new(incarnation),
            sequence: atomic::AtomicU64::new(0),
            signer,
            members,
            transport: sync::OnceLock::new(),
            guard: sync::Mutex::default(),
            recent_broadcasts: sync::Mutex::default(),
            handlers: sync::Mutex::default(),
        }
    }

    /// Attaches the transport; a second call has no effect.
    pub fn attach(&self, transport: sync::Arc<dyn PeerTransport>) {
        let _ = self.transport.set(transport);
    }

    /// Registers the handler of a kind and replaces an earlier one.
    pub fn register(&self, kind: MessageKind, handler: sync::Arc<dyn MessageHandler>) {
        let mut handlers = lock(&self.handlers);
        handlers.retain(|(registered, _)| *registered != kind);
        handlers.push((kind, handler));
    }

    /// Sends a message to a host. Delivery is not guaranteed; a message to an
    /// unknown host is dropped.
    pub fn send(&self, to: &str, kind: MessageKind, body: &[u8]) {
        let contact = self.members.contact(to).or_else(|| {
            let mut remote = self.members.remote_contacts().into_iter();
            remote.find(|contact| contact.host == to)
        });
        if let Some(contact) = contact {
            self.transmit(contact.address, contact.incarnation, kind, None, body);
        }
    }

    /// Sends a message to the known member whose peer address is `to`.
    pub fn send_to_member(&self, to: net::SocketAddr, kind: MessageKind, body: &[u8]) {
        let contacts = self.members.contacts().into_iter();
        let contact = contacts
            .chain(self.members.remote_contacts())
            .find(|contact| contact.address == to);
        if let Some(contact) = contact {
            self.transmit(to, contact.incarnation, kind, None, body);
        }
    }

    /// Sends a message to an address and an incarnation.
    ///
    /// Incarnation 0 stands for an unknown process; a receiver accepts only
    /// membership messages addressed in this way.
    pub fn send_to(
        &self,
        to: net::SocketAddr,
        receiver: id::IncarnationNumber,
        kind: MessageKind,
        body: &[u8],
    ) {
        self.transmit(to, receiver, kind, None, body);
    }

    /// Broadcasts a message to every member; each node forwards it to a few others.
    ///
    /// Some hosts may not receive it, so a sender repeats what must reach all.
    pub fn broadcast(&self, kind: MessageKind, body: &[u8]) {
        let tag = BroadcastTag {
            origin: self.host.clone(),
            incarnation: self.incarnation.load(atomic::Ordering::Relaxed),
            number: self.next_sequence(),
            hops: BROADCAST_HOPS,
        };
        self.record_broadcast(&tag);
        self.forward(&tag, kind, body);
    }

    /// Verifies a received message and passes it to the handler of its kind.
    ///
    /// # Errors
    ///
    /// Returns the reason why the message was rejected.
    pub fn receive(&self, message: &[u8]) -> Result<(), MessageError> {
        let envelope = self.signer.verify(self.address, message)?;
        let own = self.incarnation.load(atomic::Ordering::Relaxed);
        let unaddressed = envelope.receiver == 0;
        let first_contact = unaddressed && envelope.kind == MessageKind::Membership.number();
        if envelope.receiver != own && !first_contact {
            return Err(MessageError::WrongIncarnation);
        }
        if envelope.sender == self.host {
            return Err(MessageError::Replay);
        }
        let accepted =
            lock(&self.guard).accept(&envelope.sender, envelope.incarnation, envelope.sequence);
        if accepted == Err(MessageError::StaleSender)
            && envelope.kind == MessageKind::Membership.number()
        {
            // The membership replies to an earlier process of a host that it was
            // replaced, and uses nothing else of its message.
            let kind = MessageKind::Membership;
            self.dispatch(kind, &envelope.sender, &envelope.body);
        }
        accepted?;
        let kind = MessageKind::from_number(envelope.kind).ok_or(MessageError::UnknownKind)?;
        if let Some(tag) = &envelope.broadcast {
            if !self.record_broadcast(tag) {
                return Ok(());
            }
            self.forward_received(tag, kind, &envelope.body);
            self.dispatch(kind, &tag.origin, &envelope.body);
            return Ok(());
        }
        self.dispatch(kind, &envelope.sender, &envelope.body);
        Ok(())
    }

    /// Raises the incarnation under which this host sends; a lower one has no effect.
    pub fn raise_incarnation(&self, incarnation: id::IncarnationNumber) {
        self.incarnation
            .fetch_max(incarnation, atomic::Ordering::Relaxed);
    }

    /// Returns the incarnation under which this host sends.
    pub fn incarnation(&self) -> id::IncarnationNumber {
        self.incarnation.load(atomic::Ordering::Relaxed)
    }

    fn dispatch(&self, kind: MessageKind, sender: &str, body: &[u8]) {
        let handler = lock(&self.handlers)
            .iter()
            .find(|(registered, _)| *registered == kind)
            .map(|(_, handler)| sync::Arc::clone(handler));
        if let Some(handler) = handler {
            handler.handle(sender, body);
        }
    }

    fn forward_received(&self, tag: &BroadcastTag, kind: MessageKind, body: &[u8]) {
        if tag.hops > 0 {
            let mut tag = tag.clone();
            tag.hops -= 1;
            self.forward(&tag, kind, body);
        }
    }

    fn forward(&self, tag: &BroadcastTag, kind: MessageKind, body: &[u8]) {
        let contacts = self.members.contacts();
        let others: Vec<_> = contacts
            .iter()
            .filter(|contact| contact.host != self.host && contact.host != tag.origin)
            .collect();
        let mut rng = rand::rng();
        let mut chosen: Vec<_> = others.sample(&mut rng, BROADCAST_FANOUT).copied().collect();
        let remote = self.members.remote_contacts();
        if tag.origin == self.host {
            // The origin sends the message to each known node of every other region.
            chosen.extend(&remote);
        }
        for contact in chosen {
            let broadcast = Some(tag.clone());
            self.transmit(contact.address, contact.incarnation, kind, broadcast, body);
        }
    }

    /// Records a broadcast and returns whether it is new.
    fn record_broadcast(&self, tag: &BroadcastTag) -> bool {
        let mut recent = lock(&self.recent_broadcasts);
        let known = recent.iter().any(|seen| {
            seen.number == tag.number
                && seen.incarnation == tag.incarnation
                && seen.origin == tag.origin
        });
        if known || (tag.origin == self.host && tag.incarnation != self.incarnation()) {
            return false;
        }
        if recent.len() == BROADCAST_HISTORY {
            recent.pop_front();
        }
        recent.push_back(tag.clone());
        true
    }

    fn transmit(
        &self,
        to: net::SocketAddr,
        receiver: id::IncarnationNumber,
        kind: MessageKind,
        broadcast: Option<BroadcastTag>,
        body: &[u8],
    ) {
        let Some(transport) = self.transport.get().filter(|_| to != self.address) else {
            return;
        };
        let envelope = PeerEnvelope {
            kind: kind.number(),
            sender: self.host.clone(),
            incarnation: self.incarnation(),
            receiver,
            sequence: self.next_sequence(),
            broadcast,
            body: body.to_vec(),
        };
        if let Some(signed) = self.signer.sign(to, &envelope) {
            transport.send(to, &signed);
        }
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, atomic::Ordering::Relaxed) + 1
    }
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
