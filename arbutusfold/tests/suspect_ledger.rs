//! Tests of the record of upstreams that died under each request.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::suspect;
use arbutusfold::suspect::ledger;
use proptest::prelude::*;
use tokio::time;

fn fingerprint(name: &str) -> suspect::RequestFingerprint {
    suspect::fingerprint("house", name, b"body")
}

/// A death in a run that began after the first one was known.
fn crash(number: u8, progressed: bool) -> ledger::CrashRecord {
    ledger::CrashRecord {
        repeated: number > 0,
        trial: false,
        crash: suspect::CrashId {
            upstream: format!("i-{number}"),
            incarnation: 1,
        },
        progressed,
    }
}

/// A death in the trial of a quarantined request.
fn trial(number: u8) -> ledger::CrashRecord {
    ledger::CrashRecord {
        trial: true,
        ..crash(number, false)
    }
}

fn record_all(
    ledger: &mut ledger::CrashLedger,
    name: &str,
    crashes: &[ledger::CrashRecord],
) -> ledger::LedgerChange {
    ledger.record(&fingerprint(name), crashes, time::Instant::now())
}

fn is_quarantined(ledger: &ledger::CrashLedger, name: &str) -> bool {
    standing(ledger, name) != ledger::RequestStanding::Free
}

fn standing(ledger: &ledger::CrashLedger, name: &str) -> ledger::RequestStanding {
    ledger.standing(&fingerprint(name), &[], time::Instant::now())
}

#[tokio::test(start_paused = true)]
async fn third_crash_quarantines_a_request_and_no_other() {
    let mut ledger = ledger::CrashLedger::default();
    for number in 0..2 {
        let change = record_all(&mut ledger, "crash", &[crash(number, false)]);
        assert_eq!(change, ledger::LedgerChange::Recorded);
    }
    assert!(!is_quarantined(&ledger, "crash"));
    let change = record_all(&mut ledger, "crash", &[crash(2, false)]);
    assert_eq!(change, ledger::LedgerChange::Quarantined);
    assert!(is_quarantined(&ledger, "crash") && !is_quarantined(&ledger, "other"));
    record_all(&mut ledger, "crash", &[trial(3)]);
    let left = ledger::RequestStanding::Quarantined(suspect::REVOKED_TTL);
    assert_eq!(standing(&ledger, "crash"), left);
    time::advance(suspect::REVOKED_TTL).await;
    ledger.expire(time::Instant::now());
    assert!(!is_quarantined(&ledger, "crash") && ledger.is_empty());
}

#[tokio::test(start_paused = true)]
async fn one_death_counts_once_however_many_nodes_saw_it() {
    let mut ledger = ledger::CrashLedger::default();
    for _ in 0..5 {
        record_all(&mut ledger, "crash", &[crash(0, false)]);
    }
    assert!(!is_quarantined(&ledger, "crash"));
}

/// Guards against runs at all nodes at once of a request whose deaths are no
/// repeats, and against a popular read that stays out after such deaths.
#[tokio::test(start_paused = true)]
async fn deaths_at_the_same_time_put_a_popular_request_on_trial() {
    let mut ledger = ledger::CrashLedger::default();
    for number in 0..8 {
        let death = ledger::CrashRecord {
            repeated: false,
            ..crash(number, false)
        };
        let is_free = standing(&ledger, "popular") == ledger::RequestStanding::Free;
        assert_eq!(is_free, number < 3, "{number} deaths");
        record_all(&mut ledger, "popular", &[death]);
    }
    assert_ne!(standing(&ledger, "popular"), ledger::RequestStanding::Trial);
    time::advance(std_time::Duration::from_secs(10)).await;
    assert_eq!(standing(&ledger, "popular"), ledger::RequestStanding::Trial);
}

