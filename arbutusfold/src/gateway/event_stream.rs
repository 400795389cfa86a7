//! Events of a stream: cut apart, numbered, each passed on once.

use bytes::{Bytes, BytesMut};

/// Longest event in bytes; a longer one is no event of a runner.
pub const EVENT_LIMIT_BYTES: usize = 1 << 20;

/// One event.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct StreamEvent {
    /// Number of the event, if it has one.
    pub number: Option<u64>,
    /// The event as it came, with the empty line that ends it.
    pub bytes: Bytes,
}

/// Cuts a stream into events.
#[derive(Clone, Debug, Default)]
pub struct EventSplitter {
    buffer: BytesMut,
}

impl EventSplitter {
    /// Takes bytes of the stream.
    pub fn push(&mut self, bytes: &[u8]) {
        self.buffer.extend_from_slice(bytes);
    }

    /// Returns the next whole event.
    pub fn next_event(&mut self) -> Option<StreamEvent> {
        let end = event_end(&self.buffer)?;
        let bytes = self.buffer.split_to(end).freeze();
        Some(StreamEvent {
            number: event_number(&bytes),
            bytes,
        })
    }

    /// Tells whether part of an event is held.
    pub fn is_partial(&self) -> bool {
        !self.buffer.is_empty()
    }

    /// Tells whether more is held than an event may be long.
    pub fn is_over_limit(&self) -> bool {
        self.buffer.len() > EVENT_LIMIT_BYTES
    }
}

/// Returns the place behind the empty line that ends the first event.
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

/// Decides which events of the runs of one stream reach the caller.
#[derive(Clone, Copy, Debug, Default)]
pub struct EventCursor {
    last: Option<u64>,
}

/// What becomes of an event.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventVerdict {
    /// It is the next one.
    Deliver,
    /// The caller has it already.
    Duplicate,
    /// Events before it are missing.
    Gap,
}

impl EventCursor {
    /// Creates the cursor of a caller that has the events up to `last`.
    pub fn after(last: Option<u64>) -> Self {
        Self { last }
    }

    /// Returns the number of the last event that the caller has.
    pub fn last(&self) -> Option<u64> {
        self.last
    }

    /// Takes an event of the current run.
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
