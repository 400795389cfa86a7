//! Receiving of messages on the connections that peers dial.

use std::io;
use std::sync;
use std::time as std_time;

use bytes::BytesMut;
use derive_more::Deref;
use futures_util::StreamExt;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net as tokio_net;
use tokio::sync as tokio_sync;
use tokio::sync::mpsc;
use tokio::time;
use tokio_util::codec;

use crate::peer::frame;
use crate::peer::metrics;

/// Maximum number of received messages that the node has not processed yet.
const BUFFER_MESSAGES: usize = 4_096;

/// Maximum number of bytes of such messages.
const BUFFER_BYTES: usize = 32 << 20;

/// Maximum number of connections that peers dialled.
const CONNECTION_LIMIT: usize = 1_024;

/// Time after which a connection without a complete message is closed. Peers close
/// a connection that they do not use before that.
const MESSAGE_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(60);

/// Time within which the header of a new connection must arrive.
const HEADER_TIMEOUT: std_time::Duration = std_time::Duration::from_secs(5);

/// Pause after an error of accepting, such as a lack of descriptors.
const ACCEPT_PAUSE: std_time::Duration = std_time::Duration::from_millis(50);

/// Initial size of the read buffer; most messages are smaller.
const READ_BUFFER_BYTES: usize = 1 << 10;

/// A message that arrived. It counts towards the limit of buffered bytes until it
/// is dropped.
#[derive(Debug, Deref)]
pub struct ReceivedMessage {
    #[deref(forward)]
    body: BytesMut,
    _share: tokio_sync::OwnedSemaphorePermit,
}

/// Serves connections that a node opens for something else than messages.
#[async_trait::async_trait]
pub trait TunnelAcceptor: Send + Sync {
    /// Reads what the node asks for, within a few seconds.
    ///
    /// # Errors
    ///
    /// The reason why the connection is closed.
    async fn open(&self, stream: tokio_net::TcpStream) -> io::Result<Box<dyn TunnelSession>>;
}

/// A connection whose opening is complete.
#[async_trait::async_trait]
pub trait TunnelSession: Send {
    /// Serves the connection until it ends.
    async fn run(self: Box<Self>);
}

/// Acceptor of tunnels, once one is attached.
pub type AcceptorSlot = sync::Arc<sync::OnceLock<sync::Arc<dyn TunnelAcceptor>>>;

/// Passes received messages on to the node.
#[derive(Clone, Debug)]
pub struct MessageSender {
    messages: mpsc::Sender<ReceivedMessage>,
    /// A permit for each byte that may be buffered.
    free_bytes: sync::Arc<tokio_sync::Semaphore>,
    counters: metrics::TransportMetrics,
}

/// Returns the two ends of the buffer of received messages.
pub fn channel(
    counters: metrics::TransportMetrics,
) -> (MessageSender, mpsc::Receiver<ReceivedMessage>) {
    let (messages, receiver) = mpsc::channel(BUFFER_MESSAGES);
    let sender = MessageSender {
        messages,
        free_bytes: sync::Arc::new(tokio_sync::Semaphore::new(BUFFER_BYTES)),
        counters,
    };
    (sender, receiver)
}

impl MessageSender {
    /// Passes a message on, or drops it if too many wait.
    fn pass(&self, body: BytesMut) {
        let length = body.len();
        self.counters.received_bytes.inc_by(length as u64);
        let share = sync::Arc::clone(&self.free_bytes).try_acquire_many_owned(length as u32);
        let passed = share.is_ok_and(|share| {
            let message = ReceivedMessage {
                body,
                _share: share,
            };
            self.messages.try_send(message).is_ok()
        });
        if !passed {
            let cause = metrics::DropCause::ReceiveBufferFull;
            self.counters.count_dropped(cause, 1);
        }
    }
}

/// Accepts connections and receives their messages. Never returns.
pub async fn serve(
    listener: tokio_net::TcpListener,
    sender: MessageSender,
    acceptor: AcceptorSlot,
) {
    let places = sync::Arc::new(tokio_sync::Semaphore::new(CONNECTION_LIMIT));
    // Ends the connections together with this future.
    let mut connections = tokio::task::JoinSet::new();
    loop {
        while connections.try_join_next().is_some() {}
        let stream = match listener.accept().await {
            Ok((stream, _)) => stream,
            Err(_) => {
                time::sleep(ACCEPT_PAUSE).await;
                continue;
            }
        };
        let Ok(place) = sync::Arc::clone(&places).try_acquire_owned() else {
            continue;
        };
        let sender = sender.clone();
        let acceptor = sync::Arc::clone(&acceptor);
        connections.spawn(async move {
            sender.counters.inbound.inc();
            // The peer that dialled notices the end and connects again.
            let received = receive(stream, &sender, &acceptor).await;
            sender.counters.inbound.dec();
            drop(place);
            // The session has its own limit of connections.
            if let Ok(Some(session)) = received {
                session.run().await;
            }
        });
    }
}

/// Receives messages until the connection ends or breaks the protocol. Returns the
/// session if the peer opened a tunnel.
async fn receive(
    mut stream: tokio_net::TcpStream,
    sender: &MessageSender,
    acceptor: &AcceptorSlot,
) -> io::Result<Option<Box<dyn TunnelSession>>> {
    stream.write_all(&frame::RECEIVER_HEADER).await?;
    let mut header = [0; frame::HEADER_BYTES];
    time::timeout(HEADER_TIMEOUT, stream.read_exact(&mut header)).await??;
    if header == frame::TUNNEL_HEADER
        && let Some(acceptor) = acceptor.get()
    {
        let opening = time::timeout(HEADER_TIMEOUT, acceptor.open(stream));
        return opening.await?.map(Some);
    }
    if header != frame::SENDER_HEADER {
        return Err(io::ErrorKind::InvalidData.into());
    }
    let mut frames = codec::FramedRead::with_capacity(stream, frame::codec(), READ_BUFFER_BYTES);
    while let Some(message) = time::timeout(MESSAGE_TIMEOUT, frames.next()).await? {
        sender.pass(message?);
    }
    Ok(None)
}
