//! Entries of another writer among those of the runners, before real processes.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::time;

use arbutusfold_platform_standin::caller::{self, CallKind};
use arbutusfold_platform_standin::runner;
use arbutusfold_soak::{deployment, plan};

/// Time within which a change of the store takes effect at every node.
const APPLY_LIMIT: time::Duration = time::Duration::from_secs(2);

/// Most log lines of a node about odd entries, which are written many times.
const LINE_LIMIT: usize = 60;

const SIZE: plan::SoakSize = fleet_fixture::calm_size(3);

/// Returns a sound entry of a runner that does not exist, with one field replaced.
fn entry(field: &str, value: &str) -> Vec<u8> {
    let mut fields = vec![
        ("service", "\"model\""),
        ("address", "\"127.90.233.250:9\""),
        ("zone", "\"a\""),
        ("slots", "4"),
        ("state", "\"ready\""),
        ("born", "1"),
        ("type", "\"card\""),
        ("layers", "{\"from\":0,\"target\":80,\"version\":1}"),
        ("models", "[]"),
        ("coldLeftMs", "0"),
    ];
    fields.retain(|(name, _)| *name != field);
    fields.push((field, value));
    let fields = fields
        .iter()
        .map(|(name, value)| format!("\"{name}\":{value}"));
    format!("{{{}}}", fields.collect::<Vec<_>>().join(",")).into_bytes()
}

/// Returns ids and values of odd entries.
fn odd_entries(node: std::net::SocketAddr) -> Vec<(String, Vec<u8>)> {
    let nested =
        |open: &str, close: &str| format!("{}1{}", open.repeat(100_000), close.repeat(100_000));
    let own_address = format!("\"{node}\"");
    let values = [
        ("note", nested("[", "]")),
        ("layers", nested("{\"from\":", "}")),
        ("models", nested("[", "]")),
        (
            "layers",
            "{\"from\":0,\"target\":4294967295,\"version\":1}".to_owned(),
        ),
        (
            "layers",
            "{\"from\":4294967294,\"target\":4294967295}".to_owned(),
        ),
        ("layers", "{\"from\":80,\"target\":0}".to_owned()),
        (
            "layers",
            "{\"from\":0,\"target\":99999999999999999999}".to_owned(),
        ),
        ("layers", "{\"from\":-1,\"target\":80}".to_owned()),
        ("layers", "7".to_owned()),
        ("slots", "0".to_owned()),
        ("slots", "4294967295".to_owned()),
        ("slots", "-1".to_owned()),
        ("slots", "1e400".to_owned()),
        ("born", "18446744073709551615".to_owned()),
        ("born", "18446744073709551616".to_owned()),
        ("born", "-5".to_owned()),
        ("coldLeftMs", "1e308".to_owned()),
        ("coldLeftMs", "-1e308".to_owned()),
        ("coldLeftMs", "\"soon\"".to_owned()),
        ("address", "\"127.90.233.250:65536\"".to_owned()),
        ("address", "\"127.90.233.250:99999999999\"".to_owned()),
        ("address", "\"127.90.233.250:0\"".to_owned()),
        ("address", "\"127.90.233.250\"".to_owned()),
        ("address", "\"0.0.0.0:80\"".to_owned()),
        ("address", "\"224.0.0.1:80\"".to_owned()),
        ("address", "\"[::1]:80\"".to_owned()),
        ("address", "null".to_owned()),
        ("address", own_address.clone()),
        ("state", "\"asleep\"".to_owned()),
        ("state", "3".to_owned()),
        ("service", "\"\"".to_owned()),
        ("service", "[]".to_owned()),
        ("type", "{}".to_owned()),
        ("models", "[{\"name\":3}]".to_owned()),
        ("zone", "\"\\u0000\"".to_owned()),
    ];
    let named = values
        .iter()
        .enumerate()
        .map(|(index, (field, value))| (format!("odd-{index:02}-{field}"), entry(field, value)));
    let mut entries: Vec<_> = named.collect();
    // The address of a node, in an entry of a service whose runners are all alike.
    let own = entry("address", &own_address);
    let own = String::from_utf8(own).unwrap();
    let plain = own.replace("\"model\"", "\"plain\"");
    entries.push(("odd-plain-address".to_owned(), plain.into_bytes()));
    let texts: [&[u8]; 6] = [b"", b"null", b"[]", b"{", b"\xff\xfe\x00", b"\"text\""];
    let bare = texts.iter().enumerate();
    entries.extend(bare.map(|(index, text)| (format!("odd-bytes-{index}"), text.to_vec())));
    let sound = || entry("slots", "4");
    entries.push((String::new(), sound()));
    entries.push(("odd id\r\nx: y".to_owned(), sound()));
    entries.push(("odd-\u{7f}".to_owned(), sound()));
    entries.push((format!("odd-{}", "x".repeat(190)), sound()));
    entries
}

