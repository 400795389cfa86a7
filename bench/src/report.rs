//! What a scenario reports, as a table and as JSON.

use hdrhistogram::Histogram;
use serde::Serialize;

/// Largest value that a histogram holds: a minute in nanoseconds.
const HISTOGRAM_LIMIT: u64 = 60_000_000_000;

/// The figures of one scenario.
#[derive(Clone, Debug, Serialize)]
pub struct ScenarioReport {
    /// Name of the scenario.
    pub scenario: String,
    /// Seed that gave the figures.
    pub seed: u64,
    /// Figures in the order of the table.
    pub figures: Vec<FigureRow>,
}

/// One measured figure.
#[derive(Clone, Debug, Serialize)]
pub struct FigureRow {
    /// Fleet that was measured.
    pub fleet: String,
    /// Way of deciding.
    pub way: String,
    /// What was measured, with its unit.
    pub figure: String,
    /// Value.
    pub value: f64,
    /// Target, where there is one.
    pub target: Option<FigureTarget>,
}

/// A bound that a figure must keep.
#[derive(Clone, Copy, Debug, Serialize)]
#[serde(rename_all = "snake_case")]
pub enum FigureTarget {
    /// The figure may not fall below it.
    AtLeast(f64),
    /// The figure may not rise above it.
    AtMost(f64),
}

impl FigureTarget {
    /// Tells whether a value keeps the target.
    pub fn is_met(self, value: f64) -> bool {
        match self {
            FigureTarget::AtLeast(bound) => value >= bound,
            FigureTarget::AtMost(bound) => value <= bound,
        }
    }
}

impl ScenarioReport {
    /// Creates a report without figures.
    pub fn new(scenario: &str, seed: u64) -> Self {
        Self {
            scenario: scenario.to_owned(),
            seed,
            figures: Vec::new(),
        }
    }

    /// Adds a figure.
    pub fn add(
        &mut self,
        fleet: &str,
        way: &str,
        figure: &str,
        value: f64,
        target: Option<FigureTarget>,
    ) {
        self.figures.push(FigureRow {
            fleet: fleet.to_owned(),
            way: way.to_owned(),
            figure: figure.to_owned(),
            value,
            target,
        });
    }

    /// Returns the report as a table in Markdown.
    pub fn to_table(&self) -> String {
        let mut table = format!("## {}, seed {}\n\n", self.scenario, self.seed);
        table.push_str("| fleet | way | figure | value | target | met |\n");
        table.push_str("| --- | --- | --- | ---: | ---: | --- |\n");
        for row in &self.figures {
            let target = match row.target {
                Some(FigureTarget::AtLeast(bound)) => format!("≥ {bound}"),
                Some(FigureTarget::AtMost(bound)) => format!("≤ {bound}"),
                None => String::new(),
            };
            let met = match row.target.map(|target| target.is_met(row.value)) {
                Some(true) => "yes",
                Some(false) => "no",
                None => "",
            };
            table.push_str(&format!(
                "| {} | {} | {} | {:.3} | {target} | {met} |\n",
                row.fleet, row.way, row.figure, row.value
            ));
        }
        table
    }
}

/// Creates a histogram for times; larger values than a minute count as one.
///
/// # Errors
///
/// When the library refuses the bounds.
pub fn histogram() -> anyhow::Result<Histogram<u64>> {
    Ok(Histogram::new_with_bounds(1, HISTOGRAM_LIMIT, 3)?)
}
