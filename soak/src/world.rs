//! One seed: a fleet of gateways before stand-ins, its faults and the checks.

use std::fs;
use std::net;
use std::path;
use std::sync;
use std::time;

use anyhow::Context;
use arbutusfold_platform_standin::{caller, operator, runner, server, store};
use nix::sys::signal;
use tokio::task;

use crate::plan;
use crate::process;
use crate::proxy;

/// Layers of the soak's model.
const LAYERS: u32 = 80;

/// Runners of the plain service, the first ones of all.
const PLAIN_RUNNERS: usize = 2;

/// Failure domains.
const DOMAINS: [&str; 2] = ["a", "b"];

/// Key and name of the soak's organisation.
const KEY: &str = "soak-key";
const ORGANISATION: &str = "house";

/// Longest time until the fleet is ready.
const START_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time after the last fault within which the fleet serves again: the
/// deployments' `recoverS` of 12 s.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(12);

/// Part of the calls after recovery that must be served.
const RECOVERED_PART: f64 = 0.95;

/// Time between two calls.
const CALL_PERIOD: time::Duration = time::Duration::from_millis(12);

/// Longest time that a graceful stop may take.
const STOP_TIME: time::Duration = time::Duration::from_secs(6);

/// What came of a seed.
#[derive(Clone, Debug, Default)]
pub struct SeedReport {
    /// Promises that were broken.
    pub broken: Vec<String>,
    /// Calls by their end: served, not run, failed.
    pub calls: [usize; 3],
    /// Runs that the runners saw.
    pub runs: usize,
}

/// One gateway with its proxy towards the store.
struct SoakNode {
    spec: process::GatewaySpec,
    process: tokio::sync::Mutex<Option<process::GatewayProcess>>,
    store: proxy::LoopbackProxy,
}

struct SoakWorld {
    program: path::PathBuf,
    folder: path::PathBuf,
    nodes: Vec<SoakNode>,
    store: store::StoreStandin,
    _store_server: server::StandinServer,
    fleet: runner::RunnerFleet,
    proxies: Vec<proxy::LoopbackProxy>,
    calls: sync::Mutex<Vec<caller::CallRecord>>,
    broken: sync::Mutex<Vec<String>>,
    documents: sync::atomic::AtomicU64,
}

/// Plays one seed with the gateway `program`; logs go below `folder`.
///
/// # Errors
///
/// When the soak itself cannot run.
pub async fn run_seed(
    program: &path::Path,
    folder: &path::Path,
    seed: u64,
    size: plan::SoakSize,
) -> anyhow::Result<SeedReport> {
    let folder = folder.join(format!("seed-{seed}"));
    fs::create_dir_all(&folder)?;
    let world = sync::Arc::new(SoakWorld::start(program, &folder, seed, size).await?);
    world.wait_ready().await?;
    let mut calling = task::JoinSet::new();
    let caller = sync::Arc::clone(&world);
    calling.spawn(async move { caller.call_always(seed).await });
    let watcher = sync::Arc::clone(&world);
    calling.spawn(async move { watcher.watch_documents().await });

    let mut faults = task::JoinSet::new();
    let start = tokio::time::Instant::now();
    for planned in plan::plan(seed, size) {
        tokio::time::sleep_until(start + planned.at).await;
        let world = sync::Arc::clone(&world);
        faults.spawn(async move { world.bring_about(planned).await });
    }
    while let Some(done) = faults.join_next().await {
        done.context("a fault panicked")??;
    }
    let recovered = world.wait_recovered(seed).await;
    calling.shutdown().await;
    // Calls under way end before the runs are compared.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    if !recovered {
        world.note_broken(format!(
            "not served within {RECOVERY_LIMIT:?} after the last fault"
        ));
    }
    Ok(world.report())
}

