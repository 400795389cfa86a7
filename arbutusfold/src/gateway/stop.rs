//! What a node that stops can still serve.

use std::time as std_time;

use arbutusfold_platform::document;
use derive_more::Display;
use tokio::time;

use crate::gateway::response;

/// Time before its end at which a stopping node answers requests that are still open. An
/// answer needs that long to reach its caller.
const ANSWER_TIME: std_time::Duration = std_time::Duration::from_millis(200);

/// Why a node does not finish a request.
const CAUSE: &str = "this node stops before the request could end";

/// How far a node is in its stop.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum StopPhase {
    /// It is not stopping.
    #[display("none")]
    Running,
    /// Callers may not know of the stop yet.
    #[display("announcing")]
    Announcing,
    /// It takes what it can finish.
    #[display("draining")]
    Draining,
    /// It answers what is open.
    #[display("answering")]
    Answering,
}

/// Times of a graceful stop.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct StopPlan {
    /// Until when callers may not know yet that the node stops.
    pub announced_at: time::Instant,
    /// When the process ends at the latest.
    pub ends_at: time::Instant,
}

impl StopPlan {
    /// Returns whether a request that ends at `ends_at` may begin now. Once callers can
    /// know better, it must end before the node does.
    pub fn admits(&self, ends_at: time::Instant, now: time::Instant) -> bool {
        now < self.announced_at || ends_at <= self.answers_at()
    }

    /// Returns how far the stop is.
    pub fn phase(&self, now: time::Instant) -> StopPhase {
        match now {
            now if now < self.announced_at => StopPhase::Announcing,
            now if now < self.answers_at() => StopPhase::Draining,
            _ => StopPhase::Answering,
        }
    }

    /// Returns when the node answers requests that are still open.
    pub fn answers_at(&self) -> time::Instant {
        self.ends_at
            .checked_sub(ANSWER_TIME)
            .unwrap_or(self.ends_at)
    }
}

/// Returns when a request that begins now is expected to end. The objective of a streaming
/// route is about its first event only.
pub fn expected_end(
    rule: &document::RouteRule,
    deadline: time::Instant,
    now: time::Instant,
) -> time::Instant {
    let objective = match rule.kind {
        document::RouteKind::Streaming => None,
        document::RouteKind::Idempotent | document::RouteKind::NonIdempotent => rule.objective,
    };
    objective.map_or(deadline, |objective| deadline.min(now + objective))
}

/// Returns the refusal of a request that must not begin any more. Other nodes serve it at
/// once.
pub fn refusal() -> response::GatewayRefusal {
    response::GatewayRefusal::not_run(CAUSE, std_time::Duration::ZERO)
}

/// Returns the answer to a request that may have run and does not end in time.
pub fn failure() -> response::GatewayRefusal {
    response::GatewayRefusal::failed(http::StatusCode::BAD_GATEWAY, CAUSE)
}
