//! Bytes on a tunnel in both directions, each with a bounded buffer.
//!
//! A node reads the tunnel all the time, so that the kernel notices the loss of the
//! other host at any moment. What holds a sender back is the credit that the receiver
//! grants as it passes bytes on.

use std::io;
use std::pin;
use std::sync;
use std::sync::atomic;
use std::task as std_task;
use std::time as std_time;

use arbutusfold_platform::link;
use bytes::{Buf, BytesMut};
use futures_util::{SinkExt, StreamExt, stream};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt};
use tokio::sync as tokio_sync;
use tokio::{io as tokio_io, task, time};

use crate::peer::tunnel;

/// Most bytes in one direction that were sent and not passed on yet.
pub const WINDOW_BYTES: usize = 64 << 10;

/// Bytes passed on after which the sender gets new credit.
const CREDIT_STEP_BYTES: usize = WINDOW_BYTES / 4;

/// Time that the asking node has to close a tunnel whose target broke off. Closing
/// it at once could discard the last frames on their way.
const CLOSE_TIME: std_time::Duration = std_time::Duration::from_secs(5);

type FrameSink = stream::SplitSink<tunnel::TunnelFrames, tunnel::TunnelFrame>;
type FrameStream = stream::SplitStream<tunnel::TunnelFrames>;

/// How the bytes from the other node end.
#[derive(Clone, Debug, PartialEq, Eq)]
enum FlowEnd {
    /// The target broke off.
    Broken,
    /// The tunnel was lost.
    Way(String),
}

/// Received bytes that were not passed on yet.
#[derive(Debug, Default)]
struct FlowInbox {
    bytes: BytesMut,
    /// Whether the sender has closed its direction; the other one may go on.
    is_closed: bool,
    /// How both directions ended.
    end: Option<FlowEnd>,
}

/// State that both directions share.
#[derive(Debug)]
struct FlowState {
    inbox: sync::Mutex<FlowInbox>,
    /// Signals new bytes or the end in the inbox.
    received: tokio_sync::Notify,
    /// Bytes that may be sent.
    credit: atomic::AtomicUsize,
    /// Bytes that were received and not granted again yet.
    held: atomic::AtomicUsize,
    /// Those of them that were passed on.
    passed: atomic::AtomicUsize,
    /// Signals more credit, or that credit is to be granted.
    changed: tokio_sync::Notify,
}

impl FlowState {
    fn new() -> Self {
        Self {
            inbox: sync::Mutex::default(),
            received: tokio_sync::Notify::new(),
            credit: atomic::AtomicUsize::new(WINDOW_BYTES),
            held: atomic::AtomicUsize::new(0),
            passed: atomic::AtomicUsize::new(0),
            changed: tokio_sync::Notify::new(),
        }
    }

    fn inbox(&self) -> sync::MutexGuard<'_, FlowInbox> {
        self.inbox
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }

    fn end(&self, end: FlowEnd) {
        self.inbox().end = Some(end);
        self.received.notify_one();
    }

    /// Processes a frame; returns whether it is the last one.
    fn accept(&self, frame: tunnel::TunnelFrame) -> Result<bool, tunnel::FrameError> {
        match frame {
            tunnel::TunnelFrame::Data(bytes) => {
                let held = self.held.fetch_add(bytes.len(), atomic::Ordering::Relaxed);
                if held + bytes.len() > WINDOW_BYTES {
                    return Err(tunnel::FrameError::OverCredit);
                }
                let mut inbox = self.inbox();
                if inbox.is_closed {
                    return Err(tunnel::FrameError::OutOfTurn);
                }
                inbox.bytes.extend_from_slice(&bytes);
                drop(inbox);
                self.received.notify_one();
            }
            tunnel::TunnelFrame::Credit(credit) => {
                let credit = credit as usize;
                let before = self.credit.load(atomic::Ordering::Relaxed);
                if before.saturating_add(credit) > WINDOW_BYTES {
                    return Err(tunnel::FrameError::OverCredit);
                }
                self.credit.fetch_add(credit, atomic::Ordering::Relaxed);
                self.changed.notify_one();
            }
            tunnel::TunnelFrame::End => {
                if std::mem::replace(&mut self.inbox().is_closed, true) {
                    return Err(tunnel::FrameError::OutOfTurn);
                }
                self.received.notify_one();
            }
            tunnel::TunnelFrame::Broken => {
                self.end(FlowEnd::Broken);
                return Ok(true);
            }
            tunnel::TunnelFrame::Reply(_) => return Err(tunnel::FrameError::OutOfTurn),
        }
        Ok(false)
    }
}

