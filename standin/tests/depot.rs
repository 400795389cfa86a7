//! The stand-in's stores and its lagging list of hosts.

#![allow(clippy::unwrap_used)]

use std::time as std_time;

use arbutusfold::platform;
use arbutusfold_standin::depot;
use tokio::time;

fn host(name: &str) -> platform::ListedHost {
    platform::ListedHost {
        name: name.to_owned(),
        address: "127.0.0.1:1".parse().unwrap(),
        domain: "pe-a".to_owned(),
        leaving: false,
    }
}

#[tokio::test(start_paused = true)]
async fn list_shows_a_change_after_its_lag() {
    let depot = depot::PlatformDepot::default();
    for (name, lag_ms) in [("old", 0), ("new", 500)] {
        depot.change_hosts(depot::HostChange {
            hosts: vec![host(name)],
            lag_ms,
        });
    }
    assert_eq!(depot.hosts(), [host("old")]);
    time::advance(std_time::Duration::from_millis(500)).await;
    assert_eq!(depot.hosts(), [host("new")]);
}

#[tokio::test(start_paused = true)]
async fn fetches_of_weights_share_the_rate() {
    let depot = depot::PlatformDepot::default();
    let fetch = depot::WeightFetch {
        bytes: depot::WEIGHT_BYTES_PER_SECOND,
    };
    let begun = time::Instant::now();
    tokio::join!(depot.fetch(&fetch), depot.fetch(&fetch));
    assert_eq!(begun.elapsed(), std_time::Duration::from_secs(2));
}

#[test]
fn object_is_kept_byte_for_byte() {
    let depot = depot::PlatformDepot::default();
    depot.put("letters/1", bytes::Bytes::from_static(&[0, 255, 10]));
    assert_eq!(depot.get("letters/1").unwrap().as_ref(), [0, 255, 10]);
    assert_eq!(depot.get("letters/2"), None);
}
