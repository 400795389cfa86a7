//! Leads of failure domains and what they tell.

#![allow(clippy::unwrap_used)]

mod gateway_world;

use std::time as std_time;

use arbutusfold::gateway::lead;
use arbutusfold::member;
use gateway_world::record;
use tokio::time;

const PATIENCE: std_time::Duration = std_time::Duration::from_millis(1_000);

fn load(runner: lead::RunnerKey, in_flight: u32) -> lead::RunnerLoad {
    lead::RunnerLoad {
        runner,
        in_flight,
        token_layers: u64::from(in_flight) * 100,
    }
}

fn word(loads: Vec<lead::RunnerLoad>, store_age_ms: u32) -> lead::LeadWord {
    lead::LeadWord {
        loads,
        slow: Vec::new(),
        store_age_ms,
        latest: 7,
    }
}

#[test]
fn each_domain_has_one_lead_and_a_leaving_node_gives_it_up() {
    let names = ["n1", "n2", "n3", "n4", "n5", "n6"];
    let mut members: Vec<_> = names
        .iter()
        .enumerate()
        .map(|(place, name)| {
            let domain = ["a", "b"][place % 2];
            record(name, domain, member::MemberPhase::Serving)
        })
        .collect();
    let leads: Vec<_> = lead::leads(&members).into_iter().cloned().collect();
    let domains: Vec<_> = leads.iter().map(|record| record.domain.as_str()).collect();
    assert_eq!(domains, ["a", "b"]);
    let first = members
        .iter()
        .position(|record| record.name == leads[0].name);
    members[first.unwrap()].phase = member::MemberPhase::Leaving;
    let after = lead::leads(&members);
    assert_ne!(after[0].name, leads[0].name);
    assert_eq!(after[1].name, leads[1].name);
}

#[tokio::test(start_paused = true)]
async fn loads_of_nodes_and_domains_add_up_without_the_own() {
    let now = time::Instant::now();
    let mut book = lead::LeadBook::default();
    book.hear(
        "n2",
        lead::LeadMessage::Node(vec![load(1, 2), load(3, 1)]),
        now,
    );
    book.hear(
        "m1",
        lead::LeadMessage::Domain(word(vec![load(3, 10)], 50)),
        now,
    );
    let own = vec![load(1, 4)];
    let domain = book.domain_word(word(own.clone(), 80));
    assert_eq!(domain.loads, [load(1, 6), load(3, 1)]);
    let fleet = book.fleet_word(&domain, now);
    assert_eq!(fleet.loads, [load(1, 6), load(3, 11)]);
    assert_eq!(fleet.store_age_ms, 50);
    book.note_told(own);
    book.hear("n1", lead::LeadMessage::Fleet(fleet), now);
    assert_eq!(book.others(1).in_flight, 2);
    assert_eq!(book.others(3).in_flight, 11);
    assert_eq!(book.others(9).in_flight, 0);
}

#[tokio::test(start_paused = true)]
async fn silent_nodes_are_forgotten() {
    let now = time::Instant::now();
    let mut book = lead::LeadBook::default();
    book.hear("n2", lead::LeadMessage::Node(vec![load(1, 2)]), now);
    let period = lead::period(3);
    book.forget(period, now + period * 2);
    assert_eq!(book.domain_word(word(Vec::new(), 0)).loads.len(), 1);
    book.forget(period, now + period * 6);
    assert!(book.domain_word(word(Vec::new(), 0)).loads.is_empty());
}

#[tokio::test(start_paused = true)]
async fn node_watches_the_store_when_no_lead_reaches_it() {
    let now = time::Instant::now();
    let mut book = lead::LeadBook::default();
    assert!(!book.is_led(PATIENCE, now));
    book.hear("n1", lead::LeadMessage::Fleet(word(Vec::new(), 300)), now);
    assert!(book.is_led(PATIENCE, now));
    assert!(!book.is_led(PATIENCE, now + PATIENCE));
    book.hear("n1", lead::LeadMessage::Fleet(word(Vec::new(), 5_000)), now);
    assert!(!book.is_led(PATIENCE, now));
}

