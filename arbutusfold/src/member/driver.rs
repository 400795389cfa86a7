//! Driver of the membership protocol: sends its messages and publishes the members.

use std::sync;

use rand::SeedableRng;
use tokio::time;

use crate::event;
use crate::member;
use crate::member::message;
use crate::member::protocol::{MemberAction, MemberEvent, MemberProtocol};
use crate::peer;

/// Listener for membership results that other modules act on.
pub trait MemberListener: Send + Sync {
    /// Called when a peer has a newer configuration.
    fn newer_config(&self, version: crate::id::DocumentVersion, from: &str);

    /// Returns bytes that follow each message to a peer. A release that does not know
    /// them ignores them.
    fn attachment(&self) -> Vec<u8> {
        Vec::new()
    }

    /// Called with the bytes that followed a message of a peer, if there were any.
    fn attached(&self, _attachment: &[u8], _from: &str) {}

    /// Called when another process has this host's name and started later.
    fn superseded(&self);
}

/// State of the driver, behind its lock.
struct DriverState {
    protocol: MemberProtocol,
    rng: rand_chacha::ChaCha8Rng,
}

/// Runs the membership protocol of one node.
pub struct MemberDriver {
    state: sync::Mutex<DriverState>,
    endpoint: sync::Arc<peer::PeerEndpoint>,
    view: sync::Arc<member::MemberView>,
    recorder: sync::Arc<event::EventRecorder>,
    listener: sync::OnceLock<sync::Weak<dyn MemberListener>>,
}

impl MemberDriver {
    /// Creates the driver of a protocol state. `seed` makes its random choices repeatable.
    pub fn new(
        protocol: MemberProtocol,
        seed: u64,
        endpoint: sync::Arc<peer::PeerEndpoint>,
        view: sync::Arc<member::MemberView>,
        recorder: sync::Arc<event::EventRecorder>,
    ) -> Self {
        view.publish(protocol.alive(), member::RemoteRegions::default());
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        Self {
            state: sync::Mutex::new(DriverState { protocol, rng }),
            endpoint,
            view,
            recorder,
            listener: sync::OnceLock::new(),
        }
    }

    /// Sets the listener; a second call has no effect.
    pub fn set_listener(&self, listener: sync::Weak<dyn MemberListener>) {
        let _ = self.listener.set(listener);
    }

    /// Processes an event and executes the resulting actions.
    ///
    /// Returns the actions other than sent messages.
    pub fn step(&self, event: MemberEvent, now: time::Instant) -> Vec<MemberAction> {
        let actions = {
            let mut state = self
                .state
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            let DriverState { protocol, rng } = &mut *state;
            let generation = protocol.generation();
            let actions = protocol.handle(event, now, rng);
            if protocol.generation() != generation {
                self.view
                    .publish(protocol.alive(), protocol.remote_regions());
            }
            actions
        };
        let (sends, others): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|action| matches!(action, MemberAction::Send { .. }));
        sends.into_iter().for_each(|send| self.execute(send));
        others
            .iter()
            .cloned()
            .for_each(|action| self.execute(action));
        others
    }

    fn execute(&self, action: MemberAction) {
        let record = |code, subject: &str, detail: &str| {
            self.recorder.record(code, subject, detail);
        };
        let listener = self.listener.get().and_then(sync::Weak::upgrade);
        match action {
            MemberAction::Send {
                to,
                receiver,
                message,
            } => self.send(to, receiver, &message),
            MemberAction::Alive(name) => record(event::EventCode::PeerAlive, &name, "heard"),
            MemberAction::Suspected(name) => {
                record(event::EventCode::PeerSuspected, &name, "silent");
            }
            MemberAction::Gone { name, cause } => {
                record(event::EventCode::PeerGone, &name, cause);
            }
            MemberAction::RegionFound(region) => {
                record(event::EventCode::RegionFound, &region, "heard");
            }
            MemberAction::RegionLost(region) => {
                record(event::EventCode::RegionLost, &region, "silent");
            }
            MemberAction::NewerConfig { version, from } => {
                if let Some(listener) = listener {
                    listener.newer_config(version, &from);
                }
            }
            MemberAction::IncarnationRaised(incarnation) => {
                self.endpoint.raise_incarnation(incarnation)
            }
            MemberAction::Superseded => {
                if let Some(listener) = listener {
                    listener.superseded();
                }
            }
        }
    }

    fn send(
        &self,
        to: std::net::SocketAddr,
        receiver: crate::id::IncarnationNumber,
        message: &message::MemberMessage,
    ) {
        if let Ok(mut body) = postcard::to_stdvec(message) {
            let listener = self.listener.get().and_then(sync::Weak::upgrade);
            body.extend(listener.iter().flat_map(|listener| listener.attachment()));
            let kind = peer::MessageKind::Membership;
            self.endpoint.send_to(to, receiver, kind, &body);
        }
    }
}

impl MemberDriver {
    /// Decodes the body of a membership message and processes it as [`Self::step`] does.
    pub fn receive(&self, sender: &str, body: &[u8], now: time::Instant) -> Vec<MemberAction> {
        // A message with additions of a later release cannot be decoded; it is dropped.
        let Ok((message, rest)) = postcard::take_from_bytes::<message::MemberMessage>(body) else {
            return Vec::new();
        };
        let listener = self.listener.get().and_then(sync::Weak::upgrade);
        if let Some(listener) = listener.filter(|_| !rest.is_empty()) {
            listener.attached(rest, sender);
        }
        let sender = sender.to_owned();
        let message = Box::new(message);
        self.step(MemberEvent::Received { sender, message }, now)
    }
}

/// Creates the membership driver of a node and registers it for membership messages.
pub fn start(
    record: member::MemberRecord,
    seeds: Vec<std::net::SocketAddr>,
    endpoint: &sync::Arc<peer::PeerEndpoint>,
    view: &sync::Arc<member::MemberView>,
    recorder: &sync::Arc<event::EventRecorder>,
) -> sync::Arc<MemberDriver> {
    let seed = record.incarnation;
    let protocol = MemberProtocol::new(record, seeds, time::Instant::now());
    let driver = sync::Arc::new(MemberDriver::new(
        protocol,
        seed,
        sync::Arc::clone(endpoint),
        sync::Arc::clone(view),
        sync::Arc::clone(recorder),
    ));
    endpoint.register(peer::MessageKind::Membership, driver.clone());
    driver
}

impl peer::MessageHandler for MemberDriver {
    fn handle(&self, sender: &str, body: &[u8]) {
        self.receive(sender, body, time::Instant::now());
    }
}
