//! Addresses for processes of a fleet are given once.

#![allow(clippy::unwrap_used)]

use arbutusfold_standin::fleet;

/// Addresses that a large fleet may draw before it binds them.
const ADDRESSES: usize = 250;

#[test]
fn drawn_addresses_differ_before_they_are_bound() {
    let mut drawn: Vec<_> = (0..ADDRESSES)
        .map(|_| fleet::free_address().unwrap())
        .collect();
    drawn.sort_unstable();
    drawn.dedup();
    assert_eq!(drawn.len(), ADDRESSES);
}
