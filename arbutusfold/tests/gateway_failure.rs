//! Tests of runners that count as failed for all nodes.

#![allow(clippy::unwrap_used)]

mod demand_network;

use std::time as std_time;

use arbutusfold::gateway::{demand, failure_watch};
use demand_network::{MessageFate, process};
use tokio::time;

const MS: std_time::Duration = std_time::Duration::from_millis(1);

/// Time within which all nodes are to know of a crash. A runner that crashes under load
/// fails several requests of each node in this time.
const KNOWN_LIMIT: std_time::Duration = std_time::Duration::from_millis(250);

fn failed(runner: u32, age_ms: u32) -> demand::FailedRunner {
    demand::FailedRunner {
        runner,
        incarnation: 7,
        age_ms,
    }
}

fn ranks() -> Vec<demand::RankDemand> {
    vec![demand::RankDemand {
        waiting: 3,
        ..demand::RankDemand::default()
    }]
}

/// Answers the load of one crash that takes several runners at once while each node
/// sends a few requests a second.
#[tokio::test(start_paused = true)]
async fn crash_of_four_runners_is_known_to_all_nodes_in_time() {
    let network = demand_network::start(98, 98, true).await;
    let runners = [4, 5, 6, 7];
    runners.iter().for_each(|runner| network.kill(*runner));
    // One node sees all of them, one of another domain a single one.
    for runner in runners {
        network.node(1).note_failed(&process(runner, 7));
    }
    network.node(2).note_failed(&process(runners[0], 7));
    let is_known = || runners.iter().all(|runner| network.avoiding(*runner) == 98);
    let took = network.wait(KNOWN_LIMIT * 2, is_known).await;
    assert!(took <= KNOWN_LIMIT, "{took:?}");
    // It stays so while the runners are gone, without another sign of a node.
    for _ in 0..100 {
        time::sleep(50 * MS).await;
        assert!(is_known());
    }
    assert_eq!(network.avoiding(8), 0);
}

/// Guards against a node that is cut off from the runners and takes them from all.
#[tokio::test(start_paused = true)]
async fn wrong_suspicion_of_one_node_changes_nothing() {
    let network = demand_network::start(9, 30, true).await;
    let leaders = [0, 1, 2].map(|domain| network.leader(domain));
    let cut = (0..9).find(|node| !leaders.contains(node)).unwrap();
    network.cut_from_runners.lock().unwrap().push(cut);
    for _ in 0..40 {
        for runner in 0..30 {
            network.node(cut).note_failed(&process(runner, 7));
        }
        time::sleep(50 * MS).await;
        assert!((0..30).all(|runner| network.avoiding(runner) == 0));
    }
}

