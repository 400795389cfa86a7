//! Case: the store comes back from an older copy, and the operator changes the desired
//! state soon after.

use std::net::SocketAddr;
use std::sync::Arc;
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::Fleet;
use crate::http;
use crate::plain::{PlainRunner, Runs};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "ficu95.example";

/// Age of the copy when the store goes away. The pages say "some seconds".
const COPY_AGE: Duration = Duration::from_secs(4);

/// Time from the latest change of the desired state until the store goes away.
const LATEST_CHANGE: Duration = Duration::from_millis(500);

/// Time from the return of the store to the next change.
const NEXT_CHANGE: Duration = Duration::from_millis(700);

/// Time for which the store is away. The pages say "for a moment".
const AWAY: Duration = Duration::from_secs(1);

/// `configApplyMs` and `outerMs` of sites/novia-lima.toml, and a second more. The store
/// is without impairment for longer than `contactMs` by then.
const APPLY_TIME: Duration = Duration::from_millis(2_000 + 5_000 + 1_000);

/// Time for which requests are judged.
const JUDGED: Duration = Duration::from_secs(5);

/// Returns a desired state: with `moved`, the routes lead to the other service, one is
/// added and the key of the second tenant is replaced.
fn document(version: u64, extra: bool, moved: bool) -> String {
    let service = if moved { "bookings-next" } else { "bookings" };
    let route = |prefix: &str, kind: &str| {
        format!(
            "{{\"name\":\"{prefix}\",\"hostname\":\"{HOST}\",\"prefix\":\"/{prefix}/\",\
             \"type\":\"{kind}\",\"timeoutMs\":2500,\"goalMs\":150,\"priority\":2,\
             \"service\":\"{service}\",\"maxAttempts\":2}}"
        )
    };
    let mut routes = vec![route("hold", "non_idempotent"), route("look", "idempotent")];
    if extra {
        routes.push(route("idle", "idempotent"));
    }
    if moved {
        routes.push(route("new", "idempotent"));
    }
    let second = if moved { "key-b-new" } else { "key-b" };
    format!(
        "{{\"version\":{version},\"routes\":[{}],\"services\":[{{\"name\":\"bookings\",\
         \"maxConns\":100}},{{\"name\":\"bookings-next\",\"maxConns\":100}}],\"limits\":\
         {{\"maxHeaderBytes\":16384,\"maxBodyBytes\":4194304,\"headerTimeoutMs\":3000,\
         \"idleTimeoutMs\":15000}},\"tenants\":[{{\"name\":\"casa-a\",\"apiKeys\":[\"key-a\"]}},\
         {{\"name\":\"casa-b\",\"apiKeys\":[\"{second}\"]}}]}}",
        routes.join(",")
    )
}

struct Case {
    record: Record,
    store: Store,
    runs: Runs,
    fleet: Fleet,
    requests: u64,
}

/// What the client of one request saw.
struct Sent {
    node: String,
    request: String,
    status: u16,
}

impl Case {
    fn write(&self, version: u64, extra: bool, moved: bool) -> Option<u64> {
        let row = self
            .store
            .put("op", "config", Some(&document(version, extra, moved)));
        self.record.note(format!(
            "operator  version {version}, ack with row version {row:?}"
        ));
        row
    }

    /// Sends one request to a node.
    fn send(&mut self, node: usize, method: &str, path: &str, key: &str) -> Sent {
        self.requests += 1;
        let request = format!("{:016x}", 0x9c41_0000_0000_0000_u64 + self.requests);
        let authorization = format!("Bearer {key}");
        let fields = [
            ("Host", HOST),
            ("Request-Id", request.as_str()),
            ("Deadline-Ms", "2500"),
            ("Authorization", authorization.as_str()),
        ];
        let (name, to): (String, SocketAddr) = {
            let node = &self.fleet.nodes[node];
            (node.name.clone(), node.callers)
        };
        self.record.note(format!(
            "sent      {request} {method} {path} {key} to {name}"
        ));
        let limit = Duration::from_millis(2_500);
        let answer = http::call(to, method, path, &fields, b"", limit);
        let status = answer.as_ref().map_or(0, http::Message::status);
        self.record.note(format!(
            "answered  {request} {:?}",
            answer.map(|answer| answer.status())
        ));
        Sent {
            node: name,
            request,
            status,
        }
    }

