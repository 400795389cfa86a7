//! Store writes and waits of marked requests, and the recovery of a lease.

use std::sync;
use std::time as std_time;

use arbutusfold::{event, lease, platform, record, repair};
use arbutusfold_fuzz::fake;
use async_trait::async_trait;
use rand::{RngExt, SeedableRng};
use tokio::{task, time};

use crate::report;

/// Nodes of the fleet.
const NODES: usize = 9;

/// Marked requests a second over all nodes.
const RATE: f64 = 300.0;

/// Time that is measured.
const DURATION: std_time::Duration = std_time::Duration::from_secs(60);

/// Holders that are lost one after the other.
const LOST_HOLDERS: u64 = 100;

struct QuickUpstream {
    received: time::Instant,
    waits: sync::Arc<sync::Mutex<Vec<f64>>>,
}

#[async_trait]
impl record::CallDispatch for QuickUpstream {
    async fn dispatch(&self, _: usize) -> Result<record::RecordedAnswer, record::DispatchError> {
        let wait = self.received.elapsed().as_secs_f64() * 1_000.0;
        self.waits
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
            .push(wait);
        time::sleep(std_time::Duration::from_millis(5)).await;
        Ok(record::RecordedAnswer {
            status: 200,
            content_type: "application/json".to_owned(),
            body: b"{}".to_vec(),
        })
    }
}

struct RecordFigures {
    requests: f64,
    writes: f64,
    waits: Vec<f64>,
}

/// Measures the record at the rate of the two-year plan.
///
/// # Errors
///
/// When the runtime cannot be built.
pub fn measure(seed: u64) -> anyhow::Result<report::ScenarioReport> {
    let mut answer = report::ScenarioReport::new("record", seed);
    for trip_ms in [5_u64, 10, 20, 50] {
        let trip = std_time::Duration::from_millis(trip_ms);
        for (way, share) in [("grouped at the node's share", NODES), ("each at once", 0)] {
            let figures = paused()?.block_on(run_requests(seed, trip, share));
            let fleet = format!("9 nodes, store round trip {trip_ms} ms");
            add_figures(&mut answer, &fleet, way, trip_ms as f64, figures, share > 0);
        }
    }
    let times = paused()?.block_on(lose_holders(seed));
    let periods = |time: f64| time / lease::LEASE_DURATION.as_secs_f64();
    let most = times.iter().copied().fold(0.0, f64::max);
    let mean = times.iter().sum::<f64>() / times.len() as f64;
    let target = Some(report::FigureTarget::AtMost(3.0));
    let fleet = "3 candidates, 100 holders killed";
    let figure = "lease periods until the next holder acts";
    answer.add(fleet, "worst", figure, periods(most), target);
    answer.add(fleet, "mean", figure, periods(mean), target);
    Ok(answer)
}

fn add_figures(
    answer: &mut report::ScenarioReport,
    fleet: &str,
    way: &str,
    trip_ms: f64,
    mut figures: RecordFigures,
    targeted: bool,
) {
    let target = |bound: f64| targeted.then_some(report::FigureTarget::AtMost(bound));
    let rate = figures.writes / DURATION.as_secs_f64();
    answer.add(fleet, way, "transactions a second", rate, target(300.0));
    let each = figures.writes / figures.requests;
    answer.add(
        fleet,
        way,
        "transactions a marked request",
        each,
        target(3.0),
    );
    figures.waits.sort_unstable_by(f64::total_cmp);
    let part = |part: f64| {
        let place = (figures.waits.len() as f64 * part) as usize;
        figures.waits.get(place).copied().unwrap_or(f64::NAN)
    };
    let median = part(0.5) / trip_ms;
    answer.add(
        fleet,
        way,
        "round trips before the start, median",
        median,
        target(2.0),
    );
    answer.add(
        fleet,
        way,
        "ms before the start, 95 in 100",
        part(0.95),
        None,
    );
}

fn paused() -> anyhow::Result<tokio::runtime::Runtime> {
    Ok(tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?)
}

