//! Ways to spread callers over hosts: evenness, and callers moved by a change.

use arbutusfold::address;
use arbutusfold::member;
use rand::{RngExt, SeedableRng};

use crate::report::{FigureTarget, ScenarioReport};

/// Numbers of hosts.
const SIZES: [usize; 3] = [9, 100, 400];

/// Callers for each host.
const CALLERS_PER_HOST: usize = 1_000;

/// A way to choose the first host of each caller among the hosts alive.
struct SpreadWay {
    name: &'static str,
    /// Takes callers, hosts alive and all hosts ever set up.
    first: fn(usize, &[usize], &[usize], &mut rand_chacha::ChaCha8Rng) -> Vec<usize>,
}

const WAYS: [SpreadWay; 4] = [
    SpreadWay {
        name: "random",
        first: random,
    },
    SpreadWay {
        name: "rendezvous",
        first: rendezvous,
    },
    SpreadWay {
        name: "fixed table",
        first: fixed_table,
    },
    SpreadWay {
        name: "bounded rendezvous over slots",
        first: bounded,
    },
];

/// Measures the ways.
///
/// # Errors
///
/// None at present; scenarios share one signature.
pub fn measure(seed: u64) -> anyhow::Result<ScenarioReport> {
    let mut report = ScenarioReport::new("address", seed);
    for size in SIZES {
        for way in &WAYS {
            measure_way(&mut report, seed, size, way);
        }
    }
    Ok(report)
}

fn measure_way(report: &mut ScenarioReport, seed: u64, size: usize, way: &SpreadWay) {
    let fleet = format!("{size} hosts");
    let callers = size * CALLERS_PER_HOST;
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let hosts: Vec<_> = (0..size).collect();
    let all: Vec<_> = (0..=size).collect();
    let before = (way.first)(callers, &hosts, &hosts, &mut rng);
    let is_chosen = way.name == "rendezvous";
    let bound = |target: f64| is_chosen.then_some(FigureTarget::AtMost(target));
    report.add(
        &fleet,
        way.name,
        "fullest host over the mean",
        fullest(&before, size),
        bound(1.25),
    );

    let lost = size / 2;
    let fewer: Vec<_> = hosts.iter().copied().filter(|host| *host != lost).collect();
    let after = (way.first)(callers, &fewer, &hosts, &mut rng);
    let moved = moved_part(&before, &after) * size as f64;
    report.add(
        &fleet,
        way.name,
        "moved by a loss, in n-ths of callers",
        moved,
        bound(1.5),
    );
    report.add(
        &fleet,
        way.name,
        "fullest after a loss over the mean",
        fullest(&after, size - 1),
        bound(1.25),
    );

    let joined = (way.first)(callers, &all, &all, &mut rng);
    let moved_by_join = moved_part(&before, &joined) * (size + 1) as f64;
    report.add(
        &fleet,
        way.name,
        "moved by a new host, in n-ths of callers",
        moved_by_join,
        None,
    );
}

fn fullest(firsts: &[usize], hosts: usize) -> f64 {
    let most = firsts.iter().max().copied().unwrap_or_default();
    let mut counts = vec![0_usize; most + 1];
    firsts.iter().for_each(|first| counts[*first] += 1);
    let fullest = counts.into_iter().max().unwrap_or_default();
    fullest as f64 * hosts as f64 / firsts.len() as f64
}

fn moved_part(before: &[usize], after: &[usize]) -> f64 {
    let moved = before.iter().zip(after).filter(|(old, new)| old != new);
    moved.count() as f64 / before.len() as f64
}

/// Each answer names a host drawn at random.
fn random(
    callers: usize,
    alive: &[usize],
    _all: &[usize],
    rng: &mut rand_chacha::ChaCha8Rng,
) -> Vec<usize> {
    (0..callers)
        .map(|_| alive[rng.random_range(0..alive.len())])
        .collect()
}

/// Callers fall into slots; each slot goes to the host that ranks highest
/// for it and is not full.
fn bounded(
    callers: usize,
    alive: &[usize],
    _all: &[usize],
    _rng: &mut rand_chacha::ChaCha8Rng,
) -> Vec<usize> {
    let slots: usize = 16_384;
    let bound = (slots * 115).div_ceil(100 * alive.len());
    let mut loads = vec![0; alive.len()];
    let table: Vec<_> = (0..slots)
        .map(|slot| {
            let best = (0..alive.len())
                .filter(|place| loads[*place] < bound)
                .max_by_key(|place| rank(slot, alive[*place]))
                .unwrap_or_default();
            loads[best] += 1;
            alive[best]
        })
        .collect();
    (0..callers)
        .map(|caller| table[slot_of(caller, slots)])
        .collect()
}

fn rank(slot: usize, host: usize) -> u64 {
    let mut mixed = (slot as u64 + 1).wrapping_mul(0x9e37_79b9_7f4a_7c15) ^ host as u64;
    mixed = (mixed ^ (mixed >> 30)).wrapping_mul(0xbf58_476d_1ce4_e5b9);
    mixed = (mixed ^ (mixed >> 27)).wrapping_mul(0x94d0_49bb_1331_11eb);
    mixed ^ (mixed >> 31)
}

fn slot_of(caller: usize, slots: usize) -> usize {
    let hash = blake3::hash(&caller.to_le_bytes());
    let mut first = [0; 8];
    first.copy_from_slice(&hash.as_bytes()[..8]);
    u64::from_le_bytes(first) as usize % slots
}

/// The distribution without negotiation of the traffic manager paper: slots
/// belong to the set-up hosts in turn, and those of hosts that are down go
/// evenly to the rest.
fn fixed_table(
    callers: usize,
    alive: &[usize],
    all: &[usize],
    _rng: &mut rand_chacha::ChaCha8Rng,
) -> Vec<usize> {
    let slots = 8_192;
    let mut next = 0;
    let table: Vec<_> = (0..slots)
        .map(|slot| {
            let owner = all[slot % all.len()];
            if alive.binary_search(&owner).is_ok() {
                return owner;
            }
            next += 1;
            alive[next % alive.len()]
        })
        .collect();
    (0..callers)
        .map(|caller| table[slot_of(caller, slots)])
        .collect()
}

/// The way of the product: each caller goes to the host that ranks highest.
fn rendezvous(
    callers: usize,
    alive: &[usize],
    _all: &[usize],
    _rng: &mut rand_chacha::ChaCha8Rng,
) -> Vec<usize> {
    let records: Vec<_> = alive.iter().map(|host| record(*host)).collect();
    let book = address::AddressSelector::new(&records, &[]);
    (0..callers)
        .map(|caller| {
            let first = book.best_host(&format!("caller-{caller}"));
            first.map_or(0, |host| {
                host.name
                    .trim_start_matches("entry-")
                    .parse()
                    .unwrap_or_default()
            })
        })
        .collect()
}

fn record(host: usize) -> member::MemberRecord {
    member::MemberRecord {
        name: format!("entry-{host}"),
        incarnation: 1,
        revision: 1,
        region: "region".to_owned(),
        domain: format!("domain-{}", host % 12),
        callers: arbutusfold_fuzz::wire::caller_address(host),
        peers: arbutusfold_fuzz::wire::peer_address(host),
        version: 0,
        phase: member::MemberPhase::Serving,
    }
}
