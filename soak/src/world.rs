//! Runs one seed: starts a fleet of gateways in front of stand-ins, injects the
//! faults and checks the guarantees.

use std::ops;
use std::path;
use std::sync;
use std::time;

use anyhow::Context;
use arbutusfold_platform_standin::{caller, runner, store};
use nix::sys::signal;
use tokio::task;

use crate::deployment;
use crate::plan;
use crate::process;
use crate::proxy;

/// Time limit for the fleet to serve again after the last fault; equals the
/// deployments' `recoverS` of 12 s.
const RECOVERY_LIMIT: time::Duration = time::Duration::from_secs(12);

/// Share of calls that must be served for the fleet to count as recovered.
const RECOVERED_SHARE: f64 = 0.95;

/// Time within which a node that is reached by the store and its peers knows what
/// they know; equals the deployments' `contactMs`.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Time before the end of a cut from which on calls may wait for it.
const CUT_MARGIN: time::Duration = time::Duration::from_secs(1);

/// Requests that crash the runners that run them, and the interval at which they
/// are sent again.
const CRASH_CALLS: [(caller::CallKind, &str); 2] = [
    (caller::CallKind::Get, "/get/crash"),
    (caller::CallKind::Stream, "/model/crash"),
];
const CRASH_PERIOD: time::Duration = time::Duration::from_millis(350);

/// Time after a fault that ends runs for which it excuses calls that were cut: the
/// layers are moved then.
const AFTERMATH: time::Duration = time::Duration::from_secs(3);

/// Interval between two calls.
const CALL_PERIOD: time::Duration = time::Duration::from_millis(12);

/// Time that callers of a stream certainly wait for the next event. A stand-in ends a
/// stream itself if other runners keep it waiting for somewhat longer.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

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
    /// Number of calls whose only disturbance was the silence of sound runners.
    pub silent_count: usize,
}

/// A call with the node that it was sent to.
struct SoakCall {
    record: caller::CallRecord,
    node: usize,
    span: ops::Range<tokio::time::Instant>,
}

/// A first try of a caller at a gateway.
#[derive(Clone, Debug)]
struct FirstTry {
    node: usize,
    span: ops::Range<tokio::time::Instant>,
    is_served: bool,
}

/// Gateways that were cut from all runners.
#[derive(Clone, Debug)]
struct CutSpan {
    nodes: Vec<usize>,
    kind: proxy::PathCut,
    span: ops::Range<tokio::time::Instant>,
}

struct SoakWorld {
    deployment: deployment::SoakDeployment,
    calls: sync::Mutex<Vec<SoakCall>>,
    first_tries: sync::Mutex<Vec<FirstTry>>,
    cuts: sync::Mutex<Vec<CutSpan>>,
    /// Faults so far, with the time from the start to the end.
    faults: sync::Mutex<Vec<(plan::SoakFault, ops::Range<tokio::time::Instant>)>>,
    violations: sync::Mutex<Vec<String>>,
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
    let subnet = (seed % 250) as u8;
    let retries = process::RetryLimit::default();
    let deployment =
        deployment::SoakDeployment::start(program, &folder, subnet, size, retries).await?;
    deployment.wait_ready().await?;
    let world = sync::Arc::new(SoakWorld {
        deployment,
        calls: sync::Mutex::default(),
        first_tries: sync::Mutex::default(),
        cuts: sync::Mutex::default(),
        faults: sync::Mutex::default(),
        violations: sync::Mutex::default(),
    });
    let mut background = task::JoinSet::new();
    let load = sync::Arc::clone(&world);
    background.spawn(async move { load.generate_load(seed).await });
    for (kind, path) in CRASH_CALLS {
        let world = sync::Arc::clone(&world);
        background.spawn(async move { world.repeat_crashing(kind, path).await });
    }
    let checker = sync::Arc::clone(&world);
    background.spawn(async move { checker.check_documents().await });

    inject_faults(&world, plan::plan_faults(seed, size)).await?;
    let recovered = world.wait_recovered(seed).await;
    tokio::time::sleep(AFTERMATH).await;
    inject_faults(&world, plan::plan_silences(seed, size)).await?;
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

/// Injects these faults at their times and waits until they are over.
async fn inject_faults(
    world: &sync::Arc<SoakWorld>,
    faults: Vec<plan::PlannedFault>,
) -> anyhow::Result<()> {
    let mut injected = task::JoinSet::new();
    let start = tokio::time::Instant::now();
    for planned in faults {
        tokio::time::sleep_until(start + planned.start).await;
        let world = sync::Arc::clone(world);
        injected.spawn(async move {
            let start = tokio::time::Instant::now();
            let injected = world.inject_fault(planned).await;
            let span = start..tokio::time::Instant::now();
            lock(&world.faults).push((planned.fault, span));
            injected
        });
    }
    while let Some(done) = injected.join_next().await {
        done.context("a fault panicked")??;
    }
    Ok(())
}

impl SoakWorld {
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

