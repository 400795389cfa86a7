//! Server-sent events: splits a byte stream into events and removes duplicates
//! after a resume.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes; runners send no longer ones. All streams of a host can hold
/// that much at once.
pub const EVENT_LIMIT_BYTES: usize = 128 << 10;

/// One server-sent event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number from the `id` field, if there is one.
    pub number: Option<u64>,
    /// Unchanged bytes of the event, including the empty line that ends it.
    pub bytes: Bytes,
}

impl StreamEvent {
    /// Returns whether it consists of comments and empty lines.
    pub fn is_comment(&self) -> bool {
        let mut lines = self.bytes.split(|byte| *byte == b'\n');
        lines.all(|line| matches!(line.first(), None | Some(b':' | b'\r')))
    }
}

/// Splits a byte stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Appends bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next complete event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        Some(StreamEvent {
            number: event_number(&bytes),
            bytes,
        })
    }

    /// Returns whether the buffer holds an incomplete event.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Returns whether the buffer exceeds [`EVENT_LIMIT_BYTES`].
    pub fn is_over_limit(&self) -> bool {
        self.buffer.len() > EVENT_LIMIT_BYTES
    }
}

/// Returns the index after the empty line that ends the first event.
fn event_end(bytes: &[u8]) -> Option<usize> {
    let mut line_start = 0;
    for (index, byte) in bytes.iter().enumerate() {
        if *byte != b'\n' {
            continue;
        }
        let line = &bytes[line_start..index];
        if line_start > 0 && (line.is_empty() || line == b"\r") {
            return Some(index + 1);
        }
        line_start = index + 1;
    }
    None
}

fn event_number(bytes: &[u8]) -> Option<u64> {
    let text = std::str::from_utf8(bytes).ok()?;
    let mut lines = text.lines();
    let number = lines.find_map(|line| line.strip_prefix("id:"))?;
    number.trim().parse().ok()
}

/// Position of a caller in a stream, kept over all attempts. It decides which
/// events are delivered.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCursor {
    last: Option<u64>,
}

/// Decision about an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// It is the first or the next event, or has no number.
    Deliver,
    /// The caller already has it.
    Duplicate,
    /// At least one event before it is missing.
    Gap,
    /// It has no number where another run is to continue the stream, so it may be
    /// no part of it.
    Unnumbered,
}

impl EventVerdict {
    /// Returns why the run that sent the event is of no use, or `None` if it is.
    pub fn fault(self) -> Option<&'static str> {
        match self {
            Self::Deliver | Self::Duplicate => None,
            Self::Gap => Some("an event is missing"),
            Self::Unnumbered => Some("an event without a number does not continue the stream"),
        }
    }
}

impl EventCursor {
    /// Creates the cursor of a caller that has all events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Checks the first event of another run and advances if it is the next one.
    pub fn accept_first(&mut self, event: &StreamEvent) -> EventVerdict {
        let continues = self.last.is_none() || event.number.is_some() || event.is_comment();
        match continues {
            true => self.accept(event),
            false => EventVerdict::Unnumbered,
        }
    }

    /// Checks an event of the current attempt and advances if it is the next one.
    pub fn accept(&mut self, event: &StreamEvent) -> EventVerdict {
        let Some(number) = event.number else {
            return EventVerdict::Deliver;
        };
        match self.last {
            Some(last) if number <= last => return EventVerdict::Duplicate,
            Some(last) if number > last + 1 => return EventVerdict::Gap,
            _ => {}
        }
        self.last = Some(number);
        EventVerdict::Deliver
    }
}
