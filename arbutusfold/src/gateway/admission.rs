//! Admission of streaming requests to scarce room: the state of one node, and the wait
//! of each request.
//!
//! The decisions are made in [`intake`], [`shares`] and [`returns`]; this module
//! collects what they rest on. Without the setting `wait_limit` it does nothing.

use std::sync;
use std::time as std_time;

use arbutusfold_platform::document;
use rand::RngExt;
use tokio::sync as tokio_sync;
use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::demand;
use crate::gateway::fleet;
use crate::gateway::intake;
use crate::gateway::leader;
use crate::gateway::metrics;
use crate::gateway::request;
use crate::gateway::returns;
use crate::gateway::room;
use crate::gateway::selector;
use crate::gateway::shares;
use crate::gateway::stream_path;
use crate::gateway::waiting;
use crate::id;

/// Time for which a measured room is used again. Within it no report changes much.
const ROOM_PERIOD: std_time::Duration = std_time::Duration::from_millis(20);

/// Time after which a waiting request looks for room again without a signal: rooms and
/// retries also become free without one.
const SEEK_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Time for which no path is sought for a service after none was found, unless a request
/// ends or a summary arrives.
const MISSING_PERIOD: std_time::Duration = std_time::Duration::from_millis(100);

/// Time after which an arrival counts for a third in the rate of arrivals.
const ARRIVAL_MEMORY: std_time::Duration = std_time::Duration::from_secs(2);

/// Arrivals per second below which a rank is left out of the demand.
const MIN_ARRIVALS: f64 = 0.01;

/// Report periods until a send shows up in the sums of the other nodes.
const HORIZON_PERIODS: u32 = 2;

/// Time between two updates of the demand that this node tells.
const PUBLISH_PERIOD: std_time::Duration = std_time::Duration::from_millis(50);

/// Organisations in the demand that this node tells.
const ORGANISATION_LIMIT: usize = 64;

/// A wait leaves this multiple of the mean time from a send to the first event, in which
/// most first events come.
const FIRST_EVENT_FACTOR: u32 = 2;

/// Largest part of the callers' patience that a wait leaves to the first event.
const FIRST_EVENT_SHARE: f64 = 0.4;

/// Resumed streams wait for room for this fraction of their callers' patience; some of
/// it has passed before the stream is given up.
const RESUMED_PATIENCE: f64 = 0.5;

/// Requests of one rank that arrived and were sent a short time ago.
#[derive(Clone, Debug, Default)]
struct RankActivity {
    rank: demand::RequestRank,
    /// Arrivals per second when it was last changed.
    rate: f64,
    changed_at: Option<time::Instant>,
    /// Times of sends within the horizon.
    sends: Vec<time::Instant>,
}

impl RankActivity {
    fn arrivals(&self, now: time::Instant) -> f64 {
        self.changed_at.map_or(0.0, |changed_at| {
            let age = now.saturating_duration_since(changed_at);
            self.rate * (-age.as_secs_f64() / ARRIVAL_MEMORY.as_secs_f64()).exp()
        })
    }

    fn note_arrival(&mut self, now: time::Instant) {
        self.rate = self.arrivals(now) + 1.0 / ARRIVAL_MEMORY.as_secs_f64();
        self.changed_at = Some(now);
    }

    /// Returns the requests of the rank at this node.
    fn count(
        &mut self,
        waiting: f64,
        horizon: std_time::Duration,
        now: time::Instant,
    ) -> intake::RankCount {
        self.sends.retain(|sent_at| now < *sent_at + horizon);
        intake::RankCount {
            rank: self.rank,
            own_waiting: waiting,
            waiting,
            arrivals: self.arrivals(now),
            recent: self.sends.len() as f64,
        }
    }
}

/// A search that found no path to send on. It is not repeated for a while.
#[derive(Clone, Copy, Debug)]
struct MissingPath {
    until: time::Instant,
    /// Tokens of the request; smaller ones may find a path.
    tokens: f64,
    error: selector::PathError,
}

