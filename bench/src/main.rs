//! Measures the decisions of arbutusfold on a paused clock.

use arbutusfold_bench::scenario;
use bpaf::Bpaf;

/// Measures decisions with small fakes and prints a table.
#[derive(Clone, Debug, Bpaf)]
#[bpaf(options, version)]
struct BenchOptions {
    /// Print JSON instead of a table.
    #[bpaf(long, switch)]
    json: bool,
    /// Seed of every random choice.
    #[bpaf(long, argument("NUMBER"), fallback(1))]
    seed: u64,
    /// Scenarios to run; all when none is named.
    #[bpaf(positional("SCENARIO"))]
    names: Vec<String>,
}

fn main() -> anyhow::Result<()> {
    let options = bench_options().run();
    let chosen = scenario::select(&options.names)?;
    let mut reports = Vec::new();
    for scenario in chosen {
        reports.push(scenario.run(options.seed)?);
    }
    match options.json {
        true => println!("{}", serde_json::to_string_pretty(&reports)?),
        false => reports
            .iter()
            .for_each(|report| println!("{}", report.to_table())),
    }
    Ok(())
}
