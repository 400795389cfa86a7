//! Tests that the server limits what a slow or greedy client can use, and that
//! it finishes responses when it closes.

#![allow(clippy::unwrap_used)]

use std::convert;
use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use arbutusfold::{caller, listen, serve};
use bytes::Bytes;
use http_body_util::{BodyExt, StreamBody};
use hyper::body;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::sync::watch;

/// Number of chunks in a response too large for the socket buffers to hold
/// when the client reads nothing.
const CHUNKS: usize = 20_000;

const CHUNK_BYTES: usize = 4 << 10;

const GET: &[u8] = b"GET / HTTP/1.1\r\nHost: a\r\n\r\n";

/// Counts the responses that are being sent.
#[derive(Clone, Default)]
struct OpenAnswers {
    count: sync::Arc<atomic::AtomicUsize>,
}

struct OpenAnswer {
    answers: OpenAnswers,
    left: usize,
}

impl Drop for OpenAnswer {
    fn drop(&mut self) {
        self.answers.count.fetch_sub(1, atomic::Ordering::SeqCst);
    }
}

impl OpenAnswers {
    fn answer(&self, chunks: usize) -> caller::CallerAnswer {
        self.count.fetch_add(1, atomic::Ordering::SeqCst);
        let open = OpenAnswer {
            answers: self.clone(),
            left: chunks,
        };
        let frames = futures_util::stream::unfold(open, |mut open| async {
            open.left = open.left.checked_sub(1)?;
            let data = Bytes::from_static(&[b'a'; CHUNK_BYTES]);
            Some((Ok::<_, convert::Infallible>(body::Frame::data(data)), open))
        });
        http::Response::new(StreamBody::new(frames).boxed_unsync())
    }

    async fn all_finished(&self, limit: time::Duration) -> bool {
        let finished = async {
            while self.count.load(atomic::Ordering::SeqCst) > 0 {
                tokio::time::sleep(time::Duration::from_millis(10)).await;
            }
        };
        tokio::time::timeout(limit, finished).await.is_ok()
    }
}

