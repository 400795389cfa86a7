//! Gateways that lose the path to all runners while callers, the store and the other
//! gateways still reach them.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::collections;
use std::net;
use std::ops;
use std::sync;
use std::time;

use arbutusfold_platform_standin::caller::{self, CallKind};
use arbutusfold_platform_standin::runner;
use arbutusfold_soak::proxy::{self, PathCut};
use arbutusfold_soak::{deployment, plan};
use nix::sys::signal;

/// Time after a cut began or ended within which the gateways have to cope with it;
/// equals the deployments' `contactMs`.
const CONTACT: time::Duration = time::Duration::from_secs(3);

/// Duration of a cut, of which all but [`CONTACT`] counts.
const CUT_TIME: time::Duration = time::Duration::from_secs(9);

/// Time for which callers go on after a cut.
const HEALED_TIME: time::Duration = time::Duration::from_secs(5);

/// Time after the start of a cut when requests that were sent before it may still
/// arrive.
const CUT_SLACK: time::Duration = time::Duration::from_millis(500);

/// Time that a caller waits for its complete answer; an answer takes 0.3 s.
const PATIENCE: time::Duration = time::Duration::from_secs(2);

/// Time before the end of its caller's patience from which on a gateway answers that
/// the deadline is over.
const DEADLINE_MARGIN: time::Duration = time::Duration::from_millis(150);

/// Share of requests that may come by another gateway while a direct path is there: a
/// connection that takes long on a busy machine may be left for a neighbour.
const DETOUR_SHARE: f64 = 0.05;

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
                    let mut kept = caller::KeptCaller::new(address, PATIENCE);
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
                        let (path, key) = (kind.path(), deployment::KEY);
                        let call = caller::call_within(address, request, kind, path, key, PATIENCE);
                        let record = call.await;
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
    // What was held back arrives as soon as the first path is healed.
    let end = tokio::time::Instant::now();
    for node in nodes {
        deployment.set_cut(*node, None).unwrap();
    }
    CutSpan {
        nodes: nodes.to_vec(),
        kind,
        span: start..end,
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

/// A cut, and what it did to the calls.
#[derive(Clone)]
struct CutCheck<'a> {
    deployment: &'a deployment::SoakDeployment,
    calls: &'a [NodeCall],
    cut: &'a CutSpan,
    /// Gateways that nothing happened to.
    others: &'a [usize],
    /// When the next cut begins or the test ends.
    until: tokio::time::Instant,
    /// Time in which streams may break for another reason.
    excused: Option<ops::Range<tokio::time::Instant>>,
}

