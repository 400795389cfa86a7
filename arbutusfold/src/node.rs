//! A node: shared state, listeners, background tasks and graceful stop.

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use derive_more::{Display, Error};
use tokio::sync::watch;
use tokio::{task, time};

use crate::caller;
use crate::client;
use crate::complete;
use crate::config;
use crate::drain;
use crate::event;
use crate::health;
use crate::id;
use crate::listen;
use crate::member;
use crate::metric;
use crate::operate;
use crate::peer;
use crate::platform;
use crate::record;
use crate::repair;
use crate::route;
use crate::serve;
use crate::settings;
use crate::traffic;
use crate::upstream;

mod flight;
mod loops;

pub use flight::InFlightGuard;

/// Maximum time for receiving the body of a request.
pub const BODY_TIME_LIMIT: std_time::Duration = std_time::Duration::from_secs(30);

/// Time for sending the last messages to peers before the sockets close.
const FLUSH_DELAY: std_time::Duration = std_time::Duration::from_millis(50);

/// Maximum time that a stop waits for open records to be settled.
const RECORD_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(10);

/// Error that prevents a node from starting.
#[derive(Debug, Display, Error)]
pub enum NodeError {
    /// A listener could not be opened.
    #[display("{_0}")]
    Listen(listen::ListenError),
    /// The peer transport could not be opened.
    #[display("{_0}")]
    Peer(peer::PeerError),
}

/// State shared by the components of a node.
pub struct NodeCore {
    /// Settings of the process.
    pub settings: settings::NodeSettings,
    /// Incarnation of the process.
    pub incarnation: id::IncarnationNumber,
    /// Recorder of the event log.
    pub recorder: sync::Arc<event::EventRecorder>,
    /// Metrics.
    pub metrics: metric::MetricSet,
    /// Current configuration.
    pub config: config::ConfigManager,
    /// Client of the table service, limited to this node's share of its rate.
    pub table: sync::Arc<platform::GuardedTable>,
    /// Records of calls that must not run twice.
    pub records: record::RecordKeeper,
    /// Known state of the upstreams.
    pub upstreams: upstream::UpstreamView,
    /// Planned routes over the upstreams that hold layers.
    pub routes: route::SharedRoutes,
    /// Known members of the fleet.
    pub members: sync::Arc<member::MemberView>,
    /// Endpoint for messages to and from peers.
    pub endpoint: sync::Arc<peer::PeerEndpoint>,
    /// Decides whether a failed attempt may be retried.
    pub retry_gate: sync::Arc<dyn complete::RetryGate>,
    /// Admission, limits, retries and permits.
    pub traffic: sync::Arc<traffic::TrafficController>,
    /// HTTP client for model engines.
    pub engines: client::HttpClient,
    /// HTTP client for plain services.
    pub services: client::HttpClient,
    /// Health checks of upstreams; set when the node starts.
    pub health: sync::OnceLock<sync::Arc<health::HealthDriver>>,
    /// Requests in flight.
    pub in_flight: drain::ActiveRequests,
    upstreams_known: atomic::AtomicBool,
    stopping: atomic::AtomicBool,
    round_robin: atomic::AtomicUsize,
}

impl NodeCore {
    /// Creates the initial state of a node, without configuration or peers.
    pub fn new(
        settings: settings::NodeSettings,
        recorder: sync::Arc<event::EventRecorder>,
        table: sync::Arc<dyn platform::TableClient>,
    ) -> Self {
        let incarnation = id::new_incarnation();
        let members = sync::Arc::new(member::MemberView::default());
        let endpoint = peer::PeerEndpoint::new(
            settings.name.clone(),
            settings.peers,
            incarnation,
            settings::peer_signer(&settings.peer_keys),
            sync::Arc::clone(&members),
        );
        let table = sync::Arc::new(platform::GuardedTable::new(table));
        let endpoint = sync::Arc::new(endpoint);
        let traffic = sync::Arc::new(traffic::TrafficController::new(
            settings.name.clone(),
            incarnation,
            sync::Arc::clone(&recorder),
            sync::Arc::clone(&members),
            sync::Arc::clone(&endpoint),
        ));
        Self {
            incarnation,
            metrics: metric::MetricSet::default(),
            config: config::ConfigManager::new(
                sync::Arc::<platform::GuardedTable>::clone(&table),
                sync::Arc::clone(&recorder),
                settings.name.clone(),
            ),
            records: record::RecordKeeper::new(
                sync::Arc::<platform::GuardedTable>::clone(&table),
                sync::Arc::clone(&recorder),
                settings.name.clone(),
            ),
            table,
            recorder,
            upstreams: upstream::UpstreamView::default(),
            members,
            endpoint,
            routes: route::SharedRoutes::default(),
            retry_gate: sync::Arc::<traffic::TrafficController>::clone(&traffic),
            traffic,
            engines: client::HttpClient::for_engines(),
            services: client::HttpClient::for_services(),
            health: sync::OnceLock::new(),
            in_flight: drain::ActiveRequests::default(),
            upstreams_known: atomic::AtomicBool::new(false),
            stopping: atomic::AtomicBool::new(false),
            round_robin: atomic::AtomicUsize::new(0),
            settings,
        }
    }

    /// Returns whether this node is ready to serve callers.
    pub fn is_serving(&self) -> bool {
        self.config.version() > 0
            && self.upstreams_known.load(atomic::Ordering::Relaxed)
            && !self.is_stopping()
    }

    /// Returns whether this node is stopping and callers should use another.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }

    /// Sets whether enough upstream state is known to serve callers.
    pub(crate) fn set_upstreams_known(&self, known: bool) {
        self.upstreams_known.store(known, atomic::Ordering::Relaxed);
    }

