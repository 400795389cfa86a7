//! Connections to runners through another node, over real sockets.

#![allow(clippy::unwrap_used)]

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::dial::RunnerDialer;
use arbutusfold::gateway::runner_call;
use arbutusfold::gateway::{dial, direct, fleet, metrics, mirror, race, relay, relay_server};
use arbutusfold::{event, member, peer};
use arbutusfold_platform::{link, store};
use bytes::Bytes;
use http_body_util::Full;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use tokio::time;

/// Limit for opening a connection; long, since the tests share their cores.
const LIMIT: std_time::Duration = std_time::Duration::from_secs(2);

const KEY: [u8; 32] = [7; 32];

/// How a node's direct way to runners behaves.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutKind {
    None,
    /// Connections are refused.
    Refuse,
    /// Connections get no answer.
    Hang,
    /// Connections are opened late.
    Delay(u64),
    /// Connections are opened and stay silent.
    Silent,
    /// Connections are opened and end at once.
    Reset,
}

/// The direct way of one node, which a test can cut.
struct CutOpener {
    kind: sync::Mutex<CutKind>,
    attempts: atomic::AtomicU32,
}

impl CutOpener {
    fn set(&self, kind: CutKind) {
        *self.kind.lock().unwrap() = kind;
    }

    fn attempts(&self) -> u32 {
        self.attempts.load(atomic::Ordering::Relaxed)
    }
}

#[async_trait::async_trait]
impl direct::SocketOpener for CutOpener {
    async fn connect(&self, address: net::SocketAddr) -> io::Result<Box<dyn dial::RunnerBytes>> {
        self.attempts.fetch_add(1, atomic::Ordering::Relaxed);
        let kind = *self.kind.lock().unwrap();
        match kind {
            CutKind::None => {}
            CutKind::Refuse => return Err(io::ErrorKind::ConnectionRefused.into()),
            CutKind::Hang => std::future::pending().await,
            CutKind::Delay(delay_ms) => {
                time::sleep(std_time::Duration::from_millis(delay_ms)).await;
            }
            CutKind::Silent | CutKind::Reset => {
                let (bytes, other) = tokio::io::duplex(1 << 16);
                if kind == CutKind::Silent {
                    tokio::spawn(async move {
                        let _other = other;
                        time::sleep(LIMIT).await;
                    });
                }
                return Ok(Box::new(bytes));
            }
        }
        direct::TcpOpener::default().connect(address).await
    }
}

/// A node with its transport and its ways to runners.
struct TestNode {
    name: String,
    context: dial::DialContext,
    opener: sync::Arc<CutOpener>,
    dialer: sync::Arc<race::RaceDialer>,
    server: relay_server::RelayServer,
    transport: Option<peer::TcpTransport>,
}

impl TestNode {
    fn start(name: &str, key: [u8; 32]) -> Self {
        let address = free_address();
        Self::start_behind(name, key, address, address)
    }

    /// Starts a node that listens on `listening` and is reached at `address`.
    fn start_behind(
        name: &str,
        key: [u8; 32],
        address: net::SocketAddr,
        listening: net::SocketAddr,
    ) -> Self {
        let signer = peer::MessageSigner::new(vec![key]);
        let members = sync::Arc::new(member::MemberView::default());
        let post = peer::PeerEndpoint::new(
            name.to_owned(),
            address,
            1,
            signer.clone(),
            sync::Arc::clone(&members),
        );
        let context = dial::DialContext {
            host: name.to_owned(),
            address,
            signer,
            members,
            post: sync::Arc::new(post),
            fleet: sync::Arc::default(),
            recorder: sync::Arc::new(event::EventRecorder::silent()),
            metrics: metrics::TunnelMetrics::default(),
        };
        let opener = sync::Arc::new(CutOpener {
            kind: sync::Mutex::new(CutKind::None),
            attempts: atomic::AtomicU32::new(0),
        });
        let direct = sync::Arc::new(direct::DirectDialer::new(
            context.clone(),
            sync::Arc::clone(&opener) as sync::Arc<dyn direct::SocketOpener>,
        ));
        let relay = sync::Arc::new(relay::RelayDialer::new(context.clone()));
        let direct_only = race::RaceDialer::new(sync::Arc::clone(&direct), None);
        let server = relay_server::RelayServer::new(
            context.clone(),
            sync::Arc::clone(&direct),
            sync::Arc::new(direct_only),
        );
        let monitor = peer::TransportMonitor {
            recorder: sync::Arc::clone(&context.recorder),
            metrics: peer::TransportMetrics::default(),
        };
        let (transport, _) = peer::TcpTransport::open(listening, monitor).unwrap();
        transport.accept_tunnels(sync::Arc::new(server.clone()));
        Self {
            name: name.to_owned(),
            context,
            opener,
            dialer: sync::Arc::new(race::RaceDialer::new(direct, Some(relay))),
            server,
            transport: Some(transport),
        }
    }

