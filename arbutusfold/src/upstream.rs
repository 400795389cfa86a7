//! What nodes and model engines tell each other, and what nodes know of them.

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

/// Path at which an engine takes orders.
pub const ORDER_PATH: &str = "/v1/orders";

/// A range of layers: `from` belongs to it, `to` does not.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct LayerRange {
    /// First layer.
    pub from: id::LayerIndex,
    /// Layer after the last one.
    pub to: id::LayerIndex,
}

/// One stage of a route.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteStage {
    /// Upstream that runs the stage.
    pub upstream: id::UpstreamName,
    /// Incarnation that the route was built for.
    pub incarnation: id::IncarnationNumber,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Layers that the stage runs.
    pub layers: LayerRange,
}

/// An attempt as the engine of its first stage receives it.
///
/// Engines pass activations along the route themselves, so that entry hosts
/// carry tokens only.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StageRequest {
    /// Request that the attempt belongs to.
    pub request: id::RequestId,
    /// Ordinal of the attempt.
    pub attempt: id::AttemptNumber,
    /// Model to run.
    pub model: id::ModelName,
    /// Prompt of the caller.
    pub prompt: String,
    /// Texts of tokens that the caller already has.
    pub delivered: Vec<String>,
    /// Number of tokens in the whole answer.
    pub max_tokens: id::TokenIndex,
    /// Priority among the attempts that wait for the engine.
    #[serde(default)]
    pub priority: document::RequestPriority,
    /// Whole route, first stage first.
    pub route: Vec<RouteStage>,
    /// Position in the route of the engine addressed.
    pub hop: usize,
}

/// The mark that a stage leaves on a token.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct StageStamp {
    /// Incarnation of the engine.
    pub incarnation: id::IncarnationNumber,
    /// Layers that it ran.
    pub layers: LayerRange,
}

/// Why an answer ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum FinishReason {
    /// The model ended the text.
    Stop,
    /// The limit of tokens was reached.
    Length,
}

impl FinishReason {
    /// Returns the reason as callers see it.
    pub fn as_str(self) -> &'static str {
        match self {
            FinishReason::Stop => "stop",
            FinishReason::Length => "length",
        }
    }
}

/// A token with the proof of its passage.
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
    /// Stages that the token passed, in order.
    pub proof: Vec<StageStamp>,
    /// Set on the last token of the answer.
    pub finish: Option<FinishReason>,
}

/// The last line of a stream that broke off, where an engine can tell why.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StageFault {
    /// Request that the fault belongs to.
    pub request: id::RequestId,
    /// Attempt that broke off.
    pub attempt: id::AttemptNumber,
    /// Position in the route of the stage that broke.
    pub fault_hop: usize,
    /// Whether that stage refused before it ran anything.
    pub refused: bool,
    /// Whether no connection to that stage was made, so that it ran nothing.
    #[serde(default)]
    pub unreached: bool,
}

/// A range of layers that an engine holds.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub struct HeldLayers {
    /// Model that the layers belong to.
    pub model: id::ModelName,
    /// Version of the model.
    pub version: String,
    /// The layers.
    pub layers: LayerRange,
}

/// What an engine reports of itself, late and with gaps.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct EngineReport {
    /// Incarnation of the engine's process.
    pub incarnation: id::IncarnationNumber,
    /// Layers that are loaded.
    pub held: Vec<HeldLayers>,
    /// Requests that run.
    pub running: u32,
    /// Requests that wait.
    pub waiting: u32,
    /// Tokens a second that the engine can pass.
    pub tokens_per_second: u64,
    /// Whether the engine takes no new work.
    pub leaving: bool,
    /// Highest fencing number seen, 0 where none was.
    pub fencing: id::FencingNumber,
    /// Age of the figures in milliseconds.
    #[serde(default)]
    pub age_ms: u64,
}

/// What a node knows of one upstream.
#[derive(Clone, Debug)]
pub struct UpstreamState {
    /// Name in the configuration document.
    pub name: id::UpstreamName,
    /// Address of the upstream.
    pub address: net::SocketAddr,
    /// Last report and when it came.
    pub report: Option<(EngineReport, time::Instant)>,
}

/// What a node knows of all upstreams.
#[derive(Debug, Default)]
pub struct UpstreamView {
    states: sync::Mutex<collections::BTreeMap<id::UpstreamName, UpstreamState>>,
}

impl UpstreamView {
    /// Runs `change` on the state of an upstream, which is created when missing.
    pub fn change<T>(
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

    /// Returns a copy of every state, by name.
    pub fn snapshot(&self) -> Vec<UpstreamState> {
        self.lock().values().cloned().collect()
    }

    fn lock(&self) -> sync::MutexGuard<'_, collections::BTreeMap<id::UpstreamName, UpstreamState>> {
        self.states
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
