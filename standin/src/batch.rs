//! How a stand-in engine batches tokens, caches prefixes and reports late.

use std::collections;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::document;
use tokio::sync::{Notify, oneshot};
use tokio::time;

/// Prefixes that an engine keeps.
const PREFIX_LIMIT: usize = 64;

/// Bytes of a prompt that make up its prefix.
const PREFIX_BYTES: usize = 256;

/// Counts that are kept for late reports.
const COUNT_LIMIT: usize = 256;

/// Tokens that wait for a step, most urgent first.
type WaitingTokens = collections::BTreeMap<(document::RequestPriority, u64), oneshot::Sender<()>>;

#[derive(Debug, Default)]
struct BatchQueue {
    waiting: sync::Mutex<WaitingTokens>,
    turn: atomic::AtomicU64,
    arrived: Notify,
}

impl BatchQueue {
    fn lock(&self) -> sync::MutexGuard<'_, WaitingTokens> {
        self.waiting
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

/// Passes tokens in steps of a fixed time, at most a batch in each.
#[derive(Debug)]
pub struct StepBatcher {
    step: std_time::Duration,
    batch: usize,
    queue: sync::Arc<BatchQueue>,
}

impl StepBatcher {
    /// Starts the loop of steps.
    pub fn start(step: std_time::Duration, batch: usize) -> Self {
        let queue = sync::Arc::new(BatchQueue::default());
        if !step.is_zero() {
            tokio::spawn(run_steps(sync::Arc::clone(&queue), step, batch));
        }
        Self { step, batch, queue }
    }

    /// Waits until a token has passed.
    pub async fn pass(&self, priority: document::RequestPriority) {
        if self.step.is_zero() {
            return;
        }
        let (sender, receiver) = oneshot::channel();
        let turn = self.queue.turn.fetch_add(1, atomic::Ordering::Relaxed);
        self.queue.lock().insert((priority, turn), sender);
        self.queue.arrived.notify_one();
        // The loop ends only with the process.
        let _ = receiver.await;
    }

    /// Returns the tokens a second that can pass, 0 where there is no bound.
    pub fn rate(&self) -> u64 {
        match self.step.as_micros() {
            0 => 0,
            micros => (self.batch as u128 * 1_000_000 / micros) as u64,
        }
    }
}

async fn run_steps(queue: sync::Arc<BatchQueue>, step: std_time::Duration, batch: usize) {
    loop {
        let taken = take_batch(&queue, batch);
        if taken.is_empty() {
            queue.arrived.notified().await;
            continue;
        }
        time::sleep(step).await;
        for sender in taken {
            // A token whose attempt was cancelled has no receiver.
            let _ = sender.send(());
        }
    }
}

fn take_batch(queue: &BatchQueue, batch: usize) -> Vec<oneshot::Sender<()>> {
    let mut waiting = queue.lock();
    let mut taken = Vec::new();
    while taken.len() < batch {
        let Some((_, sender)) = waiting.pop_first() else {
            break;
        };
        if !sender.is_closed() {
            taken.push(sender);
        }
    }
    taken
}

/// Prefixes of prompts that are still in memory, the latest used last.
#[derive(Debug, Default)]
pub struct PrefixCache {
    known: sync::Mutex<Vec<blake3::Hash>>,
}

impl PrefixCache {
    /// Returns the bytes of a prompt that need not be computed, and keeps its prefix.
    pub fn touch(&self, model: &str, prompt: &str) -> usize {
        let length = prompt.len().min(PREFIX_BYTES);
        let mut hasher = blake3::Hasher::new();
        hasher.update(model.as_bytes());
        hasher.update(&prompt.as_bytes()[..length]);
        let hash = hasher.finalize();
        let mut known = self
            .known
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        let found = known.iter().position(|one| *one == hash);
        if let Some(position) = found {
            known.remove(position);
        } else if known.len() == PREFIX_LIMIT {
            known.remove(0);
        }
        known.push(hash);
        found.map_or(0, |_| length)
    }
}

#[derive(Clone, Copy, Debug)]
struct CountSample {
    at: time::Instant,
    running: u32,
}

/// A count with its age.
#[derive(Clone, Copy, Debug)]
pub struct LateCount {
    /// Attempts that ran.
    pub running: u32,
    /// Age of the count.
    pub age: std_time::Duration,
}

/// Holds counts back, as engines that report late do.
#[derive(Debug, Default)]
pub struct ReportDelay {
    samples: sync::Mutex<collections::VecDeque<CountSample>>,
}

impl ReportDelay {
    /// Takes the attempts that run now and returns the latest count that is
    /// old enough, else the oldest.
    pub fn delay(&self, running: u32, delay: std_time::Duration) -> LateCount {
        let now = time::Instant::now();
        let mut samples = self
            .samples
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        if samples.len() == COUNT_LIMIT {
            samples.pop_front();
        }
        samples.push_back(CountSample { at: now, running });
        let old_enough = samples.partition_point(|sample| now.duration_since(sample.at) >= delay);
        let sample = samples[old_enough.saturating_sub(1)];
        LateCount {
            running: sample.running,
            age: now.duration_since(sample.at),
        }
    }
}