fn log_of(folder: &std::path::Path, name: &str) -> String {
    std::fs::read_to_string(folder.join(format!("{name}.log"))).unwrap()
}

/// Sends requests of each kind to each node, many at once, and returns those that were
/// not served.
async fn unserved(deployment: &deployment::SoakDeployment, round: usize) -> Vec<String> {
    let mut calls = tokio::task::JoinSet::new();
    for number in 0..8 {
        for node in &deployment.nodes {
            for kind in [CallKind::Get, CallKind::Stream, CallKind::Post] {
                let request = format!("entries-{round}-{number}-{kind:?}-{}", node.spec.name);
                let address = node.spec.callers();
                calls.spawn(async move {
                    let call = caller::call(address, request.clone(), kind, deployment::KEY);
                    (request, call.await.outcome)
                });
            }
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    let results = calls.join_all().await.into_iter();
    results
        .filter(|(_, outcome)| *outcome != caller::CallOutcome::Served)
        .map(|(request, outcome)| format!("{request}: {outcome:?}"))
        .collect()
}

/// Guards against processes that end, stop following the list or send requests astray
/// after another writer left an odd entry among those of the runners.
#[tokio::test(flavor = "multi_thread")]
async fn odd_entries_of_runners_end_no_process_and_stop_no_feed() {
    let deployment = fleet_fixture::start_serving("entries", 233, SIZE).await;
    let ids: Vec<_> = process_ids(&deployment).await;
    let entries = odd_entries(deployment.nodes[0].spec.callers());
    for round in 0..6 {
        for (id, value) in &entries {
            // Another writer writes the same entry again, with other bytes.
            let spaced = [value.as_slice(), " ".repeat(round).as_bytes()].concat();
            deployment.store.put("servers", id, Some(spaced));
        }
        tokio::time::sleep(time::Duration::from_millis(400)).await;
    }
    tokio::time::sleep(APPLY_LIMIT).await;
    let failed = unserved(&deployment, 0).await;
    assert!(failed.is_empty(), "{failed:#?}");
    // A sound entry and a document that come later take effect.
    let spec = runner::RunnerSpec {
        id: "i-later".to_owned(),
        service: "plain".to_owned(),
        domain: "a".to_owned(),
        card: None,
    };
    let any_port = std::net::SocketAddr::from(([127, 90, 233, 201], 0));
    deployment.fleet.start(spec, any_port, None).await.unwrap();
    deployment.put_document();
    let document = deployment.document_count();
    tokio::time::sleep(APPLY_LIMIT).await;
    for node in &deployment.nodes {
        let path = format!("/v{document}/x");
        let request = format!("entries-document-{}", node.spec.name);
        let answer = caller::has_route(node.spec.callers(), &path, &request, deployment::KEY).await;
        assert_eq!(answer, Some(true), "{}", node.spec.name);
        let log = log_of(&deployment.folder, &node.spec.name);
        assert!(
            log.contains("\"subject\":\"i-later\""),
            "{}",
            node.spec.name
        );
        assert!(!log.contains("TaskPanicked"), "{}", node.spec.name);
        let lines = log.matches("UpstreamUnreadable").count();
        assert!((20..=LINE_LIMIT).contains(&lines), "{lines} lines");
    }
    let failed = unserved(&deployment, 1).await;
    assert!(failed.is_empty(), "{failed:#?}");
    assert_eq!(ids, process_ids(&deployment).await);
}

async fn process_ids(deployment: &deployment::SoakDeployment) -> Vec<u32> {
    let mut ids = Vec::new();
    for node in &deployment.nodes {
        let mut process = node.process.lock().await;
        let process = process.as_mut().unwrap();
        assert_eq!(process.try_wait().unwrap(), None, "{}", node.spec.name);
        ids.push(process.id());
    }
    ids
}
