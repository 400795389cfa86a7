//! Carries out what the membership decides: posts messages, publishes members.

use std::sync;

use rand::SeedableRng;
use tokio::time;

use crate::event;
use crate::member;
use crate::member::keeper::{MemberAction, MemberEvent, MemberKeeper};
use crate::member::message;
use crate::peer;

/// Takes what the membership decides that concerns other slices.
pub trait MemberListener: Send + Sync {
    /// A peer holds a newer configuration.
    fn newer(&self, version: crate::id::DocumentVersion, from: &str);

    /// Another process has this host's name and a later start.
    fn superseded(&self);
}

/// State behind the driver's lock.
struct DriverState {
    keeper: MemberKeeper,
    rng: rand_chacha::ChaCha8Rng,
}

/// Drives the membership of one node.
pub struct MemberDriver {
    state: sync::Mutex<DriverState>,
    post: sync::Arc<peer::PeerEndpoint>,
    view: sync::Arc<member::MemberView>,
    recorder: sync::Arc<event::EventRecorder>,
    listener: sync::OnceLock<sync::Weak<dyn MemberListener>>,
}

impl MemberDriver {
    /// Creates the driver of a keeper; `seed` makes its choices repeatable.
    pub fn new(
        keeper: MemberKeeper,
        seed: u64,
        post: sync::Arc<peer::PeerEndpoint>,
        view: sync::Arc<member::MemberView>,
        recorder: sync::Arc<event::EventRecorder>,
    ) -> Self {
        view.publish(keeper.alive(), member::RemoteRegions::default());
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        Self {
            state: sync::Mutex::new(DriverState { keeper, rng }),
            post,
            view,
            recorder,
            listener: sync::OnceLock::new(),
        }
    }

    /// Sets the listener; a second one is passed over.
    pub fn listen(&self, listener: sync::Weak<dyn MemberListener>) {
        let _ = self.listener.set(listener);
    }

    /// Gives an event to the keeper and carries out what it decides.
    ///
    /// Returns what it decided but for messages.
    pub fn step(&self, event: MemberEvent, now: time::Instant) -> Vec<MemberAction> {
        let actions = {
            let mut state = self
                .state
                .lock()
                .unwrap_or_else(sync::PoisonError::into_inner);
            let DriverState { keeper, rng } = &mut *state;
            let before = keeper.changes();
            let actions = keeper.handle(event, now, rng);
            if keeper.changes() != before {
                self.view.publish(keeper.alive(), keeper.remote());
            }
            actions
        };
        let (sends, news): (Vec<_>, Vec<_>) = actions
            .into_iter()
            .partition(|action| matches!(action, MemberAction::Send { .. }));
        sends.into_iter().for_each(|send| self.carry_out(send));
        news.iter()
            .cloned()
            .for_each(|action| self.carry_out(action));
        news
    }

    fn carry_out(&self, action: MemberAction) {
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
            MemberAction::Newer { version, from } => {
                if let Some(listener) = listener {
                    listener.newer(version, &from);
                }
            }
            MemberAction::Raised(incarnation) => self.post.raise_incarnation(incarnation),
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
        if let Ok(body) = postcard::to_stdvec(message) {
            let kind = peer::MessageKind::Membership;
            self.post.send_to(to, receiver, kind, &body);
        }
    }
}

impl MemberDriver {
    /// Takes the body of a message of kind Membership, as [`Self::step`] does.
    pub fn hear(&self, sender: &str, body: &[u8], now: time::Instant) -> Vec<MemberAction> {
        // What a later release added is not understood and dropped.
        let Ok(message) = postcard::from_bytes::<message::MemberMessage>(body) else {
            return Vec::new();
        };
        let sender = sender.to_owned();
        let message = Box::new(message);
        self.step(MemberEvent::Heard { sender, message }, now)
    }
}

/// Starts the membership of a node; the driver hears what the post receives.
pub fn start(
    record: member::MemberRecord,
    seeds: Vec<std::net::SocketAddr>,
    post: &sync::Arc<peer::PeerEndpoint>,
    view: &sync::Arc<member::MemberView>,
    recorder: &sync::Arc<event::EventRecorder>,
) -> sync::Arc<MemberDriver> {
    let seed = record.incarnation;
    let keeper = MemberKeeper::new(record, seeds, time::Instant::now());
    let driver = sync::Arc::new(MemberDriver::new(
        keeper,
        seed,
        sync::Arc::clone(post),
        sync::Arc::clone(view),
        sync::Arc::clone(recorder),
    ));
    post.register(peer::MessageKind::Membership, driver.clone());
    driver
}

impl peer::MessageHandler for MemberDriver {
    fn handle(&self, sender: &str, body: &[u8]) {
        self.hear(sender, body, time::Instant::now());
    }
}
