//! One node: its state, its listeners and its loops.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use derive_more::{Display, Error};
use tokio::sync::{mpsc, watch};
use tokio::time;

use crate::caller;
use crate::client;
use crate::complete;
use crate::config;
use crate::event;
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
use crate::upstream;

/// Longest time that the body of a request may take.
pub const BODY_TIME_LIMIT: std_time::Duration = std_time::Duration::from_secs(30);

/// Time between two reports asked of one upstream.
const REPORT_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);

/// Longest time that a stop waits for records to be settled.
const SETTLE_TIME_LIMIT: std_time::Duration = std_time::Duration::from_secs(10);

/// Time between two looks at the number of nodes that share the store's rate.
const SHARE_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);
/// Time between two looks whether routes must be planned anew.
const PLAN_PERIOD: std_time::Duration = std_time::Duration::from_millis(50);

/// Longest time that a report may take.
const REPORT_TIME_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Why a node could not start.
#[derive(Debug, Display, Error)]
pub enum NodeError {
    /// A listener could not be opened.
    #[display("cannot listen on {address}: {reason}")]
    Listen {
        /// Address that was to be opened.
        address: net::SocketAddr,
        /// Cause.
        reason: String,
    },
    /// The peer transport could not be opened.
    #[display("{_0}")]
    Peer(peer::PeerError),
}

/// What the slices of one node share.
pub struct NodeCore {
    /// Settings of the process.
    pub settings: settings::NodeSettings,
    /// Incarnation of the process.
    pub incarnation: id::IncarnationNumber,
    /// Events.
    pub recorder: sync::Arc<event::EventRecorder>,
    /// Metrics.
    pub metrics: metric::MetricSet,
    /// Configuration in force.
    pub config: config::ConfigKeeper,
    /// The node's share of the table service.
    pub table: sync::Arc<platform::GuardedTable>,
    /// Record of marked requests.
    pub records: record::RecordKeeper,
    /// Upstreams as this node knows them.
    pub upstreams: upstream::UpstreamView,
    /// Routes over the upstreams that hold layers.
    pub routes: route::RouteDesk,
    /// Peers as this node knows them.
    pub members: sync::Arc<member::MemberView>,
    /// Messages to and from peers.
    pub post: sync::Arc<peer::PeerPost>,
    /// Decides about attempts after the first.
    pub gate: Box<dyn complete::RetryGate>,
    /// Client of model engines.
    pub engines: client::HttpClient,
    /// Client of plain services.
    pub services: client::HttpClient,
    stopping: atomic::AtomicBool,
    turn: atomic::AtomicUsize,
}

