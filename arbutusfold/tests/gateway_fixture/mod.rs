//! Test fixtures: a deployment modelled on those of users, for tests of decisions.

#![allow(dead_code)]

use std::time;

use arbutusfold::gateway::{layout, path};
use arbutusfold::member;
use arbutusfold_platform::document;

fn card(name: &str, memory_mb: f64, step_factor: f64, read_factor: f64) -> document::CardSpec {
    document::CardSpec {
        name: name.to_owned(),
        memory_mb,
        step_factor,
        read_factor,
    }
}

/// Returns an engine with 80 layers and three kinds of cards.
pub fn engine() -> document::EngineSpec {
    document::EngineSpec {
        slots: 192,
        event_tokens: 3,
        step_ms: 1.0,
        sequence_ms: 0.007,
        context_ms: 0.01,
        read_per_second: 100_000.0,
        loads_at_once: 5,
        prompt_tokens: 800.0,
        answer_tokens: 200.0,
        layers: 80,
        layer_mb: 1_750.0,
        token_bytes: 900_000.0,
        context_tokens: 100_000,
        activation_bytes: 45_000.0,
        link_mbps: Some(22_000.0),
        load_time: time::Duration::from_secs(14),
        model: "assistant".to_owned(),
        cards: vec![
            card("large", 72_000.0, 2.4, 3.2),
            card("middle", 43_000.0, 5.6, 2.7),
            card("small", 21_600.0, 16.0, 8.2),
        ],
    }
}

/// Returns a runner without layers.
pub fn runner(domain: &str, card: &str) -> layout::LayoutRunner {
    layout::LayoutRunner {
        domain: domain.to_owned(),
        card: card.to_owned(),
        layers: None,
    }
}

/// Returns 33 runners without layers in three domains.
pub fn small_fleet() -> Vec<layout::LayoutRunner> {
    let counts = [("a", [2, 2, 5]), ("b", [1, 3, 8]), ("c", [1, 6, 5])];
    let cards = ["large", "middle", "small"];
    let mut runners = Vec::new();
    for (domain, counts) in counts {
        for (card, count) in cards.into_iter().zip(counts) {
            runners.extend((0..count).map(|_| runner(domain, card)));
        }
    }
    runners
}

/// Returns an engine like [`engine`] with four kinds of cards, the smallest of which
/// holds a sixteenth of the model.
pub fn engine_with_four_cards() -> document::EngineSpec {
    document::EngineSpec {
        token_bytes: 590_000.0,
        cards: vec![
            card("large", 72_000.0, 1.4, 1.0),
            card("middle", 36_000.0, 3.1, 3.2),
            card("small", 21_600.0, 16.0, 8.2),
            card("tiny", 14_400.0, 15.0, 15.0),
        ],
        ..engine()
    }
}

/// Returns a query for a request of 1,000 tokens that enters from a domain.
pub fn query(engine: &document::EngineSpec, domain: usize) -> path::PathQuery<'_> {
    path::PathQuery {
        engine,
        layers: engine.all_layers(),
        domain: Some(domain),
        prompt: 800.0,
        answer: 200.0,
        context: 1_000.0,
        timing: None,
    }
}

/// Returns the membership record of a node.
pub fn record(name: &str, domain: &str, phase: member::MemberPhase) -> member::MemberRecord {
    let port = name.bytes().map(u16::from).sum::<u16>();
    member::MemberRecord {
        name: name.to_owned(),
        incarnation: 1,
        revision: 1,
        region: "r".to_owned(),
        domain: domain.to_owned(),
        callers: format!("10.0.0.1:{port}").parse().unwrap(),
        peers: "10.0.0.1:4".parse().unwrap(),
        version: 0,
        phase,
    }
}
