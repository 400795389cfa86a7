//! Requests that crash the runners that run them, sent again and again to every
//! node of a fleet of real processes.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::ops;
use std::sync;
use std::time;

use arbutusfold_platform_standin::caller::{self, CallKind};
use arbutusfold_platform_standin::{runner, store};
use arbutusfold_soak::{deployment, plan};
use nix::sys::signal;

/// Time after the third crash within which every node has to know of it.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Pause between two calls of a request that crashes its runners.
const REPEAT_PERIOD: time::Duration = time::Duration::from_millis(500);

const SIZE: plan::SoakSize = plan::SoakSize {
    nodes: 4,
    runners: 14,
    plain_runners: 2,
    fault_window: time::Duration::ZERO,
    faults: 0,
    cuts: 0,
    // As on the platform, a dead runner accepts no connection.
    proxied: false,
};

async fn start(name: &str, subnet: u8) -> sync::Arc<deployment::SoakDeployment> {
    fleet_fixture::start(name, subnet, SIZE).await
}

fn rule(path: &str, stage: runner::CrashStage, after_events: u64) -> runner::CrashRule {
    runner::CrashRule {
        path: path.to_owned(),
        stage,
        after_events,
        run_time: time::Duration::ZERO,
    }
}

/// Sends the same request `times` times, to the nodes in turn from `first` on.
async fn repeat(
    deployment: sync::Arc<deployment::SoakDeployment>,
    kind: CallKind,
    path: &str,
    first: usize,
    times: usize,
) {
    for number in first..first + times {
        let node = &deployment.nodes[number % deployment.nodes.len()];
        let request = format!("{}-{number}", path.replace('/', "-"));
        let address = node.spec.callers();
        caller::call_path(address, request, kind, path, deployment::KEY).await;
        tokio::time::sleep(REPEAT_PERIOD).await;
    }
}

/// Calls the nodes in turn with sound requests until the task is aborted.
async fn call_soundly(deployment: sync::Arc<deployment::SoakDeployment>) {
    let mut in_flight = tokio::task::JoinSet::new();
    for number in 0.. {
        tokio::time::sleep(time::Duration::from_millis(25)).await;
        let node = &deployment.nodes[number % deployment.nodes.len()];
        let kind = [CallKind::Stream, CallKind::Get, CallKind::Stream][number % 3];
        // Streams differ, as prompts do; reads of one thing are alike.
        let path = match kind {
            CallKind::Stream => format!("/model/{number}"),
            _ => kind.path().to_owned(),
        };
        let address = node.spec.callers();
        in_flight.spawn(async move {
            let request = format!("sound-{number}");
            caller::call_path(address, request, kind, &path, deployment::KEY).await
        });
        while in_flight.try_join_next().is_some() {}
    }
}

/// Returns what is wrong if too many repeats reached runners later than
/// [`CONTACT`] after the third crash, not counted those that were sent while the
/// store was `away` or up to [`CONTACT`] after: no node had to know then.
fn find_excess(
    deployment: &deployment::SoakDeployment,
    path: &str,
    away: Option<ops::Range<tokio::time::Instant>>,
) -> Option<String> {
    let history = deployment.fleet.crash_history(path);
    let crashes = history.crashes.len();
    assert!(crashes > 0, "{path} crashed no runner");
    let is_excused = |at: tokio::time::Instant| {
        let away = away.as_ref();
        away.is_some_and(|away| away.start <= at && at < away.end + CONTACT)
    };
    let late = history.late_arrivals(CONTACT);
    let late: Vec<_> = late.filter(|(_, at)| !is_excused(*at)).collect();
    (late.len() > runner::LATE_RETRIES).then(|| {
        format!(
            "{path} crashed {crashes} runners; {} late retries: {late:?}",
            late.len()
        )
    })
}

/// Asserts that no node refused a sound request for crashes of runners.
fn assert_sound_requests_run(deployment: &deployment::SoakDeployment) {
    for node in &deployment.nodes {
        let log = deployment.folder.join(format!("{}.log", node.spec.name));
        let log = std::fs::read_to_string(log).unwrap();
        let mut refused = log
            .lines()
            .filter(|line| line.contains("SuspectQuarantined") && line.contains("sound-"));
        assert_eq!(refused.next(), None);
    }
}

