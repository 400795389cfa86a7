//! Choice of routes, replacement of failed stages and exclusion of upstreams.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::{choose, document, route, upstream};
use rand::SeedableRng;
use tokio::time::Instant;

const LAYERS: u32 = 6;
const MODEL: &str = "assistant";

/// Returns a document with two layer ranges, each held by `replicas` runners
/// that are spread over two failure domains.
fn document(replicas: usize) -> document::ConfigDocument {
    let upstreams: Vec<_> = (0..2 * replicas)
        .map(|index| {
            serde_json::json!({
                "name": name(index / replicas, index % replicas),
                "address": format!("127.0.0.1:{}", 1_000 + index),
                "domain": format!("pe-{}", index % 2),
                "capacity_layers": 3,
            })
        })
        .collect();
    let names: Vec<_> = upstreams.iter().map(|spec| spec["name"].clone()).collect();
    let text = serde_json::json!({
        "models": [{"name": MODEL, "layers": LAYERS, "version": "1"}],
        "pipelines": [{"name": MODEL, "model": MODEL, "upstreams": names}],
        "upstreams": upstreams,
        "organisations": [],
    });
    document::parse(&text.to_string()).unwrap()
}

fn name(range: usize, replica: usize) -> String {
    format!("runner-{range}-{replica}")
}

fn report(range: usize, incarnation: u64) -> upstream::EngineReport {
    let from = 3 * range as u32;
    upstream::EngineReport {
        incarnation,
        held: vec![upstream::HeldLayers {
            model: MODEL.to_owned(),
            version: "1".to_owned(),
            layers: upstream::LayerRange { from, to: from + 3 },
        }],
        running: 0,
        waiting: 0,
        tokens_per_second: 1_000,
        leaving: false,
        fencing: 0,
        age_ms: 0,
    }
}

fn table(replicas: usize) -> route::RouteTable {
    let now = Instant::now();
    let mut table = route::RouteTable::new(route::ChoiceOptions::default());
    table.configure(&document(replicas));
    for range in 0..2 {
        for replica in 0..replicas {
            table.apply_report(&name(range, replica), &report(range, 1), now);
        }
    }
    table.refresh(now);
    table
}

fn query<'a>(
    prompt: &'a str,
    previous: &'a [upstream::RouteStage],
    avoid: &'a [String],
) -> choose::ChoiceQuery<'a> {
    choose::ChoiceQuery {
        model: MODEL,
        prompt,
        previous,
        avoid,
    }
}

fn choose(table: &route::RouteTable, seed: u64) -> Option<Vec<upstream::RouteStage>> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    table.choose(&query("veil", &[], &[]), Instant::now(), &mut rng)
}

fn ever_chosen(table: &route::RouteTable, name: &str) -> bool {
    (0..200).any(|seed| {
        choose(table, seed)
            .unwrap()
            .iter()
            .any(|stage| stage.upstream == name)
    })
}

#[tokio::test(start_paused = true)]
async fn chosen_routes_cover_every_layer_in_order() {
    let table = table(4);
    for seed in 0..100 {
        let route = choose(&table, seed).unwrap();
        let ends: Vec<_> = route
            .iter()
            .map(|stage| (stage.layers.from, stage.layers.to))
            .collect();
        assert_eq!(ends, [(0, 3), (3, 6)]);
    }
}

#[tokio::test(start_paused = true)]
async fn leaving_upstream_gets_no_new_work_at_once() {
    let mut table = table(3);
    assert!(ever_chosen(&table, "runner-1-2"));
    let mut leaving = report(1, 1);
    leaving.leaving = true;
    table.apply_report("runner-1-2", &leaving, Instant::now());
    assert!(!ever_chosen(&table, "runner-1-2"));
    table.mark_leaving("runner-0-0");
    assert!(!ever_chosen(&table, "runner-0-0"));
}

#[tokio::test(start_paused = true)]
async fn dead_upstream_is_dropped_before_the_next_plan_and_returns_after() {
    let mut table = table(3);
    table.note_failure("runner-0-1", Instant::now());
    assert!(!ever_chosen(&table, "runner-0-1"));
    tokio::time::advance(time::Duration::from_millis(1_100)).await;
    // The cooldown alone is not enough: the upstream must report again.
    assert!(!ever_chosen(&table, "runner-0-1"));
    table.apply_report("runner-0-1", &report(0, 1), Instant::now());
    assert!(ever_chosen(&table, "runner-0-1"));
}

#[tokio::test(start_paused = true)]
async fn later_routes_name_the_new_incarnation() {
    let mut table = table(1);
    assert_eq!(choose(&table, 1).unwrap()[1].incarnation, 1);
    table.apply_report("runner-1-0", &report(1, 2), Instant::now());
    assert_eq!(choose(&table, 1).unwrap()[1].incarnation, 2);
    let mut empty = report(1, 3);
    empty.held.clear();
    table.apply_report("runner-1-0", &empty, Instant::now());
    assert_eq!(choose(&table, 1), None);
}

#[tokio::test(start_paused = true)]
async fn refused_upstream_waits_for_its_next_report() {
    let mut table = table(2);
    table.note_refusal("runner-0-0", Instant::now());
    assert!(!ever_chosen(&table, "runner-0-0"));
    tokio::time::advance(time::Duration::from_millis(10)).await;
    table.apply_report("runner-0-0", &report(0, 1), Instant::now());
    assert!(ever_chosen(&table, "runner-0-0"));
}

