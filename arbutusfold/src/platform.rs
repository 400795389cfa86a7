//! Clients of the platform's services, as trait objects at the border.

use std::net;
use std::time;

use async_trait::async_trait;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::client;
use crate::id;

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

/// The platform over HTTP.
pub struct HttpPlatform {
    address: net::SocketAddr,
    client: client::HttpClient,
}

impl HttpPlatform {
    /// Creates a client of the platform at `address`.
    pub fn new(address: net::SocketAddr) -> Self {
        Self {
            address,
            client: client::HttpClient::for_services(),
        }
    }

    async fn call<Q, A>(&self, path: &str, query: &Q) -> Result<A, PlatformError>
    where
        Q: Serialize + Sync,
        A: serde::de::DeserializeOwned,
    {
        let call = self.client.post_json(self.address, path, query);
        let answer = tokio::time::timeout(TABLE_DEADLINE, call)
            .await
            .map_err(|_| PlatformError::Unknown {
                reason: "no answer within the deadline".to_owned(),
            })?;
        answer.map_err(|error| match error {
            client::ClientError::NotSent { .. }
            | client::ClientError::Status { status: 429, .. } => PlatformError::Failed {
                reason: error.to_string(),
            },
            _ => PlatformError::Unknown {
                reason: error.to_string(),
            },
        })
    }
}

#[async_trait]
impl TableClient for HttpPlatform {
    async fn read(&self, table: &str, key: &str) -> Result<Option<TableRow>, PlatformError> {
        let query = ReadQuery {
            table: table.to_owned(),
            key: key.to_owned(),
        };
        self.call("/tables/read", &query).await
    }

    async fn scan(
        &self,
        table: &str,
        prefix: &str,
        after: &str,
        limit: usize,
    ) -> Result<Vec<TableRow>, PlatformError> {
        let query = ScanQuery {
            table: table.to_owned(),
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        self.call("/tables/scan", &query).await
    }

    async fn commit(&self, transaction: TableTransaction) -> Result<CommitOutcome, PlatformError> {
        self.call("/tables/commit", &transaction).await
    }
}

#[async_trait]
impl HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Vec<ListedHost>, PlatformError> {
        self.call("/hosts", &()).await
    }
}
