//! Errors as callers see them, which say whether the request ran.

use std::time as std_time;

use serde::{Deserialize, Serialize};

use crate::caller;

/// Whether a request ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum RunOutcome {
    /// It did not run and will not.
    No,
    /// It ran, in whole or in part.
    Yes,
    /// It may have run.
    Unknown,
}

/// An error as callers see it.
#[derive(Clone, Debug)]
pub struct CallerError {
    /// HTTP status.
    pub status: http::StatusCode,
    /// Stable code.
    pub code: &'static str,
    /// Message for people.
    pub message: String,
    /// Whether the request ran.
    pub ran: RunOutcome,
    /// Time after which to come back.
    pub pause: Option<std_time::Duration>,
    /// Whether `ran` also holds for earlier sendings under the same key.
    pub settled: bool,
}

impl CallerError {
    /// Creates an error for a request that did not run.
    pub fn new(status: http::StatusCode, code: &'static str, message: &str) -> Self {
        Self {
            status,
            code,
            message: message.to_owned(),
            ran: RunOutcome::No,
            pause: None,
            settled: false,
        }
    }

    /// Notes that the record was read.
    pub fn with_record(mut self) -> Self {
        self.settled = true;
        self
    }

    /// Returns the error for a request with an idempotency key.
    ///
    /// What was refused before the record was read may be a resend of a
    /// request that ran.
    pub(super) fn for_keyed(self) -> Self {
        match (self.settled, self.ran) {
            (false, RunOutcome::No) => self.with_ran(RunOutcome::Unknown),
            _ => self,
        }
    }

    /// Sets whether the request ran.
    pub fn with_ran(mut self, ran: RunOutcome) -> Self {
        self.ran = ran;
        self
    }

    /// Sets the time after which to come back.
    pub fn with_pause(mut self, pause: std_time::Duration) -> Self {
        self.pause = Some(pause);
        self
    }

    /// Returns the error as JSON.
    pub fn to_json(&self) -> serde_json::Value {
        let mut error = serde_json::json!({
            "code": self.code,
            "message": self.message,
            "type": "arbutusfold_error",
            "ran": self.ran,
        });
        if let Some(pause) = self.pause {
            error["retry_after_ms"] = serde_json::json!(pause.as_millis() as u64);
        }
        serde_json::json!({ "error": error })
    }

    pub(super) fn to_answer(&self) -> caller::CallerAnswer {
        let mut answer = caller::json_answer(self.status, &self.to_json());
        if let Some(pause) = self.pause {
            // The header counts whole seconds; rounding up never calls back early.
            let seconds = pause.as_millis().div_ceil(1_000) as u64;
            answer
                .headers_mut()
                .insert(http::header::RETRY_AFTER, http::HeaderValue::from(seconds));
        }
        answer
    }
}