    /// Sends a request that crashes its runners to the nodes in turn until the
    /// task is aborted.
    async fn repeat_crashing(self: sync::Arc<Self>, kind: caller::CallKind, path: &'static str) {
        self.deployment.fleet.add_crash_rule(runner::CrashRule {
            path: path.to_owned(),
            stage: runner::CrashStage::First,
            after_events: 0,
            run_time: time::Duration::ZERO,
        });
        for number in 0_usize.. {
            let node = number % self.deployment.nodes.len();
            let address = self.deployment.nodes[node].spec.callers();
            let request = format!("{node}{path}/{number}").replace('/', "-");
            caller::call_path(address, request, kind, path, deployment::KEY).await;
            tokio::time::sleep(CRASH_PERIOD).await;
        }
    }

    /// Returns the repeats of a crashing request that reached runners late, from
    /// nodes that should have known.
    fn late_repeats(&self, path: &str) -> Vec<String> {
        let history = self.deployment.fleet.crash_history(path);
        let late = history.late_arrivals(CONTACT);
        late.filter(|(request, at)| self.is_in_touch(request, *at))
            .map(|(request, _)| request.clone())
            .collect()
    }

    /// Returns whether neither the store nor the node of a repeat was disturbed
    /// for [`CONTACT`] before it.
    fn is_in_touch(&self, request: &str, at: tokio::time::Instant) -> bool {
        let node = request.split('-').next().and_then(|node| node.parse().ok());
        self.is_undisturbed(at, |fault| match fault {
            plan::SoakFault::StorePath(index, _) => Some(*index) == node,
            plan::SoakFault::StoreBusy
            | plan::SoakFault::StoreSilent
            | plan::SoakFault::StoreLosesAnswers
            | plan::SoakFault::StoreDropsHistory => true,
            _ => node.is_some_and(|node| is_process_fault(fault, node)),
        })
    }

    /// Returns what is wrong if callers at cut gateways were served less than two
    /// thirds as often as those at the others, from [`CONTACT`] after the cut began,
    /// and more than a few of them failed. Gateways whose processes were disturbed do
    /// not count, and the end of a cut must not be what serves a call.
    fn find_unserved(&self, cut: &CutSpan) -> Option<String> {
        let counted = cut.span.start + CONTACT..cut.span.end - CUT_MARGIN;
        let first_tries = lock(&self.first_tries);
        let share = |is_cut: bool| {
            let tries = first_tries.iter().filter(|first_try| {
                counted.contains(&first_try.span.start)
                    && cut.nodes.contains(&first_try.node) == is_cut
                    && self.is_undisturbed(first_try.span.start, |fault| {
                        is_process_fault(fault, first_try.node)
                    })
            });
            let is_served =
                |first_try: &&FirstTry| first_try.is_served && first_try.span.end < cut.span.end;
            (tries.clone().filter(is_served).count(), tries.count())
        };
        let ((served, sent), (other_served, other_sent)) = (share(true), share(false));
        let fraction = |served: usize, sent: usize| served as f64 / sent.max(1) as f64;
        let is_rare = fraction(served, sent) * 3.0 < fraction(other_served, other_sent) * 2.0;
        let allowed = 10 + (sent + other_sent) / 50;
        (is_rare && sent - served > allowed).then(|| {
            format!(
                "{:?} of gateways {:?}: {served} of {sent} first tries served there, \
                 {other_served} of {other_sent} at others",
                cut.kind, cut.nodes
            )
        })
    }

    /// Returns whether no fault that `concerns` tells was in force at a time or for
    /// [`CONTACT`] before it.
    fn is_undisturbed(
        &self,
        at: tokio::time::Instant,
        concerns: impl Fn(&plan::SoakFault) -> bool,
    ) -> bool {
        !lock(&self.faults)
            .iter()
            .any(|(fault, span)| concerns(fault) && span.start <= at && at < span.end + CONTACT)
    }

