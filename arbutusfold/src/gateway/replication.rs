//! Replication of store rows between nodes.
//!
//! A leader that receives changed rows forwards them to the nodes of its
//! failure domain, which pass them on along a tree: a large document would
//! occupy the leader's link for seconds. The messages of leaders and of the
//! membership also carry the versions of the sender's copies, and a node that
//! lacks rows requests them.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::store;
use bytes::Bytes;
use derive_more::Display;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::leader;
use crate::gateway::mirror;
use crate::gateway::versions;
use crate::id;
use crate::member;
use crate::peer;

/// Time that new rows have to arrive unasked before they are requested.
const LEADER_HEAD_START: std_time::Duration = std_time::Duration::from_millis(300);

/// Shortest time between two row requests of a node, so that a large answer can
/// arrive before the next request.
const REQUEST_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);

/// Nodes to which each node of the tree sends rows.
const RELAY_FANOUT: usize = 3;

/// Maximum size of unpacked rows in bytes.
const UNPACKED_LIMIT_BYTES: usize = 16 << 20;

/// A message of the row replication.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// Requests the changes after these versions, one for each table.
    Request(Vec<store::RowVersion>),
    /// Rows of one table.
    Rows {
        /// Index of the table in [`store::WatchedTable::ALL`].
        table: usize,
        /// Part of the table that the rows make up.
        extent: RowExtent,
        /// The rows.
        rows: Vec<mirror::MirrorRow>,
    },
    /// Rows that the receiver merges and passes on.
    Relay {
        /// [`Self::Rows`] or [`Self::Document`], compressed.
        packed: Bytes,
        /// Nodes that get the rows from the receiver.
        receivers: Vec<id::HostName>,
        /// Time in milliseconds since the start of the leader's latest failed
        /// call to the store, if it read the rows right after an outage, which
        /// may have removed the entries of live runners.
        failed_ms: Option<u32>,
    },
    /// Versions of the sender's copies, sent when they changed.
    Versions(versions::TableVersions),
    /// Row of the document that is in force at the sender and that the store lost. It is
    /// no part of a copy of the table.
    Document(mirror::MirrorRow),
}

impl MirrorMessage {
    /// Encodes the message, followed by the eras of its versions.
    ///
    /// # Errors
    ///
    /// [`postcard::Error`] if the message cannot be encoded.
    pub fn encode(&self) -> postcard::Result<Vec<u8>> {
        let eras = match self {
            Self::Request(versions) | Self::Versions(versions) => {
                versions.iter().map(|version| version.era).collect()
            }
            Self::Rows { extent, .. } => vec![extent.version().era],
            Self::Document(row) => vec![row.version.era],
            // The packed message names its own.
            Self::Relay { .. } => Vec::new(),
        };
        versions::encode_eras(self, &eras)
    }

    /// Decodes a message and the eras of its versions.
    ///
    /// # Errors
    ///
    /// [`postcard::Error`] if the message cannot be decoded.
    pub fn decode(body: &[u8]) -> postcard::Result<Self> {
        let (mut message, eras) = versions::decode_eras(body)?;
        match &mut message {
            Self::Request(versions) | Self::Versions(versions) => {
                versions::set_eras(versions, &eras);
            }
            Self::Rows { extent, rows, .. } => {
                let era = eras.first().copied().unwrap_or(0);
                extent.version_mut().era = era;
                rows.iter_mut().for_each(|row| row.version.era = era);
            }
            Self::Document(row) => row.version.era = eras.first().copied().unwrap_or(0),
            Self::Relay { .. } => {}
        }
        Ok(message)
    }
}

/// Part of a table that a list of rows makes up.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowExtent {
    /// All rows of the table as of this version.
    #[display("full:{_0}")]
    Full(store::RowVersion),
    /// The rows that changed after this version, all of its era.
    #[display("after:{_0}")]
    After(store::RowVersion),
}

impl RowExtent {
    /// Returns the version that the extent names.
    pub fn version(self) -> store::RowVersion {
        match self {
            Self::Full(version) | Self::After(version) => version,
        }
    }

    fn version_mut(&mut self) -> &mut store::RowVersion {
        match self {
            Self::Full(version) | Self::After(version) => version,
        }
    }
}

