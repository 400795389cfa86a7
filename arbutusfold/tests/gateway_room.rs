//! Room of a service, and its queue of waiting requests.

#![allow(clippy::unwrap_used)]

mod gateway_fixture;

use std::time as std_time;

use arbutusfold::gateway::{demand, fleet, leader, mirror, room, selector, waiting};
use arbutusfold_platform::store;
use bytes::Bytes;
use gateway_fixture::engine;
use tokio::time;

fn seconds(time: f64) -> std_time::Duration {
    std_time::Duration::from_secs_f64(time)
}

/// Returns runners with these layers on cards of 21.6 GB, named `r-0` and so on.
fn runners(layers: &[(u32, u32)]) -> fleet::RunnerFleet {
    let mut fleet = fleet::RunnerFleet::default();
    for (index, (from, to)) in layers.iter().enumerate() {
        let value = format!(
            r#"{{"service":"s","address":"10.0.1.1:{}","zone":"a","slots":4,"state":"ready","born":1,
            "type":"small","models":[{{"name":"assistant"}}],
            "layers":{{"from":{from},"target":{to},"version":1}}}}"#,
            index + 1
        );
        let row = mirror::MirrorRow {
            key: format!("r-{index}"),
            version: store::RowVersion::new(0, 1),
            value: Some(Bytes::from(value)),
        };
        assert!(fleet.update(&row, None).is_some());
    }
    fleet
}

fn measure(fleet: &fleet::RunnerFleet, leads: &leader::LoadView) -> room::RoomReport {
    let engine = engine();
    let states: Vec<_> = fleet.runners().iter().collect();
    let selector = selector::PathSelector {
        engine: &engine,
        leads,
        unreported: 0.0,
        unread: [&[], &[]],
        now: time::Instant::now(),
    };
    room::measure(&selector, &states)
}

/// A card of 21.6 GB with eight layers of 1,750 MB has 7,600 MB for contexts of 1,000
/// tokens of 90 MB at eight layers; 85% of it may be used.
const ROOM_OF_EIGHT: f64 = 0.85 * 7_600.0 / 90.0;

#[test]
fn layer_with_the_least_memory_binds_the_room() {
    let leads = leader::LoadView::default();
    let whole: Vec<_> = (0..10).map(|part| (part * 8, part * 8 + 8)).collect();
    let report = measure(&runners(&whole), &leads);
    assert!((report.free - ROOM_OF_EIGHT).abs() < 0.01, "{report:?}");
    // A second copy of all layers but the last ones adds nothing.
    let most: Vec<_> = whole.iter().chain(&whole[..9]).copied().collect();
    assert!((measure(&runners(&most), &leads).free - ROOM_OF_EIGHT).abs() < 0.01);
    let twice: Vec<_> = whole.iter().chain(&whole).copied().collect();
    assert!((measure(&runners(&twice), &leads).free - 2.0 * ROOM_OF_EIGHT).abs() < 0.01);
    // Without the last layers nothing fits.
    for layers in [&whole[..9], &whole[1..], &[]] {
        let report = measure(&runners(layers), &leads);
        assert!(report.free == 0.0 && !report.is_covered, "{report:?}");
    }
}

#[test]
fn requests_of_all_nodes_take_room() {
    let whole: Vec<_> = (0..10).map(|part| (part * 8, part * 8 + 8)).collect();
    let mut fleet = runners(&whole);
    let mut leads = leader::LoadView::default();
    let empty = measure(&fleet, &leads);
    for index in 0..10 {
        fleet.begin(&format!("r-{index}"), 8_000);
    }
    let mut loads: Vec<_> = (0..10)
        .map(|index| leader::RunnerLoad {
            runner: leader::runner_key(&format!("r-{index}")),
            in_flight: 2,
            token_layers: 16_000,
        })
        .collect();
    loads.sort_unstable_by_key(|load| load.runner);
    let summary = leader::LoadSummary {
        loads,
        ..leader::LoadSummary::default()
    };
    let message = leader::LeaderMessage::FleetSummary(summary);
    leads.receive("leader", message, time::Instant::now());
    let report = measure(&fleet, &leads);
    assert!((empty.free - report.free - 3.0).abs() < 0.01, "{report:?}");
    assert!((report.running - 3.0).abs() < 0.01, "{report:?}");
    assert!((report.capacity() - empty.capacity()).abs() < 0.01);
    let ends = report.ends_per_second(seconds(6.0));
    assert!((ends - 0.5).abs() < 0.01);
    // 200 steps over all layers take 16 ms each on small cards, besides waits in between.
    assert!(report.expected_run > seconds(3.0) && report.expected_run < seconds(10.0));
}