    /// Returns whether runners that a call can have met were silent, and nothing else
    /// happened that can have ended the call.
    fn met_only_silence(&self, call: &SoakCall, crashes: &[tokio::time::Instant]) -> bool {
        let span = &call.span;
        let overlaps = |fault: &ops::Range<tokio::time::Instant>, after: time::Duration| {
            fault.start <= span.end && span.start < fault.end + after
        };
        let is_silence = |fault: &plan::SoakFault| {
            let silence = proxy::ProxyFault::Silence;
            matches!(fault, plan::SoakFault::SuspendRunner(_))
                || matches!(fault, plan::SoakFault::RunnerPath(_, fault) if *fault == silence)
        };
        let can_end = |fault: &plan::SoakFault| match fault {
            plan::SoakFault::KillNode(index)
            | plan::SoakFault::StopNode(index)
            | plan::SoakFault::FreezeNode(index) => *index == call.node,
            plan::SoakFault::KillRunner(_)
            | plan::SoakFault::SilenceRunner(_)
            | plan::SoakFault::RunnerPath(_, _) => !is_silence(fault),
            _ => false,
        };
        let faults = lock(&self.faults);
        let mut faults = faults.iter();
        let met_silence = faults
            .clone()
            .any(|(fault, during)| is_silence(fault) && overlaps(during, time::Duration::ZERO));
        let crashed = crashes
            .iter()
            .any(|crash| overlaps(&(*crash..*crash), AFTERMATH));
        let ended = faults.any(|(fault, during)| can_end(fault) && overlaps(during, AFTERMATH));
        met_silence && !crashed && !ended
    }

    /// Returns the number of calls that met only the silence of sound runners, and
    /// those of them that a node cut or failed while their callers still waited.
    fn find_cut(&self) -> (usize, Vec<String>) {
        let histories = CRASH_CALLS.map(|(_, path)| self.deployment.fleet.crash_history(path));
        let crashes = histories.iter().flat_map(|history| &history.crashes);
        let crashes: Vec<_> = crashes.map(|(_, at)| *at).collect();
        let calls = lock(&self.calls);
        let met: Vec<_> = calls
            .iter()
            .filter(|call| self.met_only_silence(call, &crashes))
            .collect();
        let describe = |call: &&SoakCall| {
            let took = call.span.end - call.span.start;
            let is_waiting = call.record.kind != caller::CallKind::Stream || took < PATIENCE;
            match &call.record.outcome {
                caller::CallOutcome::Failed(cause) if is_waiting => Some(format!(
                    "{} {:?} at {}: {cause} after {} ms, beside a silence",
                    call.record.request,
                    call.record.kind,
                    self.deployment.nodes[call.node].spec.name,
                    took.as_millis()
                )),
                _ => None,
            }
        };
        (met.len(), met.iter().filter_map(describe).collect())
    }

    async fn call(&self, request: &str, number: u64) -> caller::CallOutcome {
        let kinds = [
            caller::CallKind::Stream,
            caller::CallKind::Post,
            caller::CallKind::Stream,
            caller::CallKind::Get,
        ];
        let index = number as usize % self.deployment.nodes.len();
        let node = &self.deployment.nodes[index];
        let start = tokio::time::Instant::now();
        let kind = kinds[(number / 7) as usize % kinds.len()];
        let record = caller::call(
            node.spec.callers(),
            request.to_owned(),
            kind,
            deployment::KEY,
        )
        .await;
        if let caller::CallOutcome::Wrong(cause) = &record.outcome {
            self.record_violation(format!("{request} {kind:?} at {}: {cause}", node.spec.name));
        }
        let end = record.outcome.clone();
        lock(&self.first_tries).push(FirstTry {
            node: index,
            span: start..tokio::time::Instant::now(),
            is_served: end == caller::CallOutcome::Served,
        });
        lock(&self.calls).push(SoakCall {
            record,
            node: index,
            span: start..tokio::time::Instant::now(),
        });
        end
    }

