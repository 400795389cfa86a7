//! Background loops of the configuration: messages between peers, and polls of the
//! table service.

use std::collections;
use std::net;
use std::sync;
use std::time as std_time;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time;

use super::{ANNOUNCE_FANOUT, ConfigManager, OutboundMessage};
use crate::id;
use crate::member;
use crate::node;
use crate::peer;

/// Maximum number of queued messages from peers; further ones are dropped.
const RECEIVE_BUFFER_MESSAGES: usize = 256;

/// Time between two checks of the versions that peers report as active.
const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Nodes of other regions that are notified of a new active document.
const REMOTE_ANNOUNCE_FANOUT: usize = 2;

/// Maximum number of senders whose addresses are kept for replies.
const SENDER_LIMIT: usize = 64;

/// Message between two managers with the address of the sender, to which a receiver
/// in another region can reply.
#[derive(Debug, Serialize, Deserialize)]
struct ConfigEnvelope {
    address: net::SocketAddr,
    incarnation: id::IncarnationNumber,
    message: Vec<u8>,
}

/// Encoded [`ConfigEnvelope`] from a peer.
struct ReceivedMessage {
    from: id::HostName,
    body: Vec<u8>,
}

/// Addresses of the most recent senders.
#[derive(Default)]
struct SenderCache {
    senders: collections::VecDeque<member::PeerContact>,
}

impl SenderCache {
    fn insert(&mut self, host: &str, envelope: &ConfigEnvelope) {
        self.senders.retain(|known| known.host != host);
        self.senders.push_back(member::PeerContact {
            host: host.to_owned(),
            address: envelope.address,
            incarnation: envelope.incarnation,
        });
        if self.senders.len() > SENDER_LIMIT {
            self.senders.pop_front();
        }
    }

    fn find(&self, host: &str) -> Option<member::PeerContact> {
        let mut senders = self.senders.iter();
        senders.find(|known| known.host == host).cloned()
    }
}

/// Queues messages for the loop, because a large document takes long to check.
struct ConfigHandler {
    sender: mpsc::Sender<ReceivedMessage>,
}

impl peer::MessageHandler for ConfigHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        let message = ReceivedMessage {
            from: sender.to_owned(),
            body: body.to_vec(),
        };
        // A message that does not fit is dropped; requests are repeated after a timeout.
        let _ = self.sender.try_send(message);
    }
}

/// Runs the loops of the configuration until the task is aborted.
pub async fn run(core: sync::Arc<node::NodeCore>) {
    let (sender, received) = mpsc::channel(RECEIVE_BUFFER_MESSAGES);
    let handler = sync::Arc::new(ConfigHandler { sender });
    core.endpoint.register(peer::MessageKind::Config, handler);
    tokio::join!(
        exchange_messages(&core, received),
        refresh(&core),
        apply_changes(&core)
    );
}

async fn exchange_messages(core: &node::NodeCore, mut received: mpsc::Receiver<ReceivedMessage>) {
    let mut ticks = time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut senders = SenderCache::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => observe_versions(core),
            () = core.config.outbound_ready() => {}
            message = received.recv() => {
                let Some(message) = message else { return };
                receive(core, &mut senders, &message);
            }
        }
        for message in core.config.take_outbound() {
            send(core, &senders, message);
        }
    }
}

fn receive(core: &node::NodeCore, senders: &mut SenderCache, message: &ReceivedMessage) {
    let Ok(envelope) = postcard::from_bytes::<ConfigEnvelope>(&message.body) else {
        return;
    };
    senders.insert(&message.from, &envelope);
    let now = time::Instant::now();
    core.config.receive(&message.from, &envelope.message, now);
}

fn observe_versions(core: &node::NodeCore) {
    let now = time::Instant::now();
    let active = core.config.version();
    for member in core.members.alive() {
        if member.version > active {
            core.config
                .observe_version(&member.name, member.version, now);
        }
    }
    core.config.tick(now);
}

fn send(core: &node::NodeCore, senders: &SenderCache, outbound: OutboundMessage) {
    let envelope = ConfigEnvelope {
        address: core.settings.peers,
        incarnation: core.endpoint.incarnation(),
        message: outbound.message,
    };
    let Ok(body) = postcard::to_stdvec(&envelope) else {
        return;
    };
    let targets = match &outbound.to {
        Some(to) => find_contact(core, senders, to).into_iter().collect(),
        None => announce_targets(core),
    };
    for target in targets {
        let kind = peer::MessageKind::Config;
        core.endpoint
            .send_to(target.address, target.incarnation, kind, &body);
    }
}

/// Returns the address of a host.
///
/// A host without a known address is taken for one of another region; a random known
/// host of other regions is returned instead, because most nodes of a region hold the
/// same version.
fn find_contact(
    core: &node::NodeCore,
    senders: &SenderCache,
    host: &str,
) -> Option<member::PeerContact> {
    let remote = || core.members.remote_contacts();
    core.members
        .contact(host)
        .or_else(|| remote().into_iter().find(|contact| contact.host == host))
        .or_else(|| senders.find(host))
        .or_else(|| remote().choose(&mut rand::rng()).cloned())
}

fn announce_targets(core: &node::NodeCore) -> Vec<member::PeerContact> {
    let local: Vec<_> = core
        .members
        .contacts()
        .into_iter()
        .filter(|contact| contact.host != core.settings.name)
        .collect();
    let remote = core.members.remote_contacts();
    let mut random = rand::rng();
    let chosen_local = local.sample(&mut random, ANNOUNCE_FANOUT).cloned();
    let mut chosen: Vec<_> = chosen_local.collect();
    chosen.extend(remote.sample(&mut random, REMOTE_ANNOUNCE_FANOUT).cloned());
    chosen
}

async fn refresh(core: &node::NodeCore) {
    loop {
        // During an outage of the table service the last document stays active.
        let _ = core.config.refresh().await;
        let nodes = core.members.fleet_size();
        let period = ConfigManager::refresh_period(nodes);
        // The jitter spreads the polls of nodes that were started together.
        let jitter = rand::random_range(0.75..1.25);
        time::sleep(period.mul_f64(jitter)).await;
    }
}

async fn apply_changes(core: &node::NodeCore) {
    let mut documents = core.config.watch();
    // A document may have become active before the receiver was created.
    documents.mark_changed();
    while documents.changed().await.is_ok() {
        let Some(active) = documents.borrow_and_update().clone() else {
            continue;
        };
        // Versions stay far below the maximum value of a gauge.
        core.metrics
            .config_version
            .set(active.version.cast_signed());
        core.members.set_shares(member::shares(&active.document));
    }
}
