//! Case: half of the runners send bytes without end.

use std::io::{BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::Verdict;
use crate::fleet::Fleet;
use crate::http;
use crate::model::{ModelRunner, TakenRequests};
use crate::record::Record;
use crate::store::Store;

const HOST: &str = "ficu95.example";

/// Memory that a process may use: `memory_mb` of sites/novia-lima.toml.
const MEMORY_MB: u64 = 260;

/// Requests for each node and second; novia-lima has 81 streams a second at 7 nodes.
const REQUESTS_PER_SECOND: u32 = 12;

/// Time between two requests of one client.
const CLIENT_PERIOD: Duration = Duration::from_secs(6);

/// Time budget of the streams of novia-lima.
const BUDGET: Duration = Duration::from_secs(20);

/// Time of calm traffic before the runner turns faulty.
const CALM: Duration = Duration::from_secs(7);

/// Time of traffic after that.
const TROUBLE: Duration = Duration::from_secs(55);

/// Runners that turn faulty, of four; `garble` of novia-lima has a share of 0.6.
const FAULTY: usize = 2;

/// The rule: on two machines at least, processes end by themselves three times.
const MACHINES: usize = 2;
const ENDS_PER_MACHINE: u32 = 3;

fn document() -> String {
    format!(
        "{{\"version\":10,\"routes\":[{{\"name\":\"advice\",\"hostname\":\"{HOST}\",\
         \"prefix\":\"/advice/\",\"type\":\"streaming\",\"timeoutMs\":20000,\"goalMs\":500,\
         \"gapAimMs\":200,\"priority\":1,\"service\":\"asistente-llm\",\"maxAttempts\":2,\
         \"sessionAffinity\":true,\"resumable\":true}}],\
         \"services\":[{{\"name\":\"asistente-llm\",\"maxConns\":968,\"engine\":{{\"slots\":192,\
         \"kvCapacity\":100000,\"kvTokenBytes\":918000,\"stride\":3,\"step_ms\":1.02,\
         \"per_seq_ms\":0.007,\"context_per_k\":0.01,\"read_per_s\":105000,\"usual\":\
         {{\"prompt\":100,\"answer\":60}},\"models\":[{{\"name\":\"m0\",\"loadS\":14}}]}}}}],\
         \"tenants\":[{{\"name\":\"casa-a\",\"apiKeys\":[\"key-a\"]}}]}}"
    )
}

/// What a client saw of one request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Seen {
    Whole(u16),
    /// The channel ended within the answer.
    Cut,
    /// The channel ended without an answer.
    Nothing,
    NotConnected,
    TimedOut,
}

struct Answer {
    request: String,
    node: usize,
    kept: bool,
    seen: Seen,
}

#[derive(Clone)]
struct Clients {
    record: Record,
    answers: Arc<Mutex<Vec<Answer>>>,
    is_over: Arc<AtomicBool>,
    number: Arc<AtomicU64>,
}

impl Clients {
    /// Sends requests on one channel, one after the other, and opens another channel when
    /// it has ended.
    fn run(&self, node: usize, to: SocketAddr, period: Duration, delay: Duration) {
        thread::sleep(delay);
        let mut channel: Option<BufReader<TcpStream>> = None;
        let mut next = Instant::now();
        while !self.is_over.load(Ordering::SeqCst) {
            thread::sleep(next.saturating_duration_since(Instant::now()));
            next = (next + period).max(Instant::now());
            let number = self.number.fetch_add(1, Ordering::SeqCst);
            let request = format!("{:016x}", 0x5e1f_0000_0000_0000_u64 + number);
            let kept = channel.is_some();
            self.record
                .note(format!("sent      {request} to node {node} kept={kept}"));
            let (seen, rest) = exchange(channel.take(), to, &request);
            channel = rest;
            self.record.note(format!("answered  {request} {seen:?}"));
            self.answers.lock().unwrap().push(Answer {
                request,
                node,
                kept,
                seen,
            });
        }
    }
}

/// Sends one request on a channel; returns the channel if it can be used again.
fn exchange(
    channel: Option<BufReader<TcpStream>>,
    to: SocketAddr,
    request: &str,
) -> (Seen, Option<BufReader<TcpStream>>) {
    let opened = channel.or_else(|| {
        let stream = TcpStream::connect_timeout(&to, Duration::from_secs(1)).ok()?;
        let _ = stream.set_nodelay(true);
        let _ = stream.set_read_timeout(Some(BUDGET));
        Some(BufReader::new(stream))
    });
    let Some(mut reader) = opened else {
        return (Seen::NotConnected, None);
    };
    let text = format!(
        "POST /advice/1 HTTP/1.1\r\nHost: {HOST}\r\nRequest-Id: {request}\r\n\
         Deadline-Ms: {}\r\nModel: m0\r\nToken-Count: 100,60\r\n\
         Authorization: Bearer key-a\r\nContent-Length: 5\r\n\r\nhello",
        BUDGET.as_millis()
    );
    let seen_without_head = |error: std::io::Error| match error.kind() {
        std::io::ErrorKind::WouldBlock | std::io::ErrorKind::TimedOut => Seen::TimedOut,
        _ => Seen::Nothing,
    };
    if let Err(error) = reader.get_mut().write_all(text.as_bytes()) {
        return (seen_without_head(error), None);
    }
    let mut answer = match http::read_head(&mut reader) {
        Ok(Some(answer)) => answer,
        Ok(None) => return (Seen::Nothing, None),
        Err(error) => return (seen_without_head(error), None),
    };
    let read = http::read_body(&mut reader, &mut answer, true);
    if read.is_err() {
        return (Seen::Cut, None);
    }
    let is_closing = answer
        .field("connection")
        .is_some_and(|value| value == "close");
    (
        Seen::Whole(answer.status()),
        (!is_closing).then_some(reader),
    )
}

