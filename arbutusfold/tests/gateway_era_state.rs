//! Nodes in front of a store that comes back from older copies, over a network that loses
//! and delays messages. The oracle is the store itself: nodes in touch end with its rows.

#![allow(clippy::unwrap_used)]

mod gateway_network;

use std::collections;
use std::sync;
use std::time as std_time;

use arbutusfold::gateway::{core, mirror, replication, store_watch};
use arbutusfold::peer;
use arbutusfold_platform::store;
use rand::{RngExt, SeedableRng};
use tokio::time;

const TABLE: store::WatchedTable = store::WatchedTable::Operator;

const NODES: usize = 6;

/// Changes of the store in one case.
const STEPS: usize = 60;

/// Keys of one page of a read.
const PAGE_ROWS: usize = 2;

/// Cases, unless `ARBUTUSFOLD_FUZZ_CASES` says otherwise.
const CASES: u64 = 60;

/// Time without changes of the store, after which all nodes must agree.
const QUIET_TIME: std_time::Duration = std_time::Duration::from_secs(5);

/// The rows of the store in one era.
#[derive(Clone, Debug, Default)]
struct StoreRows {
    number: u64,
    rows: collections::BTreeMap<String, (u64, Option<Vec<u8>>)>,
    /// The history up to this number is discarded.
    discarded: u64,
}

#[derive(Debug, Default)]
struct ModelStore {
    era: store::StoreEra,
    rows: StoreRows,
    copy: StoreRows,
    /// Version of the latest document that the operator wrote.
    document: u64,
}

impl ModelStore {
    fn version(&self) -> store::RowVersion {
        store::RowVersion::new(self.era, self.rows.number)
    }

    fn put(&mut self, key: &str, value: Option<Vec<u8>>) {
        self.rows.number += 1;
        let row = (self.rows.number, value);
        self.rows.rows.insert(key.to_owned(), row);
    }

    fn put_document(&mut self) {
        let version = self.document;
        let document = format!(r#"{{"version":{version},"routes":[],"services":[]}}"#);
        self.put(store::WatchedTable::DOCUMENT_KEY, Some(document.into()));
    }

    fn come_back(&mut self) {
        self.rows = self.copy.clone();
        self.era += 1;
    }

    fn stored(&self, key: &str) -> store::StoredRow {
        let (number, value) = &self.rows.rows[key];
        store::StoredRow {
            key: key.to_owned(),
            version: store::RowVersion::new(self.era, *number),
            value: value.clone().map(Into::into),
        }
    }

    /// Returns the changes after a number, `None` if they are not known.
    fn changes(&self, after: u64) -> Option<store::RowPage> {
        if after > self.rows.number || after < self.rows.discarded {
            return None;
        }
        let rows = self.rows.rows.iter();
        let changed = rows.filter(|(_, (number, _))| *number > after);
        Some(store::RowPage {
            rows: changed.map(|(key, _)| self.stored(key)).collect(),
            version: self.version(),
            faults: Vec::new(),
        })
    }

    /// Returns the rows from a key on, and the key at which the next page begins.
    fn page(&self, from: &str) -> (Vec<store::StoredRow>, Option<String>) {
        let rows = self.rows.rows.range(from.to_owned()..);
        let mut keys = rows
            .filter(|(_, (_, value))| value.is_some())
            .map(|(key, _)| key);
        let page = keys.by_ref().take(PAGE_ROWS);
        let rows = page.map(|key| self.stored(key)).collect();
        (rows, keys.next().cloned())
    }

    fn live(&self) -> Vec<(String, Vec<u8>)> {
        let rows = self.rows.rows.iter();
        rows.filter_map(|(key, (_, value))| Some((key.clone(), value.clone()?)))
            .collect()
    }
}

/// Store, nodes and what delays their messages.
struct CaseState {
    store: sync::Mutex<ModelStore>,
    network: sync::Arc<gateway_network::TestNetwork>,
    random: sync::Mutex<rand_chacha::ChaCha8Rng>,
}

impl CaseState {
    fn random(&self, range: std::ops::Range<usize>) -> usize {
        self.random.lock().unwrap().random_range(range)
    }

    async fn pause(&self, limit_ms: usize) {
        let pause = self.random(0..limit_ms) as u64;
        time::sleep(std_time::Duration::from_millis(pause)).await;
    }

    fn node(&self, node: usize) -> &sync::Arc<core::GatewayCore> {
        &self.network.nodes.get().unwrap()[node]
    }

