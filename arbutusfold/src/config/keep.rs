//! The loops that keep a node's configuration: messages of peers and the store.

use std::sync;
use std::time as std_time;

use rand::seq::IndexedRandom;
use tokio::sync::mpsc;
use tokio::time;

use super::{ANNOUNCE_PEERS, ConfigKeeper, ConfigPost};
use crate::member;
use crate::node;
use crate::peer;

/// Messages of peers that may wait before more are dropped.
const RECEIVE_BUFFER_MESSAGES: usize = 256;

/// Time between two looks at what peers said they have in force.
const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// A message of a peer's keeper.
struct HeardMessage {
    from: String,
    body: Vec<u8>,
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
    core.post.register(peer::MessageKind::Config, handler);
    tokio::join!(
        exchange(&core, received),
        refresh(&core),
        note_changes(&core)
    );
}

async fn exchange(core: &node::NodeCore, mut received: mpsc::Receiver<HeardMessage>) {
    let mut ticks = time::interval(TICK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    loop {
        tokio::select! {
            _ = ticks.tick() => hear_versions(core),
            () = core.config.posted() => {}
            message = received.recv() => {
                let Some(message) = message else { return };
                core.config.hear(&message.from, &message.body, time::Instant::now());
            }
        }
        for post in core.config.take_posts() {
            send(core, &post);
        }
    }
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

fn send(core: &node::NodeCore, post: &ConfigPost) {
    let kind = peer::MessageKind::Config;
    if let Some(to) = &post.to {
        core.post.post(to, kind, &post.message);
        return;
    }
    let contacts = core.members.contacts();
    let others: Vec<_> = contacts
        .iter()
        .filter(|contact| contact.host != core.settings.name)
        .collect();
    for contact in others.sample(&mut rand::rng(), ANNOUNCE_PEERS) {
        core.post.post(&contact.host, kind, &post.message);
    }
}

async fn refresh(core: &node::NodeCore) {
    loop {
        // During an outage the last document stays in force.
        let _ = core.config.refresh().await;
        let nodes = core.members.contacts().len();
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
        core.members.set_shares(member::shares(&held.document));
    }
}