/// State of one service.
#[derive(Clone, Debug, Default)]
struct ServiceActivity {
    service: demand::ServiceKey,
    /// Activity by rank, sorted by rank.
    ranks: Vec<RankActivity>,
    /// Requests in flight, sorted by organisation.
    in_flight: Vec<(demand::OrganisationKey, u32)>,
    run_times: room::RunAverage,
    /// Times from a send to the first event.
    first_times: room::RunAverage,
    measured: Option<(time::Instant, room::RoomReport)>,
    missing: Option<MissingPath>,
    /// Random number that rounds this node's part of the room, and until when it is
    /// used.
    draw: f64,
    draw_until: Option<time::Instant>,
}

impl ServiceActivity {
    fn rank_mut(&mut self, rank: demand::RequestRank) -> &mut RankActivity {
        let found = self.ranks.binary_search_by_key(&rank, |known| known.rank);
        let index = found.unwrap_or_else(|index| {
            let fresh = RankActivity {
                rank,
                ..RankActivity::default()
            };
            self.ranks.insert(index, fresh);
            index
        });
        &mut self.ranks[index]
    }

    fn change_in_flight(
        &mut self,
        organisation: demand::OrganisationKey,
        change: impl FnOnce(u32) -> u32,
    ) {
        let found = self
            .in_flight
            .binary_search_by_key(&organisation, |(key, _)| *key);
        let index = found.unwrap_or_else(|index| {
            self.in_flight.insert(index, (organisation, 0));
            index
        });
        let held = change(self.in_flight[index].1);
        match held {
            0 => {
                self.in_flight.remove(index);
            }
            held => self.in_flight[index].1 = held,
        }
    }

    fn draw(&mut self, horizon: std_time::Duration, now: time::Instant) -> f64 {
        if self.draw_until.is_none_or(|until| now >= until) {
            self.draw = rand::rng().random();
            self.draw_until = Some(now + horizon);
        }
        self.draw
    }
}

#[derive(Debug, Default)]
struct AdmissionActivity {
    queue: waiting::WaitQueue,
    /// State by service, sorted by service.
    services: Vec<ServiceActivity>,
    returns: returns::ReturnTable,
    published_at: Option<time::Instant>,
}

impl AdmissionActivity {
    fn service_mut(&mut self, service: demand::ServiceKey) -> &mut ServiceActivity {
        let found = self
            .services
            .binary_search_by_key(&service, |known| known.service);
        let index = found.unwrap_or_else(|index| {
            let fresh = ServiceActivity {
                service,
                ..ServiceActivity::default()
            };
            self.services.insert(index, fresh);
            index
        });
        &mut self.services[index]
    }

    fn count_waiting(&self, service: demand::ServiceKey, rank: demand::RequestRank) -> u32 {
        let requests = self.queue.requests();
        let own = requests
            .filter(|waits| waits.needs_room && waits.service == service && waits.rank == rank);
        own.count() as u32
    }

    /// Returns the demand of this node by service and rank.
    fn ranks(&self, now: time::Instant) -> Vec<demand::RankDemand> {
        let demands = self.services.iter().flat_map(|known| {
            let ranks = known.ranks.iter().map(|activity| demand::RankDemand {
                service: known.service,
                rank: activity.rank,
                waiting: self.count_waiting(known.service, activity.rank),
                arrivals_per_second: activity.arrivals(now) as f32,
            });
            let active = ranks.filter(|demand| {
                demand.waiting > 0 || f64::from(demand.arrivals_per_second) >= MIN_ARRIVALS
            });
            active.take(demand::RANK_LIMIT)
        });
        demands.collect()
    }

