//! Fake engines: they batch in steps of a fixed time and pass tokens along routes.

use std::cell;
use std::collections;
use std::rc;
use std::time as std_time;

use arbutusfold::{document, id, upstream};
use tokio::sync::{Notify, mpsc};
use tokio::time;

use crate::fleet;

/// Prompt tokens that an engine computes in the place of one generated token.
const PREFILL_TOKENS: u32 = 16;

/// Prefixes that an engine keeps.
const PREFIX_LIMIT: usize = 16;

/// Attempts whose KV cache an engine keeps.
const RESUME_LIMIT: usize = 4_096;

/// What an attempt sends to the node.
#[derive(Debug)]
pub enum EngineMessage {
    /// A token passed every stage.
    Token(upstream::StageToken),
    /// A stage broke.
    Fault(upstream::StageFault),
}

/// An attempt as engines run it.
#[derive(Debug)]
pub struct AttemptRun {
    /// Request.
    pub request: id::RequestId,
    /// Ordinal of the attempt.
    pub attempt: id::AttemptNumber,
    /// Stages with the engines' indexes.
    pub route: Vec<RunStage>,
    /// Tokens that the caller has.
    pub delivered: id::TokenIndex,
    /// Tokens of the whole answer.
    pub max_tokens: id::TokenIndex,
    /// Tokens of the prompt.
    pub prompt_tokens: u32,
    /// Prefix of the prompt, where others share it, and its tokens.
    pub prefix: Option<(u64, u32)>,
    /// Priority.
    pub priority: document::RequestPriority,
    /// Set when the node gave the attempt up.
    pub cancelled: cell::Cell<bool>,
    /// Way to the node.
    pub sender: mpsc::UnboundedSender<EngineMessage>,
}

/// A stage with its engine.
#[derive(Clone, Copy, Debug)]
pub struct RunStage {
    /// Index of the engine.
    pub engine: usize,
    /// Incarnation that the route was built for.
    pub incarnation: id::IncarnationNumber,
    /// Layers.
    pub layers: upstream::LayerRange,
}

struct TokenPass {
    run: rc::Rc<AttemptRun>,
    index: id::TokenIndex,
    hop: usize,
    proof: Vec<upstream::StageStamp>,
    /// Places in batches that it still needs.
    places: u32,
}

type PassKey = (document::RequestPriority, time::Instant, u64);

/// One fake engine.
pub struct FakeEngine {
    spec: fleet::RunnerSpec,
    incarnation: cell::Cell<id::IncarnationNumber>,
    alive: cell::Cell<bool>,
    silent: cell::Cell<bool>,
    queue: cell::RefCell<collections::BTreeMap<PassKey, TokenPass>>,
    arrived: Notify,
    turn: cell::Cell<u64>,
    attempts: cell::RefCell<Vec<rc::Weak<AttemptRun>>>,
    counts: cell::RefCell<collections::VecDeque<(time::Instant, u32)>>,
    prefixes: cell::RefCell<collections::VecDeque<u64>>,
    resumable: cell::RefCell<collections::VecDeque<id::RequestId>>,
}

/// The engines of a fleet.
pub struct EnginePool {
    fleet: fleet::FleetSpec,
    engines: Vec<FakeEngine>,
    /// Places in batches that were used for prompts.
    pub prefilled: cell::Cell<u64>,
}

impl EnginePool {
    /// Creates the engines and starts their loops in the current local set.
    pub fn start(fleet: &fleet::FleetSpec) -> rc::Rc<Self> {
        let engines = fleet.runners.iter().map(FakeEngine::new).collect();
        let pool = rc::Rc::new(Self {
            fleet: fleet.clone(),
            engines,
            prefilled: cell::Cell::new(0),
        });
        for index in 0..pool.engines.len() {
            tokio::task::spawn_local(run_engine(rc::Rc::clone(&pool), index));
        }
        pool
    }

    /// Answers a node that asks an engine for its report; the load is `late` old.
    pub fn report(&self, index: usize, late: std_time::Duration) -> ReportAnswer {
        let engine = &self.engines[index];
        let spec = &engine.spec;
        if engine.silent.get() {
            return ReportAnswer::Silence;
        }
        if !engine.alive.get() {
            return ReportAnswer::Refused;
        }
        ReportAnswer::Report(upstream::EngineReport {
            incarnation: engine.incarnation.get(),
            held: vec![upstream::HeldLayers {
                model: fleet::MODEL.to_owned(),
                version: "1".to_owned(),
                layers: spec.layers,
            }],
            running: engine.running(late),
            waiting: 0,
            tokens_per_second: spec.kind.rate(),
            leaving: false,
            fencing: 0,
            // Engines do not say how old their figures are.
            age_ms: 0,
        })
    }

