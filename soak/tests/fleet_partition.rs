//! Gateways that lose the path to all runners while callers, the store and the other
//! gateways still reach them.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::ops;
use std::sync;
use std::time;

use arbutusfold_platform_standin::caller::{self, CallKind};
use arbutusfold_soak::proxy::{self, PathCut};
use arbutusfold_soak::{deployment, plan};

/// Time after a cut began or ended within which the gateways have to cope with it;
/// equals the deployments' `contactMs`.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Duration of a cut, of which all but [`CONTACT`] counts.
const CUT_TIME: time::Duration = time::Duration::from_secs(9);

/// Time for which callers go on after a cut.
const HEALED_TIME: time::Duration = time::Duration::from_secs(6);

/// Pauses between two calls of a caller: one that keeps its connection, of which
/// each gateway has one for each kind, and one that opens a connection each time.
const KEPT_PERIOD: time::Duration = time::Duration::from_millis(400);
const OPEN_PERIOD: time::Duration = time::Duration::from_millis(150);

const KINDS: [CallKind; 3] = [CallKind::Stream, CallKind::Get, CallKind::Post];

/// Six gateways in two domains: the even ones in one, the odd ones in the other.
const SIZE: plan::SoakSize = plan::SoakSize {
    nodes: 6,
    runners: 14,
    plain_runners: 2,
    fault_window: time::Duration::ZERO,
    faults: 0,
    cuts: 0,
    proxied: true,
};

/// A call to a gateway, and what became of it.
#[derive(Clone, Debug)]
struct NodeCall {
    node: usize,
    sent_at: tokio::time::Instant,
    ended_at: tokio::time::Instant,
    record: caller::CallRecord,
}

impl NodeCall {
    fn is_served(&self) -> bool {
        self.record.outcome == caller::CallOutcome::Served
    }
}

/// Callers at all gateways, and what became of their calls.
#[derive(Debug)]
struct CallerCrowd {
    calls: sync::Arc<sync::Mutex<Vec<NodeCall>>>,
    tasks: tokio::task::JoinSet<()>,
    /// Set when callers have to end.
    stop: tokio::sync::watch::Sender<bool>,
}

impl CallerCrowd {
    fn start(deployment: &deployment::SoakDeployment) -> Self {
        let mut crowd = Self {
            calls: sync::Arc::default(),
            tasks: tokio::task::JoinSet::new(),
            stop: tokio::sync::watch::channel(false).0,
        };
        for (node, gateway) in deployment.nodes.iter().enumerate() {
            let address = gateway.spec.callers();
            for kind in KINDS {
                let (calls, stop) = (sync::Arc::clone(&crowd.calls), crowd.stop.subscribe());
                crowd.tasks.spawn(async move {
                    let mut kept = caller::KeptCaller::new(address);
                    for number in 0.. {
                        if *stop.borrow() {
                            break;
                        }
                        let sent_at = tokio::time::Instant::now();
                        let request = format!("sound-kept-{kind:?}-{number}-{node}");
                        let record = kept.call(request, kind, deployment::KEY).await;
                        note(&calls, node, sent_at, record);
                        tokio::time::sleep_until(sent_at + KEPT_PERIOD).await;
                    }
                });
            }
            let (calls, stop) = (sync::Arc::clone(&crowd.calls), crowd.stop.subscribe());
            crowd.tasks.spawn(async move {
                let mut in_flight = tokio::task::JoinSet::new();
                let mut ticks = tokio::time::interval(OPEN_PERIOD);
                for number in 0.. {
                    ticks.tick().await;
                    if *stop.borrow() {
                        break;
                    }
                    let kind = KINDS[number % KINDS.len()];
                    let request = format!("sound-open-{kind:?}-{number}-{node}");
                    let calls = sync::Arc::clone(&calls);
                    in_flight.spawn(async move {
                        let sent_at = tokio::time::Instant::now();
                        let record = caller::call(address, request, kind, deployment::KEY).await;
                        note(&calls, node, sent_at, record);
                    });
                    while in_flight.try_join_next().is_some() {}
                }
                in_flight.join_all().await;
            });
        }
        crowd
    }

