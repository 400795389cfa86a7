//! What the slices of one gateway share.

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold_platform::{document, store};
use tokio::time;

use crate::event;
use crate::gateway::budget;
use crate::gateway::fleet;
use crate::gateway::lead;
use crate::gateway::metrics;
use crate::gateway::mirror;
use crate::gateway::routing;
use crate::gateway::settings;
use crate::id;
use crate::member;
use crate::peer;
use crate::settings as node_settings;

/// Events that a gateway keeps in memory.
const KEPT_EVENTS: usize = 1_024;

/// Longest time for a call of the store.
const STORE_LIMIT: std_time::Duration = std_time::Duration::from_millis(1_200);

/// State of one gateway.
pub struct GatewayCore {
    /// Settings of the process.
    pub settings: settings::GatewaySettings,
    /// Events.
    pub recorder: sync::Arc<event::EventRecorder>,
    /// Metrics.
    pub metrics: metrics::GatewayMetrics,
    /// Client of the platform's store.
    pub store: store::StoreClient,
    /// Peers as this node knows them.
    pub members: sync::Arc<member::MemberView>,
    /// Messages to and from peers.
    pub post: sync::Arc<peer::PeerEndpoint>,
    /// Runners as this node knows them.
    pub fleet: sync::Mutex<fleet::RunnerFleet>,
    /// What nodes and leads of failure domains told.
    pub leads: sync::Mutex<lead::LeadBook>,
    /// Retries that this node may send.
    pub budget: sync::Mutex<budget::RetryBudget>,
    mirrors: sync::Mutex<[mirror::TableMirror; store::WatchedTable::ALL.len()]>,
    routing: sync::RwLock<Option<sync::Arc<routing::RoutingTable>>>,
    /// The latest time without the store.
    outage: sync::Mutex<Option<fleet::StoreOutage>>,
    store_lost: atomic::AtomicBool,
    /// When the store answered last.
    store_heard: sync::Mutex<Option<time::Instant>>,
    leading: atomic::AtomicBool,
    /// When a peer was asked for rows.
    asked: sync::Mutex<Option<time::Instant>>,
    stopping: atomic::AtomicBool,
}

impl GatewayCore {
    /// Creates the state of a node that has heard nothing yet.
    pub fn new(settings: settings::GatewaySettings, logger: slog::Logger) -> Self {
        let members = sync::Arc::new(member::MemberView::default());
        let post = peer::PeerEndpoint::new(
            settings.name.clone(),
            settings.peers,
            id::fresh_incarnation(),
            node_settings::peer_signer(&settings.peer_keys),
            sync::Arc::clone(&members),
        );
        let policy = budget::BudgetPolicy {
            share: settings.retry_share,
            extra: settings.retry_extra,
            window: settings.retry_window_s,
        };
        Self {
            recorder: sync::Arc::new(event::EventRecorder::keeping(logger, KEPT_EVENTS)),
            metrics: metrics::GatewayMetrics::default(),
            store: store::StoreClient::new(settings.store, STORE_LIMIT),
            members,
            post: sync::Arc::new(post),
            fleet: sync::Mutex::default(),
            leads: sync::Mutex::default(),
            budget: sync::Mutex::new(budget::RetryBudget::new(policy, time::Instant::now())),
            mirrors: sync::Mutex::default(),
            routing: sync::RwLock::default(),
            outage: sync::Mutex::default(),
            store_lost: atomic::AtomicBool::new(false),
            store_heard: sync::Mutex::default(),
            leading: atomic::AtomicBool::new(false),
            asked: sync::Mutex::default(),
            stopping: atomic::AtomicBool::new(false),
            settings,
        }
    }

    /// Records an event.
    pub fn note(&self, code: event::EventCode, subject: &str, detail: impl Into<String>) {
        self.recorder.record(code, subject, detail);
    }

    /// Returns what the process listens on and speaks to.
    pub fn describe(&self) -> String {
        let settings = &self.settings;
        format!(
            "version={} domain={} callers={} peers={} store={}",
            env!("CARGO_PKG_VERSION"),
            settings.domain,
            settings.callers,
            settings.peers,
            settings.store
        )
    }