    /// Requests the newest route from each node in turn. A process that has
    /// served the route of a document must never lose it again.
    async fn check_documents(self: sync::Arc<Self>) {
        let mut confirmed: Vec<(u32, u64)> = vec![(0, 0); self.deployment.nodes.len()];
        for number in 0_u64.. {
            tokio::time::sleep(time::Duration::from_millis(40)).await;
            let index = number as usize % self.deployment.nodes.len();
            let node = &self.deployment.nodes[index];
            let Some(process_id) = self.process_id(node).await else {
                continue;
            };
            let newest = self.deployment.document_count();
            let confirmed_version = if confirmed[index].0 == process_id {
                confirmed[index].1
            } else {
                0
            };
            let expected = newest.max(1);
            let path = format!("/v{expected}/x");
            let request = format!("doc-{number:x}");
            let answer =
                caller::has_route(node.spec.callers(), &path, &request, deployment::KEY).await;
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

    async fn process_id(&self, node: &deployment::GatewayNode) -> Option<u32> {
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
                let process = self.deployment.nodes[node].process.lock().await;
                if let Some(process) = process.as_ref() {
                    process.signal(signal::Signal::SIGSTOP)?;
                    tokio::time::sleep(duration).await;
                    process.signal(signal::Signal::SIGCONT)?;
                }
            }
            plan::SoakFault::StorePath(node, fault) => {
                self.deployment.nodes[node].store.set_fault(fault);
                tokio::time::sleep(duration).await;
                self.deployment.nodes[node]
                    .store
                    .set_fault(proxy::ProxyFault::None);
            }
            plan::SoakFault::StoreBusy => self.fail_store(store::StoreFault::Busy, duration).await,
            plan::SoakFault::StoreSilent => {
                self.fail_store(store::StoreFault::Silent, duration).await;
            }
            plan::SoakFault::StoreLosesAnswers => {
                self.fail_store(store::StoreFault::LostAnswers, duration)
                    .await;
            }
            plan::SoakFault::StoreDropsHistory => self.deployment.store.drop_history(),
            plan::SoakFault::KillRunner(index) => {
                let id = self.deployment.fleet.ids()[index].clone();
                self.deployment.fleet.kill(&id);
                tokio::time::sleep(duration).await;
                self.deployment.fleet.restart(&id).await?;
            }
            plan::SoakFault::SilenceRunner(index) => {
                let id = self.deployment.fleet.ids()[index].clone();
                self.deployment.fleet.hang(&id);
                tokio::time::sleep(duration).await;
                self.deployment.fleet.restart(&id).await?;
            }
            plan::SoakFault::SuspendRunner(index) => {
                let id = self.deployment.fleet.ids()[index].clone();
                self.deployment.fleet.suspend(&id);
                tokio::time::sleep(duration).await;
                self.deployment.fleet.resume(&id);
            }
            plan::SoakFault::RunnerPath(index, fault) => {
                self.deployment.proxies[index].set_fault(fault);
                tokio::time::sleep(duration).await;
                self.deployment.proxies[index].set_fault(proxy::ProxyFault::None);
            }
            plan::SoakFault::NewDocument => self.deployment.put_document(),
            plan::SoakFault::RunnersCut(group, kind) => {
                let nodes = group.nodes(self.deployment.nodes.len());
                let start = tokio::time::Instant::now();
                for node in &nodes {
                    self.deployment.set_cut(*node, Some(kind))?;
                }
                tokio::time::sleep(duration).await;
                let span = start..tokio::time::Instant::now();
                for node in &nodes {
                    self.deployment.set_cut(*node, None)?;
                }
                lock(&self.cuts).push(CutSpan { nodes, kind, span });
            }
        }
        Ok(())
    }

    async fn fail_store(&self, fault: store::StoreFault, duration: time::Duration) {
        self.deployment.store.set_fault(fault);
        tokio::time::sleep(duration).await;
        self.deployment.store.set_fault(store::StoreFault::None);
    }

    async fn restart(
        &self,
        node: usize,
        pause: time::Duration,
        graceful: bool,
    ) -> anyhow::Result<()> {
        let node = &self.deployment.nodes[node];
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
        let process = process::GatewayProcess::start(
            &self.deployment.program,
            &node.spec,
            &self.deployment.folder,
        )?;
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
        let (silent_count, cut) = self.find_cut();
        let runs = self.deployment.fleet.runs();
        let mut ran: Vec<_> = runs.iter().map(|run| run.request.as_str()).collect();
        ran.sort_unstable();
        let calls = lock(&self.calls);
        let mut report = SeedReport {
            violations: lock(&self.violations).clone(),
            run_count: runs.len(),
            silent_count,
            ..SeedReport::default()
        };
        report.violations.extend(self.deployment.fleet.violations());
        let cuts = lock(&self.cuts);
        let unserved = cuts.iter().filter_map(|cut| self.find_unserved(cut));
        report.violations.extend(unserved);
        report.violations.extend(cut);
        for (_, path) in CRASH_CALLS {
            let late = self.late_repeats(path);
            if late.len() > runner::LATE_RETRIES {
                let violation = format!("{path}: late retries of a crashing request: {late:?}");
                report.violations.push(violation);
            }
        }
        for call in calls.iter().map(|call| &call.record) {
            let index = match &call.outcome {
                caller::CallOutcome::Served => 0,
                caller::CallOutcome::NotRun(_) => 1,
                caller::CallOutcome::Failed(_)
                | caller::CallOutcome::Wrong(_)
                | caller::CallOutcome::Left(_) => 2,
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
            .filter(|run| run.organisation.as_deref() != Some(deployment::ORGANISATION));
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

/// Returns whether a fault disturbs the process of a node.
fn is_process_fault(fault: &plan::SoakFault, node: usize) -> bool {
    match fault {
        plan::SoakFault::KillNode(index)
        | plan::SoakFault::StopNode(index)
        | plan::SoakFault::FreezeNode(index) => *index == node,
        _ => false,
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
