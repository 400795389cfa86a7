//! The configuration in force: submitted by compare-and-set, only ever forward.

use std::sync;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::document;
use crate::event;
use crate::id;
use crate::platform;

const HEAD_TABLE: &str = "config";
const HEAD_KEY: &str = "head";
const DOCUMENT_TABLE: &str = "config_documents";
const AUDIT_TABLE: &str = "config_audit";

/// The row that names the newest document.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct ConfigHead {
    /// Version of the newest document.
    pub version: id::DocumentVersion,
    /// Digest of its text in hexadecimal.
    pub digest: String,
}

/// An entry of the audit trail.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct AuditEntry {
    /// Version that came of the change.
    pub version: id::DocumentVersion,
    /// Version that the change was made from.
    pub base: id::DocumentVersion,
    /// Operator who made the change.
    pub operator: String,
    /// Milliseconds since the Unix epoch.
    pub at_ms: u64,
    /// Digest of the document in hexadecimal.
    pub digest: String,
}

/// A document in force.
#[derive(Clone, Debug)]
pub struct ForceDocument {
    /// Version of the document.
    pub version: id::DocumentVersion,
    /// Text as the operator submitted it.
    pub text: String,
    /// The document.
    pub document: document::ConfigDocument,
}

/// Why a change of configuration was not made.
#[derive(Debug, Display, Error)]
pub enum ConfigError {
    /// The document does not hold.
    #[display("{_0}")]
    Invalid(document::DocumentError),
    /// Another change came first.
    #[display("base version {base} is not the newest, which is {newest}")]
    Conflict {
        /// Version that the change was made from.
        base: id::DocumentVersion,
        /// Newest version.
        newest: id::DocumentVersion,
    },
    /// The platform did not take the change.
    #[display("{_0}")]
    Platform(platform::PlatformError),
}

/// Keeps the newest document that this node has seen.
pub struct ConfigKeeper {
    table: sync::Arc<dyn platform::TableClient>,
    recorder: sync::Arc<event::EventRecorder>,
    current: watch::Sender<Option<sync::Arc<ForceDocument>>>,
}

impl ConfigKeeper {
    /// Creates a keeper without a document.
    pub fn new(
        table: sync::Arc<dyn platform::TableClient>,
        recorder: sync::Arc<event::EventRecorder>,
    ) -> Self {
        Self {
            table,
            recorder,
            current: watch::Sender::new(None),
        }
    }

    /// Returns the document in force, if there is one.
    pub fn current(&self) -> Option<sync::Arc<ForceDocument>> {
        self.current.borrow().clone()
    }

    /// Returns the version in force, 0 for none.
    pub fn version(&self) -> id::DocumentVersion {
        self.current
            .borrow()
            .as_ref()
            .map_or(0, |held| held.version)
    }

    /// Takes a document if it is newer than the one in force.
    pub fn adopt(&self, version: id::DocumentVersion, text: String) {
        if version <= self.version() {
            return;
        }
        let document = match document::parse(&text) {
            Ok(document) => document,
            Err(error) => {
                let subject = version.to_string();
                self.recorder
                    .record(event::EventCode::ConfigRefused, &subject, error.to_string());
                return;
            }
        };
        let fresh = sync::Arc::new(ForceDocument {
            version,
            text,
            document,
        });
        let taken = self.current.send_if_modified(|held| {
            let newer = held.as_ref().is_none_or(|held| held.version < version);
            if newer {
                *held = Some(fresh);
            }
            newer
        });
        if taken {
            let subject = version.to_string();
            self.recorder
                .record(event::EventCode::ConfigInForce, &subject, "");
        }
    }

    /// Looks for a newer document in the table service.
    ///
    /// # Errors
    ///
    /// [`platform::PlatformError`] when the service gave no answer.
    pub async fn refresh(&self) -> Result<(), platform::PlatformError> {
        let Some(head) = self.head().await? else {
            return Ok(());
        };
        if head.version <= self.version() {
            return Ok(());
        }
        let row = self
            .table
            .read(DOCUMENT_TABLE, &document_key(head.version))
            .await?;
        if let Some(text) = row.and_then(|row| row.value.as_str().map(str::to_owned)) {
            self.adopt(head.version, text);
        }
        Ok(())
    }

    /// Submits a document made from version `base` and returns its version.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Conflict`] when another change came first.
    pub async fn submit(
        &self,
        base: id::DocumentVersion,
        operator: &str,
        text: String,
    ) -> Result<id::DocumentVersion, ConfigError> {
        document::parse(&text).map_err(ConfigError::Invalid)?;
        let row = self
            .table
            .read(HEAD_TABLE, HEAD_KEY)
            .await
            .map_err(ConfigError::Platform)?;
        let row_version = row.as_ref().map_or(0, |row| row.version);
        let newest = row
            .and_then(|row| decode(row.value))
            .map_or(0, |head: ConfigHead| head.version);
        if newest != base {
            return Err(ConfigError::Conflict { base, newest });
        }
        let version = base + 1;
        let digest = document::digest_key(&text);
        let entry = AuditEntry {
            version,
            base,
            operator: operator.to_owned(),
            at_ms: event::wall_millis(),
            digest: digest.clone(),
        };
        let head = ConfigHead { version, digest };
        let transaction = platform::TableTransaction {
            checks: vec![platform::RowCheck {
                table: HEAD_TABLE.to_owned(),
                key: HEAD_KEY.to_owned(),
                version: row_version,
            }],
            writes: vec![
                write(HEAD_TABLE, HEAD_KEY.to_owned(), serde_json::json!(head)),
                write(
                    DOCUMENT_TABLE,
                    document_key(version),
                    serde_json::json!(text),
                ),
                write(AUDIT_TABLE, document_key(version), serde_json::json!(entry)),
            ],
        };
        let outcome = self.table.commit(transaction).await;
        match outcome.map_err(ConfigError::Platform)? {
            platform::CommitOutcome::Committed => {
                self.recorder.record(
                    event::EventCode::ConfigAccepted,
                    &version.to_string(),
                    operator,
                );
                self.adopt(version, text);
                Ok(version)
            }
            platform::CommitOutcome::Conflict(rows) => {
                let newest = rows
                    .into_iter()
                    .find_map(|row| decode::<ConfigHead>(row.value))
                    .map_or(0, |head| head.version);
                Err(ConfigError::Conflict { base, newest })
            }
        }
    }

    async fn head(&self) -> Result<Option<ConfigHead>, platform::PlatformError> {
        let row = self.table.read(HEAD_TABLE, HEAD_KEY).await?;
        Ok(row.and_then(|row| decode(row.value)))
    }
}

fn decode<T: serde::de::DeserializeOwned>(value: serde_json::Value) -> Option<T> {
    serde_json::from_value(value).ok()
}

fn document_key(version: id::DocumentVersion) -> String {
    // Keys sort by version when they have one width.
    format!("{version:020}")
}

fn write(table: &str, key: String, value: serde_json::Value) -> platform::RowWrite {
    platform::RowWrite {
        table: table.to_owned(),
        key,
        value: Some(value),
    }
}