impl CutCheck<'_> {
    /// Returns everything that is wrong.
    fn find_all(&self) -> Vec<String> {
        self.assert_cut_was_in_force();
        let found = [
            self.find_unserved(),
            self.find_broken_streams(),
            self.find_detours(),
        ];
        let named = found.into_iter().flatten();
        named
            .map(|cause| format!("{:?} of {:?}: {cause}", self.cut.kind, self.cut.nodes))
            .collect()
    }

    fn arrivals(&self) -> impl Iterator<Item = proxy::ProxyArrival> {
        let proxies = self.deployment.proxies.iter();
        proxies.flat_map(proxy::LoopbackProxy::arrivals)
    }

    fn source(&self, node: usize) -> net::IpAddr {
        self.deployment.nodes[node].spec.ip.into()
    }

    /// Without it the other checks would show nothing.
    fn assert_cut_was_in_force(&self) {
        if self.cut.kind == PathCut::OneWay {
            return;
        }
        let counted = self.cut.span.start + CUT_SLACK..self.cut.span.end;
        let mut passed = self.arrivals().filter(|arrival| {
            let mut nodes = self.cut.nodes.iter();
            counted.contains(&arrival.at) && nodes.any(|node| self.source(*node) == arrival.source)
        });
        assert_eq!(passed.next(), None, "{:?}", self.cut.kind);
    }

    /// Returns what is wrong if callers at the cut gateways were served less than two
    /// thirds as often as those at the others, from [`CONTACT`] after the cut began. The
    /// end of the cut must not be what serves them.
    fn find_unserved(&self) -> Option<String> {
        let counted = self.cut.span.start + CONTACT..self.cut.span.end - PATIENCE;
        if counted.is_empty() {
            return None;
        }
        let at = |nodes: &[usize]| {
            let calls = self.calls.iter();
            let calls = calls.filter(|call| counted.contains(&call.sent_at));
            ServedShare::new(calls.filter(|call| nodes.contains(&call.node)))
        };
        let (cut, others) = (at(&self.cut.nodes), at(self.others));
        assert!(cut.sent > 0 && others.sent > 0, "no calls");
        let is_broken = cut.fraction() * 3.0 < others.fraction() * 2.0;
        is_broken.then(|| {
            format!(
                "{} of {} first tries served there, {} of {} at others",
                cut.served, cut.sent, others.served, others.sent
            )
        })
    }

    /// Returns the streams that ended early while their callers waited, later than
    /// [`CONTACT`] after the cut began, and those that were sent later than that and not
    /// answered in time. Where old connections live on, no stream that began before the
    /// cut may end early.
    fn find_broken_streams(&self) -> Option<String> {
        let (start, kind) = (self.cut.span.start, self.cut.kind);
        let is_counted = |call: &&NodeCall| {
            let lives_on = kind == PathCut::Refuse && call.sent_at < start;
            let from = if lives_on { start } else { start + CONTACT };
            let caller_left = call.ended_at + DEADLINE_MARGIN >= call.sent_at + PATIENCE;
            let at = if caller_left {
                call.sent_at
            } else {
                call.ended_at
            };
            call.record.kind == CallKind::Stream && from <= at && call.ended_at < self.until
        };
        let is_known = |call: &&NodeCall| {
            let excused = self.excused.as_ref();
            if excused.is_some_and(|excused| excused.contains(&call.ended_at)) {
                return false;
            }
            self.cut.nodes.contains(&call.node) || self.others.contains(&call.node)
        };
        let broken: Vec<_> = self
            .calls
            .iter()
            .filter(is_known)
            .filter(is_counted)
            .filter(|call| matches!(call.record.outcome, caller::CallOutcome::Failed(_)))
            .map(|call| {
                let ended = call.ended_at - start;
                let took = call.ended_at - call.sent_at;
                let (request, outcome) = (&call.record.request, &call.record.outcome);
                format!("{request} at {ended:?} after {took:?}: {outcome:?}")
            })
            .collect();
        let first = broken.first()?;
        Some(format!(
            "{} streams broken, the first {first}",
            broken.len()
        ))
    }

    /// Returns what is wrong with the path of requests later than [`CONTACT`] after
    /// the cut ended: they have to start from the gateway that their caller sent them
    /// to.
    fn find_detours(&self) -> Option<String> {
        let counted = self.cut.span.end + CONTACT..self.until;
        if counted.is_empty() {
            return None;
        }
        let calls = self.calls.iter();
        let sources: collections::HashMap<_, _> = calls
            .filter(|call| self.cut.nodes.contains(&call.node))
            .filter(|call| counted.contains(&call.sent_at))
            .map(|call| (call.record.request.clone(), self.source(call.node)))
            .collect();
        let arrivals = self.arrivals();
        let arrivals = arrivals.filter(|arrival| sources.contains_key(&arrival.request));
        let (direct, detours): (Vec<_>, Vec<_>) =
            arrivals.partition(|arrival| sources[&arrival.request] == arrival.source);
        assert!(
            direct.len() + detours.len() > 0,
            "no requests after the cut"
        );
        let all = direct.len() + detours.len();
        let first = detours.first()?;
        (detours.len() as f64 > DETOUR_SHARE * all as f64).then(|| {
            format!(
                "{} of {all} requests came by another gateway later than {CONTACT:?} after \
                 it, the first {first:?}",
                detours.len()
            )
        })
    }
}

