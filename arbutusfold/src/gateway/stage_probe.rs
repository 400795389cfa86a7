//! Checks the stages of silent streams by opening connections to their runners.
//!
//! All streams of the host share the checks, and each stream on a runner that is found
//! to have failed is woken at once.

use std::net;
use std::sync;
use std::time as std_time;

use futures_util::{FutureExt, future};
use prometheus_client::metrics::counter;
use tokio::sync as tokio_sync;
use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::crash;
use crate::gateway::direct;
use crate::gateway::request;
use crate::gateway::stage_check;
use crate::id;

/// Time limit of a connection; a live runner accepts within a few milliseconds.
const CONNECT_LIMIT: std_time::Duration = std_time::Duration::from_millis(30);

/// Time after which a second connection is opened beside an unanswered one.
const SECOND_DELAY: std_time::Duration = std_time::Duration::from_millis(30);

/// Time limit for reaching some other runner to compare with.
const CONTRAST_LIMIT: std_time::Duration = std_time::Duration::from_millis(60);

/// Time for which the result of a check holds for other streams.
const PROBE_TTL: std_time::Duration = std_time::Duration::from_millis(250);

type ProbeCell = sync::Arc<tokio_sync::OnceCell<stage_check::StageProbe>>;

/// A recent check of one runner.
#[derive(Debug)]
struct RunnerProbe {
    address: net::SocketAddr,
    started_at: time::Instant,
    cell: ProbeCell,
    /// Process that was found to have failed.
    failed: Option<id::IncarnationNumber>,
}

impl RunnerProbe {
    fn is_accepted_before(&self, since: time::Instant) -> bool {
        self.cell.get().is_some_and(|probe| {
            probe.answer == stage_check::StageAnswer::Accepted && probe.ended_at <= since
        })
    }
}

/// Opens the connections of checks and shares their results.
pub struct StageProber {
    direct: sync::Arc<direct::DirectDialer>,
    /// Recent checks, sorted by address.
    probes: sync::Mutex<Vec<RunnerProbe>>,
    /// Runners that accepted a connection of a check a short time ago.
    accepted: sync::Mutex<Vec<(net::SocketAddr, time::Instant)>>,
    /// Counts the runners that were found to have failed.
    failures: tokio_sync::watch::Sender<u64>,
}

/// A stream whose stages are checked.
#[derive(Clone, Debug)]
pub struct CheckedStream {
    /// Id of the request.
    pub request: id::RequestId,
    /// Runners of the path.
    pub stages: Vec<crash::RunnerInstance>,
    /// Objective for the silence of the stream.
    pub objective: std_time::Duration,
    /// Latest event of the stream.
    pub last_event: time::Instant,
}

impl StageProber {
    /// Creates a prober that has checked nothing yet.
    pub fn new(direct: sync::Arc<direct::DirectDialer>) -> Self {
        Self {
            direct,
            probes: sync::Mutex::default(),
            accepted: sync::Mutex::default(),
            failures: tokio_sync::watch::Sender::new(0),
        }
    }

    /// Returns a receiver that changes with each runner that is found to have failed.
    pub fn failures(&self) -> tokio_sync::watch::Receiver<u64> {
        self.failures.subscribe()
    }

    /// Opens a connection to a runner and closes it at once, or joins a check that is
    /// under way or recent; `opened` counts the connections that are opened. A connection
    /// that was accepted before `since` is not recent.
    pub async fn probe(
        &self,
        address: net::SocketAddr,
        since: time::Instant,
        opened: &counter::Counter,
    ) -> stage_check::StageProbe {
        let cell = self.cell(address, since, time::Instant::now());
        let check = async || {
            let began_at = time::Instant::now();
            let answer = self.ask(address, opened).await;
            let ended_at = time::Instant::now();
            if answer == stage_check::StageAnswer::Accepted {
                self.note_accepted(address, ended_at);
            }
            stage_check::StageProbe {
                answer,
                began_at,
                ended_at,
            }
        };
        *cell.get_or_init(check).await
    }