    /// Returns the use of this node by service and organisation.
    fn organisations(&self) -> Vec<demand::OrganisationUse> {
        let held = self.services.iter().flat_map(|known| {
            let in_flight = known.in_flight.iter();
            in_flight.map(|(organisation, in_flight)| demand::OrganisationUse {
                service: known.service,
                organisation: *organisation,
                in_flight: *in_flight,
                waiting: 0,
            })
        });
        let waiting = self.queue.requests().filter(|waits| waits.needs_room);
        let waiting = waiting.map(|waits| demand::OrganisationUse {
            service: waits.service,
            organisation: waits.organisation,
            in_flight: 0,
            waiting: 1,
        });
        let mut uses: Vec<_> = held.chain(waiting).collect();
        uses.sort_unstable_by_key(|held| (held.service, held.organisation));
        uses.dedup_by(|next, sum| {
            let is_same = (next.service, next.organisation) == (sum.service, sum.organisation);
            if is_same {
                sum.in_flight += next.in_flight;
                sum.waiting += next.waiting;
            }
            is_same
        });
        uses
    }
}

/// State of the admission of one node.
#[derive(Debug)]
pub struct AdmissionState {
    /// Most requests that wait; 0 turns admission off.
    limit: usize,
    activity: sync::Mutex<AdmissionActivity>,
}

impl AdmissionState {
    /// Creates the state of a node at which at most `limit` requests wait.
    pub fn new(limit: usize) -> Self {
        let activity = AdmissionActivity {
            queue: waiting::WaitQueue::new(limit),
            ..AdmissionActivity::default()
        };
        Self {
            limit,
            activity: sync::Mutex::new(activity),
        }
    }

    /// Lets waiting requests look for room, since some may have appeared.
    pub fn wake(&self) {
        if self.limit == 0 {
            return;
        }
        let mut activity = lock(&self.activity);
        let services = activity.services.iter_mut();
        services.for_each(|known| known.missing = None);
        activity.queue.wake();
    }

    /// Returns the number of waiting requests.
    pub fn waiting(&self) -> usize {
        lock(&self.activity).queue.len()
    }
}

/// Updates the demand that this node tells the others.
pub fn publish(core: &core::GatewayCore, now: time::Instant) {
    if core.admission.limit == 0 {
        return;
    }
    let mut activity = lock(&core.admission.activity);
    let is_due = activity
        .published_at
        .is_none_or(|published_at| now >= published_at + PUBLISH_PERIOD);
    if !is_due {
        return;
    }
    activity.published_at = Some(now);
    let ranks = activity.ranks(now);
    let mut organisations = activity.organisations();
    drop(activity);
    if organisations.len() > ORGANISATION_LIMIT {
        organisations.sort_unstable_by_key(|held| std::cmp::Reverse(held.in_flight + held.waiting));
        organisations.truncate(ORGANISATION_LIMIT);
        organisations.sort_unstable_by_key(|held| (held.service, held.organisation));
    }
    let mut demand = lock(&core.demand);
    demand.set_ranks(ranks);
    demand.set_organisations(organisations);
}

/// What a decision for one request rests on.
#[derive(Clone, Debug)]
struct RoomView {
    intake: intake::IntakeView,
    shares: shares::OrganisationShares,
    /// Whether each layer has a runner.
    is_covered: bool,
    /// Age of the loads of the other nodes.
    load_age: Option<std_time::Duration>,
    /// Age of the demand of the other nodes.
    demand_age: Option<std_time::Duration>,
}

impl RoomView {
    /// Returns the requests of a rank at all nodes that come before a request.
    fn before(
        &self,
        rank: demand::RequestRank,
        organisation: demand::OrganisationKey,
        is_return: bool,
    ) -> f64 {
        let waiting = (self.intake.rank(rank).waiting - 1.0).max(0.0);
        match (is_return, self.shares.is_above(organisation)) {
            (true, _) => 0.0,
            (false, true) => waiting,
            (false, false) => waiting.min(self.shares.waiting_within()),
        }
    }

