//! Deaths of runners during the runs of a request.
//!
//! A broken run does not show by itself that its runner died: connections are
//! also reset and answers lost while the runner works on. So the runner is
//! asked for a report, once for all requests that broke there together, and the
//! death counts for a request only if no process, or another one, answers.

use std::net;
use std::sync;
use std::time as std_time;

use derive_more::Display;
use tokio::{task, time};

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::metrics;
use crate::gateway::runner_call;
use crate::gateway::suspects;
use crate::id;
use crate::suspect;
use crate::suspect::ledger;

/// Timeout for connecting to a runner that may be dead, and for its report.
const CHECK_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(300);

/// Time for which a runner that is gone is not checked again.
const GONE_TTL: std_time::Duration = std_time::Duration::from_secs(1);

/// Time for which a check that a runner answered holds for other requests. It may
/// die at any time, so this only joins the checks of one moment.
const ALIVE_TTL: std_time::Duration = std_time::Duration::from_millis(50);

/// Least time after which a run that was left unfinished is checked.
const UNFINISHED_DELAY: std_time::Duration = std_time::Duration::from_millis(500);

/// Interval at which such runs are checked, so that those on one runner share a
/// check.
const UNFINISHED_PERIOD: std_time::Duration = std_time::Duration::from_millis(1_000);

/// What made a request suspect that a runner died.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum CrashSign {
    /// The connection broke before the response head.
    #[display("connection")]
    Connection,
    /// The response body broke off.
    #[display("body")]
    Body,
    /// There was no answer in time.
    #[display("timeout")]
    Timeout,
    /// The stream fell silent there, or the first runner waits for it.
    #[display("silence")]
    Silence,
    /// A rejection that took long names it.
    #[display("rejection")]
    Rejection,
    /// The run was still under way when its caller left or its time was up.
    #[display("unfinished")]
    Unfinished,
}

/// A runner that a request is sent to.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct RunnerInstance {
    /// Its id and the start of its process.
    pub crash: suspect::CrashId,
    /// Its address.
    pub address: net::SocketAddr,
}

/// Runners that a request was sent to at the same time.
#[derive(Clone, Debug)]
struct RunExposure {
    runners: Vec<id::UpstreamName>,
    started_at: time::Instant,
    kind: RunKind,
    crashed: bool,
}

/// What is known of a request when a run begins.
#[derive(Clone, Copy, Debug, Display, PartialEq, Eq)]
pub enum RunKind {
    /// No runner died under it.
    #[display("fresh")]
    Fresh,
    /// Runners died under it.
    #[display("repeated")]
    Repeated,
    /// It is quarantined, and this run is its trial.
    #[display("trial")]
    Trial,
}

/// The runs of one request and the deaths of runners during them.
///
/// Runners that get the request at the same time are counted as one death at
/// most: a failure domain that dies as a whole leaves several.
#[derive(Debug, Default)]
pub struct CrashTrace {
    state: sync::Mutex<TraceState>,
}

#[derive(Debug, Default)]
struct TraceState {
    exposures: Vec<RunExposure>,
    crashes: Vec<ledger::CrashRecord>,
    checks: Vec<task::JoinHandle<()>>,
    end: Option<RequestEnd>,
}

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestEnd {
    /// A runner answered it completely.
    Answered,
    /// No runner did.
    Unanswered,
}

impl CrashTrace {
    /// Records that the request is sent to runners that it was not sent to before.
    pub fn begin(&self, runners: &[id::UpstreamName], kind: RunKind, now: time::Instant) {
        lock(&self.state).exposures.push(RunExposure {
            runners: runners.to_vec(),
            started_at: now,
            kind,
            crashed: false,
        });
    }

    /// Records that a runner died during the latest run on it.
    ///
    /// Returns how long before `now` that run began and what was known then, or
    /// `None` if the death does not count: the request was not sent there, or
    /// another death among the runners of that run counts already.
    pub fn record(
        &self,
        crash: &suspect::CrashId,
        progressed: bool,
        now: time::Instant,
    ) -> Option<(std_time::Duration, RunKind)> {
        let mut state = lock(&self.state);
        let mut exposures = state.exposures.iter_mut().rev();
        let exposure = exposures.find(|exposure| exposure.runners.contains(&crash.upstream))?;
        let age = now.saturating_duration_since(exposure.started_at);
        let kind = exposure.kind;
        if std::mem::replace(&mut exposure.crashed, true) {
            return None;
        }
        let crash = crash.clone();
        state.crashes.push(ledger::CrashRecord {
            crash,
            progressed,
            repeated: kind != RunKind::Fresh,
            trial: kind == RunKind::Trial,
        });
        Some((age, kind))
    }

    /// Returns what was known of the request when the latest run on a runner began.
    pub fn kind_at(&self, runner: &str) -> Option<RunKind> {
        let state = lock(&self.state);
        let mut exposures = state.exposures.iter().rev();
        let exposure = exposures.find(|exposure| exposure.runners.iter().any(|id| id == runner))?;
        Some(exposure.kind)
    }

    /// Returns the deaths that count.
    pub fn crashes(&self) -> Vec<ledger::CrashRecord> {
        lock(&self.state).crashes.clone()
    }

    /// Records how the request ended; the first end counts.
    pub fn end(&self, end: RequestEnd) {
        lock(&self.state).end.get_or_insert(end);
    }

    /// Returns how the request ended.
    pub fn ended(&self) -> Option<RequestEnd> {
        lock(&self.state).end
    }

    /// Waits for the checks of runners that are under way.
    pub async fn settle(&self) {
        let checks = std::mem::take(&mut lock(&self.state).checks);
        for check in checks {
            // A check that panicked recorded nothing.
            let _ = check.await;
        }
    }
}

