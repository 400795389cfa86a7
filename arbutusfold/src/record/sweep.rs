//! Removal of rows whose time is over.
//!
//! Each group of starts leaves one row that lists their keys under the hour
//! in which it was written, so that the sweep reads no row too early.

use std::sync;
use std::time;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::platform;
use crate::record;
use crate::record::group;

/// Table of the lists of keys.
const EXPIRY_TABLE: &str = "record_expiry";

/// Time for which a row is kept.
///
/// It is far above `START_MARGIN` and every call deadline, so that no row is
/// removed while its attempt may run, and clocks of hosts may differ by hours.
pub const RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);

/// Lists that one sweep takes.
const SWEEP_LIMIT: usize = 16;

/// Source of the wall time in milliseconds since the Unix epoch.
pub type WallClock = sync::Arc<dyn Fn() -> u64 + Send + Sync>;

/// Keys of rows that were started together.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ExpiryRow {
    keys: Vec<ExpiryKey>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ExpiryKey {
    row_key: String,
    attempt: id::RequestId,
}

/// What a sweep removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SweepResult {
    /// Lists taken.
    pub lists: usize,
    /// Rows removed.
    pub rows: usize,
}

/// Makes the list for a group.
pub(crate) struct ExpiryWriter {
    prefix: String,
    next: u64,
    clock: WallClock,
}

impl ExpiryWriter {
    /// Creates a writer whose keys begin with a name of its own.
    pub(crate) fn new(clock: WallClock) -> Self {
        Self {
            prefix: id::new_request_id(),
            next: 0,
            clock,
        }
    }

    /// Returns the write that lists the group's starts and releases, if it has any.
    pub(crate) fn entry(&mut self, group: &[group::GroupWrite]) -> Option<platform::RowWrite> {
        let keys: Vec<_> = group
            .iter()
            .filter(|write| write.version.is_some())
            .map(|write| ExpiryKey {
                row_key: write.row_key.clone(),
                attempt: write.row.attempt.clone(),
            })
            .collect();
        if keys.is_empty() {
            return None;
        }
        self.next += 1;
        Some(platform::RowWrite {
            table: EXPIRY_TABLE.to_owned(),
            key: format!("{}/{}/{}", time_key((self.clock)()), self.prefix, self.next),
            value: Some(serde_json::json!(ExpiryRow { keys })),
        })
    }
}

/// Removes rows that are older than [`RETENTION`] at the wall time `now_ms`.
///
/// # Errors
///
/// [`platform::PlatformError`] when the service gave no answer; the next
/// sweep goes on from there.
pub(crate) async fn sweep(
    table: &dyn platform::TableClient,
    now_ms: u64,
) -> Result<SweepResult, platform::PlatformError> {
    let mut result = SweepResult::default();
    let limit = time_key(now_ms.saturating_sub(RETENTION.as_millis() as u64));
    let lists = table.scan(EXPIRY_TABLE, "", "", SWEEP_LIMIT).await?;
    for list in lists.into_iter().filter(|list| list.key < limit) {
        result.rows += remove(table, list).await?;
        result.lists += 1;
    }
    Ok(result)
}

async fn remove(
    table: &dyn platform::TableClient,
    list: platform::TableRow,
) -> Result<usize, platform::PlatformError> {
    let listed = serde_json::from_value::<ExpiryRow>(list.value).map_or(Vec::new(), |row| row.keys);
    let mut transaction = platform::TableTransaction::default();
    for key in listed {
        let row = table.read(record::RECORD_TABLE, &key.row_key).await?;
        let Some(seen) = row.and_then(group::decode) else {
            continue;
        };
        // A later attempt under the key has its own list.
        if seen.row.attempt != key.attempt {
            continue;
        }
        transaction.checks.push(platform::RowCheck {
            table: record::RECORD_TABLE.to_owned(),
            key: key.row_key.clone(),
            version: seen.version,
        });
        transaction.writes.push(platform::RowWrite {
            table: record::RECORD_TABLE.to_owned(),
            key: key.row_key,
            value: None,
        });
    }
    let rows = transaction.writes.len();
    transaction.writes.push(platform::RowWrite {
        table: EXPIRY_TABLE.to_owned(),
        key: list.key,
        value: None,
    });
    match table.commit(transaction).await? {
        platform::CommitOutcome::Committed => Ok(rows),
        // A row changed meanwhile; the list is taken again by the next sweep.
        platform::CommitOutcome::Conflict(_) => Ok(0),
    }
}

fn time_key(at_ms: u64) -> String {
    // Keys sort by time when they have one width.
    format!("{at_ms:020}")
}
