//! Answers whose runner falls silent after their last byte, or before it.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold_platform::head;
use futures_util::future;
use gateway_script::{LAST_CHUNK, TestRunners, answer, call, chunk, events, read_head, start_node};
use tokio::io::AsyncWriteExt;
use tokio::time;

const FRAMINGS: [head::BodyFraming; 3] = [
    head::BodyFraming::Length,
    head::BodyFraming::Chunks,
    head::BodyFraming::Connection,
];

/// Events of a whole stream.
const LAST_EVENT: u64 = 3;

/// Silence of a run between its last byte and its end.
const SILENCES: [std_time::Duration; 2] = [ms(400), ms(1_200)];

/// Shortest silence after which a node may take a run for silent.
const SHORTEST_SILENCE: std_time::Duration = ms(100);

const fn ms(milliseconds: u64) -> std_time::Duration {
    std_time::Duration::from_millis(milliseconds)
}

/// How the connection of a run ends.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum RunEnd {
    Closed,
    Reset,
}

/// What a runner does with one request.
#[derive(Clone, Debug)]
struct RunScript {
    /// Parts of the answer, each sent after a pause.
    parts: Vec<(std_time::Duration, String)>,
    end: RunEnd,
}

impl RunScript {
    fn new(parts: &[(std_time::Duration, &str)]) -> Self {
        let parts = parts
            .iter()
            .map(|(pause, part)| (*pause, (*part).to_owned()));
        Self {
            parts: parts.collect(),
            end: RunEnd::Closed,
        }
    }

    fn sent(bytes: &str) -> Self {
        Self::new(&[(std_time::Duration::ZERO, bytes)])
    }

    fn silent() -> Self {
        Self::new(&[(ms(10_000), "")])
    }

    fn reset(self) -> Self {
        Self {
            end: RunEnd::Reset,
            ..self
        }
    }
}

/// What a second run does meanwhile.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum SecondRun {
    /// It answers with a stream without events.
    Empty,
    /// It sends the last event again and ends.
    Repeating,
    /// It answers with this status.
    Refused(u16),
    /// It closes its connection without an answer.
    Unanswered,
    /// Its stream without events is reset.
    Broken,
    /// It does not answer.
    Silent,
}

const SECOND_RUNS: [SecondRun; 8] = [
    SecondRun::Empty,
    SecondRun::Repeating,
    SecondRun::Refused(404),
    SecondRun::Refused(421),
    SecondRun::Refused(500),
    SecondRun::Unanswered,
    SecondRun::Broken,
    SecondRun::Silent,
];

impl SecondRun {
    fn script(self, framing: head::BodyFraming) -> RunScript {
        match self {
            Self::Empty => RunScript::sent(&framed(framing, "").concat()),
            Self::Repeating => {
                RunScript::sent(&framed(framing, &events(LAST_EVENT..=LAST_EVENT)).concat())
            }
            Self::Refused(status) => RunScript::sent(&answer(status, "refused")),
            Self::Unanswered => RunScript::new(&[]),
            // A stated end would end the stream before the reset.
            Self::Broken => {
                RunScript::sent(&framed(head::BodyFraming::Connection, "").concat()).reset()
            }
            Self::Silent => RunScript::silent(),
        }
    }

    /// Returns whether it may end the stream before the first run does.
    fn ends_stream(self) -> bool {
        matches!(self, Self::Empty | Self::Repeating)
    }
}

/// Returns the head, the body and what states its end, as they are on the wire.
fn framed(framing: head::BodyFraming, body: &str) -> [String; 3] {
    let head = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n";
    let none = String::new;
    match framing {
        head::BodyFraming::Length => {
            let length = body.len();
            let head = format!("{head}Content-Length: {length}\r\n\r\n");
            [head, body.to_owned(), none()]
        }
        head::BodyFraming::Chunks => {
            let head = format!("{head}Transfer-Encoding: chunked\r\n\r\n");
            let chunk = match body.is_empty() {
                true => none(),
                false => chunk(body),
            };
            [head, chunk, LAST_CHUNK.to_owned()]
        }
        head::BodyFraming::Connection => [format!("{head}\r\n"), body.to_owned(), none()],
    }
}

