//! Submission of a document by compare-and-set, and resolution of the outcome after a
//! lost answer.

use std::time as std_time;

use tokio::time;

use super::{
    AUDIT_TABLE, AuditEntry, ConfigConflict, ConfigError, ConfigHead, ConfigManager,
    DOCUMENT_TABLE, HEAD_KEY, HEAD_TABLE, change, chunk, decode, document_key, run_blocking,
};
use crate::document;
use crate::event;
use crate::id;
use crate::platform;

/// Number of versions whose documents stay in the table service; audit entries are
/// never removed.
const RETAINED_DOCUMENTS: id::DocumentVersion = 100;

/// Time limit for resolving the outcome of a write.
const RESOLVE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(10);

/// Time between two attempts to resolve the outcome of a write.
const RESOLVE_INTERVAL: std_time::Duration = std_time::Duration::from_millis(200);

/// Head row as read at the start of a submission.
struct HeadSnapshot {
    row_version: u64,
    head: ConfigHead,
}

impl HeadSnapshot {
    fn new(row: Option<platform::TableRow>) -> Self {
        let empty = ConfigHead {
            version: 0,
            digest: String::new(),
        };
        Self {
            row_version: row.as_ref().map_or(0, |row| row.version),
            head: row.and_then(|row| decode(row.value)).unwrap_or(empty),
        }
    }
}

impl ConfigManager {
    /// Submits a document that is based on version `base` and returns its version.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Conflict`] if `base` is not the newest version;
    /// [`ConfigError::Unknown`] only if the outcome of the write could not be read from
    /// the platform. See [`ConfigError`] for the others.
    pub async fn submit(
        &self,
        base: id::DocumentVersion,
        operator: &str,
        text: String,
    ) -> Result<id::DocumentVersion, ConfigError> {
        if text.len() > chunk::DOCUMENT_LIMIT_BYTES {
            return Err(ConfigError::TooLong { found: text.len() });
        }
        let document = run_blocking(|| document::parse(&text)).map_err(ConfigError::Invalid)?;
        let found = self
            .read_head_row()
            .await
            .map_err(ConfigError::NotAccepted)?;
        // After a restore of the table service its newest version may be older than the
        // active one.
        let newest = found.head.version.max(self.version());
        if newest != base {
            return Err(self.conflict(base, newest).await);
        }
        let entry = self
            .create_entry(base, operator, &text, &document)
            .await
            .map_err(ConfigError::NotAccepted)?;
        let transaction = transaction(&found, &entry, &text);
        let outcome = self.table.commit(transaction).await;
        match outcome {
            Ok(platform::CommitOutcome::Committed) => Ok(self.accept(&entry, text)),
            Ok(platform::CommitOutcome::Conflict(_)) => self.resolve_conflict(&entry).await,
            Err(error @ platform::PlatformError::Failed { .. }) => {
                Err(ConfigError::NotAccepted(error))
            }
            Err(error) => self.resolve_outcome(&found, &entry, text, error).await,
        }
    }

    async fn read_head_row(&self) -> Result<HeadSnapshot, platform::PlatformError> {
        let row = self.table.read(HEAD_TABLE, HEAD_KEY).await?;
        Ok(HeadSnapshot::new(row))
    }

    async fn create_entry(
        &self,
        base: id::DocumentVersion,
        operator: &str,
        text: &str,
        document: &document::ConfigDocument,
    ) -> Result<AuditEntry, platform::PlatformError> {
        let base_text = match base {
            0 => None,
            _ => self.text(base).await?,
        };
        let changes = run_blocking(|| {
            let old = base_text.as_deref().map(document::parse);
            let old = old.and_then(Result::ok).unwrap_or_default();
            change::compare(&old, document)
        });
        // A version number that any peer may already hold is not assigned again.
        let highest_seen = super::lock(&self.replication).highest_seen();
        Ok(AuditEntry {
            version: base.max(highest_seen) + 1,
            base,
            operator: operator.to_owned(),
            host: self.host.clone(),
            at_ms: event::unix_millis(),
            base_digest: base_text
                .as_deref()
                .map(document::digest_key)
                .unwrap_or_default(),
            digest: document::digest_key(text),
            changes,
            attempt: id::new_request_id(),
        })
    }

    fn accept(&self, entry: &AuditEntry, text: String) -> id::DocumentVersion {
        self.report(
            event::EventCode::ConfigAccepted,
            entry.version,
            format!("by {} from version {}", entry.operator, entry.base),
        );
        self.activate(entry.version, text);
        entry.version
    }

    /// Returns the conflict of a submission whose row check failed.
    async fn resolve_conflict(
        &self,
        entry: &AuditEntry,
    ) -> Result<id::DocumentVersion, ConfigError> {
        let newest = self.read_head_row().await.map(|found| found.head.version);
        Err(self
            .conflict(entry.base, newest.unwrap_or(entry.version))
            .await)
    }

