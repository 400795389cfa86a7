//! Callers that keep address answers and go on to the next address themselves.

use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use tokio::{task, time};

use crate::{fleet, model};

/// Tokens that one request asks for.
const TOKENS: u32 = 40;

/// Longest time that a caller waits for an answer before it tries elsewhere.
const PATIENCE: std_time::Duration = std_time::Duration::from_millis(600);

/// Longest time that a caller waits for an address answer.
const ADDRESS_PATIENCE: std_time::Duration = std_time::Duration::from_millis(200);

/// Pause between two requests of one caller.
const PAUSE: std_time::Duration = std_time::Duration::from_millis(20);

/// A call that did not succeed at its first address.
#[derive(Clone, Debug)]
pub struct CallTrouble {
    /// Time from the start of the callers to the begin of the first try.
    pub began: std_time::Duration,
    /// What happened at each address tried.
    pub causes: Vec<String>,
    /// Time from the begin of the first try to the end of the whole answer.
    pub recovery: std_time::Duration,
}

/// What callers saw.
#[derive(Debug, Default)]
pub struct LoadResult {
    /// Requests answered completely.
    pub answered: u64,
    /// Requests that were answered with another text than the model's.
    pub wrong: u64,
    /// Requests that did not succeed at their first address.
    pub troubles: Vec<CallTrouble>,
}

impl LoadResult {
    /// Returns the recovery time below which `part` of all troubled calls lie.
    pub fn recovery(&self, part: f64) -> std_time::Duration {
        let mut times: Vec<_> = self.troubles.iter().map(|call| call.recovery).collect();
        times.sort_unstable();
        let place = (times.len() as f64 * part).ceil() as usize;
        let last = times.len().saturating_sub(1);
        times
            .get(place.saturating_sub(1).min(last))
            .copied()
            .unwrap_or_default()
    }
}

/// Callers that run until stopped.
pub struct FleetLoad {
    stop: sync::Arc<atomic::AtomicBool>,
    result: sync::Arc<sync::Mutex<LoadResult>>,
    tasks: Vec<task::JoinHandle<()>>,
}

impl FleetLoad {
    /// Starts `callers` callers that know the fleet's nodes and keep answers
    /// for as long as they are told.
    pub fn start(fleet: &fleet::TestFleet, callers: usize) -> Self {
        let stop = sync::Arc::new(atomic::AtomicBool::new(false));
        let result = sync::Arc::new(sync::Mutex::new(LoadResult::default()));
        let known: Vec<_> = fleet.nodes.iter().map(|node| node.callers).collect();
        let layers = fleet.options.layers;
        let started = time::Instant::now();
        let tasks = (0..callers)
            .map(|number| {
                let caller = FleetCaller {
                    name: format!("caller-{number}"),
                    known: known.clone(),
                    fresh_until: time::Instant::now(),
                    layers,
                    started,
                };
                let stop = sync::Arc::clone(&stop);
                tokio::spawn(caller.run(stop, sync::Arc::clone(&result)))
            })
            .collect();
        Self {
            stop,
            result,
            tasks,
        }
    }

    /// Takes what callers saw since it was taken last.
    pub fn take(&self) -> LoadResult {
        let mut result = self
            .result
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        std::mem::take(&mut *result)
    }

    /// Stops the callers after their current requests.
    pub async fn stop(self) -> LoadResult {
        self.stop.store(true, atomic::Ordering::Relaxed);
        for task in self.tasks {
            // A caller that panicked shows in its counts.
            let _ = task.await;
        }
        let mut result = self
            .result
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner);
        std::mem::take(&mut *result)
    }
}

/// A caller with its kept answer.
struct FleetCaller {
    name: String,
    known: Vec<net::SocketAddr>,
    fresh_until: time::Instant,
    layers: u32,
    started: time::Instant,
}

impl FleetCaller {
    async fn run(
        mut self,
        stop: sync::Arc<atomic::AtomicBool>,
        result: sync::Arc<sync::Mutex<LoadResult>>,
    ) {
        let mut number = 0_u64;
        while !stop.load(atomic::Ordering::Relaxed) {
            if time::Instant::now() >= self.fresh_until {
                self.renew().await;
            }
            let prompt = format!("{}-{number}", self.name);
            number += 1;
            self.request(&prompt, &result).await;
            time::sleep(PAUSE).await;
        }
    }

    /// Asks the known addresses in turn for a fresh answer.
    async fn renew(&mut self) {
        let path = format!("/v1/addresses?caller={}", self.name);
        for address in self.known.clone() {
            let asked = fleet::call(address, http::Method::GET, &path, "", &[], String::new());
            let begun = time::Instant::now();
            let Ok(Ok((200, body))) = time::timeout(ADDRESS_PATIENCE, asked).await else {
                continue;
            };
            let Ok(answer) = serde_json::from_str::<serde_json::Value>(&body) else {
                continue;
            };
            let addresses = serde_json::from_value::<Vec<_>>(answer["addresses"].clone());
            let keep = answer["keep_ms"].as_u64().unwrap_or_default();
            if let Ok(addresses) = addresses
                && !addresses.is_empty()
            {
                self.known = addresses;
                self.fresh_until = begun + std_time::Duration::from_millis(keep);
                return;
            }
        }
    }

    /// Sends one request to the known addresses in turn until one answers.
    async fn request(&mut self, prompt: &str, result: &sync::Mutex<LoadResult>) {
        let expected = model::expected("assistant", self.layers, prompt, TOKENS);
        let begun = time::Instant::now();
        let mut causes = Vec::new();
        loop {
            for address in self.known.clone() {
                match time::timeout(PATIENCE, complete(address, prompt)).await {
                    Ok(Ok(text)) => {
                        let mut result =
                            result.lock().unwrap_or_else(sync::PoisonError::into_inner);
                        result.answered += 1;
                        result.wrong += u64::from(text != expected);
                        if !causes.is_empty() {
                            result.troubles.push(CallTrouble {
                                began: begun.duration_since(self.started),
                                causes,
                                recovery: begun.elapsed(),
                            });
                        }
                        return;
                    }
                    Ok(Err(error)) => causes.push(format!("{address}: {error:#}")),
                    Err(_) => causes.push(format!("{address}: no answer in time")),
                }
                // The address that failed goes last.
                self.known.rotate_left(1);
            }
            self.renew().await;
        }
    }
}

async fn complete(address: net::SocketAddr, prompt: &str) -> anyhow::Result<String> {
    let order = serde_json::json!({
        "model": "assistant", "prompt": prompt, "max_tokens": TOKENS,
    });
    let (status, body) = fleet::call(
        address,
        http::Method::POST,
        "/v1/completions",
        fleet::CALLER_KEY,
        &[],
        order.to_string(),
    )
    .await?;
    anyhow::ensure!(status == 200, "status {status}: {body}");
    let answer: serde_json::Value = serde_json::from_str(&body)?;
    let text = answer["choices"][0]["text"].as_str();
    Ok(text.unwrap_or_default().to_owned())
}
