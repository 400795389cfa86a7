//! Stand-in for a model engine that holds a range of layers.

use std::convert;
use std::future;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::id;
use arbutusfold::upstream;
use bytes::{Buf, Bytes, BytesMut};
use http_body_util::{BodyExt, StreamBody};
use hyper::body;
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use serde::{Deserialize, Serialize};
use tokio::sync::mpsc;

use crate::batch;
use crate::fault;
use crate::model;
use crate::order;
use crate::server;

/// Path at which an engine takes activations from the engine before it.
const PASS_PATH: &str = "/v1/stages/pass";

/// Bytes of text for one token of a prompt.
const BYTES_PER_TOKEN: usize = 4;

/// Lines that may wait between two stages.
const LINE_BUFFER: usize = 16;

/// What an engine holds and how it behaves.
#[derive(Clone, Debug)]
pub struct EngineOptions {
    /// Model that it holds.
    pub model: id::ModelName,
    /// Version of the model.
    pub version: String,
    /// Layers that it holds.
    pub layers: upstream::LayerRange,
    /// Layers of the whole model.
    pub model_layers: id::LayerIndex,
    /// Time of one step.
    pub step: std_time::Duration,
    /// Tokens that pass in one step.
    pub batch: usize,
    /// Time to compute one token of a prompt.
    pub prefill: std_time::Duration,
    /// Whether it refuses an order with an old fencing number.
    pub checks_fencing: bool,
}

/// An activation between two stages.
#[derive(Clone, Debug, Serialize, Deserialize)]
struct StagePass {
    index: id::TokenIndex,
    activation: u64,
    proof: Vec<upstream::StageStamp>,
}

type LineBody = http_body_util::combinators::UnsyncBoxBody<Bytes, convert::Infallible>;

struct EngineState {
    options: EngineOptions,
    layers: order::OrderedLayers,
    incarnation: id::IncarnationNumber,
    faults: fault::FaultSwitch,
    running: atomic::AtomicU32,
    batcher: batch::StepBatcher,
    prefixes: batch::PrefixCache,
    reports: batch::ReportDelay,
    client: legacy::Client<connect::HttpConnector, LineBody>,
}

/// Runs an engine on `address`.
///
/// # Errors
///
/// When the address cannot be opened.
pub async fn run(address: net::SocketAddr, options: EngineOptions) -> anyhow::Result<()> {
    let faults = fault::FaultSwitch::default();
    let mut connector = connect::HttpConnector::new();
    connector.set_nodelay(true);
    let held = upstream::HeldLayers {
        model: options.model.clone(),
        version: options.version.clone(),
        layers: options.layers,
    };
    // An engine that starts with no layers is a spare one.
    let held = Vec::from_iter((options.layers.from < options.layers.to).then_some(held));
    let state = sync::Arc::new(EngineState {
        layers: order::OrderedLayers::new(held, options.checks_fencing),
        batcher: batch::StepBatcher::start(options.step, options.batch),
        prefixes: batch::PrefixCache::default(),
        reports: batch::ReportDelay::default(),
        options,
        incarnation: id::new_incarnation(),
        faults: faults.clone(),
        running: atomic::AtomicU32::new(0),
        client: legacy::Client::builder(rt::TokioExecutor::new())
            .http2_only(true)
            .build(connector),
    });
    server::serve(address, faults, move |request| {
        answer(sync::Arc::clone(&state), request)
    })
    .await
}

async fn answer(
    state: sync::Arc<EngineState>,
    request: http::Request<body::Incoming>,
) -> server::StandinAnswer {
    match request.uri().path() {
        upstream::REPORT_PATH => Some(server::json(&report(&state))),
        upstream::RUN_PATH => {
            let order: upstream::StageRequest = server::read_json(request).await?;
            if refuses(&state, &order) {
                return Some(server::status(409));
            }
            crash_if_marked(&state, &order.prompt);
            Some(start_run(state, order))
        }
        PASS_PATH => start_pass(state, request).await,
        upstream::ORDER_PATH => match state.layers.take(server::read_json(request).await?) {
            Ok(()) => Some(server::json(&serde_json::json!({"taken": true}))),
            Err(_) => Some(server::status(409)),
        },
        _ => Some(server::status(404)),
    }
}

fn report(state: &EngineState) -> upstream::EngineReport {
    let plan = state.faults.plan();
    let running = state.running.load(atomic::Ordering::Relaxed);
    let delay = std_time::Duration::from_millis(plan.report_late_ms);
    let count = state.reports.delay(running, delay);
    upstream::EngineReport {
        incarnation: state.incarnation,
        held: state.layers.held(),
        running: count.running,
        // Attempts are taken in at once; only their tokens wait.
        waiting: 0,
        tokens_per_second: state.batcher.rate(),
        leaving: plan.leaving,
        fencing: state.layers.fencing(),
        age_ms: count.age.as_millis() as u64,
    }
}

fn refuses(state: &EngineState, order: &upstream::StageRequest) -> bool {
    order.route.get(order.hop).is_none_or(|stage| {
        stage.incarnation != state.incarnation || !state.layers.holds(&order.model, stage.layers)
    })
}

