//! Exchange of the records of requests that crash runners.
//!
//! A node tells its leader which runners died under requests that it could not
//! answer; leaders tell each other and the nodes of their domains. Messages may
//! be lost and nodes may be cut off or start late, so each node also compares a
//! digest of its records with its leader, and leaders compare theirs.

use std::convert;
use std::sync;
use std::time as std_time;

use arbutusfold_platform::store;
use derive_more::Display;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::event;
use crate::gateway::claim;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::leader;
use crate::gateway::replication;
use crate::gateway::suspect_store;
use crate::gateway::trial;
use crate::gateway::versions;
use crate::id;
use crate::member;
use crate::peer;
use crate::suspect;
use crate::suspect::ledger;

/// Time for which changes are collected before they are sent. A runner dies
/// under many requests at once.
pub const COLLECT_TIME: std_time::Duration = std_time::Duration::from_millis(20);

/// Time between two comparisons with another node, as a fraction of the time
/// limit for detecting a lost dependency. It leaves room for a lost message.
const COMPARE_FRACTION: f64 = 0.25;

/// Time between two requests for the records of peers.
const ASK_PERIOD: std_time::Duration = std_time::Duration::from_millis(50);

/// Time that peers have to answer before the store is read.
const PEER_HEAD_START: std_time::Duration = std_time::Duration::from_millis(150);

/// Message about requests that crash runners.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum LedgerMessage {
    /// Records that changed at the sender.
    Changed(Vec<ledger::SuspectRecord>),
    /// Digest of the sender's shared records; a node with another one replies.
    Digest(u64),
    /// Reply to a digest.
    Records {
        /// Shared records of the sender.
        records: Vec<ledger::SuspectRecord>,
        /// Digest of the sender's shared records.
        digest: u64,
    },
    /// The store holds records with this digest in the row with this version.
    Stored {
        /// Version of the row.
        version: store::RowVersion,
        /// Digest of the records.
        digest: u64,
    },
    /// Asks the node that issues the permits for trials of a request for one.
    Claim {
        /// Fingerprint of the request.
        fingerprint: suspect::RequestFingerprint,
        /// Number of the claim at its sender.
        claim: claim::ClaimNumber,
    },
    /// Grants a claim.
    Granted {
        /// Fingerprint of the request.
        fingerprint: suspect::RequestFingerprint,
        /// Number of the claim at its sender.
        claim: claim::ClaimNumber,
    },
    /// Returns a permit that was not used.
    Returned(suspect::RequestFingerprint),
    /// The trial under a permit is over, and its outcome is recorded.
    Ended(suspect::RequestFingerprint),
    /// Asks for the shared records, from a node that has just started.
    Request,
    /// Shared records of a node that knows those of the fleet.
    Known(Vec<ledger::SuspectRecord>),
}

/// Where a record came from.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RecordSource<'a> {
    /// A request at this node.
    #[display("own")]
    Own,
    /// The store.
    #[display("store")]
    Store,
    /// Another node.
    #[display("{_0}")]
    Peer(&'a str),
}

/// Records the crashes of a request that ended without an answer, and tells
/// the other nodes.
pub fn record_crashes(
    core: &core::GatewayCore,
    fingerprint: &suspect::RequestFingerprint,
    crashes: &[ledger::CrashRecord],
) {
    let change = lock(&core.suspects).record(fingerprint, crashes, time::Instant::now());
    if change != ledger::LedgerChange::None {
        note_change(core, fingerprint, change, RecordSource::Own);
        tell(core, fingerprint);
    }
}

/// Clears the record of a request that was answered, and tells the other nodes.
pub fn clear(core: &core::GatewayCore, fingerprint: &suspect::RequestFingerprint) {
    if lock(&core.suspects).clear(fingerprint, time::Instant::now()) {
        let subject = suspect::fingerprint_text(fingerprint);
        core.note(event::EventCode::SuspectCleared, &subject, "answered");
        note_cleared(core, fingerprint);
        tell(core, fingerprint);
    }
}

