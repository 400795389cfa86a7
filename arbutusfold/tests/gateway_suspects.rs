//! Tests of the exchange of records of crashing requests, with real nodes on a
//! paused clock and a network in memory.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::{core, suspects, trial};
use arbutusfold::suspect;
use arbutusfold::suspect::ledger;
use gateway_network::{DOMAINS, TestNetwork, publish, start};
use tokio::time;

const CONTACT: std_time::Duration = std_time::Duration::from_secs(3);

/// Control traffic of a node that these messages may add at rest: a twentieth of
/// the 7 KB a second that all control may take.
const REST_BYTES_PER_SECOND: f64 = 350.0;

fn fingerprint() -> suspect::RequestFingerprint {
    suspect::fingerprint("house", "/get/crash", b"body")
}

fn crash(node: &core::GatewayCore, request: &suspect::RequestFingerprint, number: u64) {
    let crash = ledger::CrashRecord {
        crash: suspect::CrashId {
            upstream: format!("i-{number:010}"),
            incarnation: 1_771_267_433_690,
        },
        progressed: false,
        repeated: number > 0,
        trial: false,
    };
    suspects::record_crashes(node, request, &[crash]);
}

fn unaware(network: &TestNetwork) -> Vec<usize> {
    let now = time::Instant::now();
    let nodes = network.nodes.get().unwrap().iter().enumerate();
    nodes
        .filter(|(_, core)| {
            let standing = core
                .suspects
                .lock()
                .unwrap()
                .standing(&fingerprint(), &[], now);
            standing == ledger::RequestStanding::Free
        })
        .map(|(node, _)| node)
        .collect()
}

/// Guards against nodes that miss a record because its message was lost.
#[tokio::test(start_paused = true)]
async fn all_nodes_know_of_three_crashes_within_contact_despite_loss() {
    for seed in 0..20 {
        let network = start(60, 0.05, seed);
        let nodes = network.nodes.get().unwrap();
        for number in 0..3 {
            let node = (seed * 7 + number * 13) as usize % nodes.len();
            crash(&nodes[node], &fingerprint(), number);
            time::sleep(std_time::Duration::from_millis(400)).await;
        }
        time::sleep(CONTACT).await;
        assert_eq!(unaware(&network), Vec::<usize>::new(), "seed {seed}");
    }
}

/// Guards against a failure domain that stays unaware after it was cut off.
#[tokio::test(start_paused = true)]
async fn domain_that_was_cut_off_knows_within_contact() {
    for cut in 0..DOMAINS {
        let network = start(21, 0.0, 1);
        let nodes = network.nodes.get().unwrap();
        network.cut.store(cut, atomic::Ordering::Relaxed);
        time::sleep(std_time::Duration::from_secs(1)).await;
        publish(&network, |own, other| {
            (own % DOMAINS == cut) == (other % DOMAINS == cut)
        });
        let outside = (cut + 1) % DOMAINS;
        for number in 0..3 {
            crash(&nodes[outside], &fingerprint(), number);
            time::sleep(std_time::Duration::from_secs(1)).await;
        }
        assert_eq!(unaware(&network).len(), 7);
        network.cut.store(DOMAINS, atomic::Ordering::Relaxed);
        publish(&network, |_, _| true);
        time::sleep(CONTACT).await;
        assert_eq!(unaware(&network), Vec::<usize>::new(), "domain {cut}");
    }
}

/// Guards against an old record of a peer that undoes an answer.
#[tokio::test(start_paused = true)]
async fn answer_in_one_domain_clears_the_record_in_one_that_was_cut_off() {
    let network = start(9, 0.0, 1);
    let nodes = network.nodes.get().unwrap();
    (0..3).for_each(|number| crash(&nodes[0], &fingerprint(), number));
    time::sleep(CONTACT).await;
    assert!(unaware(&network).is_empty());
    network.cut.store(2, atomic::Ordering::Relaxed);
    suspects::clear(&nodes[0], &fingerprint());
    time::sleep(CONTACT).await;
    assert_eq!(unaware(&network), [0, 1, 3, 4, 6, 7]);
    network.cut.store(DOMAINS, atomic::Ordering::Relaxed);
    time::sleep(CONTACT).await;
    assert_eq!(unaware(&network).len(), 9);
}

/// Prints what the exchange costs at rest, and when a host dies under many
/// requests of which none is answered.
#[tokio::test(start_paused = true)]
async fn exchange_costs_little_at_any_size() {
    for nodes in [7, 60, 300] {
        let network = start(nodes, 0.0, 1);
        let total = |network: &TestNetwork| -> Vec<u64> {
            let sent = network.sent.iter();
            sent.map(|sent| sent.swap(0, atomic::Ordering::Relaxed))
                .collect()
        };
        time::sleep(std_time::Duration::from_secs(2)).await;
        total(&network);
        let seconds = 12;
        time::sleep(std_time::Duration::from_secs(seconds)).await;
        let rest = total(&network);
        let most = *rest.iter().max().unwrap() as f64 / seconds as f64;
        let mean = rest.iter().sum::<u64>() as f64 / (seconds * nodes as u64) as f64;
        assert!(most <= REST_BYTES_PER_SECOND, "{nodes} nodes: {most}");
        let cores = network.nodes.get().unwrap();
        for request in 0..200_u64 {
            let key = suspect::fingerprint("house", "/model/write", &request.to_le_bytes());
            crash(&cores[request as usize % nodes], &key, 0);
        }
        time::sleep(std_time::Duration::from_secs(2)).await;
        let burst = total(&network);
        println!(
            "{nodes} nodes: at rest {mean:.0} B/s a node, {most:.0} the most; \
             200 deaths {:.1} KB a node, {:.1} the most",
            burst.iter().sum::<u64>() as f64 / nodes as f64 / 1e3,
            *burst.iter().max().unwrap() as f64 / 1e3
        );
    }
}