impl NodeCore {
    /// Creates the state of a node that has heard nothing yet.
    pub fn new(
        settings: settings::NodeSettings,
        recorder: sync::Arc<event::EventRecorder>,
        table: sync::Arc<dyn platform::TableClient>,
    ) -> Self {
        let incarnation = id::fresh_incarnation();
        let members = sync::Arc::new(member::MemberView::default());
        let keys = settings
            .peer_keys
            .iter()
            .filter_map(|key| settings::decode_key(key));
        let post = peer::PeerPost::new(
            settings.name.clone(),
            settings.peers,
            incarnation,
            peer::MessageSigner::new(keys.collect()),
            sync::Arc::clone(&members),
        );
        let table = sync::Arc::new(platform::GuardedTable::new(table));
        Self {
            incarnation,
            metrics: metric::MetricSet::default(),
            config: config::ConfigKeeper::new(
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
            post: sync::Arc::new(post),
            routes: route::RouteDesk::default(),
            gate: Box::new(complete::OpenGate),
            engines: client::HttpClient::for_engines(),
            services: client::HttpClient::for_services(),
            stopping: atomic::AtomicBool::new(false),
            turn: atomic::AtomicUsize::new(0),
            settings,
        }
    }

    /// Tells whether callers may be sent to this node.
    pub fn is_serving(&self) -> bool {
        self.config.version() > 0 && !self.stopping.load(atomic::Ordering::Relaxed)
    }

    /// Returns a number that grows with each call.
    pub fn next_turn(&self) -> usize {
        self.turn.fetch_add(1, atomic::Ordering::Relaxed)
    }

    fn heartbeat(&self) -> member::PeerHeartbeat {
        member::PeerHeartbeat {
            name: self.settings.name.clone(),
            incarnation: self.incarnation,
            region: self.settings.region.clone(),
            domain: self.settings.domain.clone(),
            callers: self.settings.callers,
            peers: self.settings.peers,
            version: self.config.version(),
            serving: self.is_serving(),
        }
    }
}

/// Counts a request as in flight while it lives.
pub struct FlightCount {
    core: sync::Arc<NodeCore>,
}

impl FlightCount {
    /// Counts a request.
    pub fn new(core: &sync::Arc<NodeCore>) -> Self {
        core.metrics.in_flight.inc();
        Self {
            core: sync::Arc::clone(core),
        }
    }
}

impl Drop for FlightCount {
    fn drop(&mut self) {
        self.core.metrics.in_flight.dec();
    }
}

/// Runs a node until `stop` changes, then stops gracefully.
///
/// # Errors
///
/// [`NodeError`] when a listener cannot be opened.
pub async fn run(
    settings: settings::NodeSettings,
    logger: slog::Logger,
    mut stop: watch::Receiver<bool>,
) -> Result<(), NodeError> {
    let recorder = sync::Arc::new(event::EventRecorder::new(logger));
    let table = sync::Arc::new(platform::HttpPlatform::new(settings.platform));
    let core = sync::Arc::new(NodeCore::new(settings, recorder, table));
    let (transport, received) =
        peer::NngTransport::open(core.settings.peers).map_err(NodeError::Peer)?;
    core.post.attach(sync::Arc::new(transport));
    let callers = open_listener(core.settings.callers)?;
    let operators = open_listener(core.settings.operators)?;
    let (closing, closed) = watch::channel(false);
    let name = core.settings.name.clone();
    core.recorder.record(
        event::EventCode::NodeStarted,
        &name,
        core.settings.callers.to_string(),
    );

    let loops = [
        tokio::spawn(config::keep::run(sync::Arc::clone(&core))),
        tokio::spawn(keep_records(sync::Arc::clone(&core))),
        tokio::spawn(keep_reports(sync::Arc::clone(&core))),
        tokio::spawn(repair::keep(sync::Arc::clone(&core))),
        tokio::spawn(keep_members(sync::Arc::clone(&core), received)),
        tokio::spawn(keep_routes(sync::Arc::clone(&core))),
    ];
    let caller_core = sync::Arc::clone(&core);
    let serve_callers = tokio::spawn(serve::serve(
        callers,
        serve::ServeLimits::default(),
        closed.clone(),
        move |request| caller::answer(sync::Arc::clone(&caller_core), request),
    ));
    let operator_core = sync::Arc::clone(&core);
    let serve_operators = tokio::spawn(serve::serve(
        operators,
        serve::ServeLimits::default(),
        closed,
        move |request| operate::answer(sync::Arc::clone(&operator_core), request),
    ));

    // An error means that the sender is gone, which also ends the node.
    let _ = stop.wait_for(|stop| *stop).await;
    core.stopping.store(true, atomic::Ordering::Relaxed);
    core.recorder.record(event::EventCode::StopBegan, &name, "");
    // Callers may hold an answer that names this node until it runs out.
    time::sleep(core.settings.answer_keep_ms).await;
    let _ = closing.send(true);
    let _ = time::timeout(core.settings.stop_limit_ms, serve_callers).await;
    let _ = time::timeout(SETTLE_TIME_LIMIT, core.records.settled()).await;
    core.recorder
        .record(event::EventCode::StopFinished, &name, "");
    serve_operators.abort();
    for task in loops {
        task.abort();
    }
    Ok(())
}

fn open_listener(address: net::SocketAddr) -> Result<tokio::net::TcpListener, NodeError> {
    listen::open(address).map_err(|error| NodeError::Listen {
        address,
        reason: error.to_string(),
    })
}

async fn keep_records(core: sync::Arc<NodeCore>) {
    let share = async {
        let mut ticks = time::interval(SHARE_PERIOD);
        loop {
            ticks.tick().await;
            let nodes = core.members.alive().len();
            core.records.set_nodes(nodes);
            core.table.set_nodes(nodes);
        }
    };
    tokio::select! {
        () = core.records.run() => {}
        () = share => {}
    }
}

async fn keep_reports(core: sync::Arc<NodeCore>) {
    let mut ticks = time::interval(REPORT_PERIOD);
    loop {
        ticks.tick().await;
        let Some(config) = core.config.current() else {
            continue;
        };
        let runners = config
            .document
            .upstreams
            .iter()
            .filter(|spec| spec.capacity_layers > 0);
        for spec in runners {
            let core = sync::Arc::clone(&core);
            let name = spec.name.clone();
            let address = spec.address;
            tokio::spawn(async move { ask_report(&core, &name, address).await });
        }
    }
}

async fn ask_report(core: &NodeCore, name: &str, address: net::SocketAddr) {
    let asked = core
        .engines
        .get_json::<upstream::EngineReport>(address, upstream::REPORT_PATH);
    let answer = time::timeout(REPORT_TIME_LIMIT, asked).await;
    let now = time::Instant::now();
    match &answer {
        Ok(Ok(report)) => core.routes.lock().hear(name, report, now),
        // Nothing listens there any more.
        Ok(Err(client::ClientError::NotSent { .. })) => core.routes.lock().lose(name),
        Ok(Err(_)) | Err(_) => core.routes.lock().note_silence(name, now),
    }
    let report = answer.ok().and_then(Result::ok);
    let found = core.upstreams.change(name, address, |state| {
        let had = state.report.is_some();
        let has = report.is_some();
        state.report = report.map(|report| (report, now));
        (had != has).then_some(has)
    });
    let code = match found {
        Some(true) => event::EventCode::UpstreamFound,
        Some(false) => event::EventCode::UpstreamLost,
        None => return,
    };
    core.recorder.record(code, name, address.to_string());
}

/// Keeps the planned routes current; a plan is made outside of the lock.
async fn keep_routes(core: sync::Arc<NodeCore>) {
    let mut ticks = time::interval(PLAN_PERIOD);
    let mut version = 0;
    loop {
        ticks.tick().await;
        let Some(config) = core.config.current() else {
            continue;
        };
        if config.version != version {
            version = config.version;
            core.routes.lock().configure(&config.document);
        }
        let peers = core.members.alive().len().saturating_sub(1);
        let now = time::Instant::now();
        let due = {
            let mut keeper = core.routes.lock();
            keeper.set_peers(u32::try_from(peers).unwrap_or(u32::MAX));
            keeper.due(now)
        };
        for task in due {
            let plan = task.run();
            let model = task.model().to_owned();
            core.routes.lock().install(task, &plan, now);
            let detail = format!(
                "{} routes, {} of {} tokens a second",
                plan.routes.len(),
                plan.planned(),
                plan.bound
            );
            core.recorder
                .record(event::EventCode::RoutesPlanned, &model, detail);
        }
    }
}

async fn keep_members(core: sync::Arc<NodeCore>, mut received: mpsc::Receiver<Vec<u8>>) {
    let handler = HeartbeatHandler {
        core: sync::Arc::downgrade(&core),
    };
    core.post
        .register(peer::MessageKind::Membership, sync::Arc::new(handler));
    let mut ticks = time::interval(member::HEARTBEAT_PERIOD);
    loop {
        tokio::select! {
            _ = ticks.tick() => beat(&core),
            message = received.recv() => {
                let Some(message) = message else { return };
                // What cannot be opened is dropped, as if lost.
                let _ = core.post.receive(&message);
            }
        }
    }
}

fn beat(core: &NodeCore) {
    let now = time::Instant::now();
    let heartbeat = core.heartbeat();
    core.members.hear(heartbeat.clone(), now);
    for name in core.members.expire(now) {
        core.recorder
            .record(event::EventCode::PeerGone, &name, "silent");
    }
    let Ok(body) = postcard::to_stdvec(&heartbeat) else {
        return;
    };
    let kind = peer::MessageKind::Membership;
    let contacts = core.members.contacts();
    for contact in &contacts {
        core.post.post(&contact.host, kind, &body);
    }
    let unmet = core
        .settings
        .seeds
        .iter()
        .filter(|seed| contacts.iter().all(|contact| contact.address != **seed));
    for seed in unmet {
        core.post.post_to(*seed, 0, kind, &body);
    }
}

/// Takes heartbeats of peers.
struct HeartbeatHandler {
    core: sync::Weak<NodeCore>,
}

impl peer::MessageHandler for HeartbeatHandler {
    fn handle(&self, _sender: &str, body: &[u8]) {
        let Some(core) = self.core.upgrade() else {
            return;
        };
        let Ok(heartbeat) = postcard::from_bytes::<member::PeerHeartbeat>(body) else {
            return;
        };
        let name = heartbeat.name.clone();
        if core.members.hear(heartbeat, time::Instant::now()) {
            core.recorder
                .record(event::EventCode::PeerAlive, &name, "heard");
        }
    }
}
