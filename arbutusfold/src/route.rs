//! Routing table of a node: upstream states, their load and the planned routes.
//!
//! The table is updated by upstream reports, by failures and by the start and
//! end of attempts. It reports which models need a new plan. Plans are computed
//! outside the table and then installed, so that choosing a route never waits
//! for planning. The module `choose` selects routes from the table.

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use tokio::time;

use crate::document;
use crate::id;
use crate::load;
use crate::plan;
use crate::upstream;

/// Age above which a report is ignored.
const REPORT_MAX_AGE: std_time::Duration = std_time::Duration::from_secs(5);

/// Time for which an upstream is down after a failed call.
const FAILURE_COOLDOWN: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Suspicion score at which an upstream is ejected.
const SUSPICION_THRESHOLD: f64 = 1.0;

/// Time within which a healthy upstream in use processes a token.
const PROGRESS_WINDOW: std_time::Duration = std_time::Duration::from_millis(100);

/// Suspicion added by one missed report.
const MISSED_REPORT_SUSPICION: f64 = 0.5;

/// Time after an ejection within which another one counts as repeated.
const EJECTION_REPEAT_WINDOW: std_time::Duration = std_time::Duration::from_secs(20);

/// Maximum number of times that repeated ejections double the cooldown.
const COOLDOWN_DOUBLINGS: u32 = 3;

/// Half-life of the suspicion score.
const SUSPICION_HALF_LIFE: std_time::Duration = std_time::Duration::from_secs(2);

/// Minimum time between two plans after an upstream was lost or its layers or
/// failure domain changed.
const URGENT_PLAN_INTERVAL: std_time::Duration = std_time::Duration::from_millis(100);

/// Minimum time between two plans after upstreams were only added or changed
/// their rate.
const RELAXED_PLAN_INTERVAL: std_time::Duration = std_time::Duration::from_secs(1);

/// Relative change of a rate up to which a plan is kept.
const RATE_TOLERANCE: f64 = 0.1;

/// Rate assumed for an engine that reports none, in tokens per second.
const DEFAULT_RATE: u64 = 1_000;

/// Weight of the newest gap in the moving average of an upstream's token gap.
const GAP_WEIGHT: f64 = 0.2;

/// Options for choosing routes.
#[derive(Clone, Copy, Debug)]
pub struct ChoiceOptions {
    /// Source of the load estimates.
    pub source: load::LoadSource,
    /// Number of planned routes drawn for one choice; the best of them is used.
    pub draws: usize,
    /// Whether requests with the same prompt prefix share a route as long as the
    /// saved prefill outweighs the longer queue.
    pub affinity: bool,
}

impl Default for ChoiceOptions {
    fn default() -> Self {
        Self {
            source: load::LoadSource::Blended,
            draws: 2,
            affinity: true,
        }
    }
}

/// Time during which an upstream is down.
///
/// It ends when `until` has passed and a report has arrived after `since`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct DownPeriod {
    since: time::Instant,
    until: time::Instant,
}

/// Records token progress on the upstreams of an attempt without a lock.
#[derive(Clone, Debug)]
pub struct ProgressHandle {
    origin: time::Instant,
    timestamps: Vec<sync::Arc<atomic::AtomicU64>>,
}

impl ProgressHandle {
    /// Records that a token went through every upstream of the attempt.
    pub fn note(&self, now: time::Instant) {
        let micros = micros_since(self.origin, now);
        for timestamp in &self.timestamps {
            timestamp.store(micros, atomic::Ordering::Relaxed);
        }
    }
}

fn micros_since(origin: time::Instant, now: time::Instant) -> u64 {
    now.duration_since(origin).as_micros() as u64
}

