//! Keeps the copies of the store's tables current.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::store;
use tokio::{task, time};

use crate::event;
use crate::gateway::core;
use crate::gateway::exchange;
use crate::gateway::mirror;

/// First pause after a failed call.
const PAUSE_START: std_time::Duration = std_time::Duration::from_millis(100);

/// Longest pause after failed calls; a change must reach the node soon after
/// the store is back.
const PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_millis(400);

/// Longest pause of a node that does not lead: a fleet of them must not press
/// a store that is down.
const PAUSE_LIMIT_NODE: std_time::Duration = std_time::Duration::from_millis(3_000);

/// Pause after an answer, in which further changes gather.
const BURST_PAUSE: std_time::Duration = std_time::Duration::from_millis(60);

/// The same for a node that does not lead.
const BURST_PAUSE_NODE: std_time::Duration = std_time::Duration::from_millis(250);

/// Time between two looks whether this node is to watch the store.
const IDLE_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Part of the time to notice a lost dependency for which one call waits; it
/// leaves a word of the lead time to arrive before nodes doubt it.
const WAIT_PART: f64 = 0.25;

/// Starts the watch of each table.
pub fn spawn(core: &sync::Arc<core::GatewayCore>) -> Vec<task::JoinHandle<()>> {
    let tables = store::WatchedTable::ALL.into_iter();
    tables
        .map(|table| tokio::spawn(watch(sync::Arc::clone(core), table)))
        .collect()
}

async fn watch(core: sync::Arc<core::GatewayCore>, table: store::WatchedTable) {
    let wait = core.settings.contact_ms.mul_f64(WAIT_PART);
    let mut position: Option<store::RowVersion> = None;
    let mut pause = PAUSE_START;
    let mut watched = false;
    loop {
        if !core.is_watching(time::Instant::now()) {
            watched = false;
            time::sleep(IDLE_PERIOD).await;
            continue;
        }
        if !watched {
            // What a peer told meanwhile need not be asked for again.
            position = core.with_mirror(table, |mirror| {
                mirror.is_complete().then_some(mirror.latest())
            });
            watched = true;
        }
        core.metrics.store_calls.inc();
        let asked = time::Instant::now();
        let answer = match position {
            Some(after) => core.store.changes(table, after, wait).await,
            None => core.store.snapshot(table).await,
        };
        match answer {
            Ok(page) => {
                core.note_store(true, asked, "answered");
                pause = PAUSE_START;
                let rows = page.rows.into_iter().map(mirror::MirrorRow::from).collect();
                let before = core.with_mirror(table, mirror::TableMirror::latest);
                let changed = match position {
                    Some(_) => core.merge(table, rows),
                    None => core.replace(table, rows, page.version),
                };
                exchange::pass_on(&core, table, before, changed);
                // Changes come in bursts, as when runners register or lapse.
                time::sleep(match core.is_leading() {
                    true => BURST_PAUSE,
                    false => BURST_PAUSE_NODE,
                })
                .await;
                position = position.max(Some(page.version));
            }
            Err(store::StoreError::HistoryLost) => {
                let detail = format!("after={}", position.unwrap_or(0));
                core.note(event::EventCode::StoreReread, "store", detail);
                position = None;
            }
            Err(error) => {
                core.note_store(false, asked, &error.to_string());
                time::sleep(pause).await;
                let limit = match core.is_leading() {
                    true => PAUSE_LIMIT,
                    false => PAUSE_LIMIT_NODE,
                };
                pause = (pause * 2).min(limit);
            }
        }
    }
}
