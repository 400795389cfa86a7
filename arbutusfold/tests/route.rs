//! Which routes are chosen, mended and passed over.

#![allow(clippy::unwrap_used)]

use std::time;

use arbutusfold::{choose, document, route, upstream};
use rand::SeedableRng;
use tokio::time::Instant;

const LAYERS: u32 = 6;
const MODEL: &str = "assistant";

/// Two ranges with `replicas` runners each, spread over two failure domains.
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

fn keeper(replicas: usize) -> route::RouteKeeper {
    let now = Instant::now();
    let mut keeper = route::RouteKeeper::new(route::ChoiceOptions::default());
    keeper.configure(&document(replicas));
    for range in 0..2 {
        for replica in 0..replicas {
            keeper.hear(&name(range, replica), &report(range, 1), now);
        }
    }
    keeper.refresh(now);
    keeper
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

fn choose(keeper: &route::RouteKeeper, seed: u64) -> Option<Vec<upstream::RouteStage>> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    keeper.choose(&query("veil", &[], &[]), Instant::now(), &mut rng)
}

fn ever_chosen(keeper: &route::RouteKeeper, name: &str) -> bool {
    (0..200).any(|seed| {
        choose(keeper, seed)
            .unwrap()
            .iter()
            .any(|stage| stage.upstream == name)
    })
}

#[tokio::test(start_paused = true)]
async fn chosen_routes_cover_every_layer_in_order() {
    let keeper = keeper(4);
    for seed in 0..100 {
        let route = choose(&keeper, seed).unwrap();
        let ends: Vec<_> = route
            .iter()
            .map(|stage| (stage.layers.from, stage.layers.to))
            .collect();
        assert_eq!(ends, [(0, 3), (3, 6)]);
    }
}

#[tokio::test(start_paused = true)]
async fn leaving_upstream_gets_no_new_work_at_once() {
    let mut keeper = keeper(3);
    assert!(ever_chosen(&keeper, "runner-1-2"));
    let mut leaving = report(1, 1);
    leaving.leaving = true;
    keeper.hear("runner-1-2", &leaving, Instant::now());
    assert!(!ever_chosen(&keeper, "runner-1-2"));
    keeper.leave("runner-0-0");
    assert!(!ever_chosen(&keeper, "runner-0-0"));
}

#[tokio::test(start_paused = true)]
async fn dead_upstream_is_dropped_before_the_next_plan_and_returns_after() {
    let mut keeper = keeper(3);
    keeper.note_failure("runner-0-1", Instant::now());
    assert!(!ever_chosen(&keeper, "runner-0-1"));
    tokio::time::advance(time::Duration::from_millis(1_100)).await;
    // Time alone proves nothing: it must report again.
    assert!(!ever_chosen(&keeper, "runner-0-1"));
    keeper.hear("runner-0-1", &report(0, 1), Instant::now());
    assert!(ever_chosen(&keeper, "runner-0-1"));
}

#[tokio::test(start_paused = true)]
async fn new_incarnation_is_what_later_routes_name() {
    let mut keeper = keeper(1);
    assert_eq!(choose(&keeper, 1).unwrap()[1].incarnation, 1);
    keeper.hear("runner-1-0", &report(1, 2), Instant::now());
    assert_eq!(choose(&keeper, 1).unwrap()[1].incarnation, 2);
    let mut empty = report(1, 3);
    empty.held.clear();
    keeper.hear("runner-1-0", &empty, Instant::now());
    assert_eq!(choose(&keeper, 1), None);
}

#[tokio::test(start_paused = true)]
async fn refused_upstream_waits_for_its_next_report() {
    let mut keeper = keeper(2);
    keeper.note_refusal("runner-0-0", Instant::now());
    assert!(!ever_chosen(&keeper, "runner-0-0"));
    tokio::time::advance(time::Duration::from_millis(10)).await;
    keeper.hear("runner-0-0", &report(0, 1), Instant::now());
    assert!(ever_chosen(&keeper, "runner-0-0"));
}

#[tokio::test(start_paused = true)]
async fn mended_route_keeps_what_is_alive() {
    let keeper = keeper(4);
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    for seed in 0..50 {
        let before = choose(&keeper, seed).unwrap();
        let avoid = [before[1].upstream.clone()];
        let after = keeper
            .choose(&query("veil", &before, &avoid), Instant::now(), &mut rng)
            .unwrap();
        assert_eq!(after[0], before[0]);
        assert_ne!(after[1].upstream, before[1].upstream);
    }
}

#[tokio::test(start_paused = true)]
async fn avoided_upstream_is_taken_when_it_is_the_last() {
    let keeper = keeper(1);
    let avoid = [name(0, 0)];
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(3);
    let route = keeper.choose(&query("veil", &[], &avoid), Instant::now(), &mut rng);
    assert_eq!(route.unwrap()[0].upstream, "runner-0-0");
}

