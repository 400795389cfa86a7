//! Bytes of a direct connection, which show whether the way to the runner works.

use std::io;
use std::net;
use std::pin;
use std::sync;
use std::task as std_task;
use std::time as std_time;

use tokio::io as tokio_io;
use tokio::io::{AsyncRead, AsyncWrite};
use tokio::time;

use crate::gateway::dial;
use crate::gateway::direct;
use crate::gateway::reach;

/// Least time between two records that a runner is heard on one connection. It is short
/// against the times after which a silence matters.
const HEARD_PERIOD: std_time::Duration = std_time::Duration::from_millis(50);

/// Records what a direct connection shows of its way.
pub struct DirectWatch {
    context: dial::DialContext,
    book: sync::Arc<sync::Mutex<reach::ReachBook>>,
    address: net::SocketAddr,
    began_at: time::Instant,
    wait: Option<reach::WaitNumber>,
    /// When the latest bytes were recorded.
    heard_at: Option<time::Instant>,
    is_ended: bool,
}

impl DirectWatch {
    /// Creates the watch of a connection to `address` that was begun at `began_at`.
    pub fn new(
        context: dial::DialContext,
        book: sync::Arc<sync::Mutex<reach::ReachBook>>,
        address: net::SocketAddr,
        began_at: time::Instant,
    ) -> Self {
        Self {
            context,
            book,
            address,
            began_at,
            wait: None,
            heard_at: None,
            is_ended: false,
        }
    }

    fn note_sent(&mut self) {
        if self.wait.is_none() && self.heard_at.is_none() {
            let number = self.book().begin_wait(time::Instant::now());
            self.wait = Some(number);
        }
    }

    fn note_heard(&mut self) {
        let now = time::Instant::now();
        let heard_at = self.heard_at;
        if heard_at.is_some_and(|at| now.saturating_duration_since(at) < HEARD_PERIOD) {
            return;
        }
        self.heard_at = Some(now);
        let wait = self.wait.take();
        let mut book = self.book();
        let Some(sent_at) = wait.and_then(|number| book.end_wait(number)) else {
            book.note_heard(now);
            return;
        };
        let took = now.saturating_duration_since(sent_at);
        let regained = book.note_answered(self.address, self.began_at, took, now);
        drop(book);
        direct::note_regained(&self.context, self.address, regained);
    }

    fn note_written(&mut self, written: &std_task::Poll<io::Result<usize>>) {
        match written {
            std_task::Poll::Ready(Ok(_)) => self.note_sent(),
            std_task::Poll::Ready(Err(error)) => self.note_error(error),
            std_task::Poll::Pending => {}
        }
    }

    fn note_error(&mut self, error: &io::Error) {
        self.note_end(&format!("ended before an answer: {error}"));
    }

    /// Records the end of what the runner sends.
    fn note_end(&mut self, cause: &str) {
        if self.heard_at.is_none() && !std::mem::replace(&mut self.is_ended, true) {
            let now = time::Instant::now();
            self.book()
                .note_unanswered(self.address, cause, self.began_at, now);
        }
    }

    fn book(&self) -> sync::MutexGuard<'_, reach::ReachBook> {
        self.book
            .lock()
            .unwrap_or_else(sync::PoisonError::into_inner)
    }
}

impl Drop for DirectWatch {
    fn drop(&mut self) {
        if let Some(number) = self.wait {
            self.book().end_wait(number);
        }
    }
}

/// Bytes from and to a runner on a direct connection.
pub struct DirectBytes {
    bytes: Box<dyn dial::RunnerBytes>,
    watch: DirectWatch,
}

impl DirectBytes {
    /// Creates the bytes of a connection that `watch` observes.
    pub fn new(bytes: Box<dyn dial::RunnerBytes>, watch: DirectWatch) -> Self {
        Self { bytes, watch }
    }
}

impl AsyncRead for DirectBytes {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut std_task::Context<'_>,
        buffer: &mut tokio_io::ReadBuf<'_>,
    ) -> std_task::Poll<io::Result<()>> {
        let before = buffer.filled().len();
        let has_room = buffer.remaining() > 0;
        let read = pin::Pin::new(&mut self.bytes).poll_read(context, buffer);
        match &read {
            std_task::Poll::Ready(Ok(())) if buffer.filled().len() > before => {
                self.watch.note_heard();
            }
            std_task::Poll::Ready(Ok(())) if has_room => {
                self.watch.note_end("closed before an answer");
            }
            std_task::Poll::Ready(Err(error)) => self.watch.note_error(error),
            _ => {}
        }
        read
    }
}

impl AsyncWrite for DirectBytes {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut std_task::Context<'_>,
        bytes: &[u8],
    ) -> std_task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.bytes).poll_write(context, bytes);
        self.watch.note_written(&written);
        written
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut std_task::Context<'_>,
        parts: &[io::IoSlice<'_>],
    ) -> std_task::Poll<io::Result<usize>> {
        let written = pin::Pin::new(&mut self.bytes).poll_write_vectored(context, parts);
        self.watch.note_written(&written);
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.bytes.is_write_vectored()
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
