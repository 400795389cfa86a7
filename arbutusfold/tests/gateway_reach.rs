//! What a node remembers of its ways to runners.

#![allow(clippy::unwrap_used)]

use std::net;
use std::time as std_time;

use arbutusfold::gateway::{neighbour, reach};
use tokio::time;

const fn ms(number: u64) -> std_time::Duration {
    std_time::Duration::from_millis(number)
}

fn address(port: u16) -> net::SocketAddr {
    net::SocketAddr::from(([10, 0, 0, 1], port))
}

fn hosts(names: &[&str]) -> Vec<String> {
    names.iter().map(|name| (*name).to_owned()).collect()
}

#[tokio::test(start_paused = true)]
async fn failed_direct_way_is_remembered_for_a_second() {
    let mut book = reach::ReachBook::default();
    let now = time::Instant::now();
    assert!(!book.is_lost(address(1), now));
    book.note_failed(address(1), "refused", now, now);
    assert!(book.is_lost(address(1), now + ms(999)));
    assert!(!book.is_lost(address(1), now + ms(1_000)));
    assert!(!book.is_lost(address(2), now));
    book.note_failed(address(1), "refused", now + ms(900), now + ms(900));
    assert!(book.is_lost(address(1), now + ms(1_899)));
    book.note_reached(address(1), ms(1), now + ms(1_000));
    assert!(!book.is_lost(address(1), now + ms(1_000)));
}

/// An attempt that began before the cut ended may fail after a later one succeeded.
#[tokio::test(start_paused = true)]
async fn late_failure_of_an_earlier_attempt_changes_nothing() {
    let mut book = reach::ReachBook::default();
    let started = time::Instant::now();
    book.note_reached(address(1), ms(1), started + ms(100));
    book.note_failed(address(1), "no answer", started, started + ms(300));
    assert!(!book.is_lost(address(1), started + ms(300)));
}

#[tokio::test(start_paused = true)]
async fn one_attempt_at_a_time_probes_the_direct_way() {
    let mut book = reach::ReachBook::default();
    let now = time::Instant::now();
    assert!(book.begin_probe(address(1), now));
    assert!(!book.begin_probe(address(1), now + ms(900)), "under way");
    assert!(book.begin_probe(address(2), now));
    book.end_probe(address(1), now + ms(10));
    book.end_probe(address(2), now + ms(10));
    assert!(!book.begin_probe(address(1), now + ms(249)), "too early");
    assert!(book.begin_probe(address(1), now + ms(250)));
}

#[tokio::test(start_paused = true)]
async fn each_loss_of_the_direct_way_is_told_once() {
    let mut book = reach::ReachBook::default();
    let now = time::Instant::now();
    assert_eq!(book.note_other_way(address(1), now), None);
    book.note_failed(address(1), "refused", now, now);
    book.note_failed(address(1), "no answer", now, now + ms(20));
    let loss = book.note_other_way(address(1), now + ms(50)).unwrap();
    assert_eq!((loss.age, loss.cause.as_str()), (ms(50), "no answer"));
    assert_eq!(book.note_other_way(address(1), now + ms(60)), None);
    let loss = book.note_reached(address(1), ms(1), now + ms(70)).unwrap();
    assert_eq!(loss.age, ms(70));
    assert_eq!(book.note_reached(address(1), ms(1), now + ms(80)), None);
    // A loss during which no other way was used is not told.
    book.note_failed(address(1), "refused", now + ms(90), now + ms(90));
    assert_eq!(book.note_reached(address(1), ms(1), now + ms(99)), None);
}

#[tokio::test(start_paused = true)]
async fn other_way_waits_longer_for_a_runner_that_is_far_away() {
    let mut book = reach::ReachBook::default();
    let now = time::Instant::now();
    assert_eq!(book.race_delay(address(1)), ms(50), "never reached");
    for (took, delay) in [(1, 50), (30, 90), (400, 150)] {
        book.note_reached(address(1), ms(took), now);
        assert_eq!(book.race_delay(address(1)), ms(delay));
    }
}