/// State of one upstream that can hold layers.
#[derive(Clone, Debug)]
pub(crate) struct UpstreamSlot {
    pub(crate) spec: document::UpstreamSpec,
    pub(crate) incarnation: id::IncarnationNumber,
    pub(crate) held: Vec<upstream::HeldLayers>,
    pub(crate) rate: u64,
    pub(crate) load: load::LoadEstimate,
    reported_at: Option<time::Instant>,
    leaving: bool,
    down: Option<DownPeriod>,
    /// Suspicion score at `suspicion_at`.
    suspicion: f64,
    suspicion_at: Option<time::Instant>,
    /// Consecutive repeated ejections; 0 after the first one.
    ejections: u32,
    ejected_at: Option<time::Instant>,
    gap: Option<std_time::Duration>,
    /// Microseconds from the table's origin to the last processed token.
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
            reported_at: None,
            leaving: false,
            down: None,
            suspicion: 0.0,
            suspicion_at: None,
            ejections: 0,
            ejected_at: None,
            gap: None,
            progress: sync::Arc::default(),
        }
    }

    /// Returns whether it may receive new work.
    pub(crate) fn is_usable(&self, now: time::Instant) -> bool {
        let fresh = self
            .reported_at
            .is_some_and(|reported_at| now.duration_since(reported_at) <= REPORT_MAX_AGE);
        fresh && !self.is_down(now) && !self.leaving
    }

    /// Returns whether it failed and has not recovered yet.
    fn is_down(&self, now: time::Instant) -> bool {
        self.down
            .is_some_and(|down| now < down.until || self.reported_at <= Some(down.since))
    }

    /// Returns when it last processed a token, in microseconds from the table's
    /// origin.
    fn last_progress(&self) -> u64 {
        self.progress.load(atomic::Ordering::Relaxed)
    }

    /// Returns the range of a model's layers that it holds.
    pub(crate) fn holds(&self, model: &document::ModelSpec) -> Option<upstream::LayerRange> {
        self.held
            .iter()
            .find(|held| held.model == model.name && held.version == model.version)
            .map(|held| held.layers)
    }

    /// Returns its current suspicion score, which decays exponentially.
    pub(crate) fn suspicion(&self, now: time::Instant) -> f64 {
        let Some(at) = self.suspicion_at else {
            return 0.0;
        };
        let age = now.duration_since(at).as_secs_f64();
        self.suspicion * (-age / SUSPICION_HALF_LIFE.as_secs_f64()).exp2()
    }

    /// Ejects it because of its suspicion score, without a confirmed failure.
    ///
    /// The first ejection lasts until the next report, which a slow upstream
    /// sends soon. Repeated ejections add a cooldown that doubles each time.
    fn eject(&mut self, now: time::Instant) {
        let recent = self
            .ejected_at
            .is_some_and(|ejected_at| now.duration_since(ejected_at) < EJECTION_REPEAT_WINDOW);
        self.ejections = if recent { self.ejections + 1 } else { 0 };
        self.ejected_at = Some(now);
        let cooldown = match self.ejections {
            0 => std_time::Duration::ZERO,
            ejections => FAILURE_COOLDOWN * (1 << ejections.min(COOLDOWN_DOUBLINGS)),
        };
        self.suspicion_at = None;
        self.down = Some(DownPeriod {
            since: now,
            until: now + cooldown,
        });
    }

    fn apply_report(&mut self, report: &upstream::EngineReport, now: time::Instant) {
        if self.incarnation != report.incarnation {
            self.incarnation = report.incarnation;
            self.load.clear_report();
            self.down = None;
            self.suspicion_at = None;
        }
        let age = std_time::Duration::from_millis(report.age_ms);
        let measured_at = now.checked_sub(age).unwrap_or(now);
        self.load
            .record_report(report.running.saturating_add(report.waiting), measured_at);
        self.held.clone_from(&report.held);
        self.rate = match report.tokens_per_second {
            0 => DEFAULT_RATE,
            rate => rate,
        };
        self.leaving = report.leaving;
        self.reported_at = Some(now);
    }
}

/// A planned route with the data needed to choose it.
#[derive(Clone, Debug)]
pub(crate) struct WeightedRoute {
    pub(crate) stages: Vec<plan::PlannedStage>,
    pub(crate) delay: std_time::Duration,
    pub(crate) weight: u64,
    /// Digest of each stage's upstream name and first layer; stable across plans.
    pub(crate) digest: u64,
}

