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

/// Returns whether an answer has no body or states where it ends.
pub fn is_framed(parts: &http::response::Parts, body: &body::Incoming) -> bool {
    body::Body::is_end_stream(body) || head::is_framed(&parts.headers)
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
    /// [`receive::ReceiveError`] if it is too long, late or broken, may have broken off, or
    /// there is no memory for it.
    pub async fn read(
        &self,
        parts: &http::response::Parts,
        body: body::Incoming,
    ) -> Result<Bytes, receive::ReceiveError> {
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
    ) -> Result<Bytes, receive::ReceiveError> {
        if !is_framed(parts, &body) {
            return Err(receive::ReceiveError::Unframed);
        }
        let Some(account) = &self.account else {
            return receive::read_unheld(body, limit_bytes, deadline).await;
        };
        let owner = memory::HoldOwner {
            address: self.runner,
            organisation: None,
        };
        let hold = account.open(owner, memory::HoldKind::Incoming, sync::Arc::default());
        receive::read_body(body, limit_bytes, deadline, account, hold, None).await
    }
}

/// Returns the fault of a run whose body could not be read.
pub fn fault(error: &receive::ReceiveError) -> held::RunFault {
    match error {
        receive::ReceiveError::TooLong => held::RunFault::ran("the answer is too long", None),
        receive::ReceiveError::NoMemory => held::RunFault::ran("no memory for the answer", None),
        receive::ReceiveError::Unframed => held::RunFault::ran(UNFRAMED, None),
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
