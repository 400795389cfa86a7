//! Ends of runners' answers that come through another node.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::io;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold::gateway::{
    answer_end, core, dial, direct, fleet, metrics, mirror, race, relay, relay_server,
};
use arbutusfold::{event, member, peer};
use arbutusfold_platform::{head, link, store};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body;
use tokio::io::AsyncWriteExt;
use tokio::net as tokio_net;
use tokio::sync as tokio_sync;
use tokio::time;

/// Limit for opening a connection; long, since the tests share their cores.
const LIMIT: std_time::Duration = std_time::Duration::from_secs(2);

/// Time within which every answer has to end.
const END_LIMIT: std_time::Duration = std_time::Duration::from_secs(10);

const KEY: [u8; 32] = [7; 32];

/// Lengths of bodies: short ones, one of the length of the tunnel's window, and longer.
const LENGTHS: [usize; 4] = [1, 100, 64 << 10, 300_001];

const FRAMINGS: [head::BodyFraming; 3] = [
    head::BodyFraming::Length,
    head::BodyFraming::Chunks,
    head::BodyFraming::Connection,
];

/// How an answer is cut off before its connection was closed in order.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutEnd {
    /// The runner resets its connection.
    RunnerReset,
    /// The connection between the nodes is closed in order.
    TunnelClosed,
    /// The connection between the nodes is reset.
    TunnelReset,
    /// The other node dies.
    NodeDied,
}

const CUT_ENDS: [CutEnd; 4] = [
    CutEnd::RunnerReset,
    CutEnd::TunnelClosed,
    CutEnd::TunnelReset,
    CutEnd::NodeDied,
];

/// A direct way that refuses connections, unless the node is the one in between.
struct CutOpener {
    is_cut: bool,
}

#[async_trait::async_trait]
impl direct::SocketOpener for CutOpener {
    async fn connect(&self, address: net::SocketAddr) -> io::Result<Box<dyn dial::RunnerBytes>> {
        match self.is_cut {
            true => Err(io::ErrorKind::ConnectionRefused.into()),
            false => direct::TcpOpener::default().connect(address).await,
        }
    }
}

/// A node with its transport and its ways to runners.
struct TestNode {
    context: dial::DialContext,
    dialer: sync::Arc<race::RaceDialer>,
    server: relay_server::RelayServer,
    transport: Option<peer::TcpTransport>,
}

impl TestNode {
    /// Starts a node that listens on `listening` and is reached at `address`.
    fn start(
        name: &str,
        address: net::SocketAddr,
        listening: net::SocketAddr,
        is_cut: bool,
    ) -> Self {
        let signer = peer::MessageSigner::new(vec![KEY]);
        let members = sync::Arc::new(member::MemberView::default());
        let known = sync::Arc::clone(&members);
        let post = peer::PeerEndpoint::new(name.to_owned(), address, 1, signer.clone(), known);
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
        let opener = sync::Arc::new(CutOpener { is_cut });
        let direct = sync::Arc::new(direct::DirectDialer::new(context.clone(), opener));
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
            context,
            dialer: sync::Arc::new(race::RaceDialer::new(direct, Some(relay))),
            server,
            transport: Some(transport),
        }
    }

    fn record(&self) -> member::MemberRecord {
        member::MemberRecord {
            name: self.context.host.clone(),
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

    fn learn(&self, runner: net::SocketAddr) {
        let value = format!(
            r#"{{"service":"s","address":"{runner}","zone":"d-1","slots":4,
            "state":"ready","born":1,"models":[]}}"#
        );
        let row = mirror::MirrorRow {
            key: "i-0".to_owned(),
            version: store::RowVersion::new(0, 1),
            value: Some(Bytes::from(value)),
        };
        let mut known = self.context.fleet.lock().unwrap();
        *known = fleet::RunnerFleet::default();
        known.update(&row, None).unwrap();
    }
}

/// Returns an address that nothing else takes before it is used: connections leave from
/// 127.0.0.1, and each call and each process has its own host part.
fn free_address() -> net::SocketAddr {
    static CALLS: atomic::AtomicU32 = atomic::AtomicU32::new(0);
    let call = CALLS.fetch_add(1, atomic::Ordering::Relaxed);
    let process = std::process::id();
    let [_, high, low, _] = (process << 8).to_be_bytes();
    let host = net::Ipv4Addr::new(127, 1 + high % 100, low, 1 + (call % 250) as u8);
    let listener = net::TcpListener::bind((host, 0)).unwrap();
    listener.local_addr().unwrap()
}

