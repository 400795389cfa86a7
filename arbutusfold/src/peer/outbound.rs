//! Sending of messages to one peer: its queue, its connection and the attempts to
//! connect again.

use std::collections;
use std::convert;
use std::io;
use std::net;
use std::sync;
use std::time as std_time;

use bytes::Bytes;
use futures_util::SinkExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use tokio::sync as tokio_sync;
use tokio::time;
use tokio_util::codec;

use crate::event;
use crate::peer::frame;
use crate::peer::metrics;
use crate::peer::transport;

/// Maximum number of messages in the queue of a peer.
const QUEUE_MESSAGES: usize = 64;

/// Maximum number of bytes in the queue of a peer, unless it holds one message only.
const QUEUE_BYTES: usize = 4 << 20;

/// Time after which a message that was not sent is dropped. Senders repeat what
/// must arrive, and an old message would only displace a newer one.
const MESSAGE_AGE_LIMIT: std_time::Duration = std_time::Duration::from_secs(2);

/// Time after which the first unanswered attempt to connect gives way to a new
/// one. The kernel repeats its opening packet only after a second, and a peer that
/// starts meanwhile would be found that late.
const CONNECT_START: std_time::Duration = std_time::Duration::from_millis(150);

/// Longest time for one attempt to connect; it doubles with each unanswered one.
const CONNECT_LIMIT: std_time::Duration = std_time::Duration::from_millis(2_400);

/// Pause after the first refused attempt to connect.
const PAUSE_START: std_time::Duration = std_time::Duration::from_millis(20);

/// Longest such pause; it doubles with each refused attempt.
const PAUSE_LIMIT: std_time::Duration = std_time::Duration::from_millis(500);

/// Time for which sent bytes may stay unacknowledged until the connection counts
/// as broken. A peer that lost its power does not reset its connections.
const UNACKNOWLEDGED_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_500);

/// Bytes that are collected before they are written to the socket.
const WRITE_BYTES: usize = 64 << 10;

/// Initial size of the write buffer; most messages are smaller.
const WRITE_BUFFER_BYTES: usize = 1 << 10;

/// Messages that wait to be sent to one peer. The oldest give way to new ones.
#[derive(Debug, Default)]
pub struct SendQueue {
    state: sync::Mutex<QueueState>,
    filled: tokio_sync::Notify,
}

#[derive(Debug, Default)]
struct QueueState {
    messages: collections::VecDeque<QueuedMessage>,
    bytes: usize,
}

#[derive(Debug)]
struct QueuedMessage {
    body: Bytes,
    queued_at: time::Instant,
}

impl SendQueue {
    /// Adds a message and returns how many older ones were dropped for it.
    pub fn push(&self, message: &[u8], now: time::Instant) -> usize {
        let mut state = self.lock();
        let mut dropped = 0;
        while state.messages.len() >= QUEUE_MESSAGES
            || (!state.messages.is_empty() && state.bytes + message.len() > QUEUE_BYTES)
        {
            state.pop();
            dropped += 1;
        }
        state.bytes += message.len();
        state.messages.push_back(QueuedMessage {
            body: Bytes::copy_from_slice(message),
            queued_at: now,
        });
        drop(state);
        self.filled.notify_one();
        dropped
    }

    /// Removes the oldest message that is not too old; also returns how many were.
    pub fn pop(&self, now: time::Instant) -> (Option<Bytes>, usize) {
        let mut state = self.lock();
        let mut expired = 0;
        while let Some(message) = state.pop() {
            if now.saturating_duration_since(message.queued_at) < MESSAGE_AGE_LIMIT {
                return (Some(message.body), expired);
            }
            expired += 1;
        }
        (None, expired)
    }

    /// Waits until there is a message.
    async fn wait(&self) {
        while self.lock().messages.is_empty() {
            self.filled.notified().await;
        }
    }