    /// Describes the view for the log.
    fn describe(&self, rank: demand::RequestRank) -> String {
        let age = |age: Option<std_time::Duration>| {
            age.map_or("none".to_owned(), |age| age.as_millis().to_string())
        };
        let count = self.intake.rank(rank);
        format!(
            "rank={rank} free={:.1} reserve={:.1} ends_per_s={:.1} own_waiting={} waiting={:.0} \
             arrivals_per_s={:.1} load_age_ms={} demand_age_ms={}",
            self.intake.free,
            self.intake.reserve(rank),
            self.intake.ends,
            count.own_waiting,
            count.waiting,
            count.arrivals,
            age(self.load_age),
            age(self.demand_age),
        )
    }
}

/// Returns the room of a service, measured a moment ago at most.
fn measure_room(
    core: &core::GatewayCore,
    name: &str,
    engine: &document::EngineSpec,
    now: time::Instant,
) -> room::RoomReport {
    let service = demand::name_key(name);
    let known = lock(&core.admission.activity).service_mut(service).measured;
    if let Some((_, report)) = known.filter(|(at, _)| now < *at + ROOM_PERIOD) {
        return report;
    }
    let leads = lock(&core.loads);
    let fleet = lock(&core.fleet);
    let runners = fleet.runners().iter();
    let usable = runners.filter(|state| state.record.service == name && state.is_usable(now));
    let states: Vec<_> = usable.collect();
    let selector = selector::PathSelector {
        engine,
        leads: &leads,
        // The intake accounts for sends that are in no report yet.
        unreported: 0.0,
        unread: [&[], &[]],
        now,
    };
    let report = room::measure(&selector, &states);
    drop((fleet, leads));
    lock(&core.admission.activity).service_mut(service).measured = Some((now, report));
    report
}

/// Demand of the other nodes for one service.
struct OtherDemand {
    /// By rank, sorted by rank.
    ranks: Vec<demand::RankDemand>,
    uses: Vec<demand::OrganisationUse>,
    age: std_time::Duration,
}

/// Returns the demand of the other nodes for a service, or `None` without recent sums.
fn other_demand(
    core: &core::GatewayCore,
    service: demand::ServiceKey,
    now: time::Instant,
) -> Option<OtherDemand> {
    let demand = lock(&core.demand);
    let others = demand.others(now)?;
    let ranks = others.value.ranks.iter();
    let uses = others.value.organisations.iter();
    Some(OtherDemand {
        ranks: ranks
            .filter(|rank| rank.service == service)
            .copied()
            .collect(),
        uses: uses
            .filter(|held| held.service == service)
            .copied()
            .collect(),
        age: others.age,
    })
}

/// Returns what a decision for a request of a service rests on; `arriving` is the rank
/// of the request if it is not in the queue.
fn view(
    core: &core::GatewayCore,
    name: &str,
    engine: &document::EngineSpec,
    arriving: Option<demand::RequestRank>,
    now: time::Instant,
) -> RoomView {
    let report = measure_room(core, name, engine, now);
    let service = demand::name_key(name);
    let nodes = core.members.fleet_size().max(1) as f64;
    let loads = lock(&core.loads);
    let (period, load_age) = (loads.period(), loads.summary_age(now));
    drop(loads);
    let horizon = period.max(leader::PERIOD_MIN) * HORIZON_PERIODS;
    let others = other_demand(core, service, now);
    let mut activity = lock(&core.admission.activity);
    let of_others = others.iter().flat_map(|others| &others.ranks);
    let mut numbers: Vec<_> = of_others
        .map(|demand| demand.rank)
        .chain(arriving)
        .collect();
    let known = activity.service_mut(service);
    numbers.extend(known.ranks.iter().map(|known| known.rank));
    numbers.sort_unstable();
    numbers.dedup();
    let count = |rank| {
        let own_waiting = f64::from(activity.count_waiting(service, rank));
        let known = activity.service_mut(service).rank_mut(rank);
        let own = known.count(own_waiting, horizon, now);
        let all = match &others {
            Some(others) => {
                let found = others.ranks.iter().find(|demand| demand.rank == rank);
                found.map_or(own, |demand| own.with_others(demand))
            }
            None => own,
        };
        match arriving == Some(rank) {
            true => all.with_arriving(),
            false => all,
        }
    };
    let ranks = numbers.into_iter().map(count).collect();
    let run_times = activity.service_mut(service).run_times;
    let mut uses = activity.organisations();
    uses.retain(|held| held.service == service);
    drop(activity);
    let mut capacity = report.capacity();
    match &others {
        Some(others) => uses.extend(&others.uses),
        // Without sums of all nodes each one divides its own part of the room.
        None => capacity /= nodes,
    }
    RoomView {
        intake: intake::IntakeView {
            free: report.free,
            ends: match report.is_covered {
                true => report.ends_per_second(run_times.estimate(report.expected_run, now)),
                // No request that ends makes room.
                false => 0.0,
            },
            horizon,
            ranks,
        },
        shares: shares::OrganisationShares::new(capacity, &uses),
        is_covered: report.is_covered,
        load_age,
        demand_age: others.map(|others| others.age),
    }
}