fn crash_if_marked(state: &EngineState, prompt: &str) {
    let marked = state.faults.plan().crash_on;
    if marked.is_some_and(|mark| prompt.contains(&mark)) {
        std::process::exit(101);
    }
}

/// Runs the layers of one stage and leaves its stamp.
async fn run_stage(state: &EngineState, order: &upstream::StageRequest, pass: &mut StagePass) {
    let Some(stage) = order.route.get(order.hop) else {
        return;
    };
    state.faults.wait().await;
    state.batcher.pass(order.priority).await;
    pass.activation = (stage.layers.from..stage.layers.to).fold(pass.activation, model::run_layer);
    pass.proof.push(upstream::StageStamp {
        incarnation: state.incarnation,
        layers: stage.layers,
    });
}

/// Computes the prompt, but for the prefix that the cache still holds.
async fn prefill(state: &EngineState, order: &upstream::StageRequest) {
    let known = state.prefixes.touch(&order.model, &order.prompt);
    let fresh = order.prompt.len().saturating_sub(known) / BYTES_PER_TOKEN;
    let tokens = u32::try_from(fresh + order.delivered.len()).unwrap_or(u32::MAX);
    let pause = state.options.prefill * tokens;
    if !pause.is_zero() {
        tokio::time::sleep(pause).await;
    }
}

fn start_run(
    state: sync::Arc<EngineState>,
    order: upstream::StageRequest,
) -> http::Response<server::AnswerBody> {
    let (sender, receiver) = mpsc::channel(LINE_BUFFER);
    tokio::spawn(async move {
        state.running.fetch_add(1, atomic::Ordering::Relaxed);
        tokio::select! {
            outcome = run_tokens(&state, &order, &sender) => {
                if let Err(fault) = outcome {
                    tell_fault(&order, fault, &sender).await;
                }
            }
            // A closed channel means that the node cancelled the attempt.
            () = sender.closed() => {}
        }
        state.running.fetch_sub(1, atomic::Ordering::Relaxed);
    });
    http::Response::new(line_body(receiver))
}

async fn tell_fault(order: &upstream::StageRequest, fault: HopFault, sender: &mpsc::Sender<Bytes>) {
    let fault = upstream::StageFault {
        request: order.request.clone(),
        attempt: order.attempt,
        fault_hop: fault.hop,
        refused: fault.refused,
        unreached: fault.unreached,
    };
    if let Some(line) = to_line(&fault) {
        // A node that went away needs no word of it.
        let _ = sender.send(line).await;
    }
}

async fn run_tokens(
    state: &EngineState,
    order: &upstream::StageRequest,
    sender: &mpsc::Sender<Bytes>,
) -> Result<(), HopFault> {
    let mut next = NextStage::open(state, order).await?;
    prefill(state, order).await;
    let mut delivered = order.delivered.clone();
    while (delivered.len() as id::TokenIndex) < order.max_tokens {
        let index = delivered.len() as id::TokenIndex;
        let mut pass = StagePass {
            index,
            activation: model::enter(&order.model, &order.prompt, &delivered),
            proof: Vec::with_capacity(order.route.len()),
        };
        run_stage(state, order, &mut pass).await;
        if let Some(next) = &mut next {
            pass = next.exchange(&pass).await?;
        }
        let text = model::leave(pass.activation);
        delivered.push(text.clone());
        let last = delivered.len() as id::TokenIndex == order.max_tokens;
        let token = upstream::StageToken {
            request: order.request.clone(),
            attempt: order.attempt,
            index,
            text,
            proof: pass.proof,
            finish: last.then_some(upstream::FinishReason::Length),
        };
        if state.faults.plan().stray_tokens {
            send_strays(&token, sender).await;
        }
        let line = to_line(&token).ok_or(HopFault::at(order.hop))?;
        sender
            .send(line)
            .await
            .map_err(|_| HopFault::at(order.hop))?;
    }
    Ok(())
}

/// Sends tokens that belong to another request, to no attempt, or came before.
async fn send_strays(token: &upstream::StageToken, sender: &mpsc::Sender<Bytes>) {
    let mut crossed = token.clone();
    crossed.request.push('x');
    let mut late = token.clone();
    late.attempt -= 1;
    let mut doubled = token.clone();
    doubled.index = token.index.saturating_sub(1);
    let strays = [crossed, late, doubled];
    for line in strays
        .iter()
        .take(if token.index == 0 { 2 } else { 3 })
        .filter_map(to_line)
    {
        // A node that went away needs no strays.
        let _ = sender.send(line).await;
    }
}

/// Says which stage of a route broke, as engines tell each other.
#[derive(Clone, Copy, Debug, Serialize, Deserialize)]
struct HopFault {
    hop: usize,
    refused: bool,
    unreached: bool,
}

impl HopFault {
    fn at(hop: usize) -> Self {
        Self {
            hop,
            refused: false,
            unreached: false,
        }
    }
}

/// The stream towards the engine of the next stage.
struct NextStage {
    hop: usize,
    port: u16,
    faults: fault::FaultSwitch,
    sender: mpsc::Sender<Bytes>,
    lines: LineReader,
}