/// Lets the requests go on that wait for the trial of another one.
fn note_cleared(core: &core::GatewayCore, fingerprint: &suspect::RequestFingerprint) {
    trial::take_back(core, fingerprint);
    core.suspects_cleared.notify_waiters();
}

/// Waits until an answer clears the recorded crashes of a request.
pub async fn wait_until_cleared(
    core: &core::GatewayCore,
    fingerprint: &suspect::RequestFingerprint,
) {
    loop {
        core.suspects_cleared.notified().await;
        if !lock(&core.suspects).is_suspect(fingerprint) {
            return;
        }
    }
}

/// Learns the records of the fleet after the start of this node, from a peer or
/// from the store. Gives up after the time in which a peer or the store has to
/// be reached.
pub async fn learn(core: sync::Arc<core::GatewayCore>) {
    let mut known = core.suspects_known.subscribe();
    let source = tokio::select! {
        _ = known.wait_for(|known| *known) => return,
        never = ask_peers(&core) => match never {},
        () = read_store(&core) => "store",
        () = time::sleep(core.settings.contact_ms) => "nobody",
    };
    note_known(&core, source);
}

/// Asks some peers for their records again and again. Never returns.
async fn ask_peers(core: &core::GatewayCore) -> convert::Infallible {
    loop {
        let peers = core.few_peers();
        peers
            .iter()
            .for_each(|peer| send(core, peer, &LedgerMessage::Request));
        time::sleep(ASK_PERIOD).await;
    }
}

/// Reads the store after the time that peers need to answer.
async fn read_store(core: &core::GatewayCore) {
    loop {
        time::sleep(PEER_HEAD_START).await;
        if suspect_store::load(core).await.is_some() {
            return;
        }
    }
}

fn note_known(core: &core::GatewayCore, source: &str) {
    let was_known = core.suspects_known.send_replace(true);
    if !was_known {
        let records = lock(&core.suspects).len();
        let detail = format!("known from={source} records={records}");
        core.note(
            event::EventCode::SuspectsStored,
            &core.settings.name,
            detail,
        );
    }
}

/// Sends changes and compares records with other nodes. Never returns.
pub async fn run(core: sync::Arc<core::GatewayCore>) {
    let period = core.settings.contact_ms.mul_f64(COMPARE_FRACTION);
    let mut ticks = time::interval(period);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut turn = 0;
    loop {
        tokio::select! {
            () = core.suspects_changed.notified() => {
                time::sleep(COLLECT_TIME).await;
                send_changes(&core);
            }
            now = ticks.tick() => {
                lock(&core.suspects).expire(now);
                turn += 1;
                if let Some(peer) = choose_peer(&core, turn) {
                    let digest = lock(&core.suspects).digest();
                    send(&core, &peer, &LedgerMessage::Digest(digest));
                }
            }
        }
    }
}

/// Handles the messages about requests that crash runners.
pub struct LedgerHandler {
    core: sync::Arc<core::GatewayCore>,
}

impl LedgerHandler {
    /// Creates the handler of a node.
    pub fn new(core: sync::Arc<core::GatewayCore>) -> Self {
        Self { core }
    }
}