impl SoakWorld {
    async fn start(
        program: &path::Path,
        folder: &path::Path,
        seed: u64,
        size: plan::SoakSize,
    ) -> anyhow::Result<Self> {
        let ip = |node: usize| net::Ipv4Addr::new(127, 90, (seed % 250) as u8, node as u8 + 1);
        let any = |last: u8| net::SocketAddr::from(([127, 90, (seed % 250) as u8, last], 0));
        let store = store::StoreStandin::default();
        let store_server = store.serve(any(200)).await?;
        let fleet = runner::RunnerFleet::new(store.clone(), LAYERS);
        let mut proxies = Vec::new();
        for place in 0..size.runners {
            let plain = place < PLAIN_RUNNERS;
            // The runner's address is known only once it listens.
            let listener = std::net::TcpListener::bind(any(201))?;
            let address = listener.local_addr()?;
            drop(listener);
            let proxy = proxy::LoopbackProxy::start(any(202), address).await?;
            let spec = runner::RunnerSpec {
                id: format!("i-{place:02}"),
                service: if plain { "plain" } else { "model" }.to_owned(),
                domain: DOMAINS[place % DOMAINS.len()].to_owned(),
                card: (!plain).then(|| "card".to_owned()),
            };
            fleet.start(spec, address, Some(proxy.address())).await?;
            proxies.push(proxy);
        }
        let seeds: Vec<_> = (0..size.nodes.min(3)).map(ip).collect();
        let mut nodes = Vec::new();
        for node in 0..size.nodes {
            let proxy = proxy::LoopbackProxy::start(any(203), store_server.address()).await?;
            let spec = process::GatewaySpec {
                name: format!("front-{node}"),
                domain: DOMAINS[node % DOMAINS.len()].to_owned(),
                ip: ip(node),
                store: proxy.address(),
                seeds: seeds.clone(),
            };
            let process = process::GatewayProcess::start(program, &spec, folder)?;
            nodes.push(SoakNode {
                spec,
                process: tokio::sync::Mutex::new(Some(process)),
                store: proxy,
            });
        }
        let world = Self {
            program: program.to_owned(),
            folder: folder.to_owned(),
            nodes,
            store,
            _store_server: store_server,
            fleet,
            proxies,
            calls: sync::Mutex::default(),
            broken: sync::Mutex::default(),
            documents: sync::atomic::AtomicU64::new(0),
        };
        world.put_document();
        Ok(world)
    }

    /// Writes the next document; each adds a route and keeps the others.
    fn put_document(&self) {
        let version = 1 + self.documents.fetch_add(1, sync::atomic::Ordering::SeqCst);
        operator::put_document(
            &self.store,
            &operator::DocumentSpec {
                version,
                layers: LAYERS,
                organisation: ORGANISATION,
                key: KEY,
            },
        );
    }

    async fn wait_ready(&self) -> anyhow::Result<()> {
        let deadline = tokio::time::Instant::now() + START_LIMIT;
        while tokio::time::Instant::now() < deadline {
            let mut ready = self.fleet.is_covered();
            for node in &self.nodes {
                ready = ready && caller::is_ready(node.spec.ready()).await;
            }
            if ready {
                return Ok(());
            }
            tokio::time::sleep(time::Duration::from_millis(100)).await;
        }
        anyhow::bail!("the fleet was not ready within {START_LIMIT:?}")
    }

    /// Calls nodes in turn, without end.
    async fn call_always(self: sync::Arc<Self>, seed: u64) {
        let mut under_way = task::JoinSet::new();
        let mut ticks = tokio::time::interval(CALL_PERIOD);
        for number in 0_u64.. {
            ticks.tick().await;
            let world = sync::Arc::clone(&self);
            under_way
                .spawn(async move { world.call(&format!("{seed:x}-{number:x}"), number).await });
            while under_way.try_join_next().is_some() {}
        }
    }

