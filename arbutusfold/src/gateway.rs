//! A node that runs on the users' platform.
//!
//! Callers send HTTP requests to the routes that the operator configures.
//! The platform's store holds the entries of runners, the configuration and
//! all other persistent state. The crate `arbutusfold-platform` decodes the
//! platform's formats; this module and its children make the decisions.

use std::convert;
use std::sync;

use derive_more::{Display, Error};
use http_body_util::BodyExt;
use hyper::body;
use tokio::sync::{mpsc, watch};
use tokio::{task, time};

use crate::drain;
use crate::event;
use crate::listen;
use crate::member;
use crate::peer;
use crate::probe;
use crate::serve;

pub mod admission;
pub mod answer_body;
pub mod answer_end;
pub mod bounds;
pub mod budget;
pub mod claim;
pub mod core;
pub mod crash;
pub mod demand;
pub mod demand_driver;
pub mod descriptors;
pub mod dial;
pub mod direct;
pub mod direct_bytes;
pub mod document_diff;
pub mod engine_review;
pub mod entry;
pub mod event_stream;
pub mod failure_watch;
pub mod fleet;
pub mod forward;
pub mod held;
pub mod intake;
pub mod layout;
pub mod layout_controller;
pub mod leader;
pub mod leader_driver;
pub mod length;
pub mod link_budget;
pub mod memory;
pub mod metrics;
pub mod mirror;
pub mod neighbour;
pub mod panics;
pub mod path;
pub mod path_load;
pub mod quarantine;
pub mod race;
pub mod reach;
pub mod receive;
pub mod relay;
pub mod relay_server;
pub mod replication;
pub mod request;
pub mod response;
pub mod retry_loan;
pub mod returns;
pub mod review;
pub mod room;
pub mod route_review;
pub mod routing;
pub mod runner_call;
pub mod runner_limit;
pub mod selector;
pub mod settings;
pub mod shares;
pub mod stage_check;
pub mod stage_probe;
pub mod stall;
pub mod stop;
pub mod store_watch;
pub mod stream;
pub mod stream_path;
pub mod survey;
pub mod suspect_store;
pub mod suspects;
pub mod trial;
pub mod unread;
pub mod versions;
pub mod waiting;

/// Time allowed for sending the last messages to peers before the sockets close.
const FLUSH_TIME: std::time::Duration = std::time::Duration::from_millis(50);

/// Part of the stop limit that is reserved for notifying peers, for sending
/// the last messages and for the exit of a process that has only a small share
/// of a core.
const STOP_MARGIN: std::time::Duration = std::time::Duration::from_millis(1_300);

/// Time after which an idle connection of a caller is closed. Callers reuse
/// connections for most of the operator's limit, which may change while the
/// node runs, so this timeout is longer than any usual limit. If the limit is
/// longer still, answers state [`STATED_IDLE_TIME`].
const IDLE_TIMEOUT: std::time::Duration = std::time::Duration::from_secs(90);

/// Time for which callers may reuse an idle connection if the operator's limit
/// exceeds [`IDLE_TIMEOUT`]. The difference is for requests on their way.
const STATED_IDLE_TIME: std::time::Duration = std::time::Duration::from_secs(80);

/// Maximum size of a request head in bytes.
const HEAD_LIMIT_BYTES: usize = 64 << 10;

/// An error that prevents a gateway from starting.
#[derive(Debug, Display, Error)]
pub enum GatewayError {
    /// A listener could not be opened.
    #[display("{_0}")]
    Listen(listen::ListenError),
    /// The peer transport could not be opened.
    #[display("{_0}")]
    Peer(peer::PeerError),
}

