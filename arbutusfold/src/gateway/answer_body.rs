//! Bodies of runners' answers, read within the account of memory.
//!
//! A faulty runner can send bytes without end. What is read of an answer is held in the
//! name of its runner, so where memory is short the runners that hold most give way.

use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold_platform::{head, link};
use bytes::Bytes;
use hyper::body;
use tokio::time;

use crate::gateway::answer_end;
use crate::gateway::crash;
use crate::gateway::held;
use crate::gateway::memory;
use crate::gateway::receive;

/// Longest complete answer in bytes.
const ANSWER_LIMIT_BYTES: usize = 16 << 20;

/// Longest body of a failure that is passed on to a caller, in bytes.
const FAILURE_LIMIT_BYTES: usize = 64 << 10;

/// Longest time for the body of a failure. Its head is enough to try another runner.
const FAILURE_TIME: std_time::Duration = std_time::Duration::from_millis(250);

/// A body that was not read as a whole.
#[derive(Debug)]
pub enum BodyError {
    /// Its runner may have died, and nothing states that the body is whole.
    RunnerLost(Box<held::RunFault>),
    /// It was not received.
    NotReceived(head::BodyFraming, receive::ReceiveError),
}

impl BodyError {
    /// Returns whether the deadline of the request has passed.
    pub fn is_late(&self) -> bool {
        matches!(self, Self::NotReceived(_, receive::ReceiveError::TimedOut))
    }

    /// Converts the error to the fault of the run.
    pub fn into_fault(self) -> held::RunFault {
        let (framing, error) = match self {
            Self::RunnerLost(fault) => return *fault,
            Self::NotReceived(framing, error) => (framing, error),
        };
        let connection = match &error {
            receive::ReceiveError::Broken(error) => answer_end::ConnectionEnd::of_error(error),
            _ => answer_end::ConnectionEnd::Open,
        };
        let fault = match error {
            receive::ReceiveError::TooLong => held::RunFault::ran("the answer is too long", None),
            receive::ReceiveError::NoMemory => {
                held::RunFault::ran("no memory for the answer", None)
            }
            receive::ReceiveError::TimedOut => held::RunFault::ran("no whole answer in time", None),
            receive::ReceiveError::Broken(error) => {
                let is_blamed = !link::is_way_lost(&error);
                let sign = Some(crash::CrashSign::Body).filter(|_| is_blamed);
                held::RunFault {
                    is_blamed,
                    ..held::RunFault::ran(format!("answer lost: {error}"), sign)
                }
            }
        };
        held::RunFault {
            end: Some(answer_end::AnswerEnd::new(framing, connection)),
            ..fault
        }
    }
}

/// Returns what tells where the body of an answer ends; no body ends with its head.
pub fn framing(parts: &http::response::Parts, body: &body::Incoming) -> head::BodyFraming {
    match body::Body::is_end_stream(body) {
        true => head::BodyFraming::Length,
        false => head::body_framing(&parts.headers),
    }
}

/// The whole body of an answer.
#[derive(Clone, Debug)]
pub struct WholeBody {
    /// Its bytes.
    pub bytes: Bytes,
    /// How it ended.
    pub end: answer_end::AnswerEnd,
}

/// Reads the bodies of the answers of one runner.
#[derive(Clone)]
pub struct BodyReader {
    /// Judges ends that only the connection states.
    pub judge: answer_end::EndJudge,
    /// Address of the runner.
    pub runner: net::IpAddr,
}

impl BodyReader {
    /// Reads a whole body.
    ///
    /// # Errors
    ///
    /// [`BodyError`] if it is too long, late or broken, may have broken off, or there is no
    /// memory for it.
    pub async fn read(
        &self,
        parts: &http::response::Parts,
        body: body::Incoming,
    ) -> Result<WholeBody, BodyError> {
        let deadline = self.judge.deadline;
        self.read_up_to(parts, body, ANSWER_LIMIT_BYTES, deadline)
            .await
    }

    /// Reads the body of a failure, `None` if it is not complete soon.
    pub async fn read_failure(
        &self,
        parts: &http::response::Parts,
        body: body::Incoming,
    ) -> Option<Bytes> {
        let deadline = self.judge.deadline.min(time::Instant::now() + FAILURE_TIME);
        let read = self.read_up_to(parts, body, FAILURE_LIMIT_BYTES, deadline);
        read.await.ok().map(|whole| whole.bytes)
    }

    async fn read_up_to(
        &self,
        parts: &http::response::Parts,
        body: body::Incoming,
        limit_bytes: usize,
        deadline: time::Instant,
    ) -> Result<WholeBody, BodyError> {
        let framing = framing(parts, &body);
        let read = match &self.judge.core.memory {
            None => receive::read_unheld(body, limit_bytes, deadline).await,
            Some(account) => {
                let owner = memory::HoldOwner {
                    address: self.runner,
                    organisation: None,
                };
                let hold = account.open(owner, memory::HoldKind::Incoming, sync::Arc::default());
                receive::read_body(body, limit_bytes, deadline, account, hold, None).await
            }
        };
        let bytes = read.map_err(|error| BodyError::NotReceived(framing, error))?;
        let end = self.judge.judge(framing, deadline).await;
        match end.lost_fault() {
            Some(fault) => Err(BodyError::RunnerLost(Box::new(fault))),
            None => Ok(WholeBody { bytes, end }),
        }
    }
}