    /// Tells whether an engine answers.
    pub fn is_up(&self, index: usize) -> bool {
        let engine = &self.engines[index];
        engine.alive.get() && !engine.silent.get()
    }

    /// Ends an engine's process: every engine and node that waits for it hears so.
    pub fn kill(&self, index: usize) {
        let engine = &self.engines[index];
        engine.alive.set(false);
        engine.queue.borrow_mut().clear();
        for run in engine.attempts.take().iter().filter_map(rc::Weak::upgrade) {
            if !run.cancelled.get() {
                run.tell_fault(index);
            }
        }
    }

    /// Cuts an engine off: nobody hears anything of it.
    pub fn silence(&self, index: usize) {
        let engine = &self.engines[index];
        engine.silent.set(true);
        engine.queue.borrow_mut().clear();
    }

    /// Begins an attempt.
    ///
    /// # Errors
    ///
    /// When the first engine refuses the connection; a silent one gives none.
    pub fn begin(&self, run: &rc::Rc<AttemptRun>) -> Result<(), DeadEngine> {
        let first = &self.engines[run.route[0].engine];
        if !first.alive.get() {
            return Err(DeadEngine);
        }
        for stage in &run.route {
            let engine = &self.engines[stage.engine];
            engine.attempts.borrow_mut().push(rc::Rc::downgrade(run));
            let dead = !engine.alive.get() || engine.incarnation.get() != stage.incarnation;
            if dead && !first.silent.get() {
                run.tell_fault(stage.engine);
                return Ok(());
            }
        }
        self.enter(TokenPass {
            run: rc::Rc::clone(run),
            index: run.delivered,
            hop: 0,
            proof: Vec::with_capacity(run.route.len()),
            places: 0,
        });
        Ok(())
    }

    fn enter(&self, mut pass: TokenPass) {
        let index = pass.run.route[pass.hop].engine;
        let engine = &self.engines[index];
        if !engine.alive.get() || engine.silent.get() {
            return;
        }
        pass.places = 1;
        if pass.index == pass.run.delivered {
            let fresh = prefill_places(engine.fresh_tokens(&pass.run));
            self.prefilled.set(self.prefilled.get() + u64::from(fresh));
            pass.places += fresh;
        }
        let arrival = time::Instant::now() + self.delay(&pass, index);
        let turn = engine.turn.get();
        engine.turn.set(turn + 1);
        let key = (pass.run.priority, arrival, turn);
        engine.queue.borrow_mut().insert(key, pass);
        engine.arrived.notify_one();
    }

    /// Returns the delay of the link over which a token comes.
    fn delay(&self, pass: &TokenPass, index: usize) -> std_time::Duration {
        let route = &pass.run.route;
        let before = match (pass.hop, pass.index == pass.run.delivered) {
            (0, true) => return std_time::Duration::ZERO,
            (0, false) => route[route.len() - 1].engine,
            (hop, _) => route[hop - 1].engine,
        };
        let domain = |index: usize| self.engines[index].spec.domain;
        self.fleet.delay(domain(before), domain(index))
    }

    fn leave(&self, mut pass: TokenPass) {
        let stage = pass.run.route[pass.hop];
        pass.proof.push(upstream::StageStamp {
            incarnation: stage.incarnation,
            layers: stage.layers,
        });
        pass.hop += 1;
        if pass.hop < pass.run.route.len() {
            self.enter(pass);
            return;
        }
        let last = pass.index + 1 == pass.run.max_tokens;
        let token = upstream::StageToken {
            request: pass.run.request.clone(),
            attempt: pass.run.attempt,
            index: pass.index,
            text: String::new(),
            proof: std::mem::replace(&mut pass.proof, Vec::with_capacity(pass.hop)),
            finish: last.then_some(upstream::FinishReason::Length),
        };
        // A node that gave the attempt up has closed its end.
        let _ = pass.run.sender.send(EngineMessage::Token(token));
        if !last {
            pass.index += 1;
            pass.hop = 0;
            self.enter(pass);
        }
    }
}

/// What comes of asking for a report.
#[derive(Clone, Debug)]
pub enum ReportAnswer {
    /// A report.
    Report(upstream::EngineReport),
    /// Nothing listens there.
    Refused,
    /// No answer.
    Silence,
}

/// Returns the places in batches that tokens of a prompt take.
pub fn prefill_places(tokens: u32) -> u32 {
    tokens.div_ceil(PREFILL_TOKENS)
}

/// The engine's process has ended.
#[derive(Clone, Copy, Debug)]
pub struct DeadEngine;

