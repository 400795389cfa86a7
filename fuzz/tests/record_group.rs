//! Group commit: writes of one node share transactions.

#![allow(clippy::unwrap_used)]

use std::sync;
use std::time as std_time;

use arbutusfold::{event, platform, record};
use arbutusfold_fuzz::fake;
use tokio::time;

fn keeper(table: &fake::FakeTable, host: &str) -> sync::Arc<record::RecordKeeper> {
    let table: sync::Arc<dyn platform::TableClient> = sync::Arc::new(table.clone());
    let recorder = sync::Arc::new(event::EventRecorder::silent());
    let keeper = sync::Arc::new(record::RecordKeeper::new(table, recorder, host.to_owned()));
    let looped = sync::Arc::clone(&keeper);
    tokio::spawn(async move { looped.run().await });
    keeper
}

fn key(number: usize) -> record::RecordKey {
    record::RecordKey {
        organisation: "te-ara".to_owned(),
        service: "bond".to_owned(),
        idempotency: number.to_string(),
    }
}

#[tokio::test(start_paused = true)]
async fn a_conflict_of_one_row_does_not_fail_its_group() {
    let table = fake::FakeTable::new(1, std_time::Duration::from_millis(20));
    let other = keeper(&table, "entry-0");
    let now = time::Instant::now();
    let taken = other.start(&key(3), "digest", now).await.unwrap();
    assert!(matches!(taken, record::RecordDecision::Run(_)));

    let own = keeper(&table, "entry-1");
    let before = table.commits();
    let starts = (0..8).map(|number| {
        let own = sync::Arc::clone(&own);
        async move {
            own.start(&key(number), "digest", time::Instant::now())
                .await
        }
    });
    let decisions = futures_util::future::join_all(starts).await;
    for (number, decision) in decisions.into_iter().enumerate() {
        let runs = matches!(decision, Ok(record::RecordDecision::Run(_)));
        assert_eq!(runs, number != 3, "key {number}: {decision:?}");
    }
    assert!(
        table.commits() - before <= 2,
        "{} writes",
        table.commits() - before
    );
}

#[tokio::test(start_paused = true)]
async fn two_resends_on_one_node_in_one_group_run_once() {
    let table = fake::FakeTable::new(1, std_time::Duration::from_millis(20));
    let own = keeper(&table, "entry-1");
    let now = time::Instant::now();
    let (key_one, key_two) = (key(1), key(1));
    let (one, two) = tokio::join!(
        own.start(&key_one, "digest", now),
        own.start(&key_two, "digest", now)
    );
    let runs = [one, two]
        .iter()
        .filter(|decision| matches!(decision, Ok(record::RecordDecision::Run(_))))
        .count();
    assert_eq!(runs, 1);
}

#[tokio::test(start_paused = true)]
async fn an_outage_is_no_reason_to_say_not_run() {
    let table = fake::FakeTable::new(1, std_time::Duration::from_millis(20));
    table.set_weather(fake::TableWeather {
        outage: true,
        faults: 0,
    });
    let own = keeper(&table, "entry-1");
    let begun = time::Instant::now();
    let refused = own.start(&key(1), "digest", begun).await;
    assert!(matches!(refused, Err(record::RecordError::Unknown { .. })));
    // The caller hears so within the time of four calls.
    assert!(begun.elapsed() < std_time::Duration::from_secs(7));
}