/// Returns the engine of a request's service if admission is on for it.
fn engine(request: &request::CallerRequest) -> Option<&document::EngineSpec> {
    let is_streaming = request.rule.kind == document::RouteKind::Streaming;
    let has_objective = request.rule.objective.is_some();
    if request.core.admission.limit == 0 || !is_streaming || !has_objective {
        return None;
    }
    request.table.service(&request.service)?.engine.as_ref()
}

fn organisation_key(request: &request::CallerRequest) -> demand::OrganisationKey {
    demand::name_key(request.organisation.as_deref().unwrap_or_default())
}

/// Returns when the caller of a refused request that has not run should come back, or
/// `None` if admission is off for it or its room does not depend on other requests. The
/// request is remembered, so that its return comes before others.
pub fn plan_return(request: &request::CallerRequest) -> Option<std_time::Duration> {
    let engine = engine(request).filter(|_| request.executed == 0)?;
    let now = time::Instant::now();
    let core = &request.core;
    let rank = request.rank;
    let view = view(core, &request.service, engine, Some(rank), now);
    if !view.is_covered {
        return None;
    }
    let before = view.before(rank, organisation_key(request), false);
    let forecast = view.intake.forecast(rank, before);
    if forecast.is_zero() {
        // Something else than room is missing.
        return None;
    }
    let deadline = request.head.deadline.unwrap_or(request.rule.timeout);
    let left = deadline.saturating_sub(request.started.elapsed());
    let retry_after = returns::return_time(forecast, left, rand::rng().random());
    let key = request.fingerprint();
    lock(&core.admission.activity).returns.note(key, now);
    let detail = format!(
        "forecast_ms={} retry_after_ms={} left_ms={} {}",
        forecast.as_millis(),
        retry_after.as_millis(),
        left.as_millis(),
        view.describe(rank)
    );
    request.note(event::EventCode::ReturnPlanned, detail);
    Some(retry_after)
}

/// A place in the queue of this node.
#[derive(Debug)]
struct HeldPlace {
    request: id::RequestId,
    ticket: id::TicketNumber,
    signal: sync::Arc<tokio_sync::Notify>,
    since: time::Instant,
}

/// The way of one request through admission, from its arrival to its end.
pub struct AdmissionTicket {
    core: sync::Arc<core::GatewayCore>,
    /// Whether admission is on for the request.
    is_on: bool,
    service: demand::ServiceKey,
    organisation: demand::OrganisationKey,
    rank: demand::RequestRank,
    is_return: bool,
    /// Until when the request may wait.
    until: time::Instant,
    place: Option<HeldPlace>,
    /// The latest decision and what it rested on, unless it was to send the request.
    denial: Option<(RoomView, intake::IntakeVerdict)>,
    /// Whether the latest attempt to find a path failed for want of room.
    is_full: bool,
    sent_at: Option<time::Instant>,
}