/// The planned routes of one model.
#[derive(Clone, Debug)]
pub(crate) struct ModelRoutes {
    pub(crate) spec: document::ModelSpec,
    /// Slots of the upstreams in the model's pipelines, in ascending order.
    pub(crate) members: Vec<usize>,
    pub(crate) routes: Vec<WeightedRoute>,
    /// Prefix sums of the route weights, each including its own route.
    pub(crate) cumulative_weights: Vec<u64>,
    pub(crate) bound: u64,
    /// Offers that the installed plan is based on.
    offers: Vec<plan::StageOffer>,
    planned_at: Option<time::Instant>,
}

/// Input for computing a plan that is due.
#[derive(Clone, Debug)]
pub struct PlanTask {
    model: id::ModelName,
    layers: id::LayerIndex,
    offers: Vec<plan::StageOffer>,
    links: sync::Arc<plan::LinkTable>,
    /// Configuration epoch of the table when the task was created.
    epoch: u64,
}

impl PlanTask {
    /// Returns the model that the plan is for.
    pub fn model(&self) -> &str {
        &self.model
    }

    /// Computes the plan.
    pub fn run(&self) -> plan::RoutePlan {
        plan::plan(self.layers, &self.offers, &self.links, plan::ROUTE_LIMIT)
    }
}

/// Routing table: upstreams, their load and the routes over them.
#[derive(Clone, Debug)]
pub struct RouteTable {
    pub(crate) options: ChoiceOptions,
    pub(crate) slots: Vec<UpstreamSlot>,
    pub(crate) models: Vec<ModelRoutes>,
    pub(crate) links: sync::Arc<plan::LinkTable>,
    pub(crate) peers: u32,
    origin: time::Instant,
    /// Number of documents applied so far.
    epoch: u64,
}

impl RouteTable {
    /// Creates a table without upstreams.
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