/// What was answered before an attempt failed does not show that the node was not cut
/// off since, and neither does a connection that only opened.
#[tokio::test(start_paused = true)]
async fn only_answers_over_later_connections_show_that_others_are_reached() {
    let mut book = reach::ReachBook::default();
    let failed_at = time::Instant::now() + ms(100);
    let just_before = failed_at - ms(1);
    book.note_answered(address(2), just_before, ms(5), failed_at + ms(29));
    assert!(!book.answered_other(address(1), failed_at));
    book.note_answered(address(1), failed_at, ms(5), failed_at + ms(40));
    assert!(
        !book.answered_other(address(1), failed_at),
        "the same runner"
    );
    book.note_reached(address(2), ms(30), failed_at + ms(30));
    assert!(!book.answered_other(address(1), failed_at), "only opened");
    book.note_answered(address(2), failed_at, ms(5), failed_at + ms(40));
    assert!(book.answered_other(address(1), failed_at));
}

#[tokio::test(start_paused = true)]
async fn way_that_opens_and_ends_before_an_answer_is_in_doubt_until_one_comes() {
    let mut book = reach::ReachBook::default();
    let began_at = time::Instant::now();
    book.note_reached(address(1), ms(1), began_at + ms(1));
    book.note_unanswered(address(1), "reset", began_at, began_at + ms(2));
    let later = began_at + ms(5_000);
    book.note_reached(address(1), ms(1), later);
    assert!(book.is_doubted(address(1)) && book.is_lost(address(1), later));
    assert!(!book.is_doubted(address(2)), "one runner may have died");
    // An answer over a connection from before shows nothing about new ones.
    book.note_answered(address(1), began_at, ms(5), later);
    assert!(book.is_doubted(address(1)));
    book.note_answered(address(1), later, ms(5), later + ms(5));
    assert!(!book.is_lost(address(1), later + ms(5)));
    // An end that is told late.
    book.note_unanswered(address(1), "reset", began_at, later + ms(6));
    assert!(!book.is_lost(address(1), later + ms(6)));
}

#[tokio::test(start_paused = true)]
async fn ends_before_an_answer_at_three_runners_put_all_ways_in_doubt() {
    let mut book = reach::ReachBook::default();
    let now = time::Instant::now();
    book.note_unanswered(address(5), "reset", now, now);
    // Another runner answers meanwhile, so the first end was its runner's own.
    book.note_answered(address(3), now + ms(1), ms(1), now + ms(2));
    assert!(!book.is_lost_here(address(5), now + ms(2)));
    // A request and its retry crash two runners.
    book.note_unanswered(address(2), "reset", now + ms(3), now + ms(3));
    book.note_unanswered(address(1), "reset", now + ms(3), now + ms(3));
    book.note_unanswered(address(2), "reset", now + ms(3), now + ms(3));
    assert!(!book.is_doubted(address(4)) && !book.is_lost_here(address(1), now + ms(3)));
    book.note_unanswered(address(6), "reset", now + ms(4), now + ms(4));
    for port in [1, 2, 3, 4] {
        assert!(book.is_lost_here(address(port), now + ms(9_000)), "{port}");
    }
    let loss = book.note_other_way(address(4), now + ms(10)).unwrap();
    assert_eq!(loss.age, ms(6));
    // One answer ends the doubt about ways of which nothing else is known.
    book.note_answered(address(3), now + ms(11), ms(1), now + ms(12));
    assert!(book.is_doubted(address(1)) && book.is_doubted(address(2)));
    assert!(!book.is_doubted(address(3)) && !book.is_doubted(address(4)));
}

#[tokio::test(start_paused = true)]
async fn silence_of_all_runners_puts_all_ways_in_doubt() {
    let mut book = reach::ReachBook::default();
    let now = time::Instant::now();
    book.check_silence(now + ms(60_000));
    assert!(!book.is_doubted(address(1)), "no request waits");
    let wait = book.begin_wait(now);
    // A byte on any connection ends the silence.
    book.note_heard(now + ms(200));
    book.check_silence(now + ms(499));
    assert!(!book.is_doubted(address(1)));
    book.check_silence(now + ms(500));
    assert!(book.is_doubted(address(1)) && book.is_doubted(address(2)));
    // Late answers of before the doubt do not end it.
    book.end_wait(wait);
    book.note_answered(address(1), now, ms(700), now + ms(700));
    assert!(book.is_doubted(address(1)));
    book.note_answered(address(1), now + ms(600), ms(100), now + ms(700));
    assert!(!book.is_doubted(address(1)) && !book.is_doubted(address(2)));
}

