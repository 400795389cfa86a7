//! Runners that send bytes without end or stop in the middle, before real processes.

#![allow(clippy::unwrap_used)]

#[path = "fleet_fixture/channel.rs"]
mod channel;
mod fleet_fixture;
#[path = "fleet_fixture/raw_runner.rs"]
mod raw_runner;

use std::collections;
use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use arbutusfold_platform_standin::{caller, operator};
use arbutusfold_soak::{deployment, plan};
use channel::{ChannelAnswer, KeptChannel};
use serde_json::json;
use tokio::io::AsyncWriteExt;

const SIZE: plan::SoakSize = fleet_fixture::calm_size(2);

/// Memory that each gateway may use, in MB. The platform ends a process that uses more.
const MEMORY_MB: usize = 64;

/// Time for which callers press on the runners with each kind of answer.
const PRESS_TIME: time::Duration = time::Duration::from_secs(4);

/// Callers at a time. Without bounds each holds 4 MB after its deadline.
const CALLERS: usize = 100;

/// Time that such a caller waits.
const DEADLINE: time::Duration = time::Duration::from_secs(2);

/// Bytes of one part of an endless answer, and the pause after it: 2 MB a second.
const PART_BYTES: usize = 20_000;
const PART_PAUSE: time::Duration = time::Duration::from_millis(10);

/// Service of the spoiled runners, and its routes.
const SERVICE: &str = "spoiled";
const ROUTES: [(&str, &str); 3] = [
    ("/spoiled/", "idempotent"),
    ("/spoiled-once/", "non_idempotent"),
    ("/spoiled-stream/", "streaming"),
];

/// Number of requests so far, which makes their ids unique.
static REQUEST_COUNT: atomic::AtomicUsize = atomic::AtomicUsize::new(0);

/// What a runner sends without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum EndlessPart {
    /// The value of a header.
    HeaderValue,
    /// Headers.
    Headers,
    /// Interim answers.
    InterimAnswers,
    /// The body of a success, or an event of a stream.
    Body,
    /// The body of a failure.
    FailureBody,
}

const ENDLESS_PARTS: [EndlessPart; 5] = [
    EndlessPart::HeaderValue,
    EndlessPart::Headers,
    EndlessPart::InterimAnswers,
    EndlessPart::Body,
    EndlessPart::FailureBody,
];

impl EndlessPart {
    /// Returns the start of the answer to the request `id`, and what follows again and
    /// again.
    fn bytes(self, id: &str) -> (String, String) {
        let text = || "x".repeat(PART_BYTES);
        let repeated = |unit: &str| unit.repeat(PART_BYTES / unit.len());
        let field = format!("X: {}\r\n", "x".repeat(60));
        let success = raw_runner::stamped(200, id);
        match self {
            Self::HeaderValue => (format!("{success}X: "), text()),
            Self::Headers => (success, repeated(&field)),
            Self::InterimAnswers => (String::new(), repeated("HTTP/1.1 103 X\r\nX: x\r\n\r\n")),
            Self::Body => {
                let chunk = format!("{PART_BYTES:x}\r\n{}\r\n", text());
                (
                    format!("{success}Transfer-Encoding: chunked\r\n\r\n"),
                    chunk,
                )
            }
            Self::FailureBody => (format!("{}\r\n", raw_runner::stamped(500, id)), text()),
        }
    }
}

/// Calls that nodes made to a runner.
#[derive(Debug, Default)]
struct CallCounts {
    runs: atomic::AtomicUsize,
    reports: atomic::AtomicUsize,
    orders: atomic::AtomicUsize,
}

impl CallCounts {
    fn add(&self, path: &str) {
        let count = match path {
            "/v1/report" => &self.reports,
            "/v1/order" => &self.orders,
            _ => &self.runs,
        };
        count.fetch_add(1, atomic::Ordering::SeqCst);
    }
}

/// Starts a deployment with the service of the spoiled runners.
async fn start(name: &str, subnet: u8) -> deployment::SoakDeployment {
    let started = fleet_fixture::start_within(Some(MEMORY_MB), name, subnet, SIZE);
    let deployment = started.await;
    let mut document = operator::usual_document(&operator::DocumentSpec {
        version: 1,
        layers: 80,
        organisation: deployment::ORGANISATION,
        key: deployment::KEY,
    });
    document["version"] = json!(100);
    let routes = ROUTES.map(|(prefix, kind)| raw_runner::route(prefix, kind, SERVICE));
    document["routes"].as_array_mut().unwrap().extend(routes);
    let service = json!({ "name": SERVICE, "maxConns": 500 });
    document["services"].as_array_mut().unwrap().push(service);
    operator::put_value(&deployment.store, &document);
    deployment
}

