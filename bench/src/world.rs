//! Nodes that run the live decision code over fake engines.

use std::cell;
use std::rc;
use std::time as std_time;

use arbutusfold::{attempt, choose, document, plan, route, stream, upstream};
use hdrhistogram::Histogram;
use rand::{RngExt, SeedableRng};
use tokio::sync::mpsc;
use tokio::time;

use crate::engine;
use crate::fleet;
use crate::report;
use crate::way;

/// Time between two reports that a node asks of one engine.
const REPORT_PERIOD: std_time::Duration = std_time::Duration::from_millis(500);

/// Time after which a node takes a report as missing.
const REPORT_TIME_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Time between two looks whether routes must be planned anew.
const PLAN_PERIOD: std_time::Duration = std_time::Duration::from_millis(50);

/// Time between two looks for a route while none exists.
const ROUTE_WAIT: std_time::Duration = std_time::Duration::from_millis(20);

/// Longest time to wait for a route.
const ROUTE_WAIT_LIMIT: std_time::Duration = std_time::Duration::from_secs(10);

/// Width of the buckets in which tokens are counted.
const BUCKET: std_time::Duration = std_time::Duration::from_millis(10);

/// A completion that a caller asks for.
#[derive(Clone, Debug)]
pub struct StreamOrder {
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prefix that others share, and its tokens.
    pub prefix: Option<(u64, u32)>,
    /// Tokens of the answer.
    pub max_tokens: u32,
    /// Priority.
    pub priority: document::RequestPriority,
}

/// One pause of a stream that went over to another route.
#[derive(Clone, Copy, Debug)]
pub struct ResumePause {
    /// From the last token before to the first token after.
    pub pause: std_time::Duration,
    /// Time that the prefill takes on the new stages alone.
    pub prefill: std_time::Duration,
}

/// What streams measured.
#[derive(Debug)]
pub struct StreamStats {
    /// Tokens in each bucket.
    buckets: Vec<u64>,
    /// Times to the first token in microseconds.
    pub first: Histogram<u64>,
    /// Times between tokens in microseconds.
    pub gaps: Histogram<u64>,
    /// Pauses of streams that went over to another route.
    pub resumes: Vec<ResumePause>,
    /// Streams that ended well.
    pub complete: u64,
    /// Streams that were given up.
    pub lost: u64,
    /// Attempts after the first.
    pub retries: u64,
    /// Tokens whose proof did not hold.
    pub dropped: u64,
}

/// Nodes and engines on one clock.
pub struct BenchWorld {
    /// Engines.
    pub pool: rc::Rc<engine::EnginePool>,
    /// The fleet.
    pub fleet: fleet::FleetSpec,
    /// What streams measured.
    pub stats: cell::RefCell<StreamStats>,
    /// Whether times are kept.
    pub measuring: cell::Cell<bool>,
    nodes: Vec<FakeNode>,
    origin: time::Instant,
    count: cell::Cell<u64>,
}

struct FakeNode {
    keeper: cell::RefCell<route::RouteTable>,
    way: way::ChoiceWay,
    turn: cell::Cell<usize>,
    rng: cell::RefCell<rand_chacha::ChaCha8Rng>,
}

impl StreamStats {
    fn new() -> anyhow::Result<Self> {
        Ok(Self {
            buckets: Vec::new(),
            first: report::histogram()?,
            gaps: report::histogram()?,
            resumes: Vec::new(),
            complete: 0,
            lost: 0,
            retries: 0,
            dropped: 0,
        })
    }
}

/// Runs `work` with a fleet on a paused clock.
///
/// # Errors
///
/// When the runtime or a histogram cannot be made, or the work fails.
pub fn run<T, F>(
    fleet: &fleet::FleetSpec,
    way: way::ChoiceWay,
    late: std_time::Duration,
    seed: u64,
    work: impl FnOnce(rc::Rc<BenchWorld>) -> F,
) -> anyhow::Result<T>
where
    F: Future<Output = anyhow::Result<T>>,
{
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_time()
        .start_paused(true)
        .build()?;
    let local = tokio::task::LocalSet::new();
    local.block_on(&runtime, async {
        let world = rc::Rc::new(BenchWorld::new(fleet, way, seed)?);
        for node in 0..fleet.nodes {
            tokio::task::spawn_local(keep_reports(rc::Rc::clone(&world), node, late));
            tokio::task::spawn_local(keep_routes(rc::Rc::clone(&world), node));
        }
        // Every node has heard every engine and planned once.
        time::sleep(std_time::Duration::from_secs(1)).await;
        work(world).await
    })
}

