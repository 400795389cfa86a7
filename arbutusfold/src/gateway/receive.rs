//! Receiving of bodies and sending of answers within the account of memory.

use std::pin;
use std::sync;
use std::task;
use std::time as std_time;

use bytes::{Bytes, BytesMut};
use http_body_util::BodyExt;
use hyper::body;
use tokio::time;

use crate::gateway::memory;
use crate::gateway::response;
use crate::serve;
use crate::serve::crowd;

/// Memory of a request beside the bytes of its head and body.
const REQUEST_BYTES: usize = 4 << 10;

/// Memory of a header field beside its bytes.
const FIELD_BYTES: usize = 96;

/// First size of the buffer of a body whose length is not known.
const FIRST_BUFFER_BYTES: usize = 4 << 10;

/// Part of a body that is received in one turn, and after which its progress is noted,
/// in bytes.
const TURN_BYTES: usize = 16 << 10;

/// Work for each frame of a body, as the bytes that could be copied meanwhile.
const FRAME_BYTES: usize = 512;

/// Size up to which the buffers of a connection account for a part of an answer.
const BUFFERED_BYTES: usize = 4 << 10;

/// Time after which a caller may come back that was refused for lack of memory. Slow
/// bodies have given way by then.
const MEMORY_RETRY_AFTER: std_time::Duration = std_time::Duration::from_secs(1);

/// Bytes that an entry of the account belongs to.
struct HeldBytes {
    bytes: Vec<u8>,
    _hold: memory::MemoryHold,
}