async fn listen() -> (tokio_net::TcpListener, net::SocketAddr) {
    let listener = tokio_net::TcpListener::bind("127.0.0.1:0").await.unwrap();
    let address = listener.local_addr().unwrap();
    (listener, address)
}

/// A node that is cut off from a runner and the one that passes the bytes on.
struct TestWay {
    asking: TestNode,
    serving: TestNode,
    /// Ends the connections between them.
    tunnel_end: tokio_sync::watch::Sender<Option<CutEnd>>,
}

impl TestWay {
    async fn start(runner: net::SocketAddr) -> Self {
        let (listener, public) = listen().await;
        let (listening, own) = (free_address(), free_address());
        let asking = TestNode::start("a", own, own, true);
        let serving = TestNode::start("b", public, listening, false);
        for node in [&asking, &serving] {
            let records = vec![asking.record(), serving.record()];
            let others = member::RemoteRegions::default();
            node.context.members.publish(records, others);
            node.learn(runner);
        }
        let (tunnel_end, ended) = tokio_sync::watch::channel(None);
        tokio::spawn(async move {
            while let Ok((socket, _)) = listener.accept().await {
                tokio::spawn(pass(socket, listening, ended.clone()));
            }
        });
        Self {
            asking,
            serving,
            tunnel_end,
        }
    }

    /// Cuts the way, unless it is the runner that ends the answer.
    fn cut(&mut self, end: CutEnd) {
        match end {
            CutEnd::RunnerReset => {}
            CutEnd::TunnelClosed | CutEnd::TunnelReset => {
                self.tunnel_end.send_replace(Some(end));
            }
            CutEnd::NodeDied => drop(self.serving.transport.take()),
        }
    }

    /// Sends a request through the other node and returns the body of the answer.
    async fn request(&self, runner: net::SocketAddr) -> (dial::DialedLink, body::Incoming) {
        let dialer = &*self.asking.dialer;
        let mut dialed = dial::open_link(dialer, runner, LIMIT).await.unwrap();
        assert_eq!(dialed.via.as_deref(), Some("b"));
        let request = http::Request::get("/").header("Host", "runner");
        let request = request.body(Full::<Bytes>::default()).unwrap();
        let response = dialed.link.send(request).await.unwrap();
        (dialed, response.into_body())
    }
}

/// Passes bytes on between two nodes until `ended` says how the connections end.
async fn pass(
    mut asking: tokio_net::TcpStream,
    to: net::SocketAddr,
    mut ended: tokio_sync::watch::Receiver<Option<CutEnd>>,
) {
    let Ok(mut serving) = tokio_net::TcpStream::connect(to).await else {
        return;
    };
    let end = tokio::select! {
        _ = tokio::io::copy_bidirectional(&mut asking, &mut serving) => return,
        end = ended.wait_for(Option::is_some) => end.ok().and_then(|end| *end),
    };
    if end == Some(CutEnd::TunnelReset) {
        let _ = asking.set_zero_linger();
    }
}

/// Returns a body of this length; it holds no byte twice in a row.
fn body_of(length: usize) -> String {
    let letters = (0..length).map(|index| char::from(b'a' + (index * 7 % 26) as u8));
    letters.collect()
}

/// Returns the head and the body of an answer as they are on the wire.
fn framed(framing: head::BodyFraming, body: &str) -> (String, String) {
    let head = "HTTP/1.1 200 OK\r\nResponse-Stamp: s\r\n";
    match framing {
        head::BodyFraming::Length => {
            let length = body.len();
            let head = format!("{head}Content-Length: {length}\r\n\r\n");
            (head, body.to_owned())
        }
        head::BodyFraming::Chunks => (
            format!("{head}Transfer-Encoding: chunked\r\n\r\n"),
            format!(
                "{}{}",
                gateway_script::chunk(body),
                gateway_script::LAST_CHUNK
            ),
        ),
        head::BodyFraming::Connection => (format!("{head}\r\n"), body.to_owned()),
    }
}