impl BenchWorld {
    fn new(fleet: &fleet::FleetSpec, way: way::ChoiceWay, seed: u64) -> anyhow::Result<Self> {
        let document = fleet.document();
        let nodes = (0..fleet.nodes)
            .map(|index| {
                let mut keeper = route::RouteTable::new(way.options());
                keeper.configure(&document);
                keeper.set_peers(fleet.nodes as u32 - 1);
                FakeNode {
                    keeper: cell::RefCell::new(keeper),
                    way,
                    turn: cell::Cell::new(index),
                    rng: cell::RefCell::new(rand_chacha::ChaCha8Rng::seed_from_u64(
                        seed.wrapping_mul(1_000).wrapping_add(index as u64),
                    )),
                }
            })
            .collect();
        Ok(Self {
            pool: engine::EnginePool::start(fleet),
            fleet: fleet.clone(),
            stats: cell::RefCell::new(StreamStats::new()?),
            measuring: cell::Cell::new(false),
            nodes,
            origin: time::Instant::now(),
            count: cell::Cell::new(0),
        })
    }

    /// Returns the bound in tokens a second of the engines that answer.
    pub fn bound(&self) -> u64 {
        let offers: Vec<_> = self
            .fleet
            .runners
            .iter()
            .enumerate()
            .filter(|(index, _)| self.pool.is_up(*index))
            .map(|(slot, spec)| plan::StageOffer {
                slot,
                domain: self.fleet.domains[spec.domain].clone(),
                layers: spec.layers,
                tokens_per_second: spec.kind.rate(),
            })
            .collect();
        let links = plan::LinkTable::new(&self.fleet.links);
        plan::plan(self.fleet.layers, &offers, &links, plan::ROUTE_LIMIT).bound
    }

    /// Returns the tokens a second that were delivered between two times.
    pub fn rate(&self, from: time::Instant, to: time::Instant) -> f64 {
        let stats = self.stats.borrow();
        let last = self.bucket(to).min(stats.buckets.len());
        let first = self.bucket(from).min(last);
        let tokens: u64 = stats.buckets[first..last].iter().sum();
        tokens as f64 / to.duration_since(from).as_secs_f64()
    }

    fn bucket(&self, at: time::Instant) -> usize {
        let since = at.duration_since(self.origin);
        (since.as_micros() / BUCKET.as_micros()) as usize
    }

    fn count_token(&self, now: time::Instant) {
        let bucket = self.bucket(now);
        let mut stats = self.stats.borrow_mut();
        if stats.buckets.len() <= bucket {
            stats.buckets.resize(bucket + 1, 0);
        }
        stats.buckets[bucket] += 1;
    }

    /// Starts callers that each ask for one answer after the other.
    pub fn start_callers(self: &rc::Rc<Self>, callers: usize, tokens: std::ops::Range<u32>) {
        for caller in 0..callers {
            let world = rc::Rc::clone(self);
            let tokens = tokens.clone();
            tokio::task::spawn_local(async move {
                let node = caller % world.nodes.len();
                // Callers do not begin at one instant.
                time::sleep(world.draw(node, 0..500)).await;
                loop {
                    let max_tokens = world.nodes[node]
                        .rng
                        .borrow_mut()
                        .random_range(tokens.clone());
                    let order = StreamOrder {
                        prompt_tokens: 16,
                        prefix: None,
                        max_tokens,
                        priority: document::RequestPriority::Interactive,
                    };
                    world.stream(node, order).await;
                }
            });
        }
    }

    fn draw(&self, node: usize, millis: std::ops::Range<u64>) -> std_time::Duration {
        let millis = self.nodes[node].rng.borrow_mut().random_range(millis);
        std_time::Duration::from_millis(millis)
    }

    /// Runs one answer to its end on a node.
    pub async fn stream(self: &rc::Rc<Self>, node: usize, order: StreamOrder) {
        self.count.set(self.count.get() + 1);
        let run = StreamRun {
            world: rc::Rc::clone(self),
            node,
            answer: stream::AnswerState::new(self.count.get().to_string(), self.fleet.layers),
            policy: attempt::AttemptPolicy::default(),
            prompt: prompt_text(&order),
            order,
            asked: time::Instant::now(),
            pausing: None,
        };
        match run.finish().await {
            true => self.stats.borrow_mut().complete += 1,
            false => self.stats.borrow_mut().lost += 1,
        }
    }
}

/// Returns a prompt of the order's length that begins with its prefix.
fn prompt_text(order: &StreamOrder) -> String {
    let bytes = order.prompt_tokens as usize * 4;
    match order.prefix {
        Some((prefix, _)) => format!("{prefix:016x}").repeat(bytes.div_ceil(16)),
        None => "x".repeat(bytes.min(255)),
    }
}