/// Guards against a sound request that shared its runners with a guilty one and
/// can never run again to show it.
#[tokio::test(start_paused = true)]
async fn quarantined_request_gets_one_trial() {
    let mut ledger = ledger::CrashLedger::default();
    for name in ["sound", "guilty"] {
        let crashes: Vec<_> = (0..8).map(|number| crash(number, false)).collect();
        record_all(&mut ledger, name, &crashes);
        let ledger::RequestStanding::Quarantined(left) = standing(&ledger, name) else {
            panic!("{name} is free");
        };
        assert!((5..=10).contains(&left.as_secs()));
    }
    time::advance(std_time::Duration::from_secs(10)).await;
    for name in ["sound", "guilty"] {
        assert_eq!(standing(&ledger, name), ledger::RequestStanding::Trial);
    }
    ledger.clear(&fingerprint("sound"), time::Instant::now());
    assert_eq!(standing(&ledger, "sound"), ledger::RequestStanding::Free);
    record_all(&mut ledger, "guilty", &[trial(8)]);
    time::advance(std_time::Duration::from_secs(600)).await;
    assert!(matches!(
        standing(&ledger, "guilty"),
        ledger::RequestStanding::Quarantined(left) if left.as_secs() == 3_000
    ));
}

/// Guards against a request that is tried without bound because the deaths of
/// the runners that its trials reach are never seen.
#[tokio::test(start_paused = true)]
async fn trials_whose_crash_is_not_seen_become_rare() {
    let mut ledger = ledger::CrashLedger::default();
    let crashes: Vec<_> = (0..4).map(|number| crash(number, false)).collect();
    record_all(&mut ledger, "crash", &crashes);
    let mut trials = Vec::new();
    for second in 0..3_600 {
        if standing(&ledger, "crash") == ledger::RequestStanding::Trial {
            trials.push(second);
            let unanswered = ledger::CrashRecord::unanswered_trial("front-a", second);
            record_all(&mut ledger, "crash", &[unanswered]);
        }
        time::advance(std_time::Duration::from_secs(1)).await;
    }
    let gaps: Vec<_> = trials.windows(2).map(|pair| pair[1] - pair[0]).collect();
    assert!((40..=80).contains(&gaps[0]), "{gaps:?}");
    assert!(
        gaps.windows(2).all(|pair| pair[1] >= 7 * pair[0]),
        "{gaps:?}"
    );
    // The platform allows three late retries.
    let late = trials.iter().filter(|second| (4..300).contains(*second));
    assert!(late.count() <= 3);
}

/// Guards against a trial that is forgotten because too many crashes are known.
#[tokio::test(start_paused = true)]
async fn trial_is_kept_among_many_crashes() {
    let mut ledger = ledger::CrashLedger::default();
    let crashes: Vec<_> = (0..40).map(|number| crash(number, false)).collect();
    record_all(&mut ledger, "crash", &crashes);
    record_all(&mut ledger, "crash", &[trial(99)]);
    record_all(&mut ledger, "crash", &crashes);
    time::advance(std_time::Duration::from_secs(60)).await;
    assert_ne!(standing(&ledger, "crash"), ledger::RequestStanding::Trial);
}

#[tokio::test(start_paused = true)]
async fn crashes_of_the_running_request_count_before_they_are_recorded() {
    let mut ledger = ledger::CrashLedger::default();
    record_all(&mut ledger, "crash", &[crash(0, false)]);
    let own = [crash(1, false), crash(2, false)];
    let now = time::Instant::now();
    let is_free = |own| {
        let standing = ledger.standing(&fingerprint("crash"), own, now);
        standing == ledger::RequestStanding::Free
    };
    assert!(is_free(&own[..1]));
    assert!(!is_free(&own));
    // The same death, seen again.
    assert!(is_free(&[crash(0, false), crash(1, false)]));
}

#[tokio::test(start_paused = true)]
async fn answer_clears_the_record_also_against_older_records_of_peers() {
    let now = time::Instant::now();
    let mut ledger = ledger::CrashLedger::default();
    record_all(&mut ledger, "sound", &[crash(0, false), crash(1, false)]);
    let before = ledger.get(&fingerprint("sound"), now).unwrap();
    assert!(ledger.clear(&fingerprint("sound"), now));
    assert!(!ledger.clear(&fingerprint("sound"), now));
    assert_eq!(ledger.merge(&before, now), ledger::LedgerChange::Outdated);
    assert!(!ledger.is_suspect(&fingerprint("sound")));
    // A peer learns of the answer.
    let mut peer = ledger::CrashLedger::default();
    peer.merge(&before, now);
    peer.merge(&ledger.get(&fingerprint("sound"), now).unwrap(), now);
    assert!(!peer.is_suspect(&fingerprint("sound")));
    assert_eq!(peer.digest(), ledger.digest());
}