    /// Applies the upstreams, pipelines, models and links of a document.
    ///
    /// An upstream that keeps its name and address keeps its state. All plans
    /// are discarded.
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
                members: self.member_slots(document, &spec.name),
                routes: Vec::new(),
                cumulative_weights: Vec::new(),
                bound: 0,
                offers: Vec::new(),
                planned_at: None,
            })
            .collect();
        self.models
            .sort_by(|one, other| one.spec.name.cmp(&other.spec.name));
    }

    fn member_slots(&self, document: &document::ConfigDocument, model: &str) -> Vec<usize> {
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

    /// Sets the number of other nodes that send to the same upstreams.
    pub fn set_peers(&mut self, peers: u32) {
        self.peers = peers;
    }

    /// Applies a report of an upstream.
    pub fn apply_report(
        &mut self,
        name: &str,
        report: &upstream::EngineReport,
        now: time::Instant,
    ) {
        if let Some(slot) = self.slot_mut(name) {
            slot.apply_report(report, now);
        }
    }

    /// Invalidates the report of an upstream that no longer reports.
    pub fn clear_report(&mut self, name: &str) {
        if let Some(slot) = self.slot_mut(name) {
            slot.reported_at = None;
        }
    }

    /// Marks an upstream as leaving; the host list may announce it before a report.
    pub fn mark_leaving(&mut self, name: &str) {
        if let Some(slot) = self.slot_mut(name) {
            slot.leaving = true;
        }
    }

    /// Returns the upstreams that are down after failures, refusals or ejections.
    pub fn down_upstreams(&self, now: time::Instant) -> Vec<id::UpstreamName> {
        self.slots
            .iter()
            .filter(|slot| slot.is_down(now))
            .map(|slot| slot.spec.name.clone())
            .collect()
    }

    /// Records that a call to an upstream failed.
    pub fn note_failure(&mut self, name: &str, now: time::Instant) {
        if let Some(slot) = self.slot_mut(name) {
            slot.down = Some(DownPeriod {
                since: now,
                until: now + FAILURE_COOLDOWN,
            });
        }
    }

    /// Records that an upstream refused a stage because it does not hold the
    /// layers; it is down until its next report.
    pub fn note_refusal(&mut self, name: &str, now: time::Instant) {
        if let Some(slot) = self.slot_mut(name) {
            slot.down = Some(DownPeriod {
                since: now,
                until: now,
            });
        }
    }

    /// Records that an upstream did not answer a request for a report.
    pub fn note_missed_report(&mut self, name: &str, now: time::Instant) {
        self.add_suspicion(name, MISSED_REPORT_SUSPICION, now);
    }

    /// Records a failure of a route that cannot be attributed to one stage.
    ///
    /// Upstreams that made recent progress on any attempt are not suspected.
    /// The suspicion is split evenly among the others, whose names are returned.
    pub fn note_route_failure(
        &mut self,
        stages: &[upstream::RouteStage],
        now: time::Instant,
    ) -> Vec<id::UpstreamName> {
        let cutoff = self.progress_cutoff(now);
        let stalled: Vec<_> = stages
            .iter()
            .filter_map(|stage| self.slot(&stage.upstream))
            .filter(|slot| slot.last_progress() <= cutoff)
            .map(|slot| slot.spec.name.clone())
            .collect();
        let share = 1.0 / stalled.len().max(1) as f64;
        for name in &stalled {
            self.add_suspicion(name, share, now);
        }
        stalled
    }

    fn add_suspicion(&mut self, name: &str, amount: f64, now: time::Instant) {
        let Some(slot) = self.slot_mut(name) else {
            return;
        };
        slot.suspicion = slot.suspicion(now) + amount;
        slot.suspicion_at = Some(now);
        if slot.suspicion >= SUSPICION_THRESHOLD && !slot.is_down(now) {
            slot.eject(now);
        }
    }

    /// Counts a started attempt and returns the handle that records its progress.
    pub fn begin(&mut self, stages: &[upstream::RouteStage], now: time::Instant) -> ProgressHandle {
        let mut handle = ProgressHandle {
            origin: self.origin,
            timestamps: Vec::with_capacity(stages.len()),
        };
        for stage in stages {
            if let Some(slot) = self.slot_mut(&stage.upstream) {
                slot.load.begin(now);
                handle.timestamps.push(sync::Arc::clone(&slot.progress));
            }
        }
        handle
    }

    /// Counts an ended attempt and its average token gap, if known.
    ///
    /// A complete answer resets the suspicion scores of its upstreams.
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
                slot.suspicion_at = None;
            }
            if let Some(gap) = outcome.gap {
                slot.gap = Some(slot.gap.map_or(gap, |average| {
                    average.mul_f64(1.0 - GAP_WEIGHT) + gap.mul_f64(GAP_WEIGHT)
                }));
            }
        }
    }

    /// Returns whether an upstream of a route is down and made no recent progress.
    pub fn is_down(&self, stages: &[upstream::RouteStage], now: time::Instant) -> bool {
        let cutoff = self.progress_cutoff(now);
        stages
            .iter()
            .filter_map(|stage| self.slot(&stage.upstream))
            .any(|slot| slot.is_down(now) && slot.last_progress() <= cutoff)
    }

    /// Returns whether every upstream of a route made recent progress, on this or
    /// on other attempts.
    pub fn is_progressing(&self, stages: &[upstream::RouteStage], now: time::Instant) -> bool {
        let cutoff = self.progress_cutoff(now);
        stages
            .iter()
            .filter_map(|stage| self.slot(&stage.upstream))
            .all(|slot| slot.last_progress() > cutoff)
    }

    /// Returns the time after which progress counts as recent, in microseconds
    /// from the origin.
    fn progress_cutoff(&self, now: time::Instant) -> u64 {
        micros_since(self.origin, now).saturating_sub(PROGRESS_WINDOW.as_micros() as u64)
    }

    /// Returns the longest average token gap among the upstreams of a route.
    pub fn recent_gap(&self, stages: &[upstream::RouteStage]) -> Option<std_time::Duration> {
        stages
            .iter()
            .filter_map(|stage| self.slot(&stage.upstream)?.gap)
            .max()
    }

    /// Returns a task for each model whose plan is due.
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

    /// Installs a plan, unless it was computed for an older document.
    pub fn install(&mut self, task: PlanTask, plan: &plan::RoutePlan, now: time::Instant) {
        if task.epoch != self.epoch {
            return;
        }
        let routes: Vec<_> = plan
            .routes
            .iter()
            .filter(|route| route.tokens_per_second > 0)
            .map(|route| self.weighted_route(route))
            .collect();
        let Ok(position) = self
            .models
            .binary_search_by(|model| model.spec.name.cmp(&task.model))
        else {
            return;
        };
        let model = &mut self.models[position];
        model.cumulative_weights = routes
            .iter()
            .scan(0, |sum, route| {
                *sum += route.weight;
                Some(*sum)
            })
            .collect();
        model.routes = routes;
        model.bound = plan.bound;
        model.offers = task.offers;
        model.planned_at = Some(now);
    }

    fn weighted_route(&self, route: &plan::PlannedRoute) -> WeightedRoute {
        let mut hasher = blake3::Hasher::new();
        for stage in &route.stages {
            hasher.update(self.slots[stage.slot].spec.name.as_bytes());
            hasher.update(&stage.layers.from.to_le_bytes());
        }
        let mut digest = [0; 8];
        digest.copy_from_slice(&hasher.finalize().as_bytes()[..8]);
        WeightedRoute {
            stages: route.stages.clone(),
            delay: route.delay,
            weight: route.tokens_per_second,
            digest: u64::from_le_bytes(digest),
        }
    }

    /// Computes and installs every plan that is due and returns the models.
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

    /// Returns the upstreams that may receive new work for a model, sorted by name.
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

    /// Returns the throughput bound of a model's plan in tokens per second.
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