/// Receives frames until the tunnel or the target breaks; returns how.
async fn receive(state: &FlowState, frames: &mut FrameStream) -> FlowEnd {
    loop {
        let accepted = match frames.next().await {
            Some(Ok(frame)) => state.accept(frame).map_err(|error| error.to_string()),
            Some(Err(error)) => Err(error.to_string()),
            None => Err("closed by the other node".to_owned()),
        };
        match accepted {
            Ok(false) => {}
            Ok(true) => return FlowEnd::Broken,
            Err(reason) => return FlowEnd::Way(reason),
        }
    }
}

/// Passes received bytes on to `local`; returns when nothing more may come.
async fn deliver(state: &FlowState, local: &mut (impl AsyncWrite + Unpin)) -> io::Result<FlowEnd> {
    let mut ready = BytesMut::new();
    let mut is_shut = false;
    loop {
        let (is_closed, end) = {
            let mut inbox = state.inbox();
            std::mem::swap(&mut inbox.bytes, &mut ready);
            (inbox.is_closed, inbox.end.clone())
        };
        if !ready.is_empty() {
            pass_on(state, &mut ready, local).await?;
        } else if is_closed && !is_shut {
            is_shut = true;
            local.shutdown().await?;
        } else if let Some(end) = end {
            return Ok(end);
        } else {
            state.received.notified().await;
        }
    }
}

/// Writes `ready` to `local` and grants credit for what was written.
async fn pass_on(
    state: &FlowState,
    ready: &mut BytesMut,
    local: &mut (impl AsyncWrite + Unpin),
) -> io::Result<()> {
    while !ready.is_empty() {
        let part = ready.len().min(CREDIT_STEP_BYTES);
        local.write_all(&ready[..part]).await?;
        ready.advance(part);
        let before = state.passed.fetch_add(part, atomic::Ordering::Relaxed);
        if before + part >= CREDIT_STEP_BYTES {
            state.changed.notify_one();
        }
    }
    local.flush().await
}

/// How `local` broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum LocalBreak {
    /// It ended before any byte.
    Unanswered,
    Later,
}

/// Sends what `local`, the target or the asking node's own end, yields and the credit
/// of the other direction. Returns when `local` broke.
async fn send(
    state: &FlowState,
    local: &mut (impl AsyncRead + Unpin),
    frames: &mut FrameSink,
    is_target: bool,
) -> io::Result<LocalBreak> {
    let mut buffer = BytesMut::new();
    let mut is_open = true;
    let mut local_break = LocalBreak::Unanswered;
    loop {
        let passed = state.passed.load(atomic::Ordering::Relaxed);
        if passed >= CREDIT_STEP_BYTES {
            state.passed.fetch_sub(passed, atomic::Ordering::Relaxed);
            state.held.fetch_sub(passed, atomic::Ordering::Relaxed);
            let frame = tunnel::TunnelFrame::Credit(passed as u32);
            frames.send(frame).await?;
        }
        let credit = state.credit.load(atomic::Ordering::Relaxed);
        let part = credit.min(tunnel::DATA_LIMIT_BYTES);
        buffer.reserve(part);
        let mut limited = bytes::BufMut::limit(&mut buffer, part);
        tokio::select! {
            () = state.changed.notified() => {}
            read = local.read_buf(&mut limited), if is_open && part > 0 => match read {
                // An end without an answer may be due to the way as well.
                Ok(0) if is_target && local_break == LocalBreak::Unanswered => {
                    return Ok(local_break);
                }
                Ok(0) => {
                    is_open = false;
                    frames.send(tunnel::TunnelFrame::End).await?;
                }
                Ok(length) => {
                    local_break = LocalBreak::Later;
                    state.credit.fetch_sub(length, atomic::Ordering::Relaxed);
                    let data = buffer.split().freeze();
                    frames.send(tunnel::TunnelFrame::Data(data)).await?;
                }
                Err(_) => return Ok(local_break),
            },
        }
    }
}

/// Tells breaks of a target from those of the way to it.
#[async_trait::async_trait]
pub trait TargetJudge: Send + Sync {
    /// Returns whether this node has a way to targets, so that the end of a connection
    /// before any byte of its target is due to the target.
    async fn has_way(&self) -> bool;
}