/// How far an answer comes before its end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum CutPlace {
    /// After its head.
    Head,
    /// In the middle of its body.
    Middle,
    /// After the last byte of the body, before what states its end.
    Body,
    /// After its last byte.
    Whole,
}

const CUT_PLACES: [CutPlace; 4] = [
    CutPlace::Head,
    CutPlace::Middle,
    CutPlace::Body,
    CutPlace::Whole,
];

impl CutPlace {
    /// Returns the bytes on the wire up to here, and the length of the body in them.
    fn part(self, framing: head::BodyFraming, body: &str) -> (String, usize) {
        let (head, wire) = framed(framing, body);
        // The length of the first chunk stands before the body.
        let prefix = match framing {
            head::BodyFraming::Chunks => wire.find("\r\n").unwrap() + 2,
            _ => 0,
        };
        let (wire, length) = match self {
            Self::Head => ("", 0),
            Self::Middle => (&wire[..prefix + body.len() / 2], body.len() / 2),
            Self::Body => (&wire[..prefix + body.len()], body.len()),
            Self::Whole => (&wire[..], body.len()),
        };
        (format!("{head}{wire}"), length)
    }

    /// Returns whether the bytes up to here state the end of the body.
    fn states_end(self, framing: head::BodyFraming) -> bool {
        match framing {
            head::BodyFraming::Length => matches!(self, Self::Body | Self::Whole),
            head::BodyFraming::Chunks => self == Self::Whole,
            head::BodyFraming::Connection => false,
        }
    }
}

/// Starts a runner that answers one request with `bytes` and ends the connection once it
/// is told to; if that is no reset, it closes it in order.
async fn start_runner(
    bytes: String,
) -> (net::SocketAddr, tokio_sync::oneshot::Sender<Option<CutEnd>>) {
    let (listener, address) = listen().await;
    let (sender, told) = tokio_sync::oneshot::channel();
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        gateway_script::read_head(&mut socket).await?;
        let writing = async {
            socket.write_all(bytes.as_bytes()).await.ok();
            std::future::pending::<()>().await;
        };
        let end = tokio::select! {
            () = writing => None,
            end = told => end.ok()?,
        };
        match end {
            None => {
                // What was not written yet is left out.
                socket.shutdown().await.ok()
            }
            Some(CutEnd::RunnerReset) => socket.set_zero_linger().ok(),
            Some(_) => {
                // Only the way ends, the runner goes on.
                time::sleep(END_LIMIT).await;
                Some(())
            }
        }
    });
    (address, sender)
}

/// Starts a runner that answers one request with `bytes` and closes the connection.
async fn start_closing(bytes: String) -> net::SocketAddr {
    let (listener, address) = listen().await;
    tokio::spawn(async move {
        let (mut socket, _) = listener.accept().await.unwrap();
        gateway_script::read_head(&mut socket).await?;
        socket.write_all(bytes.as_bytes()).await.ok()
    });
    address
}

/// Reads a body until `length` bytes came or it ended before them.
async fn read_part(
    body: &mut body::Incoming,
    length: usize,
    read: &mut Vec<u8>,
) -> Result<(), hyper::Error> {
    while read.len() < length {
        let next = time::timeout(END_LIMIT, body.frame()).await;
        let Some(frame) = next.expect("the body goes on") else {
            return Ok(());
        };
        read.extend_from_slice(frame?.data_ref().unwrap());
    }
    Ok(())
}

/// Reads a body to its end.
async fn read_rest(body: &mut body::Incoming, read: &mut Vec<u8>) -> Result<(), hyper::Error> {
    read_part(body, usize::MAX, read).await
}

/// Asserts that the error of a body blames the runner if and only if the runner is the
/// cause.
fn assert_cause(error: &hyper::Error, end: CutEnd, name: &str) {
    let expected = match end {
        CutEnd::RunnerReset => answer_end::ConnectionEnd::Reset,
        _ => answer_end::ConnectionEnd::WayLost,
    };
    let found = answer_end::ConnectionEnd::of_error(error);
    assert_eq!(found, expected, "{name}: {error:?}");
    let is_way = expected == answer_end::ConnectionEnd::WayLost;
    assert_eq!(link::is_way_lost(error), is_way, "{name}: {error:?}");
}

