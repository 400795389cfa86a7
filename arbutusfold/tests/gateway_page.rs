//! Pages of the store with rows that cannot be decoded.

#![allow(clippy::unwrap_used)]

use std::net;
use std::sync;
use std::sync::atomic;
use std::time;

use arbutusfold_platform::store;
use arbutusfold_platform_standin::server;

/// Rows that cannot be decoded; those with a key and a version name a row.
const ODD_ROWS: [&str; 9] = [
    r#"{"table":"servers","key":"i-2","ver":7,"value":"no base64!"}"#,
    r#"{"table":"servers","key":"i-3","ver":8,"value":7}"#,
    r#"{"table":"servers","key":3,"ver":9,"value":"eA=="}"#,
    r#"{"table":"servers","key":"i-4","ver":-1,"value":"eA=="}"#,
    r#"{"table":"servers","key":"i-5","ver":99999999999999999999,"value":"eA=="}"#,
    r#"{"table":"servers","ver":9,"value":"eA=="}"#,
    r#"{"key":[],"ver":{}}"#,
    "null",
    "7",
];

const SOUND_ROWS: [&str; 2] = [
    r#"{"table":"servers","key":"i-1","ver":5,"value":"eA=="}"#,
    r#"{"table":"servers","key":"i-9","ver":11,"value":"eQ=="}"#,
];

/// Guards against one row that keeps a node from following a table: no other row of
/// its page, and no later page, would be used.
#[tokio::test]
async fn odd_row_leaves_the_others_of_its_page() {
    let rows = [&SOUND_ROWS[..1], &ODD_ROWS, &SOUND_ROWS[1..]].concat();
    let body = format!(
        r#"{{"rows":[{}],"hasMore":false,"ver":12}}"#,
        rows.join(",")
    );
    let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = move |_| {
        let body = body.clone();
        async move { Some(server::complete_answer(200, body)) }
    };
    let server = server::StandinServer::start(any_port, answer)
        .await
        .unwrap();
    let client = store::StoreClient::new(server.address(), time::Duration::from_secs(1));
    let table = store::WatchedTable::Runners;
    let wait = time::Duration::ZERO;
    for page in [
        client.snapshot(table).await,
        client
            .changes(table, store::RowVersion::new(0, 4), wait)
            .await,
    ] {
        let page = page.unwrap();
        let rows: Vec<_> = page
            .rows
            .iter()
            .map(|row| {
                (
                    row.key.as_str(),
                    row.version.number,
                    row.value.as_ref().map(|value| value.len()),
                )
            })
            .collect();
        let expected = [
            ("i-1", 5, Some(1)),
            ("i-2", 7, Some(0)),
            ("i-3", 8, Some(0)),
            ("i-9", 11, Some(1)),
        ];
        assert_eq!(rows, expected);
        assert_eq!(page.version.number, 12);
        assert_eq!(page.faults.len(), ODD_ROWS.len());
    }
}

/// Guards against runners that are dropped although they live: a page of which no row
/// can be decoded names no place at which the next one starts, and would end the table.
#[tokio::test]
async fn page_without_a_readable_row_does_not_end_the_table() {
    let body = format!(r#"{{"rows":[{}],"hasMore":true,"ver":12}}"#, ODD_ROWS[8]);
    let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let answer = move |_| {
        let body = body.clone();
        async move { Some(server::complete_answer(200, body)) }
    };
    let server = server::StandinServer::start(any_port, answer)
        .await
        .unwrap();
    let client = store::StoreClient::new(server.address(), time::Duration::from_secs(1));
    let table = store::WatchedTable::Runners;
    assert!(client.snapshot(table).await.is_err());
}

/// Guards against pages of one table that come from two copies of the store.
#[tokio::test]
async fn table_whose_pages_come_from_two_eras_is_read_again() {
    let calls = sync::Arc::new(atomic::AtomicU64::new(0));
    let counted = sync::Arc::clone(&calls);
    let answer = move |_| {
        let call = counted.fetch_add(1, atomic::Ordering::Relaxed);
        let more = call == 0;
        let body = format!(
            r#"{{"rows":[{{"table":"op","part":"","key":"k{call}","ver":3,"value":"YQ=="}}],
            "hasMore":{more},"ver":5,"nowMs":1}}"#
        );
        let mut answer = server::complete_answer(200, body);
        answer.headers_mut().insert("store-era", (call + 1).into());
        async move { Some(answer) }
    };
    let any_port = net::SocketAddr::from(([127, 0, 0, 1], 0));
    let server = server::StandinServer::start(any_port, answer)
        .await
        .unwrap();
    let client = store::StoreClient::new(server.address(), time::Duration::from_secs(1));
    let error = client
        .snapshot(store::WatchedTable::Operator)
        .await
        .unwrap_err();
    assert_eq!(error, store::StoreError::HistoryLost);
    let page = client
        .snapshot(store::WatchedTable::Operator)
        .await
        .unwrap();
    assert_eq!(
        (page.version, client.era()),
        (store::RowVersion::new(3, 5), 3)
    );
}
