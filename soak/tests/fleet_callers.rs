//! Crowds of callers that do not behave before a real process on a small host: it
//! stays within its memory, and ordinary callers are served beside them.

#![allow(clippy::unwrap_used)]

mod fleet_fixture;

use std::io;
use std::net;
use std::time;

use arbutusfold_platform_standin::caller::{self, CallKind, CallOutcome};
use arbutusfold_platform_standin::operator;
use arbutusfold_soak::{deployment, plan, process};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use tokio::task;

const SIZE: plan::SoakSize = fleet_fixture::calm_size(1);

/// Memory of the smallest host of the users.
const MEMORY_MB: usize = 112;

/// Longest legal body, which is the default of the document.
const BODY_BYTES: usize = 4 << 20;

/// Longest legal head, which is the default of the document.
const HEAD_BYTES: usize = 16 << 10;

/// Connections of a crowd.
const CROWD_SIZE: usize = 150;

/// Time for which a crowd presses.
const PRESS_TIME: time::Duration = time::Duration::from_secs(4);

/// Time between the arrivals of two members.
const ARRIVAL_PERIOD: time::Duration = time::Duration::from_millis(3);

/// Time between two calls of ordinary callers.
const CALL_PERIOD: time::Duration = time::Duration::from_millis(15);

/// Smallest share of ordinary calls that are served.
const SERVED_SHARE: f64 = 0.99;

/// Largest ratio of the 99th percentile of ordinary calls beside a crowd to the one in
/// calm.
const SLOWDOWN_LIMIT: f64 = 2.0;

/// Time within which the descriptors of a crowd are free again after it left.
const RELEASE_LIMIT: time::Duration = time::Duration::from_secs(15);

/// Descriptors for connections that are kept to runners.
const KEPT_DESCRIPTORS: usize = 16;

/// What the members of a crowd do.
#[derive(Clone, Copy, Debug)]
enum CrowdKind {
    /// They stop just short of the end of a body of legal size.
    LargeBodies,
    /// They send bodies far over the limit.
    LongBodies,
    /// They send requests of very many short fields.
    ManyFields,
    /// They send many requests ahead and read no answer.
    SentAhead,
    /// They send very slowly or stop half-way.
    SlowSenders,
    /// They read very slowly or stop half-way.
    SlowReaders,
}

/// One member of a crowd.
#[derive(Clone, Copy, Debug)]
struct CrowdMember {
    kind: CrowdKind,
    number: usize,
    address: net::SocketAddr,
    target: &'static str,
}

impl CrowdMember {
    fn new(kind: CrowdKind, number: usize, node: &process::GatewaySpec) -> Self {
        let targets = [
            (node.callers(), "/post/hold"),
            (node.callers(), "/nowhere"),
            (node.callers(), "/model/write"),
            (node.ready(), "/v1/ready"),
            (node.directory(), "/v1/resolve"),
            (node.metrics(), "/metrics"),
        ];
        let (address, target) = targets[number % targets.len()];
        Self {
            kind,
            number: number / targets.len(),
            address,
            target,
        }
    }

    fn head(&self, method: &str, extra: &str) -> String {
        let request = format!("crowd-{:?}-{}", self.kind, rand_id());
        format!(
            "{method} {} HTTP/1.1\r\nHost: {}\r\nRequest-Id: {request}\r\n\
             Token-Count: 100,3000\r\nDeadline-Ms: 6000\r\nAuthorization: Bearer {}\r\n{extra}\r\n",
            self.target,
            operator::HOST,
            deployment::KEY
        )
    }

    /// Opens connections one after another until the time is over.
    async fn press(self, until: tokio::time::Instant) {
        while tokio::time::Instant::now() < until {
            let _ = tokio::time::timeout_at(until, self.misbehave()).await;
            tokio::time::sleep(time::Duration::from_millis(200)).await;
        }
    }