#[tokio::test(start_paused = true)]
async fn run_times_follow_what_ended_lately() {
    let mut average = room::RunAverage::default();
    let start = time::Instant::now();
    assert_eq!(average.estimate(seconds(4.0), start), seconds(4.0));
    (0..99).for_each(|_| average.note(seconds(10.0), start));
    let estimate = average.estimate(seconds(4.0), start).as_secs_f64();
    assert!((estimate - 9.94).abs() < 0.01, "{estimate}");
    let later = start + seconds(600.0);
    let estimate = average.estimate(seconds(4.0), later).as_secs_f64();
    assert!((estimate - 4.0).abs() < 0.01, "{estimate}");
}

fn waits(rank: u8, organisation: u32, deadline: time::Instant) -> waiting::WaitingRequest {
    waiting::WaitingRequest {
        service: demand::name_key("s"),
        organisation,
        rank,
        needs_room: true,
        is_return: false,
        is_above: false,
        deadline,
    }
}

#[tokio::test(start_paused = true)]
async fn queue_is_in_order_of_rank_return_share_and_deadline() {
    let mut queue = waiting::WaitQueue::new(10);
    let soon = time::Instant::now() + seconds(1.0);
    let later = soon + seconds(1.0);
    let (low, _) = queue.enter(waits(1, 1, soon)).unwrap();
    let (late, _) = queue.enter(waits(0, 1, later)).unwrap();
    let (large, _) = queue.enter(waits(0, 2, soon)).unwrap();
    let returned = waiting::WaitingRequest {
        is_return: true,
        ..waits(0, 1, later)
    };
    let (returned, _) = queue.enter(returned).unwrap();
    queue.set_above(demand::name_key("s"), |organisation| organisation == 2);
    let before = |queue: &waiting::WaitQueue, ticket| queue.position(ticket).unwrap().before;
    assert_eq!(before(&queue, returned), 0);
    assert_eq!(before(&queue, late), 1);
    assert_eq!(before(&queue, large), 2);
    assert_eq!(before(&queue, low), 0);
    assert!(!queue.position(low).unwrap().is_seeking);
    queue.leave(returned);
    assert!(queue.position(low).unwrap().is_seeking);
    // A share that is free again counts at once.
    queue.set_above(demand::name_key("s"), |_| false);
    assert_eq!(before(&queue, large), 0);
    assert_eq!(before(&queue, late), 1);
}

#[tokio::test(start_paused = true)]
async fn full_queue_lets_only_higher_ranks_in() {
    let mut queue = waiting::WaitQueue::new(2);
    let deadline = time::Instant::now() + seconds(1.0);
    let (first, _) = queue.enter(waits(1, 1, deadline)).unwrap();
    let (second, signal) = queue.enter(waits(1, 1, deadline)).unwrap();
    assert!(queue.enter(waits(1, 1, deadline)).is_none());
    assert!(queue.enter(waits(2, 1, deadline)).is_none());
    assert!(queue.enter(waits(0, 1, deadline)).is_some());
    // The one that gave way hears of it.
    signal.notified().await;
    assert!(queue.position(second).is_none());
    assert!(queue.position(first).is_some());
    assert!(
        waiting::WaitQueue::new(0)
            .enter(waits(0, 1, deadline))
            .is_none()
    );
}