    fn record(&self) -> member::MemberRecord {
        member::MemberRecord {
            name: self.name.clone(),
            incarnation: 1,
            revision: 1,
            region: "r".to_owned(),
            domain: "d".to_owned(),
            callers: self.context.address,
            peers: self.context.address,
            version: 0,
            phase: member::MemberPhase::Serving,
        }
    }

    /// Makes known runners, `i-0` at the first address.
    fn learn(&self, runners: &[net::SocketAddr]) {
        let mut known = self.context.fleet.lock().unwrap();
        *known = fleet::RunnerFleet::default();
        for (index, address) in runners.iter().enumerate() {
            let value = format!(
                r#"{{"service":"s","address":"{address}","zone":"d-1","slots":4,
                "state":"ready","born":1,"models":[]}}"#
            );
            let row = mirror::MirrorRow {
                key: format!("i-{index}"),
                version: store::RowVersion::new(0, 1),
                value: Some(Bytes::from(value)),
            };
            known.update(&row, None).unwrap();
        }
    }

    async fn open(
        &self,
        address: net::SocketAddr,
    ) -> Result<dial::RunnerConnection, dial::DialError> {
        self.dialer.open(address, LIMIT).await
    }

    fn events(&self, subject: &str) -> Vec<&'static str> {
        let events = self.context.recorder.about(subject);
        events.iter().map(|event| event.name).collect()
    }
}

/// Starts nodes that know of each other and of these runners; the first one is cut
/// off from all runners.
fn start(names: &[&str], runners: &[net::SocketAddr]) -> Vec<TestNode> {
    let nodes: Vec<_> = names
        .iter()
        .map(|name| TestNode::start(name, KEY))
        .collect();
    let records: Vec<_> = nodes.iter().map(TestNode::record).collect();
    for node in &nodes {
        let others = member::RemoteRegions::default();
        node.context.members.publish(records.clone(), others);
        node.learn(runners);
    }
    nodes[0].opener.set(CutKind::Refuse);
    nodes
}

fn free_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

async fn listen() -> (tokio_net::TcpListener, net::SocketAddr) {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// Starts a runner that returns every byte.
async fn start_echo() -> net::SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        loop {
            let (stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let (mut reader, mut writer) = stream.into_split();
                let _ = tokio::io::copy(&mut reader, &mut writer).await;
            });
        }
    });
    address
}

/// Returns the error that a connection ends with, or its remaining bytes.
async fn read_rest(connection: &mut dial::RunnerConnection) -> io::Result<Vec<u8>> {
    let mut rest = Vec::new();
    let read = connection.bytes.read_to_end(&mut rest);
    time::timeout(std_time::Duration::from_secs(10), read)
        .await
        .expect("the connection ends")?;
    Ok(rest)
}

#[tokio::test(flavor = "multi_thread")]
async fn bytes_pass_unchanged_in_both_directions() {
    let runner = start_echo().await;
    let nodes = start(&["a", "b"], &[runner]);
    let connection = nodes[0].open(runner).await.unwrap();
    assert_eq!(connection.via.as_deref(), Some("b"));
    let (mut reader, mut writer) = tokio::io::split(connection.bytes);
    let sent: Vec<u8> = (0..4 << 20_u32).map(|index| (index * 31) as u8).collect();
    let expected = sent.clone();
    let writing = tokio::spawn(async move {
        for part in sent.chunks(70_001) {
            writer.write_all(part).await.unwrap();
        }
        writer.shutdown().await.unwrap();
        writer
    });
    let mut received = Vec::new();
    reader.read_to_end(&mut received).await.unwrap();
    assert!(received == expected);
    drop(writing.await.unwrap());
}

#[tokio::test(flavor = "multi_thread")]
async fn slow_stream_passes_as_it_comes() {
    let (listener, runner) = listen().await;
    tokio::spawn(async move {
        let (mut stream, _) = listener.accept().await.unwrap();
        for number in 0..8_u8 {
            stream.write_all(&[number]).await.unwrap();
            // The next byte follows only after this one came back.
            assert_eq!(stream.read_u8().await.unwrap(), number);
        }
        time::sleep(std_time::Duration::from_secs(4)).await;
        stream.write_all(b"late").await.unwrap();
    });
    let nodes = start(&["a", "b"], &[runner]);
    let mut connection = nodes[0].open(runner).await.unwrap();
    for number in 0..8_u8 {
        assert_eq!(connection.bytes.read_u8().await.unwrap(), number);
        connection.bytes.write_all(&[number]).await.unwrap();
    }
    assert_eq!(read_rest(&mut connection).await.unwrap(), b"late");
}