    /// Returns a counter that grows by one with each call.
    pub fn next_round_robin(&self) -> usize {
        self.round_robin.fetch_add(1, atomic::Ordering::Relaxed)
    }

    fn member_record(&self) -> member::MemberRecord {
        member::MemberRecord {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            revision: 1,
            region: self.settings.region.clone(),
            domain: self.settings.domain.clone(),
            callers: self.settings.callers,
            peers: self.settings.peers,
            version: 0,
            phase: member::MemberPhase::Joining,
        }
    }
}

/// Runs a node until `stop` counts a first signal, then stops it gracefully.
///
/// A second signal ends the graceful stop at once.
///
/// # Errors
///
/// [`NodeError`] if a listener or the peer transport cannot be opened.
pub async fn run(
    settings: settings::NodeSettings,
    logger: slog::Logger,
    stop: watch::Receiver<u32>,
) -> Result<(), NodeError> {
    let recorder = sync::Arc::new(event::EventRecorder::new(logger));
    let hosts = sync::Arc::new(platform::HttpPlatform::new(settings.platform));
    let table = sync::Arc::<platform::HttpPlatform>::clone(&hosts);
    let core = sync::Arc::new(NodeCore::new(settings, recorder, table));
    let monitor = peer::TransportMonitor {
        recorder: sync::Arc::clone(&core.recorder),
        metrics: core.metrics.transport.clone(),
    };
    let (transport, received_messages) =
        peer::TcpTransport::open(core.settings.peers, monitor).map_err(NodeError::Peer)?;
    core.endpoint.attach(sync::Arc::new(transport));
    let caller_listener = listen::open(core.settings.callers).map_err(NodeError::Listen)?;
    let operator_listener = listen::open(core.settings.operators).map_err(NodeError::Listen)?;
    let (closing, closed) = watch::channel(false);
    core.recorder.record(
        event::EventCode::NodeStarted,
        &core.settings.name,
        core.settings.callers.to_string(),
    );

    traffic::register(&core);
    let driver = member::driver::start(
        core.member_record(),
        core.settings.seeds.clone(),
        &core.endpoint,
        &core.members,
        &core.recorder,
    );
    let member_listener: sync::Arc<dyn member::driver::MemberListener> =
        sync::Arc::new(loops::NodeListener {
            core: sync::Arc::clone(&core),
        });
    driver.set_listener(sync::Arc::downgrade(&member_listener));
    let health = start_health(&core);
    let seed_driver = sync::Arc::clone(&driver);
    let add_seeds = move |seeds| {
        seed_driver.step(member::MemberEvent::Seeds(seeds), time::Instant::now());
    };

    let tasks = [
        tokio::spawn(traffic::run(sync::Arc::clone(&core))),
        tokio::spawn(config::driver::run(sync::Arc::clone(&core))),
        tokio::spawn(loops::maintain_records(sync::Arc::clone(&core))),
        tokio::spawn(sync::Arc::clone(&health).run()),
        tokio::spawn(health.watch_host_list(hosts, add_seeds)),
        tokio::spawn(loops::maintain_membership(
            sync::Arc::clone(&core),
            sync::Arc::clone(&driver),
            received_messages,
        )),
        tokio::spawn(loops::maintain_routes(sync::Arc::clone(&core))),
        tokio::spawn(repair::run(sync::Arc::clone(&core))),
    ];
    let caller_core = sync::Arc::clone(&core);
    let serve_callers = tokio::spawn(serve::serve(
        caller_listener,
        serve::ServeLimits::default(),
        closed.clone(),
        move |request| caller::answer(sync::Arc::clone(&caller_core), request),
    ));
    let operator_core = sync::Arc::clone(&core);
    let serve_operators = tokio::spawn(serve::serve(
        operator_listener,
        serve::ServeLimits::default(),
        closed,
        move |request| operate::answer(sync::Arc::clone(&operator_core), request),
    ));

    drain_node(&core, &driver, stop, closing, serve_callers).await;
    let _ = time::timeout(RECORD_TIMEOUT, core.records.settled()).await;
    core.recorder
        .record(event::EventCode::StopFinished, &core.settings.name, "");
    driver.step(member::MemberEvent::Left, time::Instant::now());
    // The last messages must be sent before the sockets close.
    time::sleep(FLUSH_DELAY).await;
    serve_operators.abort();
    for task in tasks {
        task.abort();
    }
    Ok(())
}

fn start_health(core: &sync::Arc<NodeCore>) -> sync::Arc<health::HealthDriver> {
    let driver = sync::Arc::new(health::HealthDriver::new(core));
    core.endpoint
        .register(peer::MessageKind::Health, driver.clone());
    core.health.get_or_init(|| sync::Arc::clone(&driver));
    driver
}

async fn drain_node(
    core: &NodeCore,
    driver: &member::MemberDriver,
    signals: watch::Receiver<u32>,
    closing: watch::Sender<bool>,
    serving: task::JoinHandle<()>,
) {
    let settings = &core.settings;
    let sequence = drain::DrainSequence::new(settings.answer_keep_ms, settings.stop_limit_ms);
    let announce = || {
        core.stopping.store(true, atomic::Ordering::Relaxed);
        core.recorder
            .record(event::EventCode::StopBegan, &settings.name, "");
        let leaving = member::MemberEvent::Phase(member::MemberPhase::Leaving);
        driver.step(leaving, time::Instant::now());
    };
    drain::stop(sequence, signals, closing, serving, announce, || {
        record_cut_requests(core)
    })
    .await;
}

/// Records each request that is still in flight when the stop ends.
fn record_cut_requests(core: &NodeCore) {
    for request in core.in_flight.list() {
        core.recorder
            .record(event::EventCode::StopCut, &request, "still in flight");
    }
}