/// Returns a run that sends a whole body, is silent and then ends in order.
fn late_end(framing: head::BodyFraming, body: &str, silence: std_time::Duration) -> RunScript {
    let [head, body, end] = framed(framing, body);
    let sent = format!("{head}{body}");
    RunScript::new(&[(std_time::Duration::ZERO, &sent), (silence, &end)])
}

/// Runners, and the heads of the requests that they got.
struct ScriptRunners {
    runners: TestRunners,
    heads: sync::Arc<sync::Mutex<Vec<String>>>,
}

/// Starts runners; the run that begins as number `n` at any of them follows
/// `scripts[n]`, later ones are not answered.
async fn start_scripts(count: usize, scripts: Vec<RunScript>) -> ScriptRunners {
    let scripts = sync::Arc::new(scripts);
    let heads = sync::Arc::new(sync::Mutex::new(Vec::new()));
    let kept = sync::Arc::clone(&heads);
    let runners = gateway_script::start_playing(count, move |mut socket, counts| {
        let (scripts, heads) = (sync::Arc::clone(&scripts), sync::Arc::clone(&kept));
        async move {
            let head = read_head(&mut socket).await?;
            if head.starts_with("GET /v1/report") {
                let report = answer(404, "no report");
                return socket.write_all(report.as_bytes()).await.ok();
            }
            let number = counts.runs.fetch_add(1, atomic::Ordering::SeqCst);
            heads.lock().unwrap().push(head);
            let script = scripts.get(number)?;
            for (pause, part) in &script.parts {
                time::sleep(*pause).await;
                socket.write_all(part.as_bytes()).await.ok()?;
            }
            if script.end == RunEnd::Reset {
                socket.set_zero_linger().ok()?;
            }
            Some(())
        }
    });
    ScriptRunners {
        runners: runners.await,
        heads,
    }
}

/// An answer as its caller got it.
struct CalledAnswer {
    text: String,
    took: std_time::Duration,
    /// Heads of the requests that the runners got.
    heads: Vec<String>,
}

/// Calls a new node in front of new runners.
async fn call_scripts(count: usize, path: &str, scripts: Vec<RunScript>) -> CalledAnswer {
    let started = start_scripts(count, scripts).await;
    let (core, node) = start_node(&started.runners).await;
    gateway_script::grant_retries(&core);
    let began_at = time::Instant::now();
    let text = call(node, path).await;
    let took = began_at.elapsed();
    let heads = started.heads.lock().unwrap().clone();
    CalledAnswer { text, took, heads }
}

/// Returns the body of a complete answer with status 200, `None` if it does not look
/// whole.
fn whole_body(answer: &str) -> Option<String> {
    let (head, body) = answer.split_once("\r\n\r\n")?;
    if !head.starts_with("HTTP/1.1 200") {
        return None;
    }
    let mut fields = head.lines().filter_map(|line| line.split_once(": "));
    let length = fields.find(|(name, _)| name.eq_ignore_ascii_case("content-length"));
    if let Some((_, length)) = length {
        return (body.len() == length.parse::<usize>().ok()?).then(|| body.to_owned());
    }
    let mut rest = body;
    let mut whole = String::new();
    loop {
        let (length, after) = rest.split_once("\r\n")?;
        let length = usize::from_str_radix(length, 16).ok()?;
        if length == 0 {
            return (after == "\r\n").then_some(whole);
        }
        whole.push_str(after.get(..length)?);
        rest = after.get(length + 2..)?;
    }
}

/// Returns the numbers of the events that came, whole or not.
fn numbers(answer: &str) -> Vec<u64> {
    let lines = answer.lines();
    let numbers = lines.filter_map(|line| line.strip_prefix("id: ")?.parse().ok());
    numbers.collect()
}