/// Claims a trial at every node at once and returns the permits.
async fn claim_everywhere(network: &TestNetwork) -> Vec<trial::TrialPermit> {
    let nodes = network.nodes.get().unwrap().iter();
    let claims = nodes.map(|core| {
        let core = sync::Arc::clone(core);
        tokio::spawn(async move { trial::claim(&core, &fingerprint()).await })
    });
    let mut permits = Vec::new();
    for claim in claims.collect::<Vec<_>>() {
        permits.extend(claim.await.unwrap());
    }
    permits
}

/// Guards against runs of a suspicious request at several nodes at once.
#[tokio::test(start_paused = true)]
async fn one_node_at_a_time_gets_the_permit_for_a_trial() {
    let network = start(60, 0.0, 1);
    // A permit that is dropped unused is free again.
    for _ in 0..2 {
        assert_eq!(claim_everywhere(&network).await.len(), 1);
        time::sleep(std_time::Duration::from_millis(10)).await;
    }
    let mut permits = claim_everywhere(&network).await;
    permits[0].state = trial::PermitState::Rejected;
    permits.clear();
    for _ in 0..4 {
        assert!(claim_everywhere(&network).await.is_empty());
        time::sleep(std_time::Duration::from_secs(1)).await;
    }
    time::sleep(std_time::Duration::from_secs(1)).await;
    assert_eq!(claim_everywhere(&network).await.len(), 1);
}

/// Guards against trials without bound at nodes that die during each of them.
#[tokio::test(start_paused = true)]
async fn trial_of_a_node_that_dies_counts_as_unanswered() {
    let network = start(9, 0.0, 1);
    let nodes = network.nodes.get().unwrap();
    (0..3).for_each(|number| crash(&nodes[0], &fingerprint(), number));
    time::sleep(CONTACT).await;
    let mut granted_at = Vec::new();
    let began_at = time::Instant::now();
    while began_at.elapsed() < std_time::Duration::from_secs(300) {
        for mut permit in claim_everywhere(&network).await {
            permit.state = trial::PermitState::Sent;
            granted_at.push(began_at.elapsed().as_secs());
            // A dead node neither records nor returns it.
            std::mem::forget(permit);
        }
        time::sleep(std_time::Duration::from_millis(500)).await;
    }
    assert!((2..=3).contains(&granted_at.len()), "{granted_at:?}");
}

/// Guards against a permit that is lost with its grant, or with the request that
/// no longer waits for it.
#[tokio::test(start_paused = true)]
async fn lost_messages_delay_the_next_trial_only() {
    for seed in 0..20 {
        let network = start(9, 0.3, seed);
        let mut granted = 0;
        for _ in 0..60 {
            let permits = claim_everywhere(&network).await;
            assert!(permits.len() <= 1);
            granted += permits.len();
            time::sleep(std_time::Duration::from_millis(500)).await;
        }
        assert!(granted >= 4, "seed {seed}: {granted}");
    }
}

/// Guards against a started node that serves before its peers have told it which
/// requests crash runners. The store is away.
#[tokio::test(start_paused = true)]
async fn started_node_knows_the_records_of_its_peers_before_it_serves() {
    for seed in 0..10 {
        let network = start(9, 0.2, seed);
        let nodes = network.nodes.get().unwrap();
        let started = &nodes[8];
        nodes[..8].iter().for_each(|core| {
            core.suspects_known.send_replace(true);
            (0..3).for_each(|number| crash(core, &fingerprint(), number));
        });
        assert!(unaware(&network).contains(&8));
        let began_at = time::Instant::now();
        suspects::learn(sync::Arc::clone(started)).await;
        assert!(*started.suspects_known.borrow());
        assert_eq!(unaware(&network), Vec::<usize>::new(), "seed {seed}");
        assert!(began_at.elapsed() < CONTACT / 2, "seed {seed}");
    }
}

/// Guards against a fleet that never serves because nobody can tell a node that
/// it knows everything.
#[tokio::test(start_paused = true)]
async fn nodes_that_start_together_without_the_store_serve_after_contact() {
    let network = start(9, 0.0, 1);
    let nodes = network.nodes.get().unwrap().iter();
    let learned = nodes.map(|core| tokio::spawn(suspects::learn(sync::Arc::clone(core))));
    let began_at = time::Instant::now();
    for learned in learned.collect::<Vec<_>>() {
        learned.await.unwrap();
    }
    assert!(began_at.elapsed() <= CONTACT + std_time::Duration::from_millis(10));
    let nodes = network.nodes.get().unwrap().iter();
    assert!(nodes.into_iter().all(|core| *core.suspects_known.borrow()));
}
