//! Messages between nodes and model engines, and the state that a node keeps of
//! each upstream.

use std::borrow;
use std::collections;
use std::net;
use std::sync;

use serde::{Deserialize, Serialize};
use tokio::time;

use crate::document;
use crate::id;

/// Path at which an engine runs the stages of a request.
pub const RUN_PATH: &str = "/v1/stages/run";

/// Path at which an engine reports its state.
pub const REPORT_PATH: &str = "/v1/report";

/// Path at which an engine accepts orders.
pub const ORDER_PATH: &str = "/v1/orders";

/// A half-open range of layers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub from: id::LayerIndex,
    /// End of the range, exclusive.
    pub to: id::LayerIndex,
}

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStage {
    /// Name of the upstream that runs the stage.
    pub upstream: id::UpstreamName,
    /// Incarnation of the upstream for which the route was built.
    pub incarnation: id::IncarnationNumber,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Layers that the stage runs.
    pub layers: LayerRange,
}

/// Request to run an attempt, as a node sends it to the engine of the first stage.
///
/// Engines send activations to each other along the route, so that entry hosts
/// carry tokens only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageRequest {
    /// Request that the attempt belongs to.
    pub request: id::RequestId,
    /// Ordinal of the attempt.
    pub attempt: id::AttemptNumber,
    /// Model to run.
    pub model: id::ModelName,
    /// Prompt from the caller.
    pub prompt: String,
    /// Texts of the tokens that were already delivered to the caller.
    pub delivered: Vec<String>,
    /// Limit of tokens in the whole answer, delivered ones included.
    pub max_tokens: id::TokenIndex,
    /// Priority in the queue of the engine.
    #[serde(default)]
    pub priority: document::RequestPriority,
    /// All stages of the route, in order.
    pub route: Vec<RouteStage>,
    /// Index in `route` of the engine that receives the request.
    pub hop: usize,
}

/// Record of a stage that processed a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageStamp {
    /// Incarnation of the engine.
    pub incarnation: id::IncarnationNumber,
    /// Layers that the engine ran.
    pub layers: LayerRange,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the answer.
    Stop,
    /// The limit of tokens was reached.
    Length,
}

impl FinishReason {
    /// Returns the `finish_reason` that callers receive.
    pub fn as_str(self) -> &'static str {
        match self {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        }
    }
}

/// A generated token with the proof of the stages that processed it.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageToken {
    /// Request that the token belongs to.
    pub request: id::RequestId,
    /// Attempt that made the token.
    pub attempt: id::AttemptNumber,
    /// Index in the answer.
    pub index: id::TokenIndex,
    /// Text of the token.
    pub text: String,
    /// Stamps of the stages that processed the token, in order.
    pub proof: Vec<StageStamp>,
    /// Set on the last token of the answer.
    pub finish: Option<FinishReason>,
}

/// Stamps of one token; routes of up to four stages need no heap allocation.
pub type StampVec = smallvec::SmallVec<[StageStamp; 4]>;

/// A token that borrows its texts from the line that it was parsed from.
#[derive(Clone, Debug, Deserialize)]
pub struct TokenView<'a> {
    /// Request that the token belongs to.
    #[serde(borrow)]
    pub request: borrow::Cow<'a, str>,
    /// Attempt that made the token.
    pub attempt: id::AttemptNumber,
    /// Index in the answer.
    pub index: id::TokenIndex,
    /// Text of the token.
    #[serde(borrow)]
    pub text: borrow::Cow<'a, str>,
    /// Stamps of the stages that processed the token, in order.
    pub proof: StampVec,
    /// Set on the last token of the answer.
    pub finish: Option<FinishReason>,
}

impl StageToken {
    /// Returns a borrowed view of the token.
    pub fn view(&self) -> TokenView<'_> {
        TokenView {
            request: borrow::Cow::Borrowed(&self.request),
            attempt: self.attempt,
            index: self.index,
            text: borrow::Cow::Borrowed(&self.text),
            proof: StampVec::from_slice(&self.proof),
            finish: self.finish,
        }
    }
}

/// Last line of an interrupted stream, sent if an engine knows the cause.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageFault {
    /// Request whose stream was interrupted.
    pub request: id::RequestId,
    /// Attempt that failed.
    pub attempt: id::AttemptNumber,
    /// Index in the route of the stage that failed.
    pub fault_hop: usize,
    /// Whether that stage refused the request before it ran anything.
    pub refused: bool,
    /// Whether no connection to that stage was made, so that it ran nothing.
    #[serde(default)]
    pub unreached: bool,
}

/// A range of layers of one model that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldLayers {
    /// Model that the layers belong to.
    pub model: id::ModelName,
    /// Version of the model.
    pub version: String,
    /// The layers.
    pub layers: LayerRange,
}

/// State that an engine reports of itself; reports may be late or missing.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the engine's process.
    pub incarnation: id::IncarnationNumber,
    /// Layers that the engine has loaded.
    pub held: Vec<HeldLayers>,
    /// Number of running requests.
    pub running: u32,
    /// Number of queued requests.
    pub waiting: u32,
    /// Capacity of the engine in tokens per second.
    pub tokens_per_second: u64,
    /// Whether the engine accepts no new work.
    pub leaving: bool,
    /// Highest fencing number that the engine has seen, 0 if none.
    pub fencing: id::FencingNumber,
    /// Age of the figures in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// State of one upstream as a node knows it.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Name in the configuration document.
    pub name: id::UpstreamName,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Last report and the time of its arrival; `None` before the first one and while
    /// the upstream is lost.
    pub report: Option<(EngineReport, time::Instant)>,
}

/// States of all upstreams as a node knows them.
#[derive(Debug, Default)]
pub struct UpstreamView {
    states: sync::Mutex<collections::BTreeMap<id::UpstreamName, UpstreamState>>,
}

impl UpstreamView {
    /// Runs `change` on the state of an upstream, which is created if missing.
    ///
    /// If the address differs from the last one, the report is cleared first.
    pub fn update<T>(
        &self,
        name: &str,
        address: net::SocketAddr,
        change: impl FnOnce(&mut UpstreamState) -> T,
    ) -> T {
        let mut states = self.lock();
        let state = states
            .entry(name.to_owned())
            .or_insert_with(|| UpstreamState {
                name: name.to_owned(),
                address,
                report: None,
            });
        if state.address != address {
            state.address = address;
            state.report = None;
        }
        change(state)
    }

    /// Returns a copy of every state, sorted by name.
    pub fn snapshot(&self) -> Vec<UpstreamState> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::UpstreamName, UpstreamState>> {
        self.states
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