/// Runs a gateway until `stop` counts a signal, then shuts down gracefully.
///
/// # Errors
///
/// [`GatewayError`] when a listener or the peer transport cannot be opened.
pub async fn run(
    settings: settings::GatewaySettings,
    logger: slog::Logger,
    stop: watch::Receiver<u32>,
    reload: mpsc::Receiver<settings::GatewaySettings>,
) -> Result<(), GatewayError> {
    let core = sync::Arc::new(core::GatewayCore::new(settings, logger));
    panics::install(&core.panics);
    let monitor = peer::TransportMonitor {
        recorder: sync::Arc::clone(&core.recorder),
        metrics: core.metrics.transport.clone(),
    };
    let (transport, received) =
        peer::TcpTransport::open(core.settings.peers, monitor).map_err(GatewayError::Peer)?;
    transport.accept_tunnels(sync::Arc::new(core.relay_server.clone()));
    core.post.attach(sync::Arc::new(transport));
    let callers = listen::open(core.settings.callers).map_err(GatewayError::Listen)?;
    let ready = listen::open(core.settings.ready).map_err(GatewayError::Listen)?;
    let directory = listen::open(core.settings.directory).map_err(GatewayError::Listen)?;
    let metrics = listen::open(core.settings.metrics).map_err(GatewayError::Listen)?;
    let (closing, closed) = watch::channel(false);
    let name = core.settings.name.clone();
    core.note(event::EventCode::NodeStarted, &name, core.describe());

    let driver = member::driver::start(
        core.member_record(),
        core.settings.seeds.clone(),
        &core.post,
        &core.members,
        &core.recorder,
    );
    let listener: sync::Arc<dyn member::driver::MemberListener> = sync::Arc::new(
        replication::MembershipListener::new(sync::Arc::clone(&core)),
    );
    driver.set_listener(sync::Arc::downgrade(&listener));
    core.post.register(
        peer::MessageKind::Mirror,
        sync::Arc::new(replication::MirrorHandler::new(sync::Arc::clone(&core))),
    );

    core.post.register(
        peer::MessageKind::Lead,
        sync::Arc::new(leader_driver::LeaderHandler::new(sync::Arc::clone(&core))),
    );

    core.post.register(
        peer::MessageKind::Suspect,
        sync::Arc::new(suspects::LedgerHandler::new(sync::Arc::clone(&core))),
    );

    core.post.register(
        peer::MessageKind::Limit,
        sync::Arc::new(runner_limit::LimitHandler::new(sync::Arc::clone(&core))),
    );

    let (caller_policy, entry_policy) = listener_policies(&core);
    let mut loops = store_watch::spawn(&core);
    loops.extend([
        tokio::spawn(run_membership(
            sync::Arc::clone(&core),
            sync::Arc::clone(&driver),
            received,
            reload,
        )),
        panics::spawn(&core, layout_controller::run),
        panics::spawn(&core, leader_driver::run),
        panics::spawn(&core, demand_driver::run),
        panics::spawn(&core, survey::run),
        panics::spawn(&core, suspects::run),
        panics::spawn(&core, suspects::learn),
        panics::spawn(&core, suspect_store::run),
        serve_entry(entry_policy.clone(), ready, &closed),
        serve_entry(entry_policy.clone(), directory, &closed),
        serve_metrics(entry_policy, metrics, &closed),
    ]);
    let caller_core = sync::Arc::clone(&core);
    let answer = move |request| answer_caller(sync::Arc::clone(&caller_core), request);
    let serving = serve::serve(callers, caller_policy, closed, answer);
    let relay_server = core.relay_server.clone();
    let serving = tokio::spawn(async move {
        serving.await;
        // What runs through this node for others is work in progress as well.
        relay_server.wait_idle().await;
    });

    drain_gateway(&core, &driver, stop, closing, serving).await;
    core.note(event::EventCode::StopFinished, &name, "");
    driver.step(member::MemberEvent::Left, time::Instant::now());
    // Leaves time for the last messages before the sockets close.
    time::sleep(FLUSH_TIME).await;
    loops.iter().for_each(task::JoinHandle::abort);
    Ok(())
}

/// Returns the limits of the listeners for requests of callers, and for readiness
/// checks, address queries and metrics.
fn listener_policies(
    core: &sync::Arc<core::GatewayCore>,
) -> (bounds::ListenerPolicy, bounds::ListenerPolicy) {
    let crowd: Option<sync::Arc<serve::crowd::ConnectionCrowd>> =
        core.memory.as_ref().map(|_| sync::Arc::default());
    let allowed = core.settings.descriptor_limit;
    let allowed = allowed.or_else(descriptors::system_limit);
    let allowed = allowed.map(descriptors::caller_connections);
    let fitting = core.settings.memory_mb.map(memory::caller_connections);
    let connections = [allowed, fitting].into_iter().flatten();
    let mut callers = bounds::ListenerPolicy {
        core: sync::Arc::clone(core),
        limits: limits(),
        crowd,
    };
    let mut entries = callers.clone();
    callers.limits.connections = connections.fold(callers.limits.connections, usize::min);
    if core.memory.is_some() {
        let connections = descriptors::all_connections(callers.limits.connections);
        entries.limits.connections = connections;
    }
    (callers, entries)
}

fn limits() -> serve::ServeLimits {
    serve::ServeLimits {
        header_timeout: IDLE_TIMEOUT,
        header_bytes: HEAD_LIMIT_BYTES,
        ..serve::ServeLimits::default()
    }
}