/// Guards against a sound stream that is cut when it loses a third host, and
/// against resends of a stream that crashes its runners after output.
#[tokio::test(start_paused = true)]
async fn running_stream_that_lost_hosts_after_output_goes_on() {
    let ledger = ledger::CrashLedger::default();
    let now = time::Instant::now();
    let standing =
        |crashes: &[ledger::CrashRecord]| ledger.standing(&fingerprint("stream"), crashes, now);
    let lost = [
        crash(0, false),
        crash(1, false),
        crash(2, true),
        crash(3, true),
    ];
    assert_eq!(standing(&lost[..3]), ledger::RequestStanding::Free);
    assert_eq!(standing(&lost), ledger::RequestStanding::Free);
    let five = [&lost[..], &[crash(4, true)]].concat();
    assert_ne!(standing(&five), ledger::RequestStanding::Free);
}

#[tokio::test(start_paused = true)]
async fn resend_of_a_stream_counts_crashes_after_output() {
    let mut ledger = ledger::CrashLedger::default();
    record_all(&mut ledger, "stream", &[crash(0, true), crash(1, true)]);
    assert!(!is_quarantined(&ledger, "stream"));
    record_all(&mut ledger, "stream", &[crash(2, true)]);
    assert!(is_quarantined(&ledger, "stream"));
}

#[tokio::test(start_paused = true)]
async fn record_keeps_its_age_on_the_way_between_nodes() {
    let mut ledger = ledger::CrashLedger::default();
    let crashes = [crash(0, false), crash(1, false), trial(2)];
    record_all(&mut ledger, "crash", &crashes);
    time::advance(std_time::Duration::from_secs(600)).await;
    let now = time::Instant::now();
    let mut peer = ledger::CrashLedger::default();
    let change = peer.merge(&ledger.get(&fingerprint("crash"), now).unwrap(), now);
    assert_eq!(change, ledger::LedgerChange::Quarantined);
    let left = suspect::REVOKED_TTL - std_time::Duration::from_secs(600);
    let expected = ledger::RequestStanding::Quarantined(left);
    assert_eq!(standing(&peer, "crash"), expected);
}

/// Guards against a flood of requests that each lose one run and push out the
/// few that crash runners again and again.
#[tokio::test(start_paused = true)]
async fn flood_of_requests_is_bounded_and_spares_those_with_most_crashes() {
    let mut ledger = ledger::CrashLedger::default();
    let crashes: Vec<_> = (0..3).map(|number| crash(number, false)).collect();
    record_all(&mut ledger, "crash", &crashes);
    for number in 0..10_000 {
        record_all(&mut ledger, &format!("sound-{number}"), &crashes[..1]);
    }
    assert!(ledger.len() <= 4_096);
    assert!(is_quarantined(&ledger, "crash"));
    // Single deaths are not compared between nodes.
    assert_eq!(ledger.shared(time::Instant::now()).len(), 1);
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 2_000,
        failure_persistence: None,
        rng_seed: proptest::test_runner::RngSeed::Fixed(21),
        ..ProptestConfig::default()
    })]

    /// Whatever the order, loss and repetition of messages, nodes that have
    /// exchanged their records agree, and none forgets a crash that was not
    /// cleared.
    #[test]
    fn nodes_agree_after_they_exchange_records(
        steps in proptest::collection::vec((0..3_usize, 0..3_usize, 0..6_u8, 0..10_u8), 1..60),
    ) {
        let now = time::Instant::now();
        let names = ["a", "b", "c"];
        let mut nodes = vec![ledger::CrashLedger::default(); 3];
        for (node, name, number, action) in steps {
            let key = fingerprint(names[name]);
            match action {
                0 => {
                    nodes[node].clear(&key, now);
                }
                1..=3 => {
                    let other = usize::from(number) % nodes.len();
                    if let Some(record) = nodes[node].get(&key, now) {
                        nodes[other].merge(&record, now);
                    }
                }
                _ => {
                    nodes[node].record(&key, &[crash(number, action % 2 == 0)], now);
                }
            }
        }
        let all: Vec<_> = nodes
            .iter()
            .flat_map(|node| names.iter().filter_map(|name| node.get(&fingerprint(name), now)))
            .collect();
        for node in &mut nodes {
            for record in &all {
                node.merge(record, now);
            }
        }
        for name in names {
            let key = fingerprint(name);
            let records: Vec<_> = nodes.iter().map(|node| node.get(&key, now)).collect();
            prop_assert!(records.windows(2).all(|pair| pair[0] == pair[1]));
            let cleared = all.iter().filter(|record| record.fingerprint == key);
            let newest = cleared.clone().map(|record| record.cleared).max();
            for record in cleared.filter(|record| Some(record.cleared) == newest) {
                let merged = records[0].as_ref().unwrap();
                for crash in &record.crashes {
                    prop_assert!(merged.crashes.iter().any(|known| known.crash == crash.crash));
                }
            }
        }
        prop_assert!(nodes.windows(2).all(|pair| pair[0].digest() == pair[1].digest()));
    }
}