/// Guards against a leader that is cut off from the runners of its domain.
#[tokio::test(start_paused = true)]
async fn leader_that_reaches_too_few_runners_tells_nothing() {
    let network = demand_network::start(9, 30, true).await;
    let leader = network.leader(0);
    network.cut_from_runners.lock().unwrap().push(leader);
    for runner in (0..30).step_by(3) {
        network.node(leader).note_failed(&process(runner, 7));
    }
    for _ in 0..40 {
        time::sleep(50 * MS).await;
        assert!((0..30).all(|runner| network.avoiding(runner) == 0));
    }
    // What it is told of other domains is not its to decide, and they reach theirs.
    network.kill(1);
    network.node(leader).note_failed(&process(1, 7));
    let took = network
        .wait(KNOWN_LIMIT * 2, || network.avoiding(1) == 9)
        .await;
    assert!(took <= KNOWN_LIMIT, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn next_leader_goes_on_where_the_lost_one_stopped() {
    let network = demand_network::start(12, 30, true).await;
    let leader = network.leader(0);
    network.kill(3);
    let sender = (0..12).find(|node| *node != leader).unwrap();
    // Summaries go out in each period while there is demand.
    for core in network.nodes.get().unwrap() {
        core.demand.lock().unwrap().set_ranks(ranks());
    }
    network.node(sender).note_failed(&process(3, 7));
    network
        .wait(KNOWN_LIMIT, || network.avoiding(3) == 12)
        .await;
    network.cut_from_nodes.lock().unwrap().push(leader);
    time::sleep(600 * MS).await;
    network.publish(|node| node != leader);
    // The lost one keeps its own view; the others lose it for no time.
    for _ in 0..1_500 {
        time::sleep(2 * MS).await;
        assert!(network.avoiding(3) >= 11, "{}", network.avoiding(3));
    }
    // A leader that is lost before it told anybody: a node sees the failure again.
    network.kill(6);
    network.node(sender).note_failed(&process(6, 7));
    let took = network
        .wait(KNOWN_LIMIT * 2, || network.avoiding(6) >= 11)
        .await;
    assert!(took <= KNOWN_LIMIT, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn lost_late_and_doubled_messages_only_delay_the_news() {
    let network = demand_network::start(30, 60, true).await;
    network.set_fate(MessageFate {
        loss: 0.2,
        doubled: 0.3,
        late: 80 * MS,
    });
    network.kill(3);
    network.node(1).note_failed(&process(3, 7));
    // Two more periods make up for a lost message of each of the three kinds.
    let took = network.wait(2_000 * MS, || network.avoiding(3) >= 28).await;
    assert!(took <= 1_000 * MS, "{took:?}");
    for _ in 0..60 {
        time::sleep(50 * MS).await;
        assert!(network.avoiding(3) >= 28, "{}", network.avoiding(3));
    }
    network.revive(3);
    let took = network.wait(3_000 * MS, || network.avoiding(3) == 0).await;
    assert!(took <= 1_500 * MS, "{took:?}");
}

#[tokio::test(start_paused = true)]
async fn runner_that_is_back_gets_requests_again() {
    let network = demand_network::start(30, 30, true).await;
    for runner in [3, 4] {
        network.kill(runner);
        network.node(1).note_failed(&process(runner, 7));
    }
    let is_known = || network.avoiding(3) == 30 && network.avoiding(4) == 30;
    network.wait(KNOWN_LIMIT, is_known).await;
    assert!(is_known());
    // A new process under the same id is used as soon as its entry is known.
    network.revive(3);
    network.put_runner(3, 2, 9);
    assert_eq!(network.avoiding(3), 0);
    // One with the same start after the next probe and the messages.
    network.revive(4);
    let limit = failure_watch::PROBE_PERIOD + KNOWN_LIMIT;
    let took = network.wait(limit * 2, || network.avoiding(4) == 0).await;
    assert!(took <= limit, "{took:?}");
    time::sleep(3_000 * MS).await;
    assert_eq!((network.avoiding(3), network.avoiding(4)), (0, 0));
    // What was said of the former process is no news of the next one.
    network.node(1).note_failed(&process(3, 7));
    time::sleep(KNOWN_LIMIT).await;
    assert_eq!(network.avoiding(3), 0);
}

/// Guards against probes that grow with the nodes that see a failure.
#[tokio::test(start_paused = true)]
async fn leader_alone_probes_a_failed_runner() {
    let network = demand_network::start(40, 30, true).await;
    network.kill(3);
    for node in 0..40 {
        network.node(node).note_failed(&process(3, 7));
    }
    time::sleep(2_000 * MS).await;
    let leader = network.leader(0);
    let opened = |node: usize| network.opened[node].load(std::sync::atomic::Ordering::Relaxed);
    let others: u64 = (0..40).filter(|node| *node != leader).map(opened).sum();
    assert_eq!(others, 0);
    assert!((6..=10).contains(&opened(leader)), "{}", opened(leader));
}

#[tokio::test(start_paused = true)]
async fn nothing_is_sent_without_the_setting() {
    let network = demand_network::start(9, 30, false).await;
    network.kill(3);
    network.node(1).note_failed(&process(3, 7));
    {
        let mut view = network.node(1).demand.lock().unwrap();
        view.set_ranks(ranks());
        view.note_failed(3, 7);
    }
    time::sleep(2_000 * MS).await;
    assert_eq!(network.sent_by_all(), (0, 0));
    assert_eq!(network.avoiding(3), 0);
}

#[tokio::test(start_paused = true)]
async fn silence_counts_from_the_second_probe() {
    let now = time::Instant::now();
    let mut watch = failure_watch::FailureWatch::default();
    assert!(watch.suspect(&failed(1, 0), now));
    assert!(!watch.suspect(&failed(1, 0), now), "it is probed already");
    assert_eq!(watch.take_due(now), [(1, 7)]);
    let silent = failure_watch::ProbeOutcome::Silent;
    assert_eq!(watch.note_probe((1, 7), silent, now), None);
    assert!(watch.published(now).is_empty());
    assert_eq!(watch.take_due(now), [(1, 7)]);
    let change = watch.note_probe((1, 7), silent, now).unwrap();
    assert_eq!(change.to, Some(failure_watch::FailureStage::Failed));
    assert_eq!(watch.published(now), [failed(1, 0)]);
    assert_eq!(
        watch.next_probe(),
        Some(now + failure_watch::PROBE_PERIOD),
        "a failed runner is probed again"
    );
}

/// Guards against a suspicion from before an answer that makes the runner fail again,
/// and one that nothing ever confirms.
#[tokio::test(start_paused = true)]
async fn suspicion_from_before_an_answer_is_void() {
    let began_at = time::Instant::now();
    let mut watch = failure_watch::FailureWatch::default();
    watch.suspect(&failed(1, 0), began_at);
    watch.take_due(began_at);
    let now = began_at + 100 * MS;
    let change = watch.note_probe((1, 7), failure_watch::ProbeOutcome::Open, now);
    assert_eq!(
        change.unwrap().to,
        Some(failure_watch::FailureStage::Answered)
    );
    let later = now + failure_watch::PROBE_PERIOD;
    watch.suspect(&failed(1, 300), later);
    assert!(watch.take_due(later).is_empty());
    watch.suspect(&failed(1, 10), later);
    assert_eq!(watch.take_due(later), [(1, 7)]);
    watch.note_probe((1, 7), failure_watch::ProbeOutcome::Unknown, later);
    assert!(watch.published(later).is_empty());
    let end = later + 3_000 * MS;
    assert!(watch.retain(&[(1, 7)], end).is_empty());
    assert_eq!(watch.next_probe(), None);
}

#[tokio::test(start_paused = true)]
async fn failures_of_over_a_third_of_the_runners_are_withheld() {
    let now = time::Instant::now();
    let mut watch = failure_watch::FailureWatch::default();
    let refused = failure_watch::ProbeOutcome::Refused;
    for runner in 0..4 {
        watch.suspect(&failed(runner, 0), now);
        watch.note_probe((runner, 7), refused, now);
    }
    assert_eq!(watch.note_withheld(12), None);
    assert_eq!(watch.published(now).len(), 4);
    watch.suspect(&failed(4, 0), now);
    // One silent probe counts against the leader before it counts against the runner.
    watch.note_probe((4, 7), failure_watch::ProbeOutcome::Silent, now);
    assert_eq!(watch.note_withheld(12), Some(5));
    assert!(watch.published(now).is_empty());
    watch.note_probe((4, 7), failure_watch::ProbeOutcome::Open, now);
    assert_eq!(watch.note_withheld(12), Some(4));
    assert_eq!(watch.published(now).len(), 4);
    // Entries that are gone or name another process end their failures.
    let changes = watch.retain(&[(0, 7), (1, 8), (2, 7), (3, 7)], now);
    let ended: Vec<_> = changes.iter().map(|change| change.runner).collect();
    assert_eq!(ended, [1]);
    assert_eq!(watch.published(now).len(), 3);
}
