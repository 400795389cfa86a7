//! The documented catalogue of events lists exactly the events in the code.

#![allow(clippy::unwrap_used)]

use arbutusfold::event;

#[test]
fn catalogue_lists_every_event() {
    let catalogue = include_str!("../../docs/EVENTS.md");
    let documented: Vec<_> = catalogue
        .lines()
        .filter_map(|line| line.strip_prefix("| "))
        .filter(|line| line.starts_with(|first: char| first.is_ascii_digit()))
        .map(|line| {
            let mut cells = line.split('|').map(str::trim);
            let number: u16 = cells.next().unwrap().parse().unwrap();
            (number, cells.next().unwrap().to_owned())
        })
        .collect();
    let defined: Vec<_> = event::EventCode::ALL
        .iter()
        .map(|code| (code.number(), code.name().to_owned()))
        .collect();
    assert_eq!(documented, defined);
}