#[tokio::test(start_paused = true)]
async fn evidence_gathers_on_the_stage_that_stalls() {
    let mut keeper = keeper(4);
    let now = Instant::now();
    let stage = |range: usize, replica: usize| {
        let prompt = query("veil", &[], &[]);
        let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(1);
        let mut found = keeper.choose(&prompt, now, &mut rng).unwrap()[range].clone();
        found.upstream = name(range, replica);
        found
    };
    let routes = [
        [stage(0, 0), stage(1, 0)],
        [stage(0, 0), stage(1, 1)],
        [stage(0, 0), stage(1, 2)],
    ];
    for route in &routes {
        keeper.note_suspicion(route, now);
    }
    assert!(!ever_chosen(&keeper, "runner-0-0"));
    assert!(ever_chosen(&keeper, "runner-1-1"));
}

#[tokio::test(start_paused = true)]
async fn suspected_upstream_returns_with_its_report_and_later_ever_slower() {
    let mut keeper = keeper(1);
    let route = choose(&keeper, 1).unwrap();
    let mut pauses = Vec::new();
    for _ in 0..3 {
        keeper.note_suspicion(&route[..1], Instant::now());
        let struck = Instant::now();
        for _ in 0..20 {
            tokio::time::advance(time::Duration::from_millis(500)).await;
            for (range, stage) in route.iter().enumerate() {
                keeper.hear(&stage.upstream, &report(range, 1), Instant::now());
            }
            if choose(&keeper, 1).is_some() {
                break;
            }
        }
        pauses.push(struck.elapsed().as_millis());
    }
    assert_eq!(pauses, [500, 2_000, 4_000]);
}

#[tokio::test(start_paused = true)]
async fn upstream_that_passes_other_tokens_is_cleared() {
    let mut keeper = keeper(4);
    let stalled = choose(&keeper, 1).unwrap();
    let progress = keeper.begin(&stalled[1..], Instant::now());
    tokio::time::advance(time::Duration::from_millis(200)).await;
    progress.note(Instant::now());
    let silent = keeper.note_suspicion(&stalled, Instant::now());
    assert_eq!(silent, [stalled[0].upstream.as_str()]);
    let usable: Vec<_> = keeper
        .usable(MODEL, Instant::now())
        .into_iter()
        .map(|usable| usable.stage.upstream)
        .collect();
    assert!(!usable.contains(&stalled[0].upstream));
    assert!(usable.contains(&stalled[1].upstream));
}

#[tokio::test(start_paused = true)]
async fn plan_follows_a_loss_soon_and_a_slight_change_never() {
    let mut keeper = keeper(2);
    assert_eq!(keeper.bound(MODEL), Some(2_000));
    tokio::time::advance(time::Duration::from_millis(1_500)).await;
    let mut slight = report(0, 1);
    slight.tokens_per_second = 950;
    keeper.hear("runner-0-0", &slight, Instant::now());
    assert!(keeper.due(Instant::now()).is_empty());
    keeper.lose("runner-0-0");
    assert_eq!(keeper.refresh(Instant::now()), [MODEL]);
    assert_eq!(keeper.bound(MODEL), Some(1_000));
    keeper.hear("runner-0-0", &report(0, 1), Instant::now());
    // It comes back at once: the plan waits out a flapping upstream.
    assert!(keeper.due(Instant::now()).is_empty());
    tokio::time::advance(time::Duration::from_secs(1)).await;
    assert_eq!(keeper.refresh(Instant::now()), [MODEL]);
    assert_eq!(keeper.bound(MODEL), Some(2_000));
}

#[tokio::test(start_paused = true)]
async fn plan_of_an_older_document_is_dropped() {
    let mut keeper = keeper(2);
    keeper.lose("runner-0-0");
    tokio::time::advance(time::Duration::from_secs(1)).await;
    let task = keeper.due(Instant::now()).pop().unwrap();
    let plan = task.run();
    keeper.configure(&document(1));
    keeper.install(task, &plan, Instant::now());
    assert_eq!(keeper.bound(MODEL), Some(0));
}

#[tokio::test(start_paused = true)]
async fn prefix_keeps_its_route_until_the_queue_costs_more() {
    let mut keeper = keeper(4);
    let prompt = "airbrush ".repeat(400);
    let now = Instant::now();
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(5);
    let first = keeper
        .choose(&query(&prompt, &[], &[]), now, &mut rng)
        .unwrap();
    for _ in 0..20 {
        let again = keeper
            .choose(&query(&prompt, &[], &[]), now, &mut rng)
            .unwrap();
        assert_eq!(again, first);
    }
    for _ in 0..500 {
        keeper.begin(&first, now);
    }
    let spilled = keeper
        .choose(&query(&prompt, &[], &[]), now, &mut rng)
        .unwrap();
    assert_ne!(spilled, first);
}