/// Guards against whole answers that lose bytes or their end on their way through another
/// node, read at once or after all has been sent.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_its_runner_closes_in_order_arrives_whole() {
    for framing in FRAMINGS {
        for length in LENGTHS {
            for is_late in [false, true] {
                let name = format!("{framing} {length} late={is_late}");
                let body = body_of(length);
                let (head, wire) = framed(framing, &body);
                let runner = start_closing(format!("{head}{wire}")).await;
                let way = TestWay::start(runner).await;
                let (_link, incoming) = way.request(runner).await;
                if is_late {
                    time::sleep(std_time::Duration::from_millis(50)).await;
                }
                let read = link::read_body(incoming, 1 << 20);
                let read = time::timeout(END_LIMIT, read).await.unwrap();
                assert!(read.expect(&name) == body, "{name}");
                assert_eq!(way.asking.context.metrics.lost.get(), 0, "{name}");
            }
        }
    }
}

/// Guards against an answer with a length or in chunks that looks whole though its
/// connection was closed before the end that it states.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_ends_before_its_stated_end_is_not_whole() {
    for framing in [head::BodyFraming::Length, head::BodyFraming::Chunks] {
        for length in [100, 300_001] {
            for place in [CutPlace::Head, CutPlace::Middle, CutPlace::Body] {
                if place.states_end(framing) {
                    continue;
                }
                let name = format!("{framing} {length} {place:?}");
                let (wire, _) = place.part(framing, &body_of(length));
                let runner = start_closing(wire).await;
                let way = TestWay::start(runner).await;
                let (_link, mut incoming) = way.request(runner).await;
                let error = read_rest(&mut incoming, &mut Vec::new()).await;
                let error = error.expect_err(&name);
                assert!(!link::is_way_lost(&error), "{name}: {error:?}");
                let found = answer_end::ConnectionEnd::of_error(&error);
                assert_eq!(found, answer_end::ConnectionEnd::Orderly, "{name}");
            }
        }
    }
}

/// Guards against an answer that looks whole though its runner or the way broke, after all
/// of its bytes or in the middle, and against the runner being blamed for the way.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_is_cut_after_what_came_is_whole_only_if_it_states_its_end() {
    for framing in FRAMINGS {
        for length in LENGTHS {
            for place in CUT_PLACES {
                for end in CUT_ENDS {
                    let name = format!("{framing} {length} {place:?} {end:?}");
                    let body = body_of(length);
                    let (wire, part) = place.part(framing, &body);
                    let (runner, tell) = start_runner(wire).await;
                    let mut way = TestWay::start(runner).await;
                    let (_link, mut incoming) = way.request(runner).await;
                    let mut read = Vec::new();
                    let first = read_part(&mut incoming, part, &mut read).await;
                    first.expect(&name);
                    tell.send(Some(end)).unwrap();
                    way.cut(end);
                    let rest = read_rest(&mut incoming, &mut read).await;
                    assert!(read == body.as_bytes()[..part], "{name}");
                    match rest {
                        Ok(()) => assert!(place.states_end(framing), "{name}: looks whole"),
                        Err(error) => {
                            // The end of the chunks may still be on its way.
                            let is_open = framing == head::BodyFraming::Chunks;
                            let is_sound = !place.states_end(framing) || is_open;
                            assert!(is_sound, "{name}: {error:?}");
                            assert_cause(&error, end, &name);
                        }
                    }
                }
            }
        }
    }
}

/// Guards against an answer that looks whole though it was cut while its bytes were still
/// on their way, held back by the tunnel's window, or before the caller read any.
#[tokio::test(flavor = "multi_thread")]
async fn answer_that_is_cut_before_it_was_read_is_not_whole() {
    let framing = head::BodyFraming::Connection;
    for length in LENGTHS {
        for end in CUT_ENDS {
            for pause_ms in [0, 50] {
                let name = format!("{length} {end:?} pause={pause_ms}");
                let body = body_of(length);
                let (wire, _) = CutPlace::Whole.part(framing, &body);
                let (runner, tell) = start_runner(wire).await;
                let mut way = TestWay::start(runner).await;
                let (_link, mut incoming) = way.request(runner).await;
                time::sleep(std_time::Duration::from_millis(pause_ms)).await;
                tell.send(Some(end)).unwrap();
                way.cut(end);
                let mut read = Vec::new();
                let error = read_rest(&mut incoming, &mut read).await;
                let error = error.expect_err(&name);
                assert_cause(&error, end, &name);
                assert!(body.as_bytes().starts_with(&read), "{name}");
            }
        }
    }
}