/// Sends a request on a connection of its own.
async fn ask(node: net::SocketAddr, path: &str) -> io::Result<ChannelAnswer> {
    let count = REQUEST_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
    let request = format!(
        "POST {path} HTTP/1.1\r\nHost: {}\r\nRequest-Id: spoiled-{count:07}\r\n\
         Deadline-Ms: {}\r\nAuthorization: Bearer {}\r\nContent-Length: 0\r\n\r\n",
        operator::HOST,
        DEADLINE.as_millis(),
        deployment::KEY
    );
    let asked = async { KeptChannel::open(node).await?.ask(&request).await };
    tokio::time::timeout(2 * DEADLINE, asked).await?
}

/// Waits until each node knows the spoiled runners.
async fn wait_known(deployment: &deployment::SoakDeployment) {
    for node in &deployment.nodes {
        loop {
            let path = format!("{}start", ROUTES[0].0);
            match ask(node.spec.callers(), &path).await {
                Ok(answer) if matches!(answer.status, 404 | 503) => {}
                _ => break,
            }
            tokio::time::sleep(time::Duration::from_millis(20)).await;
        }
    }
}

/// Calls the spoiled runners until `end`; returns what looked like a success.
async fn press(node: net::SocketAddr, number: usize, end: tokio::time::Instant) -> Vec<String> {
    let mut wrong = Vec::new();
    while tokio::time::Instant::now() < end {
        let path = format!("{}x-{number}", ROUTES[number % ROUTES.len()].0);
        match ask(node, &path).await {
            Ok(answer) if answer.status == 200 => wrong.push(format!("{path}: {answer:?}")),
            _ => tokio::time::sleep(PART_PAUSE).await,
        }
    }
    wrong
}

/// Calls a sound service until `end`; returns what was not served.
async fn call_soundly(node: net::SocketAddr, end: tokio::time::Instant) -> Vec<String> {
    let mut unserved = Vec::new();
    while tokio::time::Instant::now() < end {
        let count = REQUEST_COUNT.fetch_add(1, atomic::Ordering::Relaxed);
        let request = format!("sound-{count}");
        let call = caller::call(node, request, caller::CallKind::Get, deployment::KEY).await;
        if call.outcome != caller::CallOutcome::Served {
            unserved.push(format!("{:?}", call.outcome));
        }
        tokio::time::sleep(time::Duration::from_millis(20)).await;
    }
    unserved
}

/// Guards against hosts that run out of memory, and requests of other callers that end
/// with them, because of answers without end to any call that nodes make to a runner.
#[tokio::test(flavor = "multi_thread")]
async fn bytes_without_end_end_no_process_and_no_other_request() {
    let subnet = 237;
    let deployment = start("endless", subnet).await;
    let kind = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counts = sync::Arc::new(CallCounts::default());
    for (index, is_loadable) in [false, false, true].into_iter().enumerate() {
        let (kind, counts) = (sync::Arc::clone(&kind), sync::Arc::clone(&counts));
        let address = raw_runner::start(subnet, move |head, mut stream| {
            let part = ENDLESS_PARTS[kind.load(atomic::Ordering::SeqCst)];
            counts.add(raw_runner::path(&head));
            async move {
                // An order follows a sound report only.
                if is_loadable && raw_runner::path(&head) == "/v1/report" {
                    return stream.write_all(raw_runner::report().as_bytes()).await;
                }
                let id = raw_runner::header(&head, "request-id").unwrap_or("none");
                let (start, part) = part.bytes(id);
                stream.write_all(start.as_bytes()).await?;
                loop {
                    stream.write_all(part.as_bytes()).await?;
                    tokio::time::sleep(PART_PAUSE).await;
                }
            }
        })
        .await;
        let (service, extra) = match is_loadable {
            true => (
                "model",
                json!({ "type": "card", "models": [{ "name": "m" }] }),
            ),
            false => (SERVICE, json!({})),
        };
        let id = format!("i-spoiled-{index}");
        raw_runner::put_entry(&deployment.store, &id, service, address, &extra);
    }
    wait_known(&deployment).await;
    let mut faults = Vec::new();
    for (index, part) in ENDLESS_PARTS.into_iter().enumerate() {
        kind.store(index, atomic::Ordering::SeqCst);
        let end = tokio::time::Instant::now() + PRESS_TIME;
        let mut callers = tokio::task::JoinSet::new();
        for number in 0..CALLERS {
            let node = deployment.nodes[number % SIZE.nodes].spec.callers();
            callers.spawn(press(node, number / SIZE.nodes, end));
        }
        for node in &deployment.nodes {
            callers.spawn(call_soundly(node.spec.callers(), end));
        }
        let found = callers.join_all().await.into_iter().flatten();
        faults.extend(found.map(|fault| format!("{part:?}: {fault}")));
        for node in &deployment.nodes {
            let mut slot = node.process.lock().await;
            let process = slot.as_mut().unwrap();
            let ended = process.try_wait().unwrap();
            assert!(ended.is_none(), "{part:?}: {} ended", node.spec.name);
            let peak = fleet_fixture::peak_memory_mb(process.id());
            if peak > MEMORY_MB {
                faults.push(format!("{part:?}: {} held {peak} MB", node.spec.name));
            }
        }
    }
    assert!(faults.is_empty(), "{} faults: {faults:#?}", faults.len());
    let counts = [&counts.runs, &counts.reports, &counts.orders]
        .map(|count| count.load(atomic::Ordering::SeqCst));
    assert!(counts.iter().all(|count| *count > 0), "calls: {counts:?}");
}