/// Requests rows when the membership reports a peer with a higher store
/// version, and stops the node when another process has taken its name.
pub struct MembershipListener {
    core: sync::Arc<core::GatewayCore>,
}

impl MembershipListener {
    /// Creates the listener of a node.
    pub fn new(core: sync::Arc<core::GatewayCore>) -> Self {
        Self { core }
    }
}

impl member::driver::MemberListener for MembershipListener {
    fn newer_config(&self, version: id::DocumentVersion, from: &str) {
        // The sum says nothing about a peer that names the version of each table.
        let now = time::Instant::now();
        if !lock(&self.core.row_lag).is_known(from, now) {
            request_later(&self.core, version, from);
        }
    }

    fn attachment(&self) -> Vec<u8> {
        versions::encode_versions(&self.core.table_versions()).unwrap_or_default()
    }

    fn attached(&self, attachment: &[u8], from: &str) {
        if let Ok(named) = versions::decode_versions(attachment) {
            note_versions(&self.core, named, from);
        }
    }

    fn superseded(&self) {
        if !self.core.is_stopping() {
            self.core.begin_stop();
            let name = &self.core.settings.name;
            self.core.note(event::EventCode::HostSuperseded, name, "");
        }
    }
}

/// Handles the messages of the row replication.
pub struct MirrorHandler {
    core: sync::Arc<core::GatewayCore>,
}

impl MirrorHandler {
    /// Creates the handler of a node.
    pub fn new(core: sync::Arc<core::GatewayCore>) -> Self {
        Self { core }
    }
}

impl peer::MessageHandler for MirrorHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        // Messages that a later release added cannot be decoded and are dropped.
        let Ok(message) = MirrorMessage::decode(body) else {
            return;
        };
        match message {
            MirrorMessage::Request(after) => {
                send_document(&self.core, sender);
                for (index, after) in after.into_iter().enumerate() {
                    let missing = missing_rows(&self.core, index, after);
                    if let Some(packed) = missing.and_then(|missing| pack(&missing)) {
                        relay(&self.core, &packed, &[sender.to_owned()], None);
                    }
                }
            }
            MirrorMessage::Versions(named) => note_versions(&self.core, named, sender),
            MirrorMessage::Relay {
                packed,
                receivers,
                failed_ms,
            } => {
                relay(&self.core, &packed, &receivers, failed_ms);
                self.note_outage(failed_ms);
                if let Some(content) = unpack(&packed) {
                    self.receive(sender, content);
                }
            }
            content => self.receive(sender, content),
        }
    }
}

impl MirrorHandler {
    /// Handles what a message carries; only such messages are packed.
    fn receive(&self, sender: &str, content: MirrorMessage) {
        match content {
            MirrorMessage::Rows {
                table,
                extent,
                rows,
            } => self.receive_rows(sender, table, extent, rows),
            MirrorMessage::Document(row) => self.core.apply_document(&row),
            MirrorMessage::Request(_)
            | MirrorMessage::Relay { .. }
            | MirrorMessage::Versions(_) => {}
        }
    }

    fn receive_rows(
        &self,
        sender: &str,
        table: usize,
        extent: RowExtent,
        rows: Vec<mirror::MirrorRow>,
    ) {
        let Some(table) = store::WatchedTable::ALL.get(table).copied() else {
            return;
        };
        self.core.note_era(extent.version().era, sender);
        let before = self
            .core
            .with_mirror(table, mirror::TableMirror::change_version);
        let newest = rows.iter().map(|row| row.version).max();
        let newest = newest.unwrap_or_default();
        let detail = format!(
            "table={} rows={} newest={newest} extent={extent} before={before} from={sender}",
            table.index(),
            rows.len()
        );
        self.core
            .note(event::EventCode::RowsFromPeer, "store", detail);
        if extent.version().era < self.core.store_era() {
            self.core.apply_older(table, &rows);
        }
        let changed = match extent {
            RowExtent::Full(version) => Some(self.core.replace(table, rows, version)),
            RowExtent::After(after) => self.core.merge_after(table, after, rows),
        };
        match changed {
            // A leader that is cut off from the store gets rows from other leaders.
            Some(changed) => forward_changes(&self.core, table, before, changed),
            // An earlier message was lost.
            None => request_rows(&self.core, sender),
        }
    }

