//! What a node knows of the upstreams that hold layers, and the plans it keeps.
//!
//! The keeper hears reports, failures and the begin and end of attempts. It
//! says which models want a new plan; the plan is made outside of it and
//! installed, so that no choice waits for one. `choose` picks routes.

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use tokio::time;

use crate::document;
use crate::id;
use crate::load;
use crate::plan;
use crate::upstream;

/// Age from which a report no longer counts.
const REPORT_LIFE: std_time::Duration = std_time::Duration::from_secs(5);

/// Time for which an upstream that failed is passed over.
const FAILURE_PAUSE: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Evidence at which an upstream counts as failed.
const EVIDENCE_LIMIT: f64 = 1.0;

/// Time in which an upstream that is in use and well passes a token.
const RECENT_PASS: std_time::Duration = std_time::Duration::from_millis(100);

/// Evidence of one report that did not come.
const SILENCE_EVIDENCE: f64 = 0.5;

/// Time after which an upstream's strikes are forgotten.
const STRIKE_LIFE: std_time::Duration = std_time::Duration::from_secs(20);

/// Doublings of the pause that strikes in a row cost.
const STRIKE_LIMIT: u32 = 3;

/// Time in which evidence halves.
const EVIDENCE_HALF_LIFE: std_time::Duration = std_time::Duration::from_secs(2);

/// Shortest time between two plans when an upstream went or changed.
const URGENT_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Shortest time between two plans when upstreams only came or changed speed.
const RELAXED_PERIOD: std_time::Duration = std_time::Duration::from_secs(1);

/// Change of a rate, in parts of it, below which a plan stays.
const RATE_TOLERANCE: f64 = 0.1;

/// Rate assumed of an engine that reports none, in tokens a second.
const DEFAULT_RATE: u64 = 1_000;

/// Weight of the newest gap in the average of an upstream.
const GAP_WEIGHT: f64 = 0.2;

/// How routes are chosen.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceOptions {
    /// Sources of the load estimates.
    pub source: load::LoadSource,
    /// Planned routes drawn for one choice, of which the best is taken.
    pub draws: usize,
    /// Whether requests with one prefix are kept together where it pays.
    pub affinity: bool,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        Self {
            source: load::LoadSource::Blend,
            draws: 2,
            affinity: true,
        }
    }
}

/// Since when an upstream is passed over: until a time and until it reports again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DownMark {
    since: time::Instant,
    until: time::Instant,
}

/// When the upstreams of an attempt last passed a token, told without a lock.
#[derive(Clone, Debug)]
pub struct ProgressMark {
    origin: time::Instant,
    marks: Vec<sync::Arc<atomic::AtomicU64>>,
}

impl ProgressMark {
    /// Notes that a token passed every upstream of the attempt.
    pub fn note(&self, now: time::Instant) {
        let micros = micros_since(self.origin, now);
        for mark in &self.marks {
            mark.store(micros, atomic::Ordering::Relaxed);
        }
    }
}

fn micros_since(origin: time::Instant, now: time::Instant) -> u64 {
    now.duration_since(origin).as_micros() as u64
}

/// What a node knows of one upstream that holds layers.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamSlot {
    pub(crate) spec: document::UpstreamSpec,
    pub(crate) incarnation: id::IncarnationNumber,
    pub(crate) held: Vec<upstream::HeldLayers>,
    pub(crate) rate: u64,
    pub(crate) load: load::LoadEstimate,
    heard: Option<time::Instant>,
    leaving: bool,
    down: Option<DownMark>,
    evidence: f64,
    evidence_at: Option<time::Instant>,
    strikes: u32,
    struck: Option<time::Instant>,
    gap: Option<std_time::Duration>,
    /// Microseconds from the keeper's origin to the last token that passed.
    progress: sync::Arc<atomic::AtomicU64>,
}

impl UpstreamSlot {
    fn new(spec: &document::UpstreamSpec) -> Self {
        Self {
            spec: spec.clone(),
            incarnation: 0,
            held: Vec::new(),
            rate: DEFAULT_RATE,
            load: load::LoadEstimate::default(),
            heard: None,
            leaving: false,
            down: None,
            evidence: 0.0,
            evidence_at: None,
            strikes: 0,
            struck: None,
            gap: None,
            progress: sync::Arc::default(),
        }
    }

    /// Tells whether new work may be sent there.
    pub(crate) fn is_usable(&self, now: time::Instant) -> bool {
        let fresh = self
            .heard
            .is_some_and(|heard| now.duration_since(heard) <= REPORT_LIFE);
        fresh && !self.is_down(now) && !self.leaving
    }

