//! Group commit: batches row writes into transactions of the table service.

use std::collections;
use std::sync;
use std::time as std_time;

use tokio::sync::{mpsc, oneshot};
use tokio::time;

use crate::platform;
use crate::record;

/// Maximum number of record writes in one transaction.
const GROUP_LIMIT: usize = 64;

/// Number of transactions by which starts and releases may exceed the node's share.
const PRIORITY_BURST: u32 = 2;

/// A write of one row.
#[derive(Debug)]
pub(crate) struct GroupWrite {
    /// Key of the row.
    pub(crate) row_key: String,
    /// Version that the row must have, 0 for an absent row; `None` accepts any
    /// version.
    pub(crate) version: Option<u64>,
    /// New content of the row.
    pub(crate) row: record::RecordRow,
    /// Time from which the write must no longer be sent.
    pub(crate) deadline: Option<time::Instant>,
    /// Channel for the outcome.
    pub(crate) reply: oneshot::Sender<GroupOutcome>,
}

/// Outcome of a write.
#[derive(Clone, Debug, PartialEq, Eq)]
pub(crate) enum GroupOutcome {
    /// The write took effect.
    Committed,
    /// The row had another version. Contains the current row if it is known.
    Conflict(Option<record::VersionedRow>),
    /// The write had no effect and will have none.
    Failed(String),
    /// The write may have taken effect or may still do so.
    Unknown(String),
}

/// Limits the rate of transactions and gives starts priority over finishes.
///
/// Starts and releases may exceed the node's share by [`PRIORITY_BURST`]
/// transactions. A finish shares a transaction with them, or gets its own once
/// the share allows it.
#[derive(Clone, Copy, Debug)]
struct GroupPacer {
    /// Time at which the share allows a transaction without priority.
    free_at: time::Instant,
}

impl GroupPacer {
    fn new(now: time::Instant) -> Self {
        Self { free_at: now }
    }

    fn due_at(self, has_priority: bool, period: std_time::Duration) -> time::Instant {
        let allowance = match has_priority {
            true => period * PRIORITY_BURST,
            false => std_time::Duration::ZERO,
        };
        self.free_at.checked_sub(allowance).unwrap_or(self.free_at)
    }

    fn reserve(&mut self, now: time::Instant, period: std_time::Duration) {
        self.free_at = self.free_at.max(now) + period;
    }
}

/// Commits writes to the table service in groups, one transaction at a time.
pub(crate) struct GroupWriter {
    table: sync::Arc<dyn platform::TableClient>,
    queue: mpsc::UnboundedReceiver<GroupWrite>,
    waiting: collections::VecDeque<GroupWrite>,
    expiry: record::sweep::ExpiryWriter,
}

impl GroupWriter {
    pub(crate) fn new(
        table: sync::Arc<dyn platform::TableClient>,
        queue: mpsc::UnboundedReceiver<GroupWrite>,
        expiry: record::sweep::ExpiryWriter,
    ) -> Self {
        Self {
            table,
            queue,
            waiting: collections::VecDeque::new(),
            expiry,
        }
    }

    /// Commits groups until all senders are dropped.
    ///
    /// `period` returns the interval between transactions that corresponds to
    /// the node's share of the store's rate.
    pub(crate) async fn run(mut self, period: impl Fn() -> std_time::Duration) {
        let mut pacer = GroupPacer::new(time::Instant::now());
        while self.wait_for_group(&pacer, period()).await {
            let group = self.take_group();
            if !group.is_empty() {
                pacer.reserve(time::Instant::now(), period());
                self.commit(group).await;
            }
        }
    }

    /// Waits until a group is due; returns `false` if all senders are dropped and
    /// no write is left.
    async fn wait_for_group(&mut self, pacer: &GroupPacer, period: std_time::Duration) -> bool {
        if self.waiting.is_empty() {
            let Some(write) = self.queue.recv().await else {
                return false;
            };
            self.waiting.push_back(write);
        }
        loop {
            while let Ok(write) = self.queue.try_recv() {
                self.waiting.push_back(write);
            }
            let has_priority = self.waiting.iter().any(|write| write.version.is_some());
            let due = pacer.due_at(has_priority, period);
            if time::Instant::now() >= due {
                return true;
            }
            tokio::select! {
                // If the queue is closed, the waiting writes are still committed when due.
                Some(write) = self.queue.recv() => self.waiting.push_back(write),
                () = time::sleep_until(due) => {}
            }
        }
    }