    /// Returns the document in force.
    pub fn routing(&self) -> Option<sync::Arc<routing::RoutingTable>> {
        let held = self.routing.read();
        held.unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    /// Returns the version of the document in force, 0 for none.
    pub fn document_version(&self) -> id::DocumentVersion {
        self.routing().map_or(0, |table| table.version())
    }

    /// Tells whether callers may be sent to this node.
    pub fn is_ready(&self) -> bool {
        let runners = self.with_mirror(store::WatchedTable::Runners, |mirror| mirror.is_complete());
        !self.is_stopping() && runners && self.routing().is_some()
    }

    /// Tells whether this node stops and callers should go elsewhere.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }

    /// Begins the stop.
    pub fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
    }

    /// Returns a number that grows with every row that this node learns.
    pub fn latest(&self) -> u64 {
        let mirrors = lock(&self.mirrors);
        mirrors.iter().map(mirror::TableMirror::latest).sum()
    }

    /// Looks into the copy of a table.
    pub fn with_mirror<T>(
        &self,
        table: store::WatchedTable,
        look: impl FnOnce(&mirror::TableMirror) -> T,
    ) -> T {
        look(&lock(&self.mirrors)[table.place()])
    }

    /// Takes changed rows.
    ///
    /// Returns the rows whose content changed.
    pub fn merge(
        &self,
        table: store::WatchedTable,
        rows: Vec<mirror::MirrorRow>,
    ) -> Vec<mirror::MirrorRow> {
        let changes = lock(&self.mirrors)[table.place()].merge(rows);
        self.absorb(table, &changes);
        changes
    }

    /// Takes what changed after a version; refuses it where rows in between
    /// are missing.
    pub fn merge_after(
        &self,
        table: store::WatchedTable,
        after: store::RowVersion,
        rows: Vec<mirror::MirrorRow>,
    ) -> bool {
        let changes = lock(&self.mirrors)[table.place()].merge_after(after, rows);
        if let Some(changes) = &changes {
            self.absorb(table, changes);
        }
        changes.is_some()
    }

    /// Takes a whole table as of a version.
    ///
    /// Returns the rows whose content changed.
    pub fn replace(
        &self,
        table: store::WatchedTable,
        rows: Vec<mirror::MirrorRow>,
        version: store::RowVersion,
    ) -> Vec<mirror::MirrorRow> {
        let changes = lock(&self.mirrors)[table.place()].replace(rows, version);
        self.absorb(table, &changes);
        changes
    }

    /// Notes whether the store answered a call that began at `asked`.
    pub fn note_store(&self, answered: bool, asked: time::Instant, cause: &str) {
        match answered {
            true => *lock(&self.store_heard) = Some(time::Instant::now()),
            false => {
                *lock(&self.outage) = Some(fleet::StoreOutage {
                    failed: asked,
                    regained: None,
                });
            }
        }
        let lost = self.store_lost.swap(!answered, atomic::Ordering::Relaxed);
        if lost != answered {
            return;
        }
        let code = match answered {
            true => event::EventCode::StoreRegained,
            false => event::EventCode::StoreLost,
        };
        if let Some(outage) = lock(&self.outage).as_mut().filter(|_| answered) {
            outage.regained = Some(time::Instant::now());
        }
        self.note(code, "store", cause);
    }

    /// Returns the milliseconds since the store answered.
    pub fn store_age_ms(&self, now: time::Instant) -> u32 {
        let heard = *lock(&self.store_heard);
        let age = heard.map(|heard| now.saturating_duration_since(heard).as_millis());
        age.and_then(|age| u32::try_from(age).ok())
            .unwrap_or(u32::MAX)
    }

    /// Tells whether a peer may be asked for rows, at most once in a period.
    pub fn may_ask(&self, period: std_time::Duration) -> bool {
        let now = time::Instant::now();
        let mut asked = lock(&self.asked);
        let due = asked.is_none_or(|asked| now.saturating_duration_since(asked) >= period);
        if due {
            *asked = Some(now);
        }
        due
    }

    /// Notes whether this node leads its failure domain.
    pub fn set_leading(&self, leading: bool) {
        self.leading.store(leading, atomic::Ordering::Relaxed);
    }

    /// Tells whether this node leads its failure domain.
    pub fn is_leading(&self) -> bool {
        self.leading.load(atomic::Ordering::Relaxed)
    }

