//! Selection of caller addresses: balance, stability and spread over failure domains.

#![allow(clippy::unwrap_used)]

use std::net;

use arbutusfold::address;
use arbutusfold::member;

/// Number of callers per host.
const CALLERS: usize = 250;

fn record(number: usize, domains: usize) -> member::MemberRecord {
    let last = (number % 250) as u8;
    let third = (number / 250) as u8;
    member::MemberRecord {
        name: format!("entry-{number}"),
        incarnation: 1,
        revision: 1,
        region: "peru-central".to_owned(),
        domain: format!("pe-{}", number % domains),
        callers: net::SocketAddr::from(([10, 0, third, last], 8_000)),
        peers: net::SocketAddr::from(([10, 0, third, last], 7_000)),
        version: 0,
        phase: member::MemberPhase::Serving,
    }
}

fn records(count: usize) -> Vec<member::MemberRecord> {
    (0..count).map(|number| record(number, 3)).collect()
}

fn first_addresses(members: &[member::MemberRecord], callers: usize) -> Vec<net::SocketAddr> {
    let selector = address::AddressSelector::new(members, &[]);
    (0..callers)
        .map(|caller| {
            selector
                .best_host(&format!("caller-{caller}"))
                .unwrap()
                .callers
        })
        .collect()
}

fn max_load_ratio(members: &[member::MemberRecord], first_addresses: &[net::SocketAddr]) -> f64 {
    let counts = members.iter().map(|record| {
        first_addresses
            .iter()
            .filter(|first| **first == record.callers)
            .count()
    });
    let mean = first_addresses.len() as f64 / members.len() as f64;
    counts.max().unwrap() as f64 / mean
}

#[test]
fn callers_spread_evenly_and_a_lost_host_moves_few() {
    for count in [9, 40, 400] {
        let members = records(count);
        let callers = count * CALLERS;
        let before = first_addresses(&members, callers);
        assert!(max_load_ratio(&members, &before) <= 1.25, "{count} hosts");
        let ends = if count < 100 {
            vec![0, count - 1]
        } else {
            vec![count / 2]
        };
        for lost in ends {
            let mut fewer = members.clone();
            fewer.remove(lost);
            let after = first_addresses(&fewer, callers);
            assert!(
                max_load_ratio(&fewer, &after) <= 1.25,
                "{count} hosts less one"
            );
            let moved = before.iter().zip(&after).filter(|(old, new)| old != new);
            let moved = moved.count() as f64 / callers as f64;
            let limit = 1.5 / count as f64;
            assert!(
                moved <= limit,
                "{moved} of the callers of {count} hosts moved"
            );
        }
    }
}

#[test]
fn answer_begins_with_the_best_host() {
    let selector = address::AddressSelector::new(&records(9), &[]);
    for caller in 0..200 {
        let caller = format!("caller-{caller}");
        let first = selector.best_host(&caller).unwrap().callers;
        assert_eq!(selector.addresses_for(&caller, &[])[0], first);
    }
}

#[test]
fn answer_holds_a_host_of_every_domain_first() {
    let members: Vec<_> = (0..30).map(|number| record(number, 5)).collect();
    let selector = address::AddressSelector::new(&members, &[]);
    for caller in 0..500 {
        let addresses = selector.addresses_for(&format!("caller-{caller}"), &[]);
        assert_eq!(addresses.len(), 6);
        let mut domains: Vec<_> = addresses[..5]
            .iter()
            .map(|address| members.iter().find(|record| record.callers == *address))
            .map(|record| record.unwrap().domain.clone())
            .collect();
        domains.sort_unstable();
        domains.dedup();
        assert_eq!(domains.len(), 5);
    }
}

#[test]
fn second_addresses_spread_the_callers_of_a_dead_host() {
    let members = records(9);
    let selector = address::AddressSelector::new(&members, &[]);
    let dead = members[0].callers;
    let lists = (0..9_000).map(|caller| selector.addresses_for(&format!("caller-{caller}"), &[]));
    let seconds: Vec<_> = lists
        .filter(|addresses| addresses[0] == dead)
        .map(|addresses| addresses[1])
        .collect();
    // The second address is one of the six hosts in the two other failure domains.
    let counts: Vec<_> = members
        .iter()
        .map(|record| {
            seconds
                .iter()
                .filter(|second| **second == record.callers)
                .count()
        })
        .filter(|count| *count > 0)
        .collect();
    assert_eq!(counts.len(), 6);
    let mean = seconds.len() as f64 / 6.0;
    assert!(counts.iter().all(|count| (*count as f64) < mean * 1.25));
}

#[test]
fn hosts_that_do_not_serve_are_never_named() {
    let mut members = records(9);
    members[3].phase = member::MemberPhase::Leaving;
    members[4].phase = member::MemberPhase::Joining;
    let selector = address::AddressSelector::new(&members, &[]);
    for caller in 0..2_000 {
        let addresses = selector.addresses_for(&format!("caller-{caller}"), &[]);
        assert!(!addresses.contains(&members[3].callers));
        assert!(!addresses.contains(&members[4].callers));
    }
}

#[test]
fn caller_that_names_its_organisation_is_sent_to_its_nodes() {
    let members = records(30);
    let view = member::MemberView::default();
    let mut sorted = members.clone();
    sorted.sort_by(|left, right| left.name.cmp(&right.name));
    view.publish(sorted, member::RemoteRegions::default());
    let assigned = view.nodes_for("novia-lima");
    for caller in 0..200 {
        let addresses = view.addresses_for(&format!("caller-{caller}"), Some("novia-lima"));
        let first = members.iter().find(|record| record.callers == addresses[0]);
        assert!(assigned.contains(&first.unwrap().name));
    }
}