    /// Sends requests to all nodes in turn for some time.
    fn keep_sending(&mut self, time: Duration) {
        let end = Instant::now() + time;
        let mut turn = 0;
        while Instant::now() < end {
            self.send(turn % 3, "POST", "/hold/1", "key-a");
            self.send((turn + 1) % 3, "GET", "/look/1", "key-b");
            turn += 1;
            thread::sleep(Duration::from_millis(60));
        }
    }

    /// Returns how a request was handled as only an older version allows, if it was.
    fn fault(&self, sent: &Sent, is_allowed: bool) -> Option<String> {
        let runs = self.runs.lock().unwrap();
        let ran = runs.iter().find(|run| run.request == sent.request);
        match ran {
            Some(run) if !is_allowed => Some(format!("run with a dropped key by {}", run.service)),
            Some(run) if run.service == "bookings" => Some("run by the old service".to_owned()),
            None if is_allowed && matches!(sent.status, 401 | 403 | 404) => Some(format!(
                "refused with {} though the route and key are there",
                sent.status
            )),
            _ => None,
        }
    }
}

/// Runs the case.
pub fn run(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let (store, address) = Store::start()?;
    let runs = Runs::default();
    let mut runners: Vec<Arc<PlainRunner>> = Vec::new();
    for (id, service, zone) in [
        ("i-7f3a91c2", "bookings", "peru-central-a"),
        ("i-7f3a91c3", "bookings", "peru-central-b"),
        ("i-7f3a91c4", "bookings-next", "peru-central-b"),
        ("i-7f3a91c5", "bookings-next", "peru-central-c"),
    ] {
        runners.push(PlainRunner::start(
            id, service, zone, &store, record, &runs,
        )?);
    }
    store.put("op", "config", Some(&document(10, false, false)));
    let zones = ["peru-central-a", "peru-central-b", "peru-central-c"];
    let fleet = Fleet::start(&zones, address)?;
    let mut case = Case {
        record: record.clone(),
        store,
        runs,
        fleet,
        requests: 0,
    };
    if !case.fleet.wait_ready() {
        return Ok(Verdict::NotRun("the nodes did not become ready".to_owned()));
    }
    case.keep_sending(Duration::from_secs(2));

    let copy = case.store.copy();
    record.note(format!(
        "store     copied at version {}",
        case.store.version()
    ));
    case.keep_sending(COPY_AGE - LATEST_CHANGE);
    case.write(20, true, false);
    case.keep_sending(LATEST_CHANGE);
    if trouble {
        record.note(format!(
            "store     goes away at version {}",
            case.store.version()
        ));
        case.store.go_away();
        case.keep_sending(AWAY);
        let era = case.store.come_back(copy);
        record.note(format!(
            "store     is back from the copy at version {}, era {era}",
            case.store.version()
        ));
        // What the operator and the runners wrote is written again.
        runners.iter().for_each(|runner| {
            runner.write_entry();
        });
        case.write(20, true, false);
    }
    case.keep_sending(NEXT_CHANGE);
    if case.write(30, true, true).is_none() {
        return Ok(Verdict::NotRun("the store did not acknowledge".to_owned()));
    }
    case.keep_sending(APPLY_TIME);

    record.note("judge     requests sent from now on".to_owned());
    let end = Instant::now() + JUDGED;
    let mut faults = Vec::new();
    let mut judged = 0;
    while Instant::now() < end {
        for node in 0..3 {
            for (method, path, key, is_allowed) in [
                ("POST", "/hold/1", "key-a", true),
                ("GET", "/look/1", "key-b", false),
                ("GET", "/new/1", "key-b-new", true),
            ] {
                let sent = case.send(node, method, path, key);
                judged += 1;
                if let Some(fault) = case.fault(&sent, is_allowed) {
                    record.note(format!(
                        "CONFIG    {} at {}: {fault}",
                        sent.request, sent.node
                    ));
                    faults.push(fault);
                }
            }
        }
        thread::sleep(Duration::from_millis(200));
    }
    if case.fleet.nodes.iter_mut().any(|node| node.has_ended()) {
        return Ok(Verdict::NotRun("a node ended by itself".to_owned()));
    }
    let summary = format!(
        "{} of {judged} judged requests were handled by an older version",
        faults.len()
    );
    record.note(format!("verdict   {summary}"));
    Ok(match faults.is_empty() {
        true => Verdict::Held(summary),
        false => Verdict::Broken(summary),
    })
}