async fn check_late_end(framing: head::BodyFraming, silence: std_time::Duration, run: SecondRun) {
    let name = format!("{framing} {silence:?} {run:?}");
    let whole = events(1..=LAST_EVENT);
    let scripts = vec![late_end(framing, &whole, silence), run.script(framing)];
    let called = call_scripts(2, "/s/x", scripts).await;
    let text = &called.text;
    assert_eq!(whole_body(text).as_deref(), Some(&*whole), "{name}: {text}");
    if framing == head::BodyFraming::Length {
        assert_eq!(called.heads.len(), 1, "{name}");
        return;
    }
    assert_eq!(called.heads.len(), 2, "{name}");
    let second = called.heads[1].to_ascii_lowercase();
    let resumed = format!("last-event-id: {LAST_EVENT}\r\n");
    assert!(second.contains(&resumed), "{name}: {second}");
    let earliest = match run.ends_stream() {
        true => SHORTEST_SILENCE,
        false => silence,
    };
    assert!(called.took >= earliest, "{name}: {:?}", called.took);
}

/// Guards against a stream that has come to its last event and breaks off, ends before
/// its runner did or repeats events, because its end comes after a silence.
#[tokio::test]
async fn stream_whose_end_comes_after_a_silence_is_whole() {
    for silence in SILENCES {
        for framing in FRAMINGS {
            let checks = SECOND_RUNS.map(|run| check_late_end(framing, silence, run));
            future::join_all(checks).await;
        }
    }
}

/// Guards against a stream that is cut, or whose last event comes twice, because its last
/// byte comes after a silence, and with it all that a length promised.
#[tokio::test]
async fn stream_whose_last_byte_comes_after_a_silence_is_whole() {
    let whole = events(1..=LAST_EVENT);
    let runs = SECOND_RUNS.iter().filter(|run| **run != SecondRun::Empty);
    for silence in SILENCES {
        let checks = FRAMINGS.iter().flat_map(|framing| {
            let whole = whole.as_str();
            runs.clone().map(move |run| async move {
                let name = format!("{framing} {silence:?} {run:?}");
                let [head, body, end] = framed(*framing, whole);
                // The end of a chunk follows the last byte of the last event.
                let held_back = match framing {
                    head::BodyFraming::Chunks => 3,
                    head::BodyFraming::Length | head::BodyFraming::Connection => 1,
                };
                let (sent, rest) = body.split_at(body.len() - held_back);
                let (sent, rest) = (format!("{head}{sent}"), format!("{rest}{end}"));
                let parts = [(std_time::Duration::ZERO, &*sent), (silence, &*rest)];
                let scripts = vec![RunScript::new(&parts), run.script(*framing)];
                let called = call_scripts(2, "/s/x", scripts).await;
                let text = &called.text;
                assert_eq!(whole_body(text).as_deref(), Some(whole), "{name}: {text}");
                assert_eq!(called.heads.len(), 2, "{name}");
                let second = called.heads[1].to_ascii_lowercase();
                let resumed = format!("last-event-id: {}\r\n", LAST_EVENT - 1);
                assert!(second.contains(&resumed), "{name}: {second}");
            })
        });
        future::join_all(checks).await;
    }
}

/// Guards against a stream that breaks off or ends early in a silence before its end, where
/// no second run can begin.
#[tokio::test]
async fn stream_of_the_only_runner_outlasts_a_silence_before_its_end() {
    let whole = events(1..=LAST_EVENT);
    for silence in SILENCES {
        for framing in FRAMINGS {
            let name = format!("{framing} {silence:?}");
            let scripts = vec![late_end(framing, &whole, silence)];
            let called = call_scripts(1, "/s/x", scripts).await;
            let text = &called.text;
            assert_eq!(whole_body(text).as_deref(), Some(&*whole), "{name}: {text}");
            assert_eq!(called.heads.len(), 1, "{name}");
            let is_stated = framing == head::BodyFraming::Length;
            assert!(is_stated || called.took >= silence, "{name}");
        }
    }
}

