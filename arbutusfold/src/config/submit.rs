//! Submission of a document: compare-and-set, and the truth after a lost answer.

use std::time as std_time;

use tokio::time;

use super::{
    AUDIT_TABLE, AuditEntry, ConfigConflict, ConfigError, ConfigHead, ConfigKeeper, DOCUMENT_TABLE,
    HEAD_KEY, HEAD_TABLE, aside, change, decode, document_key, section,
};
use crate::document;
use crate::event;
use crate::id;
use crate::platform;

/// Documents that the table service keeps; audit entries are all kept.
const KEPT_DOCUMENTS: id::DocumentVersion = 100;

/// Longest time to find out what became of a write.
const SETTLE_LIMIT: std_time::Duration = std_time::Duration::from_secs(10);

/// Time between two looks for what became of a write.
const SETTLE_PERIOD: std_time::Duration = std_time::Duration::from_millis(200);

/// The head row as a submission found it.
struct FoundHead {
    row_version: u64,
    head: ConfigHead,
}

impl FoundHead {
    fn new(row: Option<platform::TableRow>) -> Self {
        let none = ConfigHead {
            version: 0,
            digest: String::new(),
        };
        Self {
            row_version: row.as_ref().map_or(0, |row| row.version),
            head: row.and_then(|row| decode(row.value)).unwrap_or(none),
        }
    }
}

impl ConfigKeeper {
    /// Submits a document made from version `base` and returns its version.
    ///
    /// # Errors
    ///
    /// [`ConfigError::Conflict`] when another change came first;
    /// [`ConfigError::Unknown`] only when the platform could not be asked what
    /// became of the write.
    pub async fn submit(
        &self,
        base: id::DocumentVersion,
        operator: &str,
        text: String,
    ) -> Result<id::DocumentVersion, ConfigError> {
        if text.len() > section::DOCUMENT_LIMIT_BYTES {
            return Err(ConfigError::TooLong { found: text.len() });
        }
        let document = aside(|| document::parse(&text)).map_err(ConfigError::Invalid)?;
        let found = self.find_head().await.map_err(ConfigError::NotAccepted)?;
        // The table service may have been restored to an older state.
        let newest = found.head.version.max(self.version());
        if newest != base {
            return Err(self.conflict(base, newest).await);
        }
        let entry = self
            .audit(base, operator, &text, &document)
            .await
            .map_err(ConfigError::NotAccepted)?;
        let transaction = transaction(&found, &entry, &text);
        let outcome = self.table.commit(transaction).await;
        match outcome {
            Ok(platform::CommitOutcome::Committed) => Ok(self.accept(&entry, text)),
            Ok(platform::CommitOutcome::Conflict(_)) => self.lose(&entry).await,
            Err(error @ platform::PlatformError::Failed { .. }) => {
                Err(ConfigError::NotAccepted(error))
            }
            Err(error) => self.settle(&found, &entry, text, error).await,
        }
    }

    async fn find_head(&self) -> Result<FoundHead, platform::PlatformError> {
        let row = self.table.read(HEAD_TABLE, HEAD_KEY).await?;
        Ok(FoundHead::new(row))
    }

    async fn audit(
        &self,
        base: id::DocumentVersion,
        operator: &str,
        text: &str,
        document: &document::ConfigDocument,
    ) -> Result<AuditEntry, platform::PlatformError> {
        let before = match base {
            0 => None,
            _ => self.text(base).await?,
        };
        let changes = aside(|| {
            let old = before.as_deref().map(document::parse);
            let old = old.and_then(Result::ok).unwrap_or_default();
            change::compare(&old, document)
        });
        // No version that a peer may hold is given a second time.
        let highest = super::lock(&self.spread).highest();
        Ok(AuditEntry {
            version: base.max(highest) + 1,
            base,
            operator: operator.to_owned(),
            host: self.host.clone(),
            at_ms: event::unix_millis(),
            base_digest: before
                .as_deref()
                .map(document::digest_key)
                .unwrap_or_default(),
            digest: document::digest_key(text),
            changes,
            attempt: id::fresh_request(),
        })
    }

    fn accept(&self, entry: &AuditEntry, text: String) -> id::DocumentVersion {
        self.report(
            event::EventCode::ConfigAccepted,
            entry.version,
            format!("by {} from version {}", entry.operator, entry.base),
        );
        self.adopt(entry.version, text);
        entry.version
    }

    /// Answers a submission whose check failed.
    async fn lose(&self, entry: &AuditEntry) -> Result<id::DocumentVersion, ConfigError> {
        let newest = self.find_head().await.map(|found| found.head.version);
        Err(self
            .conflict(entry.base, newest.unwrap_or(entry.version))
            .await)
    }

    async fn conflict(
        &self,
        base: id::DocumentVersion,
        newest: id::DocumentVersion,
    ) -> ConfigError {
        // What cannot be read is left out: the conflict itself is certain.
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
        aside(|| document::parse(&text)).ok()
    }

    /// Finds out what became of a write whose answer was lost.
    ///
    /// While the head row is unchanged the write may still arrive late. Writing
    /// the row as it is makes the late write's check fail, so that "not
    /// accepted" stays true.
    async fn settle(
        &self,
        found: &FoundHead,
        entry: &AuditEntry,
        text: String,
        error: platform::PlatformError,
    ) -> Result<id::DocumentVersion, ConfigError> {
        let limit = time::Instant::now() + SETTLE_LIMIT;
        while time::Instant::now() < limit {
            match self.look_back(found, entry).await {
                Ok(Some(true)) => return Ok(self.accept(entry, text)),
                Ok(Some(false)) => return self.give_up(entry, error).await,
                Ok(None) | Err(_) => time::sleep(SETTLE_PERIOD).await,
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

    /// Tells whether the write took effect, or `None` while it still may.
    async fn look_back(
        &self,
        found: &FoundHead,
        entry: &AuditEntry,
    ) -> Result<Option<bool>, platform::PlatformError> {
        let now = self.find_head().await?;
        if now.row_version == found.row_version {
            let touch = platform::TableTransaction {
                checks: vec![check_head(found)],
                writes: vec![write_head(&found.head)],
            };
            // The next look shows what became of it.
            let _ = self.table.commit(touch).await;
            let now = self.find_head().await?;
            if now.row_version == found.row_version {
                return Ok(None);
            }
        }
        // The row changed, so the write took effect already or never will.
        let key = document_key(entry.version);
        let row = self.table.read(AUDIT_TABLE, &key).await?;
        let written: Option<AuditEntry> = row.and_then(|row| decode(row.value));
        Ok(Some(
            written.is_some_and(|written| written.attempt == entry.attempt),
        ))
    }

    async fn give_up(
        &self,
        entry: &AuditEntry,
        error: platform::PlatformError,
    ) -> Result<id::DocumentVersion, ConfigError> {
        match self.find_head().await {
            Ok(found) if found.head.version > entry.base => {
                Err(self.conflict(entry.base, found.head.version).await)
            }
            _ => Err(ConfigError::NotAccepted(error)),
        }
    }
}

fn transaction(found: &FoundHead, entry: &AuditEntry, text: &str) -> platform::TableTransaction {
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
    if let Some(old) = entry.version.checked_sub(KEPT_DOCUMENTS) {
        writes.push(write(DOCUMENT_TABLE, document_key(old), None));
    }
    platform::TableTransaction {
        checks: vec![check_head(found)],
        writes,
    }
}

fn check_head(found: &FoundHead) -> platform::RowCheck {
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