    /// Removes the next group from the waiting writes, with at most one write for
    /// each row, and fails the writes whose deadline has passed.
    fn take_group(&mut self) -> Vec<GroupWrite> {
        let now = time::Instant::now();
        let mut group: Vec<GroupWrite> = Vec::new();
        let mut deferred = collections::VecDeque::new();
        while let Some(write) = self.waiting.pop_front() {
            if write.deadline.is_some_and(|deadline| now >= deadline) {
                let outcome = GroupOutcome::Failed("the write came too late".to_owned());
                reply_all(vec![write], &outcome);
                continue;
            }
            let duplicate = group.iter().any(|other| other.row_key == write.row_key);
            if duplicate || group.len() >= GROUP_LIMIT {
                deferred.push_back(write);
            } else {
                group.push(write);
            }
        }
        self.waiting = deferred;
        group
    }

    /// Commits a group. A conflict on one row does not fail the other writes.
    async fn commit(&mut self, mut group: Vec<GroupWrite>) {
        while !group.is_empty() {
            let transaction = self.transaction(&group);
            let rows = match self.table.commit(transaction).await {
                Ok(platform::CommitOutcome::Committed) => {
                    return reply_all(group, &GroupOutcome::Committed);
                }
                Err(platform::PlatformError::Failed { reason }) => {
                    return reply_all(group, &GroupOutcome::Failed(reason));
                }
                Err(platform::PlatformError::Unknown { reason }) => {
                    return reply_all(group, &GroupOutcome::Unknown(reason));
                }
                Ok(platform::CommitOutcome::Conflict(rows)) => rows,
            };
            let before = group.len();
            group = reply_conflicts(group, &rows);
            if group.len() == before {
                // A checked row is absent, so the answer does not say which write conflicts.
                return self.commit_individually(group).await;
            }
        }
    }

    async fn commit_individually(&mut self, group: Vec<GroupWrite>) {
        for write in group {
            let single = vec![write];
            let transaction = self.transaction(&single);
            let outcome = match self.table.commit(transaction).await {
                Ok(platform::CommitOutcome::Committed) => GroupOutcome::Committed,
                Ok(platform::CommitOutcome::Conflict(rows)) => {
                    let versioned = rows.into_iter().find_map(decode);
                    GroupOutcome::Conflict(versioned)
                }
                Err(platform::PlatformError::Failed { reason }) => GroupOutcome::Failed(reason),
                Err(platform::PlatformError::Unknown { reason }) => GroupOutcome::Unknown(reason),
            };
            reply_all(single, &outcome);
        }
    }

    fn transaction(&mut self, group: &[GroupWrite]) -> platform::TableTransaction {
        let checks = group.iter().filter_map(|write| {
            Some(platform::RowCheck {
                table: record::RECORD_TABLE.to_owned(),
                key: write.row_key.clone(),
                version: write.version?,
            })
        });
        let writes = group.iter().map(|write| platform::RowWrite {
            table: record::RECORD_TABLE.to_owned(),
            key: write.row_key.clone(),
            value: Some(serde_json::json!(write.row)),
        });
        let mut transaction = platform::TableTransaction {
            checks: checks.collect(),
            writes: writes.collect(),
        };
        transaction.writes.extend(self.expiry.list_write(group));
        transaction
    }
}

fn reply_all(group: Vec<GroupWrite>, outcome: &GroupOutcome) {
    for write in group {
        // Fails if the attempt was given up and dropped the receiver.
        let _ = write.reply.send(outcome.clone());
    }
}

/// Replies to the writes whose rows conflict and returns the others.
fn reply_conflicts(group: Vec<GroupWrite>, rows: &[platform::TableRow]) -> Vec<GroupWrite> {
    let mut remaining = Vec::new();
    for write in group {
        let row = rows.iter().find(|row| row.key == write.row_key);
        match row {
            Some(row) => reply_all(vec![write], &GroupOutcome::Conflict(decode(row.clone()))),
            None => remaining.push(write),
        }
    }
    remaining
}

/// Decodes a row of [`record::RECORD_TABLE`].
pub(crate) fn decode(row: platform::TableRow) -> Option<record::VersionedRow> {
    Some(record::VersionedRow {
        version: row.version,
        row: serde_json::from_value(row.value).ok()?,
    })
}