/// Guards against a part of an answer that looks whole where the way is lost while the
/// orderly end of its runner is being passed on.
#[tokio::test(flavor = "multi_thread")]
async fn answer_whose_way_is_lost_around_its_end_is_whole_or_lost_with_the_way() {
    for end in [CutEnd::TunnelClosed, CutEnd::TunnelReset, CutEnd::NodeDied] {
        for length in [1, 300_001] {
            for delay_us in (0..4_000).step_by(200) {
                let name = format!("{length} {end:?} {delay_us}");
                let body = body_of(length);
                let (head, wire) = framed(head::BodyFraming::Connection, &body);
                let runner = start_closing(format!("{head}{wire}")).await;
                let mut way = TestWay::start(runner).await;
                let (_link, mut incoming) = way.request(runner).await;
                let reading = tokio::spawn(async move {
                    let mut read = Vec::new();
                    let rest = read_rest(&mut incoming, &mut read).await;
                    (rest, read)
                });
                time::sleep(std_time::Duration::from_micros(delay_us)).await;
                way.cut(end);
                let (rest, read) = reading.await.unwrap();
                match rest {
                    Ok(()) => assert!(read == body.as_bytes(), "{name}: {}", read.len()),
                    Err(error) => assert_cause(&error, end, &name),
                }
            }
        }
    }
}

/// Guards against answers that are cut off by the planned stop of the node in between.
#[tokio::test(flavor = "multi_thread")]
async fn answer_goes_on_through_a_node_that_stops() {
    for framing in FRAMINGS {
        let body = body_of(300_001);
        let (wire, _) = CutPlace::Whole.part(framing, &body);
        let (runner, tell) = start_runner(wire).await;
        let mut way = TestWay::start(runner).await;
        let (link, mut incoming) = way.request(runner).await;
        way.serving.server.begin_stop();
        let mut read = Vec::new();
        let part = read_part(&mut incoming, body.len(), &mut read).await;
        part.expect("no loss before the end");
        tell.send(None).unwrap();
        let rest = read_rest(&mut incoming, &mut read).await;
        rest.expect("no loss at the end");
        assert!(read == body.as_bytes(), "{framing}");
        drop((link, incoming));
        let idle = way.serving.server.wait_idle();
        time::timeout(END_LIMIT, idle).await.unwrap();
        // The node ends once nothing passes through it any more.
        way.cut(CutEnd::NodeDied);
        assert_eq!(way.asking.context.metrics.lost.get(), 0, "{framing}");
    }
}

/// A gateway whose connections to a runner lead through another node.
struct TestGateway {
    core: sync::Arc<core::GatewayCore>,
    node: net::SocketAddr,
    way: TestWay,
}

impl TestGateway {
    async fn start(runner: net::SocketAddr) -> Self {
        let way = TestWay::start(runner).await;
        let mut core = gateway_network::core_of(&gateway_network::record(1));
        let dialer = sync::Arc::clone(&way.asking.dialer);
        sync::Arc::get_mut(&mut core).unwrap().dialer = dialer;
        let runners = gateway_script::TestRunners {
            addresses: vec![runner],
            runs: sync::Arc::default(),
            left: sync::Arc::default(),
        };
        let node = gateway_script::start_core(&core, gateway_script::DOCUMENT, &runners).await;
        Self { core, node, way }
    }

    fn assert_unblamed(&self, name: &str) {
        let now = time::Instant::now();
        let fleet = self.core.fleet.lock().unwrap();
        assert_eq!(fleet.runners().len(), 1, "{name}");
        let runner = &fleet.runners()[0];
        assert!(!runner.is_avoided(now), "{name}");
        assert!(runner.failure_rate == 0.0, "{name}");
    }
}

/// Routes of each kind, and whether they answer streams.
const ROUTES: [(&str, bool); 3] = [("/p/x", false), ("/once/x", false), ("/s/x", true)];