/// Returns what is wrong with the calls whatever happened: a request that ran twice
/// or ran although its answer says otherwise, an answer that is not the caller's own.
fn find_broken_promises(
    deployment: &deployment::SoakDeployment,
    calls: &[NodeCall],
) -> Vec<String> {
    let mut broken = deployment.fleet.violations();
    let runs = deployment.fleet.runs();
    let ran: collections::HashSet<_> = runs.iter().map(|run| &run.request).collect();
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

/// Returns what is wrong if a gateway logged one of these events for a sound request.
fn find_suspicions(deployment: &deployment::SoakDeployment, events: &[&str]) -> Option<String> {
    let mut suspicions = Vec::new();
    for node in &deployment.nodes {
        let log = deployment.folder.join(format!("{}.log", node.spec.name));
        let log = std::fs::read_to_string(log).unwrap();
        let lines = log.lines().filter(|line| line.contains("sound-"));
        let is_suspicion = |line: &&str| events.iter().any(|event| line.contains(event));
        suspicions.extend(lines.filter(is_suspicion).map(str::to_owned));
    }
    let first = suspicions.first()?;
    Some(format!(
        "{} suspicions of sound requests, the first {first}",
        suspicions.len()
    ))
}

/// Events that blame a request for the death of a runner, where none died.
const BLAME_EVENTS: [&str; 2] = ["SuspectNoted", "SuspectQuarantined"];

/// What happens beside a cut.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutCompany {
    /// Nothing.
    None,
    /// A gateway that is not cut is killed and started again.
    Kill(usize),
    /// A gateway that is not cut is stopped by a signal and started again.
    Stop(usize),
    /// A document comes into force, and a request crashes the runners that run it.
    DocumentAndCrash,
}

/// Time after the start of a cut when its company comes: requests go by neighbours.
const COMPANY_TIME: time::Duration = time::Duration::from_millis(4_500);

/// Longest graceful stop of a gateway.
const STOP_LIMIT: time::Duration = time::Duration::from_secs(6);

/// Path of the request that crashes the runners that run it, and its period at each
/// gateway.
const CRASH_PATH: &str = "/get/crash";
const CRASH_PERIOD: time::Duration = time::Duration::from_millis(700);

/// Lets the company of a cut come; returns what is wrong.
async fn keep_company(
    deployment: &deployment::SoakDeployment,
    company: CutCompany,
    nodes: &[usize],
) -> Vec<String> {
    if company == CutCompany::DocumentAndCrash {
        deployment.fleet.add_crash_rule(runner::CrashRule {
            path: CRASH_PATH.to_owned(),
            stage: runner::CrashStage::First,
            after_events: 0,
            run_time: time::Duration::ZERO,
        });
    }
    tokio::time::sleep(COMPANY_TIME).await;
    match company {
        CutCompany::None => {}
        CutCompany::Kill(node) => deployment.replace(node).await.unwrap(),
        CutCompany::Stop(node) => {
            let mut process = deployment.nodes[node].process.lock().await;
            let running = process.as_mut().unwrap();
            running.signal(signal::Signal::SIGTERM).unwrap();
            let status = running.wait(STOP_LIMIT).await;
            assert!(status.is_some_and(|status| status.success()), "{status:?}");
            drop(process);
            deployment.replace(node).await.unwrap();
        }
        CutCompany::DocumentAndCrash => {
            deployment.put_document();
            tokio::time::sleep(CONTACT).await;
            let path = format!("/v{}/x", deployment.document_count());
            let mut broken = Vec::new();
            for node in nodes {
                let address = deployment.nodes[*node].spec.callers();
                let request = format!("route-{node}");
                let served = caller::has_route(address, &path, &request, deployment::KEY).await;
                if served != Some(true) {
                    broken.push(format!("{path} at gateway {node}: {served:?}"));
                }
            }
            return broken;
        }
    }
    Vec::new()
}

