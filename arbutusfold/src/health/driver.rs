//! Carries out what the health of upstreams decides.

use std::net;
use std::sync;
use std::time as std_time;

use rand::SeedableRng;
use rand::seq::IndexedRandom;
use tokio::time;

use crate::client;
use crate::document;
use crate::event;
use crate::health::{self, AskOutcome, HealthAction, HealthEvent, HealthKeeper, HealthMessage};
use crate::id;
use crate::node;
use crate::peer;
use crate::platform;
use crate::upstream;

/// Time between two looks at what is due.
const TICK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Longest time that a report may take.
const REPORT_TIME_LIMIT: std_time::Duration = std_time::Duration::from_secs(1);

/// Time between two looks at the platform's host list.
const LIST_PERIOD: std_time::Duration = std_time::Duration::from_secs(30);

/// State behind the driver's lock.
struct DriverState {
    keeper: HealthKeeper,
    rng: rand_chacha::ChaCha8Rng,
}

/// Drives the health of upstreams on one node.
pub struct HealthDriver {
    state: sync::Mutex<DriverState>,
    core: sync::Weak<node::NodeCore>,
}

impl HealthDriver {
    /// Creates the driver of a node.
    pub fn new(core: &sync::Arc<node::NodeCore>) -> Self {
        let keeper = HealthKeeper::new(
            core.settings.name.clone(),
            core.incarnation,
            time::Instant::now(),
        );
        let rng = rand_chacha::ChaCha8Rng::seed_from_u64(core.incarnation);
        Self {
            state: sync::Mutex::new(DriverState { keeper, rng }),
            core: sync::Arc::downgrade(core),
        }
    }

    /// Tells whether enough is known of the upstreams to serve callers.
    pub fn is_ready(&self) -> bool {
        self.lock().keeper.is_ready(time::Instant::now())
    }

    /// Keeps the health of upstreams until the node ends.
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
                self.step(HealthEvent::Document(watched(&config.document)));
            }
            let doubted = core.routes.lock().down_upstreams(time::Instant::now());
            for name in doubted {
                self.step(HealthEvent::Doubted(name));
            }
            self.step(HealthEvent::Tick);
            core.set_upstreams_known(self.is_ready());
        }
    }

    /// Looks at the platform's host list now and then, as a hint only.
    ///
    /// A leaving upstream is asked by this node itself; other hosts are
    /// addresses at which peers may be met.
    pub async fn watch_list(
        self: sync::Arc<Self>,
        hosts: sync::Arc<dyn platform::HostList>,
        meet: impl Fn(Vec<net::SocketAddr>) + Send,
    ) {
        let mut ticks = time::interval(LIST_PERIOD);
        loop {
            ticks.tick().await;
            let Ok(listed) = hosts.hosts().await else {
                continue;
            };
            let Some(core) = self.core.upgrade() else {
                return;
            };
            let Some(config) = core.config.current() else {
                meet(listed.iter().map(|host| host.address).collect());
                continue;
            };
            let (upstreams, others): (Vec<_>, Vec<_>) = listed
                .into_iter()
                .partition(|host| config.document.upstream(&host.name).is_some());
            for host in upstreams.into_iter().filter(|host| host.leaving) {
                self.step(HealthEvent::Doubted(host.name));
            }
            let seeds = others.iter().filter(|host| !host.leaving);
            meet(seeds.map(|host| host.address).collect());
        }
    }

    fn step(&self, event: HealthEvent) {
        let actions = {
            let mut state = self.lock();
            let DriverState { keeper, rng } = &mut *state;
            keeper.handle(event, time::Instant::now(), rng)
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
            HealthAction::Ask { upstream, address } => {
                ask(sync::Arc::clone(core), upstream, address);
            }
            HealthAction::Tell { peers, message } => {
                let contacts = core.members.contacts();
                let others: Vec<_> = contacts
                    .iter()
                    .filter(|contact| contact.host != core.settings.name)
                    .collect();
                let chosen = others.sample(&mut self.lock().rng, peers);
                let hosts: Vec<_> = chosen.map(|contact| contact.host.clone()).collect();
                post(core, &hosts, &message);
            }
            HealthAction::TellRegions(message) => {
                let contacts = core.members.remote_contacts().into_iter();
                let hosts: Vec<_> = contacts.map(|contact| contact.host).collect();
                post(core, &hosts, &message);
            }
            HealthAction::Reply { to, message } => post(core, &[to], &message),
            HealthAction::Show {
                upstream,
                address,
                report,
            } => show(core, &upstream, address, report.map(|report| *report)),
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
        // What a later release added is not understood and dropped.
        let Ok(message) = postcard::from_bytes::<HealthMessage>(body) else {
            return;
        };
        let sender = sender.to_owned();
        self.step(HealthEvent::Heard { sender, message });
    }
}

/// Returns the upstreams of a document that report.
fn watched(document: &document::ConfigDocument) -> Vec<health::WatchedUpstream> {
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

fn post(core: &node::NodeCore, hosts: &[id::HostName], message: &HealthMessage) {
    let Ok(body) = postcard::to_stdvec(message) else {
        return;
    };
    for host in hosts {
        core.post.send(host, peer::MessageKind::Health, &body);
    }
}

/// Asks an upstream for its report and hands the outcome back.
fn ask(core: sync::Arc<node::NodeCore>, upstream: id::UpstreamName, address: net::SocketAddr) {
    tokio::spawn(async move {
        let asked = core
            .engines
            .get_json::<upstream::EngineReport>(address, upstream::REPORT_PATH);
        let outcome = match time::timeout(REPORT_TIME_LIMIT, asked).await {
            Ok(Ok(report)) => {
                core.traffic.note_report(&upstream, report.incarnation);
                AskOutcome::Report(Box::new(report))
            }
            Ok(Err(client::ClientError::NotSent { .. })) => AskOutcome::Refused,
            Ok(Err(_)) | Err(_) => AskOutcome::Silent,
        };
        if let Some(driver) = core.health.get() {
            driver.step(HealthEvent::Asked { upstream, outcome });
        }
    });
}

/// Shows the state of an upstream to the choice of routes.
fn show(
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