    /// Reads all pages of the table, `None` if two come from different eras.
    async fn read_table(&self) -> Option<store::RowPage> {
        let mut page: Option<store::RowPage> = None;
        let mut from = Some(String::new());
        while let Some(key) = from.take() {
            let (version, (rows, next)) = {
                let store = self.store.lock().unwrap();
                (store.version(), store.page(&key))
            };
            let collected = page.get_or_insert_with(|| store::RowPage {
                rows: Vec::new(),
                version,
                faults: Vec::new(),
            });
            if collected.version.era != version.era {
                return None;
            }
            collected.rows.extend(rows);
            from = next;
            self.pause(60).await;
        }
        page
    }

    /// Watches the store as a leader does, with answers that take their time.
    async fn watch(&self, node: usize) {
        let core = self.node(node);
        let mut position: Option<store::RowVersion> = None;
        loop {
            let page = match position {
                Some(after) => {
                    self.pause(60).await;
                    self.store.lock().unwrap().changes(after.number)
                }
                None => self.read_table().await,
            };
            self.pause(60).await;
            let Some(page) = page else {
                position = None;
                continue;
            };
            core.note_era(page.version.era, "store");
            position = store_watch::take_page(core, TABLE, position, page)
                .then(|| core.with_mirror(TABLE, mirror::TableMirror::complete_version));
            self.pause(100).await;
        }
    }

    /// Names the versions of a node to others from time to time.
    async fn name_versions(&self, node: usize) {
        loop {
            let named = self.node(node).table_versions();
            let other = self.random(0..NODES);
            self.pause(300).await;
            if other != node {
                let name = &self.node(node).settings.name;
                replication::note_versions(self.node(other), named, name);
            }
        }
    }

    /// Changes the store; nodes' documents never go back.
    async fn change(&self) {
        let mut in_force = [0; NODES];
        for _ in 0..STEPS {
            let (kind, key) = (self.random(0..20), format!("k{}", self.random(0..6)));
            {
                let mut store = self.store.lock().unwrap();
                match kind {
                    0..8 => store.put(&key, Some(vec![kind as u8])),
                    8..11 => store.put(&key, None),
                    11..14 => {
                        store.document += 1;
                        store.put_document();
                    }
                    14..16 => store.copy = store.rows.clone(),
                    16 => store.rows.discarded = store.rows.number,
                    _ => store.come_back(),
                }
            }
            self.pause(150).await;
            for (node, before) in in_force.iter_mut().enumerate() {
                let version = self.node(node).document_version();
                assert!(version >= *before, "node {node}: {before}, then {version}");
                *before = version;
            }
        }
        // The operator writes again what the store lost.
        self.store.lock().unwrap().put_document();
    }
}

async fn play(seed: u64) {
    let network = gateway_network::start(NODES, 0.1, seed);
    let cores = network.nodes.get().unwrap();
    for (node, core) in cores.iter().enumerate() {
        let handler = replication::MirrorHandler::new(sync::Arc::clone(core));
        core.post
            .register(peer::MessageKind::Mirror, sync::Arc::new(handler));
        core.set_leading(node < gateway_network::DOMAINS);
    }
    let store = ModelStore {
        era: 1,
        ..ModelStore::default()
    };
    let state = sync::Arc::new(CaseState {
        store: sync::Mutex::new(store),
        network: sync::Arc::clone(&network),
        random: sync::Mutex::new(rand_chacha::ChaCha8Rng::seed_from_u64(seed)),
    });
    let mut tasks = tokio::task::JoinSet::new();
    for node in 0..NODES {
        let shared = sync::Arc::clone(&state);
        tasks.spawn(async move { shared.name_versions(node).await });
        if node < gateway_network::DOMAINS {
            let shared = sync::Arc::clone(&state);
            tasks.spawn(async move { shared.watch(node).await });
        }
    }
    {
        let mut store = state.store.lock().unwrap();
        store.document = 1;
        store.put_document();
    }
    state.change().await;
    time::sleep(QUIET_TIME).await;
    let (live, document) = {
        let store = state.store.lock().unwrap();
        (store.live(), store.document)
    };
    for (node, core) in cores.iter().enumerate() {
        let rows = core.with_mirror(TABLE, |mirror| {
            let rows = mirror.rows();
            rows.map(|row| (row.key.clone(), row.value.clone().unwrap().to_vec()))
                .collect::<Vec<_>>()
        });
        assert_eq!(rows, live, "seed {seed} node {node}");
        let version = core.document_version();
        assert_eq!(version, document, "seed {seed} node {node}");
    }
    tasks.abort_all();
}

/// Guards against rows that stay wrong at a node after the store came back from an older
/// copy, in whatever order its answers and the messages of peers arrive.
#[tokio::test(start_paused = true)]
async fn nodes_end_with_the_rows_of_the_store_after_any_returns() {
    let cases = std::env::var("ARBUTUSFOLD_FUZZ_CASES").ok();
    let cases = cases.map_or(CASES, |cases| cases.parse().unwrap());
    for seed in 0..cases {
        play(seed).await;
    }
}