async fn keep_reports(world: rc::Rc<BenchWorld>, node: usize, late: std_time::Duration) {
    let engines = world.fleet.runners.len();
    let offset = REPORT_PERIOD.mul_f64(node as f64 / world.nodes.len() as f64);
    let mut first = true;
    loop {
        for index in 0..engines {
            let name = &world.fleet.runners[index].name;
            let heard = world.pool.report(index, late);
            let mut keeper = world.nodes[node].keeper.borrow_mut();
            match heard {
                engine::ReportAnswer::Report(report) => {
                    keeper.apply_report(name, &report, time::Instant::now());
                }
                engine::ReportAnswer::Refused => keeper.clear_report(name),
                engine::ReportAnswer::Silence => {
                    let world = rc::Rc::clone(&world);
                    tokio::task::spawn_local(async move {
                        time::sleep(REPORT_TIME_LIMIT).await;
                        let name = &world.fleet.runners[index].name;
                        let mut keeper = world.nodes[node].keeper.borrow_mut();
                        keeper.note_missed_report(name, time::Instant::now());
                    });
                }
            }
        }
        let pause = if first { offset } else { REPORT_PERIOD };
        first = false;
        time::sleep(pause).await;
    }
}

async fn keep_routes(world: rc::Rc<BenchWorld>, node: usize) {
    loop {
        world.nodes[node]
            .keeper
            .borrow_mut()
            .refresh(time::Instant::now());
        time::sleep(PLAN_PERIOD).await;
    }
}

/// One answer over all its attempts.
struct StreamRun {
    world: rc::Rc<BenchWorld>,
    node: usize,
    answer: stream::AnswerState,
    policy: attempt::AttemptPolicy,
    prompt: String,
    order: StreamOrder,
    asked: time::Instant,
    /// Last token before a failure, and the prefill of the new stages.
    pausing: Option<(time::Instant, std_time::Duration)>,
}

/// How one attempt ended.
struct AttemptEnd {
    failure: Option<attempt::AttemptFailure>,
    last: Option<time::Instant>,
}

impl StreamRun {
    async fn finish(mut self) -> bool {
        loop {
            let Some(route) = self.find_route().await else {
                return false;
            };
            let before = self.answer.route().to_vec();
            self.answer.begin(route.clone());
            if let Some((_, prefill)) = &mut self.pausing {
                *prefill +=
                    self.world
                        .prefill(&before, &route, self.order.prompt_tokens, &self.answer);
            }
            let end = self.attempt(&route).await;
            let Some(failure) = end.failure else {
                return true;
            };
            self.world.stats.borrow_mut().retries += 1;
            let now = time::Instant::now();
            let failed = attempt::FailedAttempt {
                route: &route,
                failure: &failure,
                last_token: end.last,
            };
            if let Some(last) = end.last {
                self.pausing = Some((last, std_time::Duration::ZERO));
            }
            let world = rc::Rc::clone(&self.world);
            let node = &world.nodes[self.node];
            self.policy
                .attribute(&failed, &mut node.keeper.borrow_mut(), now);
            let step = self.policy.next_step(&failure, &mut *node.rng.borrow_mut());
            match step {
                attempt::NextStep::GiveUp(_) => return false,
                attempt::NextStep::FreeRetry(pause) | attempt::NextStep::Retry(pause) => {
                    time::sleep(pause).await;
                }
            }
        }
    }

    async fn find_route(&self) -> Option<Vec<upstream::RouteStage>> {
        let node = &self.world.nodes[self.node];
        let limit = time::Instant::now() + ROUTE_WAIT_LIMIT;
        while time::Instant::now() < limit {
            let query = choose::ChoiceQuery {
                model: fleet::MODEL,
                prompt: &self.prompt,
                previous: self.answer.route(),
                avoid: self.policy.avoid(),
            };
            let route = node.way.choose(
                &node.keeper.borrow(),
                &query,
                &node.turn,
                &mut *node.rng.borrow_mut(),
            );
            if route.is_some() {
                return route;
            }
            time::sleep(ROUTE_WAIT).await;
        }
        None
    }

