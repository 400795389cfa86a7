//! Health of upstreams: who watches, who hears, what counts.

#![allow(clippy::unwrap_used)]

use std::collections;
use std::net;
use std::time as std_time;

use arbutusfold::health::{
    AskOutcome, HealthAction, HealthEvent, HealthKeeper, HealthMessage, WatchedUpstream,
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

/// Nodes whose messages arrive in the next step.
struct TestWorld {
    rng: rand_chacha::ChaCha8Rng,
    now: time::Instant,
    members: Vec<member::MemberRecord>,
    keepers: Vec<HealthKeeper>,
    /// What each upstream answers to a node; nothing is silence.
    answers: Vec<Option<upstream::EngineReport>>,
    /// Nodes that reach no upstream.
    cut_off: Vec<usize>,
    asked: Vec<(usize, usize)>,
    flying: Vec<(usize, usize, HealthMessage)>,
    askers: collections::BTreeSet<(usize, usize)>,
    shown: collections::BTreeMap<(usize, usize), Option<bool>>,
}

impl TestWorld {
    fn new(nodes: usize, upstreams: usize) -> Self {
        let now = time::Instant::now();
        let members: Vec<_> = (0..nodes).map(record).collect();
        let keepers = members
            .iter()
            .map(|record| HealthKeeper::new(record.name.clone(), 1, now))
            .collect();
        let mut world = Self {
            rng: rand_chacha::ChaCha8Rng::seed_from_u64(51),
            now,
            members,
            keepers,
            answers: vec![Some(report(false)); upstreams],
            cut_off: Vec::new(),
            asked: Vec::new(),
            flying: Vec::new(),
            askers: collections::BTreeSet::new(),
            shown: collections::BTreeMap::new(),
        };
        (0..nodes).for_each(|node| world.configure(node));
        world
    }

    fn configure(&mut self, node: usize) {
        let specs = (0..self.answers.len()).map(|number| WatchedUpstream {
            name: format!("runner-{number:02}"),
            address: address(number),
            domain: "nz-0".to_owned(),
        });
        let document = HealthEvent::Document(specs.collect());
        self.tell_members(node);
        self.give(node, document);
    }

    fn tell_members(&mut self, node: usize) {
        let event = HealthEvent::Members {
            members: self.members.clone(),
            remote_domains: Vec::new(),
        };
        self.give(node, event);
    }

    fn run(&mut self, duration: std_time::Duration) {
        let end = self.now + duration;
        while self.now < end {
            self.now += STEP;
            for (node, upstream) in std::mem::take(&mut self.asked) {
                let answer = self.answers[upstream].clone();
                let answer = answer.filter(|_| !self.cut_off.contains(&node));
                let outcome = answer.map_or(AskOutcome::Silent, |report| {
                    AskOutcome::Report(Box::new(report))
                });
                let upstream = format!("runner-{upstream:02}");
                self.give(node, HealthEvent::Asked { upstream, outcome });
            }
            for (from, to, message) in std::mem::take(&mut self.flying) {
                let sender = self.members[from].name.clone();
                self.give(to, HealthEvent::Heard { sender, message });
            }
            for node in 0..self.keepers.len() {
                self.give(node, HealthEvent::Tick);
            }
        }
    }

    fn give(&mut self, node: usize, event: HealthEvent) {
        let actions = self.keepers[node].handle(event, self.now, &mut self.rng);
        for action in actions {
            match action {
                HealthAction::Ask { upstream, .. } => {
                    let upstream = number_of(&upstream);
                    self.askers.insert((upstream, node));
                    self.asked.push((node, upstream));
                }
                HealthAction::Tell { peers, message } => {
                    let others: Vec<_> = (0..self.keepers.len()).filter(|to| *to != node).collect();
                    for to in others.sample(&mut self.rng, peers) {
                        self.flying.push((node, *to, message.clone()));
                    }
                }
                HealthAction::Reply { to, message } => {
                    let to = self.members.iter().position(|record| record.name == to);
                    self.flying.push((node, to.unwrap(), message));
                }
                HealthAction::TellRegions(_) => {}
                HealthAction::Show {
                    upstream, report, ..
                } => {
                    let state = report.map(|report| report.leaving);
                    self.shown.insert((number_of(&upstream), node), state);
                }
            }
        }
    }

    fn shows(&self, upstream: usize, state: Option<bool>) -> usize {
        let nodes = 0..self.keepers.len();
        nodes
            .filter(|node| self.shown.get(&(upstream, *node)) == Some(&state))
            .count()
    }

    fn watchers(&self, upstream: usize) -> Vec<usize> {
        let askers = self.askers.range((upstream, 0)..(upstream + 1, 0));
        askers.map(|(_, node)| *node).collect()
    }
}

fn number_of(upstream: &str) -> usize {
    upstream.trim_start_matches("runner-").parse().unwrap()
}

fn seconds(count: u64) -> std_time::Duration {
    std_time::Duration::from_secs(count)
}

#[test]
fn three_nodes_of_three_domains_watch_an_upstream_and_all_hear() {
    let mut world = TestWorld::new(18, 12);
    world.run(seconds(5));
    for upstream in 0..12 {
        let mut domains: Vec<_> = world
            .watchers(upstream)
            .iter()
            .map(|node| node % 3)
            .collect();
        domains.sort_unstable();
        assert_eq!(domains, [0, 1, 2], "runner {upstream}");
        assert_eq!(world.shows(upstream, Some(false)), 18);
    }
}

#[test]
fn leaving_upstream_is_known_to_all_within_three_seconds() {
    let mut world = TestWorld::new(18, 4);
    world.run(seconds(5));
    world.answers[2] = Some(report(true));
    world.run(seconds(3));
    assert_eq!(world.shows(2, Some(true)), 18);
    assert_eq!(world.shows(1, Some(false)), 18);
}

#[test]
fn silent_upstream_is_lost_to_all_and_found_again() {
    let mut world = TestWorld::new(18, 4);
    world.run(seconds(5));
    world.answers[2] = None;
    world.run(seconds(4));
    assert_eq!(world.shows(2, None), 18);
    world.answers[2] = Some(report(false));
    world.run(seconds(3));
    assert_eq!(world.shows(2, Some(false)), 18);
}

#[test]
fn watcher_that_is_cut_off_does_not_speak_for_the_others() {
    let mut world = TestWorld::new(18, 4);
    world.run(seconds(5));
    let watcher = world.watchers(2)[0];
    world.cut_off.push(watcher);
    world.run(seconds(10));
    // It goes by its own evidence, everyone else by the two others.
    assert_eq!(world.shows(2, None), 1);
    assert_eq!(world.shows(2, Some(false)), 17);
}

#[test]
fn own_doubt_goes_before_what_others_say() {
    let mut world = TestWorld::new(18, 4);
    world.run(seconds(5));
    let watchers = world.watchers(2);
    let doubter = (0..18).find(|node| !watchers.contains(node)).unwrap();
    // The doubt comes at every moment between two showings.
    for _ in 0..11 {
        world.run(STEP);
        world.cut_off.push(doubter);
        world.give(doubter, HealthEvent::Doubted("runner-02".to_owned()));
        world.shown.remove(&(2, doubter));
        for _ in 0..20 {
            world.run(STEP);
            let shown = world.shown.get(&(2, doubter)).copied().flatten();
            assert_eq!(shown, None, "hearsay is shown in spite of the doubt");
        }
        assert_eq!(world.shows(2, Some(false)), 17);
        world.cut_off.clear();
        world.run(seconds(3));
        assert_eq!(world.shows(2, Some(false)), 18);
    }
}

#[test]
fn others_take_over_from_a_watcher_that_is_gone() {
    let mut world = TestWorld::new(18, 4);
    world.run(seconds(5));
    let gone = world.watchers(2)[0];
    world.members[gone].phase = member::MemberPhase::Leaving;
    world.cut_off.push(gone);
    world.askers.clear();
    (0..18).for_each(|node| world.tell_members(node));
    world.run(seconds(5));
    let mut watchers = world.watchers(2);
    watchers.retain(|node| *node != gone);
    assert_eq!(watchers.len(), 3);
}

#[test]
fn fresh_node_hears_of_every_upstream_before_it_is_ready() {
    let mut world = TestWorld::new(9, 30);
    world.run(seconds(5));
    world.members.push(record(9));
    let fresh = HealthKeeper::new(record(9).name, 1, world.now);
    assert!(!fresh.is_ready(world.now));
    world.keepers.push(fresh);
    (0..10).for_each(|node| world.tell_members(node));
    world.configure(9);
    assert!(!world.keepers[9].is_ready(world.now));
    world.run(std_time::Duration::from_millis(800));
    assert!(world.keepers[9].is_ready(world.now));
    let shown = (0..30).filter(|upstream| world.shown.contains_key(&(*upstream, 9)));
    assert_eq!(shown.count(), 30);
}