/// Guards against a request that crashes each runner it runs on, one after the
/// other, because every node and every repeat starts to count anew.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_of_a_crashing_request_stop_at_every_node() {
    let deployment = start("repeats", 240).await;
    let crashing = [
        (CallKind::Get, "/get/crash", runner::CrashStage::First, 0),
        (CallKind::Post, "/post/crash", runner::CrashStage::First, 0),
        (
            CallKind::Stream,
            "/model/first",
            runner::CrashStage::First,
            0,
        ),
        (CallKind::Stream, "/model/last", runner::CrashStage::Last, 0),
        (CallKind::Stream, "/model/all", runner::CrashStage::All, 0),
        (
            CallKind::Stream,
            "/model/later",
            runner::CrashStage::First,
            3,
        ),
    ];
    let sound = tokio::spawn(call_soundly(sync::Arc::clone(&deployment)));
    let mut excess = Vec::new();
    for (kind, path, stage, after_events) in crashing {
        deployment
            .fleet
            .add_crash_rule(rule(path, stage, after_events));
        repeat(sync::Arc::clone(&deployment), kind, path, 0, 20).await;
        excess.extend(find_excess(&deployment, path, None));
    }
    sound.abort();
    assert!(excess.is_empty(), "{excess:#?}");
    assert_sound_requests_run(&deployment);
}

/// Guards against a fleet that forgets such a request when nodes are replaced and
/// one was frozen, and nodes have only each other to learn it from: the store is
/// away.
#[tokio::test(flavor = "multi_thread")]
async fn replaced_and_frozen_nodes_learn_of_a_crashing_request() {
    let deployment = start("replaced", 241).await;
    let path = "/get/crash";
    let crashing = rule(path, runner::CrashStage::First, 0);
    deployment.fleet.add_crash_rule(crashing);
    let frozen = deployment.nodes[3].process.lock().await;
    let frozen_process = frozen.as_ref().unwrap();
    frozen_process.signal(signal::Signal::SIGSTOP).unwrap();
    // Nodes 0 to 2 see the crashes; the fourth one is frozen meanwhile.
    for number in 0..9 {
        let node = &deployment.nodes[number % 3];
        let request = format!("crash-{number}");
        let address = node.spec.callers();
        caller::call_path(address, request, CallKind::Get, path, deployment::KEY).await;
        tokio::time::sleep(REPEAT_PERIOD).await;
    }
    deployment.store.set_fault(store::StoreFault::Silent);
    frozen_process.signal(signal::Signal::SIGCONT).unwrap();
    drop(frozen);
    deployment.replace(0).await.unwrap();
    deployment.replace(1).await.unwrap();
    deployment.wait_ready().await.unwrap();
    tokio::time::sleep(CONTACT).await;
    repeat(sync::Arc::clone(&deployment), CallKind::Get, path, 100, 16).await;
    assert_eq!(find_excess(&deployment, path, None), None);
}

/// Guards against a fleet that forgets such a request when all its nodes are
/// restarted at once, also if the store was away when the crashes happened.
#[tokio::test(flavor = "multi_thread")]
async fn restart_of_all_nodes_keeps_a_crashing_request_out() {
    let deployment = start("restarted", 242).await;
    let paths = [
        (CallKind::Stream, "/model/crash"),
        (CallKind::Get, "/get/crash"),
    ];
    let repeat_at = |index: usize, first: usize| {
        let (kind, path) = paths[index];
        repeat(sync::Arc::clone(&deployment), kind, path, first, 8)
    };
    for (_, path) in paths {
        let crashing = rule(path, runner::CrashStage::First, 0);
        deployment.fleet.add_crash_rule(crashing);
    }
    repeat_at(0, 0).await;
    let away = tokio::time::Instant::now();
    deployment.store.set_fault(store::StoreFault::Busy);
    repeat_at(1, 0).await;
    deployment.store.set_fault(store::StoreFault::None);
    let away = away..tokio::time::Instant::now();
    tokio::time::sleep(CONTACT).await;
    for first in [100, 200] {
        for node in &deployment.nodes {
            let mut process = node.process.lock().await;
            process.as_mut().unwrap().kill();
        }
        for node in 0..deployment.nodes.len() {
            deployment.replace(node).await.unwrap();
        }
        deployment.wait_ready().await.unwrap();
        tokio::time::sleep(CONTACT).await;
        repeat_at(0, first).await;
        repeat_at(1, first).await;
    }
    for (_, path) in paths {
        assert_eq!(find_excess(&deployment, path, Some(away.clone())), None);
    }
}

/// Guards against sound requests that are taken for the cause when the runner
/// under them dies for another reason.
#[tokio::test(flavor = "multi_thread")]
async fn death_of_runners_holds_back_no_sound_request() {
    let deployment = start("sound", 243).await;
    let sound = tokio::spawn(call_soundly(sync::Arc::clone(&deployment)));
    let ids = deployment.fleet.ids();
    for round in 0..24 {
        let id = &ids[round % ids.len()];
        deployment.fleet.kill(id);
        tokio::time::sleep(time::Duration::from_millis(700)).await;
        deployment.fleet.restart(id).await.unwrap();
    }
    sound.abort();
    assert_sound_requests_run(&deployment);
}

