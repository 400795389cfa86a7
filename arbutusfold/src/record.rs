//! Idempotency records, which keep non-idempotent calls from running twice.
//!
//! A call of a non-idempotent operation carries an idempotency key; it is a
//! keyed call. The table service holds one row for each key of an organisation
//! and service. An attempt is dispatched only after the write of its row in
//! state [`RecordState::Started`] is confirmed, and no other attempt takes over
//! a started row. A caller gets "not run" only if the row proves that nothing
//! ran and no write of the attempt can still take effect.

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

/// Name of the table that holds the records.
pub const RECORD_TABLE: &str = "records";

/// Time after its receipt within which a keyed call must be dispatched.
///
/// If the host is suspended or the store takes longer than this, the attempt is
/// not dispatched. Otherwise an old copy of a call could run long after a newer
/// copy was answered with "not run".
pub const DISPATCH_WINDOW: std::time::Duration = std::time::Duration::from_secs(3);

/// Identifies a keyed call; calls with the same key are copies of one call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RecordKey {
    /// Organisation of the caller.
    pub organisation: id::OrganisationName,
    /// Service to call.
    pub service: id::ServiceName,
    /// Idempotency key from the caller.
    pub idempotency: String,
}

impl RecordKey {
    /// Returns the key of the row in the table.
    pub fn row_key(&self) -> String {
        // The lengths make the key unambiguous when a part contains a separator.
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

/// A recorded answer, which is replayed when the call is repeated.
#[serde_as]
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordedAnswer {
    /// HTTP status.
    pub status: u16,
    /// Value of the `Content-Type` header.
    pub content_type: String,
    /// Body, stored without changes.
    #[serde_as(as = "base64::Base64")]
    pub body: Vec<u8>,
}

/// State of a keyed call.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RecordState {
    /// An attempt was about to be dispatched and may have run.
    Started,
    /// An attempt ran and returned this answer.
    Finished(RecordedAnswer),
    /// No attempt ran; a new attempt may start.
    Released,
}

/// Content of a row of [`RECORD_TABLE`].
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RecordRow {
    /// Attempt that wrote the row.
    pub attempt: id::RequestId,
    /// Host of the node that made the attempt.
    pub host: id::HostName,
    /// Digest of the call's method, path and body.
    pub digest: String,
    /// State of the call.
    pub state: RecordState,
}

/// A row and the version at which it was read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct VersionedRow {
    /// Version in the table.
    pub version: u64,
    /// Content.
    pub row: RecordRow,
}

/// Permission to dispatch one attempt once.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DispatchPermit {
    /// Key of the row.
    pub row_key: String,
    /// Attempt that may be dispatched.
    pub attempt: id::RequestId,
    /// Digest of the call.
    pub digest: String,
    /// Time from which the attempt must no longer be dispatched.
    pub deadline: time::Instant,
}

impl DispatchPermit {
    /// Returns whether the attempt may be dispatched at `now`.
    pub fn is_valid(&self, now: time::Instant) -> bool {
        now < self.deadline
    }
}

/// Decision on a keyed call.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum RecordDecision {
    /// Only this attempt may be dispatched, and only once.
    Run(DispatchPermit),
    /// The call already ran; its recorded answer is returned.
    Replay(RecordedAnswer),
    /// The key was used before for a call with another method, path or body.
    Reused,
    /// Another attempt may have been dispatched, and its outcome is not known yet.
    Pending,
}

/// Reason why there is no decision on a keyed call.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum RecordError {
    /// No attempt with the key ran, and this one will not run.
    #[display("the call did not run: {reason}")]
    NotRun {
        /// Cause of the failure.
        reason: String,
    },
    /// This attempt was not dispatched; whether an earlier one ran is not known.
    #[display("the record cannot be reached: {reason}")]
    Unknown {
        /// Cause of the failure.
        reason: String,
    },
}
