//! Planner that restores the number of replicas of each layer, without I/O.
//!
//! The holder of the repair lease compares the number of upstreams that hold
//! each layer with the replicas that the document requires. It plans loads on
//! upstreams that hold nothing, or nothing that is needed: layers with more
//! replicas than required, or layers of another model or version.
//!
//! An upstream counts as lost after a grace period without reports. It gets loads
//! only after a time without a gap in its reports. This time doubles with each
//! recent gap, so that a flapping upstream does not cause a storm of loads.

mod driver;

use std::collections;
use std::time as std_time;

use tokio::time;

use crate::document;
use crate::id;
use crate::order;
use crate::upstream;

pub use driver::{REPAIR_LEASE, poll_lease, run, still_holds};

/// Grace period for which an upstream without reports still counts as holding its
/// layers.
pub const LOSS_GRACE: std_time::Duration = std_time::Duration::from_secs(5);

/// Time without a gap in its reports after which an upstream may get loads.
///
/// It doubles with each gap of the last [`GAP_RETENTION`].
const STABLE_TIME: std_time::Duration = std_time::Duration::from_secs(5);

/// Maximum time without a gap that is required of an upstream.
const STABLE_TIME_LIMIT: std_time::Duration = std_time::Duration::from_secs(320);

/// Time after which a gap no longer counts.
const GAP_RETENTION: std_time::Duration = std_time::Duration::from_secs(600);

/// Time after which an unfinished load counts as failed.
const LOAD_LIMIT: std_time::Duration = std_time::Duration::from_secs(600);

/// Layers per second that all loads in total may fetch from the weight store.
const FETCH_LAYERS_PER_SECOND: f64 = 8.0;

/// Number of layers that may be fetched in a burst.
const FETCH_BURST_LAYERS: f64 = 64.0;

/// A load to be ordered.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLoad {
    /// Upstream that loads the layers.
    pub upstream: id::UpstreamName,
    /// State to reach.
    pub target: order::EngineTarget,
    /// Number of layers to fetch from the weight store.
    pub layers_to_fetch: id::LayerIndex,
    /// Reason for the load, for the event log.
    pub cause: String,
}

/// State of one upstream.
#[derive(Clone, Debug)]
struct RepairUpstream {
    name: id::UpstreamName,
    held: Vec<upstream::HeldLayers>,
    tokens_per_second: u64,
    leaving: bool,
    is_reporting: bool,
    /// Time of the last change of `is_reporting`.
    since: time::Instant,
    gaps: Vec<time::Instant>,
    loading: Option<ActiveLoad>,
}

#[derive(Clone, Debug)]
struct ActiveLoad {
    held: Vec<upstream::HeldLayers>,
    started_at: time::Instant,
}

impl RepairUpstream {
    /// Returns the layers that count for coverage: those that it holds, or will
    /// hold after the load in progress.
    fn coverage(&self, now: time::Instant) -> &[upstream::HeldLayers] {
        let is_lost = !self.is_reporting && now.duration_since(self.since) >= LOSS_GRACE;
        match &self.loading {
            _ if is_lost || self.leaving => &[],
            Some(loading) => &loading.held,
            None => &self.held,
        }
    }

    /// Returns whether it has reported without a gap for long enough.
    fn is_stable(&self, now: time::Instant) -> bool {
        let required = STABLE_TIME * 2_u32.saturating_pow(self.gaps.len().min(8) as u32);
        self.is_reporting && now.duration_since(self.since) >= required.min(STABLE_TIME_LIMIT)
    }
}

/// Adjacent layers that the same number of runners holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoverageRange {
    /// Range of the layers.
    pub layers: upstream::LayerRange,
    /// Number of runners that hold them, including loads in progress.
    pub runners: u32,
}

/// Tracks the state of all upstreams and plans loads.
#[derive(Clone, Debug, Default)]
pub struct RepairPlanner {
    upstreams: Vec<RepairUpstream>,
    fetch_budget: Option<(f64, time::Instant)>,
}

