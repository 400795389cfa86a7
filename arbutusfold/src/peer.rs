//! Messages between nodes: how slices post them and take them.

use std::collections;
use std::net;
use std::sync;
use std::sync::atomic;

use rand::seq::IndexedRandom;

use crate::id;
use crate::member;

pub mod envelope;
pub mod transport;

pub use envelope::{MessageKind, MessageSigner, OpenError, PeerEnvelope, ReplayGuard, SpreadTag};
pub use transport::{NngTransport, PeerError, PeerTransport};

/// Hosts to which one node passes a message that is meant for all.
const SPREAD_HOSTS: usize = 8;

/// How often a message that is meant for all is passed on.
const SPREAD_HOPS: u8 = 6;

/// Spread messages that are remembered so as not to take them twice.
const SPREAD_MEMORY: usize = 4_096;

/// Takes messages of one kind.
pub trait MessageHandler: Send + Sync {
    /// Takes a message that `sender` began, without waiting.
    fn handle(&self, sender: &str, body: &[u8]);
}

/// Where messages of this node are posted and those of peers arrive.
pub struct PeerPost {
    host: id::HostName,
    address: net::SocketAddr,
    incarnation: atomic::AtomicU64,
    sequence: atomic::AtomicU64,
    signer: MessageSigner,
    members: sync::Arc<member::MemberView>,
    transport: sync::OnceLock<sync::Arc<dyn PeerTransport>>,
    guard: sync::Mutex<ReplayGuard>,
    recent: sync::Mutex<collections::VecDeque<SpreadTag>>,
    handlers: sync::Mutex<Vec<(MessageKind, sync::Arc<dyn MessageHandler>)>>,
}

