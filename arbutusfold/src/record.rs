//! The record of requests that may not repeat.
//!
//! One row of the table service stands for one key of an organisation. An
//! attempt is dispatched only after its row is known to be written as started,
//! and a start is never taken over. "Not run" is said only when the row shows
//! that nothing ran and no write of the attempt can still take effect.

mod group;
mod keeper;
mod run;
mod start;
mod sweep;

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};
use serde_with::base64;
use serde_with::serde_as;
use tokio::time;

use crate::id;

pub use keeper::{FINISH_WAIT, RecordKeeper};
pub use run::{CallDispatch, DispatchError, KeyedCall, KeyedError, run_keyed};
pub use start::{StartAction, StartEvent, StartMachine};
pub use sweep::{RETENTION, SweepResult, WallClock};

/// Table of the rows.
pub const RECORD_TABLE: &str = "records";

/// Time after its receipt within which a marked request must be dispatched.
///
/// A host that slept longer, or a store that was slow for longer, gives the
/// attempt up, so that an old copy of a request never runs long after a newer
/// one was told "not run".
pub const DISPATCH_WINDOW: std::time::Duration = std::time::Duration::from_secs(3);

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
    /// Returns the key of the row in the table.
    pub fn row_key(&self) -> String {
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
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Content type.
    pub content_type: String,
    /// Body, byte for byte.
    #[serde_as(as = "base64::Base64")]
    pub body: Vec<u8>,
}

/// The state of a marked request.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// It was about to be dispatched; it may have run.
    Started,
    /// It ran, and this was the answer.
    Finished(RecordedAnswer),
    /// It did not run; a resend may start it.
    Released,
}

/// A row of the record.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRow {
    /// Attempt that wrote the row.
    pub attempt: id::RequestId,
    /// Host that made the attempt.
    pub host: id::HostName,
    /// Digest of method, path and body.
    pub digest: String,
    /// State.
    pub state: RecordState,
}

/// A row with the version at which it was seen.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRow {
    /// Version in the table.
    pub version: u64,
    /// Content.
    pub row: RecordRow,
}

/// The right to dispatch one attempt, once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    /// Key of the row.
    pub row_key: String,
    /// Attempt that may be dispatched.
    pub attempt: id::RequestId,
    /// Digest of the call.
    pub digest: String,
    /// Time from which the attempt must not be dispatched any more.
    pub deadline: time::Instant,
}

impl DispatchPermit {
    /// Tells whether the attempt may be dispatched at `now`.
    pub fn is_valid(&self, now: time::Instant) -> bool {
        now < self.deadline
    }
}

/// What a caller's marked request is met with.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// This attempt alone may be dispatched, once.
    Run(DispatchPermit),
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
    /// Nothing ran under the key, and this attempt will not run.
    #[display("the call did not run: {reason}")]
    NotRun {
        /// Cause.
        reason: String,
    },
    /// This attempt was not dispatched; what earlier ones did is not known.
    #[display("the record cannot be reached: {reason}")]
    Unknown {
        /// Cause.
        reason: String,
    },
}
