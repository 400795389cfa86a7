//! Repair of layer cover and spare capacity, without I/O.
//!
//! The holder of the repair lease compares the runners that hold each layer
//! with the number that the document asks for, and chooses loads on hosts
//! that are free or hold only surplus. Hosts count as gone after a grace and
//! as usable after a while without a gap, longer with each gap, so that a host
//! that comes and goes causes no storm of loads.

mod carry;

use std::collections;
use std::time as std_time;

use tokio::time;

use crate::document;
use crate::id;
use crate::order;
use crate::upstream;

pub use carry::{REPAIR_LEASE, beat, keep, still_holds};

/// Time for which a silent upstream still counts as holding its layers.
pub const LOSS_GRACE: std_time::Duration = std_time::Duration::from_secs(5);

/// Time without a gap after which an upstream is given loads.
const STEADY_TIME: std_time::Duration = std_time::Duration::from_secs(5);

/// Longest time without a gap that is asked of an upstream.
const STEADY_LIMIT: std_time::Duration = std_time::Duration::from_secs(320);

/// Time after which a gap is forgotten.
const GAP_MEMORY: std_time::Duration = std_time::Duration::from_secs(600);

/// Time after which a load that was not finished counts as failed.
const LOAD_LIMIT: std_time::Duration = std_time::Duration::from_secs(600);

/// Layers a second that all loads together take from the weight store.
const STORE_LAYERS_PER_SECOND: f64 = 8.0;

/// Layers that may be loaded at once after a pause.
const STORE_BURST_LAYERS: f64 = 64.0;

/// A load to order.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PlannedLoad {
    /// Upstream that is to load.
    pub upstream: id::UpstreamName,
    /// State that it is to reach.
    pub target: order::EngineTarget,
    /// Layers that it must fetch from the weight store.
    pub fetched: id::LayerIndex,
    /// Cause, for the event.
    pub cause: String,
}

/// What the repair knows of one upstream.
#[derive(Clone, Debug)]
struct RepairHost {
    name: id::UpstreamName,
    held: Vec<upstream::HeldLayers>,
    rate: u64,
    leaving: bool,
    heard: bool,
    /// Since when it is heard or silent.
    since: time::Instant,
    gaps: Vec<time::Instant>,
    loading: Option<HostLoading>,
}

#[derive(Clone, Debug)]
struct HostLoading {
    held: Vec<upstream::HeldLayers>,
    begun: time::Instant,
}

impl RepairHost {
    /// Returns what counts as cover: what it holds, or will once loaded.
    fn cover(&self, now: time::Instant) -> &[upstream::HeldLayers] {
        let gone = !self.heard && now.duration_since(self.since) >= LOSS_GRACE;
        match &self.loading {
            _ if gone || self.leaving => &[],
            Some(loading) => &loading.held,
            None => &self.held,
        }
    }

    /// Tells whether it was heard without a gap for long enough.
    fn is_steady(&self, now: time::Instant) -> bool {
        let doubled = STEADY_TIME * 2_u32.saturating_pow(self.gaps.len().min(8) as u32);
        self.heard && now.duration_since(self.since) >= doubled.min(STEADY_LIMIT)
    }
}

/// A run of layers with the same number of runners.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct CoverRange {
    /// Layers.
    pub layers: upstream::LayerRange,
    /// Runners that hold them or will.
    pub runners: u32,
}

/// Keeps the state of all upstreams and plans loads.
#[derive(Clone, Debug, Default)]
pub struct RepairKeeper {
    hosts: Vec<RepairHost>,
    store: Option<(f64, time::Instant)>,
}

impl RepairKeeper {
    /// Takes what is known of an upstream now; no report means silence.
    pub fn hear(
        &mut self,
        name: &str,
        report: Option<&upstream::EngineReport>,
        now: time::Instant,
    ) {
        let place = match self.find(name) {
            Ok(place) => place,
            Err(place) => {
                self.hosts.insert(
                    place,
                    RepairHost {
                        name: name.to_owned(),
                        held: Vec::new(),
                        rate: 0,
                        leaving: false,
                        heard: report.is_some(),
                        since: now,
                        gaps: Vec::new(),
                        loading: None,
                    },
                );
                place
            }
        };
        let host = &mut self.hosts[place];
        host.gaps
            .retain(|gap| now.duration_since(*gap) < GAP_MEMORY);
        if host.heard != report.is_some() {
            host.heard = report.is_some();
            host.since = now;
            if report.is_none() {
                host.gaps.push(now);
            }
        }
        if let Some(report) = report {
            host.held.clone_from(&report.held);
            host.held.sort_unstable();
            host.rate = report.tokens_per_second;
            host.leaving = report.leaving;
        }
        let done = host.loading.as_ref().is_some_and(|loading| {
            loading.held == host.held || now.duration_since(loading.begun) >= LOAD_LIMIT
        });
        let gone = !host.heard && now.duration_since(host.since) >= LOSS_GRACE;
        if done || gone {
            host.loading = None;
        }
    }

    /// Forgets the loads of an earlier time as holder.
    pub fn reset_loads(&mut self) {
        self.hosts.iter_mut().for_each(|host| host.loading = None);
    }