async fn answer_caller(
    core: sync::Arc<core::GatewayCore>,
    request: http::Request<body::Incoming>,
) -> Result<response::GatewayResponse, convert::Infallible> {
    let connection = request.extensions().get::<serve::RequestConnection>();
    let connection = connection.cloned();
    let handled = forward::handle(sync::Arc::clone(&core), request);
    let mut answer = panics::answer(handled).await?;
    state_idle_time(&core, &mut answer);
    let (Some(account), Some(connection)) = (&core.memory, connection) else {
        return Ok(answer);
    };
    let account = sync::Arc::clone(account);
    Ok(answer.map(|body| {
        let body = receive::HeldAnswer {
            body,
            account,
            connection,
        };
        body.boxed_unsync()
    }))
}

/// States in an answer for how long its connection may be reused, if that is less
/// than the operator's limit lets callers assume.
fn state_idle_time(core: &core::GatewayCore, answer: &mut response::GatewayResponse) {
    let limit = core.routing().map(|table| table.limits().idle_time);
    if limit.is_none_or(|limit| limit <= IDLE_TIMEOUT) {
        return;
    }
    let stated = format!("timeout={}", STATED_IDLE_TIME.as_secs());
    if let Ok(stated) = http::HeaderValue::from_str(&stated) {
        let name = http::HeaderName::from_static("keep-alive");
        answer.headers_mut().insert(name, stated);
    }
}

fn serve_entry(
    policy: bounds::ListenerPolicy,
    listener: tokio::net::TcpListener,
    closed: &watch::Receiver<bool>,
) -> task::JoinHandle<()> {
    let core = sync::Arc::clone(&policy.core);
    let answer = move |request| entry::handle(sync::Arc::clone(&core), request);
    tokio::spawn(serve::serve(listener, policy, closed.clone(), answer))
}

fn serve_metrics(
    policy: bounds::ListenerPolicy,
    listener: tokio::net::TcpListener,
    closed: &watch::Receiver<bool>,
) -> task::JoinHandle<()> {
    let core = sync::Arc::clone(&policy.core);
    let answer = move |_| entry::handle_metrics(sync::Arc::clone(&core));
    tokio::spawn(serve::serve(listener, policy, closed.clone(), answer))
}

/// Drives the membership and announces this node's store version and phase.
async fn run_membership(
    core: sync::Arc<core::GatewayCore>,
    driver: sync::Arc<member::MemberDriver>,
    mut received: mpsc::Receiver<peer::ReceivedMessage>,
    mut reload: mpsc::Receiver<settings::GatewaySettings>,
) {
    let mut ticks = time::interval(probe::TICK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut announced = 0;
    let mut ready = false;
    loop {
        tokio::select! {
            now = ticks.tick() => {
                let version = core.store_version();
                if version != announced {
                    announced = version;
                    driver.step(member::MemberEvent::Version(version), now);
                }
                if !ready && core.is_ready() {
                    ready = true;
                    let detail = format!("document_version={}", core.document_version());
                    core.note(event::EventCode::NodeReady, &core.settings.name, detail);
                    runner_limit::request(&core);
                    let phase = member::MemberPhase::Serving;
                    driver.step(member::MemberEvent::Phase(phase), now);
                }
                panics::contain(|| {
                    driver.step(member::MemberEvent::Tick, time::Instant::now());
                    core.tick(now);
                });
                panics::record(&core);
            }
            message = received.recv() => {
                let Some(message) = message else { return };
                panics::contain(|| {
                    // A message that cannot be opened is dropped, as if it had been lost.
                    let _ = core.post.receive(&message);
                });
            }
            Some(reloaded) = reload.recv() => {
                let now = time::Instant::now();
                driver.step(member::MemberEvent::Seeds(reloaded.seeds), now);
            }
        }
    }
}

async fn drain_gateway(
    core: &core::GatewayCore,
    driver: &member::MemberDriver,
    signals: watch::Receiver<u32>,
    closing: watch::Sender<bool>,
    serving: task::JoinHandle<()>,
) {
    let settings = &core.settings;
    let keep = settings.answer_keep_ms;
    let limit = settings.stop_limit_s.saturating_sub(keep + STOP_MARGIN);
    let keeper = drain::DrainSequence::new(keep, limit);
    let (listening_time, longest_time) = (keeper.listening_time(), keeper.longest_time());
    let note = |code| {
        let in_flight = core.metrics.in_flight.get();
        let tunnels = core.relay_server.active();
        let detail = format!("in_flight={in_flight} tunnels={tunnels}");
        core.note(code, &settings.name, detail);
    };
    let announce = || {
        core.begin_stop();
        let now = time::Instant::now();
        core.stop_plan.send_replace(Some(stop::StopPlan {
            announced_at: now + listening_time,
            ends_at: now + longest_time,
        }));
        note(event::EventCode::StopBegan);
        let leaving = member::MemberEvent::Phase(member::MemberPhase::Leaving);
        driver.step(leaving, time::Instant::now());
    };
    let cut = || note(event::EventCode::StopCut);
    drain::stop(keeper, signals, closing, serving, announce, cut).await;
}
