//! Load of a path that no report of a runner shows: prompts to be read and transfers
//! over the links between failure domains.

use std::sync;

use arbutusfold_platform::document;
use tokio::time;

use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::demand;
use crate::gateway::leader;
use crate::gateway::link_budget;
use crate::gateway::path;

/// Part of a route's latency objective that the expected time to the first event may
/// take. The rest covers what the estimate leaves out.
const FIRST_SHARE: f64 = 0.5;

/// A hop of a path between two failure domains.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct PathCrossing {
    /// The link.
    pub link: link_budget::LinkKey,
    /// Bytes that pass it before the first event.
    pub prompt_bytes: f64,
}

/// What a run on a path reads and transfers.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct PathWork {
    /// Tokens times layers that each runner has to read before the first event.
    pub unread: Vec<(leader::RunnerKey, u64)>,
    /// Hops between failure domains.
    pub crossings: Vec<PathCrossing>,
    /// Bytes that each event moves over each of these.
    pub event_bytes: f64,
    /// Tokens of the answer that memory is reserved for.
    pub answer: f64,
    /// Tokens of the whole context that memory is reserved for.
    pub context: f64,
    /// Expected time to the first event in milliseconds.
    pub first_ms: f64,
}

/// Counts the work of a run until it is done or the guard is dropped.
pub struct WorkGuard {
    core: sync::Arc<core::GatewayCore>,
    /// The work; its unread part is empty once the runners have read it.
    pub(crate) work: PathWork,
}

impl WorkGuard {
    /// Adds the work of a run that is about to be sent.
    pub fn new(core: &sync::Arc<core::GatewayCore>, work: PathWork) -> Self {
        let mut unread = lock(&core.unread);
        let prompts = work.unread.iter();
        prompts.for_each(|(runner, token_layers)| unread.begin(*runner, *token_layers));
        drop(unread);
        let now = time::Instant::now();
        let mut links = lock(&core.links);
        let crossings = work.crossings.iter();
        crossings.for_each(|crossing| links.add(crossing.link, crossing.prompt_bytes, now));
        drop(links);
        Self {
            core: sync::Arc::clone(core),
            work,
        }
    }

    /// Records an event, which shows that the runners have read all tokens.
    pub fn note_event(&mut self) {
        self.end_reading();
        if self.work.crossings.is_empty() {
            return;
        }
        let now = time::Instant::now();
        let mut links = lock(&self.core.links);
        let crossings = self.work.crossings.iter();
        crossings.for_each(|crossing| links.add(crossing.link, self.work.event_bytes, now));
    }

    fn end_reading(&mut self) {
        let read = std::mem::take(&mut self.work.unread);
        if read.is_empty() {
            return;
        }
        let mut unread = lock(&self.core.unread);
        let prompts = read.into_iter();
        prompts.for_each(|(runner, token_layers)| unread.end(runner, token_layers));
    }
}

impl Drop for WorkGuard {
    fn drop(&mut self) {
        self.end_reading();
    }
}

/// Prompts and transfers of all nodes as this node knows them now.
#[derive(Clone, Debug, Default)]
pub struct WorkView {
    /// Prompts that this node sent, sorted by runner.
    pub own_prompts: Vec<demand::PromptBacklog>,
    /// Prompts that the other nodes sent, sorted by runner.
    pub other_prompts: Vec<demand::PromptBacklog>,
    own_links: Vec<demand::LinkUse>,
    other_links: Option<Vec<demand::LinkUse>>,
}

impl WorkView {
    /// Reads what is known now.
    pub fn read(core: &core::GatewayCore, now: time::Instant) -> Self {
        let demand = lock(&core.demand);
        let others = demand.others(now).map(|others| others.value);
        let other_prompts = others.map(|others| others.prompts.clone());
        let other_links = others.map(|others| others.links.clone());
        drop(demand);
        Self {
            own_prompts: lock(&core.unread).backlogs().to_vec(),
            other_prompts: other_prompts.unwrap_or_default(),
            own_links: lock(&core.links).rates(now),
            other_links,
        }
    }

    /// Returns what paths over these failure domains are judged by.
    pub fn timing(
        &self,
        engine: &document::EngineSpec,
        rule: &document::RouteRule,
        domains: &[&str],
        nodes: usize,
    ) -> path::PathTiming {
        let traffic = link_budget::FleetTraffic {
            own: &self.own_links,
            others: self.other_links.as_deref(),
            nodes,
        };
        let keys: Vec<_> = domains.iter().copied().map(demand::name_key).collect();
        let link_mbps = engine.link_mbps.filter(|link| *link > 0.0);
        let milliseconds =
            |limit: Option<std::time::Duration>| limit.map(|limit| limit.as_secs_f64() * 1_000.0);
        path::PathTiming {
            first_limit_ms: FIRST_SHARE * milliseconds(rule.objective).unwrap_or(f64::INFINITY),
            gap_limit_ms: milliseconds(rule.gap_objective).unwrap_or(f64::INFINITY),
            domains: domains.len(),
            links: link_mbps.map_or_else(Vec::new, |link| traffic.uses(&keys, link)),
            // Any number of the nodes in a domain may be about to cross the same link. A
            // random one lets as many of them cross as there is room for.
            alike: 1.0 + rand::random::<f64>() * (nodes / domains.len().max(1)) as f64,
        }
    }
}

/// Reports this node's prompts and transfers to the exchange of demand.
pub fn publish(core: &core::GatewayCore, now: time::Instant) {
    let prompts = lock(&core.unread).backlogs().to_vec();
    let links = lock(&core.links).rates(now);
    let mut demand = lock(&core.demand);
    demand.set_prompts(prompts);
    demand.set_links(links);
}
