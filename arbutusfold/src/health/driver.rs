//! Connects the health monitor to the clock, the network and the routing table.

use std::net;
use std::sync;
use std::time as std_time;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use tokio::time;

use crate::client;
use crate::document;
use crate::event;
use crate::health::{self, HealthAction, HealthEvent, HealthMessage, HealthMonitor, PollOutcome};
use crate::id;
use crate::node;
use crate::peer;
use crate::platform;
use crate::upstream;

/// Time between two ticks of the health monitor.
const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Longest time that a poll may take.
const POLL_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(1);

/// Time between two reads of the platform's host list.
const HOST_LIST_PERIOD: std_time::Duration = std_time::Duration::from_secs(30);

/// State protected by the lock of the driver.
struct DriverState {
    monitor: HealthMonitor,
    rng: rand_chacha::ChaCha8Rng,
}

/// Runs the health monitor of one node.
pub struct HealthDriver {
    state: sync::Mutex<DriverState>,
    core: sync::Weak<node::NodeCore>,
}

impl HealthDriver {
    /// Creates the driver of a node.
    pub fn new(core: &sync::Arc<node::NodeCore>) -> Self {
        let monitor = HealthMonitor::new(
            core.settings.name.clone(),
            core.incarnation,
            time::Instant::now(),
        );
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(core.incarnation);
        Self {
            state: sync::Mutex::new(DriverState { monitor, rng }),
            core: sync::Arc::downgrade(core),
        }
    }

    /// Returns whether the node knows enough about the upstreams to serve callers.
    pub fn is_ready(&self) -> bool {
        self.lock().monitor.is_ready(time::Instant::now())
    }

    /// Feeds ticks, members, configurations and failed calls to the health monitor
    /// until the node ends.
    pub async fn run(self: sync::Arc<Self>) {
        let mut ticks = time::interval(TICK_PERIOD);
        ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
        let mut version = 0;
        let mut members = Vec::new();
        loop {
            ticks.tick().await;
            let Some(core) = self.core.upgrade() else {
                return;
            };
            let alive = core.members.alive();
            if alive != members {
                members.clone_from(&alive);
                self.step(HealthEvent::Members {
                    members: alive,
                    remote_domains: core.members.remote_domains(),
                });
            }
            if let Some(config) = core.config.current().filter(|held| held.version != version) {
                version = config.version;
                self.step(HealthEvent::Document(watched_upstreams(&config.document)));
            }
            let suspected = core.routes.lock().down_upstreams(time::Instant::now());
            for name in suspected {
                self.step(HealthEvent::Suspected(name));
            }
            self.step(HealthEvent::Tick);
            core.set_upstreams_known(self.is_ready());
        }
    }

    /// Reads the platform's host list periodically; the list serves as a hint only.
    ///
    /// This node polls an upstream that is listed as leaving. The addresses of other
    /// hosts go to `contact`, as peers may be found there.
    pub async fn watch_host_list(
        self: sync::Arc<Self>,
        hosts: sync::Arc<dyn platform::HostList>,
        contact: impl Fn(Vec<net::SocketAddr>) + Send,
    ) {
        let mut ticks = time::interval(HOST_LIST_PERIOD);
        loop {
            ticks.tick().await;
            let Ok(listed) = hosts.hosts().await else {
                continue;
            };
            let Some(core) = self.core.upgrade() else {
                return;
            };
            let Some(config) = core.config.current() else {
                contact(listed.iter().map(|host| host.address).collect());
                continue;
            };
            let (upstreams, others): (Vec<_>, Vec<_>) = listed
                .into_iter()
                .partition(|host| config.document.upstream(&host.name).is_some());
            for host in upstreams.into_iter().filter(|host| host.leaving) {
                self.step(HealthEvent::Suspected(host.name));
            }
            let seeds = others.iter().filter(|host| !host.leaving);
            contact(seeds.map(|host| host.address).collect());
        }
    }

    fn step(&self, event: HealthEvent) {
        let actions = {
            let mut state = self.lock();
            let DriverState { monitor, rng } = &mut *state;
            monitor.handle(event, time::Instant::now(), rng)
        };
        let Some(core) = self.core.upgrade() else {
            return;
        };
        for action in actions {
            self.carry_out(&core, action);
        }
    }

