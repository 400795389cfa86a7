//! The record of requests that may not repeat.
//!
//! One row of the table service stands for one key of an organisation. It is
//! created as started before anything is dispatched, so a row that is absent
//! proves that nothing ran.

use std::sync;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::event;
use crate::id;
use crate::platform;

const RECORD_TABLE: &str = "records";

/// Times that an unknown write is read back before the node gives up.
const READ_BACK_TRIES: usize = 3;

/// Names a marked request: the same key again means the same request.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordKey {
    /// Organisation of the caller.
    pub organisation: id::OrganisationName,
    /// Service that is called.
    pub service: id::ServiceName,
    /// Key that the caller chose.
    pub idempotency: String,
}

impl RecordKey {
    fn row_key(&self) -> String {
        // Lengths keep keys that contain the separator apart.
        format!(
            "{}:{}:{}/{}/{}",
            self.organisation.len(),
            self.service.len(),
            self.organisation,
            self.service,
            self.idempotency
        )
    }
}

/// An answer as it is given again.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body.
    pub body: String,
}

/// The state of a marked request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// It was about to be dispatched; it may have run.
    Started,
    /// It ran, and this was the answer.
    Finished(RecordedAnswer),
}

/// A row of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRow {
    /// Attempt that owns the row.
    pub attempt: id::RequestId,
    /// Host that made the attempt.
    pub host: id::HostName,
    /// Digest of method, path and body.
    pub digest: String,
    /// State.
    pub state: RecordState,
}

/// What a caller's marked request is met with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// This attempt alone may be dispatched, once.
    Run,
    /// It ran before; the first answer is given again.
    Replay(RecordedAnswer),
    /// The key was used with another body.
    Reused,
    /// Another attempt was dispatched and its outcome is not known yet.
    Pending,
}

/// Why a marked request was not decided.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordError {
    /// Nothing ran and nothing will.
    #[display("record not written: {reason}")]
    NotRun {
        /// Cause.
        reason: String,
    },
    /// The row may exist; this attempt was not dispatched.
    #[display("outcome of the record write is unknown: {reason}")]
    Unknown {
        /// Cause.
        reason: String,
    },
}

/// Keeps the record through the table service.
pub struct RecordKeeper {
    table: sync::Arc<dyn platform::TableClient>,
    recorder: sync::Arc<event::EventRecorder>,
    host: id::HostName,
}

impl RecordKeeper {
    /// Creates a keeper for the node on `host`.
    pub fn new(
        table: sync::Arc<dyn platform::TableClient>,
        recorder: sync::Arc<event::EventRecorder>,
        host: id::HostName,
    ) -> Self {
        Self {
            table,
            recorder,
            host,
        }
    }

    /// Writes the start of `attempt`, unless the key was used before.
    ///
    /// # Errors
    ///
    /// [`RecordError`] when the attempt must not be dispatched.
    pub async fn start(
        &self,
        key: &RecordKey,
        attempt: &str,
        digest: &str,
    ) -> Result<RecordDecision, RecordError> {
        let row = RecordRow {
            attempt: attempt.to_owned(),
            host: self.host.clone(),
            digest: digest.to_owned(),
            state: RecordState::Started,
        };
        let row_key = key.row_key();
        let transaction = transaction(&row_key, 0, &row);
        let found = match self.table.commit(transaction).await {
            Ok(platform::CommitOutcome::Committed) => None,
            Ok(platform::CommitOutcome::Conflict(rows)) => rows.into_iter().next(),
            Err(platform::PlatformError::Failed { reason }) => {
                return Err(RecordError::NotRun { reason });
            }
            Err(platform::PlatformError::Unknown { reason }) => {
                Some(self.read_back(&row_key, reason).await?)
            }
        };
        let decision = match found.map(|row| serde_json::from_value::<RecordRow>(row.value)) {
            None => RecordDecision::Run,
            Some(Err(error)) => {
                let reason = error.to_string();
                return Err(RecordError::Unknown { reason });
            }
            Some(Ok(held)) => decide(held, attempt, digest),
        };
        match &decision {
            RecordDecision::Run => {
                self.recorder
                    .record(event::EventCode::RecordStarted, attempt, row_key)
            }
            RecordDecision::Replay(_) => {
                self.recorder
                    .record(event::EventCode::RecordReplayed, attempt, row_key)
            }
            RecordDecision::Reused | RecordDecision::Pending => {}
        }
        Ok(decision)
    }

    /// Writes the answer of an attempt that ran.
    ///
    /// The caller has its answer whether or not the write succeeds; without
    /// it a resend is told that the outcome is unknown.
    pub async fn finish(
        &self,
        key: &RecordKey,
        attempt: &str,
        digest: &str,
        answer: RecordedAnswer,
    ) {
        let row_key = key.row_key();
        let row = RecordRow {
            attempt: attempt.to_owned(),
            host: self.host.clone(),
            digest: digest.to_owned(),
            state: RecordState::Finished(answer),
        };
        let version = match self.table.read(RECORD_TABLE, &row_key).await {
            Ok(Some(held)) => held.version,
            Ok(None) | Err(_) => return,
        };
        let outcome = self
            .table
            .commit(transaction(&row_key, version, &row))
            .await;
        let code = match outcome {
            Ok(platform::CommitOutcome::Committed) => event::EventCode::RecordFinished,
            _ => event::EventCode::RecordUnknown,
        };
        self.recorder.record(code, attempt, row_key);
    }

    async fn read_back(
        &self,
        row_key: &str,
        cause: String,
    ) -> Result<platform::TableRow, RecordError> {
        for _ in 0..READ_BACK_TRIES {
            // An absent row proves nothing: the write may still arrive.
            if let Ok(Some(row)) = self.table.read(RECORD_TABLE, row_key).await {
                return Ok(row);
            }
        }
        Err(RecordError::Unknown { reason: cause })
    }
}

fn decide(held: RecordRow, attempt: &str, digest: &str) -> RecordDecision {
    if held.digest != digest {
        return RecordDecision::Reused;
    }
    match held.state {
        RecordState::Finished(answer) => RecordDecision::Replay(answer),
        RecordState::Started if held.attempt == attempt => RecordDecision::Run,
        RecordState::Started => RecordDecision::Pending,
    }
}

fn transaction(row_key: &str, version: u64, row: &RecordRow) -> platform::TableTransaction {
    platform::TableTransaction {
        checks: vec![platform::RowCheck {
            table: RECORD_TABLE.to_owned(),
            key: row_key.to_owned(),
            version,
        }],
        writes: vec![platform::RowWrite {
            table: RECORD_TABLE.to_owned(),
            key: row_key.to_owned(),
            value: Some(serde_json::json!(row)),
        }],
    }
}
