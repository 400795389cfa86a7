//! Rows of the store from node to node.
//!
//! A lead that learns of changed rows passes them on to the nodes of its
//! failure domain. Leads and membership also tell how much a node knows, and
//! a node that knows less asks.

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

/// Time that the own lead has before another peer is asked.
const FEED_HEADSTART: std_time::Duration = std_time::Duration::from_millis(300);

/// Shortest time between two questions of a node.
const ASK_PERIOD: std_time::Duration = std_time::Duration::from_millis(150);

/// A message about rows.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum MirrorMessage {
    /// Asks for what changed after these versions, by table.
    Ask(Vec<store::RowVersion>),
    /// Rows of one table.
    Rows {
        /// Place of the table in [`store::WatchedTable::ALL`].
        table: usize,
        /// How far the rows reach.
        extent: RowExtent,
        /// The rows.
        rows: Vec<mirror::MirrorRow>,
    },
}

/// How far rows reach.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum RowExtent {
    /// They are all there are as of this version.
    Whole(store::RowVersion),
    /// They are what changed after this version.
    After(store::RowVersion),
}

/// Hears from membership that a peer knows more.
pub struct PeerListener {
    core: sync::Arc<core::GatewayCore>,
}

impl PeerListener {
    /// Creates the listener of a node.
    pub fn new(core: sync::Arc<core::GatewayCore>) -> Self {
        Self { core }
    }
}

impl member::driver::MemberListener for PeerListener {
    fn newer_config(&self, latest: id::DocumentVersion, from: &str) {
        let core = sync::Arc::clone(&self.core);
        let from = from.to_owned();
        tokio::spawn(async move {
            time::sleep(FEED_HEADSTART).await;
            if core.latest() < latest {
                ask(&core, &from);
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

/// Takes messages about rows.
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
        // What a later release added is not understood and dropped.
        let Ok(message) = postcard::from_bytes::<MirrorMessage>(body) else {
            return;
        };
        match message {
            MirrorMessage::Ask(after) => {
                for (place, after) in after.into_iter().enumerate() {
                    if let Some(answer) = answer(&self.core, place, after) {
                        send(&self.core, sender, &answer);
                    }
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
                    RowExtent::Whole(version) => {
                        self.core.replace(name, rows, version);
                    }
                    RowExtent::After(after) => {
                        // A message before this one was lost.
                        if !self.core.merge_after(name, after, rows) {
                            ask(&self.core, sender);
                        }
                    }
                }
            }
        }
    }
}

/// Asks a peer for the rows that this node lacks.
pub fn ask(core: &core::GatewayCore, peer: &str) {
    if core.may_ask(ASK_PERIOD) {
        send(core, peer, &MirrorMessage::Ask(positions(core)));
    }
}

/// Passes on to the other nodes of the failure domain what changed after a
/// version.
pub fn pass_on(
    core: &core::GatewayCore,
    table: store::WatchedTable,
    after: store::RowVersion,
    rows: Vec<mirror::MirrorRow>,
) {
    if rows.is_empty() || !core.is_leading() {
        return;
    }
    let message = MirrorMessage::Rows {
        table: table.place(),
        extent: RowExtent::After(after),
        rows,
    };
    let members = core.members.alive();
    core.neighbours(&members)
        .for_each(|record| send(core, &record.name, &message));
}

fn positions(core: &core::GatewayCore) -> Vec<store::RowVersion> {
    let tables = store::WatchedTable::ALL.into_iter();
    let latest = |mirror: &mirror::TableMirror| match mirror.is_complete() {
        true => mirror.latest(),
        false => 0,
    };
    tables
        .map(|table| core.with_mirror(table, latest))
        .collect()
}

/// Returns what a node that knows a table up to `after` lacks.
fn answer(
    core: &core::GatewayCore,
    place: usize,
    after: store::RowVersion,
) -> Option<MirrorMessage> {
    let table = store::WatchedTable::ALL.get(place).copied()?;
    core.with_mirror(table, |mirror| {
        if !mirror.is_complete() || mirror.latest() <= after {
            return None;
        }
        let changed = mirror.since(after).filter(|_| after > 0);
        Some(match changed {
            Some(rows) => MirrorMessage::Rows {
                table: place,
                extent: RowExtent::After(after),
                rows,
            },
            None => MirrorMessage::Rows {
                table: place,
                extent: RowExtent::Whole(mirror.latest()),
                rows: mirror.rows().cloned().collect(),
            },
        })
    })
}

fn send(core: &core::GatewayCore, to: &str, message: &MirrorMessage) {
    core.post(to, peer::MessageKind::Mirror, message);
}