/// Resident memory of a process in MB, as the platform sees it.
fn resident_mb(process: u32) -> u64 {
    let status = std::fs::read_to_string(format!("/proc/{process}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kilobytes = line.and_then(|line| line.trim().split(' ').next()?.parse::<u64>().ok());
    kilobytes.unwrap_or(0) / 1024
}

/// Runs the case.
pub fn run(record: &Record, trouble: bool) -> std::io::Result<Verdict> {
    let (store, address) = Store::start()?;
    let taken = TakenRequests::default();
    let mut runners = Vec::new();
    for (id, zone) in [
        ("i-10d774269a", "peru-central-a"),
        ("i-10d774269b", "peru-central-b"),
        ("i-10d774269c", "peru-central-c"),
        ("i-10d774269d", "peru-central-c"),
    ] {
        runners.push(ModelRunner::start(id, zone, &store, record, &taken)?);
    }
    store.put("op", "config", Some(&document()));
    let zones = ["peru-central-a", "peru-central-b", "peru-central-c"];
    let mut fleet = Fleet::start(&zones, address)?;
    if !fleet.wait_ready() {
        return Ok(Verdict::NotRun("the nodes did not become ready".to_owned()));
    }
    let clients = Clients {
        record: record.clone(),
        answers: Arc::default(),
        is_over: Arc::default(),
        number: Arc::default(),
    };
    // Each client sends at most one request at a time and one in six seconds.
    let per_node = CLIENT_PERIOD.as_secs() as u32 * REQUESTS_PER_SECOND;
    let period = CLIENT_PERIOD;
    let mut threads = Vec::new();
    for (node, callers) in fleet.nodes.iter().map(|node| node.callers).enumerate() {
        for client in 0..per_node {
            let clients = clients.clone();
            let delay = period.mul_f64(f64::from(client) / f64::from(per_node));
            threads.push(thread::spawn(move || {
                clients.run(node, callers, period, delay)
            }));
        }
    }
    thread::sleep(CALM);
    if trouble {
        record.note(format!(
            "trouble   two of four runners send bytes without end from now on"
        ));
        let faulty = runners.iter().take(FAULTY);
        faulty.for_each(|runner| runner.turn_faulty());
    }
    let end = Instant::now() + TROUBLE;
    let mut peaks = [0; 3];
    let mut ends = [0; 3];
    let mut reported = Instant::now();
    while Instant::now() < end {
        thread::sleep(Duration::from_millis(100));
        for (index, node) in fleet.nodes.iter_mut().enumerate() {
            let used = resident_mb(node.process());
            peaks[index] = peaks[index].max(used);
            // The platform kills a process that exceeds its memory and starts it again.
            if used > MEMORY_MB {
                record.note(format!(
                    "killed    {} with {used} MB, over {MEMORY_MB}",
                    node.name
                ));
                node.kill();
                node.start()?;
                ends[index] += 1;
            } else if node.has_ended() {
                record.note(format!("ended     {} by itself", node.name));
                node.kill();
                node.start()?;
                ends[index] += 1;
            }
        }
        if reported.elapsed() >= Duration::from_secs(2) {
            reported = Instant::now();
            let used: Vec<_> = fleet
                .nodes
                .iter()
                .map(|node| resident_mb(node.process()))
                .collect();
            record.note(format!("memory    {used:?} MB"));
        }
    }
    clients.is_over.store(true, Ordering::SeqCst);
    for client in threads {
        let _ = client.join();
    }
    let answers = clients.answers.lock().unwrap();
    let taken = taken.lock().unwrap();
    let is_sound = |answer: &Answer| taken.iter().any(|taken| taken.request == answer.request);
    for answer in answers.iter() {
        let is_lost = matches!(answer.seen, Seen::Nothing | Seen::Cut);
        if is_lost && is_sound(answer) {
            let Answer {
                request,
                node,
                kept,
                seen,
            } = answer;
            record.note(format!("cut off   {request} at node {node} kept={kept} {seen:?}, passed on to a sound runner"));
        }
    }
    let count = |wanted: fn(&Seen) -> bool| answers.iter().filter(|a| wanted(&a.seen)).count();
    let machines = ends
        .iter()
        .filter(|ends| **ends >= ENDS_PER_MACHINE)
        .count();
    let summary = format!(
        "processes over their memory: {ends:?} times at the three machines, peaks {peaks:?} MB; \
         of {} requests {} served, {} without an answer, {} cut off in it, {} not connected",
        answers.len(),
        count(|seen| *seen == Seen::Whole(200)),
        count(|seen| matches!(seen, Seen::Nothing | Seen::TimedOut)),
        count(|seen| *seen == Seen::Cut),
        count(|seen| *seen == Seen::NotConnected),
    );
    record.note(format!("verdict   {summary}"));
    Ok(match machines >= MACHINES {
        true => Verdict::Broken(summary),
        false => Verdict::Held(summary),
    })
}