impl AdmissionTicket {
    /// Creates the ticket of a request that has just arrived.
    pub fn new(request: &request::CallerRequest) -> Self {
        let core = sync::Arc::clone(&request.core);
        let mut ticket = Self {
            is_on: engine(request).is_some(),
            service: 0,
            organisation: 0,
            rank: request.rank,
            is_return: false,
            until: request.started,
            place: None,
            denial: None,
            is_full: false,
            sent_at: None,
            core,
        };
        if ticket.is_on {
            let now = time::Instant::now();
            ticket.service = demand::name_key(&request.service);
            ticket.organisation = organisation_key(request);
            let mut activity = lock(&ticket.core.admission.activity);
            let known = activity.service_mut(ticket.service);
            known.rank_mut(ticket.rank).note_arrival(now);
            let has_returns = !activity.returns.is_empty();
            drop(activity);
            if has_returns {
                let key = request.fingerprint();
                let mut activity = lock(&ticket.core.admission.activity);
                ticket.is_return = activity.returns.take(&key, now);
            }
        }
        ticket
    }

    /// Sets until when the request may wait, before it is sent or resumed. The first
    /// event must still come before the caller leaves.
    pub fn begin(&mut self, request: &request::CallerRequest, is_resumption: bool) {
        if !self.is_on {
            return;
        }
        let patience = stream_path::caller_patience(&request.rule);
        let objective = request.rule.objective.unwrap_or_default();
        let now = time::Instant::now();
        let until = match is_resumption {
            true => now + patience.mul_f64(RESUMED_PATIENCE),
            false => {
                let mut activity = lock(&self.core.admission.activity);
                let times = activity.service_mut(self.service).first_times;
                let usual = times.estimate(objective / FIRST_EVENT_FACTOR, now);
                let first = objective.max(usual * FIRST_EVENT_FACTOR);
                let first = first.min(patience.mul_f64(FIRST_EVENT_SHARE));
                request.started + patience.saturating_sub(first)
            }
        };
        self.until = until.min(request.deadline);
    }

    /// Returns whether a path may be sought for the request now.
    pub fn check(&mut self, request: &request::CallerRequest, is_resumption: bool) -> bool {
        let Some(engine) = engine(request).filter(|_| self.is_on) else {
            return true;
        };
        if is_resumption {
            return true;
        }
        let now = time::Instant::now();
        // A request that was sent before has its part of the room.
        if self.sent_at.is_none() && !self.decide(request, engine, now) {
            return false;
        }
        let tokens = request.context_tokens(engine);
        let missing = lock(&self.core.admission.activity)
            .service_mut(self.service)
            .missing;
        let missing = missing.filter(|path| now < path.until && tokens >= path.tokens);
        self.is_full = missing.is_some_and(|path| path.error == selector::PathError::NoCapacity);
        missing.is_none()
    }

    /// Decides whether the request is sent now, and keeps why not.
    fn decide(
        &mut self,
        request: &request::CallerRequest,
        engine: &document::EngineSpec,
        now: time::Instant,
    ) -> bool {
        let position = match &self.place {
            Some(place) => lock(&self.core.admission.activity)
                .queue
                .position(place.ticket),
            None => None,
        };
        let arriving = self.place.is_none().then_some(self.rank);
        let view = view(&self.core, &request.service, engine, arriving, now);
        let mut activity = lock(&self.core.admission.activity);
        let own_before = match position {
            Some(position) => position.before,
            // One that has just arrived does not pass those that wait.
            None => activity.count_waiting(self.service, self.rank) as usize,
        };
        activity
            .queue
            .set_above(self.service, |key| view.shares.is_above(key));
        let query = intake::IntakeQuery {
            rank: self.rank,
            own_before: own_before as f64,
            before: view.before(self.rank, self.organisation, self.is_return),
            patience: self.until.saturating_duration_since(now),
            draw: activity
                .service_mut(self.service)
                .draw(view.intake.horizon, now),
        };
        drop(activity);
        let verdict = view.intake.decide(&query);
        if verdict == intake::IntakeVerdict::Send {
            self.denial = None;
            return true;
        }
        self.denial = Some((view, verdict));
        false
    }

