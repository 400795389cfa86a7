//! The transport between nodes over real connections: peers that die, are silent or send
//! garbage.

#![allow(clippy::unwrap_used)]

use std::io::{Read, Write};
use std::net;
use std::sync;
use std::sync::atomic;
use std::thread;
use std::time::Duration;

use arbutusfold::event;
use arbutusfold::peer;
use arbutusfold::peer::PeerTransport;
use tokio::sync::mpsc;
use tokio::time;

/// Number of connections that end in [`deaths_of_peers_end_no_process`]; the
/// environment variable of [`DEATHS_VARIABLE`] overrides it.
const DEATHS: usize = 1_000;

/// Environment variable with the number of deaths.
const DEATHS_VARIABLE: &str = "ARBUTUSFOLD_PEER_DEATHS";

/// Number of peers that die and come back.
const MORTAL_PEERS: usize = 16;

/// Header that a receiving end sends when a connection opens.
const RECEIVER_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x51, 0, 0];

/// Accepts connections and ends each one after a few messages, as the kernel does
/// when a process is killed.
fn die_again_and_again(listener: &net::TcpListener, deaths: &atomic::AtomicUsize) {
    let mut buffer = [0; 4_096];
    for stream in listener.incoming() {
        let mut stream = stream.unwrap();
        let _ = stream.write_all(&RECEIVER_HEADER);
        let _ = stream.read(&mut buffer);
        let reads = rand::random_range(0..4);
        for _ in 0..reads {
            let _ = stream.read(&mut buffer);
        }
        // Closing a socket with unread bytes resets the connection.
        drop(stream);
        deaths.fetch_add(1, atomic::Ordering::Relaxed);
    }
}

fn run_deaths(senders: usize) {
    let limit = std::env::var(DEATHS_VARIABLE);
    let limit = limit.map_or(DEATHS, |limit| limit.parse().unwrap());
    let deaths = sync::Arc::new(atomic::AtomicUsize::new(0));
    let peers: Vec<_> = (0..MORTAL_PEERS)
        .map(|_| {
            let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
            let address = listener.local_addr().unwrap();
            let deaths = sync::Arc::clone(&deaths);
            thread::spawn(move || die_again_and_again(&listener, &deaths));
            address
        })
        .collect();
    let runtime = tokio::runtime::Runtime::new().unwrap();
    let opened = runtime.block_on(async { open(free_address()) });
    let transport = sync::Arc::new(opened.transport);
    let threads: Vec<_> = (0..senders)
        .map(|_| {
            let transport = sync::Arc::clone(&transport);
            let deaths = sync::Arc::clone(&deaths);
            let peers = peers.clone();
            thread::spawn(move || {
                let message = [7; 200];
                while deaths.load(atomic::Ordering::Relaxed) < limit {
                    peers.iter().for_each(|to| transport.send(*to, &message));
                    thread::sleep(Duration::from_micros(50));
                }
            })
        })
        .collect();
    for thread in threads {
        thread.join().unwrap();
    }
}

/// A transport under test.
struct OpenedTransport {
    address: net::SocketAddr,
    transport: peer::TcpTransport,
    received: mpsc::Receiver<peer::ReceivedMessage>,
    metrics: peer::TransportMetrics,
}

fn open(address: net::SocketAddr) -> OpenedTransport {
    let monitor = peer::TransportMonitor {
        recorder: sync::Arc::new(event::EventRecorder::silent()),
        metrics: peer::TransportMetrics::default(),
    };
    let metrics = monitor.metrics.clone();
    let (transport, received) = peer::TcpTransport::open(address, monitor).unwrap();
    OpenedTransport {
        address,
        transport,
        received,
        metrics,
    }
}

async fn receive(opened: &mut OpenedTransport) -> Vec<u8> {
    let message = time::timeout(Duration::from_secs(5), opened.received.recv());
    message.await.unwrap().unwrap().to_vec()
}

fn free_address() -> net::SocketAddr {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    listener.local_addr().unwrap()
}

#[test]
fn deaths_of_peers_end_no_process() {
    run_deaths(1);
}

#[test]
fn deaths_of_peers_end_no_process_with_several_senders() {
    run_deaths(4);
}

/// Opens a connection to a transport and sends bytes of a test's choice.
fn connect(to: net::SocketAddr, bytes: &[u8]) -> net::TcpStream {
    let mut stream = net::TcpStream::connect(to).unwrap();
    stream.write_all(bytes).unwrap();
    stream
}

const SENDER_HEADER: [u8; 8] = [0, b'S', b'P', 0, 0, 0x50, 0, 0];

fn frame(message: &[u8]) -> Vec<u8> {
    let length = (message.len() as u64).to_be_bytes();
    [&SENDER_HEADER[..], &length[..], message].concat()
}

#[tokio::test]
async fn messages_arrive_in_order() {
    let one = open(free_address());
    let mut other = open(free_address());
    for number in 0..50_u8 {
        one.transport.send(other.address, &[number; 100]);
    }
    for number in 0..50_u8 {
        assert_eq!(receive(&mut other).await, [number; 100]);
    }
}

#[tokio::test]
async fn frames_of_earlier_releases_are_read() {
    let mut opened = open(free_address());
    let mut stream = connect(opened.address, &frame(b"from an earlier release"));
    assert_eq!(receive(&mut opened).await, b"from an earlier release");
    let mut header = [0; 8];
    stream.read_exact(&mut header).unwrap();
    assert_eq!(header, RECEIVER_HEADER);
}

