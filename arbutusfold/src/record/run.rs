//! One marked request from its receipt to its answer.

use std::future;
use std::pin;
use std::task;
use std::time as std_time;

use async_trait::async_trait;
use derive_more::{Display, Error};
use tokio::time;

use crate::record;

/// Why a dispatch gave no answer.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum DispatchError {
    /// No connection was made, so nothing reached the upstream.
    #[display("not sent: {reason}")]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// The call may have reached the upstream.
    #[display("answer lost: {reason}")]
    Lost {
        /// Cause.
        reason: String,
    },
}

/// Sends one call to an upstream.
#[async_trait]
pub trait CallDispatch: Send + Sync {
    /// Sends the call to the upstream whose index it is and returns its answer.
    ///
    /// # Errors
    ///
    /// [`DispatchError::NotSent`] only when it is proved that nothing was sent.
    async fn dispatch(&self, index: usize) -> Result<record::RecordedAnswer, DispatchError>;
}

/// A marked request.
pub struct KeyedCall<'a> {
    /// Key that names the request.
    pub key: record::RecordKey,
    /// Digest of method, path and body.
    pub digest: String,
    /// When it was received.
    pub received: time::Instant,
    /// Upstreams that may be tried.
    pub upstream_count: usize,
    /// Longest time for one dispatch.
    pub timeout: std_time::Duration,
    /// Sends it.
    pub dispatcher: &'a dyn CallDispatch,
}

/// Why a marked request got no answer of an upstream.
#[derive(Clone, Debug, Display, Error, PartialEq, Eq)]
pub enum KeyedError {
    /// Nothing ran under the key, and this attempt will not run.
    #[display("the call did not run: {reason}")]
    NotRun {
        /// Cause.
        reason: String,
    },
    /// The key was used with another call, and this one did not run.
    #[display("this key was used with another request")]
    Reused,
    /// An attempt under the key was started and its outcome is not known yet.
    #[display("the outcome is not known: {reason}")]
    Pending {
        /// Cause.
        reason: String,
    },
    /// This attempt was not started; what earlier ones did cannot be read.
    #[display("the record cannot be reached: {reason}")]
    Unreachable {
        /// Cause.
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

/// Runs a marked request at most once.
///
/// Another upstream is tried only while no connection was made, which proves
/// that nothing reached the one before.
///
/// # Errors
///
/// [`KeyedError`] says whether the call ran.
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

/// Waits for a dispatch up to `deadline`.
///
/// The clock is looked at before each step, so that a host which slept past
/// the deadline sends nothing when it wakes.
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