    fn lock(&self) -> sync::MutexGuard<'_, QueueState> {
        self.state
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl QueueState {
    fn pop(&mut self) -> Option<QueuedMessage> {
        let message = self.messages.pop_front()?;
        self.bytes -= message.body.len();
        Some(message)
    }
}

/// Sends the messages of a queue to a peer. Never returns.
///
/// It connects when there is a message, and again after the connection broke.
pub async fn run(
    to: net::SocketAddr,
    queue: sync::Arc<SendQueue>,
    monitor: transport::TransportMonitor,
) {
    let subject = to.to_string();
    let mut connect_time = CONNECT_START;
    let mut pause = PAUSE_START;
    let mut lost_at: Option<time::Instant> = None;
    loop {
        queue.wait().await;
        let connecting = time::timeout(connect_time, connect(to));
        let error = match connecting.await {
            Ok(Ok(stream)) => {
                connect_time = CONNECT_START;
                pause = PAUSE_START;
                if let Some(lost_at) = lost_at.take() {
                    let detail = format!("lost_ms={}", lost_at.elapsed().as_millis());
                    let code = event::EventCode::PeerLinkRegained;
                    monitor.recorder.record(code, &subject, detail);
                }
                let cause = send_until_lost(stream, &queue, &monitor.metrics).await;
                monitor.metrics.lost.inc();
                cause
            }
            Ok(Err(error)) => {
                time::sleep(pause).await;
                pause = (pause * 2).min(PAUSE_LIMIT);
                error
            }
            Err(_) => {
                connect_time = (connect_time * 2).min(CONNECT_LIMIT);
                io::ErrorKind::TimedOut.into()
            }
        };
        if lost_at.is_none() {
            lost_at = Some(time::Instant::now());
            let code = event::EventCode::PeerLinkLost;
            monitor
                .recorder
                .record(code, &subject, format!("cause={error}"));
        }
    }
}

async fn connect(to: net::SocketAddr) -> io::Result<tokio_net::TcpStream> {
    let stream = tokio_net::TcpStream::connect(to).await?;
    // Nagle's algorithm would delay small messages until earlier ones are acknowledged.
    stream.set_nodelay(true)?;
    socket2::SockRef::from(&stream).set_tcp_user_timeout(Some(UNACKNOWLEDGED_LIMIT))?;
    Ok(stream)
}

/// Sends messages until the connection breaks, and returns the cause.
async fn send_until_lost(
    stream: tokio_net::TcpStream,
    queue: &SendQueue,
    counters: &metrics::TransportMetrics,
) -> io::Error {
    let (reader, writer) = stream.into_split();
    let Err(error) = tokio::select! {
        ended = watch_end(reader) => ended,
        ended = send_messages(writer, queue, counters) => ended,
    };
    error
}

/// Checks the header of the receiving end, then waits until it closes the connection.
async fn watch_end(mut reader: tokio_net::tcp::OwnedReadHalf) -> io::Result<convert::Infallible> {
    let mut header = [0; frame::HEADER_BYTES];
    reader.read_exact(&mut header).await?;
    if header != frame::RECEIVER_HEADER {
        return Err(io::ErrorKind::InvalidData.into());
    }
    match reader.read_u8().await {
        // The receiving end sends nothing after its header.
        Ok(_) => Err(io::ErrorKind::InvalidData.into()),
        Err(error) => Err(error),
    }
}

async fn send_messages(
    mut writer: tokio_net::tcp::OwnedWriteHalf,
    queue: &SendQueue,
    counters: &metrics::TransportMetrics,
) -> io::Result<convert::Infallible> {
    writer.write_all(&frame::SENDER_HEADER).await?;
    let mut frames = codec::FramedWrite::with_capacity(writer, frame::codec(), WRITE_BUFFER_BYTES);
    frames.set_backpressure_boundary(WRITE_BYTES);
    loop {
        queue.wait().await;
        loop {
            let (message, expired) = queue.pop(time::Instant::now());
            counters.count_dropped(metrics::DropCause::Expired, expired);
            let Some(message) = message else { break };
            counters.sent_bytes.inc_by(message.len() as u64);
            frames.feed(message).await?;
        }
        SinkExt::<Bytes>::flush(&mut frames).await?;
    }
}