impl PeerPost {
    /// Creates the post of a host; messages are dropped until a transport is attached.
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
            recent: sync::Mutex::default(),
            handlers: sync::Mutex::default(),
        }
    }

    /// Attaches the transport; a second one is passed over.
    pub fn attach(&self, transport: sync::Arc<dyn PeerTransport>) {
        let _ = self.transport.set(transport);
    }

    /// Registers the handler of a kind in place of an earlier one.
    pub fn register(&self, kind: MessageKind, handler: sync::Arc<dyn MessageHandler>) {
        let mut handlers = lock(&self.handlers);
        handlers.retain(|(held, _)| *held != kind);
        handlers.push((kind, handler));
    }

    /// Posts a message to a member; it may be lost, and is when the host is unknown.
    pub fn post(&self, to: &str, kind: MessageKind, body: &[u8]) {
        let contact = self.members.contact(to).or_else(|| {
            let mut remote = self.members.remote_contacts().into_iter();
            remote.find(|contact| contact.host == to)
        });
        if let Some(contact) = contact {
            self.send(contact.address, contact.incarnation, kind, None, body);
        }
    }

    /// Posts a message to the member that hears peers at an address.
    pub fn post_at(&self, to: net::SocketAddr, kind: MessageKind, body: &[u8]) {
        let contacts = self.members.contacts().into_iter();
        let contact = contacts
            .chain(self.members.remote_contacts())
            .find(|contact| contact.address == to);
        if let Some(contact) = contact {
            self.send(to, contact.incarnation, kind, None, body);
        }
    }

    /// Posts a message to an address; only membership may be posted to a
    /// host that was not met, whose incarnation is then 0.
    pub fn post_to(
        &self,
        to: net::SocketAddr,
        receiver: id::IncarnationNumber,
        kind: MessageKind,
        body: &[u8],
    ) {
        self.send(to, receiver, kind, None, body);
    }

    /// Posts a message to every member: each node passes it on to a few.
    ///
    /// A host may miss it, so its sender repeats what must be known.
    pub fn post_all(&self, kind: MessageKind, body: &[u8]) {
        let tag = SpreadTag {
            origin: self.host.clone(),
            incarnation: self.incarnation.load(atomic::Ordering::Relaxed),
            number: self.next_sequence(),
            hops: SPREAD_HOPS,
        };
        self.note_spread(&tag);
        self.spread(&tag, kind, body);
    }

    /// Takes a message that arrived and hands it to the handler of its kind.
    ///
    /// # Errors
    ///
    /// [`OpenError`] tells why the message was not taken.
    pub fn receive(&self, sealed: &[u8]) -> Result<(), OpenError> {
        let envelope = self.signer.open(self.address, sealed)?;
        let own = self.incarnation.load(atomic::Ordering::Relaxed);
        let unmet = envelope.receiver == 0;
        let first_meeting = unmet && envelope.kind == MessageKind::Membership.number();
        if envelope.receiver != own && !first_meeting {
            return Err(OpenError::Receiver);
        }
        if envelope.sender == self.host {
            return Err(OpenError::Replay);
        }
        let accepted =
            lock(&self.guard).accept(&envelope.sender, envelope.incarnation, envelope.sequence);
        if accepted == Err(OpenError::Older) && envelope.kind == MessageKind::Membership.number() {
            // The membership tells an earlier process that it was replaced,
            // and takes nothing else from it.
            let kind = MessageKind::Membership;
            self.hand_over(kind, &envelope.sender, &envelope.body);
        }
        accepted?;
        let kind = MessageKind::of(envelope.kind).ok_or(OpenError::Kind)?;
        if let Some(tag) = &envelope.spread {
            if !self.note_spread(tag) {
                return Ok(());
            }
            self.pass_on(tag, kind, &envelope.body);
            self.hand_over(kind, &tag.origin, &envelope.body);
            return Ok(());
        }
        self.hand_over(kind, &envelope.sender, &envelope.body);
        Ok(())
    }

    /// Replaces the incarnation under which this host sends.
    pub fn raise(&self, incarnation: id::IncarnationNumber) {
        self.incarnation
            .fetch_max(incarnation, atomic::Ordering::Relaxed);
    }

    /// Returns the incarnation under which this host sends.
    pub fn incarnation(&self) -> id::IncarnationNumber {
        self.incarnation.load(atomic::Ordering::Relaxed)
    }

    fn hand_over(&self, kind: MessageKind, sender: &str, body: &[u8]) {
        let handler = lock(&self.handlers)
            .iter()
            .find(|(held, _)| *held == kind)
            .map(|(_, handler)| sync::Arc::clone(handler));
        if let Some(handler) = handler {
            handler.handle(sender, body);
        }
    }

    fn pass_on(&self, tag: &SpreadTag, kind: MessageKind, body: &[u8]) {
        if tag.hops > 0 {
            let mut tag = tag.clone();
            tag.hops -= 1;
            self.spread(&tag, kind, body);
        }
    }

    fn spread(&self, tag: &SpreadTag, kind: MessageKind, body: &[u8]) {
        let contacts = self.members.contacts();
        let others: Vec<_> = contacts
            .iter()
            .filter(|contact| contact.host != self.host && contact.host != tag.origin)
            .collect();
        let mut rng = rand::rng();
        let mut chosen: Vec<_> = others.sample(&mut rng, SPREAD_HOSTS).copied().collect();
        let remote = self.members.remote_contacts();
        if tag.origin == self.host {
            // Every other region is entered at each of its known nodes.
            chosen.extend(&remote);
        }
        for contact in chosen {
            let spread = Some(tag.clone());
            self.send(contact.address, contact.incarnation, kind, spread, body);
        }
    }

    /// Remembers a spread message and tells whether it is new.
    fn note_spread(&self, tag: &SpreadTag) -> bool {
        let mut recent = lock(&self.recent);
        let known = recent.iter().any(|held| {
            held.number == tag.number
                && held.incarnation == tag.incarnation
                && held.origin == tag.origin
        });
        if known || (tag.origin == self.host && tag.incarnation != self.incarnation()) {
            return false;
        }
        if recent.len() == SPREAD_MEMORY {
            recent.pop_front();
        }
        recent.push_back(tag.clone());
        true
    }

    fn send(
        &self,
        to: net::SocketAddr,
        receiver: id::IncarnationNumber,
        kind: MessageKind,
        spread: Option<SpreadTag>,
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
            spread,
            body: body.to_vec(),
        };
        if let Some(sealed) = self.signer.seal(to, &envelope) {
            transport.send(to, &sealed);
        }
    }

    fn next_sequence(&self) -> u64 {
        self.sequence.fetch_add(1, atomic::Ordering::Relaxed) + 1
    }
}

fn lock<T>(held: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    held.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