/// Records a death under the part `name` of prompts.
fn record_part(ledger: &mut ledger::CrashLedger, name: &str, crash: ledger::CrashRecord) {
    let part = suspect::part_fingerprint(name);
    ledger.record(&part, &[crash], time::Instant::now());
}

fn part_standing(ledger: &ledger::CrashLedger, name: &str) -> ledger::RequestStanding {
    let part = suspect::part_fingerprint(name);
    ledger.standing(&part, &[], time::Instant::now())
}

/// Guards against sound requests that are refused for a part that they share with
/// others, because all runners under these died at the same time.
#[tokio::test(start_paused = true)]
async fn part_is_quarantined_by_crashes_after_others_and_not_by_many_at_once() {
    let mut ledger = ledger::CrashLedger::default();
    for number in 0..8 {
        let fresh = ledger::CrashRecord {
            repeated: false,
            ..crash(number, false)
        };
        record_part(&mut ledger, "shared", fresh);
    }
    assert_eq!(
        part_standing(&ledger, "shared"),
        ledger::RequestStanding::Free
    );
    for number in 0..3 {
        assert_eq!(
            part_standing(&ledger, "crash"),
            ledger::RequestStanding::Free
        );
        record_part(&mut ledger, "crash", crash(number, false));
    }
    assert!(matches!(
        part_standing(&ledger, "crash"),
        ledger::RequestStanding::Quarantined(_)
    ));
    assert_eq!(
        part_standing(&ledger, "other"),
        ledger::RequestStanding::Free
    );
    // A second trial only after an hour.
    record_part(&mut ledger, "crash", trial(3));
    assert_eq!(
        part_standing(&ledger, "crash"),
        ledger::RequestStanding::Quarantined(suspect::REVOKED_TTL)
    );
}

/// Guards against a shared part that is held for what crashed the runners long ago,
/// though answers to requests with it have begun since.
#[tokio::test(start_paused = true)]
async fn answer_that_begins_clears_a_part_and_its_next_crash_counts_as_the_first() {
    let mut ledger = ledger::CrashLedger::default();
    let part = suspect::part_fingerprint("shared");
    let before = time::Instant::now();
    record_part(&mut ledger, "shared", crash(0, false));
    time::advance(std_time::Duration::from_millis(1)).await;
    assert!(!ledger.was_suspect(&part, before));
    assert!(ledger.was_suspect(&part, time::Instant::now()));
    record_part(&mut ledger, "shared", crash(1, false));
    assert!(ledger.clear(&part, time::Instant::now()));
    time::advance(std_time::Duration::from_millis(1)).await;
    assert!(!ledger.was_suspect(&part, time::Instant::now()));
    record_part(&mut ledger, "shared", crash(2, false));
    assert_eq!(
        part_standing(&ledger, "shared"),
        ledger::RequestStanding::Free
    );
}

#[test]
fn parts_and_requests_have_different_fingerprints() {
    let part = suspect::part_fingerprint("5c1e07a2");
    assert!(suspect::is_part(&part));
    assert_ne!(part, suspect::part_fingerprint("5c1e07a3"));
    assert!(!suspect::is_part(&fingerprint("5c1e07a2")));
}