    fn note_outage(&self, failed_ms: Option<u32>) {
        let now = time::Instant::now();
        let age = failed_ms.map(|age| std_time::Duration::from_millis(u64::from(age)));
        if let Some(failed_at) = age.and_then(|age| now.checked_sub(age)) {
            self.core.record_peer_outage(failed_at, now);
        }
    }
}

/// Records the versions that a peer named, and requests the rows that this node
/// lacks, unless they arrive unasked in the meantime.
pub fn note_versions(
    core: &sync::Arc<core::GatewayCore>,
    named: versions::TableVersions,
    peer: &str,
) {
    let known = core.table_versions();
    let now = time::Instant::now();
    if lock(&core.row_lag).note(peer, named, &known, now) {
        let core = sync::Arc::clone(core);
        tokio::spawn(async move {
            time::sleep(head_start(&core)).await;
            request_until_current(&core).await;
        });
    }
}

/// Returns the time that rows have to arrive unasked. A leader that lost the store
/// gets none.
fn head_start(core: &core::GatewayCore) -> std_time::Duration {
    match core.is_leading() && core.is_store_lost() {
        true => std_time::Duration::ZERO,
        false => LEADER_HEAD_START,
    }
}

/// Requests rows from one peer after the other until none has rows that this node
/// lacks.
async fn request_until_current(core: &core::GatewayCore) {
    loop {
        time::sleep(core.rows_request_due(REQUEST_PERIOD)).await;
        let known = core.table_versions();
        let source = lock(&core.row_lag).next_source(&known, time::Instant::now());
        let Some(peer) = source else { return };
        request_rows(core, &peer);
    }
}

/// Requests the rows up to a store version from a peer of the release before, which
/// names a sum of versions, unless they arrive unasked in the meantime.
pub fn request_later(core: &sync::Arc<core::GatewayCore>, version: u64, peer: &str) {
    let (core, peer) = (sync::Arc::clone(core), peer.to_owned());
    tokio::spawn(async move {
        time::sleep(LEADER_HEAD_START).await;
        if core.store_version() < version {
            request_rows(&core, &peer);
        }
    });
}

/// Requests the rows that this node lacks from a peer, at most once in each
/// `REQUEST_PERIOD`.
pub fn request_rows(core: &core::GatewayCore, peer: &str) {
    if core.may_request_rows(REQUEST_PERIOD) {
        let known = core.table_versions();
        let detail = format!("from={peer} known={known:?}");
        core.note(event::EventCode::RowsRequested, "store", detail);
        send(core, peer, &MirrorMessage::Request(known));
    }
}

/// Passes on changes after a version that the store delivered.
///
/// A leader forwards them to its failure domain, and the leaders of other domains
/// learn that it has them. A node that does not lead reads the store only while its
/// leader does not reach it: it tells its whole domain and all leaders that it has
/// them, and whoever lacks them requests them.
pub fn share_changes(
    core: &core::GatewayCore,
    table: store::WatchedTable,
    after: store::RowVersion,
    rows: Vec<mirror::MirrorRow>,
) {
    if rows.is_empty() && core.with_mirror(table, |mirror| mirror.is_in_era_of(after)) {
        return;
    }
    let is_leading = core.is_leading();
    forward_changes(core, table, after, rows);
    let members = core.members.alive();
    let leaders = leader::leaders(&members);
    let domain = &core.settings.domain;
    let others = leaders
        .into_iter()
        .filter(|record| record.domain != *domain);
    let own = core.domain_peers(&members).filter(|_| !is_leading);
    let message = MirrorMessage::Versions(core.table_versions());
    others
        .chain(own)
        .for_each(|record| send(core, &record.name, &message));
}