    async fn attempt(&mut self, route: &[upstream::RouteStage]) -> AttemptEnd {
        let world = rc::Rc::clone(&self.world);
        let keeper = &world.nodes[self.node].keeper;
        let begun = time::Instant::now();
        let progress = keeper.borrow_mut().begin(route, begun);
        let recent = keeper.borrow().recent_gap(route);
        let mut estimator = stream::GapEstimator::new(recent);
        let (sender, mut receiver) = mpsc::unbounded_channel();
        let run = rc::Rc::new(self.to_run(route, sender));
        let tokens = self.order.prompt_tokens as usize + self.answer.delivered().len();
        let limit = estimator.first_token_timeout(tokens) * self.policy.timeout_factor();
        let mut detector = attempt::StallDetector::new(begun, limit);
        let failure = match world.pool.begin(&run) {
            Err(engine::DeadEngine) => Some(attempt::AttemptFailure::NotSent {
                reason: "refused".to_owned(),
            }),
            Ok(()) => loop {
                let message = match time::timeout_at(detector.next_check(), receiver.recv()).await {
                    Ok(Some(message)) => message,
                    Ok(None) => break Some(attempt::AttemptFailure::EndedEarly),
                    Err(_) => {
                        let now = time::Instant::now();
                        if detector.has_stalled(route, &keeper.borrow(), now) {
                            break Some(attempt::AttemptFailure::Stalled);
                        }
                        continue;
                    }
                };
                let token = match message {
                    engine::EngineMessage::Token(token) => token,
                    engine::EngineMessage::Fault(fault) => break Some(failure_of(&fault)),
                };
                if let Err(error) = self.answer.accept(&token.view()) {
                    world.stats.borrow_mut().dropped += 1;
                    break Some(attempt::AttemptFailure::InvalidToken(error));
                }
                let now = time::Instant::now();
                self.note_token(now, estimator.last());
                estimator.note(now);
                progress.note(now);
                detector.note_token(&estimator, now);
                if token.finish.is_some() {
                    break None;
                }
            },
        };
        run.cancelled.set(true);
        let outcome = route::AttemptOutcome {
            complete: failure.is_none(),
            gap: estimator.average(),
        };
        keeper
            .borrow_mut()
            .end(route, outcome, time::Instant::now());
        AttemptEnd {
            failure,
            last: estimator.last(),
        }
    }

    fn note_token(&mut self, now: time::Instant, last: Option<time::Instant>) {
        self.policy.note_token();
        self.world.count_token(now);
        let resumed = self.pausing.take();
        if !self.world.measuring.get() {
            return;
        }
        let mut stats = self.world.stats.borrow_mut();
        if let Some((before, prefill)) = resumed {
            stats.resumes.push(ResumePause {
                pause: now.duration_since(before),
                prefill,
            });
        } else if let Some(last) = last {
            let gap = now.duration_since(last).as_micros() as u64;
            stats.gaps.saturating_record(gap);
        } else {
            let first = now.duration_since(self.asked).as_micros() as u64;
            stats.first.saturating_record(first);
        }
    }

    fn to_run(
        &self,
        route: &[upstream::RouteStage],
        sender: mpsc::UnboundedSender<engine::EngineMessage>,
    ) -> engine::AttemptRun {
        engine::AttemptRun {
            request: self.answer.request().to_owned(),
            attempt: self.answer.attempt(),
            route: route
                .iter()
                .map(|stage| engine::RunStage {
                    engine: usize::from(stage.address.port()) - 1,
                    incarnation: stage.incarnation,
                    layers: stage.layers,
                })
                .collect(),
            delivered: self.answer.delivered().len() as u32,
            max_tokens: self.order.max_tokens,
            prompt_tokens: self.order.prompt_tokens,
            prefix: self.order.prefix,
            priority: self.order.priority,
            cancelled: cell::Cell::new(false),
            sender,
        }
    }
}

fn failure_of(fault: &upstream::StageFault) -> attempt::AttemptFailure {
    match fault.fault_hop {
        // The node's own connection goes to the first stage.
        0 => attempt::AttemptFailure::ConnectionLost {
            reason: "reset".to_owned(),
        },
        hop => attempt::AttemptFailure::StageFailed {
            hop,
            refused: fault.refused,
            unreached: fault.unreached,
        },
    }
}

impl BenchWorld {
    /// Returns the time that the prefill takes on idle stages that are new to a stream.
    fn prefill(
        &self,
        before: &[upstream::RouteStage],
        after: &[upstream::RouteStage],
        prompt_tokens: u32,
        answer: &stream::AnswerState,
    ) -> std_time::Duration {
        let tokens = prompt_tokens + answer.delivered().len() as u32;
        after
            .iter()
            .filter(|stage| !before.iter().any(|old| old.upstream == stage.upstream))
            .map(|stage| {
                let kind = self.fleet.runners[usize::from(stage.address.port()) - 1].kind;
                kind.step * engine::prefill_places(tokens).div_ceil(kind.batch)
            })
            .sum()
    }
}
