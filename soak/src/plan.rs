//! The faults of one seed.

use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;

use crate::proxy;

/// One fault.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// A gateway is killed and started again.
    KillNode(usize),
    /// A gateway is stopped gracefully and started again.
    StopNode(usize),
    /// A gateway's process stands still.
    FreezeNode(usize),
    /// The path of a gateway to the store fails.
    StorePath(usize, proxy::ProxyFault),
    /// The store turns all calls away.
    StoreBusy,
    /// The store answers nothing.
    StoreSilent,
    /// The store's answers to writes are lost.
    StoreLosesAnswers,
    /// The store forgets its history.
    StoreDropsHistory,
    /// A runner dies and starts again without layers.
    KillRunner(usize),
    /// A runner falls silent and starts again without layers.
    SilenceRunner(usize),
    /// The path of all gateways to a runner fails.
    RunnerPath(usize, proxy::ProxyFault),
    /// The operator adds a route.
    NewDocument,
}

/// A fault with its time and length.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Time after the start of the faults.
    pub start: time::Duration,
    /// How long it lasts.
    pub duration: time::Duration,
    /// The fault.
    pub fault: SoakFault,
}

/// Sizes of a soak.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Gateways.
    pub nodes: usize,
    /// Runners.
    pub runners: usize,
    /// Time in which faults begin.
    pub fault_window: time::Duration,
    /// Faults.
    pub faults: usize,
}

/// Returns the faults of a seed, by time.
pub fn plan_faults(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut faults: Vec<_> = (0..size.faults)
        .map(|_| PlannedFault {
            start: size.fault_window.mul_f64(rng.random()),
            duration: time::Duration::from_millis(rng.random_range(200..2_500)),
            fault: draw_fault(&mut rng, size),
        })
        .collect();
    faults.sort_by_key(|planned| planned.start);
    faults
}

fn draw_fault(rng: &mut rand_chacha::ChaCha8Rng, size: SoakSize) -> SoakFault {
    let node = rng.random_range(0..size.nodes);
    let runner = rng.random_range(0..size.runners);
    let delay = time::Duration::from_millis(rng.random_range(20..300));
    let path_faults = [
        proxy::ProxyFault::Delay(delay),
        proxy::ProxyFault::Silence,
        proxy::ProxyFault::OneWay,
        proxy::ProxyFault::Reset,
    ];
    let path_fault = path_faults.choose(rng).copied().unwrap_or_default();
    let faults = [
        SoakFault::KillNode(node),
        SoakFault::StopNode(node),
        SoakFault::FreezeNode(node),
        SoakFault::StorePath(node, path_fault),
        SoakFault::StoreBusy,
        SoakFault::StoreSilent,
        SoakFault::StoreLosesAnswers,
        SoakFault::StoreDropsHistory,
        SoakFault::KillRunner(runner),
        SoakFault::SilenceRunner(runner),
        SoakFault::RunnerPath(runner, path_fault),
        SoakFault::NewDocument,
    ];
    faults
        .choose(rng)
        .copied()
        .unwrap_or(SoakFault::NewDocument)
}
