//! Watches the store and keeps the copies of its tables current.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::store;
use tokio::{task, time};

use crate::event;
use crate::gateway::core;
use crate::gateway::mirror;
use crate::gateway::panics;
use crate::gateway::replication;

/// Delay before the first retry of a failed call.
const RETRY_DELAY_MIN: std_time::Duration = std_time::Duration::from_millis(100);

/// Longest delay between retries of a leader. It is short, since a change must
/// reach the node soon after the store is back.
const LEADER_RETRY_DELAY_MAX: std_time::Duration = std_time::Duration::from_millis(400);

/// Longest delay between retries of a node that does not lead. It is longer, so
/// that a whole fleet does not overload a store that is down.
const FOLLOWER_RETRY_DELAY_MAX: std_time::Duration = std_time::Duration::from_millis(3_000);

/// Delay of a leader after an answer, so that the next one carries several changes.
const LEADER_BATCH_DELAY: std_time::Duration = std_time::Duration::from_millis(60);

/// Delay after an answer of a node that does not lead.
const FOLLOWER_BATCH_DELAY: std_time::Duration = std_time::Duration::from_millis(250);

/// Longest time between two checks whether this node has to watch the store.
const WATCH_CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// Shortest such time.
const WATCH_CHECK_MIN: std_time::Duration = std_time::Duration::from_millis(20);

/// Longest wait of one call for changes of the document, as a fraction of the time
/// limit for detecting a lost dependency. A silent store is noticed by the answers
/// to these calls, so they come more often than the others.
const DOCUMENT_WAIT_FRACTION: f64 = 0.2;

/// Longest wait of one call for changes of runner entries, as such a fraction.
const RUNNERS_WAIT_FRACTION: f64 = 1.0 / 3.0;

/// Returns the longest wait of one call for changes of a table.
pub fn poll_wait(table: store::WatchedTable, contact: std_time::Duration) -> std_time::Duration {
    contact.mul_f64(match table {
        store::WatchedTable::Operator => DOCUMENT_WAIT_FRACTION,
        store::WatchedTable::Runners => RUNNERS_WAIT_FRACTION,
    })
}

/// Spawns one watch task for each table.
pub fn spawn(core: &sync::Arc<core::GatewayCore>) -> Vec<task::JoinHandle<()>> {
    let tables = store::WatchedTable::ALL.into_iter();
    tables
        .map(|table| panics::spawn(core, move |core| watch(core, table)))
        .collect()
}

async fn watch(core: sync::Arc<core::GatewayCore>, table: store::WatchedTable) {
    let poll_wait = poll_wait(table, core.settings.contact_ms);
    let mut position: Option<store::RowVersion> = None;
    let mut retry_delay = RETRY_DELAY_MIN;
    let mut watching = false;
    loop {
        let trust_left = core.store_trust_left(time::Instant::now());
        if !trust_left.is_zero() {
            watching = false;
            let pause = trust_left.clamp(WATCH_CHECK_MIN, WATCH_CHECK_PERIOD);
            let _ = time::timeout(pause, core.leads()).await;
            continue;
        }
        if !watching {
            // Rows that peers have sent in the meantime need not be read again.
            position = core.with_mirror(table, |mirror| {
                mirror.is_complete().then_some(mirror.complete_version())
            });
            watching = true;
            retry_delay = RETRY_DELAY_MIN;
        }
        // A call after a failed one shows that the store is back, and does not wait.
        let wait = match core.is_store_lost() {
            true => std_time::Duration::ZERO,
            false => poll_wait,
        };
        let started = time::Instant::now();
        let answer = match position {
            Some(after) => {
                core.call_store(core.store.changes(table, after, wait))
                    .await
            }
            None => core.call_store(core.store.snapshot(table)).await,
        };
        match answer {
            Ok(page) => {
                core.record_store_call(table, true, started, "answered");
                retry_delay = RETRY_DELAY_MIN;
                let found = page.version;
                if !take_page(&core, table, position, page) {
                    note_reread(&core, position, &found.to_string());
                    position = None;
                    continue;
                }
                // Changes come in bursts, for example when runners register or
                // their entries expire.
                time::sleep(match core.is_leading() {
                    true => LEADER_BATCH_DELAY,
                    false => FOLLOWER_BATCH_DELAY,
                })
                .await;
                position = Some(core.with_mirror(table, mirror::TableMirror::complete_version));
            }
            Err(store::StoreError::HistoryLost) => {
                note_reread(&core, position, "gone");
                position = None;
            }
            Err(error) => {
                core.record_store_call(table, false, started, &error.to_string());
                time::sleep(retry_delay.min(LEADER_RETRY_DELAY_MAX)).await;
                // A node that comes to lead does not wait any longer.
                let rest = retry_delay.saturating_sub(LEADER_RETRY_DELAY_MAX);
                let _ = time::timeout(rest, core.leads()).await;
                retry_delay = (retry_delay * 2).min(FOLLOWER_RETRY_DELAY_MAX);
            }
        }
    }
}

/// Takes a page of the store, the whole table or the changes after `position`, into the
/// copy of the table, and passes on what changed.
///
/// Returns whether the page could be taken. The changes since a position of another era
/// are unknown: the store came back from an older copy, and its numbers have passed it.
pub fn take_page(
    core: &core::GatewayCore,
    table: store::WatchedTable,
    position: Option<store::RowVersion>,
    page: store::RowPage,
) -> bool {
    if let Some(fault) = page.faults.first() {
        let detail = format!(
            "table={} rows={} first={fault}",
            table.index(),
            page.faults.len()
        );
        core.note(event::EventCode::RowsUnreadable, "store", detail);
    }
    let rows = page.rows.into_iter().map(mirror::MirrorRow::from).collect();
    let before = core.with_mirror(table, mirror::TableMirror::change_version);
    let changed = match position {
        Some(after) => core.merge_between(table, after, page.version, rows),
        None => Some(core.replace(table, rows, page.version)),
    };
    let is_taken = changed.is_some();
    if let Some(changed) = changed {
        replication::share_changes(core, table, before, changed);
    }
    is_taken
}

fn note_reread(core: &core::GatewayCore, position: Option<store::RowVersion>, found: &str) {
    let after = position.unwrap_or_default();
    let detail = format!("after={after} found={found} era={}", core.store_era());
    core.note(event::EventCode::StoreReread, "store", detail);
}