    /// Opens a connection, and a second one if the first is not answered at once, since
    /// a single lost packet must not look like a lost runner.
    async fn ask(
        &self,
        address: net::SocketAddr,
        opened: &counter::Counter,
    ) -> stage_check::StageAnswer {
        let ask = async |limit| {
            opened.inc();
            match self.direct.check(address, limit).await {
                stage_check::StageAnswer::Silent => Err(()),
                answer => Ok(answer),
            }
        };
        let first = ask(SECOND_DELAY + CONNECT_LIMIT);
        let second = async {
            time::sleep(SECOND_DELAY).await;
            ask(CONNECT_LIMIT).await
        };
        let answered = future::select_ok([first.boxed(), second.boxed()]).await;
        answered.map_or(stage_check::StageAnswer::Silent, |(answer, _)| answer)
    }

    fn note_accepted(&self, address: net::SocketAddr, now: time::Instant) {
        let mut accepted = lock(&self.accepted);
        accepted.retain(|(other, at)| {
            *other != address && now.saturating_duration_since(*at) < stage_check::ACCEPT_TTL
        });
        accepted.push((address, now));
    }

    /// Returns when a runner last answered this host or accepted a connection of a check.
    fn accepted_at(&self, address: net::SocketAddr) -> Option<time::Instant> {
        let accepted = lock(&self.accepted);
        let found = accepted.iter().find(|(other, _)| *other == address);
        let checked_at = found.map(|(_, at)| *at);
        checked_at.max(self.direct.reached_at(address))
    }

    fn cell(
        &self,
        address: net::SocketAddr,
        since: time::Instant,
        now: time::Instant,
    ) -> ProbeCell {
        let mut probes = lock(&self.probes);
        probes.retain(|probe| {
            let is_recent = now.saturating_duration_since(probe.started_at) < PROBE_TTL;
            is_recent && (probe.address != address || !probe.is_accepted_before(since))
        });
        match probes.binary_search_by_key(&address, |probe| probe.address) {
            Ok(index) => sync::Arc::clone(&probes[index].cell),
            Err(index) => {
                let cell = ProbeCell::default();
                probes.insert(
                    index,
                    RunnerProbe {
                        address,
                        started_at: now,
                        cell: sync::Arc::clone(&cell),
                        failed: None,
                    },
                );
                cell
            }
        }
    }

    /// Marks the checked process of a runner as failed; returns whether that is new.
    fn note_failed(&self, instance: &crash::RunnerInstance) -> bool {
        let mut probes = lock(&self.probes);
        let Ok(index) = probes.binary_search_by_key(&instance.address, |probe| probe.address)
        else {
            return false;
        };
        let failed = Some(instance.crash.incarnation);
        std::mem::replace(&mut probes[index].failed, failed) != failed
    }

    /// Returns the result of a recent check that found the process to have failed.
    fn failed_probe(&self, instance: &crash::RunnerInstance) -> Option<stage_check::StageProbe> {
        let probes = lock(&self.probes);
        let place = probes.binary_search_by_key(&instance.address, |probe| probe.address);
        let probe = &probes[place.ok()?];
        let is_failed = probe.failed == Some(instance.crash.incarnation);
        probe.cell.get().copied().filter(|_| is_failed)
    }
}

/// Returns what this host knows of the stages of a path.
fn stage_states(
    core: &core::GatewayCore,
    stages: &[crash::RunnerInstance],
    now: time::Instant,
) -> Vec<stage_check::StageState> {
    let fleet = lock(&core.fleet);
    let state = |instance: &crash::RunnerInstance| {
        let (id, started_ms) = (&instance.crash.upstream, instance.crash.incarnation);
        stage_check::StageState {
            progressed_at: fleet.progressed_at(id),
            accepted_at: core.prober.accepted_at(instance.address),
            is_gone: fleet.is_gone(id, started_ms, now),
            probe: None,
        }
    };
    stages.iter().map(state).collect()
}

/// Returns when a stream is due for a check whose latest one began at `checked_at`.
pub fn due_at(
    core: &core::GatewayCore,
    stream: &CheckedStream,
    checked_at: Option<time::Instant>,
) -> time::Instant {
    let states = stage_states(core, &stream.stages, time::Instant::now());
    stage_check::due_at(stream.last_event, checked_at, &states, stream.objective)
}