    async fn misbehave(self) -> io::Result<()> {
        let socket = tokio_net::TcpSocket::new_v4()?;
        if matches!(self.kind, CrowdKind::SlowReaders) {
            socket.set_recv_buffer_size(1)?;
        }
        let mut stream = socket.connect(self.address).await?;
        match self.kind {
            CrowdKind::LargeBodies => self.send_large(&mut stream).await?,
            CrowdKind::LongBodies => self.send_long(&mut stream).await?,
            CrowdKind::ManyFields => self.send_fields(&mut stream).await?,
            CrowdKind::SentAhead => {
                let head = self.head("GET", "");
                stream.write_all(head.repeat(1_000).as_bytes()).await?;
                tokio::time::sleep(PRESS_TIME).await;
            }
            CrowdKind::SlowSenders => self.send_slowly(&mut stream).await?,
            CrowdKind::SlowReaders => {
                let head = self.head("GET", "");
                stream.write_all(head.repeat(20).as_bytes()).await?;
                while self.number.is_multiple_of(2) {
                    tokio::time::sleep(time::Duration::from_millis(100)).await;
                    stream.read_u8().await?;
                }
                tokio::time::sleep(PRESS_TIME).await;
            }
        }
        // Stays open until the server ends the connection.
        let mut rest = [0; 1_024];
        while stream.read(&mut rest).await? > 0 {}
        Ok(())
    }

    async fn send_large(&self, stream: &mut tokio_net::TcpStream) -> io::Result<()> {
        let whole = format!("Content-Length: {BODY_BYTES}\r\n");
        let body = vec![b'x'; BODY_BYTES - 1];
        match self.number % 3 {
            0 => {
                let head = self.head("POST", &whole);
                stream.write_all(head.as_bytes()).await?;
                stream.write_all(&body).await
            }
            1 => {
                let head = self.head("POST", &whole);
                stream.write_all(head.as_bytes()).await?;
                for piece in body.chunks(1_000) {
                    stream.write_all(piece).await?;
                }
                Ok(())
            }
            _ => {
                let head = self.head("POST", "Transfer-Encoding: chunked\r\n");
                stream.write_all(head.as_bytes()).await?;
                // Chunks of one byte.
                let chunks = "1\r\nx\r\n".repeat(4 << 10);
                for _ in 0..64 {
                    stream.write_all(chunks.as_bytes()).await?;
                }
                Ok(())
            }
        }
    }

    async fn send_long(&self, stream: &mut tokio_net::TcpStream) -> io::Result<()> {
        let declared = self.number.is_multiple_of(2);
        let extra = match declared {
            true => "Content-Length: 1073741824\r\n",
            false => "Transfer-Encoding: chunked\r\n",
        };
        stream
            .write_all(self.head("POST", extra).as_bytes())
            .await?;
        let part = vec![b'x'; 64 << 10];
        for _ in 0..512 {
            if !declared {
                stream.write_all(b"10000\r\n").await?;
            }
            stream.write_all(&part).await?;
            if !declared {
                stream.write_all(b"\r\n").await?;
            }
            tokio::time::sleep(time::Duration::from_millis(5)).await;
        }
        Ok(())
    }

    async fn send_fields(&self, stream: &mut tokio_net::TcpStream) -> io::Result<()> {
        let fields = |count: usize| -> String {
            (0..count)
                .map(|field| format!("a{}:\r\n", field % 10))
                .collect()
        };
        let head = match self.number % 3 {
            0 => self.head("GET", &fields(3_000)),
            1 => self.head("GET", &fields(80)),
            _ => self.head("POST", &(fields(80) + "Content-Length: 1000\r\n")),
        };
        stream.write_all(head.as_bytes()).await
    }

    async fn send_slowly(&self, stream: &mut tokio_net::TcpStream) -> io::Result<()> {
        let head = self.head("POST", "Content-Length: 1000000\r\n");
        match self.number % 4 {
            0 => {
                for byte in head.as_bytes() {
                    stream.write_all(&[*byte]).await?;
                    tokio::time::sleep(time::Duration::from_millis(50)).await;
                }
                Ok(())
            }
            1 => stream.write_all(&head.as_bytes()[..40]).await,
            2 => {
                stream.write_all(head.as_bytes()).await?;
                loop {
                    stream.write_all(b"x").await?;
                    tokio::time::sleep(time::Duration::from_millis(50)).await;
                }
            }
            _ => Ok(()),
        }
    }
}

/// Returns a number that no other request has.
fn rand_id() -> u64 {
    static COUNT: std::sync::atomic::AtomicU64 = std::sync::atomic::AtomicU64::new(0);
    COUNT.fetch_add(1, std::sync::atomic::Ordering::Relaxed)
}

