//! Runs one seed: starts a fleet of gateways in front of stand-ins, injects the
//! faults and checks the guarantees.

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

/// Number of layers of the model.
const LAYERS: u32 = 80;

/// Number of runners of the plain service; they come first in the list of runners.
const PLAIN_RUNNERS: usize = 2;

/// Failure domains, assigned to runners and gateways in turn.
const DOMAINS: [&str; 2] = ["a", "b"];

/// API key and name of the only organisation.
const KEY: &str = "soak-key";
const ORGANISATION: &str = "house";

/// Time limit for the fleet to become ready.
const START_LIMIT: time::Duration = time::Duration::from_secs(20);

/// Time limit for the fleet to serve again after the last fault; equals the
/// deployments' `recoverS` of 12 s.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(12);

/// Share of calls that must be served for the fleet to count as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Interval between two calls.
const CALL_PERIOD: time::Duration = time::Duration::from_millis(12);

/// Time limit for a graceful stop of a gateway process.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(6);

/// Result of one seed.
#[derive(Clone, Debug, Default)]
pub struct SeedReport {
    /// Descriptions of the guarantees that were violated.
    pub violations: Vec<String>,
    /// Number of calls by outcome: served, not run, failed.
    pub call_counts: [usize; 3],
    /// Number of executions that the runners recorded.
    pub run_count: usize,
}

/// A gateway with its proxy to the store.
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
    violations: sync::Mutex<Vec<String>>,
    document_count: sync::atomic::AtomicU64,
}