#[tokio::test]
async fn peer_that_comes_back_gets_new_messages_within_a_second() {
    let one = open(free_address());
    let address = free_address();
    let mut other = open(address);
    one.transport.send(address, b"first");
    assert_eq!(receive(&mut other).await, b"first");
    drop(other);
    time::sleep(Duration::from_millis(300)).await;
    let mut other = open(address);
    let started = time::Instant::now();
    let arrived = loop {
        one.transport.send(address, b"second");
        if let Ok(message) = other.received.try_recv() {
            break message.to_vec();
        }
        assert!(started.elapsed() < Duration::from_secs(1));
        time::sleep(Duration::from_millis(10)).await;
    };
    assert_eq!(arrived, b"second");
}

#[tokio::test(flavor = "multi_thread")]
async fn garbage_of_one_peer_costs_others_nothing() {
    let mut opened = open(free_address());
    let oversized = [
        &SENDER_HEADER[..],
        &u64::MAX.to_be_bytes()[..],
        &[1; 64][..],
    ]
    .concat();
    let greatest = (16_u64 << 20).to_be_bytes();
    let half_frame = [&SENDER_HEADER[..], &greatest[..], &[1; 64][..]].concat();
    let silent = connect(opened.address, &[]);
    let half = connect(opened.address, &half_frame);
    let mut refused: Vec<_> = [&[0xff; 64][..], b"GET / HTTP/1.1\r\n\r\n", &oversized]
        .into_iter()
        .map(|bytes| connect(opened.address, bytes))
        .collect();
    let sender = open(free_address());
    sender.transport.send(opened.address, b"sound");
    assert_eq!(receive(&mut opened).await, b"sound");
    for stream in &mut refused {
        let limit = Some(Duration::from_secs(5));
        stream.set_read_timeout(limit).unwrap();
        // The transport sends its header, then closes.
        let mut rest = Vec::new();
        let ended = tokio::task::block_in_place(|| stream.read_to_end(&mut rest));
        assert!(
            ended.is_ok()
                || ended.is_err_and(|error| error.kind() != std::io::ErrorKind::WouldBlock)
        );
    }
    drop((silent, half));
}

#[tokio::test]
async fn peer_that_reads_nothing_holds_up_no_other() {
    let listener = net::TcpListener::bind("127.0.0.1:0").unwrap();
    let stuck = listener.local_addr().unwrap();
    let one = open(free_address());
    let mut other = open(free_address());
    let message = vec![1; 100_000];
    for _ in 0..500 {
        one.transport.send(stuck, &message);
        tokio::task::yield_now().await;
    }
    one.transport.send(other.address, b"sound");
    assert_eq!(receive(&mut other).await, b"sound");
    let labels = peer::metrics::DropLabels {
        cause: peer::metrics::DropCause::SendQueueFull,
    };
    assert!(one.metrics.dropped.get_or_create(&labels).get() > 0);
}

#[tokio::test]
async fn flood_drops_messages_and_costs_bounded_memory() {
    let opened = open(free_address());
    let length = (1_u64 << 20).to_be_bytes();
    let message = [&length[..], &vec![1; 1 << 20][..]].concat();
    let address = opened.address;
    let flood = tokio::task::spawn_blocking(move || {
        let mut stream = connect(address, &SENDER_HEADER);
        // Closing a connection with unread bytes would reset it and lose messages.
        stream.read_exact(&mut [0; 8]).unwrap();
        (0..64).for_each(|_| stream.write_all(&message).unwrap());
        stream
    });
    let _stream = flood.await.unwrap();
    let labels = peer::metrics::DropLabels {
        cause: peer::metrics::DropCause::ReceiveBufferFull,
    };
    let started = time::Instant::now();
    while opened.metrics.received_bytes.get() < 64 << 20 {
        assert!(started.elapsed() < Duration::from_secs(10));
        time::sleep(Duration::from_millis(10)).await;
    }
    // 32 MB may wait to be processed.
    assert_eq!(opened.metrics.dropped.get_or_create(&labels).get(), 32);
}

#[tokio::test]
async fn newest_messages_to_an_absent_peer_arrive_once_it_starts() {
    let one = open(free_address());
    let address = free_address();
    for number in 0..100_u8 {
        one.transport.send(address, &[number]);
    }
    let mut other = open(address);
    // The queue holds 64 messages; older ones gave way.
    assert_eq!(receive(&mut other).await, [36]);
}

#[tokio::test(start_paused = true)]
async fn message_that_waited_too_long_is_dropped() {
    let queue = peer::outbound::SendQueue::default();
    queue.push(b"old", time::Instant::now());
    time::advance(Duration::from_secs(2)).await;
    queue.push(b"new", time::Instant::now());
    let (message, expired) = queue.pop(time::Instant::now());
    assert_eq!((message.as_deref(), expired), (Some(&b"new"[..]), 1));
    assert_eq!(queue.pop(time::Instant::now()), (None, 0));
}

#[tokio::test(start_paused = true)]
async fn queue_of_a_peer_is_bounded_by_bytes() {
    let queue = peer::outbound::SendQueue::default();
    let now = time::Instant::now();
    let message = vec![1; 1 << 20];
    let dropped: usize = (0..6).map(|_| queue.push(&message, now)).sum();
    assert_eq!(dropped, 2);
    // A message over the bound is kept alone.
    assert_eq!(queue.push(&vec![2; 8 << 20], now), 4);
    assert_eq!(queue.pop(now).0.unwrap().len(), 8 << 20);
}