/// Returns the indices of the stages that other checks found to have failed.
pub fn known_failures(core: &core::GatewayCore, stages: &[crash::RunnerInstance]) -> Vec<usize> {
    let is_failed = |instance: &crash::RunnerInstance| {
        let Some(probe) = core.prober.failed_probe(instance) else {
            return false;
        };
        let progressed_at = lock(&core.fleet).progressed_at(&instance.crash.upstream);
        progressed_at.is_none_or(|at| at < probe.began_at)
    };
    (0..stages.len())
        .filter(|index| is_failed(&stages[*index]))
        .collect()
}

/// Checks the stages of a silent stream and records those that have failed; returns
/// their indices.
pub async fn check(core: sync::Arc<core::GatewayCore>, stream: CheckedStream) -> Vec<usize> {
    let began_at = time::Instant::now();
    let (stages, objective) = (&stream.stages, stream.objective);
    let mut states = stage_states(&core, stages, began_at);
    let unproven = stage_check::unproven(&states, stream.last_event, objective, began_at);
    core.metrics.stage_checks.inc();
    let probes = unproven.iter().map(|index| {
        let address = stages[*index].address;
        let metric = &core.metrics.stage_connections;
        core.prober.probe(address, stream.last_event, metric)
    });
    let probes = future::join_all(probes).await;
    for (index, probe) in unproven.iter().zip(probes) {
        states[*index].probe = Some(probe);
    }
    let reaches_other = match unproven.first() {
        Some(index) if stage_check::lacks_contrast(&states) => {
            let address = stages[*index].address;
            let direct = &core.prober.direct;
            let reached = direct.reaches_other(address, began_at, CONTRAST_LIMIT);
            reached.await.unwrap_or(false)
        }
        _ => false,
    };
    // Streams may have made progress meanwhile.
    let fresh = stage_states(&core, stages, time::Instant::now());
    for (state, fresh) in states.iter_mut().zip(fresh) {
        state.progressed_at = fresh.progressed_at;
    }
    let now = time::Instant::now();
    let failed = stage_check::find_failed(&states, reaches_other, objective, now);
    note_check(&core, &stream, &states, reaches_other, &failed);
    let mut is_new = false;
    for index in &failed {
        is_new |= note_failed(&core, &stream, *index, states[*index].probe);
    }
    if is_new {
        core.prober.failures.send_modify(|count| *count += 1);
    }
    failed
}

fn note_check(
    core: &core::GatewayCore,
    stream: &CheckedStream,
    states: &[stage_check::StageState],
    reaches_other: bool,
    failed: &[usize],
) {
    let now = time::Instant::now();
    let describe = |state: &stage_check::StageState| {
        let silence = state.progressed_at.map_or("never".to_owned(), |at| {
            now.saturating_duration_since(at).as_millis().to_string()
        });
        let answer = match state.probe {
            Some(probe) => format!("{:?}", probe.answer).to_lowercase(),
            None if state.is_gone => "gone".to_owned(),
            None => "unasked".to_owned(),
        };
        format!("{answer}/{silence}")
    };
    let stages = states.iter().map(describe).collect::<Vec<_>>().join(",");
    let failed = failed
        .iter()
        .map(|index| stream.stages[*index].crash.upstream.as_str())
        .collect::<Vec<_>>()
        .join(",");
    let detail = format!(
        "silence_ms={} stages={stages} reaches_other={reaches_other} failed={failed}",
        now.saturating_duration_since(stream.last_event).as_millis()
    );
    core.note(event::EventCode::StreamChecked, &stream.request, detail);
}

/// Records the failure of a stage here and for the other nodes, if this host saw it
/// itself; returns whether other streams of this host are to be woken.
fn note_failed(
    core: &core::GatewayCore,
    stream: &CheckedStream,
    index: usize,
    probe: Option<stage_check::StageProbe>,
) -> bool {
    let instance = &stream.stages[index];
    let Some(probe) = probe else {
        return false;
    };
    if probe.answer == stage_check::StageAnswer::Refused {
        request::note_unreachable(core, &instance.crash, &stream.request);
    }
    core.note_failed(&instance.crash);
    core.prober.note_failed(instance)
}