impl NextStage {
    /// Opens the stream, where there is a next stage.
    async fn open(
        state: &EngineState,
        order: &upstream::StageRequest,
    ) -> Result<Option<Self>, HopFault> {
        let mut order = order.clone();
        order.hop += 1;
        let hop = order.hop;
        let Some(stage) = order.route.get(hop) else {
            return Ok(None);
        };
        let address = stage.address;
        if state.faults.plan().cut_links.contains(&address.port()) {
            return Err(HopFault::at(hop));
        }
        let broken = || HopFault::at(hop);
        let (sender, receiver) = mpsc::channel(LINE_BUFFER);
        let line = to_line(&order).ok_or_else(broken)?;
        sender.send(line).await.map_err(|_| broken())?;
        let request = http::Request::post(format!("http://{address}{PASS_PATH}"))
            .body(line_body(receiver))
            .map_err(|_| broken())?;
        let response = state.client.request(request).await;
        let response = response.map_err(|error| HopFault {
            unreached: error.is_connect(),
            ..broken()
        })?;
        match response.status().as_u16() {
            200 => Ok(Some(Self {
                hop,
                port: address.port(),
                faults: state.faults.clone(),
                sender,
                lines: LineReader::new(response.into_body()),
            })),
            status => Err(HopFault {
                hop,
                refused: status == 409,
                unreached: false,
            }),
        }
    }

    async fn exchange(&mut self, pass: &StagePass) -> Result<StagePass, HopFault> {
        let broken = HopFault::at(self.hop);
        if self.faults.plan().cut_links.contains(&self.port) {
            // Nothing comes back over a cut link, not even an error.
            future::pending::<()>().await;
        }
        let line = to_line(pass).ok_or(broken)?;
        self.sender.send(line).await.map_err(|_| broken)?;
        let line = self.lines.next().await.ok_or(broken)?;
        if let Ok(fault) = serde_json::from_slice::<HopFault>(&line) {
            return Err(fault);
        }
        serde_json::from_slice(&line).map_err(|_| broken)
    }
}

async fn start_pass(
    state: sync::Arc<EngineState>,
    request: http::Request<body::Incoming>,
) -> server::StandinAnswer {
    let mut lines = LineReader::new(request.into_body());
    let order: upstream::StageRequest = serde_json::from_slice(&lines.next().await?).ok()?;
    if refuses(&state, &order) {
        return Some(server::status(409));
    }
    crash_if_marked(&state, &order.prompt);
    let (sender, receiver) = mpsc::channel(LINE_BUFFER);
    tokio::spawn(async move {
        state.running.fetch_add(1, atomic::Ordering::Relaxed);
        tokio::select! {
            outcome = pass_tokens(&state, &order, &mut lines, &sender) => {
                if let Some(line) = outcome.err().and_then(|fault| to_line(&fault)) {
                    // An engine that went away needs no word of it.
                    let _ = sender.send(line).await;
                }
            }
            () = sender.closed() => {}
        }
        state.running.fetch_sub(1, atomic::Ordering::Relaxed);
    });
    Some(http::Response::new(line_body(receiver)))
}

async fn pass_tokens(
    state: &EngineState,
    order: &upstream::StageRequest,
    lines: &mut LineReader,
    sender: &mpsc::Sender<Bytes>,
) -> Result<(), HopFault> {
    let broken = HopFault::at(order.hop);
    let mut next = NextStage::open(state, order).await?;
    prefill(state, order).await;
    while let Some(line) = lines.next().await {
        let mut pass: StagePass = serde_json::from_slice(&line).map_err(|_| broken)?;
        run_stage(state, order, &mut pass).await;
        if let Some(next) = &mut next {
            pass = next.exchange(&pass).await?;
        }
        let line = to_line(&pass).ok_or(broken)?;
        sender.send(line).await.map_err(|_| broken)?;
    }
    Ok(())
}

/// Reads a body line by line.
struct LineReader {
    body: body::Incoming,
    buffer: BytesMut,
}

impl LineReader {
    fn new(body: body::Incoming) -> Self {
        Self {
            body,
            buffer: BytesMut::new(),
        }
    }

    async fn next(&mut self) -> Option<BytesMut> {
        loop {
            if let Some(end) = self.buffer.iter().position(|byte| *byte == b'\n') {
                let line = self.buffer.split_to(end);
                self.buffer.advance(1);
                return Some(line);
            }
            let data = self.body.frame().await?.ok()?.into_data().ok()?;
            self.buffer.extend_from_slice(&data);
        }
    }
}

fn to_line<T: Serialize>(value: &T) -> Option<Bytes> {
    let mut line = serde_json::to_vec(value).ok()?;
    line.push(b'\n');
    Some(Bytes::from(line))
}

fn line_body(receiver: mpsc::Receiver<Bytes>) -> LineBody {
    let frames = futures_util::stream::unfold(receiver, |mut receiver| async {
        let line = receiver.recv().await?;
        Some((Ok(body::Frame::data(line)), receiver))
    });
    StreamBody::new(frames).boxed_unsync()
}