    /// Tells whether an upstream is still to finish a load.
    pub fn is_loading(&self, name: &str) -> bool {
        self.find(name)
            .is_ok_and(|place| self.hosts[place].loading.is_some())
    }

    /// Returns the runners of each layer of a pipeline, as ranges.
    pub fn cover(
        &self,
        model: &document::ModelSpec,
        pipeline: &document::PipelineSpec,
        now: time::Instant,
    ) -> Vec<CoverRange> {
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
                if !self.take_store(f64::from(load.fetched), now) {
                    return loads;
                }
                if let Ok(place) = self.find(&load.upstream) {
                    self.hosts[place].loading = Some(HostLoading {
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
        let lacking = ranges(&counts)
            .into_iter()
            .filter(|range| range.runners < pipeline.replicas)
            .min_by_key(|range| (range.runners, range.layers.from))?;
        let free = pipeline.upstreams.iter().filter_map(|name| {
            let host = &self.hosts[self.find(name).ok()?];
            let spec = document.upstream(name)?;
            self.offer(host, spec, model, lacking, &counts, pipeline.replicas, now)
        });
        let best = free.min_by_key(|offer| {
            (
                std::cmp::Reverse(offer.layers.to - offer.layers.from),
                offer.fetched,
                std::cmp::Reverse(offer.rate),
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
            fetched: best.fetched,
            cause: format!(
                "layers {} to {} of {} have {} of {} runners",
                lacking.layers.from,
                lacking.layers.to,
                model.name,
                lacking.runners,
                pipeline.replicas
            ),
        })
    }

    /// Returns what a host could load of a range, if it is free to.
    #[allow(clippy::too_many_arguments)]
    fn offer<'a>(
        &self,
        host: &'a RepairHost,
        spec: &document::UpstreamSpec,
        model: &document::ModelSpec,
        lacking: CoverRange,
        counts: &[u32],
        replicas: u32,
        now: time::Instant,
    ) -> Option<HostOffer<'a>> {
        let usable = host.is_steady(now) && !host.leaving && host.loading.is_none();
        if !usable || spec.capacity_layers == 0 {
            return None;
        }
        // Its layers must be held by enough others if it gives them up.
        let surplus = host.held.iter().all(|held| {
            held.model != model.name
                || held.version != model.version
                || indices(held.layers)
                    .all(|layer| counts.get(layer).is_none_or(|count| *count > replicas))
        });
        if !surplus {
            return None;
        }
        let width = (lacking.layers.to - lacking.layers.from).min(spec.capacity_layers);
        let layers = upstream::LayerRange {
            from: lacking.layers.from,
            to: lacking.layers.from + width,
        };
        let present = host
            .held
            .iter()
            .filter(|held| held.model == model.name && held.version == model.version)
            .map(|held| {
                let from = held.layers.from.max(layers.from);
                held.layers.to.min(layers.to).saturating_sub(from)
            })
            .sum::<id::LayerIndex>();
        Some(HostOffer {
            name: &host.name,
            layers,
            fetched: width.saturating_sub(present),
            rate: host.rate,
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
        let hosts = pipeline
            .upstreams
            .iter()
            .filter_map(|name| self.find(name).ok())
            .map(|place| &self.hosts[place]);
        for held in hosts.flat_map(|host| host.cover(now)) {
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
    fn take_store(&mut self, layers: f64, now: time::Instant) -> bool {
        let (held, counted) = self.store.unwrap_or((STORE_BURST_LAYERS, now));
        let passed = now.duration_since(counted).as_secs_f64();
        let held = STORE_BURST_LAYERS.min(held + passed * STORE_LAYERS_PER_SECOND);
        // A load larger than the burst waits for a full one and leaves a debt.
        let free = held >= layers.min(STORE_BURST_LAYERS);
        let left = if free { held - layers } else { held };
        self.store = Some((left, now));
        free
    }

    fn find(&self, name: &str) -> Result<usize, usize> {
        self.hosts
            .binary_search_by(|host| host.name.as_str().cmp(name))
    }
}

struct HostOffer<'a> {
    name: &'a str,
    layers: upstream::LayerRange,
    fetched: id::LayerIndex,
    rate: u64,
}

fn indices(layers: upstream::LayerRange) -> std::ops::Range<usize> {
    layers.from as usize..layers.to as usize
}

fn ranges(counts: &[u32]) -> Vec<CoverRange> {
    let mut ranges: Vec<CoverRange> = Vec::new();
    for (layer, runners) in counts.iter().enumerate() {
        let next = layer as id::LayerIndex + 1;
        match ranges.last_mut() {
            Some(last) if last.runners == *runners => last.layers.to = next,
            _ => ranges.push(CoverRange {
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
pub fn lacking<'a>(
    keeper: &RepairKeeper,
    document: &'a document::ConfigDocument,
    now: time::Instant,
) -> collections::BTreeMap<&'a str, u32> {
    document
        .pipelines
        .iter()
        .filter_map(|pipeline| {
            let model = document.model(&pipeline.model)?;
            let lowest = keeper
                .cover(model, pipeline, now)
                .iter()
                .map(|range| range.runners)
                .min()?;
            (lowest < pipeline.replicas).then_some((pipeline.name.as_str(), lowest))
        })
        .collect()
}
