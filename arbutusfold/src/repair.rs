//! Repair of layer cover and spare capacity, without I/O.
//!
//! The holder of the repair lease compares the runners that hold each layer
//! with the number that the document asks for, and chooses loads on hosts
//! that are free or hold only surplus. Hosts count as is_lost after a grace and
//! as usable after a while without a gap, longer with each gap, so that a host
//! that comes and goes causes no storm of loads.

mod driver;

use std::collections;
use std::time as std_time;

use tokio::time;

use crate::document;
use crate::id;
use crate::order;
use crate::upstream;

pub use driver::{REPAIR_LEASE, poll_lease, run, still_holds};

/// Time for which a silent upstream still counts as holding its layers.
pub const LOSS_GRACE: std_time::Duration = std_time::Duration::from_secs(5);

/// Time without a gap after which an upstream is given loads.
const STABLE_TIME: std_time::Duration = std_time::Duration::from_secs(5);

/// Longest time without a gap that is asked of an upstream.
const STABLE_TIME_LIMIT: std_time::Duration = std_time::Duration::from_secs(320);

/// Time after which a gap is forgotten.
const GAP_RETENTION: std_time::Duration = std_time::Duration::from_secs(600);

/// Time after which a load that was not finished counts as failed.
const LOAD_LIMIT: std_time::Duration = std_time::Duration::from_secs(600);

/// Layers a second that all loads together take from the weight store.
const FETCH_LAYERS_PER_SECOND: f64 = 8.0;

/// Layers that may be loaded at once after a pause.
const FETCH_BURST_LAYERS: f64 = 64.0;

/// A load to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLoad {
    /// Upstream that is to load.
    pub upstream: id::UpstreamName,
    /// State that it is to reach.
    pub target: order::EngineTarget,
    /// Layers that it must fetch from the weight store.
    pub layers_to_fetch: id::LayerIndex,
    /// Cause, for the event.
    pub cause: String,
}

/// What the repair knows of one upstream.
#[derive(Clone, Debug)]
struct RepairUpstream {
    name: id::UpstreamName,
    held: Vec<upstream::HeldLayers>,
    rate: u64,
    leaving: bool,
    is_reporting: bool,
    /// Since when it is is_reporting or silent.
    since: time::Instant,
    gaps: Vec<time::Instant>,
    loading: Option<ActiveLoad>,
}

#[derive(Clone, Debug)]
struct ActiveLoad {
    held: Vec<upstream::HeldLayers>,
    begun: time::Instant,
}

impl RepairUpstream {
    /// Returns what counts as cover: what it holds, or will once loaded.
    fn coverage(&self, now: time::Instant) -> &[upstream::HeldLayers] {
        let is_lost = !self.is_reporting && now.duration_since(self.since) >= LOSS_GRACE;
        match &self.loading {
            _ if is_lost || self.leaving => &[],
            Some(loading) => &loading.held,
            None => &self.held,
        }
    }

    /// Tells whether it was is_reporting without a gap for long enough.
    fn is_stable(&self, now: time::Instant) -> bool {
        let required = STABLE_TIME * 2_u32.saturating_pow(self.gaps.len().min(8) as u32);
        self.is_reporting && now.duration_since(self.since) >= required.min(STABLE_TIME_LIMIT)
    }
}

/// A run of layers with the same number of runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoverageRange {
    /// Layers.
    pub layers: upstream::LayerRange,
    /// Runners that hold them or will.
    pub runners: u32,
}

/// Keeps the state of all upstreams and plans loads.
#[derive(Clone, Debug, Default)]
pub struct RepairPlanner {
    upstreams: Vec<RepairUpstream>,
    fetch_budget: Option<(f64, time::Instant)>,
}

impl RepairPlanner {
    /// Takes what is known of an upstream now; no report means silence.
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
                        rate: 0,
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
            upstream.rate = report.tokens_per_second;
            upstream.leaving = report.leaving;
        }
        let load_ended = upstream.loading.as_ref().is_some_and(|loading| {
            loading.held == upstream.held || now.duration_since(loading.begun) >= LOAD_LIMIT
        });
        let is_lost = !upstream.is_reporting && now.duration_since(upstream.since) >= LOSS_GRACE;
        if load_ended || is_lost {
            upstream.loading = None;
        }
    }

    /// Forgets the loads of an earlier time as holder.
    pub fn reset_loads(&mut self) {
        self.upstreams
            .iter_mut()
            .for_each(|upstream| upstream.loading = None);
    }

    /// Tells whether an upstream is still to finish a load.
    pub fn is_loading(&self, name: &str) -> bool {
        self.find(name)
            .is_ok_and(|index| self.upstreams[index].loading.is_some())
    }

    /// Returns the runners of each layer of a pipeline, as ranges.
    pub fn coverage(
        &self,
        model: &document::ModelSpec,
        pipeline: &document::PipelineSpec,
        now: time::Instant,
    ) -> Vec<CoverageRange> {
        ranges(&self.counts(model, pipeline, now))
    }

    /// Returns the loads that restore the cover the document asks for.
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
                        begun: now,
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
                std::cmp::Reverse(candidate.rate),
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
                "layers {} to {} of {} have {} of {} runners",
                range.layers.from, range.layers.to, model.name, range.runners, pipeline.replicas
            ),
        })
    }

    /// Counts the runners that hold each layer or will.
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

    /// Takes layers from the weight store's rate; tells whether they are free.
    fn reserve_fetch(&mut self, layers: f64, now: time::Instant) -> bool {
        let (available, refilled_at) = self.fetch_budget.unwrap_or((FETCH_BURST_LAYERS, now));
        let elapsed = now.duration_since(refilled_at).as_secs_f64();
        let available = FETCH_BURST_LAYERS.min(available + elapsed * FETCH_LAYERS_PER_SECOND);
        // A load larger than the burst waits for a full one and leaves a debt.
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
    rate: u64,
}

/// What a range of layers needs.
struct RangeNeed<'a> {
    model: &'a document::ModelSpec,
    range: CoverageRange,
    /// Runners of each layer of the model.
    counts: &'a [u32],
    replicas: u32,
}

impl RangeNeed<'_> {
    fn is_same_model(&self, held: &upstream::HeldLayers) -> bool {
        held.model == self.model.name && held.version == self.model.version
    }

    /// Tells whether enough others hold these layers.
    fn is_surplus(&self, held: &upstream::HeldLayers) -> bool {
        let has_surplus = |layer| {
            self.counts
                .get(layer)
                .is_none_or(|count| *count > self.replicas)
        };
        !self.is_same_model(held) || indices(held.layers).all(has_surplus)
    }
}

/// Returns what a host could load of a range, if it is free to.
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
        rate: upstream.rate,
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

/// Returns the pipelines of a document whose cover lacks runners, by name.
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