    /// Records why no path was found; returns whether that may change within the wait
    /// of the request.
    pub fn note_missing(
        &mut self,
        request: &request::CallerRequest,
        error: selector::PathError,
    ) -> bool {
        if !self.is_on {
            return false;
        }
        self.is_full = error == selector::PathError::NoCapacity;
        match error {
            // Room may appear, and the pause of a runner after a failure may end.
            selector::PathError::NoCapacity | selector::PathError::Failing => {
                let engine = engine(request);
                let is_open = request.excluded.is_empty() && request.silent.is_empty();
                if let Some(engine) = engine.filter(|_| is_open) {
                    let missing = MissingPath {
                        until: time::Instant::now() + MISSING_PERIOD,
                        tokens: request.context_tokens(engine),
                        error,
                    };
                    let mut activity = lock(&self.core.admission.activity);
                    activity.service_mut(self.service).missing = Some(missing);
                }
                true
            }
            selector::PathError::NoRunner => request.executed == 0 && !request.excluded.is_empty(),
            selector::PathError::Unreachable | selector::PathError::Limited => false,
        }
    }

    /// Waits until the request may be tried again; returns whether it may. `failed`
    /// tells how far an earlier attempt came, if there was one.
    pub async fn wait(
        &mut self,
        request: &mut request::CallerRequest,
        failed: Option<request::AttemptReach>,
    ) -> bool {
        let has_attempts = failed.is_none_or(|reach| request.has_attempts(reach));
        if !self.is_on || !has_attempts || request.quarantine_left().is_some() {
            return false;
        }
        let now = time::Instant::now();
        if now >= self.until {
            self.leave("limit");
            return false;
        }
        if self.place.is_none() && !self.enter(request, now) {
            return false;
        }
        let Some(place) = &self.place else {
            return false;
        };
        let position = |ticket| lock(&self.core.admission.activity).queue.position(ticket);
        let Some(held) = position(place.ticket) else {
            self.leave("passed");
            return false;
        };
        let next = match held.is_seeking {
            true => self.until.min(now + SEEK_PERIOD),
            false => self.until,
        };
        if let Some(reach) = failed {
            request.note_unsent(reach);
        }
        // Either way the request is looked at again.
        let _ = time::timeout_at(next, place.signal.notified()).await;
        let waited = place.since.elapsed();
        if position(place.ticket).is_none() {
            self.leave("passed");
            return false;
        }
        if request.executed == 0 && waited >= fleet::AVOID_REFUSAL {
            // Runners that rejected the request may have room again; the others are
            // known to the list of runners.
            request.excluded.clear();
        }
        true
    }