/// An answer of a spoiled runner, of which some bytes are sent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum CutForm {
    /// It states its length.
    Length,
    /// It comes in chunks.
    Chunks,
    /// It ends with its connection.
    Unframed,
}

impl CutForm {
    const ALL: [Self; 3] = [Self::Length, Self::Chunks, Self::Unframed];

    /// Returns the whole answer to the request `id`.
    fn bytes(self, id: &str, is_stream: bool) -> String {
        let body = match is_stream {
            true => "id: 1\ndata: x\n\nid: 2\ndata: y\n\n",
            false => "sound",
        };
        let length = body.len();
        let head = raw_runner::stamped(200, id);
        match self {
            Self::Length => format!("{head}Content-Length: {length}\r\n\r\n{body}"),
            Self::Chunks => {
                format!("{head}Transfer-Encoding: chunked\r\n\r\n{length:x}\r\n{body}\r\n0\r\n\r\n")
            }
            Self::Unframed => format!("{head}\r\n{body}"),
        }
    }

    /// Returns the body that a caller gets after `sent` bytes of the answer and this end
    /// of the connection, `None` if no success may look whole to it.
    fn whole_body(self, answer: &str, sent: usize, end: CutEnd, is_stream: bool) -> Option<String> {
        let (head, _) = answer.split_once("\r\n\r\n").unwrap();
        let part = answer[..sent].get(head.len() + 4..);
        match (self, end) {
            (Self::Length | Self::Chunks, _) => None,
            (Self::Unframed, CutEnd::Reset) => None,
            (Self::Unframed, CutEnd::Closed) => part
                .filter(|part| !is_stream || part.is_empty() || part.ends_with("\n\n"))
                .map(str::to_owned),
        }
    }

    /// Returns how many of the first bytes of the answer are sent, in turn.
    fn cuts(self, answer: &str) -> std::ops::Range<usize> {
        match self {
            Self::Length | Self::Chunks => 0..answer.len(),
            // All of its bytes do not make it whole.
            Self::Unframed => 0..answer.len() + 1,
        }
    }
}

/// How a spoiled runner ends the connection of an answer.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutEnd {
    /// It closes it.
    Closed,
    /// It resets it.
    Reset,
}

impl CutEnd {
    const ALL: [Self; 2] = [Self::Closed, Self::Reset];
}

/// An answer that a spoiled runner cuts.
#[derive(Clone, Copy, Debug)]
struct CutAnswer {
    is_stream: bool,
    form: CutForm,
    /// How many bytes are sent.
    sent: usize,
    end: CutEnd,
}

impl CutAnswer {
    /// Reads an answer from a path such as `/spoiled/1-17-0`: the number of its form, its
    /// bytes and the number of its end.
    fn of_path(path: &str) -> Self {
        let numbers = path.rsplit('/').next().unwrap().split('-');
        let numbers: Vec<usize> = numbers.map(|number| number.parse().unwrap()).collect();
        Self {
            is_stream: path.starts_with(ROUTES[2].0),
            form: CutForm::ALL[numbers[0]],
            sent: numbers[1],
            end: CutEnd::ALL[numbers[2]],
        }
    }
}