impl AsRef<[u8]> for HeldBytes {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

/// A body that was not received.
#[derive(Debug)]
pub enum ReceiveError {
    /// It is longer than the limit.
    TooLong,
    /// The account has no memory for it.
    NoMemory,
    /// The deadline has passed.
    TimedOut,
    /// It broke off.
    Broken(hyper::Error),
}

impl ReceiveError {
    /// Converts the error of a request's body to the refusal of the request, which has not
    /// run.
    pub fn to_refusal(&self) -> response::GatewayRefusal {
        let failed = response::GatewayRefusal::failed;
        match self {
            Self::TooLong => failed(
                http::StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too long".to_owned(),
            ),
            Self::NoMemory => {
                let cause = "callers hold all memory for requests";
                response::GatewayRefusal::not_run(cause, MEMORY_RETRY_AFTER)
            }
            Self::TimedOut => failed(
                http::StatusCode::REQUEST_TIMEOUT,
                "the body did not come in time".to_owned(),
            ),
            Self::Broken(error) => failed(
                http::StatusCode::BAD_REQUEST,
                format!("the body broke off: {error}"),
            ),
        }
    }
}

/// Returns the memory that the head of a request takes, in bytes.
pub fn head_bytes(parts: &http::request::Parts) -> usize {
    let fields = parts
        .headers
        .iter()
        .map(|(name, value)| FIELD_BYTES + name.as_str().len() + value.len());
    let target = parts.uri.path_and_query();
    let target = target.map_or(0, |target| target.as_str().len());
    REQUEST_BYTES + target + fields.sum::<usize>()
}

/// Receives a body into one buffer, which takes from the account as it grows. Parts
/// of any size cost no more than their bytes.
///
/// # Errors
///
/// [`ReceiveError`] if the body is too long, late or broken, or gave way to others.
pub async fn read_body(
    mut body: body::Incoming,
    limit_bytes: usize,
    deadline: time::Instant,
    account: &memory::MemoryAccount,
    hold: memory::MemoryHold,
    connection: Option<&crowd::ConnectionState>,
) -> Result<Bytes, ReceiveError> {
    let limit_bytes = limit_bytes.min(account.largest());
    let declared = body::Body::size_hint(&body).exact();
    let declared = declared.map(|length| usize::try_from(length).unwrap_or(usize::MAX));
    if declared.is_some_and(|length| length > limit_bytes) {
        return Err(ReceiveError::TooLong);
    }
    let capacity_limit = declared.unwrap_or(limit_bytes);
    let mut bytes = Vec::new();
    let mut work = 0;
    loop {
        if work >= TURN_BYTES {
            work = 0;
            hold.progress();
            if let Some(connection) = connection {
                connection.enter(crowd::ConnectionPhase::Body);
            }
            account.take_turn().await;
        }
        let frame = tokio::select! {
            biased;
            () = hold.yielding() => return Err(ReceiveError::NoMemory),
            frame = time::timeout_at(deadline, body.frame()) => frame,
        };
        let frame = frame.map_err(|_| ReceiveError::TimedOut)?;
        let Some(frame) = frame.transpose().map_err(ReceiveError::Broken)? else {
            break;
        };
        let Ok(data) = frame.into_data() else {
            continue;
        };
        let length = bytes.len() + data.len();
        if length > limit_bytes {
            return Err(ReceiveError::TooLong);
        }
        if length > bytes.capacity() {
            let doubled = (bytes.capacity() * 2).max(FIRST_BUFFER_BYTES);
            let capacity = doubled.min(capacity_limit).max(length);
            let granted = hold.grow(capacity - bytes.capacity());
            granted.await.map_err(|_| ReceiveError::NoMemory)?;
            bytes.reserve_exact(capacity - bytes.len());
        }
        bytes.extend_from_slice(&data);
        work += data.len() + FRAME_BYTES;
    }
    hold.complete();
    if let Some(connection) = connection {
        connection.enter(crowd::ConnectionPhase::Answering);
    }
    Ok(Bytes::from_owner(HeldBytes { bytes, _hold: hold }))
}

/// Reads a body of up to `limit_bytes` that is in no account.
///
/// # Errors
///
/// [`ReceiveError`] if the body is too long, late or broken.
pub async fn read_unheld(
    mut body: body::Incoming,
    limit_bytes: usize,
    deadline: time::Instant,
) -> Result<Bytes, ReceiveError> {
    let mut bytes = BytesMut::new();
    loop {
        let frame = time::timeout_at(deadline, body.frame()).await;
        let frame = frame.map_err(|_| ReceiveError::TimedOut)?;
        let Some(frame) = frame.transpose().map_err(ReceiveError::Broken)? else {
            return Ok(bytes.freeze());
        };
        let data = frame.into_data().unwrap_or_default();
        if bytes.len() + data.len() > limit_bytes {
            return Err(ReceiveError::TooLong);
        }
        bytes.extend_from_slice(&data);
    }
}

/// Body of an answer whose large parts are held in the account until they are sent.
pub struct HeldAnswer {
    /// Body of the answer.
    pub body: response::GatewayBody,
    /// Account of the process.
    pub account: sync::Arc<memory::MemoryAccount>,
    /// Connection of the caller.
    pub connection: serve::RequestConnection,
}

/// Part of an answer that an entry of the account belongs to.
struct HeldPart {
    bytes: Bytes,
    _hold: memory::MemoryHold,
}

impl AsRef<[u8]> for HeldPart {
    fn as_ref(&self) -> &[u8] {
        &self.bytes
    }
}

impl HeldAnswer {
    fn hold(&self, bytes: Bytes) -> Bytes {
        if bytes.len() <= BUFFERED_BYTES {
            return bytes;
        }
        let serve::RequestConnection(connection) = &self.connection;
        let owner = memory::HoldOwner {
            address: connection.address(),
            organisation: None,
        };
        let signal = connection.close_signal();
        let hold = self.account.open(owner, memory::HoldKind::Answer, signal);
        hold.force(bytes.len());
        Bytes::from_owner(HeldPart { bytes, _hold: hold })
    }
}

impl body::Body for HeldAnswer {
    type Data = Bytes;
    type Error = response::BodyError;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, response::BodyError>>> {
        let polled = pin::Pin::new(&mut self.body).poll_frame(context);
        polled.map(|frame| {
            frame.map(|frame| frame.map(|frame| frame.map_data(|bytes| self.hold(bytes))))
        })
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> body::SizeHint {
        self.body.size_hint()
    }
}