/// Runs one seed with the gateway `program`; logs are written below `folder`.
///
/// # Errors
///
/// When the test environment fails, as opposed to a violated guarantee.
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
    let mut background = task::JoinSet::new();
    let load = sync::Arc::clone(&world);
    background.spawn(async move { load.generate_load(seed).await });
    let checker = sync::Arc::clone(&world);
    background.spawn(async move { checker.check_documents().await });

    let mut faults = task::JoinSet::new();
    let start = tokio::time::Instant::now();
    for planned in plan::plan_faults(seed, size) {
        tokio::time::sleep_until(start + planned.start).await;
        let world = sync::Arc::clone(&world);
        faults.spawn(async move { world.inject_fault(planned).await });
    }
    while let Some(done) = faults.join_next().await {
        done.context("a fault panicked")??;
    }
    let recovered = world.wait_recovered(seed).await;
    background.shutdown().await;
    // Lets executions in flight finish before calls and executions are compared.
    tokio::time::sleep(time::Duration::from_secs(1)).await;
    if !recovered {
        world.record_violation(format!(
            "the fleet did not recover within {RECOVERY_LIMIT:?} after the last fault"
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
        let any_port = |last: u8| net::SocketAddr::from(([127, 90, (seed % 250) as u8, last], 0));
        let store = store::StoreStandin::default();
        let store_server = store.serve(any_port(200)).await?;
        let fleet = runner::RunnerFleet::new(store.clone(), LAYERS);
        let mut proxies = Vec::new();
        for index in 0..size.runners {
            let plain = index < PLAIN_RUNNERS;
            // The proxy needs the runner's address before the runner listens, so a
            // free port is reserved first.
            let listener = std::net::TcpListener::bind(any_port(201))?;
            let address = listener.local_addr()?;
            drop(listener);
            let proxy = proxy::LoopbackProxy::start(any_port(202), address).await?;
            let spec = runner::RunnerSpec {
                id: format!("i-{index:02}"),
                service: if plain { "plain" } else { "model" }.to_owned(),
                domain: DOMAINS[index % DOMAINS.len()].to_owned(),
                card: (!plain).then(|| "card".to_owned()),
            };
            fleet.start(spec, address, Some(proxy.address())).await?;
            proxies.push(proxy);
        }
        let seeds: Vec<_> = (0..size.nodes.min(3)).map(ip).collect();
        let mut nodes = Vec::new();
        for node in 0..size.nodes {
            let proxy = proxy::LoopbackProxy::start(any_port(203), store_server.address()).await?;
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
            violations: sync::Mutex::default(),
            document_count: sync::atomic::AtomicU64::new(0),
        };
        world.put_document();
        Ok(world)
    }

    /// Writes the next version of the document, which adds one route and keeps
    /// all earlier ones.
    fn put_document(&self) {
        let version = 1 + self
            .document_count
            .fetch_add(1, sync::atomic::Ordering::SeqCst);
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

    /// Calls the nodes in turn until the task is aborted.
    async fn generate_load(self: sync::Arc<Self>, seed: u64) {
        let mut in_flight = task::JoinSet::new();
        let mut ticks = tokio::time::interval(CALL_PERIOD);
        for number in 0_u64.. {
            ticks.tick().await;
            let world = sync::Arc::clone(&self);
            in_flight
                .spawn(async move { world.call(&format!("{seed:x}-{number:x}"), number).await });
            while in_flight.try_join_next().is_some() {}
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
            self.record_violation(format!("{request} {kind:?} at {}: {cause}", node.spec.name));
        }
        let end = record.outcome.clone();
        lock(&self.calls).push(record);
        end
    }

    /// Requests the newest route from each node in turn. A process that has
    /// served the route of a document must never lose it again.
    async fn check_documents(self: sync::Arc<Self>) {
        let mut confirmed: Vec<(u32, u64)> = vec![(0, 0); self.nodes.len()];
        for number in 0_u64.. {
            tokio::time::sleep(time::Duration::from_millis(40)).await;
            let index = number as usize % self.nodes.len();
            let node = &self.nodes[index];
            let Some(process_id) = self.process_id(node).await else {
                continue;
            };
            let newest = self.document_count.load(sync::atomic::Ordering::SeqCst);
            let confirmed_version = if confirmed[index].0 == process_id {
                confirmed[index].1
            } else {
                0
            };
            let expected = newest.max(1);
            let path = format!("/v{expected}/x");
            let request = format!("doc-{number:x}");
            let answer = caller::has_route(node.spec.callers(), &path, &request, KEY).await;
            if self.process_id(node).await != Some(process_id) {
                continue;
            }
            match answer {
                Some(true) => confirmed[index] = (process_id, confirmed_version.max(expected)),
                Some(false) if confirmed_version >= expected => {
                    self.record_violation(format!(
                        "{} lost the route of document {expected}",
                        node.spec.name
                    ));
                }
                _ => {}
            }
        }
    }

    async fn process_id(&self, node: &SoakNode) -> Option<u32> {
        // The lock is held while the node is stopped, restarted or suspended; such
        // a node is skipped.
        let process = node.process.try_lock().ok()?;
        process.as_ref().map(process::GatewayProcess::id)
    }

    async fn inject_fault(&self, planned: plan::PlannedFault) -> anyhow::Result<()> {
        let duration = planned.duration;
        match planned.fault {
            plan::SoakFault::KillNode(node) => self.restart(node, duration, false).await?,
            plan::SoakFault::StopNode(node) => self.restart(node, duration, true).await?,
            plan::SoakFault::FreezeNode(node) => {
                let process = self.nodes[node].process.lock().await;
                if let Some(process) = process.as_ref() {
                    process.signal(signal::Signal::SIGSTOP)?;
                    tokio::time::sleep(duration).await;
                    process.signal(signal::Signal::SIGCONT)?;
                }
            }
            plan::SoakFault::StorePath(node, fault) => {
                self.nodes[node].store.set_fault(fault);
                tokio::time::sleep(duration).await;
                self.nodes[node].store.set_fault(proxy::ProxyFault::None);
            }
            plan::SoakFault::StoreBusy => self.fail_store(store::StoreFault::Busy, duration).await,
            plan::SoakFault::StoreSilent => {
                self.fail_store(store::StoreFault::Silent, duration).await;
            }
            plan::SoakFault::StoreLosesAnswers => {
                self.fail_store(store::StoreFault::LostAnswers, duration)
                    .await;
            }
            plan::SoakFault::StoreDropsHistory => self.store.drop_history(),
            plan::SoakFault::KillRunner(index) => {
                let id = self.fleet.ids()[index].clone();
                self.fleet.kill(&id);
                tokio::time::sleep(duration).await;
                self.fleet.restart(&id).await?;
            }
            plan::SoakFault::SilenceRunner(index) => {
                let id = self.fleet.ids()[index].clone();
                self.fleet.hang(&id);
                tokio::time::sleep(duration).await;
                self.fleet.restart(&id).await?;
            }
            plan::SoakFault::RunnerPath(index, fault) => {
                self.proxies[index].set_fault(fault);
                tokio::time::sleep(duration).await;
                self.proxies[index].set_fault(proxy::ProxyFault::None);
            }
            plan::SoakFault::NewDocument => self.put_document(),
        }
        Ok(())
    }

    async fn fail_store(&self, fault: store::StoreFault, duration: time::Duration) {
        self.store.set_fault(fault);
        tokio::time::sleep(duration).await;
        self.store.set_fault(store::StoreFault::None);
    }

    async fn restart(
        &self,
        node: usize,
        pause: time::Duration,
        graceful: bool,
    ) -> anyhow::Result<()> {
        let node = &self.nodes[node];
        let mut slot = node.process.lock().await;
        if let Some(mut process) = slot.take() {
            let was_ready = caller::is_ready(node.spec.ready()).await;
            if graceful {
                process.signal(signal::Signal::SIGTERM)?;
                match process.wait(STOP_LIMIT).await {
                    Some(status) if status.success() => {}
                    // A process that was not ready yet served no calls, so any
                    // exit status is accepted.
                    Some(_) if !was_ready => {}
                    Some(status) => {
                        self.record_violation(format!(
                            "{} exited with {status} on a graceful stop",
                            node.spec.name
                        ));
                    }
                    None => self.record_violation(format!(
                        "{} did not stop within {STOP_LIMIT:?}",
                        node.spec.name
                    )),
                }
            }
            process.kill();
        }
        tokio::time::sleep(pause).await;
        let process = process::GatewayProcess::start(&self.program, &node.spec, &self.folder)?;
        *slot = Some(process);
        Ok(())
    }

    /// Calls the nodes in rounds until `RECOVERED_SHARE` of the calls of one round
    /// are served. Returns whether that happened within the time limit.
    async fn wait_recovered(&self, seed: u64) -> bool {
        let deadline = tokio::time::Instant::now() + RECOVERY_LIMIT;
        for round in 0_u64.. {
            let calls = (0..28).map(|number| {
                let request = format!("{seed:x}-r{round:x}-{number:x}");
                async move { self.call(&request, number).await }
            });
            let mut served = 0;
            let mut total = 0;
            for end in join_all(calls).await {
                total += 1;
                served += usize::from(end == caller::CallOutcome::Served);
            }
            if served as f64 >= RECOVERED_SHARE * total as f64 {
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
            violations: lock(&self.violations).clone(),
            run_count: runs.len(),
            ..SeedReport::default()
        };
        report.violations.extend(self.fleet.violations());
        for call in calls.iter() {
            let index = match &call.outcome {
                caller::CallOutcome::Served => 0,
                caller::CallOutcome::NotRun(_) => 1,
                caller::CallOutcome::Failed(_) | caller::CallOutcome::Wrong(_) => 2,
            };
            report.call_counts[index] += 1;
            // A stream may have run on one runner and be refused on a later
            // attempt, so only calls that run at most once are checked.
            let at_most_once = call.kind == caller::CallKind::Post;
            let must_not_run =
                matches!(call.outcome, caller::CallOutcome::NotRun(_)) && at_most_once;
            if must_not_run && ran.binary_search(&call.request.as_str()).is_ok() {
                report.violations.push(format!(
                    "{}: refused as not run, but a runner executed it",
                    call.request
                ));
            }
        }
        let foreign = runs
            .iter()
            .filter(|run| run.organisation.as_deref() != Some(ORGANISATION));
        let foreign = foreign.map(|run| {
            format!(
                "{}: executed for organisation {:?}",
                run.request, run.organisation
            )
        });
        report.violations.extend(foreign);
        report
    }

    fn record_violation(&self, cause: String) {
        lock(&self.violations).push(cause);
    }
}

async fn join_all<F>(calls: impl Iterator<Item = F>) -> Vec<caller::CallOutcome>
where
    F: Future<Output = caller::CallOutcome>,
{
    futures_util::future::join_all(calls).await
}

fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