/// Runners that prefill long prompts are silent for as long in calm.
#[tokio::test(start_paused = true)]
async fn silence_is_measured_by_the_time_of_slow_answers() {
    for (took, limit) in [(10, 300), (400, 800), (5_000, 2_000)] {
        let mut book = reach::ReachBook::default();
        let now = time::Instant::now();
        book.note_answered(address(1), now, ms(took), now);
        book.begin_wait(now);
        book.check_silence(now + ms(limit - 1));
        assert!(!book.is_doubted(address(1)), "{took}");
        book.check_silence(now + ms(limit));
        assert!(book.is_doubted(address(1)), "{took}");
    }
}

#[tokio::test(start_paused = true)]
async fn ways_are_bounded() {
    let mut book = reach::ReachBook::default();
    let now = time::Instant::now();
    for port in 0..5_000_u16 {
        let at = now + std_time::Duration::from_micros(u64::from(port));
        book.note_failed(address(port), "refused", at, at);
    }
    let known = (0..5_000).filter(|port| book.is_lost(address(*port), now + ms(5)));
    assert_eq!(known.count(), 1_024);
}

#[tokio::test(start_paused = true)]
async fn node_that_failed_as_a_way_is_left_out_for_a_second() {
    let mut book = neighbour::NeighbourBook::default();
    let all = hosts(&["a", "b"]);
    let now = time::Instant::now();
    assert!(book.note_failed("a", now));
    assert!(!book.note_failed("a", now + ms(1)), "known");
    for _ in 0..50 {
        assert_eq!(book.choose(&all, address(1), &[], now).unwrap(), "b");
    }
    assert_eq!(book.choose(&all, address(1), &hosts(&["b"]), now), None);
    assert_eq!(
        book.choose(&all, address(1), &hosts(&["b"]), now + ms(1_001))
            .unwrap(),
        "a"
    );
    book.note_worked("a");
    assert_eq!(
        book.choose(&all, address(1), &hosts(&["b"]), now).unwrap(),
        "a"
    );
}

/// A runner that dies is reached by no node, and the nodes go on as ways to others.
#[tokio::test(start_paused = true)]
async fn node_that_does_not_reach_one_runner_is_left_out_for_that_one() {
    let mut book = neighbour::NeighbourBook::default();
    let all = hosts(&["a"]);
    let (dead, other) = (address(1), address(2));
    let now = time::Instant::now();
    for _ in 0..3 {
        assert!(!book.note_unreached("a", dead, now));
    }
    assert_eq!(book.choose(&all, dead, &[], now), None);
    assert_eq!(book.choose(&all, other, &[], now).unwrap(), "a");
    assert!(book.choose(&all, dead, &[], now + ms(1_001)).is_some());
    // A request and its retry crash two; a node that reaches none of three is cut off.
    assert!(!book.note_unreached("a", other, now));
    assert!(!book.note_unreached("a", address(3), now + ms(1_001)));
    assert!(!book.note_unreached("a", dead, now + ms(1_002)));
    assert!(book.note_unreached("a", other, now + ms(1_003)));
    book.note_worked("a");
    assert!(!book.note_unreached("a", dead, now + ms(1_004)));
}

#[tokio::test(start_paused = true)]
async fn ways_are_chosen_by_their_load() {
    let mut book = neighbour::NeighbourBook::default();
    let names: Vec<String> = (0..6).map(|number| format!("host-{number}")).collect();
    let now = time::Instant::now();
    // Each choice opens a tunnel; the chosen node reports what it serves.
    let mut load = [20_u32, 0, 0, 0, 0, 0];
    book.note_load("host-0", 20, now);
    for _ in 0..100 {
        let chosen = book.choose(&names, address(1), &[], now).unwrap().clone();
        let index = names.binary_search(&chosen).unwrap();
        load[index] += 1;
        book.begin(&chosen);
        book.note_load(&chosen, load[index], now);
    }
    let (least, most) = (load.iter().min().unwrap(), load.iter().max().unwrap());
    assert!(most - least <= 6, "{load:?}");
    // Loads that were reported long ago count no more, own tunnels do.
    let later = now + ms(10_000);
    names.iter().for_each(|name| {
        (0..200).for_each(|_| book.end(name));
    });
    book.begin("host-1");
    let drawn = (0..200).map(|_| {
        book.choose(&names[..2], address(1), &[], later)
            .unwrap()
            .as_str()
    });
    assert!(drawn.into_iter().all(|name| name == "host-0"));
}