/// Forwards the changes after a version to the other nodes of the failure
/// domain, if this node leads it. A node that had no rows of the same era before
/// forwards the whole table, as it does not know which rows were removed.
pub fn forward_changes(
    core: &core::GatewayCore,
    table: store::WatchedTable,
    after: store::RowVersion,
    rows: Vec<mirror::MirrorRow>,
) {
    // Rows of a later page are newer than what the copy is complete up to. Peers
    // request them once it is.
    let (complete, is_same_era) = core.with_mirror(table, |mirror| {
        (mirror.complete_version(), mirror.is_in_era_of(after))
    });
    let settled = rows.into_iter().filter(|row| row.version <= complete);
    let rows: Vec<_> = settled.collect();
    let is_whole = after.number == 0 || !is_same_era;
    if (rows.is_empty() && !is_whole) || !core.is_leading() {
        return;
    }
    let has_removals = is_whole || rows.iter().any(|row| row.value.is_none());
    let failed_ms = outage_age_ms(core).filter(|_| has_removals);
    let message = match is_whole {
        true => missing_rows(core, table.index(), after),
        false => Some(MirrorMessage::Rows {
            table: table.index(),
            extent: RowExtent::After(after),
            rows,
        }),
    };
    let members = core.members.alive();
    let receivers = core.domain_peers(&members);
    let mut receivers: Vec<_> = receivers.map(|record| record.name.clone()).collect();
    // A node that fails to pass rows on is not above the same others next time.
    receivers.shuffle(&mut rand::rng());
    if let Some(packed) = message.and_then(|message| pack(&message)) {
        relay(core, &packed, &receivers, failed_ms);
    }
}

/// Sends rows to the first node of each branch of the tree, which passes them on
/// to the rest of it.
fn relay(
    core: &core::GatewayCore,
    packed: &Bytes,
    receivers: &[id::HostName],
    failed_ms: Option<u32>,
) {
    let branch_size = receivers.len().div_ceil(RELAY_FANOUT).max(1);
    for branch in receivers.chunks(branch_size) {
        let [first, rest @ ..] = branch else { continue };
        let message = MirrorMessage::Relay {
            packed: packed.clone(),
            receivers: rest.to_vec(),
            failed_ms,
        };
        send(core, first, &message);
    }
}

fn pack(message: &MirrorMessage) -> Option<Bytes> {
    let plain = message.encode().ok()?;
    Some(lz4_flex::compress_prepend_size(&plain).into())
}

/// Returns the message that was packed, or `None` if it is too long or damaged.
fn unpack(packed: &[u8]) -> Option<MirrorMessage> {
    let (size, _) = lz4_flex::block::uncompressed_size(packed).ok()?;
    if size > UNPACKED_LIMIT_BYTES {
        return None;
    }
    let plain = lz4_flex::decompress_size_prepended(packed).ok()?;
    MirrorMessage::decode(&plain).ok()
}

/// Returns the time since the start of the latest failed call to the store, if
/// removals are held because of it.
fn outage_age_ms(core: &core::GatewayCore) -> Option<u32> {
    let now = time::Instant::now();
    let outage = core.outage()?;
    outage.grace_end(core.settings.contact_ms, now)?;
    let age = now.saturating_duration_since(outage.failed_at);
    u32::try_from(age.as_millis()).ok()
}

/// Returns the rows of a table that a peer lacks whose copy ends at version
/// `after`, or `None` if it lacks none.
fn missing_rows(
    core: &core::GatewayCore,
    index: usize,
    after: store::RowVersion,
) -> Option<MirrorMessage> {
    let table = store::WatchedTable::ALL.get(index).copied()?;
    core.with_mirror(table, |mirror| {
        if !mirror.is_complete() || mirror.change_version() <= after {
            return None;
        }
        let changed = mirror.changes_after(after).filter(|_| after.number > 0);
        Some(match changed {
            Some(rows) => MirrorMessage::Rows {
                table: index,
                extent: RowExtent::After(after),
                rows,
            },
            None => MirrorMessage::Rows {
                table: index,
                extent: RowExtent::Full(mirror.complete_version()),
                rows: mirror.rows().cloned().collect(),
            },
        })
    })
}

/// Sends a peer the document in force if the store lost it: the peer may have read the
/// store only, and callers would get what an earlier document said until the operator
/// has written the latest one again.
pub fn send_document(core: &core::GatewayCore, to: &str) {
    let message = core.unstored_document().map(MirrorMessage::Document);
    if let Some(packed) = message.and_then(|message| pack(&message)) {
        relay(core, &packed, &[to.to_owned()], None);
    }
}

fn send(core: &core::GatewayCore, to: &str, message: &MirrorMessage) {
    if let Ok(body) = message.encode() {
        core.post.send(to, peer::MessageKind::Mirror, &body);
    }
}
