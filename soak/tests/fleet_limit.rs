//! Runners that tell the nodes of a fleet of real processes in their answers which
//! requests they want: fewer, none for some time, or none any more.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::sync::atomic;
use std::time;

use arbutusfold_platform_standin::caller::{self, CallKind};
use arbutusfold_platform_standin::runner;
use arbutusfold_soak::{deployment, plan};

/// Time after a runner first names its limit until the nodes have to keep to it.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Time for which callers press.
const PRESS_TIME: time::Duration = time::Duration::from_secs(16);

/// Share of a limit that is used while callers ask for more.
const USED_SHARE: f64 = 0.85;

/// Time after which a service is served in full once a limit is lifted.
const LIFT_TIME: time::Duration = time::Duration::from_secs(4);

const SIZE: plan::SoakSize = plan::SoakSize {
    nodes: 4,
    runners: 14,
    plain_runners: 2,
    fault_window: time::Duration::ZERO,
    faults: 0,
    cuts: 0,
    proxied: false,
};

/// Number of calls so far, which makes their ids unique.
static CALL_COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// Returns the node that a request was sent to, which its id ends with.
fn node_of(request: &str) -> usize {
    request.rsplit('-').next().unwrap().parse().unwrap()
}

/// A call that was sent, and what became of it.
#[derive(Debug)]
struct CallResult {
    sent_at: tokio::time::Instant,
    took: time::Duration,
    outcome: caller::CallOutcome,
}

/// Sends a request of each kind every `period` for `length`, to the nodes in
/// turn; `weights` holds how many turns each node gets.
async fn press(
    deployment: &deployment::SoakDeployment,
    kind: CallKind,
    weights: [usize; SIZE.nodes],
    period: time::Duration,
    length: time::Duration,
) -> Vec<CallResult> {
    let turns = weights.iter().enumerate();
    let turns: Vec<_> = turns
        .flat_map(|(node, turns)| std::iter::repeat_n(node, *turns))
        .collect();
    let end = tokio::time::Instant::now() + length;
    let mut calls = tokio::task::JoinSet::new();
    for number in 0.. {
        let sent_at = tokio::time::Instant::now();
        if sent_at >= end {
            break;
        }
        let node = turns[number % turns.len()];
        let count = CALL_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let request = format!("{kind:?}-{count}-{node}");
        let address = deployment.nodes[node].spec.callers();
        calls.spawn(async move {
            let record = caller::call(address, request, kind, deployment::KEY).await;
            CallResult {
                sent_at,
                took: sent_at.elapsed(),
                outcome: record.outcome,
            }
        });
        tokio::time::sleep(period).await;
    }
    calls.join_all().await
}

/// Returns what is wrong with what a runner received.
fn find_excess(id: &str, history: &runner::LimitHistory) -> Option<String> {
    let most = history.most_arrivals(CONTACT, node_of);
    let allowed = history.allowed_arrivals();
    (most > allowed).then(|| {
        format!(
            "{id} named {} a second and got {most} requests in 4 s; allowed {allowed}",
            history.rate
        )
    })
}

/// Returns the share of its limit that a runner received after the limit was known.
fn used_share(history: &runner::LimitHistory) -> f64 {
    let from = history.named_at + CONTACT;
    let until = history.named_at + PRESS_TIME;
    let arrivals = history.arrivals.iter();
    let counted = arrivals
        .filter(|(_, at)| (from..until).contains(at))
        .count();
    counted as f64 / (history.rate * (until - from).as_secs_f64())
}

/// Guards against a runner in need that gets more requests than it named, because
/// no node reads its limit or each one takes all of it. All runners of both
/// services name one, so nothing else can serve; most callers are at one node.
#[tokio::test(flavor = "multi_thread")]
async fn runners_that_name_a_limit_get_no_more_from_all_nodes_together() {
    let deployment = fleet_fixture::start("limited", 247, SIZE).await;
    let ids = deployment.fleet.ids();
    let rate = |index: usize| if index < SIZE.plain_runners { 2.2 } else { 4.7 };
    for (index, id) in ids.iter().enumerate() {
        deployment.fleet.name_limit(id, rate(index));
    }
    let weights = [7, 1, 1, 1];
    let period = time::Duration::from_millis(40);
    let (reads, streams) = tokio::join!(
        press(&deployment, CallKind::Get, weights, period, PRESS_TIME),
        press(&deployment, CallKind::Stream, weights, period, PRESS_TIME),
    );
    let histories: Vec<_> = ids
        .iter()
        .map(|id| (id, deployment.fleet.lift_limit(id).unwrap()))
        .collect();
    let excess: Vec<_> = histories
        .iter()
        .filter_map(|(id, history)| find_excess(id, history))
        .collect();
    assert!(excess.is_empty(), "{excess:#?}");
    for (id, history) in &histories[..SIZE.plain_runners] {
        let used = used_share(history);
        assert!((USED_SHARE..=1.1).contains(&used), "{id}: {used:.2}");
    }
    // What cannot be served is refused at once, and it has not run.
    for call in reads.iter().chain(&streams) {
        match &call.outcome {
            caller::CallOutcome::Served => {}
            caller::CallOutcome::NotRun(503) => {
                assert!(call.took < time::Duration::from_secs(1), "{:?}", call.took);
            }
            outcome => panic!("{outcome:?}"),
        }
    }
    // Once no limit is named, everything is served again.
    let after = press(&deployment, CallKind::Get, weights, period, LIFT_TIME * 2).await;
    let last = after.iter().map(|call| call.sent_at).max().unwrap();
    let refused = after
        .iter()
        .filter(|call| call.sent_at > last - LIFT_TIME)
        .filter(|call| call.outcome != caller::CallOutcome::Served);
    assert_eq!(refused.count(), 0);
}