#[tokio::test(start_paused = true)]
async fn rerouted_attempt_keeps_live_stages() {
    let table = table(4);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    for seed in 0..50 {
        let before = choose(&table, seed).unwrap();
        let avoid = [before[1].upstream.clone()];
        let after = table
            .choose(&query("veil", &before, &avoid), Instant::now(), &mut rng)
            .unwrap();
        assert_eq!(after[0], before[0]);
        assert_ne!(after[1].upstream, before[1].upstream);
    }
}

#[tokio::test(start_paused = true)]
async fn avoided_upstream_is_taken_when_it_is_the_last() {
    let table = table(1);
    let avoid = [name(0, 0)];
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    let route = table.choose(&query("veil", &[], &avoid), Instant::now(), &mut rng);
    assert_eq!(route.unwrap()[0].upstream, "runner-0-0");
}

#[tokio::test(start_paused = true)]
async fn suspicion_accumulates_on_the_stalled_stage() {
    let mut table = table(4);
    let now = Instant::now();
    let stage = |range: usize, replica: usize| {
        let prompt = query("veil", &[], &[]);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
        let mut found = table.choose(&prompt, now, &mut rng).unwrap()[range].clone();
        found.upstream = name(range, replica);
        found
    };
    let routes = [
        [stage(0, 0), stage(1, 0)],
        [stage(0, 0), stage(1, 1)],
        [stage(0, 0), stage(1, 2)],
    ];
    for route in &routes {
        table.note_route_failure(route, now);
    }
    assert!(!ever_chosen(&table, "runner-0-0"));
    assert!(ever_chosen(&table, "runner-1-1"));
}

#[tokio::test(start_paused = true)]
async fn repeated_ejection_lengthens_the_cooldown() {
    let mut table = table(1);
    let route = choose(&table, 1).unwrap();
    let mut cooldowns = Vec::new();
    for _ in 0..3 {
        table.note_route_failure(&route[..1], Instant::now());
        let ejected_at = Instant::now();
        for _ in 0..20 {
            tokio::time::advance(time::Duration::from_millis(500)).await;
            for (range, stage) in route.iter().enumerate() {
                table.apply_report(&stage.upstream, &report(range, 1), Instant::now());
            }
            if choose(&table, 1).is_some() {
                break;
            }
        }
        cooldowns.push(ejected_at.elapsed().as_millis());
    }
    assert_eq!(cooldowns, [500, 2_000, 4_000]);
}

#[tokio::test(start_paused = true)]
async fn upstream_that_serves_other_attempts_is_not_suspected() {
    let mut table = table(4);
    let route = choose(&table, 1).unwrap();
    let progress = table.begin(&route[1..], Instant::now());
    tokio::time::advance(time::Duration::from_millis(200)).await;
    progress.note(Instant::now());
    let stalled = table.note_route_failure(&route, Instant::now());
    assert_eq!(stalled, [route[0].upstream.as_str()]);
    let usable: Vec<_> = table
        .usable(MODEL, Instant::now())
        .into_iter()
        .map(|usable| usable.stage.upstream)
        .collect();
    assert!(!usable.contains(&route[0].upstream));
    assert!(usable.contains(&route[1].upstream));
}

#[tokio::test(start_paused = true)]
async fn plan_follows_a_loss_soon_and_a_slight_change_never() {
    let mut table = table(2);
    assert_eq!(table.bound(MODEL), Some(2_000));
    tokio::time::advance(time::Duration::from_millis(1_500)).await;
    let mut slight = report(0, 1);
    slight.tokens_per_second = 950;
    table.apply_report("runner-0-0", &slight, Instant::now());
    assert!(table.due(Instant::now()).is_empty());
    table.clear_report("runner-0-0");
    assert_eq!(table.refresh(Instant::now()), [MODEL]);
    assert_eq!(table.bound(MODEL), Some(1_000));
    table.apply_report("runner-0-0", &report(0, 1), Instant::now());
    // The upstream returns at once: replanning is delayed in case it flaps.
    assert!(table.due(Instant::now()).is_empty());
    tokio::time::advance(time::Duration::from_secs(1)).await;
    assert_eq!(table.refresh(Instant::now()), [MODEL]);
    assert_eq!(table.bound(MODEL), Some(2_000));
}

#[tokio::test(start_paused = true)]
async fn plan_of_an_older_document_is_dropped() {
    let mut table = table(2);
    table.clear_report("runner-0-0");
    tokio::time::advance(time::Duration::from_secs(1)).await;
    let task = table.due(Instant::now()).pop().unwrap();
    let plan = task.run();
    table.configure(&document(1));
    table.install(task, &plan, Instant::now());
    assert_eq!(table.bound(MODEL), Some(0));
}

#[tokio::test(start_paused = true)]
async fn prefix_keeps_its_route_until_the_queue_costs_more() {
    let mut table = table(4);
    let prompt = "airbrush ".repeat(400);
    let now = Instant::now();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    let first = table
        .choose(&query(&prompt, &[], &[]), now, &mut rng)
        .unwrap();
    for _ in 0..20 {
        let again = table
            .choose(&query(&prompt, &[], &[]), now, &mut rng)
            .unwrap();
        assert_eq!(again, first);
    }
    for _ in 0..500 {
        table.begin(&first, now);
    }
    let spilled = table
        .choose(&query(&prompt, &[], &[]), now, &mut rng)
        .unwrap();
    assert_ne!(spilled, first);
}