/// Guards against a plain answer that is cut, ended early or repeated, because the end of
/// its body comes after a silence.
#[tokio::test]
async fn plain_answer_whose_end_comes_after_a_silence_is_whole() {
    for silence in SILENCES {
        for framing in FRAMINGS {
            let checks = ["/p/x", "/once/x"].map(|path| async move {
                let name = format!("{path} {framing} {silence:?}");
                let other = RunScript::sent(&answer(500, "failed"));
                let scripts = vec![late_end(framing, "sound", silence), other];
                let called = call_scripts(2, path, scripts).await;
                let text = &called.text;
                assert_eq!(whole_body(text).as_deref(), Some("sound"), "{name}: {text}");
                assert!(path == "/p/x" || called.heads.len() == 1, "{name}");
                let is_stated = framing == head::BodyFraming::Length;
                assert!(is_stated || called.took >= silence, "{name}");
            });
            future::join_all(checks).await;
        }
    }
}

/// Returns a run that is silent after some events of a stream without a length, and is
/// then reset.
fn reset_after(last: u64, silence: std_time::Duration) -> RunScript {
    let sent = framed(head::BodyFraming::Connection, &events(1..=last)).concat();
    RunScript::new(&[(std_time::Duration::ZERO, &sent), (silence, "")]).reset()
}

/// Guards against a stream that looks whole though its runner was reset after a silence,
/// and no other run has gone on.
#[tokio::test]
async fn stream_that_is_reset_after_a_silence_does_not_look_whole() {
    let partial = framed(head::BodyFraming::Connection, &events(3..=3)).concat();
    let others = [
        None,
        Some(RunScript::silent()),
        Some(RunScript::sent(&answer(404, "no such stream"))),
        Some(RunScript::sent(&answer(500, "failed"))),
        Some(RunScript::new(&[])),
        Some(RunScript::sent(&partial).reset()),
    ];
    for silence in SILENCES {
        let checks = others.iter().map(|other| async move {
            let name = format!("{silence:?} {other:?}");
            let runners = 1 + usize::from(other.is_some());
            let first = reset_after(2, silence);
            let scripts = [first].into_iter().chain(other.clone()).collect();
            let called = call_scripts(runners, "/s/x", scripts).await;
            assert_eq!(whole_body(&called.text), None, "{name}: {}", called.text);
            let numbers = numbers(&called.text);
            let expected: Vec<_> = (1..).take(numbers.len()).collect();
            assert_eq!(numbers, expected, "{name}");
            assert!(numbers.len() >= 2, "{name}: {}", called.text);
        });
        future::join_all(checks).await;
    }
}

/// Guards against a stream that is lost with its silent runner though another run goes
/// on, before or after the reset, and against events that come twice.
#[tokio::test]
async fn stream_that_is_reset_after_a_silence_goes_on_elsewhere() {
    let whole = events(1..=4);
    for silence in SILENCES {
        let checks = FRAMINGS.iter().flat_map(|framing| {
            [ms(0), ms(silence.as_millis() as u64 + 200)].map(|pause| {
                let whole = whole.as_str();
                async move {
                    let name = format!("{silence:?} {framing} {pause:?}");
                    let sent = framed(*framing, &events(3..=4)).concat();
                    let other = RunScript::new(&[(pause, &sent)]);
                    let scripts = vec![reset_after(2, silence), other];
                    let called = call_scripts(2, "/s/x", scripts).await;
                    let text = &called.text;
                    assert_eq!(whole_body(text).as_deref(), Some(whole), "{name}: {text}");
                    assert_eq!(called.heads.len(), 2, "{name}");
                }
            })
        });
        future::join_all(checks).await;
    }
}