impl RepairPlanner {
    /// Updates the state of an upstream; `None` means that it does not report.
    pub fn update(
        &mut self,
        name: &str,
        report: Option<&upstream::EngineReport>,
        now: time::Instant,
    ) {
        let index = match self.find(name) {
            Ok(index) => index,
            Err(index) => {
                self.upstreams.insert(
                    index,
                    RepairUpstream {
                        name: name.to_owned(),
                        held: Vec::new(),
                        tokens_per_second: 0,
                        leaving: false,
                        is_reporting: report.is_some(),
                        since: now,
                        gaps: Vec::new(),
                        loading: None,
                    },
                );
                index
            }
        };
        let upstream = &mut self.upstreams[index];
        upstream
            .gaps
            .retain(|gap| now.duration_since(*gap) < GAP_RETENTION);
        if upstream.is_reporting != report.is_some() {
            upstream.is_reporting = report.is_some();
            upstream.since = now;
            if report.is_none() {
                upstream.gaps.push(now);
            }
        }
        if let Some(report) = report {
            upstream.held.clone_from(&report.held);
            upstream.held.sort_unstable();
            upstream.tokens_per_second = report.tokens_per_second;
            upstream.leaving = report.leaving;
        }
        let load_ended = upstream.loading.as_ref().is_some_and(|loading| {
            loading.held == upstream.held || now.duration_since(loading.started_at) >= LOAD_LIMIT
        });
        let is_lost = !upstream.is_reporting && now.duration_since(upstream.since) >= LOSS_GRACE;
        if load_ended || is_lost {
            upstream.loading = None;
        }
    }

    /// Discards the loads that were planned under an earlier lease.
    pub fn reset_loads(&mut self) {
        self.upstreams
            .iter_mut()
            .for_each(|upstream| upstream.loading = None);
    }

    /// Returns whether a load of an upstream is in progress.
    pub fn is_loading(&self, name: &str) -> bool {
        self.find(name)
            .is_ok_and(|index| self.upstreams[index].loading.is_some())
    }

    /// Returns the number of runners of each layer of a pipeline, as ranges.
    pub fn coverage(
        &self,
        model: &document::ModelSpec,
        pipeline: &document::PipelineSpec,
        now: time::Instant,
    ) -> Vec<CoverageRange> {
        ranges(&self.counts(model, pipeline, now))
    }

    /// Returns the loads that restore the replicas that the document requires.
    pub fn plan(
        &mut self,
        document: &document::ConfigDocument,
        now: time::Instant,
    ) -> Vec<PlannedLoad> {
        let mut loads = Vec::new();
        for pipeline in &document.pipelines {
            let Some(model) = document.model(&pipeline.model) else {
                continue;
            };
            while let Some(load) = self.next_load(document, model, pipeline, now) {
                if !self.reserve_fetch(f64::from(load.layers_to_fetch), now) {
                    return loads;
                }
                if let Ok(index) = self.find(&load.upstream) {
                    self.upstreams[index].loading = Some(ActiveLoad {
                        held: load.target.held.clone(),
                        started_at: now,
                    });
                }
                loads.push(load);
            }
        }
        loads
    }

    fn next_load(
        &self,
        document: &document::ConfigDocument,
        model: &document::ModelSpec,
        pipeline: &document::PipelineSpec,
        now: time::Instant,
    ) -> Option<PlannedLoad> {
        let counts = self.counts(model, pipeline, now);
        let range = ranges(&counts)
            .into_iter()
            .filter(|range| range.runners < pipeline.replicas)
            .min_by_key(|range| (range.runners, range.layers.from))?;
        let candidates = pipeline.upstreams.iter().filter_map(|name| {
            let upstream = &self.upstreams[self.find(name).ok()?];
            let spec = document.upstream(name)?;
            let need = RangeNeed {
                model,
                range,
                counts: &counts,
                replicas: pipeline.replicas,
            };
            load_candidate(upstream, spec, &need, now)
        });
        let best = candidates.min_by_key(|candidate| {
            (
                std::cmp::Reverse(candidate.layers.to - candidate.layers.from),
                candidate.layers_to_fetch,
                std::cmp::Reverse(candidate.tokens_per_second),
            )
        })?;
        let held = upstream::HeldLayers {
            model: model.name.clone(),
            version: model.version.clone(),
            layers: best.layers,
        };
        Some(PlannedLoad {
            upstream: best.name.to_owned(),
            target: order::EngineTarget {
                held: vec![held],
                role: order::EngineRole::Mixed,
            },
            layers_to_fetch: best.layers_to_fetch,
            cause: format!(
                "layers {}..{} of model {} have {} of {} runners",
                range.layers.from, range.layers.to, model.name, range.runners, pipeline.replicas
            ),
        })
    }

    /// Counts the runners of each layer, including loads in progress.
    fn counts(
        &self,
        model: &document::ModelSpec,
        pipeline: &document::PipelineSpec,
        now: time::Instant,
    ) -> Vec<u32> {
        let mut counts = vec![0; model.layers as usize];
        let upstreams = pipeline
            .upstreams
            .iter()
            .filter_map(|name| self.find(name).ok())
            .map(|index| &self.upstreams[index]);
        for held in upstreams.flat_map(|upstream| upstream.coverage(now)) {
            if held.model != model.name || held.version != model.version {
                continue;
            }
            for layer in indices(held.layers) {
                if let Some(count) = counts.get_mut(layer) {
                    *count += 1;
                }
            }
        }
        counts
    }

