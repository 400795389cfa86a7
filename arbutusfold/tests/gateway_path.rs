//! Choice of paths over runners.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use arbutusfold::gateway::{layout, leader, path};
use arbutusfold_platform::runner;
use gateway_fixture::{engine, query, small_fleet};

const DOMAINS: [&str; 3] = ["a", "b", "c"];

/// Candidates of a fleet with a planned layout.
fn candidates() -> Vec<path::StageCandidate> {
    let engine = engine();
    let mut slots = small_fleet();
    for choice in layout::plan(&engine, &slots) {
        slots[choice.runner].layers = Some(choice.layers);
    }
    let candidate = |(runner, slot): (usize, &layout::LayoutRunner)| {
        let card = engine.cards.iter().find(|card| card.name == slot.card);
        let card = card.unwrap();
        let layers = slot.layers.unwrap();
        let free_mb = card.memory_mb - f64::from(layers.len()) * engine.layer_mb;
        path::StageCandidate {
            runner,
            domain: DOMAINS
                .iter()
                .position(|name| *name == slot.domain)
                .unwrap(),
            layers,
            step_factor: card.step_factor,
            read_factor: card.read_factor,
            in_flight: 0.0,
            slots: 192.0,
            free_token_layers: free_mb * 1e6 * f64::from(engine.layers) / engine.token_bytes,
            unread_token_layers: 0.0,
            penalty_ms: 0.0,
        }
    };
    slots.iter().enumerate().map(candidate).collect()
}

fn choose(candidates: &[path::StageCandidate], domain: usize) -> Option<path::ChosenPath> {
    let engine = engine();
    path::choose(candidates, &query(&engine, domain), || 1.0)
}

fn assert_complete(chosen: &path::ChosenPath, candidates: &[path::StageCandidate]) {
    let mut reached = 0;
    let mut seen = Vec::new();
    for stage in &chosen.stages {
        assert_eq!(stage.layers.from, reached, "{chosen:?}");
        assert!(
            candidates[stage.runner].layers.covers(stage.layers),
            "{chosen:?}"
        );
        assert!(!seen.contains(&stage.runner), "{chosen:?}");
        seen.push(stage.runner);
        reached = stage.layers.to;
    }
    assert_eq!(reached, engine().layers);
}

fn crossings(chosen: &path::ChosenPath, candidates: &[path::StageCandidate]) -> usize {
    let domain = |stage: &path::PathStage| candidates[stage.runner].domain;
    let pairs = chosen.stages.windows(2);
    pairs
        .filter(|pair| domain(&pair[0]) != domain(&pair[1]))
        .count()
}

#[test]
fn path_covers_every_layer_once_in_order_inside_its_domain() {
    let candidates = candidates();
    for domain in 0..DOMAINS.len() {
        let chosen = choose(&candidates, domain).unwrap();
        assert_complete(&chosen, &candidates);
        assert_eq!(crossings(&chosen, &candidates), 0);
    }
}

#[test]
fn any_lost_runner_leaves_a_path_without_it() {
    let all = candidates();
    for lost in 0..all.len() {
        let mut rest = all.clone();
        rest.remove(lost);
        let chosen = choose(&rest, all[lost].domain).unwrap();
        assert!(chosen.stages.iter().all(|stage| stage.runner != lost));
        assert_complete(&chosen, &all);
    }
}

#[test]
fn layer_without_a_holder_gives_no_path() {
    let mut candidates = candidates();
    candidates.retain(|candidate| {
        !candidate
            .layers
            .covers(runner::LayerSpan { from: 79, to: 80 })
    });
    assert!(choose(&candidates, 0).is_none());
}

#[test]
fn full_and_failing_runners_are_the_last_resort() {
    let mut candidates = candidates();
    let first = choose(&candidates, 0).unwrap();
    let full = first.stages[0].runner;
    candidates[full].free_token_layers = 0.0;
    let second = choose(&candidates, 0).unwrap();
    assert!(second.stages.iter().all(|stage| stage.runner != full));
    let failing = second.stages[0].runner;
    candidates[failing].penalty_ms = path::AVOIDED_PENALTY_MS;
    let third = choose(&candidates, 0).unwrap();
    assert!(third.stages.iter().all(|stage| stage.runner != failing));
    candidates
        .iter_mut()
        .for_each(|candidate| candidate.free_token_layers = 0.0);
    assert!(choose(&candidates, 0).unwrap().cost_ms >= path::MAX_COST_MS);
}

