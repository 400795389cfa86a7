//! Closing of a connection whose client may still be sending.
//!
//! Closing a socket with unread bytes resets the connection, and a reset discards
//! what the client has not read yet, which can be a complete answer. So the sending
//! half is closed first, and what still arrives is read and discarded for a while.

use std::io;
use std::pin;
use std::task;
use std::time as std_time;

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::time;

/// Time without bytes from the client after which the connection is closed. It is
/// longer than usual round trips between regions.
const SILENCE_LIMIT: std_time::Duration = std_time::Duration::from_millis(500);

/// Longest time for which bytes are discarded.
const LINGER_LIMIT: std_time::Duration = std_time::Duration::from_secs(2);

/// Bytes that are read at a time.
const READ_BYTES: usize = 16 << 10;

/// Bytes that are discarded before each pause. In all this is more than clients
/// usually have in transit.
const DISCARD_BYTES: usize = 64 << 10;

/// Pause that keeps a client that sends on from taking much of the processor.
const DISCARD_PAUSE: std_time::Duration = std_time::Duration::from_millis(50);

/// A stream that discards what still arrives after it was shut down.
#[derive(Debug)]
pub struct LingeringStream<S> {
    stream: S,
    closing: Option<ClosingState>,
}

/// State of a stream whose sending half is closed.
#[derive(Debug)]
struct ClosingState {
    /// End of the time without bytes.
    silence: pin::Pin<Box<time::Sleep>>,
    deadline: time::Instant,
    /// Bytes discarded since the latest pause.
    discarded: usize,
    /// End of the pause.
    pause: Option<pin::Pin<Box<time::Sleep>>>,
}

impl<S> LingeringStream<S> {
    /// Wraps a stream.
    pub fn new(stream: S) -> Self {
        Self {
            stream,
            closing: None,
        }
    }
}

impl<S: AsyncRead + Unpin> LingeringStream<S> {
    /// Discards bytes until the client closes its half or a limit is reached.
    fn poll_discard(&mut self, context: &mut task::Context<'_>) -> task::Poll<()> {
        let closing = self.closing.get_or_insert_with(|| ClosingState {
            silence: Box::pin(time::sleep(SILENCE_LIMIT)),
            deadline: time::Instant::now() + LINGER_LIMIT,
            discarded: 0,
            pause: None,
        });
        let mut bytes = [0; READ_BYTES];
        loop {
            if let Some(pause) = &mut closing.pause {
                task::ready!(pause.as_mut().poll(context));
                closing.pause = None;
            }
            let mut buffer = ReadBuf::new(&mut bytes);
            match pin::Pin::new(&mut self.stream).poll_read(context, &mut buffer) {
                task::Poll::Ready(Ok(())) if !buffer.filled().is_empty() => {
                    let silent_until = time::Instant::now() + SILENCE_LIMIT;
                    let end = silent_until.min(closing.deadline);
                    closing.silence.as_mut().reset(end);
                    if time::Instant::now() >= closing.deadline {
                        return task::Poll::Ready(());
                    }
                    closing.discarded += buffer.filled().len();
                    if closing.discarded >= DISCARD_BYTES {
                        closing.discarded = 0;
                        closing.pause = Some(Box::pin(time::sleep(DISCARD_PAUSE)));
                    }
                }
                // The client closed its half or reset the connection.
                task::Poll::Ready(_) => return task::Poll::Ready(()),
                task::Poll::Pending => return closing.silence.as_mut().poll(context),
            }
        }
    }
}

impl<S: AsyncRead + Unpin> AsyncRead for LingeringStream<S> {
    fn poll_read(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        buffer: &mut ReadBuf<'_>,
    ) -> task::Poll<io::Result<()>> {
        pin::Pin::new(&mut self.stream).poll_read(context, buffer)
    }
}

impl<S: AsyncRead + AsyncWrite + Unpin> AsyncWrite for LingeringStream<S> {
    fn poll_write(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        bytes: &[u8],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write(context, bytes)
    }

    fn poll_write_vectored(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
        slices: &[io::IoSlice<'_>],
    ) -> task::Poll<io::Result<usize>> {
        pin::Pin::new(&mut self.stream).poll_write_vectored(context, slices)
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
        if self.closing.is_none() {
            task::ready!(pin::Pin::new(&mut self.stream).poll_shutdown(context))?;
        }
        task::ready!(self.poll_discard(context));
        task::Poll::Ready(Ok(()))
    }
}