    async fn call(&self, request: &str, number: u64) -> caller::CallOutcome {
        let kinds = [
            caller::CallKind::Stream,
            caller::CallKind::Post,
            caller::CallKind::Stream,
            caller::CallKind::Get,
        ];
        let node = &self.nodes[number as usize % self.nodes.len()];
        let kind = kinds[(number / 7) as usize % kinds.len()];
        let record = caller::call(node.spec.callers(), request.to_owned(), kind, KEY).await;
        if let caller::CallOutcome::Wrong(cause) = &record.outcome {
            self.note_broken(format!("{request} {kind:?} at {}: {cause}", node.spec.name));
        }
        let end = record.outcome.clone();
        lock(&self.calls).push(record);
        end
    }

    /// Asks each node in turn for the newest routes: what one process knew
    /// once, it must not forget.
    async fn watch_documents(self: sync::Arc<Self>) {
        let mut known: Vec<(u32, u64)> = vec![(0, 0); self.nodes.len()];
        for number in 0_u64.. {
            tokio::time::sleep(time::Duration::from_millis(40)).await;
            let place = number as usize % self.nodes.len();
            let node = &self.nodes[place];
            let Some(before) = self.process_id(node).await else {
                continue;
            };
            let newest = self.documents.load(sync::atomic::Ordering::SeqCst);
            let version = if known[place].0 == before {
                known[place].1
            } else {
                0
            };
            let asked = newest.max(1);
            let path = format!("/v{asked}/x");
            let request = format!("doc-{number:x}");
            let answer = caller::has_route(node.spec.callers(), &path, &request, KEY).await;
            if self.process_id(node).await != Some(before) {
                continue;
            }
            match answer {
                Some(true) => known[place] = (before, version.max(asked)),
                Some(false) if version >= asked => {
                    self.note_broken(format!("{} forgot document {asked}", node.spec.name));
                }
                _ => {}
            }
        }
    }

    async fn process_id(&self, node: &SoakNode) -> Option<u32> {
        // A node that is being stopped or started is left alone.
        let process = node.process.try_lock().ok()?;
        process.as_ref().map(process::GatewayProcess::id)
    }

    async fn bring_about(&self, planned: plan::PlannedFault) -> anyhow::Result<()> {
        let length = planned.length;
        match planned.fault {
            plan::SoakFault::KillNode(node) => self.restart(node, length, false).await?,
            plan::SoakFault::StopNode(node) => self.restart(node, length, true).await?,
            plan::SoakFault::FreezeNode(node) => {
                let process = self.nodes[node].process.lock().await;
                if let Some(process) = process.as_ref() {
                    process.signal(signal::Signal::SIGSTOP)?;
                    tokio::time::sleep(length).await;
                    process.signal(signal::Signal::SIGCONT)?;
                }
            }
            plan::SoakFault::StorePath(node, fault) => {
                self.nodes[node].store.set_fault(fault);
                tokio::time::sleep(length).await;
                self.nodes[node].store.set_fault(proxy::ProxyFault::None);
            }
            plan::SoakFault::StoreBusy => self.fail_store(store::StoreFault::Busy, length).await,
            plan::SoakFault::StoreSilent => {
                self.fail_store(store::StoreFault::Silent, length).await;
            }
            plan::SoakFault::StoreLosesAnswers => {
                self.fail_store(store::StoreFault::LostAnswers, length)
                    .await;
            }
            plan::SoakFault::StoreForgets => self.store.drop_history(),
            plan::SoakFault::KillRunner(place) => {
                let id = self.fleet.ids()[place].clone();
                self.fleet.kill(&id);
                tokio::time::sleep(length).await;
                self.fleet.restart(&id).await?;
            }
            plan::SoakFault::DarkRunner(place) => {
                let id = self.fleet.ids()[place].clone();
                self.fleet.hang(&id);
                tokio::time::sleep(length).await;
                self.fleet.restart(&id).await?;
            }
            plan::SoakFault::RunnerPath(place, fault) => {
                self.proxies[place].set_fault(fault);
                tokio::time::sleep(length).await;
                self.proxies[place].set_fault(proxy::ProxyFault::None);
            }
            plan::SoakFault::NewDocument => self.put_document(),
        }
        Ok(())
    }