/// Ordinary calls that ended.
#[derive(Debug, Default)]
struct CallTally {
    unserved: Vec<String>,
    total: usize,
    /// When calls to plain services that were served began, and how long they took.
    served: Vec<(time::Duration, time::Duration)>,
    /// Longest time by which a call began too late: the callers themselves were held up.
    caller_delay: time::Duration,
}

impl CallTally {
    fn served_share(&self) -> f64 {
        1.0 - self.unserved.len() as f64 / self.total as f64
    }

    fn p99(&self) -> time::Duration {
        let mut times: Vec<_> = self.served.iter().map(|(_, took)| *took).collect();
        times.sort_unstable();
        times[(times.len() - 1) * 99 / 100]
    }

    /// Describes the slowest calls: a pause of the machine slows those of one moment.
    fn describe_slowest(&self) -> String {
        let mut slowest = self.served.clone();
        slowest.sort_unstable_by_key(|(_, took)| std::cmp::Reverse(*took));
        slowest.truncate(8);
        let delay = self.caller_delay;
        format!("slowest (begun at, took) {slowest:?}, callers late by at most {delay:?}")
    }
}

/// Calls a node as ordinary callers do, each on a connection of its own.
async fn call_ordinarily(node: net::SocketAddr, duration: time::Duration) -> CallTally {
    let mut calls = task::JoinSet::new();
    let start = tokio::time::Instant::now();
    let end = start + duration;
    let mut ticks = tokio::time::interval(CALL_PERIOD);
    let mut tally = CallTally::default();
    let kinds = [
        CallKind::Get,
        CallKind::Post,
        CallKind::Get,
        CallKind::Post,
        CallKind::Stream,
    ];
    for number in 0_usize.. {
        let due = ticks.tick().await;
        if due >= end {
            break;
        }
        tally.caller_delay = tally.caller_delay.max(due.elapsed());
        let kind = kinds[number % kinds.len()];
        calls.spawn(async move {
            let request = format!("ordinary-{}", rand_id());
            let begun = tokio::time::Instant::now();
            let record = caller::call(node, request, kind, deployment::KEY).await;
            (record, begun - start, begun.elapsed())
        });
    }
    for (record, begun, time) in calls.join_all().await {
        tally.total += 1;
        if record.outcome != CallOutcome::Served {
            let line = format!("{:?} {:?} {time:?}", record.kind, record.outcome);
            tally.unserved.push(line);
        } else if record.kind != CallKind::Stream {
            tally.served.push((begun, time));
        }
    }
    tally
}

/// Returns how many readiness checks failed, of two a second.
async fn count_unready(ready: net::SocketAddr, until: tokio::time::Instant) -> usize {
    let mut count = 0;
    while tokio::time::Instant::now() < until {
        count += usize::from(!caller::is_ready(ready).await);
        tokio::time::sleep(time::Duration::from_millis(500)).await;
    }
    count
}

/// A single request of exactly the limits is served in calm.
async fn assert_exact_sizes(node: &process::GatewaySpec) {
    let member = CrowdMember {
        kind: CrowdKind::LargeBodies,
        number: 0,
        address: node.callers(),
        target: "/post/hold",
    };
    let length = format!("Content-Length: {BODY_BYTES}\r\n");
    let plain = member.head("POST", &format!("{length}X: \r\n"));
    let padding = "x".repeat(HEAD_BYTES - plain.len());
    let head = plain.replace("X: ", &format!("X: {padding}"));
    let head = head.replace("crowd-LargeBodies-", "exact-LargeBodies-");
    assert_eq!(head.len(), HEAD_BYTES);
    let mut stream = tokio_net::TcpStream::connect(node.callers()).await.unwrap();
    stream.write_all(head.as_bytes()).await.unwrap();
    stream.write_all(&vec![b'x'; BODY_BYTES]).await.unwrap();
    let mut answer = [0; 15];
    stream.read_exact(&mut answer).await.unwrap();
    assert_eq!(&answer, b"HTTP/1.1 200 OK");
}

fn descriptor_count(process: u32) -> usize {
    std::fs::read_dir(format!("/proc/{process}/fd"))
        .unwrap()
        .count()
}