#[tokio::test(start_paused = true)]
async fn slow_runners_of_all_domains_are_told_to_all() {
    let now = time::Instant::now();
    let mut book = lead::LeadBook::default();
    let mut other = word(Vec::new(), 10);
    other.slow = vec![lead::SlowRunner::new(2, 12.0)];
    book.hear("m1", lead::LeadMessage::Domain(other), now);
    book.note_survey(vec![lead::SlowRunner::new(7, 3.0)]);
    let domain = book.domain_word(word(Vec::new(), 10));
    let fleet = book.fleet_word(&domain, now);
    book.hear("n1", lead::LeadMessage::Fleet(fleet), now);
    assert_eq!(book.slowness(2), 12.0);
    assert_eq!(book.slowness(7), 3.0);
    assert_eq!(book.slowness(1), 1.0);
}

#[test]
fn work_of_a_lead_does_not_grow_with_its_domain() {
    let messages = |nodes: usize| 2.0 * nodes as f64 / lead::period(nodes).as_secs_f64();
    assert!(
        messages(300) <= 1.01 * messages(20),
        "{} {}",
        messages(300),
        messages(20)
    );
}

#[test]
fn word_of_a_lead_fits_the_budget_of_control() {
    // 20 nodes a domain and 86 runners under load, of 7 KB a second.
    let loads = (0..86_u32)
        .map(|runner| lead::RunnerLoad {
            runner: runner.wrapping_mul(0x9e37_79b9),
            in_flight: 60,
            token_layers: 1_000_000,
        })
        .collect();
    let message = lead::LeadMessage::Fleet(word(loads, 500));
    let bytes = postcard::to_stdvec(&message).unwrap().len();
    let per_second = bytes as f64 / lead::period(20).as_secs_f64();
    assert!(
        per_second <= 7_000.0,
        "{bytes} bytes, {per_second} a second"
    );
}

/// Common start: no word counts any request yet.
#[tokio::test(start_paused = true)]
async fn node_without_news_takes_the_others_to_do_as_it_does() {
    let now = time::Instant::now();
    let mut book = lead::LeadBook::default();
    assert_eq!(book.unheard(0, 60), 0.0);
    assert_eq!(book.unheard(8, 60), 59.0);
    // A fleet of one has no others.
    assert_eq!(book.unheard(8, 1), 0.0);
    // The word of the lead counts what was told; little came since.
    book.note_told(vec![load(1, 8)]);
    let fleet = word(vec![load(1, 480)], 0);
    book.hear("lead", lead::LeadMessage::Fleet(fleet), now);
    assert_eq!(book.unheard(9, 60), 0.0);
}

/// Burst: the own load doubles while the word is on its way.
#[tokio::test(start_paused = true)]
async fn growth_beyond_chance_is_expected_of_all_nodes() {
    let now = time::Instant::now();
    let mut book = lead::LeadBook::default();
    book.note_told(vec![load(1, 100)]);
    let fleet = word(vec![load(1, 6_000)], 0);
    book.hear("lead", lead::LeadMessage::Fleet(fleet), now);
    assert_eq!(book.unheard(130, 60), 0.0);
    let unheard = book.unheard(200, 60);
    assert!((15.0..30.0).contains(&unheard), "{unheard}");
}

/// One node starts alone: the word already counts the load of the others.
#[tokio::test(start_paused = true)]
async fn lone_start_expects_no_growth_of_others() {
    let now = time::Instant::now();
    let mut book = lead::LeadBook::default();
    let fleet = word(vec![load(1, 6_000)], 0);
    book.hear("lead", lead::LeadMessage::Fleet(fleet), now);
    assert_eq!(book.unheard(90, 60), 0.0);
}
