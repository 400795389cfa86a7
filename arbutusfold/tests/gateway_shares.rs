//! Fair shares of organisations in scarce room.

#![allow(clippy::unwrap_used)]

use arbutusfold::gateway::{demand, shares};
use rand::{RngExt, SeedableRng};

fn held(organisation: u32, in_flight: u32, waiting: u32) -> demand::OrganisationUse {
    demand::OrganisationUse {
        service: 1,
        organisation,
        in_flight,
        waiting,
    }
}

#[test]
fn level_gives_what_small_demands_leave_to_the_large_ones() {
    assert_eq!(shares::fair_level(30.0, &[10.0, 10.0, 10.0]), f64::INFINITY);
    assert_eq!(shares::fair_level(30.0, &[2.0, 20.0, 20.0]), 14.0);
    assert_eq!(shares::fair_level(30.0, &[100.0, 2.0, 8.0]), 20.0);
    assert_eq!(shares::fair_level(0.0, &[1.0]), 0.0);
    assert_eq!(shares::fair_level(10.0, &[]), f64::INFINITY);
}

#[test]
fn only_contended_room_has_shares() {
    let uses = [held(1, 90, 5), held(2, 3, 1), held(3, 2, 0)];
    let scarce = shares::OrganisationShares::new(96.0, &uses);
    assert!(scarce.is_above(1) && !scarce.is_above(2) && !scarce.is_above(4));
    assert_eq!(scarce.waiting_within(), 1.0);
    let plentiful = shares::OrganisationShares::new(200.0, &uses);
    assert!(!plentiful.is_above(1));
    let alone = shares::OrganisationShares::new(10.0, &uses[..1]);
    assert!(!alone.is_above(1));
}

/// The use of one organisation is told by several nodes.
#[test]
fn use_at_several_nodes_counts_together() {
    let uses = [held(1, 30, 0), held(2, 4, 2), held(1, 30, 2), held(2, 4, 0)];
    let together = shares::OrganisationShares::new(60.0, &uses);
    assert!(together.is_above(1) && !together.is_above(2));
    assert_eq!(together.waiting_within(), 2.0);
}

const NODES: usize = 10;
const ORGANISATIONS: usize = 40;
const CAPACITY: usize = 200;
const STEP_S: f64 = 0.02;
/// Steps until a node's use reaches the others.
const LAG: usize = 10;
const RUN_S: f64 = 2.0;
/// Steps for which a request may wait.
const PATIENCE: usize = 75;

/// A waiting request.
#[derive(Clone, Copy)]
struct Waits {
    organisation: u32,
    arrived: usize,
}

/// Organisations by turns ask for two thirds of the room together, and the first one
/// for `burst` requests a second more from 5 to 15 s. Returns the share of the requests
/// of that time that were sent, by organisation, and the used part of the room.
fn play(burst: f64, is_fair: bool) -> (Vec<f64>, f64) {
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(1);
    let mut running: Vec<Vec<(u32, usize)>> = vec![Vec::new(); NODES];
    let mut queues: Vec<Vec<Waits>> = vec![Vec::new(); NODES];
    let mut history: Vec<Vec<Vec<demand::OrganisationUse>>> = Vec::new();
    let (mut arrived, mut sent) = (vec![0.0; ORGANISATIONS], vec![0.0; ORGANISATIONS]);
    let mut used = 0.0;
    let is_counted = |step: usize| (5.0..15.0).contains(&(step as f64 * STEP_S));
    for step in 0..1_000 {
        running
            .iter_mut()
            .for_each(|held| held.retain(|(_, end)| *end > step));
        for organisation in 0..ORGANISATIONS {
            let usual = 2.0 / 3.0 * CAPACITY as f64 / RUN_S / ORGANISATIONS as f64;
            let extra = f64::from(u8::from(organisation == 0 && is_counted(step))) * burst;
            let mut expected = (usual + extra) * STEP_S;
            while random.random::<f64>() < expected {
                expected -= 1.0;
                let organisation = organisation as u32;
                queues[random.random_range(0..NODES)].push(Waits {
                    organisation,
                    arrived: step,
                });
                arrived[organisation as usize] += f64::from(u8::from(is_counted(step)));
            }
        }
        let first = random.random_range(0..NODES);
        for node in (0..NODES).map(|node| (first + node) % NODES) {
            let own = uses(&running[node], &queues[node]);
            let late = history.get(step.wrapping_sub(LAG));
            let others = late.into_iter().flatten().enumerate();
            let others = others.filter(|(other, _)| *other != node);
            let all: Vec<_> = others
                .flat_map(|(_, uses)| uses.clone())
                .chain(own)
                .collect();
            let fair = shares::OrganisationShares::new(CAPACITY as f64, &all);
            let queue = &mut queues[node];
            queue.retain(|waits| step - waits.arrived < PATIENCE);
            queue
                .sort_by_key(|waits| (is_fair && fair.is_above(waits.organisation), waits.arrived));
            let total: usize = running.iter().map(Vec::len).sum();
            // One of the nodes at a time gets the room, as their parts allow.
            let room = (CAPACITY - total).min(1).min(queue.len());
            for waits in queue.drain(..room) {
                let end = step + (RUN_S * (0.5 + random.random::<f64>()) / STEP_S) as usize;
                running[node].push((waits.organisation, end));
                sent[waits.organisation as usize] += f64::from(u8::from(is_counted(waits.arrived)));
            }
        }
        if is_counted(step) {
            used += running.iter().map(Vec::len).sum::<usize>() as f64 / CAPACITY as f64;
        }
        let told = running.iter().zip(&queues);
        history.push(told.map(|(held, queue)| uses(held, queue)).collect());
    }
    let shares = sent
        .iter()
        .zip(&arrived)
        .map(|(sent, arrived)| sent / arrived);
    (shares.collect(), used * STEP_S / 10.0)
}

fn uses(running: &[(u32, usize)], queue: &[Waits]) -> Vec<demand::OrganisationUse> {
    let runs = running
        .iter()
        .map(|(organisation, _)| held(*organisation, 1, 0));
    let waits = queue.iter().map(|waits| held(waits.organisation, 0, 1));
    runs.chain(waits).collect()
}

/// Load: one of many organisations bursts to twice the room by itself.
#[test]
fn burst_of_one_organisation_leaves_the_others_their_shares() {
    let worst_tenth = |shares: &[f64]| {
        let mut sorted = shares.to_vec();
        sorted.sort_by(f64::total_cmp);
        let tenth = &sorted[..ORGANISATIONS / 10];
        tenth.iter().sum::<f64>() / tenth.len() as f64
    };
    let mean = |shares: &[f64]| shares.iter().sum::<f64>() / shares.len() as f64;
    let (fair, _) = play(200.0, true);
    let (unfair, _) = play(200.0, false);
    println!("fair {fair:.2?} unfair {unfair:.2?}");
    let others = &fair[1..];
    assert!(worst_tenth(others) >= 0.9 * mean(others), "{fair:?}");
    assert!(mean(others) >= 0.95, "{fair:?}");
    // In the order of arrival all of them pay for the burst.
    assert!(mean(&unfair[1..]) < 0.6, "{unfair:?}");
}

/// Load: the same burst; what the others do not ask for goes to the large one at once.
#[test]
fn unused_shares_go_to_others() {
    let (_, used) = play(200.0, true);
    println!("used {used:.3}");
    assert!(used >= 0.95, "{used}");
}
