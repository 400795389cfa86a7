//! Interfaces of the platform's services and their clients.

mod guard;
mod http;

use std::net;
use std::time;

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::id;

pub use guard::{CallBreaker, GuardedTable, TokenBucket};
pub use http::HttpPlatform;

/// Timeout of one call of the platform.
pub const TABLE_DEADLINE: time::Duration = time::Duration::from_millis(1_500);

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Name of the table.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Version, which grows with each write and is never 0.
    pub version: u64,
    /// Content of the row.
    pub value: serde_json::Value,
}

/// A precondition of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Name of the table.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 if it must be absent.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Name of the table.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// New content; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// Writes that are applied atomically if all checks hold.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Preconditions on rows.
    pub checks: Vec<RowCheck>,
    /// Writes to apply.
    pub writes: Vec<RowWrite>,
}

/// Outcome of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes were applied.
    Committed,
    /// A check failed and nothing was written. Contains the present rows of the
    /// failed checks.
    Conflict(Vec<TableRow>),
}

/// Reason why a call of the platform returned no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect and will have none.
    #[display("platform did not take the call: {reason}")]
    Failed {
        /// Cause of the failure.
        reason: String,
    },
    /// The call may have taken effect or may still do so.
    #[display("outcome of the platform call is unknown: {reason}")]
    Unknown {
        /// Cause of the failure.
        reason: String,
    },
}

/// The transactional table service.
#[async_trait]
pub trait TableClient: Send + Sync {
    /// Reads one row.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the call returned no answer.
    async fn read(&self, table: &str, key: &str) -> Result<Option<TableRow>, PlatformError>;

    /// Reads at most `limit` rows whose keys begin with `prefix` and are greater
    /// than `after`, in the order of their keys.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the call returned no answer.
    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError>;

    /// Commits a transaction.
    ///
    /// # Errors
    ///
    /// [`PlatformError::Unknown`] if the transaction may have taken effect or may
    /// still do so, otherwise [`PlatformError::Failed`].
    async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, PlatformError>;
}

/// An entry of the platform's host list, which may be out of date.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: id::HostName,
    /// Address of the process on the host.
    pub address: net::SocketAddr,
    /// Failure domain of the host.
    pub domain: id::DomainName,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// The platform's list of live and leaving hosts, which may be out of date.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the hosts in the list.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] if the call returned no answer.
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError>;
}

/// Parameters of [`TableClient::read`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadQuery {
    /// Name of the table.
    pub table: String,
    /// Key of the row.
    pub key: String,
}

/// Parameters of [`TableClient::scan`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanQuery {
    /// Name of the table.
    pub table: String,
    /// Prefix of the keys.
    pub prefix: String,
    /// Exclusive lower bound of the keys.
    pub after: String,
    /// Maximum number of rows in the answer.
    pub limit: usize,
}