    async fn fail_store(&self, fault: store::StoreFault, length: time::Duration) {
        self.store.set_fault(fault);
        tokio::time::sleep(length).await;
        self.store.set_fault(store::StoreFault::None);
    }

    async fn restart(
        &self,
        node: usize,
        pause: time::Duration,
        graceful: bool,
    ) -> anyhow::Result<()> {
        let node = &self.nodes[node];
        let mut held = node.process.lock().await;
        if let Some(mut process) = held.take() {
            let was_ready = caller::is_ready(node.spec.ready()).await;
            if graceful {
                process.signal(signal::Signal::SIGTERM)?;
                match process.wait(STOP_TIME).await {
                    Some(status) if status.success() => {}
                    // A process that has not come up yet serves nobody.
                    Some(_) if !was_ready => {}
                    Some(status) => {
                        self.note_broken(format!("{} ended with {status}", node.spec.name));
                    }
                    None => self.note_broken(format!("{} did not stop", node.spec.name)),
                }
            }
            process.kill();
        }
        tokio::time::sleep(pause).await;
        let process = process::GatewayProcess::start(&self.program, &node.spec, &self.folder)?;
        *held = Some(process);
        Ok(())
    }

    /// Calls every node until nearly all calls are served again.
    async fn wait_recovered(&self, seed: u64) -> bool {
        let deadline = tokio::time::Instant::now() + RECOVERY_LIMIT;
        for round in 0_u64.. {
            let calls = (0..28).map(|number| {
                let request = format!("{seed:x}-r{round:x}-{number:x}");
                async move { self.call(&request, number).await }
            });
            let mut served = 0;
            let mut asked = 0;
            for end in join_all(calls).await {
                asked += 1;
                served += usize::from(end == caller::CallOutcome::Served);
            }
            if served as f64 >= RECOVERED_PART * asked as f64 {
                return true;
            }
            if tokio::time::Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
        false
    }

    fn report(&self) -> SeedReport {
        let runs = self.fleet.runs();
        let mut ran: Vec<_> = runs.iter().map(|run| run.request.as_str()).collect();
        ran.sort_unstable();
        let calls = lock(&self.calls);
        let mut report = SeedReport {
            broken: lock(&self.broken).clone(),
            runs: runs.len(),
            ..SeedReport::default()
        };
        report.broken.extend(self.fleet.violations());
        for call in calls.iter() {
            let place = match &call.outcome {
                caller::CallOutcome::Served => 0,
                caller::CallOutcome::NotRun(_) => 1,
                caller::CallOutcome::Failed(_) | caller::CallOutcome::Wrong(_) => 2,
            };
            report.calls[place] += 1;
            // A stream may have run elsewhere before and be refused later.
            let once = call.kind == caller::CallKind::Post;
            let promised = matches!(call.outcome, caller::CallOutcome::NotRun(_)) && once;
            if promised && ran.binary_search(&call.request.as_str()).is_ok() {
                report
                    .broken
                    .push(format!("{}: refused and ran", call.request));
            }
        }
        let foreign = runs
            .iter()
            .filter(|run| run.organisation.as_deref() != Some(ORGANISATION));
        let foreign = foreign.map(|run| format!("{}: ran for {:?}", run.request, run.organisation));
        report.broken.extend(foreign);
        report
    }

    fn note_broken(&self, cause: String) {
        lock(&self.broken).push(cause);
    }
}

async fn join_all<F>(calls: impl Iterator<Item = F>) -> Vec<caller::CallOutcome>
where
    F: Future<Output = caller::CallOutcome>,
{
    futures_util::future::join_all(calls).await
}

fn lock<T>(held: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    held.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
