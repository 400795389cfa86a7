//! Decisions of the account of callers' memory, each under the load that it answers.

#![allow(clippy::unwrap_used)]

use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold::gateway::memory::{self, GrowVerdict, HoldKind};
use tokio::time;

const KIB: usize = 1 << 10;
const MIB: usize = 1 << 20;

/// Account of a host with 112 MB.
fn small_host() -> memory::AccountState {
    memory::AccountState::new(memory::AccountLimits::of_host(112))
}

fn owner(last: u8, organisation: &str) -> memory::HoldOwner {
    memory::HoldOwner {
        address: net::Ipv4Addr::new(127, 0, 0, last).into(),
        organisation: Some(organisation.to_owned()),
    }
}

fn add(account: &mut memory::AccountState, owner: memory::HoldOwner) -> memory::HoldId {
    account.add(
        owner,
        HoldKind::Incoming,
        sync::Arc::default(),
        time::Instant::now(),
    )
}

fn grow(account: &mut memory::AccountState, id: memory::HoldId, bytes: usize) -> GrowVerdict {
    account.grow(id, bytes, time::Instant::now())
}

/// Fills the part of the account that large bodies may use with incomplete bodies.
fn fill(
    account: &mut memory::AccountState,
    owner: &memory::HoldOwner,
    bytes: usize,
) -> Vec<memory::HoldId> {
    let mut ids = Vec::new();
    loop {
        let id = add(account, owner.clone());
        if grow(account, id, bytes) != GrowVerdict::Granted {
            account.remove(id);
            return ids;
        }
        ids.push(id);
    }
}

#[tokio::test(start_paused = true)]
async fn single_body_of_the_longest_legal_size_is_taken_in_calm() {
    let mut account = small_host();
    let id = add(&mut account, owner(1, "a"));
    assert_eq!(grow(&mut account, id, 4 * MIB), GrowVerdict::Granted);
    account.complete(id);
    account.remove(id);
    assert_eq!(account.used(), 0);
}

#[tokio::test(start_paused = true)]
async fn crowd_of_large_bodies_leaves_a_reserve_for_small_requests_of_its_address() {
    let mut account = small_host();
    let crowd = owner(1, "a");
    let held = fill(&mut account, &crowd, 4 * MIB);
    assert!(held.len() >= 5);
    for _ in 0..100 {
        let small = add(&mut account, crowd.clone());
        assert_eq!(grow(&mut account, small, 8 * KIB), GrowVerdict::Granted);
    }
}

#[tokio::test(start_paused = true)]
async fn crowd_that_stops_just_short_of_its_end_loses_to_a_body_that_progresses() {
    let mut account = small_host();
    let crowd = owner(1, "a");
    let held = fill(&mut account, &crowd, 4 * MIB);
    time::advance(std_time::Duration::from_secs(1)).await;
    let body = add(&mut account, crowd);
    assert_eq!(grow(&mut account, body, 2 * MIB), GrowVerdict::Yielding);
    // One of the crowd was told; its memory is free once it ends.
    assert_eq!(grow(&mut account, body, 2 * MIB), GrowVerdict::Yielding);
    let told: Vec<_> = held
        .into_iter()
        .filter(|id| grow(&mut account, *id, 0) == GrowVerdict::Refused)
        .collect();
    assert_eq!(told.len(), 1);
    account.remove(told[0]);
    assert_eq!(grow(&mut account, body, 2 * MIB), GrowVerdict::Granted);
}

/// A crowd that sends a few bytes at a time progresses all the time.
#[tokio::test(start_paused = true)]
async fn crowd_that_sends_drop_by_drop_loses_to_ordinary_requests() {
    let mut account = small_host();
    let crowd = owner(1, "a");
    let held = fill(&mut account, &crowd, 8 * KIB);
    for _ in 0..20 {
        time::advance(std_time::Duration::from_millis(100)).await;
        held.iter().for_each(|id| {
            grow(&mut account, *id, 0);
        });
    }
    let small = add(&mut account, crowd);
    assert_eq!(grow(&mut account, small, 64 * KIB), GrowVerdict::Yielding);
}