/// Sends the request that crashes runners to all gateways in turn until the task is
/// aborted.
async fn repeat_crashing(deployment: sync::Arc<deployment::SoakDeployment>) {
    for number in 0.. {
        let node = &deployment.nodes[number % deployment.nodes.len()];
        let request = format!("crash-{number}");
        let (address, kind) = (node.spec.callers(), CallKind::Get);
        caller::call_path(address, request, kind, CRASH_PATH, deployment::KEY).await;
        tokio::time::sleep(CRASH_PERIOD / SIZE.nodes as u32).await;
    }
}

/// Cuts `nodes` from all runners in `company`, and asserts that their callers go on.
async fn assert_callers_go_on(
    name: &str,
    subnet: u8,
    nodes: &[usize],
    kind: PathCut,
    company: CutCompany,
) {
    let deployment = fleet_fixture::start_serving(name, subnet, SIZE).await;
    let crowd = CallerCrowd::start(&deployment);
    tokio::time::sleep(CONTACT).await;
    let mut crashing = tokio::task::JoinSet::new();
    if company == CutCompany::DocumentAndCrash {
        crashing.spawn(repeat_crashing(sync::Arc::clone(&deployment)));
    }
    let (cut, mut broken) = tokio::join!(
        cut(&deployment, nodes, kind, CUT_TIME),
        keep_company(&deployment, company, nodes),
    );
    tokio::time::sleep(HEALED_TIME).await;
    let until = tokio::time::Instant::now();
    crashing.abort_all();
    let calls = crowd.end().await;
    let is_other = |node: &usize| {
        let disturbed = matches!(
            company,
            CutCompany::Kill(disturbed) | CutCompany::Stop(disturbed) if disturbed == *node
        );
        !nodes.contains(node) && !disturbed
    };
    let others: Vec<_> = (0..SIZE.nodes).filter(is_other).collect();
    let check = CutCheck {
        deployment: &deployment,
        calls: &calls,
        cut: &cut,
        others: &others,
        until,
        excused: None,
    };
    broken.extend(check.find_all());
    broken.extend(find_broken_promises(&deployment, &calls));
    if company == CutCompany::DocumentAndCrash {
        // A sound request is rightly noted if its runner died under it.
        broken.extend(find_suspicions(&deployment, &BLAME_EVENTS[1..]));
        let history = deployment.fleet.crash_history(CRASH_PATH);
        assert!(!history.crashes.is_empty(), "no runner crashed");
        let late = history.late_arrivals(CONTACT).count();
        if late > runner::LATE_RETRIES {
            broken.push(format!("{late} late requests that crash runners"));
        }
    } else {
        broken.extend(find_suspicions(&deployment, &BLAME_EVENTS));
    }
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Guards against half of the gateways that refuse callers because their connections
/// to all runners hang, although the other half reaches every runner.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_half_of_the_gateways_go_on_when_paths_to_runners_hang() {
    let (name, kind) = ("cut-hang", PathCut::Hang);
    assert_callers_go_on(name, 220, &[0, 1, 2], kind, CutCompany::None).await;
}

/// Guards against the same when their connections to all runners are reset.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_half_of_the_gateways_go_on_when_paths_to_runners_are_reset() {
    let (name, kind) = ("cut-reset", PathCut::Reset);
    assert_callers_go_on(name, 221, &[0, 1, 2], kind, CutCompany::None).await;
}

/// Guards against the same when new connections to all runners are refused, and
/// against streams cut on old connections, which live on.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_half_of_the_gateways_go_on_when_runners_refuse_new_connections() {
    let (name, kind) = ("cut-refuse", PathCut::Refuse);
    assert_callers_go_on(name, 222, &[0, 1, 2], kind, CutCompany::None).await;
}