    /// Tells whether this node is to watch the store itself.
    pub fn is_watching(&self, now: time::Instant) -> bool {
        let patience = self.settings.contact_ms.mul_f64(lead::PATIENCE_PART);
        self.is_leading() || !lock(&self.leads).is_led(patience, now)
    }

    /// Does what time alone brings.
    pub fn tick(&self, now: time::Instant) {
        let news = lock(&self.fleet).expire(now);
        news.into_iter().for_each(|news| self.note_news(news));
        let nodes = self.members.fleet_size();
        lock(&self.budget).note_nodes(nodes);
    }

    /// Returns the other nodes of this node's failure domain among `members`.
    pub fn neighbours<'a>(
        &'a self,
        members: &'a [member::MemberRecord],
    ) -> impl Iterator<Item = &'a member::MemberRecord> {
        members.iter().filter(|record| {
            record.domain == self.settings.domain && record.name != self.settings.name
        })
    }

    /// Posts a message to a node.
    pub fn post(&self, to: &str, kind: peer::MessageKind, message: &impl serde::Serialize) {
        if let Ok(body) = postcard::to_stdvec(message) {
            self.post.send(to, kind, &body);
        }
    }

    /// Returns what membership tells of this node at its start.
    pub fn member_record(&self) -> member::MemberRecord {
        member::MemberRecord {
            name: self.settings.name.clone(),
            incarnation: self.post.incarnation(),
            revision: 1,
            region: self.settings.region.clone(),
            domain: self.settings.domain.clone(),
            callers: self.settings.callers,
            peers: self.settings.peers,
            version: 0,
            phase: member::MemberPhase::Joining,
        }
    }

    fn absorb(&self, table: store::WatchedTable, changes: &[mirror::MirrorRow]) {
        match table {
            store::WatchedTable::Operator => changes
                .iter()
                .filter(|row| row.key == store::WatchedTable::DOCUMENT_KEY)
                .for_each(|row| self.put_in_force(row)),
            store::WatchedTable::Runners => {
                let now = time::Instant::now();
                let outage = *lock(&self.outage);
                let lapse = outage.and_then(|outage| outage.lapse(self.settings.contact_ms, now));
                for row in changes {
                    let news = lock(&self.fleet).update(row, lapse);
                    news.into_iter().for_each(|news| self.note_news(news));
                }
            }
        }
    }

    fn put_in_force(&self, row: &mirror::MirrorRow) {
        let Some(value) = &row.value else { return };
        let document = match document::decode(value) {
            Ok(document) => document,
            Err(error) => {
                let subject = format!("row version {}", row.version);
                self.note(event::EventCode::ConfigRefused, &subject, error.to_string());
                return;
            }
        };
        let held = self.document_version();
        if document.version <= held {
            let detail = format!("in force: {held}");
            let subject = document.version.to_string();
            self.note(event::EventCode::ConfigBehind, &subject, detail);
            return;
        }
        let detail = format!(
            "row_version={} before={held} routes={} services={}",
            row.version,
            document.routes.len(),
            document.services.len()
        );
        let version = document.version;
        let table = sync::Arc::new(routing::RoutingTable::new(document));
        *self
            .routing
            .write()
            .unwrap_or_else(sync::PoisonError::into_inner) = Some(table);
        self.metrics.document_version.set(version as i64);
        self.note(
            event::EventCode::ConfigInForce,
            &version.to_string(),
            detail,
        );
    }

    fn note_news(&self, news: fleet::FleetNews) {
        match news {
            fleet::FleetNews::Found(id, detail) => {
                self.note(event::EventCode::UpstreamFound, &id, detail);
            }
            fleet::FleetNews::Leaving(id) => {
                self.note(event::EventCode::UpstreamLeaving, &id, "");
            }
            fleet::FleetNews::Lost(id, cause) => {
                self.note(event::EventCode::UpstreamLost, &id, cause);
            }
            fleet::FleetNews::Changed(id, detail) => {
                self.note(event::EventCode::UpstreamChanged, &id, detail);
            }
            fleet::FleetNews::Unreadable(id, reason) => {
                self.note(event::EventCode::UpstreamUnreadable, &id, reason);
            }
        }
    }
}

/// Locks state that no panic leaves half changed.
pub(crate) fn lock<T>(held: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    held.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