    /// Takes layers from the rate budget of the weight store; returns whether the
    /// fetch is within the budget.
    fn reserve_fetch(&mut self, layers: f64, now: time::Instant) -> bool {
        let (available, refilled_at) = self.fetch_budget.unwrap_or((FETCH_BURST_LAYERS, now));
        let elapsed = now.duration_since(refilled_at).as_secs_f64();
        let available = FETCH_BURST_LAYERS.min(available + elapsed * FETCH_LAYERS_PER_SECOND);
        // A load larger than the burst waits for the full budget and overdraws it.
        let granted = available >= layers.min(FETCH_BURST_LAYERS);
        let remaining = if granted {
            available - layers
        } else {
            available
        };
        self.fetch_budget = Some((remaining, now));
        granted
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.upstreams
            .binary_search_by(|upstream| upstream.name.as_str().cmp(name))
    }
}

struct LoadCandidate<'a> {
    name: &'a str,
    layers: upstream::LayerRange,
    layers_to_fetch: id::LayerIndex,
    tokens_per_second: u64,
}

/// A range of layers with too few replicas.
struct RangeNeed<'a> {
    model: &'a document::ModelSpec,
    range: CoverageRange,
    /// Number of runners of each layer of the model.
    counts: &'a [u32],
    replicas: u32,
}

impl RangeNeed<'_> {
    fn is_same_model(&self, held: &upstream::HeldLayers) -> bool {
        held.model == self.model.name && held.version == self.model.version
    }

    /// Returns whether enough other runners hold these layers.
    fn is_surplus(&self, held: &upstream::HeldLayers) -> bool {
        let has_surplus = |layer| {
            self.counts
                .get(layer)
                .is_none_or(|count| *count > self.replicas)
        };
        !self.is_same_model(held) || indices(held.layers).all(has_surplus)
    }
}

/// Returns the layers of a range that an upstream could load, if it may get a
/// load.
fn load_candidate<'a>(
    upstream: &'a RepairUpstream,
    spec: &document::UpstreamSpec,
    need: &RangeNeed<'_>,
    now: time::Instant,
) -> Option<LoadCandidate<'a>> {
    let usable = upstream.is_stable(now) && !upstream.leaving && upstream.loading.is_none();
    let surplus = upstream.held.iter().all(|held| need.is_surplus(held));
    if !usable || !surplus || spec.capacity_layers == 0 {
        return None;
    }
    let wanted = need.range.layers;
    let width = (wanted.to - wanted.from).min(spec.capacity_layers);
    let layers = upstream::LayerRange {
        from: wanted.from,
        to: wanted.from + width,
    };
    let present: id::LayerIndex = upstream
        .held
        .iter()
        .filter(|held| need.is_same_model(held))
        .map(|held| {
            let from = held.layers.from.max(layers.from);
            held.layers.to.min(layers.to).saturating_sub(from)
        })
        .sum();
    Some(LoadCandidate {
        name: &upstream.name,
        layers,
        layers_to_fetch: width.saturating_sub(present),
        tokens_per_second: upstream.tokens_per_second,
    })
}

fn indices(layers: upstream::LayerRange) -> std::ops::Range<usize> {
    layers.from as usize..layers.to as usize
}

fn ranges(counts: &[u32]) -> Vec<CoverageRange> {
    let mut ranges: Vec<CoverageRange> = Vec::new();
    for (layer, runners) in counts.iter().enumerate() {
        let next = layer as id::LayerIndex + 1;
        match ranges.last_mut() {
            Some(last) if last.runners == *runners => last.layers.to = next,
            _ => ranges.push(CoverageRange {
                layers: upstream::LayerRange {
                    from: next - 1,
                    to: next,
                },
                runners: *runners,
            }),
        }
    }
    ranges
}

/// Returns the names of the pipelines that have layers with too few replicas, each
/// with its lowest number of runners of a layer.
pub fn under_replicated<'a>(
    planner: &RepairPlanner,
    document: &'a document::ConfigDocument,
    now: time::Instant,
) -> collections::BTreeMap<&'a str, u32> {
    document
        .pipelines
        .iter()
        .filter_map(|pipeline| {
            let model = document.model(&pipeline.model)?;
            let lowest = planner
                .coverage(model, pipeline, now)
                .iter()
                .map(|range| range.runners)
                .min()?;
            (lowest < pipeline.replicas).then_some((pipeline.name.as_str(), lowest))
        })
        .collect()
}