/// Guards against the same when requests reach the runners but no answer returns, and
/// against requests that run twice for it.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_half_of_the_gateways_go_on_when_no_answer_of_runners_returns() {
    let (name, kind) = ("cut-one-way", PathCut::OneWay);
    assert_callers_go_on(name, 223, &[0, 1, 2], kind, CutCompany::None).await;
}

/// Guards against one gateway that refuses its callers while it alone is cut.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_one_gateway_go_on_when_its_paths_to_runners_hang() {
    let (name, kind) = ("cut-one", PathCut::Hang);
    assert_callers_go_on(name, 224, &[4], kind, CutCompany::None).await;
}

/// Guards against a cut failure domain whose callers only neighbours in the other
/// one can help.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_a_domain_go_on_when_its_paths_to_runners_hang() {
    let (name, kind) = ("cut-domain", PathCut::Hang);
    assert_callers_go_on(name, 225, &[1, 3, 5], kind, CutCompany::None).await;
}

/// Guards against a cut that leaves a single gateway to carry all requests.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_all_gateways_but_one_go_on_when_paths_to_runners_are_reset() {
    let (name, kind) = ("cut-most", PathCut::Reset);
    assert_callers_go_on(name, 226, &[0, 1, 2, 3, 5], kind, CutCompany::None).await;
}

/// Guards against requests lost with the neighbour that carries them when it is
/// killed.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_cut_gateways_go_on_when_a_neighbour_is_killed() {
    let (name, kind) = ("cut-kill", PathCut::Hang);
    assert_callers_go_on(name, 227, &[2, 3, 4, 5], kind, CutCompany::Kill(1)).await;
}

/// Guards against requests cut by the planned stop of the neighbour that carries them.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_cut_gateways_go_on_when_a_neighbour_is_stopped() {
    let (name, kind) = ("cut-stop", PathCut::Hang);
    assert_callers_go_on(name, 228, &[2, 3, 4, 5], kind, CutCompany::Stop(1)).await;
}

/// Guards against cut gateways that miss a new document, or that hold sound requests
/// for those that crash runners, or go on sending the latter.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_cut_gateways_go_on_beside_a_new_document_and_a_crashing_request() {
    let (name, kind) = ("cut-crash", PathCut::Hang);
    let company = CutCompany::DocumentAndCrash;
    assert_callers_go_on(name, 229, &[0, 1, 2], kind, company).await;
}

/// Guards against requests that are lost when the neighbours that carry them are cut
/// while others heal.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_cut_gateways_go_on_when_the_cut_moves_to_their_neighbours() {
    let deployment = fleet_fixture::start_serving("cut-moves", 230, SIZE).await;
    let crowd = CallerCrowd::start(&deployment);
    tokio::time::sleep(CONTACT).await;
    let (first, second) = tokio::join!(
        cut(&deployment, &[2, 3, 4, 5], PathCut::Hang, CUT_TIME),
        async {
            tokio::time::sleep(COMPANY_TIME).await;
            cut(&deployment, &[1], PathCut::Hang, CUT_TIME).await
        },
    );
    tokio::time::sleep(HEALED_TIME).await;
    let until = tokio::time::Instant::now();
    let calls = crowd.end().await;
    let mut broken = Vec::new();
    let moved = second.span.start..second.span.start + CONTACT;
    for (cut, excused) in [(&first, Some(moved)), (&second, None)] {
        let check = CutCheck {
            deployment: &deployment,
            calls: &calls,
            cut,
            others: &[0],
            until,
            excused,
        };
        broken.extend(check.find_all());
    }
    broken.extend(find_suspicions(&deployment, &BLAME_EVENTS));
    broken.extend(find_broken_promises(&deployment, &calls));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Pause between two cuts in a row.
const CUT_PAUSE: time::Duration = time::Duration::from_millis(1_500);