fn route_body(is_stream: bool, is_long: bool) -> String {
    match (is_stream, is_long) {
        (true, false) => gateway_script::events(1..=3),
        (true, true) => gateway_script::events(1..=10_000),
        (false, false) => "sound".to_owned(),
        (false, true) => body_of(200_001),
    }
}

/// Returns the body of a complete answer, `None` if it does not look whole.
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
            return Some(whole);
        }
        whole.push_str(after.get(..length)?);
        rest = after.get(length + 2..)?;
    }
}

/// Starts a runner that answers each request with `bytes`, and then tells so and waits
/// for the end of the way, or ends the connection itself.
async fn start_gateway_runner(
    bytes: String,
    end: Option<CutEnd>,
) -> (net::SocketAddr, sync::Arc<tokio_sync::Notify>) {
    let sent = sync::Arc::new(tokio_sync::Notify::new());
    let telling = sync::Arc::clone(&sent);
    let bytes = sync::Arc::new(bytes);
    let runners = gateway_script::start_playing(1, move |mut socket, _| {
        let (bytes, telling) = (sync::Arc::clone(&bytes), sync::Arc::clone(&telling));
        async move {
            let head = gateway_script::read_head(&mut socket).await?;
            if head.starts_with("GET /v1/report") {
                let report = gateway_script::answer(404, "no report");
                return socket.write_all(report.as_bytes()).await.ok();
            }
            socket.write_all(bytes.as_bytes()).await.ok()?;
            telling.notify_one();
            if end.is_some() {
                time::sleep(std_time::Duration::from_millis(50)).await;
            }
            match end {
                Some(CutEnd::RunnerReset) => socket.set_zero_linger().ok(),
                Some(_) => {
                    time::sleep(END_LIMIT).await;
                    Some(())
                }
                None => Some(()),
            }
        }
    })
    .await;
    (runners.addresses[0], sent)
}

/// Guards against callers who get no whole answer where the answer of a sound runner ends
/// with its connection and comes through another node.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_passes_on_whole_answers_that_came_through_another_node() {
    for framing in FRAMINGS {
        for (path, is_stream) in ROUTES {
            for is_long in [false, true] {
                let name = format!("{path} {framing} long={is_long}");
                let body = route_body(is_stream, is_long);
                let (head, wire) = framed(framing, &body);
                let (runner, _) = start_gateway_runner(format!("{head}{wire}"), None).await;
                let gateway = TestGateway::start(runner).await;
                let answer = gateway_script::call(gateway.node, path).await;
                let found = whole_body(&answer);
                let shown = answer.get(..200).unwrap_or(&answer);
                assert!(found.as_deref() == Some(&body), "{name}: {shown}");
                gateway.assert_unblamed(&name);
                assert!(gateway.way.asking.context.metrics.opened.get() > 0);
            }
        }
    }
}

/// Guards against callers who get an answer that looks whole though its runner or the way
/// broke after all bytes or in the middle, and against a runner that is blamed for the way.
#[tokio::test(flavor = "multi_thread")]
async fn gateway_shows_no_answer_as_whole_whose_runner_or_way_broke() {
    for (path, is_stream) in ROUTES {
        for is_long in [false, true] {
            for place in [CutPlace::Head, CutPlace::Middle, CutPlace::Whole] {
                for end in CUT_ENDS {
                    let name = format!("{path} long={is_long} {place:?} {end:?}");
                    let body = route_body(is_stream, is_long);
                    let (wire, _) = place.part(head::BodyFraming::Connection, &body);
                    let (runner, sent) = start_gateway_runner(wire, Some(end)).await;
                    let mut gateway = TestGateway::start(runner).await;
                    let calling = tokio::spawn(gateway_script::call(gateway.node, path));
                    if time::timeout(LIMIT, sent.notified()).await.is_err() {
                        let answer = calling.await.unwrap();
                        let shown = answer.get(..200).unwrap_or(&answer);
                        panic!("{name}: no run sent its part: {shown}");
                    }
                    time::sleep(std_time::Duration::from_millis(50)).await;
                    gateway.way.cut(end);
                    let answer = calling.await.unwrap();
                    assert!(whole_body(&answer).is_none(), "{name}: looks whole");
                    if end != CutEnd::RunnerReset {
                        gateway.assert_unblamed(&name);
                    }
                }
            }
        }
    }
}
