//! Background tasks that keep the state of a node up to date.

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use tokio::sync::mpsc;
use tokio::time;

use super::NodeCore;
use crate::event;
use crate::id;
use crate::member;
use crate::peer;
use crate::probe;

/// Interval for updating the number of nodes that share the store's rate.
const FLEET_SIZE_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);

/// Interval for checking whether routes must be planned again.
const PLAN_CHECK_PERIOD: std_time::Duration = std_time::Duration::from_millis(50);

/// Writes and settles records, and updates the number of nodes that share the
/// store's rate.
pub(super) async fn maintain_records(core: sync::Arc<NodeCore>) {
    let update_fleet_size = async {
        let mut ticks = time::interval(FLEET_SIZE_PERIOD);
        loop {
            ticks.tick().await;
            let nodes = core.members.fleet_size();
            core.records.set_nodes(nodes);
            core.table.set_nodes(nodes);
        }
    };
    tokio::select! {
        () = core.records.run() => {}
        () = update_fleet_size => {}
    }
}

/// Plans the routes again when they are due.
///
/// The lock on the routes is not held while a plan is computed.
pub(super) async fn maintain_routes(core: sync::Arc<NodeCore>) {
    let mut ticks = time::interval(PLAN_CHECK_PERIOD);
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
            let mut routes = core.routes.lock();
            routes.set_peers(u32::try_from(peers).unwrap_or(u32::MAX));
            routes.due(now)
        };
        for task in due {
            let plan = task.run();
            let model = task.model().to_owned();
            core.routes.lock().install(task, &plan, now);
            let detail = format!(
                "{} routes, throughput {} of at most {} tokens/s",
                plan.routes.len(),
                plan.throughput(),
                plan.bound
            );
            core.recorder
                .record(event::EventCode::RoutesPlanned, &model, detail);
        }
    }
}

/// Runs the membership protocol and receives messages from peers.
pub(super) async fn maintain_membership(
    core: sync::Arc<NodeCore>,
    driver: sync::Arc<member::MemberDriver>,
    mut received_messages: mpsc::Receiver<peer::ReceivedMessage>,
) {
    let mut ticks = time::interval(probe::TICK_PERIOD);
    ticks.set_missed_tick_behavior(time::MissedTickBehavior::Delay);
    let mut version = 0;
    let mut ready = false;
    loop {
        tokio::select! {
            now = ticks.tick() => {
                let current = core.config.version();
                if current != version {
                    version = current;
                    driver.step(member::MemberEvent::Version(current), now);
                }
                if core.is_serving() {
                    if !ready {
                        ready = true;
                        let name = &core.settings.name;
                        core.recorder.record(event::EventCode::NodeReady, name, "");
                    }
                    let phase = member::MemberPhase::Serving;
                    driver.step(member::MemberEvent::Phase(phase), now);
                }
                driver.step(member::MemberEvent::Tick, time::Instant::now());
            }
            message = received_messages.recv() => {
                let Some(message) = message else { return };
                // Messages that cannot be opened are dropped, as if lost.
                let _ = core.endpoint.receive(&message);
            }
        }
    }
}

/// Applies notices of the membership protocol to the node.
pub(super) struct NodeListener {
    pub(super) core: sync::Arc<NodeCore>,
}

impl member::driver::MemberListener for NodeListener {
    fn newer_config(&self, version: id::DocumentVersion, from: &str) {
        self.core
            .config
            .observe_version(from, version, time::Instant::now());
    }

    fn superseded(&self) {
        if !self.core.stopping.swap(true, atomic::Ordering::Relaxed) {
            let name = &self.core.settings.name;
            self.core
                .recorder
                .record(event::EventCode::HostSuperseded, name, "");
        }
    }
}
