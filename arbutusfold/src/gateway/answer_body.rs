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

/// Why an answer is of no use whose end nothing states.
pub const UNFRAMED: &str = "the answer states no end of its body";

/// Why a body was not read as a whole.
#[derive(Debug)]
pub enum BodyFault {
    /// Nothing states where it ends, so it may have broken off.
    Unframed,
    /// It was not received.
    NotReceived(receive::ReceiveError),
}

/// A body that was not read as a whole.
#[derive(Debug)]
pub struct BodyError {
    fault: BodyFault,
    end: answer_end::AnswerEnd,
}

impl BodyError {
    fn new(framing: head::BodyFraming, fault: BodyFault) -> Self {
        let connection = match &fault {
            BodyFault::NotReceived(receive::ReceiveError::Broken(error)) => {
                answer_end::ConnectionEnd::of_error(error)
            }
            _ => answer_end::ConnectionEnd::Open,
        };
        Self {
            fault,
            end: answer_end::AnswerEnd {
                framing,
                connection,
            },
        }
    }

    /// Returns whether the deadline of the request has passed.
    pub fn is_late(&self) -> bool {
        matches!(
            self.fault,
            BodyFault::NotReceived(receive::ReceiveError::TimedOut)
        )
    }

    /// Returns the fault of the run.
    pub fn to_fault(&self) -> held::RunFault {
        held::RunFault {
            end: Some(self.end),
            ..self.run_fault()
        }
    }

    fn run_fault(&self) -> held::RunFault {
        let error = match &self.fault {
            BodyFault::Unframed => return held::RunFault::ran(UNFRAMED, None),
            BodyFault::NotReceived(error) => error,
        };
        match error {
            receive::ReceiveError::TooLong => held::RunFault::ran("the answer is too long", None),
            receive::ReceiveError::NoMemory => {
                held::RunFault::ran("no memory for the answer", None)
            }
            receive::ReceiveError::TimedOut => held::RunFault::ran("no whole answer in time", None),
            receive::ReceiveError::Broken(error) => {
                let is_blamed = !link::is_way_lost(error);
                let sign = Some(crash::CrashSign::Body).filter(|_| is_blamed);
                held::RunFault {
                    is_blamed,
                    ..held::RunFault::ran(format!("answer lost: {error}"), sign)
                }
            }
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

/// Reads the bodies of the answers of one runner.
#[derive(Clone, Debug)]
pub struct BodyReader {
    /// Account of the process, if its settings limit its memory.
    pub account: Option<sync::Arc<memory::MemoryAccount>>,
    /// Address of the runner.
    pub runner: net::IpAddr,
    /// Deadline of the request.
    pub deadline: time::Instant,
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
    ) -> Result<Bytes, BodyError> {
        self.read_up_to(parts, body, ANSWER_LIMIT_BYTES, self.deadline)
            .await
    }

    /// Reads the body of a failure, `None` if it is not complete soon.
    pub async fn read_failure(
        &self,
        parts: &http::response::Parts,
        body: body::Incoming,
    ) -> Option<Bytes> {
        let deadline = self.deadline.min(time::Instant::now() + FAILURE_TIME);
        let read = self.read_up_to(parts, body, FAILURE_LIMIT_BYTES, deadline);
        read.await.ok()
    }

    async fn read_up_to(
        &self,
        parts: &http::response::Parts,
        body: body::Incoming,
        limit_bytes: usize,
        deadline: time::Instant,
    ) -> Result<Bytes, BodyError> {
        let framing = framing(parts, &body);
        if framing == head::BodyFraming::Connection {
            return Err(BodyError::new(framing, BodyFault::Unframed));
        }
        let not_received = |error| BodyError::new(framing, BodyFault::NotReceived(error));
        let Some(account) = &self.account else {
            let read = receive::read_unheld(body, limit_bytes, deadline).await;
            return read.map_err(not_received);
        };
        let owner = memory::HoldOwner {
            address: self.runner,
            organisation: None,
        };
        let hold = account.open(owner, memory::HoldKind::Incoming, sync::Arc::default());
        let read = receive::read_body(body, limit_bytes, deadline, account, hold, None);
        read.await.map_err(not_received)
    }
}