/// The cost of a stage follows its runner's current speed.
#[test]
fn slow_runner_is_passed_by_while_others_hold_its_layers() {
    let mut candidates = candidates();
    for _ in 0..4 {
        let chosen = choose(&candidates, 0).unwrap();
        let slow = chosen.stages[0].runner;
        candidates[slow].step_factor *= 12.0;
        candidates[slow].read_factor *= 12.0;
        let other = choose(&candidates, 0).unwrap();
        assert!(other.stages.iter().all(|stage| stage.runner != slow));
    }
}

/// Returns how many tokens of context fit over all runners, at the layer with
/// the least memory.
fn memory_bound(candidates: &[path::StageCandidate]) -> f64 {
    let fits = |layer: u32| {
        let span = runner::LayerSpan {
            from: layer,
            to: layer + 1,
        };
        let holders = candidates
            .iter()
            .filter(|candidate| candidate.layers.covers(span));
        holders
            .map(|candidate| candidate.free_token_layers / f64::from(candidate.layers.len()))
            .sum::<f64>()
    };
    (0..engine().layers).map(fits).fold(f64::INFINITY, f64::min)
}

/// In a burst many requests arrive before any of them ends. Each one takes the
/// cheapest path and adds load to its stages.
#[test]
fn burst_fills_the_memory_of_all_runners_before_one_is_refused() {
    let mut candidates = candidates();
    let tokens = 1_000.0;
    let bound = memory_bound(&candidates) / tokens;
    let mut placed = 0;
    loop {
        let chosen = choose(&candidates, placed % DOMAINS.len()).unwrap();
        if chosen.cost_ms >= path::MAX_COST_MS {
            break;
        }
        placed += 1;
        for stage in &chosen.stages {
            let candidate = &mut candidates[stage.runner];
            candidate.in_flight += 1.0;
            candidate.free_token_layers -= tokens * f64::from(stage.layers.len());
        }
    }
    assert!(placed as f64 >= 0.8 * bound, "{placed} of {bound}");
}

/// Lets nodes that start together place their requests before any of them has a
/// report about the load of the others. Returns by how many requests the most
/// overloaded runner exceeds its memory.
fn excess_after_common_start(nodes: usize, each: usize, fleet_size: usize) -> f64 {
    let tokens = 1_000.0;
    let fresh = candidates();
    let mut placed = vec![0.0; fresh.len()];
    for node in 0..nodes {
        let leads = leader::LoadView::default();
        let mut own = vec![(0.0, 0.0); fresh.len()];
        for _ in 0..each {
            let total: f64 = own.iter().map(|(in_flight, _)| in_flight).sum();
            let fleet_factor = 1.0 + leads.unreported_load(total as u32, fleet_size);
            let mut seen = fresh.clone();
            for (candidate, (in_flight, held)) in seen.iter_mut().zip(&own) {
                candidate.in_flight += fleet_factor * in_flight;
                candidate.free_token_layers -= fleet_factor * held;
            }
            let chosen = choose(&seen, node % DOMAINS.len()).unwrap();
            for stage in &chosen.stages {
                own[stage.runner].0 += 1.0;
                own[stage.runner].1 += tokens * f64::from(stage.layers.len());
            }
        }
        for (sum, (_, held)) in placed.iter_mut().zip(&own) {
            *sum += held;
        }
    }
    let excess = placed.iter().zip(&fresh).map(|(held, candidate)| {
        let request = tokens * f64::from(candidate.layers.len());
        (held - candidate.free_token_layers) / request
    });
    excess.fold(0.0, f64::max)
}

#[test]
fn nodes_that_start_together_spread_their_requests() {
    // A node estimates the load of the others from its own requests only, so each
    // of them may place one request more than fits.
    let nodes = 20;
    assert!(excess_after_common_start(nodes, 12, nodes) <= nodes as f64);
    // Without that estimate the excess at the best runners is several times as
    // large.
    assert!(excess_after_common_start(nodes, 12, 1) > 3.0 * nodes as f64);
}

