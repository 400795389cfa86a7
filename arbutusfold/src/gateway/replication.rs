//! Replication of store rows between nodes.
//!
//! A leader that receives changed rows forwards them to the nodes of its
//! failure domain. The messages of leaders and of the membership also carry
//! the sender's store version, and a node with a lower version requests the
//! rows that it lacks.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::store;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::mirror;
use crate::id;
use crate::member;
use crate::peer;

/// Time that the own leader has to forward new rows before another peer is asked.
const LEADER_HEAD_START: std_time::Duration = std_time::Duration::from_millis(300);

/// Shortest time between two row requests of a node.
const REQUEST_PERIOD: std_time::Duration = std_time::Duration::from_millis(150);

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
    /// The sender read the rows that follow right after an outage of the store,
    /// which may have removed the entries of live runners.
    Outage {
        /// Time in milliseconds since the start of its latest call that failed.
        failed_ms: u32,
    },
}

/// Part of a table that a list of rows makes up.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowExtent {
    /// All rows of the table as of this version.
    Full(store::RowVersion),
    /// The rows that changed after this version.
    After(store::RowVersion),
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
        let core = sync::Arc::clone(&self.core);
        let from = from.to_owned();
        tokio::spawn(async move {
            time::sleep(LEADER_HEAD_START).await;
            if core.store_version() < version {
                request_rows(&core, &from);
            }
        });
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
        let Ok(message) = postcard::from_bytes::<MirrorMessage>(body) else {
            return;
        };
        match message {
            MirrorMessage::Request(after) => {
                for (index, after) in after.into_iter().enumerate() {
                    if let Some(missing) = missing_rows(&self.core, index, after) {
                        send(&self.core, sender, &missing);
                    }
                }
            }
            MirrorMessage::Outage { failed_ms } => {
                let now = time::Instant::now();
                let age = std_time::Duration::from_millis(u64::from(failed_ms));
                if let Some(failed_at) = now.checked_sub(age) {
                    self.core.record_peer_outage(failed_at, now);
                }
            }
            MirrorMessage::Rows {
                table,
                extent,
                rows,
            } => {
                let Some(name) = store::WatchedTable::ALL.get(table).copied() else {
                    return;
                };
                let detail = format!("table={table} rows={} from={sender}", rows.len());
                self.core
                    .note(event::EventCode::RowsFromPeer, "store", detail);
                match extent {
                    RowExtent::Full(version) => {
                        self.core.replace(name, rows, version);
                    }
                    RowExtent::After(after) => {
                        // A refusal means that an earlier message was lost.
                        if !self.core.merge_after(name, after, rows) {
                            request_rows(&self.core, sender);
                        }
                    }
                }
            }
        }
    }
}

/// Requests the rows that this node lacks from a peer, at most once in each
/// `REQUEST_PERIOD`.
pub fn request_rows(core: &core::GatewayCore, peer: &str) {
    if core.may_request_rows(REQUEST_PERIOD) {
        send(core, peer, &MirrorMessage::Request(known_versions(core)));
    }
}

/// Forwards the changes after a version to the other nodes of the failure
/// domain, if this node leads it.
pub fn forward_changes(
    core: &core::GatewayCore,
    table: store::WatchedTable,
    after: store::RowVersion,
    rows: Vec<mirror::MirrorRow>,
) {
    if rows.is_empty() || !core.is_leading() {
        return;
    }
    let outage = outage_message(core).filter(|_| rows.iter().any(|row| row.value.is_none()));
    let message = MirrorMessage::Rows {
        table: table.index(),
        extent: RowExtent::After(after),
        rows,
    };
    let members = core.members.alive();
    for record in core.domain_peers(&members) {
        if let Some(outage) = &outage {
            send(core, &record.name, outage);
        }
        send(core, &record.name, &message);
    }
}

/// Returns the message about an outage after which removals are held.
fn outage_message(core: &core::GatewayCore) -> Option<MirrorMessage> {
    let now = time::Instant::now();
    let outage = core.outage()?;
    outage.grace_end(core.settings.contact_ms, now)?;
    let age = now.saturating_duration_since(outage.failed_at);
    let failed_ms = u32::try_from(age.as_millis()).ok()?;
    Some(MirrorMessage::Outage { failed_ms })
}

fn known_versions(core: &core::GatewayCore) -> Vec<store::RowVersion> {
    let tables = store::WatchedTable::ALL.into_iter();
    let known = |mirror: &mirror::TableMirror| match mirror.is_complete() {
        true => mirror.latest_version(),
        false => 0,
    };
    tables.map(|table| core.with_mirror(table, known)).collect()
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
        if !mirror.is_complete() || mirror.latest_version() <= after {
            return None;
        }
        let changed = mirror.changes_after(after).filter(|_| after > 0);
        Some(match changed {
            Some(rows) => MirrorMessage::Rows {
                table: index,
                extent: RowExtent::After(after),
                rows,
            },
            None => MirrorMessage::Rows {
                table: index,
                extent: RowExtent::Full(mirror.latest_version()),
                rows: mirror.rows().cloned().collect(),
            },
        })
    })
}

fn send(core: &core::GatewayCore, to: &str, message: &MirrorMessage) {
    core.send_message(to, peer::MessageKind::Mirror, message);
}