/// Sends the same request to all nodes at once, every `period`, until `end`, and
/// returns the outcomes with the times at which they were sent.
async fn flood(
    deployment: &deployment::SoakDeployment,
    kind: CallKind,
    path: &str,
    period: time::Duration,
    end: tokio::time::Instant,
) -> Vec<(tokio::time::Instant, caller::CallOutcome)> {
    let mut calls = tokio::task::JoinSet::new();
    for wave in 0.. {
        let sent_at = tokio::time::Instant::now();
        if sent_at >= end {
            break;
        }
        for node in &deployment.nodes {
            let request = format!("{}-{wave}-{}", path.replace('/', "-"), node.spec.name);
            let (address, path) = (node.spec.callers(), path.to_owned());
            calls.spawn(async move {
                let call = caller::call_path(address, request, kind, &path, deployment::KEY);
                (sent_at, call.await.outcome)
            });
        }
        tokio::time::sleep(period).await;
    }
    calls.join_all().await
}

/// Time for which a run lasts before it crashes its runner, so that runs at
/// several nodes are under way before the first death.
const RUN_TIME: time::Duration = time::Duration::from_millis(90);

/// Pause between two waves of a request to all nodes: each one comes late, and
/// no run of a wave begins after a death in it.
const WAVE_PERIOD: time::Duration = time::Duration::from_millis(3_300);

/// Time for which a crashing request is sent.
const FLOOD_TIME: time::Duration = time::Duration::from_secs(25);

/// Guards against a request that crashes a runner at each node in the same moment,
/// again and again, because no run began after a death was known.
#[tokio::test(flavor = "multi_thread")]
async fn request_that_crashes_runners_at_all_nodes_at_once_stops() {
    let deployment = start("together", 244).await;
    let crashing = [
        (CallKind::Stream, "/model/together", 0),
        (CallKind::Stream, "/model/later", 3),
        (CallKind::Get, "/get/together", 0),
    ];
    let mut excess = Vec::new();
    // One after the other, since the streams share runners.
    for (kind, path, after_events) in crashing {
        let crashing = runner::CrashRule {
            run_time: RUN_TIME,
            ..rule(path, runner::CrashStage::First, after_events)
        };
        deployment.fleet.add_crash_rule(crashing);
        let end = tokio::time::Instant::now() + WAVE_PERIOD * 5;
        flood(&deployment, kind, path, WAVE_PERIOD, end).await;
        excess.extend(find_excess(&deployment, path, None));
    }
    assert!(excess.is_empty(), "{excess:#?}");
}

/// Guards against nodes that serve a crashing request after their start, before
/// they have learned of it from the store or their peers.
#[tokio::test(flavor = "multi_thread")]
async fn started_node_learns_of_a_crashing_request_before_it_serves() {
    let deployment = start("started", 245).await;
    let path = "/get/crash";
    let crashing = runner::CrashRule {
        run_time: RUN_TIME,
        ..rule(path, runner::CrashStage::First, 0)
    };
    deployment.fleet.add_crash_rule(crashing);
    let end = tokio::time::Instant::now() + FLOOD_TIME;
    let replaced = sync::Arc::clone(&deployment);
    let replacements = tokio::spawn(async move {
        for number in 0.. {
            tokio::time::sleep(time::Duration::from_millis(1_500)).await;
            if tokio::time::Instant::now() >= end {
                break;
            }
            let node = number % replaced.nodes.len();
            replaced.replace(node).await.unwrap();
        }
    });
    let period = time::Duration::from_millis(300);
    flood(&deployment, CallKind::Get, path, period, end).await;
    replacements.await.unwrap();
    assert_eq!(find_excess(&deployment, path, None), None);
}

/// Time after which a popular read is served again once its runners are back: the
/// longest wait for its trial, and the trial.
const RETURN_TIME: time::Duration = time::Duration::from_millis(10_500);