/// Lets a crowd press on a process and checks it and its ordinary callers.
async fn withstand(name: &str, subnet: u8, kinds: &[CrowdKind]) {
    let started = fleet_fixture::start_within(Some(MEMORY_MB), name, subnet, SIZE);
    let deployment = started.await;
    let node = &deployment.nodes[0];
    let id = node.process.lock().await.as_ref().unwrap().id();
    assert_exact_sizes(&node.spec).await;
    let calm = call_ordinarily(node.spec.callers(), PRESS_TIME).await;
    assert!(calm.unserved.is_empty(), "{:?}", calm.unserved);
    let descriptors = descriptor_count(id);

    let until = tokio::time::Instant::now() + PRESS_TIME;
    let members = (0..CROWD_SIZE).map(|number| {
        let kind = kinds[number % kinds.len()];
        CrowdMember::new(kind, number / kinds.len(), &node.spec)
    });
    let members: Vec<_> = members.collect();
    // The crowd has a thread of its own, so that it does not keep ordinary callers
    // from measuring.
    let crowd = std::thread::spawn(move || {
        let runtime = tokio::runtime::Builder::new_current_thread()
            .enable_all()
            .build();
        runtime.unwrap().block_on(async {
            let mut crowd = task::JoinSet::new();
            for member in members {
                crowd.spawn(member.press(until));
                tokio::time::sleep(ARRIVAL_PERIOD).await;
            }
            crowd.join_all().await;
        });
    });
    let (pressed, unready) = tokio::join!(
        call_ordinarily(node.spec.callers(), PRESS_TIME),
        count_unready(node.spec.ready(), until)
    );
    crowd.join().unwrap();

    assert_eq!(unready, 0);
    // None of these was complete, so none may have run.
    let incomplete = ["LargeBodies", "LongBodies", "SlowSenders"];
    let runs = deployment.fleet.runs();
    let ran = runs.iter().filter(|run| {
        let name = run.request.strip_prefix("crowd-");
        name.is_some_and(|name| incomplete.iter().any(|kind| name.starts_with(kind)))
    });
    assert_eq!(ran.count(), 0);
    let peak = fleet_fixture::peak_memory_mb(id);
    let (calm_p99, p99) = (calm.p99(), pressed.p99());
    let share = pressed.served_share();
    eprintln!("{name}: served {share:.3} p99 {calm_p99:?} -> {p99:?} peak {peak} MB");
    let mut process = node.process.lock().await;
    let ended = process.as_mut().unwrap().try_wait().unwrap();
    assert!(ended.is_none(), "the process ended: {ended:?}");
    assert!(share >= SERVED_SHARE, "{share}: {:#?}", pressed.unserved);
    assert!(peak < MEMORY_MB, "{peak} MB");
    let limit = calm_p99.mul_f64(SLOWDOWN_LIMIT);
    let slowest = pressed.describe_slowest();
    assert!(p99 <= limit, "p99 {p99:?}, in calm {calm_p99:?}, {slowest}");
    let deadline = tokio::time::Instant::now() + RELEASE_LIMIT;
    while descriptor_count(id) > descriptors + KEPT_DESCRIPTORS {
        let left = descriptor_count(id);
        let is_late = tokio::time::Instant::now() >= deadline;
        assert!(!is_late, "{left} descriptors, {descriptors} before");
        tokio::time::sleep(time::Duration::from_millis(100)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_that_stop_just_short_of_their_end() {
    withstand("callers-large", 240, &[CrowdKind::LargeBodies]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn bodies_far_over_the_limit() {
    withstand("callers-long", 241, &[CrowdKind::LongBodies]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_of_very_many_short_fields() {
    withstand("callers-fields", 242, &[CrowdKind::ManyFields]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn requests_sent_ahead_without_reading_the_answers() {
    withstand("callers-ahead", 243, &[CrowdKind::SentAhead]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_send_very_slowly() {
    withstand("callers-senders", 244, &[CrowdKind::SlowSenders]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn callers_that_read_very_slowly() {
    withstand("callers-readers", 245, &[CrowdKind::SlowReaders]).await;
}

#[tokio::test(flavor = "multi_thread")]
async fn crowds_of_all_kinds_together() {
    let kinds = [
        CrowdKind::LargeBodies,
        CrowdKind::LongBodies,
        CrowdKind::ManyFields,
        CrowdKind::SentAhead,
        CrowdKind::SlowSenders,
        CrowdKind::SlowReaders,
    ];
    withstand("callers-all", 246, &kinds).await;
}