/// Time after an answer that says that its runner leaves from which on the node
/// that got it sends nothing more there.
const DRAIN: time::Duration = time::Duration::from_secs(2);

/// Guards against requests to runners that say in their answers that they leave,
/// while their entries still say that they are ready.
#[tokio::test(flavor = "multi_thread")]
async fn runners_whose_answers_say_that_they_leave_get_no_more_requests() {
    let deployment = fleet_fixture::start_serving("leaving", 250, SIZE).await;
    let ids = deployment.fleet.ids();
    // One plain runner, and one model runner.
    let leaving = [&ids[0], &ids[SIZE.plain_runners]];
    for id in leaving {
        deployment
            .fleet
            .give_notice(id, runner::RunnerNotice::Leaving);
    }
    let period = time::Duration::from_millis(40);
    let (reads, streams) = tokio::join!(
        press(&deployment, CallKind::Get, [1; 4], period, LIFT_TIME * 2),
        press(&deployment, CallKind::Stream, [1; 4], period, LIFT_TIME * 2),
    );
    for id in leaving {
        let history = deployment.fleet.notice_history(id).unwrap();
        assert!(!history.told.is_empty(), "{id} answered nothing");
        let late = history.arrivals_between(DRAIN, LIFT_TIME * 4, node_of);
        assert_eq!(late.iter().max(), Some(&0), "{id}");
    }
    let mut calls = reads.iter().chain(&streams);
    assert!(calls.all(|call| call.outcome == caller::CallOutcome::Served));
}

/// Requests from one node that a runner may get while it wants none.
const PAUSE_ARRIVALS: usize = 2;

/// Guards against requests to a runner that turned one away and wants none for some
/// seconds, at the only two runners of a service and at those of a model.
#[tokio::test(flavor = "multi_thread")]
async fn runners_that_turn_requests_away_get_none_until_the_time_that_they_named() {
    let deployment = fleet_fixture::start_serving("paused", 251, SIZE).await;
    let ids = deployment.fleet.ids();
    let pause = time::Duration::from_millis(2_500);
    let paused = [&ids[0], &ids[1], &ids[SIZE.plain_runners]];
    for id in paused {
        deployment
            .fleet
            .give_notice(id, runner::RunnerNotice::Pause(pause));
    }
    let period = time::Duration::from_millis(40);
    let (reads, streams) = tokio::join!(
        press(&deployment, CallKind::Get, [1; 4], period, LIFT_TIME * 2),
        press(&deployment, CallKind::Stream, [1; 4], period, LIFT_TIME * 2),
    );
    for id in paused {
        let history = deployment.fleet.notice_history(id).unwrap();
        assert!(!history.told.is_empty(), "{id} turned nothing away");
        let slack = time::Duration::from_millis(500);
        let counts = history.arrivals_between(slack, pause, node_of);
        let most = counts.into_iter().max().unwrap();
        assert!(most <= PAUSE_ARRIVALS, "{id}: {most}");
    }
    // What cannot be served is refused at once, and it has not run.
    for call in &reads {
        assert_eq!(call.outcome, caller::CallOutcome::NotRun(503));
        assert!(call.took < time::Duration::from_secs(1), "{:?}", call.took);
    }
    // Retries are a share of the requests, so the first streams may find none left.
    let first = streams.iter().map(|call| call.sent_at).min().unwrap();
    let is_failed = |call: &&CallResult| match call.outcome {
        caller::CallOutcome::Served => false,
        caller::CallOutcome::NotRun(503) => call.sent_at > first + time::Duration::from_secs(1),
        _ => true,
    };
    let failed: Vec<_> = streams.iter().filter(is_failed).collect();
    assert!(failed.is_empty(), "{} streams: {failed:?}", failed.len());
}
