//! How the answers of runners end.

use std::io;
use std::sync;
use std::time as std_time;

use arbutusfold_platform::{head, link};
use derive_more::Display;
use tokio::sync as tokio_sync;
use tokio::time;

use crate::gateway::core;
use crate::gateway::crash;
use crate::gateway::held;
use crate::gateway::runner_call;
use crate::id;
use crate::suspect;

/// Timeout for connecting to a runner that may be dead, and for its answer.
const CALL_LIMIT: std_time::Duration = std_time::Duration::from_millis(300);

/// Time for which a runner that does not answer is asked again. Callers wait for the end
/// of a stream at least that long.
const SILENCE_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Time for which a call to a runner tells other answers what it found.
const CALL_TTL: std_time::Duration = std_time::Duration::from_secs(1);

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
    /// It answers.
    #[display("answered")]
    Answered,
    /// Its process no longer exists.
    #[display("ended")]
    Ended,
    /// The same, but nothing shows that it is not due to this node's way.
    #[display("refused")]
    Refused,
    /// It does not answer, also not later.
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
        matches!(
            self.sign,
            RunnerSign::Ended | RunnerSign::Refused | RunnerSign::Silent
        )
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

/// Returns whether the process of a runner may end at any time after its answers, since
/// it leaves or its entry is gone.
pub fn may_end(core: &core::GatewayCore, instance: &crash::RunnerInstance) -> bool {
    let (id, started_ms) = (&instance.crash.upstream, instance.crash.incarnation);
    let fleet = core::lock(&core.fleet);
    fleet.get(id).is_none() || fleet.leaving_since(id, started_ms).is_some()
}

type EndCell = sync::Arc<tokio_sync::OnceCell<runner_call::ProcessSign>>;

/// Call to a runner that closed connections of answers.
#[derive(Clone, Debug)]
struct EndCall {
    crash: suspect::CrashId,
    started_at: time::Instant,
    cell: EndCell,
}

impl EndCall {
    fn found(&self) -> Option<runner_call::ProcessSign> {
        self.cell.get().copied()
    }
}

/// Recent calls to runners that closed connections of answers. The end of a process ends
/// all of its answers, which share what one call finds.
#[derive(Debug, Default)]
pub struct EndCalls {
    recent: Vec<EndCall>,
}

impl EndCalls {
    /// Returns the call that tells of a process after `closed_at`, or that is under way,
    /// or a new one.
    fn join(&mut self, process: &suspect::CrashId, closed_at: time::Instant) -> EndCall {
        let now = time::Instant::now();
        self.recent
            .retain(|call| now.saturating_duration_since(call.started_at) < CALL_TTL);
        let is_joined = |call: &&EndCall| {
            let is_valid = match call.found() {
                Some(runner_call::ProcessSign::Gone) | None => true,
                Some(_) => call.started_at >= closed_at,
            };
            call.crash == *process && is_valid
        };
        if let Some(call) = self.recent.iter().find(is_joined) {
            return call.clone();
        }
        let call = EndCall {
            crash: process.clone(),
            started_at: now,
            cell: EndCell::default(),
        };
        self.recent.push(call.clone());
        call
    }
}

/// Finds out whether the process of a runner still exists that closed the connection of
/// an answer in order at `closed_at`.
async fn ask_closed(
    core: &core::GatewayCore,
    runner: &crash::RunnerInstance,
    closed_at: time::Instant,
) -> RunnerSign {
    if may_end(core, runner) {
        return RunnerSign::Leaving;
    }
    let mut since = closed_at;
    loop {
        let call = core::lock(&core.end_calls).join(&runner.crash, since);
        let find = || {
            core.metrics.end_calls.inc();
            let started_ms = runner.crash.incarnation;
            runner_call::find_process(&*core.dialer, runner.address, started_ms, CALL_LIMIT)
        };
        let sign = *call.cell.get_or_init(find).await;
        match sign {
            runner_call::ProcessSign::Gone => return RunnerSign::Ended,
            // The process may have ended since.
            _ if call.started_at < since => {}
            runner_call::ProcessSign::Exists => return RunnerSign::Answered,
            runner_call::ProcessSign::Doubtful => return RunnerSign::Refused,
            // A sound runner may pause.
            runner_call::ProcessSign::Silent if closed_at.elapsed() < SILENCE_LIMIT => {
                since = time::Instant::now();
            }
            runner_call::ProcessSign::Silent => return RunnerSign::Silent,
        }
    }
}

/// Judges ends of answers that only their connections state.
///
/// A connection that was closed in order ends such an answer; one that was reset breaks
/// it off. But the end of a process closes its connections in order as well, so the
/// runner is asked whether it still exists. Only an answer shows that: the system accepts
/// connections for a process that ends, and so does a proxy for one that has ended.
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
        let asked = ask_closed(&self.core, runner, time::Instant::now());
        let sign = time::timeout_at(deadline, asked).await;
        AnswerEnd {
            sign: sign.unwrap_or(RunnerSign::Silent),
            ..end
        }
    }
}
