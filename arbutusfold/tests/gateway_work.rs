//! Bookkeeping of prompts, transfers and memory around the runs of requests.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{
    core, demand, leader, mirror, path_load, request, routing, selector, settings,
};
use arbutusfold_platform::{head, store};
use bytes::Bytes;
use tokio::time;

/// A model of 80 layers with one kind of card.
const DOCUMENT: &str = r#"{"version":1,"routes":[{"name":"r","hostname":"h","prefix":"/p/",
    "type":"streaming","resumable":true,"timeoutMs":20000,"goalMs":500,"gapAimMs":250,
    "maxAttempts":2,"public":true,"service":"s"}],
    "services":[{"name":"s","healthPath":"/health","maxConns":10,"protocol":"h1","tls":false,
    "engine":{"slots":192,"kvCapacity":100000,"kvTokenBytes":400000,"linkMbps":480000.0,
    "stride":3,"models":[{"name":"m","pace":1.0,"loadS":14.0,"warmS":1.0}],"step_ms":0.85,
    "per_seq_ms":0.002,"context_per_k":0.003,"read_per_s":300000.0,"loads_at_once":16,
    "usual":{"prompt":800,"answer":180},"layers":80,"layerMb":1000.0,"activationBytes":20000,
    "pipeMbps":4000.0,"kinds":[{"name":"large","sizeMb":72000.0,"pace":1.4,"readX":1.0}]}}]}"#;

/// Returns a node of domain `d-1` that knows a runner for each half of the layers, the
/// second one in another domain.
fn node(share_demand: bool) -> sync::Arc<core::GatewayCore> {
    let settings = settings::GatewaySettings {
        share_demand,
        ..gateway_network::core_of(&gateway_network::record(1))
            .settings
            .clone()
    };
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    let core = sync::Arc::new(core::GatewayCore::new(settings, logger));
    let row = |key: &str, value: String| mirror::MirrorRow {
        key: key.to_owned(),
        version: store::RowVersion::new(0, 1),
        value: Some(Bytes::from(value)),
    };
    let key = store::WatchedTable::DOCUMENT_KEY;
    core.merge(
        store::WatchedTable::Operator,
        vec![row(key, DOCUMENT.to_owned())],
    );
    let entry = |(index, from, domain): (usize, u32, &str)| {
        let value = format!(
            r#"{{"service":"s","address":"10.0.0.{index}:80","zone":"{domain}","slots":192,
            "state":"ready","born":1,"type":"large",
            "models":[{{"name":"m","layers":{{"from":{from},"target":{}}}}}]}}"#,
            from + 40
        );
        row(&format!("i-{index}"), value)
    };
    let rows = [(1, 0, "d-1"), (2, 40, "d-2")].into_iter().map(entry);
    core.merge(store::WatchedTable::Runners, rows.collect());
    core
}

fn request(core: &sync::Arc<core::GatewayCore>) -> request::CallerRequest {
    let table = core.routing().unwrap();
    let routing::RouteVerdict::Allowed {
        rule,
        priority,
        rank,
        ..
    } = table.decide("h", "/p/x", None)
    else {
        panic!("no route");
    };
    let now = time::Instant::now();
    let call = request::AdmittedCall {
        rule: rule.clone(),
        priority,
        rank,
        service: "s".to_owned(),
        head: head::CallerHead {
            request: "request-1".to_owned(),
            prompt_tokens: Some(1_000),
            answer_hint: Some(90),
            answer_limit: Some(300),
            ..head::CallerHead::default()
        },
        parts: http::Request::get("/p/x").body(()).unwrap().into_parts().0,
        body: Bytes::new(),
        organisation: None,
        started: now,
        deadline: now + std_time::Duration::from_secs(20),
        table: sync::Arc::clone(&table),
    };
    request::CallerRequest::new(core, call)
}

fn unread(core: &core::GatewayCore, runner: &str) -> u64 {
    path_load::publish(core, time::Instant::now());
    let demand = core.demand.lock().unwrap();
    let mut prompts = demand.own().prompts.iter();
    let found = prompts.find(|backlog| backlog.runner == leader::runner_key(runner));
    found.map_or(0, |backlog| backlog.token_layers)
}

fn held(core: &core::GatewayCore, runner: &str) -> u64 {
    let fleet = core.fleet.lock().unwrap();
    fleet.get(runner).unwrap().token_layers
}

#[tokio::test(start_paused = true)]
async fn prompt_is_unread_from_its_send_to_the_first_event() {
    let core = node(true);
    let mut request = request(&core);
    let target = request.acquire_target().await.unwrap();
    assert_eq!(unread(&core, "i-1"), 0);
    let mut guard = request::LoadGuard::new(&core, &target);
    assert_eq!(unread(&core, "i-1"), 40_000);
    assert_eq!(unread(&core, "i-2"), 40_000);
    request.note_event(Some(1), &mut guard);
    assert_eq!(unread(&core, "i-1"), 0);
    assert_eq!(unread(&core, "i-2"), 0);
    drop(guard);
    assert_eq!(held(&core, "i-1"), 0);
}

#[tokio::test(start_paused = true)]
async fn run_without_any_event_leaves_nothing_behind() {
    let core = node(true);
    let mut request = request(&core);
    let target = request.acquire_target().await.unwrap();
    drop(request::LoadGuard::new(&core, &target));
    assert_eq!(unread(&core, "i-1"), 0);
    assert_eq!(held(&core, "i-1"), 0);
}

