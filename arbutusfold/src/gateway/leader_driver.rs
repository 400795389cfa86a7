//! Sends and receives the load summaries of nodes and leaders.

use std::sync;

use tokio::time;

use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::demand_driver;
use crate::gateway::leader;
use crate::gateway::path_load;
use crate::gateway::replication;
use crate::gateway::versions;
use crate::peer;

/// Sends this node's loads to its leader, or the summaries if this node leads,
/// once in each period. Never returns.
pub async fn run(core: sync::Arc<core::GatewayCore>) {
    loop {
        let members = core.members.alive();
        let domain = &core.settings.domain;
        let nodes = members.iter().filter(|record| record.domain == *domain);
        let period = leader::report_period(nodes.count());
        time::sleep(period).await;
        let now = time::Instant::now();
        lock(&core.loads).expire(period, now);
        if core.settings.share_demand {
            path_load::publish(&core, now);
        }
        send_update(&core);
        demand_driver::tick(&core, period);
    }
}

fn send_update(core: &core::GatewayCore) {
    let members = core.members.alive();
    core.set_nodes(&members);
    let leaders = leader::leaders(&members);
    let domain = &core.settings.domain;
    let own_leader = leaders.iter().find(|record| record.domain == *domain);
    let loads = own_loads(core);
    let leading = own_leader.is_none_or(|record| record.name == core.settings.name);
    core.set_leading(leading);
    if let Some(record) = own_leader.filter(|_| !leading) {
        lock(&core.loads).set_sent(loads.clone());
        send(core, &record.name, &leader::LeaderMessage::NodeLoads(loads));
        return;
    }
    let now = time::Instant::now();
    let mut view = lock(&core.loads);
    let domain_summary = view.domain_summary(leader::LoadSummary {
        loads: loads.clone(),
        slow: Vec::new(),
        store_age_ms: core.store_age_ms(now),
        store_version: core.store_version(),
    });
    let fleet_summary = view.fleet_summary(&domain_summary, now);
    view.set_sent(loads);
    let fleet = leader::LeaderMessage::FleetSummary(fleet_summary);
    view.receive(&core.settings.name, fleet.clone(), now);
    drop(view);
    let others = leaders.iter().filter(|record| record.domain != *domain);
    let message = leader::LeaderMessage::DomainSummary(domain_summary);
    others.for_each(|record| send(core, &record.name, &message));
    core.domain_peers(&members)
        .for_each(|record| send(core, &record.name, &fleet));
}

fn own_loads(core: &core::GatewayCore) -> Vec<leader::RunnerLoad> {
    let fleet = lock(&core.fleet);
    let busy = fleet.runners().iter().filter(|state| state.in_flight > 0);
    let mut loads: Vec<_> = busy
        .map(|state| leader::RunnerLoad {
            runner: state.key,
            in_flight: state.in_flight,
            token_layers: state.token_layers,
        })
        .collect();
    loads.sort_unstable_by_key(|load| load.runner);
    loads
}

fn send(core: &core::GatewayCore, to: &str, message: &leader::LeaderMessage) {
    if let Ok(body) = versions::encode(message, &core.table_versions()) {
        core.post.send(to, peer::MessageKind::Lead, &body);
    }
}

/// Handles the messages of nodes and leaders.
pub struct LeaderHandler {
    core: sync::Arc<core::GatewayCore>,
}

impl LeaderHandler {
    /// Creates the handler of a node.
    pub fn new(core: sync::Arc<core::GatewayCore>) -> Self {
        Self { core }
    }
}

impl peer::MessageHandler for LeaderHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        // Messages that a later release added cannot be decoded and are dropped.
        let Ok((mut message, named)) = versions::decode::<leader::LeaderMessage>(body) else {
            return;
        };
        if message.is_demand() {
            return demand_driver::receive(&self.core, sender, message);
        }
        let is_fleet_summary = matches!(message, leader::LeaderMessage::FleetSummary(_));
        let era = named.as_ref().map_or(0, versions::era);
        let version = match &mut message {
            leader::LeaderMessage::FleetSummary(summary)
            | leader::LeaderMessage::DomainSummary(summary) => {
                if era < self.core.store_era() {
                    // What its sender passes on of the store is older than what is
                    // known here, so nobody may rely on it.
                    summary.store_age_ms = u32::MAX;
                }
                summary.store_version
            }
            _ => 0,
        };
        let now = time::Instant::now();
        lock(&self.core.loads).receive(sender, message, now);
        if is_fleet_summary {
            self.core.record_summary(sender, now);
        }
        match named {
            Some(named) => replication::note_versions(&self.core, named, sender),
            None if version > self.core.store_version() => {
                replication::request_later(&self.core, version, sender);
            }
            None => {}
        }
    }
}