/// Guards against a popular read that stays out after all runners of its service
/// died under it in one moment, also several times.
#[tokio::test(flavor = "multi_thread")]
async fn popular_read_goes_on_when_all_its_runners_die_at_once() {
    let size = plan::SoakSize {
        plain_runners: 6,
        ..SIZE
    };
    let deployment = fleet_fixture::start("popular", 246, size).await;
    let plain = &deployment.fleet.ids()[..size.plain_runners];
    let end = tokio::time::Instant::now() + time::Duration::from_secs(27);
    let reads = sync::Arc::clone(&deployment);
    let reads = tokio::spawn(async move {
        let period = time::Duration::from_millis(10);
        flood(&reads, CallKind::Get, "/get/popular", period, end).await
    });
    let mut served = Vec::new();
    for _ in 0..2 {
        let back_at = tokio::time::Instant::now() + RETURN_TIME;
        tokio::time::sleep(time::Duration::from_secs(12)).await;
        // A call that is under way when the runners die may fail.
        let ends_at = tokio::time::Instant::now() - time::Duration::from_millis(100);
        served.push(back_at..ends_at);
        plain.iter().for_each(|id| deployment.fleet.kill(id));
        tokio::time::sleep(time::Duration::from_millis(500)).await;
        for id in plain {
            deployment.fleet.restart(id).await.unwrap();
        }
    }
    let reads = reads.await.unwrap();
    let failed: Vec<_> = reads
        .iter()
        .filter(|(at, _)| served.iter().any(|span| span.contains(at)))
        .filter(|(_, outcome)| *outcome != caller::CallOutcome::Served)
        .collect();
    assert!(
        failed.is_empty(),
        "{} of {}: {failed:?}",
        failed.len(),
        reads.len()
    );
}

/// Guards against a request that goes on crashing runners because its callers
/// leave, or its deadline passes, before each crash: no run ever breaks.
#[tokio::test(flavor = "multi_thread")]
async fn request_whose_callers_leave_before_the_crash_stops() {
    let deployment = start("left", 248).await;
    let path = "/get/left";
    let crashing = runner::CrashRule {
        run_time: RUN_TIME,
        ..rule(path, runner::CrashStage::First, 0)
    };
    deployment.fleet.add_crash_rule(crashing);
    let end = tokio::time::Instant::now() + FLOOD_TIME;
    for number in 0.. {
        if tokio::time::Instant::now() >= end {
            break;
        }
        let node = &deployment.nodes[number % deployment.nodes.len()];
        let request = format!("left-{number}");
        let address = node.spec.callers();
        let deadline = RUN_TIME.mul_f64(0.7);
        let (kind, key) = (CallKind::Get, deployment::KEY);
        caller::call_within(address, request, kind, path, key, deadline).await;
        tokio::time::sleep(REPEAT_PERIOD).await;
    }
    assert_eq!(find_excess(&deployment, path, None), None);
}

/// Crashes under a part of a prompt after which the nodes have to stop requests
/// with it, within [`CONTACT`].
const PART_CRASHES: usize = 5;

/// Guards against requests that crash one runner after the other by a part of
/// their prompts, no two of them alike, and against sound requests that are
/// refused because they share their caller and all other parts.
#[tokio::test(flavor = "multi_thread")]
async fn requests_with_a_part_that_crashes_runners_stop_and_sound_ones_go_on() {
    let deployment = start("part", 249).await;
    let path = runner::part_path("bad0");
    let crashing = runner::CrashRule {
        run_time: RUN_TIME,
        ..rule(&path, runner::CrashStage::First, 0)
    };
    deployment.fleet.add_crash_rule(crashing);
    let end = tokio::time::Instant::now() + FLOOD_TIME;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0.. {
        let sent_at = tokio::time::Instant::now();
        if sent_at >= end {
            break;
        }
        let node = &deployment.nodes[number % deployment.nodes.len()];
        let address = node.spec.callers();
        let topic = number % 5;
        let is_sound = number % 15 != 0;
        let (name, prompt) = match is_sound {
            true => ("sound", format!("a1:40,b{topic}:300,{number:x}:20")),
            false => ("part", format!("a1:40,BAD0:200,b{topic}:300,{number:x}:20")),
        };
        let request = format!("{name}-{number}");
        calls.spawn(async move {
            let call = caller::call_prompt(address, request, &prompt, deployment::KEY);
            (sent_at, is_sound, call.await.outcome)
        });
        tokio::time::sleep(time::Duration::from_millis(30)).await;
    }
    let outcomes = calls.join_all().await;
    let history = deployment.fleet.crash_history(&path);
    let crashes = &history.crashes;
    assert!(!crashes.is_empty(), "no runner crashed");
    let late = history.arrivals_after(PART_CRASHES, CONTACT).count();
    assert!(
        late <= runner::LATE_RETRIES,
        "{} crashes, {late} late requests",
        crashes.len()
    );
    let (_, last) = &crashes[crashes.len().min(PART_CRASHES) - 1];
    let sound = outcomes
        .iter()
        .filter(|(at, is_sound, _)| *is_sound && *at > *last + CONTACT * 2);
    let served = sound
        .clone()
        .filter(|(_, _, outcome)| *outcome == caller::CallOutcome::Served);
    let (served, sent) = (served.count(), sound.count());
    assert!(served * 20 >= sent * 19, "{served} of {sent} sound ones");
    assert_sound_requests_run(&deployment);
}
