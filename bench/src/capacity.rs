//! Real idle processes: processor time and memory of a node by fleet size.

use std::time;

use arbutusfold_standin::fleet;

use crate::cost;
use crate::report::{FigureTarget, ScenarioReport};

/// Numbers of nodes.
const SIZES: [usize; 4] = [6, 12, 24, 36];

/// Number of nodes in two years.
const DESIGN_SIZE: f64 = 400.0;

/// Time over which processor time is counted.
const WINDOW: time::Duration = time::Duration::from_secs(10);

/// Measures idle fleets of real processes on loopback.
///
/// # Errors
///
/// When a fleet cannot be started.
pub fn measure(seed: u64) -> anyhow::Result<ScenarioReport> {
    let mut report = ScenarioReport::new("capacity", seed);
    let runtime = tokio::runtime::Runtime::new()?;
    let mut shares = Vec::new();
    let mut memories = Vec::new();
    for size in SIZES {
        let (share, memory) = runtime.block_on(measure_size(size))?;
        let fleet = format!("{size} processes");
        report.add(&fleet, "idle", "processor, % of a core a node", share, None);
        report.add(&fleet, "idle", "resident memory, MB a node", memory, None);
        let size = size as f64;
        shares.push(cost::CostPoint { size, value: share });
        memories.push(cost::CostPoint {
            size,
            value: memory,
        });
    }
    let share = cost::on_line(&shares, DESIGN_SIZE);
    let memory = cost::on_line(&memories, DESIGN_SIZE);
    let fleet = "400 nodes by the slope";
    let most = |bound| Some(FigureTarget::AtMost(bound));
    report.add(
        fleet,
        "idle",
        "processor, % of a core a node",
        share,
        most(3.1),
    );
    report.add(
        fleet,
        "idle",
        "resident memory, MB a node",
        memory,
        most(64.0),
    );
    Ok(report)
}

/// Returns the mean processor share in percent and memory in MB of a node.
async fn measure_size(size: usize) -> anyhow::Result<(f64, f64)> {
    let name = format!("arbutusfold-capacity-{}-{size}", std::process::id());
    let options = fleet::FleetOptions {
        nodes: size,
        domains: 3,
        layers: 6,
        ranges: 2,
        replicas: 3,
        step: time::Duration::from_millis(1),
        answer_keep: time::Duration::from_secs(10),
        directory: std::env::temp_dir().join(name),
    };
    let directory = options.directory.clone();
    let fleet = fleet::TestFleet::start(options).await?;
    fleet.submit(0, &fleet.document()).await?;
    fleet.await_members(time::Duration::from_secs(20)).await?;
    tokio::time::sleep(time::Duration::from_secs(3)).await;
    let processes = fleet
        .nodes
        .iter()
        .map(|node| procfs::process::Process::new(node.process.id().cast_signed()))
        .collect::<Result<Vec<_>, _>>()?;
    let used = |processes: &[procfs::process::Process]| -> anyhow::Result<f64> {
        let times = processes.iter().map(cost::of_process);
        let times = times.collect::<anyhow::Result<Vec<_>>>()?;
        Ok(times.iter().map(time::Duration::as_secs_f64).sum())
    };
    let before = used(&processes)?;
    tokio::time::sleep(WINDOW).await;
    let after = used(&processes)?;
    let share = (after - before) / WINDOW.as_secs_f64() / size as f64 * 100.0;
    let memories = processes.iter().map(cost::resident);
    let memories = memories.collect::<anyhow::Result<Vec<_>>>()?;
    let memory = memories.iter().sum::<u64>() as f64 / size as f64 / 1e6;
    drop(fleet);
    std::fs::remove_dir_all(directory)?;
    Ok((share, memory))
}
