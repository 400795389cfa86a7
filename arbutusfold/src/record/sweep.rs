//! Removal of expired records.
//!
//! The transaction of each group of starts and releases also writes one row that
//! lists their keys. The key of this row begins with the time of the write, so
//! that a sweep reads only records that may have expired.

use std::sync;
use std::time;

use serde::{Deserialize, Serialize};

use crate::id;
use crate::platform;
use crate::record;
use crate::record::group;

/// Name of the table that holds the lists of keys.
const EXPIRY_TABLE: &str = "record_expiry";

/// Time for which a record is kept.
///
/// It is far longer than [`record::DISPATCH_WINDOW`] and all call deadlines, so
/// that no record is removed while its attempt may run, even if the clocks of
/// hosts differ by hours.
pub const RETENTION: time::Duration = time::Duration::from_secs(24 * 3_600);

/// Maximum number of lists that one sweep processes.
const SWEEP_LIMIT: usize = 16;

/// Source of the wall time in milliseconds since the Unix epoch.
pub type WallClock = sync::Arc<dyn Fn() -> u64 + Send + Sync>;

/// Keys of the records that one transaction started or released.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ExpiryRow {
    keys: Vec<ExpiryKey>,
}

#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
struct ExpiryKey {
    row_key: String,
    attempt: id::RequestId,
}

/// Number of rows that a sweep removed.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct SweepResult {
    /// Number of expired lists processed.
    pub lists: usize,
    /// Number of records removed.
    pub rows: usize,
}

/// Creates the list of keys for each group of writes.
pub(crate) struct ExpiryWriter {
    prefix: String,
    next: u64,
    clock: WallClock,
}

impl ExpiryWriter {
    /// Creates a writer with a unique prefix for the keys of its lists.
    pub(crate) fn new(clock: WallClock) -> Self {
        Self {
            prefix: id::new_request_id(),
            next: 0,
            clock,
        }
    }

    /// Returns the write of a list of the group's starts and releases, if there are
    /// any.
    pub(crate) fn list_write(&mut self, group: &[group::GroupWrite]) -> Option<platform::RowWrite> {
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

/// Removes records that are older than [`RETENTION`] at the wall time `now_ms`.
///
/// # Errors
///
/// [`platform::PlatformError`] if a call of the table service fails; the next
/// sweep continues with the remaining lists.
pub(crate) async fn sweep(
    table: &dyn platform::TableClient,
    now_ms: u64,
) -> Result<SweepResult, platform::PlatformError> {
    let mut result = SweepResult::default();
    let limit = time_key(now_ms.saturating_sub(RETENTION.as_millis() as u64));
    let lists = table.scan(EXPIRY_TABLE, "", "", SWEEP_LIMIT).await?;
    for list in lists.into_iter().filter(|list| list.key < limit) {
        result.rows += remove_listed(table, list).await?;
        result.lists += 1;
    }
    Ok(result)
}

async fn remove_listed(
    table: &dyn platform::TableClient,
    list: platform::TableRow,
) -> Result<usize, platform::PlatformError> {
    let listed = serde_json::from_value::<ExpiryRow>(list.value).map_or(Vec::new(), |row| row.keys);
    let mut transaction = platform::TableTransaction::default();
    for key in listed {
        let row = table.read(record::RECORD_TABLE, &key.row_key).await?;
        let Some(versioned) = row.and_then(group::decode) else {
            continue;
        };
        // A later attempt with the same key has its own list.
        if versioned.row.attempt != key.attempt {
            continue;
        }
        transaction.checks.push(platform::RowCheck {
            table: record::RECORD_TABLE.to_owned(),
            key: key.row_key.clone(),
            version: versioned.version,
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
        // A row changed in the meantime; the next sweep processes the list again.
        platform::CommitOutcome::Conflict(_) => Ok(0),
    }
}

fn time_key(at_ms: u64) -> String {
    // The fixed width makes keys sort by time.
    format!("{at_ms:020}")
}