    /// Tells whether it failed and has not come back.
    fn is_down(&self, now: time::Instant) -> bool {
        self.down
            .is_some_and(|down| now < down.until || self.heard <= Some(down.since))
    }

    /// Returns when it last passed a token, in microseconds from the keeper's origin.
    fn passed_at(&self) -> u64 {
        self.progress.load(atomic::Ordering::Relaxed)
    }

    /// Returns the layers of a model that it holds.
    pub(crate) fn holds(&self, model: &document::ModelSpec) -> Option<upstream::LayerRange> {
        self.held
            .iter()
            .find(|held| held.model == model.name && held.version == model.version)
            .map(|held| held.layers)
    }

    /// Returns the evidence against it, which fades.
    pub(crate) fn evidence(&self, now: time::Instant) -> f64 {
        let Some(at) = self.evidence_at else {
            return 0.0;
        };
        let age = now.duration_since(at).as_secs_f64();
        self.evidence * (-age / EVIDENCE_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Takes it out of use on evidence alone: the first time until it reports,
    /// which a slow upstream does soon, then for longer each time.
    fn strike(&mut self, now: time::Instant) {
        let recent = self
            .struck
            .is_some_and(|struck| now.duration_since(struck) < STRIKE_LIFE);
        self.strikes = if recent { self.strikes + 1 } else { 0 };
        self.struck = Some(now);
        let pause = match self.strikes {
            0 => std_time::Duration::ZERO,
            strikes => FAILURE_PAUSE * (1 << strikes.min(STRIKE_LIMIT)),
        };
        self.evidence_at = None;
        self.down = Some(DownMark {
            since: now,
            until: now + pause,
        });
    }

    fn hear(&mut self, report: &upstream::EngineReport, now: time::Instant) {
        if self.incarnation != report.incarnation {
            self.incarnation = report.incarnation;
            self.load.forget();
            self.down = None;
            self.evidence_at = None;
        }
        let age = std_time::Duration::from_millis(report.age_ms);
        let taken = now.checked_sub(age).unwrap_or(now);
        self.load
            .hear(report.running.saturating_add(report.waiting), taken);
        self.held.clone_from(&report.held);
        self.rate = match report.tokens_per_second {
            0 => DEFAULT_RATE,
            rate => rate,
        };
        self.leaving = report.leaving;
        self.heard = Some(now);
    }
}

/// A planned route as choices read it.
#[derive(Clone, Debug)]
pub(crate) struct ReadyRoute {
    pub(crate) stages: Vec<plan::PlannedStage>,
    pub(crate) delay: std_time::Duration,
    pub(crate) weight: u64,
    /// Digest of the upstreams' names, the same in every plan.
    pub(crate) digest: u64,
}

/// The routes of one model.
#[derive(Clone, Debug)]
pub(crate) struct ModelRoutes {
    pub(crate) spec: document::ModelSpec,
    /// Slots of the upstreams in the model's pipelines.
    pub(crate) members: Vec<usize>,
    pub(crate) routes: Vec<ReadyRoute>,
    /// Sums of the weights up to and with each route.
    pub(crate) sums: Vec<u64>,
    pub(crate) bound: u64,
    offers: Vec<plan::StageOffer>,
    planned: Option<time::Instant>,
}

/// Input of a plan that is due.
#[derive(Clone, Debug)]
pub struct PlanTask {
    model: id::ModelName,
    layers: id::LayerIndex,
    offers: Vec<plan::StageOffer>,
    links: sync::Arc<plan::LinkTable>,
    epoch: u64,
}

impl PlanTask {
    /// Returns the model that the plan is for.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Makes the plan.
    pub fn run(&self) -> plan::RoutePlan {
        plan::plan(self.layers, &self.offers, &self.links, plan::ROUTE_LIMIT)
    }
}

/// Upstreams, their load and the routes over them.
#[derive(Clone, Debug)]
pub struct RouteKeeper {
    pub(crate) options: ChoiceOptions,
    pub(crate) slots: Vec<UpstreamSlot>,
    pub(crate) models: Vec<ModelRoutes>,
    pub(crate) links: sync::Arc<plan::LinkTable>,
    pub(crate) peers: u32,
    origin: time::Instant,
    epoch: u64,
}

impl RouteKeeper {
    /// Creates a keeper that knows no upstream.
    pub fn new(options: ChoiceOptions) -> Self {
        Self {
            options,
            slots: Vec::new(),
            models: Vec::new(),
            links: sync::Arc::default(),
            peers: 0,
            origin: time::Instant::now(),
            epoch: 0,
        }
    }

    /// Takes upstreams, pipelines, models and links from a document.
    pub fn configure(&mut self, document: &document::ConfigDocument) {
        let mut slots: Vec<_> = document
            .upstreams
            .iter()
            .filter(|spec| spec.capacity_layers > 0)
            .map(|spec| match self.slot(&spec.name) {
                Some(slot) if slot.spec.address == spec.address => UpstreamSlot {
                    spec: spec.clone(),
                    ..slot.clone()
                },
                Some(_) | None => UpstreamSlot::new(spec),
            })
            .collect();
        slots.sort_by(|one, other| one.spec.name.cmp(&other.spec.name));
        self.slots = slots;
        self.links = sync::Arc::new(plan::LinkTable::new(&document.links));
        self.epoch += 1;
        self.models = document
            .models
            .iter()
            .map(|spec| ModelRoutes {
                spec: spec.clone(),
                members: self.members(document, &spec.name),
                routes: Vec::new(),
                sums: Vec::new(),
                bound: 0,
                offers: Vec::new(),
                planned: None,
            })
            .collect();
        self.models
            .sort_by(|one, other| one.spec.name.cmp(&other.spec.name));
    }

    fn members(&self, document: &document::ConfigDocument, model: &str) -> Vec<usize> {
        let mut members: Vec<_> = document
            .pipelines
            .iter()
            .filter(|pipeline| pipeline.model == model)
            .flat_map(|pipeline| &pipeline.upstreams)
            .filter_map(|name| self.position(name))
            .collect();
        members.sort_unstable();
        members.dedup();
        members
    }

    /// Sets how many other nodes send to the same upstreams.
    pub fn set_peers(&mut self, peers: u32) {
        self.peers = peers;
    }

    /// Takes a report.
    pub fn hear(&mut self, name: &str, report: &upstream::EngineReport, now: time::Instant) {
        if let Some(slot) = self.slot_mut(name) {
            slot.hear(report, now);
        }
    }

    /// Notes that an upstream no longer reports.
    pub fn lose(&mut self, name: &str) {
        if let Some(slot) = self.slot_mut(name) {
            slot.heard = None;
        }
    }

    /// Notes that an upstream is leaving, as the host list may tell first.
    pub fn leave(&mut self, name: &str) {
        if let Some(slot) = self.slot_mut(name) {
            slot.leaving = true;
        }
    }

    /// Returns the upstreams that are passed over because calls to them failed.
    pub fn doubted(&self, now: time::Instant) -> Vec<id::UpstreamName> {
        self.slots
            .iter()
            .filter(|slot| slot.is_down(now))
            .map(|slot| slot.spec.name.clone())
            .collect()
    }

    /// Notes that an upstream failed a call.
    pub fn note_failure(&mut self, name: &str, now: time::Instant) {
        if let Some(slot) = self.slot_mut(name) {
            slot.down = Some(DownMark {
                since: now,
                until: now + FAILURE_PAUSE,
            });
        }
    }

    /// Notes that an upstream refused a stage that it does not hold.
    pub fn note_refusal(&mut self, name: &str, now: time::Instant) {
        if let Some(slot) = self.slot_mut(name) {
            slot.down = Some(DownMark {
                since: now,
                until: now,
            });
        }
    }

    /// Notes that an upstream did not answer when asked for a report.
    pub fn note_silence(&mut self, name: &str, now: time::Instant) {
        self.add_evidence(name, SILENCE_EVIDENCE, now);
    }

    /// Notes that a route passes nothing, nobody knows why.
    ///
    /// An upstream that passes tokens of other attempts is cleared; the
    /// evidence is shared by the others, whose names are returned.
    pub fn note_suspicion(
        &mut self,
        stages: &[upstream::RouteStage],
        now: time::Instant,
    ) -> Vec<id::UpstreamName> {
        let since = self.recent_pass(now);
        let silent: Vec<_> = stages
            .iter()
            .filter_map(|stage| self.slot(&stage.upstream))
            .filter(|slot| slot.passed_at() <= since)
            .map(|slot| slot.spec.name.clone())
            .collect();
        let share = 1.0 / silent.len().max(1) as f64;
        for name in &silent {
            self.add_evidence(name, share, now);
        }
        silent
    }

    fn add_evidence(&mut self, name: &str, share: f64, now: time::Instant) {
        let Some(slot) = self.slot_mut(name) else {
            return;
        };
        slot.evidence = slot.evidence(now) + share;
        slot.evidence_at = Some(now);
        if slot.evidence >= EVIDENCE_LIMIT && !slot.is_down(now) {
            slot.strike(now);
        }
    }

    /// Counts an attempt that begins and returns where its progress is told.
    pub fn begin(&mut self, stages: &[upstream::RouteStage], now: time::Instant) -> ProgressMark {
        let mut mark = ProgressMark {
            origin: self.origin,
            marks: Vec::with_capacity(stages.len()),
        };
        for stage in stages {
            if let Some(slot) = self.slot_mut(&stage.upstream) {
                slot.load.begin(now);
                mark.marks.push(sync::Arc::clone(&slot.progress));
            }
        }
        mark
    }

    /// Counts an attempt that ended, with its average gap where it had one.
    ///
    /// An attempt that ended well clears its upstreams.
    pub fn end(
        &mut self,
        stages: &[upstream::RouteStage],
        outcome: AttemptOutcome,
        now: time::Instant,
    ) {
        for stage in stages {
            let Some(slot) = self.slot_mut(&stage.upstream) else {
                continue;
            };
            slot.load.end(now);
            if outcome.complete && slot.incarnation == stage.incarnation {
                slot.evidence_at = None;
            }
            if let Some(gap) = outcome.gap {
                slot.gap = Some(slot.gap.map_or(gap, |known| {
                    known.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT)
                }));
            }
        }
    }

    /// Tells whether an upstream of a route is down and passes nothing.
    pub fn is_down(&self, stages: &[upstream::RouteStage], now: time::Instant) -> bool {
        let since = self.recent_pass(now);
        stages
            .iter()
            .filter_map(|stage| self.slot(&stage.upstream))
            .any(|slot| slot.is_down(now) && slot.passed_at() <= since)
    }

    /// Tells whether every upstream of a route passes tokens.
    pub fn is_passing(&self, stages: &[upstream::RouteStage], now: time::Instant) -> bool {
        let since = self.recent_pass(now);
        stages
            .iter()
            .filter_map(|stage| self.slot(&stage.upstream))
            .all(|slot| slot.passed_at() > since)
    }

    /// Returns since when a token must have passed an upstream that is well, in
    /// microseconds from the origin.
    fn recent_pass(&self, now: time::Instant) -> u64 {
        micros_since(self.origin, now).saturating_sub(RECENT_PASS.as_micros() as u64)
    }

    /// Returns the token gap that the upstreams of a route showed of late.
    pub fn recent_gap(&self, stages: &[upstream::RouteStage]) -> Option<std_time::Duration> {
        stages
            .iter()
            .filter_map(|stage| self.slot(&stage.upstream)?.gap)
            .max()
    }

    /// Returns the plans that are due.
    pub fn due(&self, now: time::Instant) -> Vec<PlanTask> {
        self.models
            .iter()
            .filter_map(|model| {
                let offers = self.offers(model, now);
                is_due(model, &offers, now).then(|| PlanTask {
                    model: model.spec.name.clone(),
                    layers: model.spec.layers,
                    offers,
                    links: sync::Arc::clone(&self.links),
                    epoch: self.epoch,
                })
            })
            .collect()
    }

    /// Puts a plan into use; one made for an older document is dropped.
    pub fn install(&mut self, task: PlanTask, plan: &plan::RoutePlan, now: time::Instant) {
        if task.epoch != self.epoch {
            return;
        }
        let routes: Vec<_> = plan
            .routes
            .iter()
            .filter(|route| route.tokens_per_second > 0)
            .map(|route| self.ready(route))
            .collect();
        let Ok(position) = self
            .models
            .binary_search_by(|model| model.spec.name.cmp(&task.model))
        else {
            return;
        };
        let model = &mut self.models[position];
        model.sums = routes
            .iter()
            .scan(0, |sum, route| {
                *sum += route.weight;
                Some(*sum)
            })
            .collect();
        model.routes = routes;
        model.bound = plan.bound;
        model.offers = task.offers;
        model.planned = Some(now);
    }

    fn ready(&self, route: &plan::PlannedRoute) -> ReadyRoute {
        let mut hasher = blake3::Hasher::new();
        for stage in &route.stages {
            hasher.update(self.slots[stage.slot].spec.name.as_bytes());
            hasher.update(&stage.layers.from.to_le_bytes());
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        ReadyRoute {
            stages: route.stages.clone(),
            delay: route.delay,
            weight: route.tokens_per_second,
            digest: u64::from_le_bytes(digest),
        }
    }

    /// Makes and installs every plan that is due, and returns their models.
    pub fn refresh(&mut self, now: time::Instant) -> Vec<id::ModelName> {
        let tasks = self.due(now);
        tasks
            .into_iter()
            .map(|task| {
                let plan = task.run();
                let model = task.model.clone();
                self.install(task, &plan, now);
                model
            })
            .collect()
    }

    /// Returns every upstream that may take new work for a model, by name.
    pub fn usable(&self, model: &str, now: time::Instant) -> Vec<UsableUpstream> {
        let Some(model) = self.model(model) else {
            return Vec::new();
        };
        self.offers(model, now)
            .iter()
            .map(|offer| {
                let slot = &self.slots[offer.slot];
                UsableUpstream {
                    stage: upstream::RouteStage {
                        upstream: slot.spec.name.clone(),
                        incarnation: slot.incarnation,
                        address: slot.spec.address,
                        layers: offer.layers,
                    },
                    reported: slot.load.total(load::LoadSource::Reported, 0, now),
                }
            })
            .collect()
    }

    /// Returns the number of layers of a model.
    pub fn layers(&self, model: &str) -> Option<id::LayerIndex> {
        self.model(model).map(|model| model.spec.layers)
    }

    /// Returns the bound of a model's plan in tokens a second.
    pub fn bound(&self, model: &str) -> Option<u64> {
        self.model(model).map(|model| model.bound)
    }

    fn offers(&self, model: &ModelRoutes, now: time::Instant) -> Vec<plan::StageOffer> {
        model
            .members
            .iter()
            .filter_map(|&position| {
                let slot = &self.slots[position];
                let layers = slot.holds(&model.spec)?;
                slot.is_usable(now).then(|| plan::StageOffer {
                    slot: position,
                    domain: slot.spec.domain.clone(),
                    layers,
                    tokens_per_second: slot.rate,
                })
            })
            .collect()
    }

    pub(crate) fn model(&self, name: &str) -> Option<&ModelRoutes> {
        self.models
            .binary_search_by(|model| model.spec.name.as_str().cmp(name))
            .ok()
            .map(|position| &self.models[position])
    }

    pub(crate) fn position(&self, name: &str) -> Option<usize> {
        self.slots
            .binary_search_by(|slot| slot.spec.name.as_str().cmp(name))
            .ok()
    }

    pub(crate) fn slot(&self, name: &str) -> Option<&UpstreamSlot> {
        self.position(name).map(|position| &self.slots[position])
    }

    fn slot_mut(&mut self, name: &str) -> Option<&mut UpstreamSlot> {
        self.position(name)
            .map(|position| &mut self.slots[position])
    }
}

/// An upstream that may take new work.
#[derive(Clone, Debug)]
pub struct UsableUpstream {
    /// The layers that it holds as one stage.
    pub stage: upstream::RouteStage,
    /// Attempts that it last reported.
    pub reported: f64,
}

/// How an attempt ended.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptOutcome {
    /// Whether its answer was complete.
    pub complete: bool,
    /// Average time between its tokens.
    pub gap: Option<std_time::Duration>,
}

/// Tells whether what is offered now wants another plan.
fn is_due(model: &ModelRoutes, offers: &[plan::StageOffer], now: time::Instant) -> bool {
    let Some(planned) = model.planned else {
        return true;
    };
    let period = match compare(&model.offers, offers) {
        OfferChange::None => return false,
        OfferChange::Gone => URGENT_PERIOD,
        OfferChange::Came => RELAXED_PERIOD,
    };
    now.duration_since(planned) >= period
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum OfferChange {
    None,
    Came,
    Gone,
}

fn compare(before: &[plan::StageOffer], after: &[plan::StageOffer]) -> OfferChange {
    let find = |slot: usize| {
        after
            .binary_search_by_key(&slot, |offer| offer.slot)
            .ok()
            .map(|position| &after[position])
    };
    let mut change = match after.len() > before.len() {
        true => OfferChange::Came,
        false => OfferChange::None,
    };
    for old in before {
        match find(old.slot) {
            Some(new) if new.layers == old.layers && new.domain == old.domain => {
                let moved = new.tokens_per_second.abs_diff(old.tokens_per_second) as f64;
                if moved > RATE_TOLERANCE * old.tokens_per_second as f64 {
                    change = OfferChange::Came;
                }
            }
            Some(_) | None => return OfferChange::Gone,
        }
    }
    change
}

/// A keeper that tasks share.
#[derive(Debug)]
pub struct RouteDesk {
    keeper: sync::Mutex<RouteKeeper>,
}

impl Default for RouteDesk {
    fn default() -> Self {
        Self {
            keeper: sync::Mutex::new(RouteKeeper::new(ChoiceOptions::default())),
        }
    }
}

impl RouteDesk {
    /// Returns the keeper, locked.
    pub fn lock(&self) -> sync::MutexGuard<'_, RouteKeeper> {
        self.keeper
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
