//! Keeps the copies of the store's tables current.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::store;
use tokio::{task, time};

use crate::event;
use crate::gateway::core;
use crate::gateway::mirror;
use crate::gateway::replication;

/// First pause after a failed call.
const RETRY_DELAY_MIN: std_time::Duration = std_time::Duration::from_millis(100);

/// Longest pause after failed calls; a change must reach the node soon after
/// the store is back.
const LEADER_RETRY_DELAY_MAX: std_time::Duration = std_time::Duration::from_millis(400);

/// Longest pause of a node that does not lead: a fleet of them must not press
/// a store that is down.
const FOLLOWER_RETRY_DELAY_MAX: std_time::Duration = std_time::Duration::from_millis(3_000);

/// Pause after an answer, in which further changes gather.
const LEADER_BATCH_DELAY: std_time::Duration = std_time::Duration::from_millis(60);

/// The same for a node that does not lead.
const FOLLOWER_BATCH_DELAY: std_time::Duration = std_time::Duration::from_millis(250);

/// Time between two looks whether this node is to watch the store.
const WATCH_CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Part of the time to notice a lost dependency for which one call waits; it
/// leaves a word of the lead time to arrive before nodes doubt it.
const POLL_WAIT_FRACTION: f64 = 0.25;

/// Starts the watch of each table.
pub fn spawn(core: &sync::Arc<core::GatewayCore>) -> Vec<task::JoinHandle<()>> {
    let tables = store::WatchedTable::ALL.into_iter();
    tables
        .map(|table| tokio::spawn(watch(sync::Arc::clone(core), table)))
        .collect()
}

async fn watch(core: sync::Arc<core::GatewayCore>, table: store::WatchedTable) {
    let wait = core.settings.contact_ms.mul_f64(POLL_WAIT_FRACTION);
    let mut position: Option<store::RowVersion> = None;
    let mut retry_delay = RETRY_DELAY_MIN;
    let mut watching = false;
    loop {
        if !core.should_watch_store(time::Instant::now()) {
            watching = false;
            time::sleep(WATCH_CHECK_PERIOD).await;
            continue;
        }
        if !watching {
            // What a peer told meanwhile need not be asked for again.
            position = core.with_mirror(table, |mirror| {
                mirror.is_complete().then_some(mirror.latest_version())
            });
            watching = true;
        }
        core.metrics.store_calls.inc();
        let started = time::Instant::now();
        let answer = match position {
            Some(after) => core.store.changes(table, after, wait).await,
            None => core.store.snapshot(table).await,
        };
        match answer {
            Ok(page) => {
                core.record_store_call(true, started, "answered");
                retry_delay = RETRY_DELAY_MIN;
                let rows = page.rows.into_iter().map(mirror::MirrorRow::from).collect();
                let before = core.with_mirror(table, mirror::TableMirror::latest_version);
                let changed = match position {
                    Some(_) => core.merge(table, rows),
                    None => core.replace(table, rows, page.version),
                };
                replication::forward_changes(&core, table, before, changed);
                // Changes come in bursts, as when runners register or lapse.
                time::sleep(match core.is_leading() {
                    true => LEADER_BATCH_DELAY,
                    false => FOLLOWER_BATCH_DELAY,
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
                core.record_store_call(false, started, &error.to_string());
                time::sleep(retry_delay).await;
                let limit = match core.is_leading() {
                    true => LEADER_RETRY_DELAY_MAX,
                    false => FOLLOWER_RETRY_DELAY_MAX,
                };
                retry_delay = (retry_delay * 2).min(limit);
            }
        }
    }
}