/// Guards against gateways that need a quiet time between cuts: cuts of 2 to 12 s, of
/// all kinds, each of other gateways.
#[tokio::test(flavor = "multi_thread")]
async fn callers_of_cut_gateways_go_on_through_cuts_in_a_row() {
    let plan: [(&[usize], PathCut, u64); 6] = [
        (&[0, 1, 2], PathCut::Hang, 2),
        (&[1, 3, 5], PathCut::OneWay, 7),
        (&[0, 2, 3, 4], PathCut::Reset, 4),
        (&[5], PathCut::Hang, 12),
        (&[0, 1, 2, 4, 5], PathCut::Refuse, 7),
        (&[0, 2, 4], PathCut::Hang, 8),
    ];
    let deployment = fleet_fixture::start_serving("cut-row", 231, SIZE).await;
    let crowd = CallerCrowd::start(&deployment);
    tokio::time::sleep(CONTACT).await;
    let mut cuts = Vec::new();
    for (nodes, kind, seconds) in plan {
        let length = time::Duration::from_secs(seconds);
        cuts.push(cut(&deployment, nodes, kind, length).await);
        tokio::time::sleep(CUT_PAUSE).await;
    }
    tokio::time::sleep(HEALED_TIME).await;
    let end = tokio::time::Instant::now();
    let calls = crowd.end().await;
    let mut broken = Vec::new();
    for (index, cut) in cuts.iter().enumerate() {
        let others: Vec<_> = (0..SIZE.nodes)
            .filter(|node| !cut.nodes.contains(node))
            .collect();
        let check = CutCheck {
            deployment: &deployment,
            calls: &calls,
            cut,
            others: &others,
            until: cuts.get(index + 1).map_or(end, |next| next.span.start),
            excused: None,
        };
        broken.extend(check.find_all());
    }
    broken.extend(find_suspicions(&deployment, &BLAME_EVENTS));
    broken.extend(find_broken_promises(&deployment, &calls));
    assert!(broken.is_empty(), "{broken:#?}");
}

/// Time within which the fleet has to serve again after a disturbance; equals the
/// deployments' `recoverS`.
const RECOVERY: time::Duration = time::Duration::from_secs(12);

/// Returns the gateway that took the lease last.
fn find_leader(deployment: &deployment::SoakDeployment) -> usize {
    let taken_at = |node: &usize| {
        let name = &deployment.nodes[*node].spec.name;
        let log = deployment.folder.join(format!("{name}.log"));
        let log = std::fs::read_to_string(log).unwrap();
        let line = log.lines().rfind(|line| line.contains("LeaseTaken"))?;
        // Times in one form, which sort as texts.
        let (_, time) = line.split_once("\"ts\":\"")?;
        time.split_once('"').map(|(time, _)| time.to_owned())
    };
    (0..SIZE.nodes).max_by_key(taken_at).unwrap()
}

/// Guards against runners that stay without layers because the leader, which alone
/// orders loads, is cut from them, and so is each successor but one.
#[tokio::test(flavor = "multi_thread")]
async fn empty_runners_get_layers_while_all_gateways_but_one_are_cut() {
    let deployment = fleet_fixture::start_serving("cut-leader", 232, SIZE).await;
    let left = (find_leader(&deployment) + 1) % SIZE.nodes;
    let nodes = (0..SIZE.nodes).filter(|node| *node != left);
    nodes.for_each(|node| deployment.set_cut(node, Some(PathCut::Hang)).unwrap());
    tokio::time::sleep(CUT_SLACK).await;
    for id in &deployment.fleet.ids()[SIZE.plain_runners..] {
        deployment.fleet.restart(id).await.unwrap();
    }
    let restarted_at = tokio::time::Instant::now();
    while !deployment.fleet.is_covered() && restarted_at.elapsed() < RECOVERY {
        tokio::time::sleep(time::Duration::from_millis(50)).await;
    }
    let took = restarted_at.elapsed();
    assert!(took < RECOVERY, "no layers after {took:?}");
}
