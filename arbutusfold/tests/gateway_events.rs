//! Splitting streams into events and resuming them without duplicates.

#![allow(clippy::unwrap_used)]

use arbutusfold::gateway::event_stream;

fn events(splitter: &mut event_stream::EventSplitter) -> Vec<event_stream::StreamEvent> {
    std::iter::from_fn(|| splitter.next_event()).collect()
}

#[test]
fn events_are_the_same_however_the_bytes_are_cut() {
    let text = b"id: 1\ndata: a\n\nid: 2\r\ndata: b\r\n\r\nid: 3\ndata: c\n\n";
    for size in 1..text.len() {
        let mut splitter = event_stream::EventSplitter::default();
        let mut seen = Vec::new();
        for chunk in text.chunks(size) {
            splitter.push(chunk);
            seen.extend(events(&mut splitter));
        }
        let numbers: Vec<_> = seen.iter().map(|event| event.number).collect();
        assert_eq!(numbers, [Some(1), Some(2), Some(3)], "parts of {size}");
        let joined: Vec<_> = seen.iter().flat_map(|event| event.bytes.to_vec()).collect();
        assert_eq!(joined, text);
        assert!(!splitter.is_partial());
    }
}

#[test]
fn incomplete_event_is_not_passed_on() {
    let mut splitter = event_stream::EventSplitter::default();
    splitter.push(b"id: 1\ndata: a\n\nid: 2\ndata: b\n");
    assert_eq!(events(&mut splitter).len(), 1);
    assert!(splitter.is_partial());
}

#[test]
fn resumed_stream_delivers_each_event_once_and_without_gaps() {
    let event = |number| event_stream::StreamEvent {
        number: Some(number),
        bytes: bytes::Bytes::new(),
    };
    let mut cursor = event_stream::EventCursor::after(Some(4));
    assert_eq!(
        cursor.accept(&event(4)),
        event_stream::EventVerdict::Duplicate
    );
    assert_eq!(
        cursor.accept(&event(5)),
        event_stream::EventVerdict::Deliver
    );
    assert_eq!(
        cursor.accept(&event(5)),
        event_stream::EventVerdict::Duplicate
    );
    assert_eq!(cursor.accept(&event(7)), event_stream::EventVerdict::Gap);
    assert_eq!(
        cursor.accept(&event(6)),
        event_stream::EventVerdict::Deliver
    );
    assert_eq!(cursor.last(), Some(6));
}
