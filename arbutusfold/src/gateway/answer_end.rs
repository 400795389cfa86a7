//! How the answers of runners end.

use std::io;
use std::sync;

use arbutusfold_platform::{head, link};
use derive_more::Display;
use tokio::time;

use crate::gateway::core;
use crate::gateway::crash;
use crate::gateway::held;
use crate::gateway::stage_probe;
use crate::id;

/// Why an answer is of no use that ended with its connection and its runner.
const RUNNER_LOST: &str = "the runner ended with its answer";

/// What has become of the connection of an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum ConnectionEnd {
    /// Nothing: the body ended before it, or was not read to its end.
    #[display("open")]
    Open,
    /// The runner's side closed it in order.
    #[display("orderly")]
    Orderly,
    /// It was reset.
    #[display("reset")]
    Reset,
    /// The way to the runner was lost.
    #[display("way_lost")]
    WayLost,
    /// It carried bytes that are no body.
    #[display("invalid")]
    Invalid,
}

impl ConnectionEnd {
    /// Returns what the error of a body says about its connection.
    pub fn of_error(error: &hyper::Error) -> Self {
        if link::is_way_lost(error) {
            return Self::WayLost;
        }
        match link::io_cause(error) {
            Some(io::ErrorKind::UnexpectedEof) => Self::Orderly,
            Some(
                io::ErrorKind::ConnectionReset
                | io::ErrorKind::ConnectionAborted
                | io::ErrorKind::BrokenPipe
                | io::ErrorKind::TimedOut,
            ) => Self::Reset,
            _ => Self::Invalid,
        }
    }
}

/// What a runner shows after it closed the connection of an answer.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq, Hash)]
pub enum RunnerSign {
    /// It was not asked.
    #[display("no")]
    Unasked,
    /// It accepts connections.
    #[display("accepted")]
    Accepted,
    /// No process listens at its address any more.
    #[display("ended")]
    Ended,
    /// It refuses connections; nothing shows whether that is due to this node's way.
    #[display("refused")]
    Refused,
    /// It does not answer.
    #[display("silent")]
    Silent,
    /// It leaves, so the end of its process says nothing about its answers.
    #[display("leaving")]
    Leaving,
}

/// How the body of an answer ended.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
#[display("framing={framing} end={connection} asked={sign}")]
pub struct AnswerEnd {
    /// What tells where the body ends.
    pub framing: head::BodyFraming,
    /// What has become of the connection.
    pub connection: ConnectionEnd,
    /// What the runner showed after that.
    pub sign: RunnerSign,
}

impl AnswerEnd {
    /// Creates the end of a body whose runner was not asked.
    pub fn new(framing: head::BodyFraming, connection: ConnectionEnd) -> Self {
        Self {
            framing,
            connection,
            sign: RunnerSign::Unasked,
        }
    }

    /// Returns the end of a body that is complete by its framing.
    pub fn complete(framing: head::BodyFraming) -> Self {
        let connection = match framing {
            head::BodyFraming::Length | head::BodyFraming::Chunks => ConnectionEnd::Open,
            head::BodyFraming::Connection => ConnectionEnd::Orderly,
        };
        Self::new(framing, connection)
    }

    /// Returns whether the body itself states its end.
    pub fn is_stated(&self) -> bool {
        self.framing != head::BodyFraming::Connection
    }

    /// Returns whether the runner may have died with its answer.
    pub fn is_runner_lost(&self) -> bool {
        matches!(self.sign, RunnerSign::Ended | RunnerSign::Refused)
    }

    /// Returns the fault of the run if the runner may have died with its answer.
    pub fn lost_fault(self) -> Option<held::RunFault> {
        let is_blamed = self.sign == RunnerSign::Ended;
        let sign = Some(crash::CrashSign::Body).filter(|_| is_blamed);
        self.is_runner_lost().then(|| held::RunFault {
            is_blamed,
            end: Some(self),
            ..held::RunFault::ran(RUNNER_LOST, sign)
        })
    }
}

/// Judges ends of answers that only their connections state.
///
/// A connection that was closed in order ends such an answer; one that was reset breaks
/// it off. But the end of a process closes its connections in order as well, so the
/// runner is asked whether it still exists.
#[derive(Clone)]
pub struct EndJudge {
    /// State of the node.
    pub core: sync::Arc<core::GatewayCore>,
    /// Id of the request.
    pub request: id::RequestId,
    /// The runner that sent the answer.
    pub runner: Option<crash::RunnerInstance>,
    /// Deadline of the request.
    pub deadline: time::Instant,
}

impl EndJudge {
    /// Judges the end of a body that is complete by its framing. Without an answer of the
    /// runner by `deadline`, it counts as silent.
    pub async fn judge(&self, framing: head::BodyFraming, deadline: time::Instant) -> AnswerEnd {
        let end = AnswerEnd::complete(framing);
        let Some(runner) = self.runner.as_ref().filter(|_| !end.is_stated()) else {
            return end;
        };
        let asked = stage_probe::ask_closed(&self.core, runner, &self.request);
        let sign = time::timeout_at(deadline, asked).await;
        AnswerEnd {
            sign: sign.unwrap_or(RunnerSign::Silent),
            ..end
        }
    }
}