/// A resumed run reads the prompt and the answer so far.
#[tokio::test(start_paused = true)]
async fn resumed_run_reads_the_answer_too() {
    let core = node(true);
    let mut request = request(&core);
    request.last_event = 10;
    let target = request.acquire_target().await.unwrap();
    let _guard = request::LoadGuard::new(&core, &target);
    assert_eq!(unread(&core, "i-1"), 1_030 * 40);
}

/// One hop between domains: 20 kB for each token of the prompt at once, then for the
/// three of each event.
#[tokio::test(start_paused = true)]
async fn transfers_are_counted_by_link() {
    let core = node(true);
    let mut request = request(&core);
    let target = request.acquire_target().await.unwrap();
    let mut guard = request::LoadGuard::new(&core, &target);
    let rate = || {
        path_load::publish(&core, time::Instant::now());
        let demand = core.demand.lock().unwrap();
        let links = &demand.own().links;
        assert_eq!(links.len(), 1);
        let ends = (links[0].from, links[0].to);
        assert_eq!(ends, (demand::name_key("d-1"), demand::name_key("d-2")));
        f64::from(links[0].bytes_per_second)
    };
    assert!((rate() - 20e6).abs() < 100.0);
    request.note_event(Some(1), &mut guard);
    assert!((rate() - 20.06e6).abs() < 100.0);
}

/// 90 tokens are expected and 300 allowed.
#[tokio::test(start_paused = true)]
async fn answer_that_outgrows_its_estimate_is_counted_anew() {
    let core = node(true);
    let mut request = request(&core);
    let target = request.acquire_target().await.unwrap();
    let mut guard = request::LoadGuard::new(&core, &target);
    assert_eq!(held(&core, "i-1"), 1_090 * 40);
    for number in 1..=30 {
        request.note_event(Some(number), &mut guard);
    }
    assert_eq!(held(&core, "i-1"), 1_090 * 40);
    for number in 31..=100 {
        request.note_event(Some(number), &mut guard);
        let reached = (1_000 + 3 * number) * 40;
        assert!(held(&core, "i-1") + 100 >= reached.min(1_300 * 40));
    }
    assert!(held(&core, "i-1") <= 1_300 * 40);
    let corrected = core.metrics.corrected_reservations.get();
    assert!((1..=6).contains(&corrected), "{corrected}");
    drop(guard);
    assert_eq!(held(&core, "i-1"), 0);
    assert_eq!(held(&core, "i-2"), 0);
}

/// Events that do not continue the stream must not reserve any memory.
#[tokio::test(start_paused = true)]
async fn numbers_of_callers_and_runners_are_bounded() {
    let core = node(true);
    let mut request = request(&core);
    request.last_event = u64::MAX;
    let target = request.acquire_target().await.unwrap();
    let mut guard = request::LoadGuard::new(&core, &target);
    assert!(held(&core, "i-1") <= 1_300 * 40);
    request.note_event(Some(u64::MAX), &mut guard);
    request.note_event(None, &mut guard);
    assert_eq!(request.last_event, u64::MAX);
    request.last_event = 3;
    request.note_event(Some(1_000_000), &mut guard);
    assert_eq!(request.last_event, 3);
    assert!(held(&core, "i-1") <= 1_300 * 40);
}

#[tokio::test(start_paused = true)]
async fn lengths_are_learned_from_complete_answers() {
    let core = node(true);
    // The median is 60 events of three tokens.
    for events in (50..=70).chain(50..=70) {
        let mut request = request(&core);
        request.last_event = events;
        request.note_length();
    }
    let target = request(&core).acquire_target().await.unwrap();
    let _guard = request::LoadGuard::new(&core, &target);
    let answer = held(&core, "i-1") / 40 - 1_000;
    assert!((170..=190).contains(&answer), "{answer}");
}

/// Memory that only longer answers than the expected one need is no reason for a
/// refusal; the reserve for late reports is.
#[tokio::test(start_paused = true)]
async fn room_for_long_answers_refuses_nothing() {
    for share_demand in [false, true] {
        let core = node(share_demand);
        for _ in 0..40 {
            let mut long = request(&core);
            long.last_event = 100;
            long.note_length();
        }
        let usable = 0.85 * 32_000.0 * 1e6 * 80.0 / 400_000.0;
        // The expected context is 1,090 tokens, the learned one up to 1,300.
        let free = 1_150.0 * 40.0;
        core.fleet
            .lock()
            .unwrap()
            .begin("i-1", (usable - free) as u64);
        let target = request(&core).acquire_target().await;
        assert!(target.is_ok(), "{target:?}");
        core.fleet.lock().unwrap().begin("i-1", 100 * 40);
        let target = request(&core).acquire_target().await;
        assert_eq!(target, Err(selector::PathError::NoCapacity));
    }
}

/// Nodes that do not share their demand decide as they did.
#[tokio::test(start_paused = true)]
async fn nothing_is_counted_unless_the_setting_is_on() {
    let core = node(false);
    let mut first = request(&core);
    first.last_event = 60;
    (0..40).for_each(|_| first.note_length());
    let mut next = request(&core);
    let target = next.acquire_target().await.unwrap();
    assert_eq!(target.work, None);
    let mut guard = request::LoadGuard::new(&core, &target);
    assert_eq!(unread(&core, "i-1"), 0);
    for number in 1..=100 {
        next.note_event(Some(number), &mut guard);
    }
    assert_eq!(held(&core, "i-1"), 1_090 * 40);
    assert!(core.demand.lock().unwrap().own().links.is_empty());
    assert!(!next.describe().contains("expected_first_ms"));
}
