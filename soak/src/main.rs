//! Command line program that runs seeds of the soak test.

use std::path;
use std::time;

use arbutusfold_soak::{plan, world};
use bpaf::Bpaf;
use tokio::task;

/// Randomised faults against real gateway processes.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options)]
struct SoakOptions {
    /// Path of the gateway program
    #[bpaf(
        long,
        argument("FILE"),
        fallback(path::PathBuf::from("target/debug/arbutusfold"))
    )]
    program: path::PathBuf,
    /// Folder for settings and logs; those of passing seeds are removed
    #[bpaf(long, argument("FOLDER"), fallback(path::PathBuf::from("target/soak")))]
    folder: path::PathBuf,
    /// First seed
    #[bpaf(long, argument("SEED"), fallback(1))]
    first: u64,
    /// Number of seeds
    #[bpaf(long, argument("COUNT"), fallback(10))]
    seeds: u64,
    /// Number of seeds to run concurrently
    #[bpaf(long, argument("COUNT"), fallback(3))]
    jobs: usize,
    /// Number of gateways
    #[bpaf(long, argument("COUNT"), fallback(4))]
    nodes: usize,
    /// Number of runners
    #[bpaf(long, argument("COUNT"), fallback(10))]
    runners: usize,
    /// Number of faults in each seed
    #[bpaf(long, argument("COUNT"), fallback(12))]
    faults: usize,
    /// Number of cuts of gateways from all runners in each seed, one every ten seconds
    #[bpaf(long, argument("COUNT"), fallback(0))]
    cuts: usize,
    /// Seconds within which every other fault starts
    #[bpaf(long, argument("SECONDS"), fallback(6))]
    seconds: u64,
}

#[tokio::main]
async fn main() -> anyhow::Result<()> {
    let options = soak_options().run();
    let size = plan::SoakSize {
        nodes: options.nodes,
        runners: options.runners,
        plain_runners: 2,
        fault_window: time::Duration::from_secs(options.seconds),
        faults: options.faults,
        cuts: options.cuts,
        proxied: true,
    };
    let mut seeds = options.first..options.first + options.seeds;
    let mut running = task::JoinSet::new();
    let mut failed = 0;
    loop {
        while running.len() < options.jobs.max(1)
            && let Some(seed) = seeds.next()
        {
            let (program, folder) = (options.program.clone(), options.folder.clone());
            running
                .spawn(async move { (seed, world::run_seed(&program, &folder, seed, size).await) });
        }
        let Some(done) = running.join_next().await else {
            break;
        };
        let (seed, result) = done?;
        let report = match result {
            Ok(report) => report,
            Err(error) => world::SeedReport {
                violations: vec![format!("{error:#}")],
                ..world::SeedReport::default()
            },
        };
        let [served, not_run, failed_calls] = report.call_counts;
        println!(
            "seed {seed}: {served} served, {not_run} not run, {failed_calls} failed, \
             {} runs, {} beside a silence only, {} violations",
            report.run_count,
            report.silent_count,
            report.violations.len()
        );
        match report.violations.is_empty() {
            true => std::fs::remove_dir_all(options.folder.join(format!("seed-{seed}")))?,
            false => {
                failed += 1;
                for violation in report.violations.iter().take(10) {
                    println!("    {violation}");
                }
            }
        }
    }
    println!("{} seeds run, {failed} failed", options.seeds);
    anyhow::ensure!(failed == 0, "{failed} seeds failed");
    Ok(())
}
