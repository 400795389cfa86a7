//! Stand-in for a model engine that holds a range of layers.

use std::convert;
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

use crate::fault;
use crate::model;
use crate::order;
use crate::server;

/// Path at which an engine takes activations from the engine before it.
const PASS_PATH: &str = "/v1/stages/pass";

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
        options,
        incarnation: id::fresh_incarnation(),
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
    upstream::EngineReport {
        incarnation: state.incarnation,
        held: state.layers.held(),
        running: state.running.load(atomic::Ordering::Relaxed),
        waiting: 0,
        tokens_per_second: 0,
        leaving: state.faults.plan().leaving,
        fencing: state.layers.fencing(),
        age_ms: 0,
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
async fn run_stage(state: &EngineState, stage: &upstream::RouteStage, pass: &mut StagePass) {
    state.faults.wait().await;
    if !state.options.step.is_zero() {
        tokio::time::sleep(state.options.step).await;
    }
    pass.activation = (stage.layers.from..stage.layers.to).fold(pass.activation, model::run_layer);
    pass.proof.push(upstream::StageStamp {
        incarnation: state.incarnation,
        layers: stage.layers,
    });
}

fn start_run(
    state: sync::Arc<EngineState>,
    order: upstream::StageRequest,
) -> http::Response<server::AnswerBody> {
    let (sender, receiver) = mpsc::channel(LINE_BUFFER);
    tokio::spawn(async move {
        state.running.fetch_add(1, atomic::Ordering::Relaxed);
        // A closed channel means that the node cancelled the attempt.
        let _ = run_tokens(&state, &order, &sender).await;
        state.running.fetch_sub(1, atomic::Ordering::Relaxed);
    });
    http::Response::new(line_body(receiver))
}

async fn run_tokens(
    state: &EngineState,
    order: &upstream::StageRequest,
    sender: &mpsc::Sender<Bytes>,
) -> Option<()> {
    let mut next = match order.route.len() {
        1 => None,
        _ => Some(NextStage::open(state, order).await?),
    };
    let mut delivered = order.delivered.clone();
    while (delivered.len() as id::TokenIndex) < order.max_tokens {
        let index = delivered.len() as id::TokenIndex;
        let mut pass = StagePass {
            index,
            activation: model::enter(&order.model, &order.prompt, &delivered),
            proof: Vec::with_capacity(order.route.len()),
        };
        run_stage(state, &order.route[0], &mut pass).await;
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
        sender.send(to_line(&token)?).await.ok()?;
    }
    Some(())
}

/// The stream towards the engine of the next stage.
struct NextStage {
    sender: mpsc::Sender<Bytes>,
    lines: LineReader,
}

impl NextStage {
    async fn open(state: &EngineState, order: &upstream::StageRequest) -> Option<Self> {
        let mut order = order.clone();
        order.hop += 1;
        let address = order.route.get(order.hop)?.address;
        let (sender, receiver) = mpsc::channel(LINE_BUFFER);
        sender.send(to_line(&order)?).await.ok()?;
        let request = http::Request::post(format!("http://{address}{PASS_PATH}"))
            .body(line_body(receiver))
            .ok()?;
        let response = state.client.request(request).await.ok()?;
        (response.status() == 200).then(|| Self {
            sender,
            lines: LineReader::new(response.into_body()),
        })
    }

    async fn exchange(&mut self, pass: &StagePass) -> Option<StagePass> {
        self.sender.send(to_line(pass)?).await.ok()?;
        serde_json::from_slice(&self.lines.next().await?).ok()
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
        let _ = pass_tokens(&state, &order, &mut lines, &sender).await;
        state.running.fetch_sub(1, atomic::Ordering::Relaxed);
    });
    Some(http::Response::new(line_body(receiver)))
}

async fn pass_tokens(
    state: &EngineState,
    order: &upstream::StageRequest,
    lines: &mut LineReader,
    sender: &mpsc::Sender<Bytes>,
) -> Option<()> {
    let last = order.hop + 1 == order.route.len();
    let mut next = match last {
        true => None,
        false => Some(NextStage::open(state, order).await?),
    };
    while let Some(line) = lines.next().await {
        let mut pass: StagePass = serde_json::from_slice(&line).ok()?;
        run_stage(state, &order.route[order.hop], &mut pass).await;
        if let Some(next) = &mut next {
            pass = next.exchange(&pass).await?;
        }
        sender.send(to_line(&pass)?).await.ok()?;
    }
    Some(())
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