async fn run_requests(seed: u64, trip: std_time::Duration, share: usize) -> RecordFigures {
    let table = fake::FakeTable::new(seed, trip);
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut tasks = task::JoinSet::new();
    let keepers: Vec<_> = (0..NODES)
        .map(|node| start_keeper(&table, node, share, &mut tasks))
        .collect();
    let waits = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let end = time::Instant::now() + DURATION;
    let mut requests = 0_u64;
    let mut next = time::Instant::now();
    while next < end {
        let gap: f64 = random.random_range(f64::EPSILON..1.0);
        next += std_time::Duration::from_secs_f64(-gap.ln() / RATE);
        time::sleep_until(next).await;
        let keeper = sync::Arc::clone(&keepers[random.random_range(0..NODES)]);
        let waits = sync::Arc::clone(&waits);
        requests += 1;
        tasks.spawn(async move { run_request(&keeper, requests, waits).await });
    }
    time::sleep(std_time::Duration::from_secs(1)).await;
    let writes = table.commits() as f64;
    let waits = waits
        .lock()
        .unwrap_or_else(sync::PoisonError::into_inner)
        .clone();
    RecordFigures {
        requests: requests as f64,
        writes,
        waits,
    }
}

fn start_keeper(
    table: &fake::FakeTable,
    node: usize,
    share: usize,
    tasks: &mut task::JoinSet<()>,
) -> sync::Arc<record::RecordKeeper> {
    let table: sync::Arc<dyn platform::TableClient> = sync::Arc::new(table.clone());
    let recorder = sync::Arc::new(event::EventRecorder::silent());
    let keeper = record::RecordKeeper::new(table, recorder, format!("entry-{node}"));
    let keeper = sync::Arc::new(keeper);
    keeper.set_nodes(share);
    let looped = sync::Arc::clone(&keeper);
    tasks.spawn(async move { looped.run().await });
    keeper
}

async fn run_request(
    keeper: &record::RecordKeeper,
    number: u64,
    waits: sync::Arc<sync::Mutex<Vec<f64>>>,
) {
    let received = time::Instant::now();
    let dispatcher = QuickUpstream { received, waits };
    let call = record::KeyedCall {
        key: record::RecordKey {
            organisation: "novia-lima".to_owned(),
            service: "booking".to_owned(),
            idempotency: number.to_string(),
        },
        digest: "digest".to_owned(),
        received,
        upstream_count: 1,
        timeout: std_time::Duration::from_secs(2),
        dispatcher: &dispatcher,
    };
    // A request that is not answered shows in the number of waits.
    let _ = record::run_keyed(keeper, &call).await;
}

/// Kills the holder again and again and returns the seconds to the next one.
async fn lose_holders(seed: u64) -> Vec<f64> {
    let table = fake::FakeTable::new(seed, std_time::Duration::from_millis(20));
    let mut random = rand_chacha::ChaCha8Rng::seed_from_u64(seed);
    let mut nodes: Vec<_> = (0..3)
        .map(|node| start_candidate(&table, node, node + 1))
        .collect();
    let mut started = nodes.len() as u64;
    let mut times = Vec::new();
    for _ in 0..LOST_HOLDERS {
        await_holder(&nodes).await;
        let pause = random.random_range(0..2_000);
        time::sleep(std_time::Duration::from_millis(pause)).await;
        let Some(place) = holder(&nodes) else {
            continue;
        };
        nodes[place].1.abort();
        started += 1;
        // The host comes back as another process, which is a candidate again.
        nodes[place] = start_candidate(&table, place as u64, started);
        let lost = time::Instant::now();
        await_holder(&nodes).await;
        times.push(lost.elapsed().as_secs_f64());
    }
    times
}

type CandidateNode = (
    sync::Arc<sync::Mutex<lease::LeaseMachine>>,
    task::JoinHandle<()>,
);

fn start_candidate(table: &fake::FakeTable, host: u64, incarnation: u64) -> CandidateNode {
    let machine = lease::LeaseMachine::new(format!("entry-{host}"), incarnation);
    let machine = sync::Arc::new(sync::Mutex::new(machine));
    let (table, shared) = (table.clone(), sync::Arc::clone(&machine));
    let task = tokio::spawn(async move {
        let mut ticks = time::interval(lease::LEASE_POLL_INTERVAL);
        loop {
            ticks.tick().await;
            let mut own = lock(&shared).clone();
            repair::poll_lease(&table, &mut own).await;
            *lock(&shared) = own;
        }
    });
    (machine, task)
}

fn lock(machine: &sync::Mutex<lease::LeaseMachine>) -> sync::MutexGuard<'_, lease::LeaseMachine> {
    machine.lock().unwrap_or_else(sync::PoisonError::into_inner)
}

fn holder(nodes: &[CandidateNode]) -> Option<usize> {
    let now = time::Instant::now();
    nodes
        .iter()
        .position(|(machine, _)| lock(machine).held(now).is_some())
}

async fn await_holder(nodes: &[CandidateNode]) {
    while holder(nodes).is_none() {
        time::sleep(std_time::Duration::from_millis(10)).await;
    }
}
