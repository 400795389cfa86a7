//! Carries the words of nodes and leads.

use std::sync;

use tokio::time;

use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::exchange;
use crate::gateway::lead;
use crate::peer;

/// Tells the lead, or tells the others as the lead, without end.
pub async fn keep(core: sync::Arc<core::GatewayCore>) {
    loop {
        let members = core.members.alive();
        let domain = &core.settings.domain;
        let nodes = members.iter().filter(|record| record.domain == *domain);
        let period = lead::period(nodes.count());
        time::sleep(period).await;
        lock(&core.leads).forget(period, time::Instant::now());
        tell(&core);
    }
}

fn tell(core: &core::GatewayCore) {
    let members = core.members.alive();
    let leads = lead::leads(&members);
    let domain = &core.settings.domain;
    let own_lead = leads.iter().find(|record| record.domain == *domain);
    let loads = own_loads(core);
    let leading = own_lead.is_none_or(|record| record.name == core.settings.name);
    core.set_leading(leading);
    if let Some(record) = own_lead.filter(|_| !leading) {
        lock(&core.leads).note_told(loads.clone());
        send(core, &record.name, &lead::LeadMessage::Node(loads));
        return;
    }
    let now = time::Instant::now();
    let mut book = lock(&core.leads);
    let domain_word = book.domain_word(lead::LeadWord {
        loads: loads.clone(),
        slow: Vec::new(),
        store_age_ms: core.store_age_ms(now),
        latest: core.latest(),
    });
    let fleet_word = book.fleet_word(&domain_word, now);
    book.note_told(loads);
    let fleet = lead::LeadMessage::Fleet(fleet_word);
    book.hear(&core.settings.name, fleet.clone(), now);
    drop(book);
    let others = leads.iter().filter(|record| record.domain != *domain);
    let message = lead::LeadMessage::Domain(domain_word);
    others.for_each(|record| send(core, &record.name, &message));
    core.neighbours(&members)
        .for_each(|record| send(core, &record.name, &fleet));
}

fn own_loads(core: &core::GatewayCore) -> Vec<lead::RunnerLoad> {
    let fleet = lock(&core.fleet);
    let busy = fleet.runners().iter().filter(|state| state.in_flight > 0);
    let mut loads: Vec<_> = busy
        .map(|state| lead::RunnerLoad {
            runner: state.key,
            in_flight: state.in_flight,
            token_layers: state.token_layers,
        })
        .collect();
    loads.sort_unstable_by_key(|load| load.runner);
    loads
}

fn send(core: &core::GatewayCore, to: &str, message: &lead::LeadMessage) {
    core.post(to, peer::MessageKind::Lead, message);
}

/// Takes the words of nodes and leads.
pub struct LeadHandler {
    core: sync::Arc<core::GatewayCore>,
}

impl LeadHandler {
    /// Creates the handler of a node.
    pub fn new(core: sync::Arc<core::GatewayCore>) -> Self {
        Self { core }
    }
}

impl peer::MessageHandler for LeadHandler {
    fn handle(&self, sender: &str, body: &[u8]) {
        // What a later release added is not understood and dropped.
        let Ok(message) = postcard::from_bytes::<lead::LeadMessage>(body) else {
            return;
        };
        let newer = match &message {
            lead::LeadMessage::Fleet(word) | lead::LeadMessage::Domain(word) => {
                word.latest > self.core.latest()
            }
            lead::LeadMessage::Node(_) => false,
        };
        lock(&self.core.leads).hear(sender, message, time::Instant::now());
        if newer {
            exchange::ask(&self.core, sender);
        }
    }
}