#[tokio::test(start_paused = true)]
async fn address_that_holds_most_gives_way_to_others() {
    let mut account = small_host();
    let held = fill(&mut account, &owner(1, "a"), 4 * MIB);
    let other = add(&mut account, owner(2, "b"));
    assert_eq!(grow(&mut account, other, 4 * MIB), GrowVerdict::Yielding);
    // The crowd itself gets no more by asking again.
    let again = add(&mut account, owner(1, "a"));
    assert_eq!(grow(&mut account, again, 6 * MIB), GrowVerdict::Refused);
    assert!(!held.is_empty());
}

#[tokio::test(start_paused = true)]
async fn organisation_that_holds_most_gives_way_among_those_of_one_address() {
    let mut account = small_host();
    let few = add(&mut account, owner(1, "few"));
    assert_eq!(grow(&mut account, few, 3 * MIB), GrowVerdict::Granted);
    let many = fill(&mut account, &owner(1, "many"), 2 * MIB);
    let asking = add(&mut account, owner(1, "few"));
    assert_eq!(grow(&mut account, asking, MIB), GrowVerdict::Yielding);
    assert_eq!(grow(&mut account, few, 0), GrowVerdict::Granted);
    let told = many
        .into_iter()
        .filter(|id| grow(&mut account, *id, 0) == GrowVerdict::Refused);
    assert_eq!(told.count(), 1);
}

#[tokio::test(start_paused = true)]
async fn complete_requests_never_give_way() {
    let mut account = small_host();
    let crowd = owner(1, "a");
    for id in fill(&mut account, &crowd, 4 * MIB) {
        account.complete(id);
    }
    time::advance(std_time::Duration::from_secs(60)).await;
    let id = add(&mut account, owner(2, "b"));
    assert_eq!(grow(&mut account, id, 4 * MIB), GrowVerdict::Refused);
    let small = add(&mut account, owner(2, "b"));
    assert_eq!(grow(&mut account, small, 8 * KIB), GrowVerdict::Granted);
}

#[tokio::test(start_paused = true)]
async fn answers_that_are_not_read_give_way_after_a_while() {
    let mut account = small_host();
    let signal: sync::Arc<tokio::sync::Notify> = sync::Arc::default();
    let now = time::Instant::now();
    let answer = account.add(
        owner(1, "a"),
        HoldKind::Answer,
        sync::Arc::clone(&signal),
        now,
    );
    account.force(answer, 40 * MIB);
    let small = add(&mut account, owner(2, "b"));
    assert_eq!(grow(&mut account, small, 8 * KIB), GrowVerdict::Refused);
    time::advance(std_time::Duration::from_secs(2)).await;
    assert_eq!(grow(&mut account, small, 8 * KIB), GrowVerdict::Yielding);
    signal.notified().await;
    account.remove(answer);
    assert_eq!(grow(&mut account, small, 8 * KIB), GrowVerdict::Granted);
}

/// A request waits for the memory of one that gives way, and gets it.
#[tokio::test(start_paused = true)]
async fn memory_of_a_dropped_hold_goes_to_the_one_that_waits() {
    let limits = memory::AccountLimits::of_host(112);
    let account = sync::Arc::new(memory::MemoryAccount::new(limits));
    let open = |last| account.open(owner(last, "a"), HoldKind::Incoming, sync::Arc::default());
    let crowd = open(1);
    crowd.grow(account.largest()).await.unwrap();
    let asking = open(2);
    let yielding = async {
        crowd.yielding().await;
        drop(crowd);
    };
    let (granted, ()) = tokio::join!(asking.grow(4 * MIB), yielding);
    granted.unwrap();
    assert_eq!(account.used(), 4 * MIB);
    drop(asking);
    assert_eq!(account.used(), 0);
}

/// A crowd that sends large bodies at full speed would keep the processor from small
/// requests; a single large body is not slowed down.
#[tokio::test(start_paused = true)]
async fn crowd_of_large_bodies_takes_turns() {
    let limits = memory::AccountLimits::of_host(112);
    let account = memory::MemoryAccount::new(limits);
    let began = time::Instant::now();
    for _ in 0..256 {
        account.take_turn().await;
    }
    assert_eq!(began.elapsed(), std_time::Duration::ZERO);
    futures_util::future::join_all((0..50).map(|_| account.take_turn())).await;
    assert!(began.elapsed() >= std_time::Duration::from_millis(49));
}
