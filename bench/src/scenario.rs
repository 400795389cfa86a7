//! The scenarios by name.

use anyhow::Context;

use crate::address;
use crate::admission_cost;
use crate::capacity;
use crate::concurrency;
use crate::config;
use crate::crashing_request;
use crate::decision_cost;
use crate::domain_loss;
use crate::fairness;
use crate::fleet_limit;
use crate::full_outage;
use crate::health;
use crate::latency;
use crate::length_reserve;
use crate::member;
use crate::organisation_share;
use crate::prompt_mix;
use crate::ranked_intake;
use crate::record;
use crate::report;
use crate::saturation;
use crate::stage_death;

/// A measurement that can be run by name.
pub struct BenchScenario {
    /// Name on the command line.
    pub name: &'static str,
    /// Measures with a seed.
    measure: fn(u64) -> anyhow::Result<report::ScenarioReport>,
}

/// Every scenario, in the order of the output.
const SCENARIOS: &[BenchScenario] = &[
    BenchScenario {
        name: "saturation",
        measure: saturation::measure,
    },
    BenchScenario {
        name: "domain-loss",
        measure: domain_loss::measure,
    },
    BenchScenario {
        name: "stage-death",
        measure: stage_death::measure,
    },
    BenchScenario {
        name: "latency",
        measure: latency::measure,
    },
    BenchScenario {
        name: "decision-cost",
        measure: decision_cost::measure,
    },
    BenchScenario {
        name: "member",
        measure: member::measure,
    },
    BenchScenario {
        name: "health",
        measure: health::measure,
    },
    BenchScenario {
        name: "address",
        measure: address::measure,
    },
    BenchScenario {
        name: "capacity",
        measure: capacity::measure,
    },
    BenchScenario {
        name: "config",
        measure: config::measure,
    },
    BenchScenario {
        name: "fairness",
        measure: fairness::measure,
    },
    BenchScenario {
        name: "fleet-limit",
        measure: fleet_limit::measure,
    },
    BenchScenario {
        name: "concurrency",
        measure: concurrency::measure,
    },
    BenchScenario {
        name: "full-outage",
        measure: full_outage::measure,
    },
    BenchScenario {
        name: "crashing-request",
        measure: crashing_request::measure,
    },
    BenchScenario {
        name: "admission-cost",
        measure: admission_cost::measure,
    },
    BenchScenario {
        name: "record",
        measure: record::measure,
    },
    BenchScenario {
        name: "ranked-intake",
        measure: ranked_intake::measure,
    },
    BenchScenario {
        name: "organisation-share",
        measure: organisation_share::measure,
    },
    BenchScenario {
        name: "length-reserve",
        measure: length_reserve::measure,
    },
    BenchScenario {
        name: "prompt-mix",
        measure: prompt_mix::measure,
    },
];

impl BenchScenario {
    /// Runs the scenario.
    ///
    /// # Errors
    ///
    /// When the fleet cannot be set up.
    pub fn run(&self, seed: u64) -> anyhow::Result<report::ScenarioReport> {
        (self.measure)(seed)
    }
}

/// Returns the scenarios of these names, or all when none is given.
///
/// # Errors
///
/// When a name is unknown.
pub fn select(names: &[String]) -> anyhow::Result<Vec<&'static BenchScenario>> {
    if names.is_empty() {
        return Ok(SCENARIOS.iter().collect());
    }
    names
        .iter()
        .map(|name| {
            SCENARIOS
                .iter()
                .find(|scenario| scenario.name == name)
                .with_context(|| format!("there is no scenario {name:?}"))
        })
        .collect()
}
