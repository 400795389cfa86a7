//! Keeps the copies of the store's tables current.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::store;
use tokio::{task, time};

use crate::event;
use crate::gateway::core;
use crate::gateway::mirror;

/// First pause after a failed call.
const PAUSE_START: std_time::Duration = std_time::Duration::from_millis(100);

/// Longest pause after failed calls; a change must reach the node soon after
/// the store is back.
const PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_millis(400);

/// Part of the time to notice a lost dependency for which one call waits.
const WAIT_PART: f64 = 0.6;

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
    loop {
        core.metrics.store_calls.inc();
        let answer = match position {
            Some(after) => core.store.changes(table, after, wait).await,
            None => core.store.snapshot(table).await,
        };
        match answer {
            Ok(page) => {
                core.note_store(true, "answered");
                pause = PAUSE_START;
                let rows = page.rows.into_iter().map(mirror::MirrorRow::from).collect();
                match position {
                    Some(_) => core.merge(table, rows),
                    None => core.replace(table, rows, page.version),
                }
                position = position.max(Some(page.version));
            }
            Err(store::StoreError::HistoryLost) => {
                let detail = format!("after={}", position.unwrap_or(0));
                core.note(event::EventCode::StoreReread, "store", detail);
                position = None;
            }
            Err(error) => {
                core.note_store(false, &error.to_string());
                time::sleep(pause).await;
                pause = (pause * 2).min(PAUSE_LIMIT);
            }
        }
    }
}