/// An upstream that may receive new work.
#[derive(Clone, Debug)]
pub struct UsableUpstream {
    /// Stage over all layers of the model that it holds.
    pub stage: upstream::RouteStage,
    /// Number of running and waiting attempts in its last report.
    pub reported: f64,
}

/// Outcome of an attempt.
#[derive(Clone, Copy, Debug, Default)]
pub struct AttemptOutcome {
    /// Whether the answer was complete.
    pub complete: bool,
    /// Average time between its tokens.
    pub gap: Option<std_time::Duration>,
}

/// Returns whether the current offers require a new plan now.
fn is_due(model: &ModelRoutes, offers: &[plan::StageOffer], now: time::Instant) -> bool {
    let Some(planned_at) = model.planned_at else {
        return true;
    };
    let interval = match change_urgency(&model.offers, offers) {
        ChangeUrgency::None => return false,
        ChangeUrgency::Urgent => URGENT_PLAN_INTERVAL,
        ChangeUrgency::Relaxed => RELAXED_PLAN_INTERVAL,
    };
    now.duration_since(planned_at) >= interval
}

/// How soon a change of the offers requires a new plan.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ChangeUrgency {
    /// No relevant change.
    None,
    /// Upstreams were added or changed their rate.
    Relaxed,
    /// An upstream was lost, or its layers or failure domain changed.
    Urgent,
}

fn change_urgency(before: &[plan::StageOffer], after: &[plan::StageOffer]) -> ChangeUrgency {
    let find = |slot: usize| {
        after
            .binary_search_by_key(&slot, |offer| offer.slot)
            .ok()
            .map(|position| &after[position])
    };
    let mut change = match after.len() > before.len() {
        true => ChangeUrgency::Relaxed,
        false => ChangeUrgency::None,
    };
    for old in before {
        match find(old.slot) {
            Some(new) if new.layers == old.layers && new.domain == old.domain => {
                let rate_change = new.tokens_per_second.abs_diff(old.tokens_per_second) as f64;
                if rate_change > RATE_TOLERANCE * old.tokens_per_second as f64 {
                    change = ChangeUrgency::Relaxed;
                }
            }
            Some(_) | None => return ChangeUrgency::Urgent,
        }
    }
    change
}

/// A routing table shared between tasks.
#[derive(Debug)]
pub struct SharedRoutes {
    table: sync::Mutex<RouteTable>,
}

impl Default for SharedRoutes {
    fn default() -> Self {
        Self {
            table: sync::Mutex::new(RouteTable::new(ChoiceOptions::default())),
        }
    }
}

impl SharedRoutes {
    /// Locks the table.
    pub fn lock(&self) -> sync::MutexGuard<'_, RouteTable> {
        self.table
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}