/// Runs that a spoiled runner has cut, by path.
type CutPaths = sync::Arc<sync::Mutex<collections::BTreeSet<String>>>;

/// Starts a runner that sends as many bytes of an answer as the path of the request says.
async fn start_cutting(subnet: u8, seen: CutPaths) -> net::SocketAddr {
    raw_runner::start(subnet, move |head, mut stream| {
        let seen = sync::Arc::clone(&seen);
        async move {
            let path = raw_runner::path(&head);
            if path == "/v1/report" {
                return stream.write_all(raw_runner::report().as_bytes()).await;
            }
            let cut = CutAnswer::of_path(path);
            let id = raw_runner::header(&head, "request-id").unwrap_or("none");
            let answer = cut.form.bytes(id, cut.is_stream);
            seen.lock().unwrap().insert(path.to_owned());
            stream
                .write_all(&answer.as_bytes()[..cut.sent.min(answer.len())])
                .await?;
            match cut.end {
                CutEnd::Closed => Ok(()),
                CutEnd::Reset => stream.set_zero_linger(),
            }
        }
    })
    .await
}

/// Sends a request until the runner has run it; returns the last answer.
async fn ask_until_run(
    node: net::SocketAddr,
    path: &str,
    seen: &CutPaths,
) -> io::Result<ChannelAnswer> {
    loop {
        let answer = ask(node, path).await;
        if seen.lock().unwrap().contains(path) {
            return answer;
        }
        // A runner that failed gets one request at a time.
        tokio::time::sleep(time::Duration::from_millis(10)).await;
    }
}

/// Asks for answers that are cut after each byte with this end of their connection.
/// Returns the paths of those whose callers got what they must not.
async fn ask_for_cuts(name: &str, subnet: u8, end: CutEnd) -> Vec<String> {
    let deployment = sync::Arc::new(start(name, subnet).await);
    let seen = CutPaths::default();
    let address = start_cutting(subnet, sync::Arc::clone(&seen)).await;
    let id = "i-spoiled";
    raw_runner::put_entry(&deployment.store, id, SERVICE, address, &json!({}));
    let mut asks = tokio::task::JoinSet::new();
    for (index, (prefix, kind)) in ROUTES.into_iter().enumerate() {
        let node = deployment.nodes[index % SIZE.nodes].spec.callers();
        let seen = sync::Arc::clone(&seen);
        asks.spawn(async move {
            let is_stream = kind == "streaming";
            let number = CutEnd::ALL.iter().position(|other| *other == end).unwrap();
            let mut wrong = Vec::new();
            for (form_number, form) in CutForm::ALL.into_iter().enumerate() {
                // All requests have ids of this length.
                let answer = form.bytes("spoiled-0000000", is_stream);
                for sent in form.cuts(&answer) {
                    let path = format!("{prefix}{form_number}-{sent}-{number}");
                    let answered = ask_until_run(node, &path, &seen).await;
                    let whole = answered.as_ref().ok().filter(|answer| answer.status == 200);
                    let body = whole.map(|answer| answer.body.clone());
                    if body != form.whole_body(&answer, sent, end, is_stream) {
                        wrong.push(format!("{path}: {answered:?}"));
                    }
                }
            }
            wrong
        });
    }
    let asked = asks.join_all();
    let wrong = tokio::time::timeout(time::Duration::from_secs(150), asked).await;
    wrong.unwrap().into_iter().flatten().collect()
}

/// Guards against a success with a short or empty body, or a stream, that looks whole to
/// its caller though the runner stopped in the middle of its head or body, and against
/// bodies without a length that are lost though their connections ended in order.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_stops_at_any_byte_does_not_look_whole() {
    let wrong = ask_for_cuts("cut-answers", 238, CutEnd::Closed).await;
    assert!(wrong.is_empty(), "{wrong:#?}");
}

/// Guards against the same where the runner resets the connection, which ends no answer.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_is_reset_at_any_byte_does_not_look_whole() {
    let wrong = ask_for_cuts("reset-answers", 226, CutEnd::Reset).await;
    assert!(wrong.is_empty(), "{wrong:#?}");
}
