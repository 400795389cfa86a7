//! Health monitoring of upstreams: assignment of watchers, gossip and majority.

#![allow(clippy::unwrap_used)]

use std::collections;
use std::net;
use std::time as std_time;

use arbutusfold::health::{
    HealthAction, HealthEvent, HealthMessage, HealthMonitor, PollOutcome, WatchedUpstream,
};
use arbutusfold::{member, upstream};
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use tokio::time;

const STEP: std_time::Duration = std_time::Duration::from_millis(100);

fn address(number: usize) -> net::SocketAddr {
    net::SocketAddr::from(([10, 1, 0, number as u8], 9_000))
}

fn record(number: usize) -> member::MemberRecord {
    member::MemberRecord {
        name: format!("entry-{number:02}"),
        incarnation: 1,
        revision: 1,
        region: "nz-north".to_owned(),
        domain: format!("nz-{}", number % 3),
        callers: address(number),
        peers: address(number),
        version: 1,
        phase: member::MemberPhase::Serving,
    }
}

fn report(leaving: bool) -> upstream::EngineReport {
    upstream::EngineReport {
        incarnation: 5,
        held: Vec::new(),
        running: 0,
        waiting: 0,
        tokens_per_second: 1_000,
        leaving,
        fencing: 0,
        age_ms: 0,
    }
}

/// Nodes of one region; messages and poll results arrive one step later.
struct TestCluster {
    rng: rand_chacha::ChaCha8Rng,
    now: time::Instant,
    members: Vec<member::MemberRecord>,
    monitors: Vec<HealthMonitor>,
    /// What each upstream reports; `None` lets polls fail.
    reports: Vec<Option<upstream::EngineReport>>,
    /// Nodes that reach no upstream; their polls fail.
    partitioned: Vec<usize>,
    /// Polls in progress: node and upstream.
    polls: Vec<(usize, usize)>,
    /// Messages in flight: sender, receiver and content.
    in_flight: Vec<(usize, usize, HealthMessage)>,
    /// Upstream and node of every poll so far.
    pollers: collections::BTreeSet<(usize, usize)>,
    /// Last routing update by upstream and node: whether the upstream is leaving,
    /// `None` while it is lost.
    states: collections::BTreeMap<(usize, usize), Option<bool>>,
}

impl TestCluster {
    fn new(nodes: usize, upstreams: usize) -> Self {
        let now = time::Instant::now();
        let members: Vec<_> = (0..nodes).map(record).collect();
        let monitors = members
            .iter()
            .map(|record| HealthMonitor::new(record.name.clone(), 1, now))
            .collect();
        let mut cluster = Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(51),
            now,
            members,
            monitors,
            reports: vec![Some(report(false)); upstreams],
            partitioned: Vec::new(),
            polls: Vec::new(),
            in_flight: Vec::new(),
            pollers: collections::BTreeSet::new(),
            states: collections::BTreeMap::new(),
        };
        (0..nodes).for_each(|node| cluster.configure(node));
        cluster
    }

    fn configure(&mut self, node: usize) {
        let specs = (0..self.reports.len()).map(|number| WatchedUpstream {
            name: format!("runner-{number:02}"),
            address: address(number),
            domain: "nz-0".to_owned(),
        });
        let document = HealthEvent::Document(specs.collect());
        self.send_members(node);
        self.deliver(node, document);
    }

    fn send_members(&mut self, node: usize) {
        let event = HealthEvent::Members {
            members: self.members.clone(),
            remote_domains: Vec::new(),
        };
        self.deliver(node, event);
    }

    fn run(&mut self, duration: std_time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for (node, upstream) in std::mem::take(&mut self.polls) {
                let report = self.reports[upstream].clone();
                let report = report.filter(|_| !self.partitioned.contains(&node));
                let outcome = report.map_or(PollOutcome::Failed, |report| {
                    PollOutcome::Report(Box::new(report))
                });
                let upstream = format!("runner-{upstream:02}");
                self.deliver(node, HealthEvent::Polled { upstream, outcome });
            }
            for (from, to, message) in std::mem::take(&mut self.in_flight) {
                let sender = self.members[from].name.clone();
                self.deliver(to, HealthEvent::Received { sender, message });
            }
            for node in 0..self.monitors.len() {
                self.deliver(node, HealthEvent::Tick);
            }
        }
    }

    fn deliver(&mut self, node: usize, event: HealthEvent) {
        let actions = self.monitors[node].handle(event, self.now, &mut self.rng);
        for action in actions {
            match action {
                HealthAction::Poll { upstream, .. } => {
                    let upstream = number_of(&upstream);
                    self.pollers.insert((upstream, node));
                    self.polls.push((node, upstream));
                }
                HealthAction::SendRandom { peers, message } => {
                    let others: Vec<_> =
                        (0..self.monitors.len()).filter(|to| *to != node).collect();
                    for to in others.sample(&mut self.rng, peers) {
                        self.in_flight.push((node, *to, message.clone()));
                    }
                }
                HealthAction::Reply { to, message } => {
                    let to = self.members.iter().position(|record| record.name == to);
                    self.in_flight.push((node, to.unwrap(), message));
                }
                HealthAction::SendRegions(_) => {}
                HealthAction::UpdateRoutes {
                    upstream, report, ..
                } => {
                    let state = report.map(|report| report.leaving);
                    self.states.insert((number_of(&upstream), node), state);
                }
            }
        }
    }

    fn count_in_state(&self, upstream: usize, state: Option<bool>) -> usize {
        let nodes = 0..self.monitors.len();
        nodes
            .filter(|node| self.states.get(&(upstream, *node)) == Some(&state))
            .count()
    }

    fn watchers(&self, upstream: usize) -> Vec<usize> {
        let pollers = self.pollers.range((upstream, 0)..(upstream + 1, 0));
        pollers.map(|(_, node)| *node).collect()
    }
}

