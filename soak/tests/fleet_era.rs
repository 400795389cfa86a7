//! A store that comes back from an older copy, beside a fleet of real processes.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::time;

use arbutusfold_platform_standin::store;
use arbutusfold_soak::{deployment, plan, proxy};
use rand::{RngExt, SeedableRng};

/// Time from the store's acknowledgement of a change until every node has it in force;
/// equals the deployments' `configApplyMs`.
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Drills, unless `ARBUTUSFOLD_ERA_DRILLS` says otherwise.
const DRILLS: u64 = 6;

const SIZE: plan::SoakSize = fleet_fixture::calm_size(9);

/// What happens to the nodes during a drill.
#[derive(Clone, Copy, Debug)]
enum DrillCompany {
    Nothing,
    /// A node is replaced while the store is away.
    Replace(usize),
    /// The store turns a node away from before its return on.
    TurnAway(usize),
}

/// Returns the slowest node if it is late.
async fn find_late(deployment: &deployment::SoakDeployment) -> Option<(time::Duration, String)> {
    let slowest = fleet_fixture::slowest_in_force(deployment, 3 * APPLY_LIMIT).await;
    Some(slowest).filter(|(took, _)| *took > APPLY_LIMIT)
}

/// Guards against a confirmed change that is late or ignored, since the store came back
/// from an older copy and its versions went back.
#[tokio::test(flavor = "multi_thread")]
async fn changes_after_the_store_came_back_from_a_copy_are_in_force_in_time() {
    let deployment = fleet_fixture::start_serving("era", 236, SIZE).await;
    deployment.store.set_era(1);
    let drills = std::env::var("ARBUTUSFOLD_ERA_DRILLS").ok();
    let drills = drills.map_or(DRILLS, |drills| drills.parse().unwrap());
    let (mut faults, mut times) = (Vec::new(), Vec::new());
    for seed in 0..drills {
        let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
        let mut millis =
            |range: std::ops::Range<u64>| time::Duration::from_millis(random.random_range(range));
        let (age, absence) = (millis(500..3_000), millis(0..1_500));
        let (rewrite, change) = (millis(0..1_000), millis(50..2_000));
        let node = random.random_range(0..SIZE.nodes);
        // More is lost than is written again, so the change gets a number that the nodes
        // have passed.
        let lost = random.random_range(2..8);
        let company = match seed % 3 {
            0 => DrillCompany::Nothing,
            1 => DrillCompany::Replace(node),
            _ => DrillCompany::TurnAway(node),
        };
        let copies = 1 + seed % 2;
        let drill = format!(
            "seed {seed}: age={age:?} absence={absence:?} rewrite={rewrite:?} change={change:?} \
             {company:?} returns={copies} lost={lost}"
        );
        let copy = deployment.store.copy();
        deployment.put_document();
        (0..lost).for_each(|_| deployment.write_again());
        tokio::time::sleep(age).await;
        deployment.put_document();
        deployment.write_again();
        deployment.store.set_fault(store::StoreFault::Busy);
        match company {
            DrillCompany::Nothing => {}
            DrillCompany::Replace(node) => deployment.replace(node).await.unwrap(),
            DrillCompany::TurnAway(node) => {
                let turned_away = &deployment.nodes[node].store;
                turned_away.set_fault(proxy::ProxyFault::Reset);
            }
        }
        tokio::time::sleep(absence).await;
        (0..copies).for_each(|_| deployment.store.come_back(copy.clone()));
        deployment.store.set_fault(store::StoreFault::None);
        let written_again = async {
            tokio::time::sleep(rewrite).await;
            deployment.write_again();
        };
        let changed = async {
            tokio::time::sleep(change).await;
            deployment.wait_ready().await.unwrap();
            deployment.put_document();
            fleet_fixture::slowest_in_force(&deployment, 3 * APPLY_LIMIT).await
        };
        let ((took, name), ()) = tokio::join!(changed, written_again);
        if took > APPLY_LIMIT {
            faults.push(format!("{drill}: {name} after {took:?}"));
        }
        times.push(took);
        let proxies = deployment.nodes.iter().map(|node| &node.store);
        proxies.for_each(|proxy| proxy.set_fault(proxy::ProxyFault::None));
    }
    times.sort_unstable();
    let p99 = times[(times.len() - 1) * 99 / 100];
    let p50 = times[times.len() / 2];
    eprintln!("era: {drills} drills, slowest node p50 {p50:?} p99 {p99:?}");
    assert!(faults.is_empty(), "{faults:#?}");
}

/// Guards against callers that a node which starts before the operator has written again
/// serves by the older document of the copy.
#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_start_before_the_operator_writes_again_keep_the_document() {
    let size = fleet_fixture::calm_size(3);
    let deployment = fleet_fixture::start_serving("era-start", 235, size).await;
    deployment.store.set_era(1);
    deployment.put_document();
    let copy = deployment.store.copy();
    deployment.put_document();
    assert_eq!(find_late(&deployment).await, None);
    deployment.store.come_back(copy);
    for node in 0..size.nodes {
        deployment.replace(node).await.unwrap();
        deployment.wait_ready().await.unwrap();
        assert_eq!(find_late(&deployment).await, None, "node {node}");
    }
}