/// What is not shared between nodes must not change a choice.
#[test]
fn unread_prompts_count_only_where_paths_are_timed() {
    let mut candidates = candidates();
    let before = choose(&candidates, 0).unwrap();
    let first = before.stages[0].runner;
    candidates[first].unread_token_layers = 1e9;
    assert_eq!(choose(&candidates, 0).unwrap(), before);
    let engine = engine();
    let timing = path::PathTiming {
        first_limit_ms: 250.0,
        gap_limit_ms: 250.0,
        domains: DOMAINS.len(),
        links: vec![0.0; DOMAINS.len() * DOMAINS.len()],
        alike: 1.0,
    };
    let query = path::PathQuery {
        timing: Some(&timing),
        ..query(&engine, 0)
    };
    let timed = path::choose(&candidates, &query, || 1.0).unwrap();
    assert!(timed.stages.iter().all(|stage| stage.runner != first));
}

/// A path whose pauses are late is taken only if there is no other.
#[test]
fn path_that_keeps_the_objective_for_pauses_is_preferred() {
    let mut engine = engine();
    engine.link_mbps = None;
    let span = |from, to| runner::LayerSpan { from, to };
    let candidate = |runner, layers, step_factor| path::StageCandidate {
        runner,
        domain: 0,
        layers,
        step_factor,
        read_factor: 1.0,
        in_flight: 0.0,
        slots: 192.0,
        free_token_layers: f64::MAX,
        unread_token_layers: 0.0,
        penalty_ms: 0.0,
    };
    // The second runner serves whole requests slower, since it failed before.
    let mut candidates = vec![
        candidate(0, span(0, 80), 60.0),
        candidate(1, span(0, 80), 20.0),
    ];
    candidates[1].penalty_ms = 14_000.0;
    let timing = path::PathTiming {
        first_limit_ms: f64::INFINITY,
        gap_limit_ms: 120.0,
        domains: 1,
        links: Vec::new(),
        alike: 1.0,
    };
    let plain = query(&engine, 0);
    let timed = path::PathQuery {
        timing: Some(&timing),
        ..plain
    };
    let first = |candidates: &[path::StageCandidate], query: &path::PathQuery<'_>| {
        let chosen = path::choose(candidates, query, || 1.0).unwrap();
        chosen.stages[0].runner
    };
    assert_eq!(first(&candidates, &plain), 0);
    assert_eq!(first(&candidates, &timed), 1);
    candidates.truncate(1);
    assert_eq!(first(&candidates, &timed), 0);
}

/// Prints the processor time of a choice among 98 runners with 16 boundaries in three
/// domains; it asserts nothing about a machine.
#[test]
fn choice_among_many_runners_is_measured() {
    let engine = engine();
    let candidates: Vec<_> = (0..98)
        .map(|runner| {
            let units = [1, 2, 5][runner % 3] as u32;
            let from = ((runner * 7) as u32 % (17 - units)) * 5;
            path::StageCandidate {
                runner,
                domain: runner % 3,
                layers: runner::LayerSpan {
                    from,
                    to: from + 5 * units,
                },
                step_factor: 10.0,
                read_factor: 10.0,
                in_flight: (runner % 11) as f64,
                slots: 192.0,
                free_token_layers: f64::MAX,
                unread_token_layers: (runner % 5) as f64 * 1e5,
                penalty_ms: 0.0,
            }
        })
        .collect();
    let timing = |first_limit_ms| path::PathTiming {
        first_limit_ms,
        gap_limit_ms: 250.0,
        domains: 3,
        links: vec![0.3; 9],
        alike: 2.0,
    };
    let (calm, loaded) = (timing(f64::INFINITY), timing(1.0));
    let kinds = [
        ("plain", None),
        ("calm", Some(&calm)),
        ("loaded", Some(&loaded)),
    ];
    for (name, timing) in kinds {
        let query = path::PathQuery {
            timing,
            ..query(&engine, 0)
        };
        let begun = std::time::Instant::now();
        for _ in 0..200 {
            assert!(path::choose(&candidates, &query, || 1.0).is_some());
        }
        println!(
            "{name}: {:.0} us",
            begun.elapsed().as_secs_f64() * 1e6 / 200.0
        );
    }
}
