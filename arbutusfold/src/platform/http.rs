//! Client of the platform's services over HTTP.

use std::net;

use async_trait::async_trait;
use serde::Serialize;

use crate::client;
use crate::platform;

/// Error code of the platform for a call that it did not accept.
const NOT_TAKEN: &str = "not_taken";

/// HTTP client of the table service and the host list.
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

    async fn call<Q, A>(&self, path: &str, query: &Q) -> Result<A, platform::PlatformError>
    where
        Q: Serialize + Sync,
        A: serde::de::DeserializeOwned,
    {
        let call = self.client.post_json(self.address, path, query);
        let answer = tokio::time::timeout(platform::TABLE_DEADLINE, call)
            .await
            .map_err(|_| platform::PlatformError::Unknown {
                reason: "no answer within the deadline".to_owned(),
            })?;
        answer.map_err(|error| classify_error(&error))
    }
}

/// Separates definite failures from unknown outcomes.
///
/// A 503 without the error code may come from a proxy that had forwarded the
/// call, so its outcome is unknown.
fn classify_error(error: &client::ClientError) -> platform::PlatformError {
    let reason = error.to_string();
    let is_definite = match error {
        client::ClientError::NotSent { .. } => true,
        client::ClientError::Status { status: 429, .. } => true,
        client::ClientError::Status { status: 503, body } => body.contains(NOT_TAKEN),
        client::ClientError::Status { .. } | client::ClientError::Lost { .. } => false,
    };
    match is_definite {
        true => platform::PlatformError::Failed { reason },
        false => platform::PlatformError::Unknown { reason },
    }
}

#[async_trait]
impl platform::TableClient for HttpPlatform {
    async fn read(
        &self,
        table: &str,
        key: &str,
    ) -> Result<Option<platform::TableRow>, platform::PlatformError> {
        let query = platform::ReadQuery {
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
    ) -> Result<Vec<platform::TableRow>, platform::PlatformError> {
        let query = platform::ScanQuery {
            table: table.to_owned(),
            prefix: prefix.to_owned(),
            after: after.to_owned(),
            limit,
        };
        self.call("/tables/scan", &query).await
    }

    async fn commit(
        &self,
        transaction: platform::TableTransaction,
    ) -> Result<platform::CommitOutcome, platform::PlatformError> {
        self.call("/tables/commit", &transaction).await
    }
}

#[async_trait]
impl platform::HostList for HttpPlatform {
    async fn hosts(&self) -> Result<Vec<platform::ListedHost>, platform::PlatformError> {
        self.call("/hosts", &()).await
    }
}
