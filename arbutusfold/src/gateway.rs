//! A node on the users' platform.
//!
//! Callers speak HTTP by the operator's routes; runners, configuration and
//! everything that lasts are found in the platform's store. What the platform
//! says is decoded by the crate `arbutusfold-platform`; the decisions are
//! here.

use std::sync;

use derive_more::{Display, Error};
use tokio::sync::{mpsc, watch};
use tokio::{task, time};

use crate::drain;
use crate::event;
use crate::listen;
use crate::member;
use crate::peer;
use crate::probe;
use crate::serve;

pub mod answer;
pub mod budget;
pub mod core;
pub mod entry;
pub mod event_stream;
pub mod exchange;
pub mod fleet;
pub mod forward;
pub mod layout;
pub mod lead;
pub mod lead_driver;
pub mod metrics;
pub mod mirror;
pub mod offer;
pub mod path;
pub mod routing;
pub mod runner_call;
pub mod runs;
pub mod settings;
pub mod stall;
pub mod steward;
pub mod stream;
pub mod survey;
pub mod watch_store;

/// Time in which the last messages to peers leave.
const FLUSH_TIME: std::time::Duration = std::time::Duration::from_millis(50);

/// Part of the longest stop that is left for telling peers, for the last
/// messages and for the exit of a process with a small part of a core.
const STOP_MARGIN: std::time::Duration = std::time::Duration::from_millis(1_300);

/// Longest time that an idle connection of a caller is kept. Callers reuse
/// connections for most of the operator's limit, which may change while the
/// node runs, so the node keeps them longer than any usual limit.
const IDLE_LIMIT: std::time::Duration = std::time::Duration::from_secs(90);

/// Longest head of a request that is read, in bytes.
const HEAD_LIMIT_BYTES: usize = 64 << 10;

/// Why a gateway could not start.
#[derive(Debug, Display, Error)]
pub enum GatewayError {
    /// A listener could not be opened.
    #[display("{_0}")]
    Listen(listen::ListenError),
    /// The peer transport could not be opened.
    #[display("{_0}")]
    Peer(peer::PeerError),
}

/// Runs a gateway until `stop` counts a signal, then stops gracefully.
///
/// # Errors
///
/// [`GatewayError`] when a listener cannot be opened.
pub async fn run(
    settings: settings::GatewaySettings,
    logger: slog::Logger,
    stop: watch::Receiver<u32>,
    reload: mpsc::Receiver<settings::GatewaySettings>,
) -> Result<(), GatewayError> {
    let core = sync::Arc::new(core::GatewayCore::new(settings, logger));
    let (transport, received) =
        peer::NngTransport::open(core.settings.peers).map_err(GatewayError::Peer)?;
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
    let listener: sync::Arc<dyn member::driver::MemberListener> =
        sync::Arc::new(exchange::PeerListener::new(sync::Arc::clone(&core)));
    driver.set_listener(sync::Arc::downgrade(&listener));
    core.post.register(
        peer::MessageKind::Mirror,
        sync::Arc::new(exchange::MirrorHandler::new(sync::Arc::clone(&core))),
    );

    core.post.register(
        peer::MessageKind::Lead,
        sync::Arc::new(lead_driver::LeadHandler::new(sync::Arc::clone(&core))),
    );

    let mut loops = watch_store::spawn(&core);
    loops.extend([
        tokio::spawn(keep_members(
            sync::Arc::clone(&core),
            sync::Arc::clone(&driver),
            received,
            reload,
        )),
        tokio::spawn(steward::keep(sync::Arc::clone(&core))),
        tokio::spawn(lead_driver::keep(sync::Arc::clone(&core))),
        tokio::spawn(survey::keep(sync::Arc::clone(&core))),
        serve_entry(&core, ready, &closed),
        serve_entry(&core, directory, &closed),
        serve_metrics(&core, metrics, &closed),
    ]);
    let caller_core = sync::Arc::clone(&core);
    let serving = tokio::spawn(serve::serve(callers, limits(), closed, move |request| {
        forward::answer(sync::Arc::clone(&caller_core), request)
    }));

    drain_gateway(&core, &driver, stop, closing, serving).await;
    core.note(event::EventCode::StopFinished, &name, "");
    driver.step(member::MemberEvent::Left, time::Instant::now());
    // The last messages leave before the sockets close.
    time::sleep(FLUSH_TIME).await;
    loops.iter().for_each(task::JoinHandle::abort);
    Ok(())
}

fn limits() -> serve::ServeLimits {
    serve::ServeLimits {
        head_time: IDLE_LIMIT,
        head_bytes: HEAD_LIMIT_BYTES,
        ..serve::ServeLimits::default()
    }
}

fn serve_entry(
    core: &sync::Arc<core::GatewayCore>,
    listener: tokio::net::TcpListener,
    closed: &watch::Receiver<bool>,
) -> task::JoinHandle<()> {
    let core = sync::Arc::clone(core);
    let answer = move |request| entry::answer(sync::Arc::clone(&core), request);
    tokio::spawn(serve::serve(listener, limits(), closed.clone(), answer))
}

fn serve_metrics(
    core: &sync::Arc<core::GatewayCore>,
    listener: tokio::net::TcpListener,
    closed: &watch::Receiver<bool>,
) -> task::JoinHandle<()> {
    let core = sync::Arc::clone(core);
    let answer = move |_| entry::answer_metrics(sync::Arc::clone(&core));
    tokio::spawn(serve::serve(listener, limits(), closed.clone(), answer))
}

/// Drives the membership and tells it what this node knows and whether it serves.
async fn keep_members(
    core: sync::Arc<core::GatewayCore>,
    driver: sync::Arc<member::MemberDriver>,
    mut received: mpsc::Receiver<Vec<u8>>,
    mut reload: mpsc::Receiver<settings::GatewaySettings>,
) {
    let mut ticks = time::interval(probe::TICK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut told = 0;
    let mut ready = false;
    loop {
        tokio::select! {
            now = ticks.tick() => {
                let latest = core.latest();
                if latest != told {
                    told = latest;
                    driver.step(member::MemberEvent::Version(latest), now);
                }
                if !ready && core.is_ready() {
                    ready = true;
                    let detail = format!("document_version={}", core.document_version());
                    core.note(event::EventCode::NodeReady, &core.settings.name, detail);
                    let phase = member::MemberPhase::Serving;
                    driver.step(member::MemberEvent::Phase(phase), now);
                }
                driver.step(member::MemberEvent::Tick, time::Instant::now());
                core.tick(now);
            }
            message = received.recv() => {
                let Some(message) = message else { return };
                // What cannot be opened is dropped, as if lost.
                let _ = core.post.receive(&message);
            }
            Some(fresh) = reload.recv() => {
                let now = time::Instant::now();
                driver.step(member::MemberEvent::Seeds(fresh.seeds), now);
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
    let note = |code| {
        let detail = format!("in_flight={}", core.metrics.in_flight.get());
        core.note(code, &settings.name, detail);
    };
    let announce = || {
        core.begin_stop();
        note(event::EventCode::StopBegan);
        let leaving = member::MemberEvent::Phase(member::MemberPhase::Leaving);
        driver.step(leaving, time::Instant::now());
    };
    let cut = || note(event::EventCode::StopCut);
    drain::stop(keeper, signals, closing, serving, announce, cut).await;
}
