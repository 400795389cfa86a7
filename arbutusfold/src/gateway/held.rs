//! Silent runs of one request.
//!
//! A sound runner may pause and go on, so a silent run is kept until another run of
//! its request delivers or the request ends.

use std::time as std_time;

use arbutusfold_platform::link;
use bytes::Bytes;
use futures_util::future::BoxFuture;
use futures_util::stream::FuturesUnordered;
use futures_util::{FutureExt, StreamExt, future};
use tokio::time;

use crate::gateway::answer_end;
use crate::gateway::crash;
use crate::gateway::request;

/// Why a run ended without delivering.
#[derive(Debug)]
pub struct RunFault {
    /// How far the request came.
    pub reach: request::AttemptReach,
    /// Cause, for the log.
    pub cause: String,
    /// Whether the first runner is at fault, and not only the way to it.
    pub is_blamed: bool,
    /// What suggests that the first runner died, if anything does.
    pub sign: Option<crash::CrashSign>,
    /// The response, if the runner reported a failure of its own.
    pub response: Option<FailureResponse>,
    /// How the answer ended, if one began.
    pub end: Option<answer_end::AnswerEnd>,
}

/// Response of a runner that failed a request.
#[derive(Debug)]
pub struct FailureResponse {
    /// Head of the response.
    pub parts: http::response::Parts,
    /// Complete body, if it came soon.
    pub bytes: Option<Bytes>,
}

impl RunFault {
    /// Returns the fault of a run that may have run the request.
    pub fn ran(cause: impl Into<String>, sign: Option<crash::CrashSign>) -> Self {
        Self {
            reach: request::AttemptReach::Ran,
            cause: cause.into(),
            is_blamed: true,
            sign,
            response: None,
            end: None,
        }
    }

    /// Returns the fault of a run whose connection broke.
    pub fn lost(error: &link::LinkError, sign: crash::CrashSign) -> Self {
        let is_blamed = !error.is_way_lost();
        Self {
            is_blamed,
            ..Self::ran(error.to_string(), Some(sign).filter(|_| is_blamed))
        }
    }

    /// Returns the fault of a run whose runner reported a failure.
    pub fn reported(response: FailureResponse) -> Self {
        let cause = format!("status {}", response.parts.status.as_u16());
        Self {
            response: Some(response),
            ..Self::ran(cause, None)
        }
    }

    /// Returns the failure of the held run on these runners.
    pub fn at(self, target: request::AttemptTarget, progressed: bool) -> Box<HeldFailure> {
        Box::new(HeldFailure {
            target,
            fault: self,
            progressed,
        })
    }
}

/// A held run that ended without delivering.
#[derive(Debug)]
pub struct HeldFailure {
    /// Runners of the run.
    pub target: request::AttemptTarget,
    /// Why it ended.
    pub fault: RunFault,
    /// Whether the run produced events of a stream before.
    pub progressed: bool,
}

/// End of a held run.
pub type HeldEnd<T> = Result<T, Box<HeldFailure>>;

/// Result of racing an attempt against held runs.
#[derive(Debug)]
pub enum RaceEnd<T, O> {
    /// A held run delivered first; the attempt was dropped.
    Held(T),
    /// The attempt ended first.
    Attempt(O),
}

/// Silent runs that may still deliver.
pub struct HeldRuns<T> {
    runs: FuturesUnordered<BoxFuture<'static, HeldEnd<T>>>,
    failures: Vec<HeldFailure>,
}

impl<T> Default for HeldRuns<T> {
    fn default() -> Self {
        Self {
            runs: FuturesUnordered::new(),
            failures: Vec::new(),
        }
    }
}

impl<T> HeldRuns<T> {
    /// Adds a run; the future ends when the run delivers or fails.
    pub fn push(&mut self, run: impl Future<Output = HeldEnd<T>> + Send + 'static) {
        self.runs.push(run.boxed());
    }

    /// Returns whether no run is left that may deliver.
    pub fn is_empty(&self) -> bool {
        self.runs.is_empty()
    }

    /// Returns the runs that failed since the last call.
    pub fn take_failures(&mut self) -> Vec<HeldFailure> {
        std::mem::take(&mut self.failures)
    }

    /// Runs `attempt` until it ends or a held run delivers.
    pub async fn race<O>(&mut self, attempt: impl Future<Output = O>) -> RaceEnd<T, O> {
        let delivery = async {
            match self.next().await {
                Some(delivered) => delivered,
                None => future::pending().await,
            }
        };
        tokio::select! {
            biased;
            delivered = delivery => RaceEnd::Held(delivered),
            outcome = attempt => RaceEnd::Attempt(outcome),
        }
    }

    /// Waits for at most `limit` until a run delivers; returns `None` earlier if all
    /// runs fail.
    pub async fn wait(&mut self, limit: std_time::Duration) -> Option<T> {
        time::timeout(limit, self.next()).await.ok().flatten()
    }

    /// Waits until a run delivers; returns `None` if all fail.
    async fn next(&mut self) -> Option<T> {
        while let Some(end) = self.runs.next().await {
            match end {
                Ok(delivered) => return Some(delivered),
                Err(failure) => self.failures.push(*failure),
            }
        }
        None
    }
}
