//! Clients of the platform's services, as trait objects at the border.

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

/// Longest time for one call of the table service.
pub const TABLE_DEADLINE: time::Duration = time::Duration::from_millis(1_500);

/// A row of the table service.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct TableRow {
    /// Table that holds the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Version, which grows with each write; never 0.
    pub version: u64,
    /// Content.
    pub value: serde_json::Value,
}

/// A condition of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowCheck {
    /// Table that holds the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// Version that the row must have; 0 when it must be absent.
    pub version: u64,
}

/// A write of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct RowWrite {
    /// Table that holds the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
    /// New content; `None` deletes the row.
    pub value: Option<serde_json::Value>,
}

/// Writes that take effect together if every check holds.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct TableTransaction {
    /// Conditions.
    pub checks: Vec<RowCheck>,
    /// Writes.
    pub writes: Vec<RowWrite>,
}

/// What became of a transaction.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum CommitOutcome {
    /// All writes took effect.
    Committed,
    /// A check failed and nothing was written; the rows of failed checks follow.
    Conflict(Vec<TableRow>),
}

/// Why the platform gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum PlatformError {
    /// The call had no effect and will have none.
    #[display("platform did not take the call: {reason}")]
    Failed {
        /// Cause.
        reason: String,
    },
    /// The call may have taken effect or may yet do so.
    #[display("outcome of the platform call is unknown: {reason}")]
    Unknown {
        /// Cause.
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
    /// [`PlatformError`] when no answer came.
    async fn read(&self, table: &str, key: &str) -> Result<Option<TableRow>, PlatformError>;

    /// Reads rows whose keys begin with `prefix`, by key, after `after`.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when no answer came.
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
    /// [`PlatformError::Unknown`] when the transaction may have taken effect.
    async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, PlatformError>;
}

/// A host as the platform's lagging list shows it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ListedHost {
    /// Name of the host.
    pub name: id::HostName,
    /// Address of what runs on it.
    pub address: net::SocketAddr,
    /// Failure domain of the host.
    pub domain: id::DomainName,
    /// Whether the host is leaving.
    pub leaving: bool,
}

/// The platform's list of live and leaving hosts, which lags.
#[async_trait]
pub trait HostList: Send + Sync {
    /// Returns the hosts as the platform knows them.
    ///
    /// # Errors
    ///
    /// [`PlatformError`] when no answer came.
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError>;
}

/// Query of one row.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ReadQuery {
    /// Table that holds the row.
    pub table: String,
    /// Key of the row.
    pub key: String,
}

/// Query of rows by prefix.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ScanQuery {
    /// Table that holds the rows.
    pub table: String,
    /// Beginning of their keys.
    pub prefix: String,
    /// Key after which the answer begins.
    pub after: String,
    /// Longest answer in rows.
    pub limit: usize,
}