    /// Waits until the last call ended, and returns all.
    async fn end(self) -> Vec<NodeCall> {
        self.stop.send_replace(true);
        self.tasks.join_all().await;
        std::mem::take(&mut *self.calls.lock().unwrap())
    }
}

fn note(
    calls: &sync::Mutex<Vec<NodeCall>>,
    node: usize,
    sent_at: tokio::time::Instant,
    record: caller::CallRecord,
) {
    let ended_at = tokio::time::Instant::now();
    calls.lock().unwrap().push(NodeCall {
        node,
        sent_at,
        ended_at,
        record,
    });
}

/// A cut of some gateways from all runners.
#[derive(Clone, Debug)]
struct CutSpan {
    nodes: Vec<usize>,
    kind: PathCut,
    span: ops::Range<tokio::time::Instant>,
}

/// Cuts gateways from all runners for some time.
async fn cut(
    deployment: &deployment::SoakDeployment,
    nodes: &[usize],
    kind: PathCut,
    length: time::Duration,
) -> CutSpan {
    let start = tokio::time::Instant::now();
    for node in nodes {
        deployment.set_cut(*node, Some(kind)).unwrap();
    }
    tokio::time::sleep_until(start + length).await;
    for node in nodes {
        deployment.set_cut(*node, None).unwrap();
    }
    CutSpan {
        nodes: nodes.to_vec(),
        kind,
        span: start..tokio::time::Instant::now(),
    }
}

/// Served and all first tries of some callers.
#[derive(Clone, Copy, Debug)]
struct ServedShare {
    served: usize,
    sent: usize,
}

impl ServedShare {
    fn new<'a>(calls: impl Iterator<Item = &'a NodeCall>) -> Self {
        let mut share = Self { served: 0, sent: 0 };
        for call in calls {
            share.sent += 1;
            share.served += usize::from(call.is_served());
        }
        share
    }

    fn fraction(self) -> f64 {
        self.served as f64 / self.sent.max(1) as f64
    }
}

/// Returns what is wrong if callers at the cut gateways were served less than two
/// thirds as often as those at the `others`, from [`CONTACT`] after the cut began.
fn find_unserved(calls: &[NodeCall], cut: &CutSpan, others: &[usize]) -> Option<String> {
    let counted = cut.span.start + CONTACT..cut.span.end;
    let at = |nodes: &[usize]| {
        let calls = calls.iter().filter(|call| counted.contains(&call.sent_at));
        ServedShare::new(calls.filter(|call| nodes.contains(&call.node)))
    };
    let (cut_share, other_share) = (at(&cut.nodes), at(others));
    assert!(cut_share.sent > 0 && other_share.sent > 0, "no calls");
    let is_broken = cut_share.fraction() * 3.0 < other_share.fraction() * 2.0;
    is_broken.then(|| {
        format!(
            "{:?} of gateways {:?}: {} of {} first tries served there, {} of {} at others",
            cut.kind,
            cut.nodes,
            cut_share.served,
            cut_share.sent,
            other_share.served,
            other_share.sent
        )
    })
}

/// Returns the streams that ended early, or wrongly, while their callers waited, later
/// than [`CONTACT`] after the cut began.
fn find_broken_streams(calls: &[NodeCall], cut: &CutSpan) -> Option<String> {
    let broken: Vec<_> = calls
        .iter()
        .filter(|call| call.record.kind == CallKind::Stream)
        .filter(|call| call.ended_at >= cut.span.start + CONTACT)
        .filter(|call| {
            let outcome = &call.record.outcome;
            matches!(
                outcome,
                caller::CallOutcome::Failed(_) | caller::CallOutcome::Wrong(_)
            )
        })
        .map(|call| {
            let ended = call.ended_at - cut.span.start;
            let took = call.ended_at - call.sent_at;
            let (request, outcome) = (&call.record.request, &call.record.outcome);
            format!("{request} at {ended:?} after {took:?}: {outcome:?}")
        })
        .collect();
    let first = broken.first()?;
    Some(format!(
        "{:?} of gateways {:?}: {} streams broken, the first {first}",
        cut.kind,
        cut.nodes,
        broken.len()
    ))
}