    fn carry_out(&self, core: &sync::Arc<node::NodeCore>, action: HealthAction) {
        match action {
            HealthAction::Poll { upstream, address } => {
                poll(sync::Arc::clone(core), upstream, address);
            }
            HealthAction::SendRandom { peers, message } => {
                let contacts = core.members.contacts();
                let others: Vec<_> = contacts
                    .iter()
                    .filter(|contact| contact.host != core.settings.name)
                    .collect();
                let chosen = others.sample(&mut self.lock().rng, peers);
                let hosts: Vec<_> = chosen.map(|contact| contact.host.clone()).collect();
                send(core, &hosts, &message);
            }
            HealthAction::SendRegions(message) => {
                let contacts = core.members.remote_contacts().into_iter();
                let hosts: Vec<_> = contacts.map(|contact| contact.host).collect();
                send(core, &hosts, &message);
            }
            HealthAction::Reply { to, message } => send(core, &[to], &message),
            HealthAction::UpdateRoutes {
                upstream,
                address,
                report,
            } => apply_state(core, &upstream, address, report.map(|report| *report)),
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, DriverState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl peer::MessageHandler for HealthDriver {
    fn handle(&self, sender: &str, body: &[u8]) {
        // A message that a later release added cannot be decoded and is dropped.
        let Ok(message) = postcard::from_bytes::<HealthMessage>(body) else {
            return;
        };
        let sender = sender.to_owned();
        self.step(HealthEvent::Received { sender, message });
    }
}

/// Returns the upstreams of a document that hold layers; only these send reports.
fn watched_upstreams(document: &document::ConfigDocument) -> Vec<health::WatchedUpstream> {
    document
        .upstreams
        .iter()
        .filter(|spec| spec.capacity_layers > 0)
        .map(|spec| health::WatchedUpstream {
            name: spec.name.clone(),
            address: spec.address,
            domain: spec.domain.clone(),
        })
        .collect()
}

fn send(core: &node::NodeCore, hosts: &[id::HostName], message: &HealthMessage) {
    let Ok(body) = postcard::to_stdvec(message) else {
        return;
    };
    for host in hosts {
        core.endpoint.send(host, peer::MessageKind::Health, &body);
    }
}

/// Requests the report of an upstream and feeds the outcome to the health monitor.
fn poll(core: sync::Arc<node::NodeCore>, upstream: id::UpstreamName, address: net::SocketAddr) {
    tokio::spawn(async move {
        let request = core
            .engines
            .get_json::<upstream::EngineReport>(address, upstream::REPORT_PATH);
        let outcome = match time::timeout(POLL_TIMEOUT, request).await {
            Ok(Ok(report)) => {
                core.traffic.note_report(&upstream, report.incarnation);
                PollOutcome::Report(Box::new(report))
            }
            Ok(Err(client::ClientError::NotSent { .. })) => PollOutcome::Unreachable,
            Ok(Err(_)) | Err(_) => PollOutcome::Failed,
        };
        if let Some(driver) = core.health.get() {
            driver.step(HealthEvent::Polled { upstream, outcome });
        }
    });
}

/// Updates the state of an upstream in the routing table and in the view of upstreams.
fn apply_state(
    core: &node::NodeCore,
    name: &str,
    address: net::SocketAddr,
    report: Option<upstream::EngineReport>,
) {
    let now = time::Instant::now();
    match &report {
        Some(report) => core.routes.lock().apply_report(name, report, now),
        None => core.routes.lock().clear_report(name),
    }
    let transition = core.upstreams.update(name, address, |state| {
        let was_reachable = state.report.is_some();
        let is_reachable = report.is_some();
        state.report = report.map(|report| (report, now));
        (was_reachable != is_reachable).then_some(is_reachable)
    });
    let code = match transition {
        Some(true) => event::EventCode::UpstreamFound,
        Some(false) => event::EventCode::UpstreamLost,
        None => return,
    };
    core.recorder.record(code, name, address.to_string());
}