/// Passes bytes between a tunnel and `target` until one of them ends.
///
/// The target is closed as soon as the tunnel is. If the way to the target was lost,
/// the tunnel ends like one whose node is lost.
pub async fn serve(
    frames: tunnel::TunnelFrames,
    target: impl AsyncRead + AsyncWrite + Unpin,
    judge: &dyn TargetJudge,
) {
    let (mut sink, mut stream) = frames.split();
    let state = FlowState::new();
    let (mut reader, mut writer) = tokio_io::split(target);
    let is_target_lost = {
        let sending = async {
            let Ok(local_break) = send(&state, &mut reader, &mut sink, true).await else {
                // The receiving direction ends as well and shows why.
                return std::future::pending().await;
            };
            let is_own = local_break == LocalBreak::Later || judge.has_way().await;
            is_own && sink.send(tunnel::TunnelFrame::Broken).await.is_ok()
        };
        let delivering = async {
            // A target that takes no more bytes may still have an answer to send.
            let _ = deliver(&state, &mut writer).await;
            std::future::pending::<()>().await
        };
        tokio::select! {
            _ = receive(&state, &mut stream) => false,
            is_broken = sending => is_broken,
            () = delivering => true,
        }
    };
    drop((reader, writer));
    if is_target_lost {
        let rest = async { while let Some(Ok(_)) = stream.next().await {} };
        // The asking node closes the connection once it has read the end.
        let _ = time::timeout(CLOSE_TIME, rest).await;
    }
}

/// What a tunnel reports to at the asking node.
pub trait TunnelMonitor: Send + Sync {
    /// Records that the tunnel was lost, which is not due to its target.
    fn note_lost(&self, reason: &str);
}

/// The asking node's end of a tunnel: the bytes from and to the target. Dropping it
/// closes the tunnel.
#[derive(Debug)]
pub struct TunnelBytes {
    bytes: tokio_io::DuplexStream,
    end: sync::Arc<sync::OnceLock<FlowEnd>>,
    task: task::JoinHandle<()>,
}

impl TunnelBytes {
    /// Starts to pass bytes; `monitor` is dropped when the tunnel ends.
    pub fn start(frames: tunnel::TunnelFrames, monitor: impl TunnelMonitor + 'static) -> Self {
        let (bytes, local) = tokio_io::duplex(tunnel::DATA_LIMIT_BYTES);
        let end = sync::Arc::new(sync::OnceLock::new());
        let shared = sync::Arc::clone(&end);
        let task = tokio::spawn(async move {
            flow(frames, local, &shared, &monitor).await;
        });
        Self { bytes, end, task }
    }

    /// Returns the error that follows the last byte, if the target did not simply
    /// close the connection.
    fn error(&self) -> Option<io::Error> {
        match self.end.get()? {
            FlowEnd::Broken => Some(io::ErrorKind::ConnectionReset.into()),
            FlowEnd::Way(reason) => {
                let reason = reason.clone();
                Some(link::WayError { reason }.into())
            }
        }
    }
}

impl Drop for TunnelBytes {
    fn drop(&mut self) {
        self.task.abort();
    }
}

/// Passes bytes until the tunnel or the target ends, then sets `end`.
async fn flow(
    frames: tunnel::TunnelFrames,
    local: tokio_io::DuplexStream,
    end: &sync::OnceLock<FlowEnd>,
    monitor: &impl TunnelMonitor,
) {
    let (mut sink, mut stream) = frames.split();
    let state = FlowState::new();
    let (mut reader, mut writer) = tokio_io::split(local);
    let receiving = async {
        let received = receive(&state, &mut stream).await;
        state.end(received);
        std::future::pending::<FlowEnd>().await
    };
    let sending = async {
        // What was received before is delivered, then the loss that ended it.
        let _ = send(&state, &mut reader, &mut sink, false).await;
        std::future::pending::<FlowEnd>().await
    };
    let delivering = async {
        let delivered = deliver(&state, &mut writer).await;
        delivered.unwrap_or_else(|error| FlowEnd::Way(error.to_string()))
    };
    let ended = tokio::select! {
        ended = delivering => ended,
        ended = receiving => ended,
        ended = sending => ended,
    };
    if let FlowEnd::Way(reason) = &ended {
        monitor.note_lost(reason);
    }
    // The reader of the other half gets this after the last byte, and may drop the
    // tunnel then.
    let _ = end.set(ended);
}

impl AsyncRead for TunnelBytes {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut std_task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> std_task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let read = pin::Pin::new(&mut self.bytes).poll_read(context, buffer);
        let is_end = buffer.filled().len() == before && buffer.remaining() > 0;
        match (read, self.error()) {
            (std_task::Poll::Ready(Ok(())), Some(error)) if is_end => {
                std_task::Poll::Ready(Err(error))
            }
            (read, _) => read,
        }
    }
}

impl AsyncWrite for TunnelBytes {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut std_task::Context<'_>,
        bytes: &[u8],
    ) -> std_task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.bytes).poll_write(context, bytes);
        match (written, self.error()) {
            (std_task::Poll::Ready(Err(_)), Some(error)) => std_task::Poll::Ready(Err(error)),
            (written, _) => written,
        }
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut std_task::Context<'_>,
    ) -> std_task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.bytes).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut std_task::Context<'_>,
    ) -> std_task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.bytes).poll_shutdown(context)
    }
}
