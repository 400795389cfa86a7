//! Fleets of fake engines at the sizes of the users.

use std::time;

use arbutusfold::{document, upstream};
use rand::RngExt;

/// Model that every fleet serves.
pub const MODEL: &str = "assistant";

/// A kind of accelerator.
#[derive(Clone, Copy, Debug)]
pub struct AcceleratorKind {
    /// Name of the kind.
    pub name: &'static str,
    /// Time of one step.
    pub step: time::Duration,
    /// Tokens that pass in one step.
    pub batch: u32,
}

impl AcceleratorKind {
    /// Returns the tokens a second that pass.
    pub fn rate(&self) -> u64 {
        u64::from(self.batch) * 1_000 / self.step.as_millis().max(1) as u64
    }
}

/// The kinds of accelerators, from the strongest.
const KINDS: [AcceleratorKind; 6] = [
    kind("h", 4, 32),
    kind("g", 4, 24),
    kind("e", 5, 20),
    kind("d", 5, 12),
    kind("c", 6, 10),
    kind("b", 7, 8),
];

const fn kind(name: &'static str, step_ms: u64, batch: u32) -> AcceleratorKind {
    AcceleratorKind {
        name,
        step: time::Duration::from_millis(step_ms),
        batch,
    }
}

/// One runner of a fleet.
#[derive(Clone, Debug)]
pub struct RunnerSpec {
    /// Name of the upstream.
    pub name: String,
    /// Failure domain, by its index.
    pub domain: usize,
    /// Layers that it holds.
    pub layers: upstream::LayerRange,
    /// Kind of its accelerator.
    pub kind: AcceleratorKind,
}

/// A fleet.
#[derive(Clone, Debug)]
pub struct FleetSpec {
    /// Name in the tables.
    pub name: &'static str,
    /// Layers of the model.
    pub layers: u32,
    /// Number of entry hosts.
    pub nodes: usize,
    /// Failure domains.
    pub domains: Vec<String>,
    /// Runners.
    pub runners: Vec<RunnerSpec>,
    /// Links between the failure domains.
    pub links: Vec<document::LinkSpec>,
}

/// Returns the fleets of both users; `seed` draws the accelerators.
pub fn users(rng: &mut impl rand::Rng) -> [FleetSpec; 2] {
    [novia_lima(rng), te_ara(rng)]
}

/// Three equal ranges of layers on accelerators drawn at random.
fn novia_lima(rng: &mut impl rand::Rng) -> FleetSpec {
    let ranges = [(0, 8), (8, 16), (16, 24)];
    let layers = (0..30).map(|index| ranges[index / 3 % 3]).collect();
    fleet("novia-lima", "pe", layers, rng)
}

/// Unequal ranges of layers that overlap.
fn te_ara(rng: &mut impl rand::Rng) -> FleetSpec {
    let ranges = [
        (0, 10),
        (8, 18),
        (16, 24),
        (0, 14),
        (10, 24),
        (12, 24),
        (0, 8),
    ];
    let layers = (0..30)
        .map(|index| ranges[index / 3 % ranges.len()])
        .collect();
    fleet("te-ara", "nz", layers, rng)
}

fn fleet(
    name: &'static str,
    prefix: &str,
    layers: Vec<(u32, u32)>,
    rng: &mut impl rand::Rng,
) -> FleetSpec {
    let domains: Vec<_> = ["a", "b", "c"]
        .iter()
        .map(|letter| format!("{prefix}-{letter}"))
        .collect();
    let runners = layers
        .iter()
        .enumerate()
        .map(|(index, &(from, to))| RunnerSpec {
            name: format!("runner-{index:02}"),
            domain: index % domains.len(),
            layers: upstream::LayerRange { from, to },
            kind: KINDS[rng.random_range(0..KINDS.len())],
        })
        .collect();
    // The links differ a hundredfold in what they carry.
    let links = vec![
        link(&domains, 0, 1, 300, 12_500_000_000),
        link(&domains, 1, 2, 500, 1_250_000_000),
        link(&domains, 0, 2, 900, 125_000_000),
    ];
    FleetSpec {
        name,
        layers: 24,
        nodes: 9,
        domains,
        runners,
        links,
    }
}

fn link(
    domains: &[String],
    from: usize,
    to: usize,
    delay_us: u64,
    bytes_per_second: u64,
) -> document::LinkSpec {
    document::LinkSpec {
        from: domains[from].clone(),
        to: domains[to].clone(),
        delay_us: time::Duration::from_micros(delay_us),
        bytes_per_second,
    }
}

impl FleetSpec {
    /// Returns the document that describes the fleet.
    pub fn document(&self) -> document::ConfigDocument {
        let names: Vec<_> = self.runners.iter().map(|spec| spec.name.clone()).collect();
        document::ConfigDocument {
            models: vec![document::ModelSpec {
                name: MODEL.to_owned(),
                layers: self.layers,
                version: "1".to_owned(),
            }],
            pipelines: vec![document::PipelineSpec {
                name: MODEL.to_owned(),
                model: MODEL.to_owned(),
                upstreams: names,
                replicas: 1,
            }],
            upstreams: self
                .runners
                .iter()
                .enumerate()
                .map(|(index, spec)| self.upstream(index, spec))
                .collect(),
            links: self.links.clone(),
            ..document::ConfigDocument::default()
        }
    }

    fn upstream(&self, index: usize, spec: &RunnerSpec) -> document::UpstreamSpec {
        document::UpstreamSpec {
            name: spec.name.clone(),
            address: ([127, 0, 0, 1], 1 + index as u16).into(),
            domain: self.domains[spec.domain].clone(),
            accelerator: spec.kind.name.to_owned(),
            capacity_layers: spec.layers.to - spec.layers.from,
            checks_fencing: false,
        }
    }

    /// Returns the delay one way between two failure domains.
    pub fn delay(&self, one: usize, other: usize) -> time::Duration {
        let ends = [&self.domains[one], &self.domains[other]];
        self.links
            .iter()
            .find(|link| ends == [&link.from, &link.to] || ends == [&link.to, &link.from])
            .map_or(time::Duration::ZERO, |link| link.delay_us)
    }
}