    /// Puts the request into the queue; returns whether it waits there.
    fn enter(&mut self, request: &request::CallerRequest, now: time::Instant) -> bool {
        let verdict = self.denial.as_ref().map(|(_, verdict)| *verdict);
        let needs_room = self.is_full || verdict.is_some();
        let forecast = match verdict {
            Some(intake::IntakeVerdict::Refuse(_)) => {
                self.count_refusal("forecast");
                return false;
            }
            Some(intake::IntakeVerdict::Wait(forecast)) => Some(forecast),
            // A path or a retry is missing, not room.
            Some(intake::IntakeVerdict::Send) | None => None,
        };
        let waits = waiting::WaitingRequest {
            service: self.service,
            organisation: self.organisation,
            rank: self.rank,
            needs_room,
            // A stream that is to go on comes before those that are to start.
            is_return: self.is_return || self.sent_at.is_some(),
            is_above: self
                .denial
                .as_ref()
                .is_some_and(|(view, _)| view.shares.is_above(self.organisation)),
            deadline: request.deadline,
        };
        let entered = lock(&self.core.admission.activity).queue.enter(waits);
        let Some((ticket, signal)) = entered else {
            self.count_refusal("queue");
            return false;
        };
        self.place = Some(HeldPlace {
            request: request.head.request.clone(),
            ticket,
            signal,
            since: now,
        });
        self.note_waiting();
        let forecast = forecast.map_or("none".to_owned(), |time| time.as_millis().to_string());
        let view = self
            .denial
            .as_ref()
            .map(|(view, _)| view.describe(self.rank));
        let detail = format!(
            "forecast_ms={forecast} limit_ms={} returned={} {}",
            self.until.saturating_duration_since(now).as_millis(),
            self.is_return,
            view.unwrap_or_else(|| format!("rank={}", self.rank))
        );
        request.note(event::EventCode::WaitBegan, detail);
        true
    }

    /// Records that the request is sent to runners.
    pub fn note_sent(&mut self) {
        if !self.is_on {
            return;
        }
        if self.place.is_some() {
            self.core.metrics.waited.inc();
            self.end_wait("sent");
        }
        if self.sent_at.is_some() {
            return;
        }
        let now = time::Instant::now();
        self.is_full = false;
        self.sent_at = Some(now);
        let mut activity = lock(&self.core.admission.activity);
        let known = activity.service_mut(self.service);
        known.rank_mut(self.rank).sends.push(now);
        known.change_in_flight(self.organisation, |held| held + 1);
    }

    /// Records that the caller gets the first event.
    pub fn note_first_event(&self) {
        if let Some(sent_at) = self.sent_at {
            let now = time::Instant::now();
            let mut activity = lock(&self.core.admission.activity);
            let known = activity.service_mut(self.service);
            known.first_times.note(now - sent_at, now);
        }
    }

    /// Records that the request was answered completely.
    pub fn note_answered(&self) {
        if let Some(sent_at) = self.sent_at {
            let now = time::Instant::now();
            let mut activity = lock(&self.core.admission.activity);
            let known = activity.service_mut(self.service);
            known.run_times.note(now - sent_at, now);
        }
    }

    fn leave(&mut self, cause: &'static str) {
        if self.place.is_some() {
            self.count_refusal(cause);
            self.end_wait(cause);
        }
    }

    fn end_wait(&mut self, outcome: &str) {
        let Some(place) = self.place.take() else {
            return;
        };
        let waited = place.since.elapsed();
        let mut activity = lock(&self.core.admission.activity);
        activity.queue.leave(place.ticket);
        activity.queue.wake();
        drop(activity);
        self.note_waiting();
        let view = self
            .denial
            .as_ref()
            .map(|(view, _)| view.describe(self.rank));
        let detail = format!(
            "outcome={outcome} waited_ms={} {}",
            waited.as_millis(),
            view.unwrap_or_else(|| format!("rank={}", self.rank))
        );
        self.core
            .note(event::EventCode::WaitEnded, &place.request, detail);
    }

    fn count_refusal(&self, cause: &'static str) {
        let labels = metrics::RunRefusalLabels { cause };
        self.core.metrics.room_refusals.get_or_create(&labels).inc();
    }

    fn note_waiting(&self) {
        let waiting = self.core.admission.waiting();
        self.core.metrics.waiting.set(waiting as i64);
    }
}

impl Drop for AdmissionTicket {
    fn drop(&mut self) {
        // The caller left, or no runner is left for the request.
        self.end_wait("left");
        if self.sent_at.is_some() {
            let mut activity = lock(&self.core.admission.activity);
            let known = activity.service_mut(self.service);
            known.change_in_flight(self.organisation, |held| held.saturating_sub(1));
        }
    }
}