impl peer::MessageHandler for LedgerHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        // Messages that a later release added cannot be decoded and are dropped.
        let Ok((message, eras)) = versions::decode_eras::<LedgerMessage>(body) else {
            return;
        };
        let core = &self.core;
        match message {
            LedgerMessage::Changed(records) => {
                merge(core, &records, RecordSource::Peer(sender));
            }
            LedgerMessage::Digest(digest) => {
                let own = lock(&core.suspects).digest();
                if own != digest {
                    let records = shared_records(core);
                    let reply = LedgerMessage::Records {
                        records,
                        digest: own,
                    };
                    send(core, sender, &reply);
                }
            }
            LedgerMessage::Records { records, digest } => {
                merge(core, &records, RecordSource::Peer(sender));
                // The sender may lack records of this node.
                if lock(&core.suspects).digest() != digest {
                    let records = shared_records(core);
                    send(core, sender, &LedgerMessage::Changed(records));
                }
            }
            LedgerMessage::Stored {
                mut version,
                digest,
            } => {
                version.era = eras.first().copied().unwrap_or(0);
                let is_current = version.era == core.store_era();
                if is_current && lock(&core.suspects).digest() == digest {
                    let stored = suspect_store::StoredLedger { version, digest };
                    *lock(&core.suspects_stored) = Some(stored);
                }
            }
            LedgerMessage::Claim { fingerprint, claim } => {
                if trial::issue(core, &fingerprint) {
                    let granted = LedgerMessage::Granted { fingerprint, claim };
                    send(core, sender, &granted);
                }
            }
            LedgerMessage::Granted { fingerprint, claim } => {
                if !lock(&core.trials).claims.resolve(claim, ()) {
                    send(core, sender, &LedgerMessage::Returned(fingerprint));
                }
            }
            LedgerMessage::Returned(fingerprint) => trial::take_back(core, &fingerprint),
            LedgerMessage::Ended(fingerprint) => trial::end(core, &fingerprint),
            LedgerMessage::Request => {
                if *core.suspects_known.borrow() {
                    // It arrives first: a node that has the records is ready to serve.
                    replication::send_document(core, sender);
                    let records = shared_records(core);
                    send(core, sender, &LedgerMessage::Known(records));
                }
            }
            LedgerMessage::Known(records) => {
                merge(core, &records, RecordSource::Peer(sender));
                note_known(core, sender);
            }
        }
    }
}

fn shared_records(core: &core::GatewayCore) -> Vec<ledger::SuspectRecord> {
    lock(&core.suspects).shared(time::Instant::now())
}

/// Merges records of another node or of the store, forwards those that were news
/// and sends a node what it has missed.
pub fn merge(
    core: &core::GatewayCore,
    records: &[ledger::SuspectRecord],
    source: RecordSource<'_>,
) {
    let now = time::Instant::now();
    let (mut news, mut outdated) = (Vec::new(), Vec::new());
    for record in records {
        let change = lock(&core.suspects).merge(record, now);
        match change {
            ledger::LedgerChange::None => {}
            ledger::LedgerChange::Outdated => {
                outdated.extend(lock(&core.suspects).get(&record.fingerprint, now));
            }
            ledger::LedgerChange::Recorded | ledger::LedgerChange::Quarantined => {
                note_change(core, &record.fingerprint, change, source);
                if record.crashes.is_empty() {
                    note_cleared(core, &record.fingerprint);
                }
                news.push(record.clone());
            }
        }
    }
    if !news.is_empty() {
        core.suspects_unstored.notify_one();
    }
    if let RecordSource::Peer(sender) = source {
        send_records(core, &[sender.to_owned()], outdated);
    }
    send_records(core, &receivers(core, source), news);
}

/// Logs a change. Changes from other nodes are logged there, so only those that
/// make a difference here are logged.
fn note_change(
    core: &core::GatewayCore,
    fingerprint: &suspect::RequestFingerprint,
    change: ledger::LedgerChange,
    source: RecordSource<'_>,
) {
    let is_quarantined = change == ledger::LedgerChange::Quarantined;
    if source != RecordSource::Own && !is_quarantined {
        return;
    }
    let Some(record) = lock(&core.suspects).get(fingerprint, time::Instant::now()) else {
        return;
    };
    let runners: Vec<_> = record
        .crashes
        .iter()
        .map(|record| record.crash.upstream.as_str())
        .collect();
    let detail = format!(
        "from={source} crashes={} quarantined={is_quarantined} age_ms={} runners={}",
        record.crashes.len(),
        record.age.as_millis(),
        runners.join(",")
    );
    let subject = suspect::fingerprint_text(fingerprint);
    core.note(event::EventCode::SuspectRecorded, &subject, detail);
}

fn tell(core: &core::GatewayCore, fingerprint: &suspect::RequestFingerprint) {
    lock(&core.suspects_untold).push(*fingerprint);
    core.suspects_changed.notify_one();
    core.suspects_unstored.notify_one();
}

