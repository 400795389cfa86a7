//! Random schedule of the faults of one seed.

use std::ops;
use std::time;

use rand::RngExt;
use rand::SeedableRng;
use rand::seq::IndexedRandom;

use crate::proxy;

/// Number of failure domains, which gateways and runners are assigned to in turn.
pub const DOMAIN_COUNT: usize = 2;

/// Time from the start of a cut from the runners to that of the next one.
const CUT_PERIOD: time::Duration = time::Duration::from_secs(10);

/// Spread of the starts within a period.
const CUT_SPREAD: time::Duration = time::Duration::from_secs(1);

/// Durations of cuts in milliseconds: longer than the deployments' `contactMs`, which
/// does not count, and over before the next one.
const CUT_MS: ops::Range<u64> = 5_000..8_500;

/// Gateways that are cut from all runners together.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CutGroup {
    /// One of them.
    One(usize),
    /// All in a domain but one.
    MostOfDomain(usize),
    /// All in a domain.
    Domain(usize),
}

impl CutGroup {
    /// Returns the gateways in the group, of `count` gateways.
    pub fn nodes(self, count: usize) -> Vec<usize> {
        let in_domain = |domain| (domain..count).step_by(DOMAIN_COUNT);
        match self {
            Self::One(node) => vec![node],
            Self::MostOfDomain(domain) => in_domain(domain).skip(1).collect(),
            Self::Domain(domain) => in_domain(domain).collect(),
        }
    }
}

/// A fault to inject.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum SoakFault {
    /// Kills a gateway and restarts it.
    KillNode(usize),
    /// Stops a gateway gracefully and restarts it.
    StopNode(usize),
    /// Suspends a gateway's process.
    FreezeNode(usize),
    /// Disturbs the connections of one gateway to the store.
    StorePath(usize, proxy::ProxyFault),
    /// The store rejects all calls.
    StoreBusy,
    /// The store does not respond to any call.
    StoreSilent,
    /// The store executes writes, but its responses to them are lost.
    StoreLosesAnswers,
    /// The store drops its history of changes.
    StoreDropsHistory,
    /// Kills a runner and restarts it without layers.
    KillRunner(usize),
    /// A runner stops responding and is restarted without layers.
    SilenceRunner(usize),
    /// Suspends a runner, which then goes on.
    SuspendRunner(usize),
    /// Disturbs the connections of all gateways to one runner.
    RunnerPath(usize, proxy::ProxyFault),
    /// The operator writes a document with one more route.
    NewDocument,
    /// Cuts gateways from all runners.
    RunnersCut(CutGroup, proxy::PathCut),
}

/// A fault with its start and duration.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedFault {
    /// Delay after the start of fault injection.
    pub start: time::Duration,
    /// Time until the fault is undone, or the process restarted.
    pub duration: time::Duration,
    /// The fault to inject.
    pub fault: SoakFault,
}

/// Size of the fleet and number of faults in one seed.
#[derive(Clone, Copy, Debug)]
pub struct SoakSize {
    /// Number of gateways.
    pub nodes: usize,
    /// Number of runners.
    pub runners: usize,
    /// How many of them serve the plain service.
    pub plain_runners: usize,
    /// Period within which every fault starts.
    pub fault_window: time::Duration,
    /// Number of faults.
    pub faults: usize,
    /// Number of cuts of gateways from all runners beside them, one after the other.
    pub cuts: usize,
    /// Whether gateways reach runners through proxies. A proxy can be disturbed,
    /// but it accepts connections for a runner that is dead, too.
    pub proxied: bool,
}

/// Number of silences in one seed.
const SILENCES: usize = 5;

/// Period within which every silence starts.
const SILENCE_WINDOW: time::Duration = time::Duration::from_secs(5);

/// Separates the random numbers of silences from those of the faults.
const SILENCE_STREAM: u64 = 1;

/// Length of a silence in milliseconds.
const SILENCE_MS: ops::Range<u64> = 300..2_500;

/// Returns the faults of a seed, ordered by start.
pub fn plan_faults(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut faults: Vec<_> = (0..size.faults)
        .map(|_| PlannedFault {
            start: size.fault_window.mul_f64(rng.random()),
            duration: time::Duration::from_millis(rng.random_range(200..2_500)),
            fault: draw_fault(&mut rng, size),
        })
        .collect();
    // Drawn last, so that a seed has the same other faults with and without cuts.
    faults.extend((0..size.cuts).map(|number| draw_cut(&mut rng, size, number)));
    faults.sort_by_key(|planned| planned.start);
    faults
}

fn draw_cut(rng: &mut rand_chacha::ChaCha8Rng, size: SoakSize, number: usize) -> PlannedFault {
    let domain = rng.random_range(0..DOMAIN_COUNT);
    let groups = [
        CutGroup::One(rng.random_range(0..size.nodes)),
        CutGroup::MostOfDomain(domain),
        CutGroup::Domain(domain),
    ];
    let group = groups.choose(rng).copied();
    let cut = proxy::PathCut::ALL.choose(rng).copied();
    PlannedFault {
        start: CUT_PERIOD * number as u32 + CUT_SPREAD.mul_f64(rng.random()),
        duration: time::Duration::from_millis(rng.random_range(CUT_MS)),
        fault: SoakFault::RunnersCut(
            group.unwrap_or(CutGroup::Domain(domain)),
            cut.unwrap_or(proxy::PathCut::Hang),
        ),
    }
}

/// Returns the silences of sound runners of a seed, ordered by start, with a document
/// in between. They follow the faults, so that nothing else ends an answer.
pub fn plan_silences(seed: u64, size: SoakSize) -> Vec<PlannedFault> {
    let mut rng = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    rng.set_stream(SILENCE_STREAM);
    let silences = (0..SILENCES).map(|_| {
        let runner = rng.random_range(0..size.runners);
        PlannedFault {
            start: SILENCE_WINDOW.mul_f64(rng.random()),
            duration: time::Duration::from_millis(rng.random_range(SILENCE_MS)),
            fault: match rng.random() {
                true => SoakFault::SuspendRunner(runner),
                false => SoakFault::RunnerPath(runner, proxy::ProxyFault::Silence),
            },
        }
    });
    let mut planned: Vec<_> = silences.collect();
    planned.push(PlannedFault {
        start: SILENCE_WINDOW / 2,
        duration: time::Duration::ZERO,
        fault: SoakFault::NewDocument,
    });
    planned.sort_by_key(|planned| planned.start);
    planned
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