fn number_of(upstream: &str) -> usize {
    upstream.trim_start_matches("runner-").parse().unwrap()
}

fn seconds(count: u64) -> std_time::Duration {
    std_time::Duration::from_secs(count)
}

#[test]
fn three_nodes_of_three_domains_watch_each_upstream_and_all_learn_its_state() {
    let mut cluster = TestCluster::new(18, 12);
    cluster.run(seconds(5));
    for upstream in 0..12 {
        let mut domains: Vec<_> = cluster
            .watchers(upstream)
            .iter()
            .map(|node| node % 3)
            .collect();
        domains.sort_unstable();
        assert_eq!(domains, [0, 1, 2], "runner {upstream}");
        assert_eq!(cluster.count_in_state(upstream, Some(false)), 18);
    }
}

#[test]
fn leaving_upstream_is_known_to_all_within_three_seconds() {
    let mut cluster = TestCluster::new(18, 4);
    cluster.run(seconds(5));
    cluster.reports[2] = Some(report(true));
    cluster.run(seconds(3));
    assert_eq!(cluster.count_in_state(2, Some(true)), 18);
    assert_eq!(cluster.count_in_state(1, Some(false)), 18);
}

#[test]
fn silent_upstream_is_lost_to_all_and_found_again() {
    let mut cluster = TestCluster::new(18, 4);
    cluster.run(seconds(5));
    cluster.reports[2] = None;
    cluster.run(seconds(4));
    assert_eq!(cluster.count_in_state(2, None), 18);
    cluster.reports[2] = Some(report(false));
    cluster.run(seconds(3));
    assert_eq!(cluster.count_in_state(2, Some(false)), 18);
}

#[test]
fn partitioned_watcher_does_not_override_the_majority() {
    let mut cluster = TestCluster::new(18, 4);
    cluster.run(seconds(5));
    let watcher = cluster.watchers(2)[0];
    cluster.partitioned.push(watcher);
    cluster.run(seconds(10));
    // It uses its own failed polls, the other nodes follow the two other watchers.
    assert_eq!(cluster.count_in_state(2, None), 1);
    assert_eq!(cluster.count_in_state(2, Some(false)), 17);
}

#[test]
fn own_suspicion_overrides_observations_of_other_nodes() {
    let mut cluster = TestCluster::new(18, 4);
    cluster.run(seconds(5));
    let watchers = cluster.watchers(2);
    let suspecting_node = (0..18).find(|node| !watchers.contains(node)).unwrap();
    // The suspicion starts in each step between two updates of the routing table.
    for _ in 0..11 {
        cluster.run(STEP);
        cluster.partitioned.push(suspecting_node);
        cluster.deliver(
            suspecting_node,
            HealthEvent::Suspected("runner-02".to_owned()),
        );
        cluster.states.remove(&(2, suspecting_node));
        for _ in 0..20 {
            cluster.run(STEP);
            let state = cluster.states.get(&(2, suspecting_node)).copied().flatten();
            assert_eq!(
                state, None,
                "an observation of a peer overrides the own suspicion"
            );
        }
        assert_eq!(cluster.count_in_state(2, Some(false)), 17);
        cluster.partitioned.clear();
        cluster.run(seconds(3));
        assert_eq!(cluster.count_in_state(2, Some(false)), 18);
    }
}

#[test]
fn others_take_over_from_a_watcher_that_is_gone() {
    let mut cluster = TestCluster::new(18, 4);
    cluster.run(seconds(5));
    let leaving = cluster.watchers(2)[0];
    cluster.members[leaving].phase = member::MemberPhase::Leaving;
    cluster.partitioned.push(leaving);
    cluster.pollers.clear();
    (0..18).for_each(|node| cluster.send_members(node));
    cluster.run(seconds(5));
    let mut watchers = cluster.watchers(2);
    watchers.retain(|node| *node != leaving);
    assert_eq!(watchers.len(), 3);
}

#[test]
fn new_node_knows_every_upstream_before_it_is_ready() {
    let mut cluster = TestCluster::new(9, 30);
    cluster.run(seconds(5));
    cluster.members.push(record(9));
    let monitor = HealthMonitor::new(record(9).name, 1, cluster.now);
    assert!(!monitor.is_ready(cluster.now));
    cluster.monitors.push(monitor);
    (0..10).for_each(|node| cluster.send_members(node));
    cluster.configure(9);
    assert!(!cluster.monitors[9].is_ready(cluster.now));
    cluster.run(std_time::Duration::from_millis(800));
    assert!(cluster.monitors[9].is_ready(cluster.now));
    let known = (0..30).filter(|upstream| cluster.states.contains_key(&(*upstream, 9)));
    assert_eq!(known.count(), 30);
}