impl AttemptRun {
    fn tell_fault(&self, engine: usize) {
        let hop = self.route.iter().position(|stage| stage.engine == engine);
        let fault = upstream::StageFault {
            request: self.request.clone(),
            attempt: self.attempt,
            fault_hop: hop.unwrap_or(0),
            refused: false,
            unreached: false,
        };
        // A node that gave the attempt up has closed its end.
        let _ = self.sender.send(EngineMessage::Fault(fault));
    }
}

impl FakeEngine {
    fn new(spec: &fleet::RunnerSpec) -> Self {
        Self {
            spec: spec.clone(),
            incarnation: cell::Cell::new(1),
            alive: cell::Cell::new(true),
            silent: cell::Cell::new(false),
            queue: cell::RefCell::default(),
            arrived: Notify::new(),
            turn: cell::Cell::new(0),
            attempts: cell::RefCell::default(),
            counts: cell::RefCell::default(),
            prefixes: cell::RefCell::default(),
            resumable: cell::RefCell::default(),
        }
    }

    /// Returns the attempts that ran some time ago.
    fn running(&self, late: std_time::Duration) -> u32 {
        let now = time::Instant::now();
        let mut attempts = self.attempts.borrow_mut();
        attempts.retain(|run| run.upgrade().is_some_and(|run| !run.cancelled.get()));
        let mut counts = self.counts.borrow_mut();
        counts.push_back((now, attempts.len() as u32));
        while counts
            .get(1)
            .is_some_and(|(at, _)| now.duration_since(*at) >= late)
        {
            counts.pop_front();
        }
        counts.front().map_or(0, |(_, count)| *count)
    }

    /// Returns the tokens that an attempt needs computed here before its first.
    fn fresh_tokens(&self, run: &AttemptRun) -> u32 {
        let mut resumable = self.resumable.borrow_mut();
        if run.attempt > 1 && resumable.contains(&run.request) {
            return 0;
        }
        if resumable.len() == RESUME_LIMIT {
            resumable.pop_front();
        }
        resumable.push_back(run.request.clone());
        let known = run.prefix.map_or(
            0,
            |(prefix, tokens)| {
                if self.touch(prefix) { tokens } else { 0 }
            },
        );
        run.prompt_tokens.saturating_sub(known) + run.delivered
    }

    fn touch(&self, prefix: u64) -> bool {
        let mut prefixes = self.prefixes.borrow_mut();
        let found = prefixes.iter().position(|known| *known == prefix);
        if let Some(position) = found {
            prefixes.remove(position);
        } else if prefixes.len() == PREFIX_LIMIT {
            prefixes.pop_front();
        }
        prefixes.push_back(prefix);
        found.is_some()
    }

    /// Takes what has arrived, up to a batch; prompts take at most half of it.
    fn take_batch(&self, now: time::Instant) -> Vec<TokenPass> {
        let mut queue = self.queue.borrow_mut();
        let batch = self.spec.kind.batch;
        let mut room = batch;
        let mut room_for_prompts = (batch / 2).max(1);
        let mut done = Vec::new();
        let mut cancelled = Vec::new();
        for (key, pass) in queue.iter_mut() {
            if room == 0 {
                break;
            }
            if pass.run.cancelled.get() {
                cancelled.push(*key);
                continue;
            }
            if key.1 > now {
                continue;
            }
            let prompt = pass.places > 1;
            let most = if prompt { room_for_prompts } else { room };
            let used = pass.places.min(room).min(most);
            pass.places -= used;
            room -= used;
            if prompt {
                room_for_prompts -= used;
            }
            if pass.places == 0 {
                done.push(*key);
            }
        }
        for key in cancelled {
            queue.remove(&key);
        }
        done.iter().filter_map(|key| queue.remove(key)).collect()
    }

    fn next_arrival(&self) -> Option<time::Instant> {
        let queue = self.queue.borrow();
        queue.keys().map(|(_, arrival, _)| *arrival).min()
    }
}

async fn run_engine(pool: rc::Rc<EnginePool>, index: usize) {
    let engine = &pool.engines[index];
    loop {
        let now = time::Instant::now();
        let ready = engine.next_arrival().is_some_and(|arrival| arrival <= now);
        if ready {
            let done = engine.take_batch(now);
            time::sleep(engine.spec.kind.step).await;
            if engine.alive.get() && !engine.silent.get() {
                done.into_iter().for_each(|pass| pool.leave(pass));
            }
            continue;
        }
        match engine.next_arrival() {
            Some(arrival) => {
                let _ = time::timeout_at(arrival, engine.arrived.notified()).await;
            }
            None => engine.arrived.notified().await,
        }
    }
}
