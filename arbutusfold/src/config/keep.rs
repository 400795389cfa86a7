//! The loops that keep a node's configuration: messages of peers and the store.

use std::collections;
use std::net;
use std::sync;
use std::time as std_time;

use rand::seq::IndexedRandom;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;
use tokio::time;

use super::{ANNOUNCE_PEERS, ConfigKeeper, ConfigPost};
use crate::id;
use crate::member;
use crate::node;
use crate::peer;

/// Messages of peers that may wait before more are dropped.
const RECEIVE_BUFFER_MESSAGES: usize = 256;

/// Time between two looks at what peers said they have in force.
const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Known nodes of other regions that are told as well.
const ANNOUNCE_REMOTE: usize = 2;

/// Senders of other regions that are remembered to be answered.
const SENDER_LIMIT: usize = 64;

/// A message between keepers, with the way back for one of another region.
#[derive(Debug, Serialize, Deserialize)]
struct CarriedMessage {
    address: net::SocketAddr,
    incarnation: id::IncarnationNumber,
    message: Vec<u8>,
}

/// A message of a peer's keeper.
struct HeardMessage {
    from: id::HostName,
    body: Vec<u8>,
}

/// Where the latest senders are reached.
#[derive(Default)]
struct SenderBook {
    senders: collections::VecDeque<member::PeerContact>,
}

impl SenderBook {
    fn note(&mut self, host: &str, carried: &CarriedMessage) {
        self.senders.retain(|known| known.host != host);
        self.senders.push_back(member::PeerContact {
            host: host.to_owned(),
            address: carried.address,
            incarnation: carried.incarnation,
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

/// Hands messages over to the loop, since a large document takes long to check.
struct ConfigHandler {
    sender: mpsc::Sender<HeardMessage>,
}

impl peer::MessageHandler for ConfigHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        let message = HeardMessage {
            from: sender.to_owned(),
            body: body.to_vec(),
        };
        // What does not fit is asked for again.
        let _ = self.sender.try_send(message);
    }
}

/// Keeps the configuration of a node until its task is aborted.
pub async fn run(core: sync::Arc<node::NodeCore>) {
    let (sender, received) = mpsc::channel(RECEIVE_BUFFER_MESSAGES);
    let handler = sync::Arc::new(ConfigHandler { sender });
    core.endpoint.register(peer::MessageKind::Config, handler);
    tokio::join!(
        exchange(&core, received),
        refresh(&core),
        note_changes(&core)
    );
}

async fn exchange(core: &node::NodeCore, mut received: mpsc::Receiver<HeardMessage>) {
    let mut ticks = time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut senders = SenderBook::default();
    loop {
        tokio::select! {
            _ = ticks.tick() => hear_versions(core),
            () = core.config.posted() => {}
            message = received.recv() => {
                let Some(message) = message else { return };
                hear(core, &mut senders, &message);
            }
        }
        for post in core.config.take_posts() {
            send(core, &senders, post);
        }
    }
}

fn hear(core: &node::NodeCore, senders: &mut SenderBook, heard: &HeardMessage) {
    let Ok(carried) = postcard::from_bytes::<CarriedMessage>(&heard.body) else {
        return;
    };
    senders.note(&heard.from, &carried);
    let now = time::Instant::now();
    core.config.hear(&heard.from, &carried.message, now);
}

fn hear_versions(core: &node::NodeCore) {
    let now = time::Instant::now();
    let held = core.config.version();
    for member in core.members.alive() {
        if member.version > held {
            core.config.hear_version(&member.name, member.version, now);
        }
    }
    core.config.tick(now);
}

fn send(core: &node::NodeCore, senders: &SenderBook, post: ConfigPost) {
    let carried = CarriedMessage {
        address: core.settings.peers,
        incarnation: core.endpoint.incarnation(),
        message: post.message,
    };
    let Ok(body) = postcard::to_stdvec(&carried) else {
        return;
    };
    let targets = match &post.to {
        Some(to) => find(core, senders, to).into_iter().collect(),
        None => announced(core),
    };
    for target in targets {
        let kind = peer::MessageKind::Config;
        core.endpoint
            .send_to(target.address, target.incarnation, kind, &body);
    }
}

/// Returns where a host is reached.
///
/// A host of another region that is not known gives way to one that is: most
/// nodes of a region hold the same version.
fn find(core: &node::NodeCore, senders: &SenderBook, host: &str) -> Option<member::PeerContact> {
    let remote = || core.members.remote_contacts();
    core.members
        .contact(host)
        .or_else(|| remote().into_iter().find(|contact| contact.host == host))
        .or_else(|| senders.find(host))
        .or_else(|| remote().choose(&mut rand::rng()).cloned())
}

fn announced(core: &node::NodeCore) -> Vec<member::PeerContact> {
    let near: Vec<_> = core
        .members
        .contacts()
        .into_iter()
        .filter(|contact| contact.host != core.settings.name)
        .collect();
    let far = core.members.remote_contacts();
    let mut random = rand::rng();
    let near = near.sample(&mut random, ANNOUNCE_PEERS).cloned();
    let mut chosen: Vec<_> = near.collect();
    chosen.extend(far.sample(&mut random, ANNOUNCE_REMOTE).cloned());
    chosen
}

async fn refresh(core: &node::NodeCore) {
    loop {
        // During an outage the last document stays in force.
        let _ = core.config.refresh().await;
        let nodes = core.members.fleet_size();
        let period = ConfigKeeper::refresh_period(nodes);
        // Nodes that started together drift apart.
        let spread = rand::random_range(0.75..1.25);
        time::sleep(period.mul_f64(spread)).await;
    }
}

async fn note_changes(core: &node::NodeCore) {
    let mut documents = core.config.watch();
    // The first document may be there already.
    documents.mark_changed();
    while documents.changed().await.is_ok() {
        let Some(held) = documents.borrow_and_update().clone() else {
            continue;
        };
        // Versions stay far below the largest number of a gauge.
        core.metrics.config_version.set(held.version.cast_signed());
        core.members.set_shares(member::shares(&held.document));
    }
}