/// Tells the other leaders what the store holds.
pub fn tell_stored(core: &core::GatewayCore, stored: suspect_store::StoredLedger) {
    let members = core.members.alive();
    let message = LedgerMessage::Stored {
        version: stored.version,
        digest: stored.digest,
    };
    let Ok(body) = versions::encode_eras(&message, &[stored.version.era]) else {
        return;
    };
    let others = other_leaders(core, &leader::leaders(&members));
    let kind = peer::MessageKind::Suspect;
    others.iter().for_each(|to| core.post.send(to, kind, &body));
}

fn send_changes(core: &core::GatewayCore) {
    let mut changed = std::mem::take(&mut *lock(&core.suspects_untold));
    changed.sort_unstable();
    changed.dedup();
    let now = time::Instant::now();
    let records: Vec<_> = {
        let suspects = lock(&core.suspects);
        let records = changed.iter().filter_map(|key| suspects.get(key, now));
        records.collect()
    };
    send_records(core, &receivers(core, RecordSource::Own), records);
}

fn send_records(
    core: &core::GatewayCore,
    receivers: &[id::HostName],
    records: Vec<ledger::SuspectRecord>,
) {
    if records.is_empty() {
        return;
    }
    let message = LedgerMessage::Changed(records);
    receivers.iter().for_each(|to| send(core, to, &message));
}

/// Returns the nodes that a change is sent to: the leader, or for a leader the
/// nodes of its domain and the other leaders, but not the node it came from.
pub(crate) fn receivers(core: &core::GatewayCore, source: RecordSource<'_>) -> Vec<id::HostName> {
    let sender = match source {
        RecordSource::Peer(sender) => Some(sender),
        RecordSource::Own | RecordSource::Store => None,
    };
    let members = core.members.alive();
    let leaders = leader::leaders(&members);
    let (name, domain) = (&core.settings.name, &core.settings.domain);
    let own_leader = leaders.iter().find(|record| record.domain == *domain);
    if let Some(record) = own_leader.filter(|record| record.name != *name) {
        let is_news = sender != Some(record.name.as_str());
        return is_news.then(|| record.name.clone()).into_iter().collect();
    }
    let peers = core.domain_peers(&members);
    let mut receivers: Vec<_> = peers.map(|record| record.name.clone()).collect();
    // Other leaders tell their own domains and nobody else.
    if sender.is_none_or(|sender| receivers.iter().any(|name| name == sender)) {
        receivers.extend(other_leaders(core, &leaders));
    }
    receivers.retain(|name| Some(name.as_str()) != sender);
    receivers
}

/// Returns the leaders of the other domains and the known nodes of other regions.
fn other_leaders(core: &core::GatewayCore, leaders: &[&member::MemberRecord]) -> Vec<id::HostName> {
    let others = leaders
        .iter()
        .filter(|record| record.domain != core.settings.domain)
        .map(|record| record.name.clone());
    let remote = core.members.remote_contacts().into_iter();
    others.chain(remote.map(|contact| contact.host)).collect()
}

/// Returns the node to compare records with: the leader, or for a leader each of
/// the others in turn.
fn choose_peer(core: &core::GatewayCore, turn: usize) -> Option<id::HostName> {
    let members = core.members.alive();
    let leaders = leader::leaders(&members);
    let (name, domain) = (&core.settings.name, &core.settings.domain);
    let own_leader = leaders.iter().find(|record| record.domain == *domain);
    if let Some(record) = own_leader.filter(|record| record.name != *name) {
        return Some(record.name.clone());
    }
    let others = other_leaders(core, &leaders);
    (!others.is_empty()).then(|| others[turn % others.len()].clone())
}

/// Sends a message about requests that crash runners to a node.
pub(crate) fn send(core: &core::GatewayCore, to: &str, message: &LedgerMessage) {
    core.send_message(to, peer::MessageKind::Suspect, message);
}