/// Returns what is wrong with the path of requests later than [`CONTACT`] after the
/// cut ended: each one has to start from the gateway that its caller sent it to.
fn find_detours(
    deployment: &deployment::SoakDeployment,
    calls: &[NodeCall],
    cut: &CutSpan,
) -> Option<String> {
    let arrivals: Vec<_> = deployment
        .proxies
        .iter()
        .flat_map(proxy::LoopbackProxy::arrivals)
        .collect();
    let late = calls
        .iter()
        .filter(|call| cut.nodes.contains(&call.node))
        .filter(|call| call.sent_at >= cut.span.end + CONTACT);
    let requests: Vec<_> = late
        .map(|call| (call.record.request.as_str(), call.node))
        .collect();
    let count = |is_direct: bool| {
        let arrivals = arrivals.iter().filter(|arrival| {
            requests.iter().any(|(request, node)| {
                let own = deployment.nodes[*node].spec.ip;
                *request == arrival.request && (arrival.source == own) == is_direct
            })
        });
        arrivals.count()
    };
    let (direct, detours) = (count(true), count(false));
    assert!(direct + detours > 0, "no requests after the cut");
    (detours > 0).then(|| {
        format!(
            "{:?} of gateways {:?}: {detours} of {} requests came by another gateway later \
             than {CONTACT:?} after the cut",
            cut.kind,
            cut.nodes,
            direct + detours
        )
    })
}

/// Returns what is wrong with the calls whatever happened: a request that ran twice
/// or ran although its answer says otherwise, an answer that is not the caller's own.
fn find_broken_promises(
    deployment: &deployment::SoakDeployment,
    calls: &[NodeCall],
) -> Vec<String> {
    let mut broken = deployment.fleet.violations();
    let runs = deployment.fleet.runs();
    let ran: std::collections::HashSet<_> = runs.iter().map(|run| &run.request).collect();
    for call in calls {
        let (request, outcome) = (&call.record.request, &call.record.outcome);
        match outcome {
            caller::CallOutcome::Wrong(cause) => broken.push(format!("{request}: {cause}")),
            caller::CallOutcome::NotRun(status)
                if call.record.kind == CallKind::Post && ran.contains(request) =>
            {
                broken.push(format!("{request}: ran, and its answer is {status}"));
            }
            _ => {}
        }
    }
    broken
}

/// Returns what is wrong if a gateway suspected sound requests of crashing runners, or
/// refused them for it. No runner died.
fn find_suspicions(deployment: &deployment::SoakDeployment) -> Option<String> {
    let mut suspicions = Vec::new();
    for node in &deployment.nodes {
        let log = deployment.folder.join(format!("{}.log", node.spec.name));
        let log = std::fs::read_to_string(log).unwrap();
        let lines = log.lines().filter(|line| line.contains("sound-"));
        let is_suspicion =
            |line: &&str| line.contains("SuspectNoted") || line.contains("SuspectQuarantined");
        suspicions.extend(lines.filter(is_suspicion).map(str::to_owned));
    }
    let first = suspicions.first()?;
    Some(format!(
        "{} suspicions of sound requests, the first {first}",
        suspicions.len()
    ))
}

/// Cuts `nodes` from all runners, and asserts that their callers go on.
async fn assert_callers_go_on(name: &str, subnet: u8, nodes: &[usize], kind: PathCut) {
    let deployment = fleet_fixture::start_serving(name, subnet, SIZE).await;
    let crowd = CallerCrowd::start(&deployment);
    tokio::time::sleep(CONTACT).await;
    let cut = cut(&deployment, nodes, kind, CUT_TIME).await;
    tokio::time::sleep(HEALED_TIME).await;
    let calls = crowd.end().await;
    let others: Vec<_> = (0..SIZE.nodes)
        .filter(|node| !nodes.contains(node))
        .collect();
    let mut broken: Vec<_> = find_unserved(&calls, &cut, &others).into_iter().collect();
    broken.extend(find_broken_streams(&calls, &cut));
    broken.extend(find_detours(&deployment, &calls, &cut));
    broken.extend(find_suspicions(&deployment));
    broken.extend(find_broken_promises(&deployment, &calls));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against half of the gateways that refuse callers because their connections
/// to all runners hang, although the other half reaches every runner.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_half_of_the_gateways_go_on_when_paths_to_runners_hang() {
    assert_callers_go_on("cut-half-hang", 220, &[0, 1, 2], PathCut::Hang).await;
}
