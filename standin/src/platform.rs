//! Stand-in for the platform: table service, stores and host list.

use std::collections;
use std::net;
use std::sync;

use arbutusfold::platform::{CommitOutcome, ReadQuery, ScanQuery, TableRow, TableTransaction};
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body;

use crate::depot;
use crate::fault;
use crate::server;

/// Rows in memory.
#[derive(Clone, Debug, Default)]
pub struct TableStore {
    rows: collections::BTreeMap<(String, String), TableRow>,
    commits: u64,
    last_version: u64,
}

impl TableStore {
    /// Reads one row.
    pub fn read(&self, query: &ReadQuery) -> Option<TableRow> {
        let place = (query.table.clone(), query.key.clone());
        self.rows.get(&place).cloned()
    }

    /// Reads rows by prefix.
    pub fn scan(&self, query: &ScanQuery) -> Vec<TableRow> {
        let begin = (query.table.clone(), query.prefix.clone());
        self.rows
            .range(begin..)
            .map(|(_, row)| row)
            .take_while(|row| row.table == query.table && row.key.starts_with(&query.prefix))
            .filter(|row| row.key > query.after)
            .take(query.limit)
            .cloned()
            .collect()
    }

    /// Commits a transaction if every check holds.
    pub fn commit(&mut self, transaction: TableTransaction) -> CommitOutcome {
        let failed: Vec<_> = transaction
            .checks
            .iter()
            .filter_map(|check| {
                let place = (check.table.clone(), check.key.clone());
                let held = self.rows.get(&place);
                let version = held.map_or(0, |row| row.version);
                (version != check.version).then(|| held.cloned())
            })
            .collect();
        if !failed.is_empty() {
            return CommitOutcome::Conflict(failed.into_iter().flatten().collect());
        }
        self.commits += 1;
        for write in transaction.writes {
            let place = (write.table.clone(), write.key.clone());
            self.last_version += 1;
            let version = self.last_version;
            match write.value {
                Some(value) => self.rows.insert(
                    place,
                    TableRow {
                        table: write.table,
                        key: write.key,
                        version,
                        value,
                    },
                ),
                None => self.rows.remove(&place),
            };
        }
        CommitOutcome::Committed
    }

    /// Returns the number of transactions that took effect.
    pub fn commits(&self) -> u64 {
        self.commits
    }
}

/// Runs the platform on `address`.
///
/// # Errors
///
/// When the address cannot be opened.
pub async fn run(address: net::SocketAddr) -> anyhow::Result<()> {
    let store = sync::Arc::new(sync::Mutex::new(TableStore::default()));
    let depot = sync::Arc::new(depot::PlatformDepot::default());
    let faults = fault::FaultSwitch::default();
    let switch = faults.clone();
    server::serve(address, faults, move |request| {
        let store = sync::Arc::clone(&store);
        let depot = sync::Arc::clone(&depot);
        let switch = switch.clone();
        async move {
            match request.uri().path().starts_with("/tables/") {
                true => answer(store, switch, request).await,
                false => answer_depot(&store, &depot, request).await,
            }
        }
    })
    .await
}

async fn answer_depot(
    store: &sync::Mutex<TableStore>,
    depot: &depot::PlatformDepot,
    request: http::Request<body::Incoming>,
) -> server::StandinAnswer {
    let path = request.uri().path().to_owned();
    let object = path.strip_prefix("/objects/");
    let answer = match (request.method().as_str(), path.as_str(), object) {
        ("PUT", _, Some(key)) => {
            let object = request.into_body().collect().await.ok()?.to_bytes();
            depot.put(key, object);
            server::status(200)
        }
        ("GET", _, Some(key)) => match depot.get(key) {
            Some(object) => bytes_answer(object),
            None => server::status(404),
        },
        (_, "/weights/fetch", _) => {
            let fetch = server::read_json(request).await?;
            depot.fetch(&fetch).await;
            server::status(200)
        }
        (_, "/hosts/change", _) => {
            let change = server::read_json(request).await?;
            depot.change_hosts(change);
            server::status(200)
        }
        (_, "/hosts", _) => server::json(&depot.hosts()),
        (_, "/commits", _) => {
            let store = store.lock().unwrap_or_else(sync::PoisonError::into_inner);
            server::json(&store.commits())
        }
        _ => server::status(404),
    };
    Some(answer)
}

fn bytes_answer(object: Bytes) -> http::Response<server::AnswerBody> {
    http::Response::new(Full::new(object).boxed_unsync())
}

async fn answer(
    store: sync::Arc<sync::Mutex<TableStore>>,
    faults: fault::FaultSwitch,
    request: http::Request<body::Incoming>,
) -> server::StandinAnswer {
    let path = request.uri().path().to_owned();
    let lock = || store.lock().unwrap_or_else(sync::PoisonError::into_inner);
    let answer = match path.as_str() {
        "/tables/read" => {
            let query = server::read_json(request).await?;
            server::json(&lock().read(&query))
        }
        "/tables/scan" => {
            let query = server::read_json(request).await?;
            server::json(&lock().scan(&query))
        }
        "/tables/commit" => {
            let transaction = server::read_json(request).await?;
            let outcome = lock().commit(transaction);
            if outcome == CommitOutcome::Committed {
                faults.note_commit();
            }
            if faults.take_lost() {
                return None;
            }
            server::json(&outcome)
        }
        _ => server::status(404),
    };
    Some(answer)
}