fn start(
    limits: serve::ServeLimits,
    chunks: usize,
) -> (net::SocketAddr, OpenAnswers, watch::Sender<bool>) {
    let listener = listen::open("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let answers = OpenAnswers::default();
    let (closing, closed) = watch::channel(false);
    let handler_answers = answers.clone();
    tokio::spawn(serve::serve(listener, limits, closed, move |_request| {
        let answer = handler_answers.answer(chunks);
        async move { Ok(answer) }
    }));
    (address, answers, closing)
}

#[tokio::test]
async fn answer_that_is_not_read_is_given_up() {
    let limits = serve::ServeLimits {
        write_timeout: time::Duration::from_millis(200),
        ..serve::ServeLimits::default()
    };
    let (address, answers, _closing) = start(limits, CHUNKS);
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    socket.write_all(GET).await.unwrap();
    socket.readable().await.unwrap();
    assert!(answers.all_finished(time::Duration::from_secs(10)).await);
}

#[tokio::test]
async fn head_that_does_not_end_is_given_up() {
    let limits = serve::ServeLimits {
        header_timeout: time::Duration::from_millis(200),
        ..serve::ServeLimits::default()
    };
    let (address, _, _closing) = start(limits, 1);
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    socket.write_all(b"GET / HTTP/1.1\r\nHost:").await.unwrap();
    let mut rest = Vec::new();
    let read = socket.read_to_end(&mut rest);
    let ended = tokio::time::timeout(time::Duration::from_secs(10), read).await;
    assert!(ended.is_ok());
}

#[tokio::test]
async fn head_that_is_too_long_is_refused() {
    let (address, answers, _closing) = start(serve::ServeLimits::default(), 1);
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    let head = format!(
        "GET / HTTP/1.1\r\nHost: a\r\nX: {}\r\n\r\n",
        "a".repeat(200_000)
    );
    // The server may close the connection before everything is sent.
    let _ = socket.write_all(head.as_bytes()).await;
    let mut answer = Vec::new();
    let _ = socket.read_to_end(&mut answer).await;
    let answer = String::from_utf8(answer).unwrap();
    assert!(
        answer.is_empty() || answer.starts_with("HTTP/1.1 431"),
        "{answer}"
    );
    assert!(answers.all_finished(time::Duration::ZERO).await);
}

#[tokio::test]
async fn connections_over_the_limit_are_closed_until_others_end() {
    let limits = serve::ServeLimits {
        connections: 2,
        ..serve::ServeLimits::default()
    };
    let (address, _, _closing) = start(limits, 1);
    let connect = async || tokio::net::TcpStream::connect(address).await.unwrap();
    let mut held = [connect().await, connect().await];
    for socket in &mut held {
        socket.write_all(GET).await.unwrap();
        assert!(socket.read_u8().await.is_ok());
    }
    let mut third = connect().await;
    assert!(third.read_u8().await.is_err());
    drop(held);
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let mut fourth = connect().await;
    fourth.write_all(GET).await.unwrap();
    assert!(fourth.read_u8().await.is_ok());
}

/// Connections that send no request keep nobody out where they give way.
#[tokio::test]
async fn silent_connections_give_way_to_new_ones() {
    let limits = serve::ServeLimits {
        connections: 2,
        is_yielding: true,
        streams: None,
        ..serve::ServeLimits::default()
    };
    let (address, _, _closing) = start(limits, 1);
    let connect = async || tokio::net::TcpStream::connect(address).await.unwrap();
    let mut silent = [connect().await, connect().await];
    tokio::time::sleep(time::Duration::from_millis(100)).await;
    let mut third = connect().await;
    third.write_all(GET).await.unwrap();
    assert!(third.read_u8().await.is_ok());
    assert!(silent[0].read_u8().await.is_err());
}

/// A body that nobody reads is not waited for: the answer says that the connection ends.
#[tokio::test]
async fn answer_to_an_unread_body_ends_the_connection() {
    let limits = serve::ServeLimits {
        is_yielding: true,
        streams: None,
        ..serve::ServeLimits::default()
    };
    let (address, _, _closing) = start(limits, 1);
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 1000\r\n\r\n";
    socket.write_all(head.as_bytes()).await.unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await.unwrap();
    let answer = String::from_utf8(answer).unwrap().to_ascii_lowercase();
    assert!(answer.starts_with("http/1.1 200"), "{answer}");
    assert!(answer.contains("connection: close"), "{answer}");
}

/// A client that sends its head drop by drop is closed, an idle one is not.
#[tokio::test]
async fn head_that_takes_too_long_is_given_up_however_it_progresses() {
    let limits = serve::ServeLimits {
        head_time: Some(time::Duration::from_millis(300)),
        streams: None,
        ..serve::ServeLimits::default()
    };
    let (address, _, _closing) = start(limits, 1);
    let mut idle = tokio::net::TcpStream::connect(address).await.unwrap();
    let mut slow = tokio::net::TcpStream::connect(address).await.unwrap();
    let sending = async {
        while slow.write_all(b"X").await.is_ok() {
            tokio::time::sleep(time::Duration::from_millis(50)).await;
        }
    };
    let closed = tokio::time::timeout(time::Duration::from_secs(10), sending).await;
    assert!(closed.is_ok());
    tokio::time::sleep(time::Duration::from_millis(400)).await;
    idle.write_all(GET).await.unwrap();
    assert!(idle.read_u8().await.is_ok());
}

/// A client that sends further requests without reading gets no further answers.
#[tokio::test]
async fn requests_sent_ahead_wait_until_the_answers_are_read() {
    let (address, answers, _closing) = start(serve::ServeLimits::default(), CHUNKS);
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    for _ in 0..100 {
        socket.write_all(GET).await.unwrap();
    }
    socket.readable().await.unwrap();
    tokio::time::sleep(time::Duration::from_millis(200)).await;
    assert_eq!(answers.count.load(atomic::Ordering::SeqCst), 1);
}

#[tokio::test]
async fn answer_in_flight_is_finished_when_the_server_closes() {
    let (address, answers, closing) = start(serve::ServeLimits::default(), CHUNKS);
    let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
    socket.write_all(GET).await.unwrap();
    socket.readable().await.unwrap();
    closing.send(true).unwrap();
    let mut answer = Vec::new();
    socket.read_to_end(&mut answer).await.unwrap();
    assert!(answer.len() > CHUNKS * CHUNK_BYTES);
    assert!(answer.ends_with(b"0\r\n\r\n"));
    assert!(answers.all_finished(time::Duration::from_secs(1)).await);
}

/// A client that sends on after its answer gets no more than some seconds: it would
/// keep the place of another one.
#[tokio::test]
async fn client_that_sends_on_after_its_answer_is_closed_in_time() {
    let limits = serve::ServeLimits {
        connections: 1,
        ..serve::ServeLimits::default()
    };
    let (address, _, _closing) = start(limits, 1);
    let mut greedy = tokio::net::TcpStream::connect(address).await.unwrap();
    let head = "POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 999999999\r\n\r\n";
    greedy.write_all(head.as_bytes()).await.unwrap();
    let sending = async {
        while greedy.write_all(&[b'x'; CHUNK_BYTES]).await.is_ok() {
            tokio::time::sleep(time::Duration::from_millis(10)).await;
        }
    };
    let closed = tokio::time::timeout(time::Duration::from_secs(5), sending).await;
    assert!(closed.is_ok());
    let mut second = tokio::net::TcpStream::connect(address).await.unwrap();
    second.write_all(GET).await.unwrap();
    assert!(second.read_u8().await.is_ok());
}

/// Guards against connections that are reset because the listener closes while many
/// of them wait to be accepted.
#[tokio::test]
async fn all_connections_that_wait_are_served_when_the_server_closes() {
    let listener = listen::open("127.0.0.1:0".parse().unwrap()).unwrap();
    let address = listener.local_addr().unwrap();
    let mut waiting = Vec::new();
    for _ in 0..300 {
        let mut socket = tokio::net::TcpStream::connect(address).await.unwrap();
        socket.write_all(GET).await.unwrap();
        waiting.push(socket);
    }
    let (_closing, closed) = watch::channel(true);
    let answers = OpenAnswers::default();
    let limits = serve::ServeLimits::default();
    let serving = serve::serve(listener, limits, closed, move |_request| {
        let answer = answers.answer(1);
        async move { Ok(answer) }
    });
    let serving = tokio::spawn(serving);
    let mut unanswered = 0;
    for socket in &mut waiting {
        let mut answer = Vec::new();
        let read = socket.read_to_end(&mut answer).await;
        unanswered += usize::from(read.is_err() || !answer.ends_with(b"0\r\n\r\n"));
    }
    assert_eq!(unanswered, 0);
    serving.await.unwrap();
}
