//! Stream of a connection that notes its progress and limits the time for a head.

use std::io;
use std::pin;
use std::sync;
use std::task;
use std::time as std_time;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time;

use crate::serve::crowd;

/// A stream that reports its progress to the state of its connection.
#[derive(Debug)]
pub struct WatchedStream<S> {
    stream: S,
    state: sync::Arc<crowd::ConnectionState>,
    /// Longest time from the first byte of a head to its end, if limited.
    head_time: Option<std_time::Duration>,
    /// End of that time for the head that is being received.
    head_end: Option<pin::Pin<Box<time::Sleep>>>,
}

impl<S> WatchedStream<S> {
    /// Wraps a stream.
    pub fn new(
        stream: S,
        state: sync::Arc<crowd::ConnectionState>,
        head_time: Option<std_time::Duration>,
    ) -> Self {
        Self {
            stream,
            state,
            head_time,
            head_end: None,
        }
    }

    /// Returns whether the head that is being received took too long.
    fn poll_head_end(&mut self, context: &mut task::Context<'_>) -> bool {
        let (phase, age) = self.state.phase();
        let Some(limit) = self
            .head_time
            .filter(|_| phase == crowd::ConnectionPhase::Head)
        else {
            self.head_end = None;
            return false;
        };
        let left = limit.saturating_sub(age);
        let end = self
            .head_end
            .get_or_insert_with(|| Box::pin(time::sleep(left)));
        end.as_mut().poll(context).is_ready()
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for WatchedStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let polled = pin::Pin::new(&mut self.stream).poll_read(context, buffer);
        if polled.is_pending() {
            self.state.note_quiet();
            if !self.poll_head_end(context) {
                return task::Poll::Pending;
            }
            self.state.note_late();
            return task::Poll::Ready(Err(io::ErrorKind::TimedOut.into()));
        }
        let is_between = matches!(
            self.state.phase().0,
            crowd::ConnectionPhase::Opened | crowd::ConnectionPhase::Idle
        );
        if is_between && buffer.filled().len() > before {
            self.head_end = None;
            self.state.enter(crowd::ConnectionPhase::Head);
        }
        polled
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for WatchedStream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write(context, bytes);
        self.state.set_blocked(polled.is_pending());
        polled
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        let polled = pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices);
        self.state.set_blocked(polled.is_pending());
        polled
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_flush(context)
    }

    fn poll_shutdown(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_shutdown(context)
    }
}