/// A runner that may have died during a run of a request.
#[derive(Clone, Debug)]
pub struct CrashSuspicion {
    /// Id of the request.
    pub request: String,
    /// Fingerprint of the request.
    pub fingerprint: suspect::RequestFingerprint,
    /// The runner.
    pub instance: RunnerInstance,
    /// Its index on the path.
    pub stage: usize,
    /// What raised the suspicion.
    pub sign: CrashSign,
    /// Whether the run produced events of a stream before.
    pub progressed: bool,
    /// Fingerprints of the shared parts of the prompt, if no answer to the request
    /// has begun.
    pub parts: Vec<suspect::RequestFingerprint>,
    /// Fingerprint whose trial the run was, if it was one.
    pub trial: Option<suspect::RequestFingerprint>,
}

/// Checks in the background whether the runner died, and records its death.
pub fn check(
    core: &sync::Arc<core::GatewayCore>,
    trace: &sync::Arc<CrashTrace>,
    suspicion: CrashSuspicion,
) {
    let task = {
        let (core, trace) = (sync::Arc::clone(core), sync::Arc::clone(trace));
        tokio::spawn(async move {
            if is_gone(&core, &suspicion.instance).await {
                record(&core, &trace, &suspicion);
            }
        })
    };
    lock(&trace.state).checks.push(task);
}

/// Checks later whether runners died during a run that nothing waits for any more.
pub fn check_unfinished(
    core: &sync::Arc<core::GatewayCore>,
    trace: &sync::Arc<CrashTrace>,
    suspicions: Vec<CrashSuspicion>,
) {
    let due_at = time::Instant::now() + UNFINISHED_DELAY;
    let since = due_at.saturating_duration_since(core.started_at);
    let periods = since.div_duration_f64(UNFINISHED_PERIOD).ceil();
    let check_at = core.started_at + UNFINISHED_PERIOD.mul_f64(periods);
    let (core, trace) = (sync::Arc::clone(core), sync::Arc::clone(trace));
    tokio::spawn(async move {
        time::sleep_until(check_at).await;
        for suspicion in suspicions {
            check(&core, &trace, suspicion);
        }
    });
}

fn record(core: &core::GatewayCore, trace: &CrashTrace, suspicion: &CrashSuspicion) {
    let crash = &suspicion.instance.crash;
    let now = time::Instant::now();
    let Some((age, kind)) = trace.record(crash, suspicion.progressed, now) else {
        return;
    };
    record_parts(core, suspicion, now - age);
    let labels = metrics::CrashLabels {
        sign: suspicion.sign.to_string(),
    };
    core.metrics.crashes.get_or_create(&labels).inc();
    let detail = format!(
        "fingerprint={} runner={} born_ms={} stage={} sign={} kind={kind} progressed={} run_ms={}",
        suspect::fingerprint_text(&suspicion.fingerprint),
        crash.upstream,
        crash.incarnation,
        suspicion.stage,
        suspicion.sign,
        suspicion.progressed,
        age.as_millis()
    );
    core.note(event::EventCode::SuspectNoted, &suspicion.request, detail);
    // The request did not wait for the check.
    if trace.ended() == Some(RequestEnd::Unanswered) {
        suspects::record_crashes(core, &suspicion.fingerprint, &trace.crashes());
    }
}

/// Records a death for the parts of the prompt. Unlike for the request itself this
/// does not wait for its end: other requests with these parts are under way.
fn record_parts(
    core: &core::GatewayCore,
    suspicion: &CrashSuspicion,
    run_started_at: time::Instant,
) {
    for part in &suspicion.parts {
        let repeated = lock(&core.suspects).was_suspect(part, run_started_at);
        let record = ledger::CrashRecord {
            crash: suspicion.instance.crash.clone(),
            progressed: false,
            repeated,
            trial: suspicion.trial == Some(*part),
        };
        suspects::record_crashes(core, part, &[record]);
    }
}

/// Recent checks of runners that may have died.
#[derive(Debug, Default)]
pub struct CrashChecks {
    recent: Vec<RecentCheck>,
}

#[derive(Debug)]
struct RecentCheck {
    crash: suspect::CrashId,
    started_at: time::Instant,
    gone: sync::Arc<tokio::sync::OnceCell<bool>>,
}

impl CrashChecks {
    /// Returns the cell for the result of a check that is under way or recent,
    /// or that of a new check.
    pub fn result(
        &mut self,
        crash: &suspect::CrashId,
        now: time::Instant,
    ) -> sync::Arc<tokio::sync::OnceCell<bool>> {
        self.recent.retain(|check| {
            let ttl = match check.gone.get() {
                Some(false) => ALIVE_TTL,
                Some(true) | None => GONE_TTL,
            };
            now.saturating_duration_since(check.started_at) < ttl
        });
        let found = self.recent.iter().find(|check| check.crash == *crash);
        if let Some(check) = found {
            return sync::Arc::clone(&check.gone);
        }
        let gone = sync::Arc::default();
        self.recent.push(RecentCheck {
            crash: crash.clone(),
            started_at: now,
            gone: sync::Arc::clone(&gone),
        });
        gone
    }
}

/// Returns whether the process of a runner no longer exists.
pub async fn is_gone(core: &core::GatewayCore, instance: &RunnerInstance) -> bool {
    let result = lock(&core.crash_checks).result(&instance.crash, time::Instant::now());
    let check = || {
        let started_ms = instance.crash.incarnation;
        runner_call::is_gone(&*core.dialer, instance.address, started_ms, CHECK_TIMEOUT)
    };
    *result.get_or_init(check).await
}
