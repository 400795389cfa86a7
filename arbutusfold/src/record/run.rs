//! Execution of one keyed call, from its receipt to its answer.

use std::future;
use std::pin;
use std::task;
use std::time as std_time;

use async_trait::async_trait;
use derive_more::{Display, Error};
use tokio::time;

use crate::record;

/// Reason why a dispatch returned no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DispatchError {
    /// No connection was established, so nothing reached the upstream.
    #[display("not sent: {reason}")]
    NotSent {
        /// Cause of the failure.
        reason: String,
    },
    /// The call may have reached the upstream.
    #[display("answer lost: {reason}")]
    Lost {
        /// Cause of the failure.
        reason: String,
    },
}

/// Sends one call to an upstream.
#[async_trait]
pub trait CallDispatch: Send + Sync {
    /// Sends the call to the upstream at `index` in the order of attempts and
    /// returns its answer.
    ///
    /// # Errors
    ///
    /// [`DispatchError::NotSent`] only if it is certain that nothing was sent,
    /// otherwise [`DispatchError::Lost`].
    async fn dispatch(&self, index: usize) -> Result<record::RecordedAnswer, DispatchError>;
}

/// A call of a non-idempotent operation with its idempotency key.
pub struct KeyedCall<'a> {
    /// Key that identifies the call.
    pub key: record::RecordKey,
    /// Digest of method, path and body.
    pub digest: String,
    /// Time at which the call was received.
    pub received: time::Instant,
    /// Number of upstreams that may be tried.
    pub upstream_count: usize,
    /// Maximum duration of one dispatch.
    pub timeout: std_time::Duration,
    /// Sends the call to an upstream.
    pub dispatcher: &'a dyn CallDispatch,
}

/// Reason why a keyed call returned no answer of an upstream.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyedError {
    /// No attempt with the key ran, and this one will not run.
    #[display("the call did not run: {reason}")]
    NotRun {
        /// Cause of the failure.
        reason: String,
    },
    /// The key was used before for another call; this call did not run.
    #[display("this key was used with another request")]
    Reused,
    /// An attempt with the key was started, and its outcome is not known yet.
    #[display("the outcome is not known: {reason}")]
    Pending {
        /// Cause of the failure.
        reason: String,
    },
    /// This attempt was not started; whether an earlier one ran cannot be read.
    #[display("the record cannot be reached: {reason}")]
    Unreachable {
        /// Cause of the failure.
        reason: String,
    },
}

impl From<record::RecordError> for KeyedError {
    fn from(error: record::RecordError) -> Self {
        match error {
            record::RecordError::NotRun { reason } => Self::NotRun { reason },
            record::RecordError::Unknown { reason } => Self::Unreachable { reason },
        }
    }
}

/// Runs a keyed call at most once.
///
/// The next upstream is tried only if no connection to the previous one was
/// established, which proves that nothing reached it.
///
/// # Errors
///
/// The variant of [`KeyedError`] states whether the call ran.
pub async fn run_keyed(
    keeper: &record::RecordKeeper,
    call: &KeyedCall<'_>,
) -> Result<record::RecordedAnswer, KeyedError> {
    let pending = |reason: &str| KeyedError::Pending {
        reason: reason.to_owned(),
    };
    let decision = keeper.start(&call.key, &call.digest, call.received).await?;
    let permit = match decision {
        record::RecordDecision::Run(permit) => permit,
        record::RecordDecision::Replay(answer) => return Ok(answer),
        record::RecordDecision::Reused => return Err(KeyedError::Reused),
        record::RecordDecision::Pending => return Err(pending("another attempt was started")),
    };
    let mut reason = "there is no upstream".to_owned();
    for index in 0..call.upstream_count {
        if !permit.is_valid(time::Instant::now()) {
            reason = "the host was paused or the store slow".to_owned();
            break;
        }
        let deadline = time::Instant::now() + call.timeout;
        match within(deadline, call.dispatcher.dispatch(index)).await {
            Ok(answer) => {
                keeper.finish(permit, answer.clone()).await;
                return Ok(answer);
            }
            Err(DispatchError::NotSent { reason: cause }) => reason = cause,
            Err(DispatchError::Lost { reason }) => {
                keeper.abandon(&permit, &reason);
                return Err(pending(&reason));
            }
        }
    }
    match keeper.release(&permit, &reason).await? {
        record::RecordDecision::Replay(answer) => Ok(answer),
        record::RecordDecision::Reused => Err(KeyedError::Reused),
        record::RecordDecision::Run(_) | record::RecordDecision::Pending => {
            Err(pending("another attempt was started"))
        }
    }
}

/// Runs a dispatch until `deadline`.
///
/// The clock is checked before each poll, so that a host which was suspended
/// past the deadline sends nothing when it resumes.
async fn within(
    deadline: time::Instant,
    dispatch: pin::Pin<
        Box<dyn Future<Output = Result<record::RecordedAnswer, DispatchError>> + Send + '_>,
    >,
) -> Result<record::RecordedAnswer, DispatchError> {
    let mut dispatch = dispatch;
    let mut sleep = pin::pin!(time::sleep_until(deadline));
    future::poll_fn(|context| {
        let expired = time::Instant::now() >= deadline;
        if expired || sleep.as_mut().poll(context).is_ready() {
            return task::Poll::Ready(Err(DispatchError::Lost {
                reason: "no answer within the deadline".to_owned(),
            }));
        }
        dispatch.as_mut().poll(context)
    })
    .await
}