    async fn conflict(
        &self,
        base: id::DocumentVersion,
        newest: id::DocumentVersion,
    ) -> ConfigError {
        // Details that cannot be read are left out; the conflict itself is certain.
        let row = self.table.read(AUDIT_TABLE, &document_key(newest)).await;
        let entry: Option<AuditEntry> = row.ok().flatten().and_then(|row| decode(row.value));
        let old = self.document(base).await;
        let new = self.document(newest).await;
        let changes = old.zip(new).map(|(old, new)| change::compare(&old, &new));
        ConfigError::Conflict(Box::new(ConfigConflict {
            base,
            newest,
            operator: entry.map(|entry| entry.operator),
            changes,
        }))
    }

    async fn document(&self, version: id::DocumentVersion) -> Option<document::ConfigDocument> {
        if version == 0 {
            return Some(document::ConfigDocument::default());
        }
        let text = self.text(version).await.ok().flatten()?;
        run_blocking(|| document::parse(&text)).ok()
    }

    /// Resolves the outcome of a write whose answer was lost.
    ///
    /// While the version of the head row is unchanged, the write may still arrive.
    /// Writing the row again with the same content increases its version, so that the
    /// check of a delayed write fails and a reported "not accepted" stays true.
    async fn resolve_outcome(
        &self,
        found: &HeadSnapshot,
        entry: &AuditEntry,
        text: String,
        error: platform::PlatformError,
    ) -> Result<id::DocumentVersion, ConfigError> {
        let deadline = time::Instant::now() + RESOLVE_TIMEOUT;
        while time::Instant::now() < deadline {
            match self.check_outcome(found, entry).await {
                Ok(Some(true)) => return Ok(self.accept(entry, text)),
                Ok(Some(false)) => return self.resolve_rejection(entry, error).await,
                Ok(None) | Err(_) => time::sleep(RESOLVE_INTERVAL).await,
            }
        }
        self.report(
            event::EventCode::ConfigUnknown,
            entry.version,
            error.to_string(),
        );
        Err(ConfigError::Unknown {
            version: entry.version,
            reason: error.to_string(),
        })
    }

    /// Returns whether the write was committed, or `None` while it still may be.
    async fn check_outcome(
        &self,
        found: &HeadSnapshot,
        entry: &AuditEntry,
    ) -> Result<Option<bool>, platform::PlatformError> {
        let now = self.read_head_row().await?;
        if now.row_version == found.row_version {
            let rewrite = platform::TableTransaction {
                checks: vec![check_head(found)],
                writes: vec![write_head(&found.head)],
            };
            // Whether this write was committed shows in the next read.
            let _ = self.table.commit(rewrite).await;
            let now = self.read_head_row().await?;
            if now.row_version == found.row_version {
                return Ok(None);
            }
        }
        // The version changed, so the write was either committed or never will be.
        let key = document_key(entry.version);
        let row = self.table.read(AUDIT_TABLE, &key).await?;
        let written: Option<AuditEntry> = row.and_then(|row| decode(row.value));
        Ok(Some(
            written.is_some_and(|written| written.attempt == entry.attempt),
        ))
    }

    async fn resolve_rejection(
        &self,
        entry: &AuditEntry,
        error: platform::PlatformError,
    ) -> Result<id::DocumentVersion, ConfigError> {
        match self.read_head_row().await {
            Ok(found) if found.head.version > entry.base => {
                Err(self.conflict(entry.base, found.head.version).await)
            }
            _ => Err(ConfigError::NotAccepted(error)),
        }
    }
}

fn transaction(found: &HeadSnapshot, entry: &AuditEntry, text: &str) -> platform::TableTransaction {
    let head = ConfigHead {
        version: entry.version,
        digest: entry.digest.clone(),
    };
    let key = document_key(entry.version);
    let mut writes = vec![
        write_head(&head),
        write(DOCUMENT_TABLE, key.clone(), Some(serde_json::json!(text))),
        write(AUDIT_TABLE, key, Some(serde_json::json!(entry))),
    ];
    if let Some(expired) = entry.version.checked_sub(RETAINED_DOCUMENTS) {
        writes.push(write(DOCUMENT_TABLE, document_key(expired), None));
    }
    platform::TableTransaction {
        checks: vec![check_head(found)],
        writes,
    }
}

fn check_head(found: &HeadSnapshot) -> platform::RowCheck {
    platform::RowCheck {
        table: HEAD_TABLE.to_owned(),
        key: HEAD_KEY.to_owned(),
        version: found.row_version,
    }
}

fn write_head(head: &ConfigHead) -> platform::RowWrite {
    write(
        HEAD_TABLE,
        HEAD_KEY.to_owned(),
        Some(serde_json::json!(head)),
    )
}

fn write(table: &str, key: String, value: Option<serde_json::Value>) -> platform::RowWrite {
    platform::RowWrite {
        table: table.to_owned(),
        key,
        value,
    }
}