#[tokio::test(flavor = "multi_thread")]
async fn end_and_reset_of_the_runner_are_told_from_the_loss_of_the_way() {
    let (listener, runner) = listen().await;
    let nodes = start(&["a", "b"], &[runner]);
    // The runner closes.
    let mut closed = nodes[0].open(runner).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.write_all(b"whole").await.unwrap();
    drop(stream);
    assert_eq!(read_rest(&mut closed).await.unwrap(), b"whole");
    // The runner resets.
    let mut reset = nodes[0].open(runner).await.unwrap();
    let (stream, _) = listener.accept().await.unwrap();
    let linger = Some(std_time::Duration::ZERO);
    socket2::SockRef::from(&stream).set_linger(linger).unwrap();
    drop(stream);
    let error = read_rest(&mut reset).await.unwrap_err();
    assert_eq!(error.kind(), io::ErrorKind::ConnectionReset);
    assert!(!link::is_way_lost(&error));
    // The node in between ends.
    drop((closed, reset));
    let mut lost = nodes[0].open(runner).await.unwrap();
    let (_stream, _) = listener.accept().await.unwrap();
    let mut nodes = nodes;
    nodes[1].transport.take();
    let error = read_rest(&mut lost).await.unwrap_err();
    assert!(link::is_way_lost(&error), "{error}");
    assert_eq!(nodes[0].events("b"), ["TunnelLost"]);
    assert_eq!(nodes[0].context.metrics.lost.get(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn call_over_a_lost_way_says_so() {
    let (listener, runner) = listen().await;
    let mut nodes = start(&["a", "b"], &[runner]);
    let request = || {
        let request = http::Request::get("/").header("Host", "runner");
        request.body(Full::<Bytes>::default()).unwrap()
    };
    // Before the head of the answer.
    let dialer = &*nodes[0].dialer;
    let mut dialed = dial::open_link(dialer, runner, LIMIT).await.unwrap();
    let call = tokio::spawn(async move { dialed.link.send(request()).await.map(drop) });
    let (mut stream, _) = listener.accept().await.unwrap();
    let _ = stream.read(&mut [0; 4_096]).await.unwrap();
    let mut dialed = dial::open_link(dialer, runner, LIMIT).await.unwrap();
    let answer = tokio::spawn(async move {
        let response = dialed.link.send(request()).await.unwrap();
        link::read_body(response.into_body(), 1 << 20).await
    });
    // Within the body.
    let (mut other, _) = listener.accept().await.unwrap();
    let _ = other.read(&mut [0; 4_096]).await.unwrap();
    let head = b"HTTP/1.1 200 OK\r\nContent-Length: 10\r\n\r\nhalf";
    other.write_all(head).await.unwrap();
    time::sleep(std_time::Duration::from_millis(100)).await;
    nodes[1].transport.take();
    let error = call.await.unwrap().unwrap_err();
    assert!(error.is_way_lost(), "{error:?}");
    let error = answer.await.unwrap().unwrap_err();
    assert!(error.is_way_lost(), "{error:?}");
}

#[tokio::test(flavor = "multi_thread")]
async fn leaving_caller_closes_the_connection_of_the_runner_at_once() {
    let (listener, runner) = listen().await;
    let nodes = start(&["a", "b"], &[runner]);
    let mut connection = nodes[0].open(runner).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    stream.write_all(b"first").await.unwrap();
    connection.bytes.read_exact(&mut [0; 5]).await.unwrap();
    let left_at = time::Instant::now();
    drop(connection);
    let mut rest = Vec::new();
    let ended = time::timeout(LIMIT, stream.read_to_end(&mut rest));
    // The end, or a reset.
    let _ = ended.await.unwrap();
    assert!(left_at.elapsed() < std_time::Duration::from_millis(300));
    nodes[1].server.wait_idle().await;
    while nodes[0].context.metrics.open.get() > 0 {
        assert!(left_at.elapsed() < std_time::Duration::from_secs(5));
        time::sleep(std_time::Duration::from_millis(1)).await;
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn only_members_with_a_key_are_served_and_only_for_known_runners() {
    let runner = start_echo().await;
    let nodes = start(&["a", "b"], &[runner]);
    let records: Vec<_> = nodes.iter().map(TestNode::record).collect();
    let others = member::RemoteRegions::default;
    // A runner that the other node does not know.
    let unknown = start_echo().await;
    assert!(nodes[0].open(unknown).await.is_err());
    let refused = |cause: &str| {
        let labels = metrics::TunnelRefusalLabels {
            cause: cause.to_owned(),
        };
        nodes[1]
            .context
            .metrics
            .refused
            .get_or_create(&labels)
            .get()
    };
    assert_eq!(refused("unknown target"), 1);
    assert_eq!(nodes[1].events("a"), ["TunnelRefused"]);
    // A host that the other node does not know.
    let stranger = TestNode::start("c", KEY);
    stranger.context.members.publish(records.clone(), others());
    stranger.opener.set(CutKind::Refuse);
    assert!(stranger.open(runner).await.is_err());
    assert_eq!(refused("unknown member"), 1);
    // A host without the key.
    let forger = TestNode::start("a", [8; 32]);
    forger.context.members.publish(records, others());
    forger.opener.set(CutKind::Refuse);
    assert!(forger.open(runner).await.is_err());
    // A request to an earlier process.
    nodes[1].context.post.raise_incarnation(2);
    time::sleep(std_time::Duration::from_millis(1_050)).await;
    assert!(nodes[0].open(runner).await.is_err());
    assert_eq!(nodes[1].context.metrics.served.get(), 0);
    assert_eq!(nodes[1].opener.attempts(), 0);
}

#[tokio::test(flavor = "multi_thread")]
async fn node_that_is_cut_off_itself_passes_nothing_on() {
    let runner = start_echo().await;
    let nodes = start(&["a", "b"], &[runner]);
    let third = TestNode::start("c", KEY);
    // Node `b` knows the third node, node `a` does not.
    let mut records: Vec<_> = nodes.iter().map(TestNode::record).collect();
    records.push(third.record());
    third.learn(&[runner]);
    for node in [&nodes[1], &third] {
        let others = member::RemoteRegions::default();
        node.context.members.publish(records.clone(), others);
    }
    nodes[1].opener.set(CutKind::Refuse);
    let error = nodes[0].open(runner).await.unwrap_err();
    assert!(nodes[1].opener.attempts() > 0);
    assert_eq!(third.context.metrics.served.get(), 0, "{error}");
    // The node that is cut off asks the third one for its own connections.
    assert!(nodes[1].open(runner).await.is_ok());
    assert_eq!(third.context.metrics.served.get(), 1);
}

#[tokio::test(flavor = "multi_thread")]
async fn nodes_that_are_cut_off_as_well_are_passed_by() {
    let runner = start_echo().await;
    let names = ["a", "b", "c", "d", "e", "f", "g"];
    for kind in [CutKind::Refuse, CutKind::Hang] {
        let nodes = start(&names, &[runner]);
        nodes[..6].iter().for_each(|node| node.opener.set(kind));
        let mut vias = Vec::new();
        for _ in 0..6 {
            // Others are left out for longer than this.
            let limit = std_time::Duration::from_millis(600);
            let opened = nodes[0].dialer.open(runner, limit).await;
            vias.extend(opened.ok().and_then(|opened| opened.via));
        }
        assert!(vias.len() >= 4, "{kind:?} {vias:?}");
        assert!(vias.iter().all(|via| via == "g"), "{kind:?} {vias:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn runner_that_sends_without_end_is_held_back() {
    let (listener, runner) = listen().await;
    let nodes = start(&["a", "b"], &[runner]);
    let mut connection = nodes[0].open(runner).await.unwrap();
    let (mut stream, _) = listener.accept().await.unwrap();
    let sent = sync::Arc::new(atomic::AtomicUsize::new(0));
    let counter = sync::Arc::clone(&sent);
    let runner_task = tokio::spawn(async move {
        let block = vec![5; 64 << 10];
        while stream.write_all(&block).await.is_ok() {
            counter.fetch_add(block.len(), atomic::Ordering::Relaxed);
        }
    });
    let settle = async || {
        let mut before = usize::MAX;
        while before != sent.load(atomic::Ordering::Relaxed) {
            before = sent.load(atomic::Ordering::Relaxed);
            time::sleep(std_time::Duration::from_millis(300)).await;
        }
        before
    };
    // The kernel's buffers of one loopback connection hold some megabytes.
    let held = settle().await;
    assert!(held < 12 << 20, "{held}");
    // Other tunnels go on, and this one when it is read again.
    let other = start_echo().await;
    nodes.iter().for_each(|node| node.learn(&[runner, other]));
    let mut echo = nodes[0].open(other).await.unwrap();
    echo.bytes.write_all(b"x").await.unwrap();
    assert_eq!(echo.bytes.read_u8().await.unwrap(), b'x');
    let mut rest = vec![0; held + (1 << 20)];
    connection.bytes.read_exact(&mut rest).await.unwrap();
    assert!(rest.iter().all(|byte| *byte == 5));
    drop(connection);
    runner_task.await.unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn planned_stop_cuts_no_tunnel_and_takes_no_new_one() {
    let runner = start_echo().await;
    let nodes = start(&["a", "b"], &[runner]);
    let mut connection = nodes[0].open(runner).await.unwrap();
    let server = nodes[1].server.clone();
    server.begin_stop();
    let idle = tokio::spawn(async move { server.wait_idle().await });
    assert!(nodes[0].open(runner).await.is_err());
    connection.bytes.write_all(b"still").await.unwrap();
    let mut read = [0; 5];
    connection.bytes.read_exact(&mut read).await.unwrap();
    assert_eq!(&read, b"still");
    assert!(!idle.is_finished());
    assert_eq!(nodes[1].server.active(), 1);
    drop(connection);
    let limit = std_time::Duration::from_secs(5);
    time::timeout(limit, idle).await.unwrap().unwrap();
}

#[tokio::test(flavor = "multi_thread")]
async fn nothing_is_sent_on_a_way_that_was_overtaken() {
    let (listener, runner) = listen().await;
    let nodes = start(&["a", "b"], &[runner]);
    nodes[0].opener.set(CutKind::Delay(400));
    let mut connection = nodes[0].open(runner).await.unwrap();
    assert_eq!(connection.via.as_deref(), Some("b"));
    connection.bytes.write_all(b"once").await.unwrap();
    connection.bytes.shutdown().await.unwrap();
    let accepted = async {
        let mut received = Vec::new();
        loop {
            let accept = time::timeout(std_time::Duration::from_secs(1), listener.accept());
            let Ok(Ok((mut stream, _))) = accept.await else {
                return received;
            };
            let mut bytes = Vec::new();
            stream.read_to_end(&mut bytes).await.unwrap();
            received.push(bytes);
        }
    };
    let received = accepted.await;
    let whole: Vec<_> = received.iter().filter(|bytes| !bytes.is_empty()).collect();
    assert_eq!(whole, [b"once"]);
}

#[tokio::test(flavor = "multi_thread")]
async fn sound_node_uses_the_direct_way_alone() {
    let runner = start_echo().await;
    let nodes = start(&["a", "b"], &[runner]);
    nodes[0].opener.set(CutKind::None);
    for _ in 0..50 {
        assert_eq!(nodes[0].open(runner).await.unwrap().via, None);
    }
    assert_eq!(nodes[0].opener.attempts(), 50);
    assert_eq!(nodes[0].context.metrics.opened.get(), 0);
    assert!(nodes[0].events("i-0").is_empty());
}

#[tokio::test(flavor = "multi_thread")]
async fn cut_is_remembered_and_the_direct_way_is_back_after_it() {
    let runner = start_echo().await;
    for kind in [CutKind::Refuse, CutKind::Hang] {
        let nodes = start(&["a", "b"], &[runner]);
        nodes[0].opener.set(kind);
        nodes[0].open(runner).await.unwrap();
        // Requests start at the other node; few find out about the direct way.
        let began_at = time::Instant::now();
        for _ in 0..40 {
            let opened = nodes[0].open(runner).await.unwrap();
            assert_eq!(opened.via.as_deref(), Some("b"));
        }
        let periods = began_at.elapsed().as_millis() as u32 / 250 + 1;
        let attempts = nodes[0].opener.attempts();
        assert!(attempts <= 1 + periods, "{attempts} {periods}");
        nodes[0].opener.set(CutKind::None);
        let healed_at = time::Instant::now();
        while nodes[0].open(runner).await.unwrap().via.is_some() {
            assert!(healed_at.elapsed() < std_time::Duration::from_millis(1_500));
            time::sleep(std_time::Duration::from_millis(5)).await;
        }
        assert_eq!(nodes[0].open(runner).await.unwrap().via, None);
        assert_eq!(
            nodes[0].events("i-0"),
            ["UpstreamRelayed", "UpstreamDirect"],
            "{kind:?}"
        );
    }
}

/// Starts a runner that answers each report with the start of its process.
async fn start_reporting(started_ms: u64) -> net::SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        loop {
            let (mut stream, _) = listener.accept().await.unwrap();
            tokio::spawn(async move {
                let mut request = [0; 4_096];
                if stream.read(&mut request).await.unwrap_or(0) == 0 {
                    return;
                }
                let body = format!(r#"{{"born":{started_ms}}}"#);
                let length = body.len();
                let answer = format!("HTTP/1.1 200 OK\r\nContent-Length: {length}\r\n\r\n{body}");
                let _ = stream.write_all(answer.as_bytes()).await;
                let _ = stream.read(&mut request).await;
            });
        }
    });
    address
}

/// A direct way that opens but gives no answer is no better than one that fails.
#[tokio::test(flavor = "multi_thread")]
async fn ways_that_open_without_an_answer_are_left_until_one_comes() {
    let limit = std_time::Duration::from_millis(500);
    for kind in [CutKind::Silent, CutKind::Reset] {
        let runners = [start_reporting(1).await, start_reporting(1).await];
        let nodes = start(&["a", "b"], &runners);
        nodes[0].opener.set(kind);
        let dialer = &*nodes[0].dialer;
        let (one, other) = tokio::join!(
            runner_call::report(dialer, runners[0], limit),
            runner_call::report(dialer, runners[1], limit),
        );
        assert!(one.is_err() && other.is_err(), "{kind:?}");
        // Silence shows while a request waits, ends of connections at once.
        let mut waiting = None;
        if kind == CutKind::Silent {
            let opened = waiting.insert(nodes[0].open(runners[0]).await.unwrap());
            opened.bytes.write_all(b"request").await.unwrap();
            time::sleep(limit).await;
        }
        for _ in 0..20 {
            for runner in runners {
                let opened = nodes[0].open(runner).await.unwrap();
                assert_eq!(opened.via.as_deref(), Some("b"), "{kind:?}");
            }
            time::sleep(std_time::Duration::from_millis(100)).await;
        }
        assert!(!is_gone(&nodes[0], runners[0]).await, "{kind:?}");
        drop(waiting);
        nodes[0].opener.set(CutKind::None);
        let healed_at = time::Instant::now();
        while nodes[0].open(runners[0]).await.unwrap().via.is_some() {
            assert!(healed_at.elapsed() < std_time::Duration::from_millis(1_500));
            time::sleep(std_time::Duration::from_millis(5)).await;
        }
        assert_eq!(
            nodes[0].events("i-0"),
            ["UpstreamRelayed", "UpstreamDirect"],
            "{kind:?}"
        );
    }
}

/// Connections that a cut ends do not show that a runner died, with or without another
/// node to ask.
#[tokio::test(flavor = "multi_thread")]
async fn runners_whose_connections_a_cut_ends_are_not_dead() {
    for kind in [CutKind::Silent, CutKind::Reset] {
        let (runner, other) = (start_reporting(1).await, start_reporting(1).await);
        for names in [&["a"][..], &["a", "b"]] {
            let nodes = start(names, &[runner, other]);
            for node in &nodes {
                node.opener.set(kind);
            }
            assert!(!is_gone(&nodes[0], runner).await, "{kind:?} {names:?}");
        }
    }
}

async fn is_gone(node: &TestNode, runner: net::SocketAddr) -> bool {
    let limit = std_time::Duration::from_millis(500);
    runner_call::is_gone(&*node.dialer, runner, 1, limit).await
}

#[tokio::test(flavor = "multi_thread")]
async fn node_that_is_cut_off_takes_no_sound_runner_for_dead() {
    let runner = start_reporting(1).await;
    let other = start_echo().await;
    for kind in [CutKind::Refuse, CutKind::Hang] {
        let nodes = start(&["a", "b"], &[runner, other]);
        nodes[0].opener.set(kind);
        assert!(!is_gone(&nodes[0], runner).await, "{kind:?}");
        // All nodes are cut off.
        nodes[1].opener.set(kind);
        assert!(!is_gone(&nodes[0], runner).await, "{kind:?}");
        // There is no other node.
        let alone = start(&["a"], &[runner, other]);
        alone[0].opener.set(kind);
        assert!(!is_gone(&alone[0], runner).await, "{kind:?}");
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn dead_runner_is_found_dead_by_sound_and_by_cut_nodes() {
    let runner = free_address();
    let other = start_echo().await;
    for kind in [CutKind::None, CutKind::Refuse, CutKind::Hang] {
        let nodes = start(&["a", "b"], &[runner, other]);
        nodes[0].opener.set(kind);
        assert!(is_gone(&nodes[0], runner).await, "{kind:?}");
        let error = nodes[0].open(runner).await.unwrap_err();
        assert!(error.is_refused, "{kind:?} {error}");
    }
    let alone = start(&["a"], &[runner, other]);
    alone[0].opener.set(CutKind::None);
    assert!(is_gone(&alone[0], runner).await);
    // The runner started again.
    let restarted = start_reporting(2).await;
    let nodes = start(&["a", "b"], &[restarted, other]);
    assert!(is_gone(&nodes[0], restarted).await);
}

/// A runner that dies under the requests of all nodes at once refuses connections at
/// each of them, so no node has a working way left on which another one could rely.
#[tokio::test(flavor = "multi_thread")]
async fn runner_that_dies_under_requests_of_all_nodes_is_found_dead_by_each() {
    let (listener, runner) = listen().await;
    let other = start_echo().await;
    let nodes = start(&["a", "b", "c", "d"], &[runner, other]);
    nodes[0].opener.set(CutKind::None);
    let mut waiting = Vec::new();
    for node in &nodes {
        let mut opened = node.open(runner).await.unwrap();
        assert_eq!(opened.via, None);
        opened.bytes.write_all(b"request").await.unwrap();
        let (mut stream, _) = listener.accept().await.unwrap();
        stream.read_exact(&mut [0; 7]).await.unwrap();
        waiting.push((opened, stream));
    }
    drop(listener);
    for (mut opened, stream) in waiting {
        drop(stream);
        assert_eq!(read_rest(&mut opened).await.unwrap(), b"");
    }
    // Each node tries to reach it again, and fails.
    for node in &nodes {
        let error = node.open(runner).await.unwrap_err();
        assert!(error.is_closed(), "{}: {error}", node.name);
    }
    for node in &nodes {
        assert!(is_gone(node, runner).await, "{}", node.name);
    }
}

/// What a test does to one frame, which has this position in its direction. The
/// result is sent as it is, with the lengths of the frames.
type FrameFilter = Box<dyn FnMut(usize, Vec<u8>) -> Vec<u8> + Send>;

/// Direction of frames between two nodes.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum FrameDirection {
    FromAsking,
    FromServing,
}

/// Bytes before the first frame, by direction: the header, and the challenge of the
/// serving node.
fn prefix_bytes(direction: FrameDirection) -> usize {
    match direction {
        FrameDirection::FromAsking => 8,
        FrameDirection::FromServing => 8 + 16,
    }
}

fn with_length(frame: &[u8]) -> Vec<u8> {
    [&(frame.len() as u32).to_be_bytes()[..], frame].concat()
}

/// Nodes that ask, the second one that serves them, and what stands between them on the network.
struct FilteredPair {
    nodes: Vec<TestNode>,
    /// Address at which the second node really listens.
    address: net::SocketAddr,
    /// Everything that the asking node sent.
    record: sync::Arc<sync::Mutex<Vec<u8>>>,
}

/// Starts two nodes and applies `filter` to the frames of one direction of the first
/// connection between them; later ones are left alone.
async fn start_filtered(
    runner: net::SocketAddr,
    direction: FrameDirection,
    filter: FrameFilter,
) -> FilteredPair {
    let (listener, public) = listen().await;
    let mut nodes = start(&["a", "c"], &[runner]);
    nodes[1].opener.set(CutKind::Refuse);
    let listening = free_address();
    nodes.push(TestNode::start_behind("b", KEY, public, listening));
    nodes.sort_by(|one, other| one.name.cmp(&other.name));
    let mut records: Vec<_> = nodes.iter().map(TestNode::record).collect();
    // The third node asks, and is not asked.
    records[2].phase = member::MemberPhase::Leaving;
    for node in &nodes {
        let others = member::RemoteRegions::default();
        node.context.members.publish(records.clone(), others);
        node.learn(&[runner]);
    }
    let record = sync::Arc::<sync::Mutex<Vec<u8>>>::default();
    let recorded = sync::Arc::clone(&record);
    tokio::spawn(async move {
        let mut filter = Some(filter);
        loop {
            let (asking, _) = listener.accept().await.unwrap();
            let serving = tokio_net::TcpStream::connect(listening).await.unwrap();
            let (from_asking, to_asking) = asking.into_split();
            let (from_serving, to_serving) = serving.into_split();
            let (mut one, mut other): (Option<FrameFilter>, Option<FrameFilter>) = (None, None);
            match direction {
                FrameDirection::FromAsking => one = filter.take(),
                FrameDirection::FromServing => other = filter.take(),
            }
            let from = FrameDirection::FromAsking;
            let recorded = Some(sync::Arc::clone(&recorded));
            tokio::spawn(pass_frames(from_asking, to_serving, from, one, recorded));
            let from = FrameDirection::FromServing;
            tokio::spawn(pass_frames(from_serving, to_asking, from, other, None));
        }
    });
    FilteredPair {
        nodes,
        address: listening,
        record,
    }
}

async fn pass_frames(
    mut from: tokio_net::tcp::OwnedReadHalf,
    mut to: tokio_net::tcp::OwnedWriteHalf,
    direction: FrameDirection,
    mut filter: Option<FrameFilter>,
    record: Option<sync::Arc<sync::Mutex<Vec<u8>>>>,
) -> io::Result<()> {
    let note = |bytes: &[u8]| {
        if let Some(record) = &record {
            record.lock().unwrap().extend_from_slice(bytes);
        }
    };
    let mut prefix = vec![0; prefix_bytes(direction)];
    from.read_exact(&mut prefix).await?;
    note(&prefix);
    to.write_all(&prefix).await?;
    for position in 0.. {
        let length = from.read_u32().await?;
        let mut frame = vec![0; length as usize];
        from.read_exact(&mut frame).await?;
        note(&with_length(&frame));
        let bytes = match &mut filter {
            Some(filter) => filter(position, frame),
            None => with_length(&frame),
        };
        to.write_all(&bytes).await?;
    }
    Ok(())
}

/// Sends three pieces from `node` through the second one of a pair and returns what
/// came back before the end.
async fn exchange(node: &TestNode, runner: net::SocketAddr) -> Result<Vec<u8>, Vec<u8>> {
    let mut received = Vec::new();
    let Ok(mut connection) = node.open(runner).await else {
        return Err(received);
    };
    for piece in [b"one", b"two", b"six"] {
        let mut echo = [0; 3];
        let exchanged = async {
            connection.bytes.write_all(piece).await?;
            connection.bytes.read_exact(&mut echo).await
        };
        // A frame that was left out shows with the next one.
        let limit = std_time::Duration::from_millis(300);
        match time::timeout(limit, exchanged).await {
            Ok(Ok(_)) => received.extend(echo),
            Ok(Err(error)) => {
                assert!(link::is_way_lost(&error), "{error:?}");
                return Err(received);
            }
            Err(_) => {}
        }
    }
    Ok(received)
}

/// Frames that do not follow their opening unchanged, in order and each once end
/// their tunnel, and the node goes on to serve others.
#[tokio::test(flavor = "multi_thread")]
async fn changed_frames_end_their_tunnel_and_nothing_else() {
    let runner = start_echo().await;
    let flip = |at: usize| -> FrameFilter {
        Box::new(move |position, mut frame| {
            if position == at {
                let middle = frame.len() / 2;
                frame[middle] ^= 1;
            }
            with_length(&frame)
        })
    };
    let repeat: fn() -> FrameFilter = || {
        Box::new(|position, frame| match position {
            1 => [with_length(&frame), with_length(&frame)].concat(),
            _ => with_length(&frame),
        })
    };
    let omit: fn() -> FrameFilter = || {
        Box::new(|position, frame| match position {
            1 => Vec::new(),
            _ => with_length(&frame),
        })
    };
    let swap: fn() -> FrameFilter = || {
        let mut held = Vec::new();
        Box::new(move |position, frame| match position {
            1 => {
                held = with_length(&frame);
                Vec::new()
            }
            2 => [with_length(&frame), std::mem::take(&mut held)].concat(),
            _ => with_length(&frame),
        })
    };
    let truncate: fn() -> FrameFilter = || {
        Box::new(|position, frame| match position {
            1 => with_length(&frame[..frame.len() - 1]),
            _ => with_length(&frame),
        })
    };
    let empty: fn() -> FrameFilter = || {
        Box::new(|position, frame| match position {
            1 => with_length(&[]),
            _ => with_length(&frame),
        })
    };
    let oversize: fn() -> FrameFilter = || {
        Box::new(|position, frame| match position {
            1 => u32::MAX.to_be_bytes().to_vec(),
            _ => with_length(&frame),
        })
    };
    let keep: fn() -> FrameFilter = || Box::new(|_, frame| with_length(&frame));
    let both = [FrameDirection::FromAsking, FrameDirection::FromServing];
    for direction in both {
        let pair = start_filtered(runner, direction, keep()).await;
        assert_eq!(
            exchange(&pair.nodes[0], runner).await.unwrap(),
            b"onetwosix"
        );
        let filters = [
            ("flipped opening", flip(0)),
            ("flipped", flip(1)),
            ("flipped later", flip(2)),
            ("repeated", repeat()),
            ("left out", omit()),
            ("swapped", swap()),
            ("truncated", truncate()),
            ("empty", empty()),
            ("oversized", oversize()),
        ];
        for (name, filter) in filters {
            let pair = start_filtered(runner, direction, filter).await;
            let received = exchange(&pair.nodes[0], runner).await.unwrap_err();
            let whole = b"onetwosix";
            assert!(
                whole.starts_with(&received),
                "{direction:?} {name}: {received:?}"
            );
            let after = exchange(&pair.nodes[2], runner).await;
            assert_eq!(after.unwrap(), whole, "{name}");
        }
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn recorded_tunnel_cannot_be_played_again() {
    let runner = start_echo().await;
    let keep: FrameFilter = Box::new(|_, frame| with_length(&frame));
    let pair = start_filtered(runner, FrameDirection::FromAsking, keep).await;
    exchange(&pair.nodes[0], runner).await.unwrap();
    let attempts = pair.nodes[1].opener.attempts();
    let recorded = pair.record.lock().unwrap().clone();
    let mut stream = tokio_net::TcpStream::connect(pair.address).await.unwrap();
    stream.write_all(&recorded).await.unwrap();
    let mut rest = Vec::new();
    let ended = stream.read_to_end(&mut rest);
    let ended = time::timeout(std_time::Duration::from_secs(5), ended).await;
    assert!(ended.is_ok(), "the node closes the connection");
    assert_eq!(pair.nodes[1].opener.attempts(), attempts);
    assert_eq!(
        exchange(&pair.nodes[0], runner).await.unwrap(),
        b"onetwosix"
    );
}

#[tokio::test(start_paused = true)]
async fn opening_that_does_not_come_is_given_up() {
    let runner = start_echo().await;
    let nodes = start(&["a", "b"], &[runner]);
    let half_frame = [&b"AFTUNNEL"[..], &[0, 0, 0, 99, 1, 2]].concat();
    for opening in [&b"AFTU"[..], b"AFTUNNEL", &half_frame] {
        let address = nodes[1].context.address;
        let mut stream = tokio_net::TcpStream::connect(address).await.unwrap();
        stream.write_all(opening).await.unwrap();
        let began_at = time::Instant::now();
        let mut rest = Vec::new();
        let _ = stream.read_to_end(&mut rest).await;
        let age = began_at.elapsed();
        assert!(age <= std_time::Duration::from_secs(6), "{age:?}");
    }
}
