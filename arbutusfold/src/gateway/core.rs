//! State that the modules of one gateway share.

use std::sync;
use std::sync::atomic;
use std::time as std_time;

use arbutusfold_platform::{document, link, store};
use tokio::sync::watch;
use tokio::time;

use crate::event;
use crate::gateway::admission;
use crate::gateway::answer_end;
use crate::gateway::bounds;
use crate::gateway::budget;
use crate::gateway::crash;
use crate::gateway::demand;
use crate::gateway::dial;
use crate::gateway::direct;
use crate::gateway::failure_watch;
use crate::gateway::fleet;
use crate::gateway::leader;
use crate::gateway::length;
use crate::gateway::link_budget;
use crate::gateway::memory;
use crate::gateway::metrics;
use crate::gateway::mirror;
use crate::gateway::panics;
use crate::gateway::race;
use crate::gateway::relay;
use crate::gateway::relay_server;
use crate::gateway::retry_loan;
use crate::gateway::routing;
use crate::gateway::runner_limit;
use crate::gateway::settings;
use crate::gateway::stage_probe;
use crate::gateway::stop;
use crate::gateway::store_watch;
use crate::gateway::suspect_store;
use crate::gateway::trial;
use crate::gateway::unread;
use crate::gateway::versions;
use crate::id;
use crate::member;
use crate::peer;
use crate::settings as node_settings;
use crate::suspect;
use crate::suspect::ledger;

/// Number of events that a gateway keeps in memory.
const EVENT_CAPACITY: usize = 1_024;

/// Timeout for a call to the store.
const STORE_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(1_200);

/// Peers that a started node asks for what they know.
const ASKED_PEERS: usize = 3;

/// Shared state of one gateway.
pub struct GatewayCore {
    /// Start of the node.
    pub started_at: time::Instant,
    /// Settings of the process.
    pub settings: settings::GatewaySettings,
    /// Recorder of events.
    pub recorder: sync::Arc<event::EventRecorder>,
    /// Metrics.
    pub metrics: metrics::GatewayMetrics,
    /// Panics of the process.
    pub panics: sync::Arc<panics::PanicLog>,
    /// Client of the platform's store.
    pub store: store::StoreClient,
    /// Members of the fleet as this node knows them.
    pub members: sync::Arc<member::MemberView>,
    /// Sends messages to peers and dispatches those received.
    pub post: sync::Arc<peer::PeerEndpoint>,
    /// Runners of all services and this node's load on them.
    pub fleet: sync::Arc<sync::Mutex<fleet::RunnerFleet>>,
    /// Opens connections to runners.
    pub dialer: sync::Arc<dyn dial::RunnerDialer>,
    /// Checks the runners of silent streams.
    pub prober: stage_probe::StageProber,
    /// Opens connections to runners for other nodes.
    pub relay_server: relay_server::RelayServer,
    /// Load of all nodes on the runners, as far as reported.
    pub loads: sync::Mutex<leader::LoadView>,
    /// Demand of all nodes for scarce room, as far as reported.
    pub demand: sync::Mutex<demand::DemandView>,
    /// Runners of this node's domain that may have failed, while this node leads it.
    pub failures: sync::Mutex<failure_watch::FailureWatch>,
    /// Lengths of answers by route.
    pub lengths: sync::Mutex<length::LengthBook>,
    /// Prompts that this node sent to runners and that they have not read yet.
    pub unread: sync::Mutex<unread::UnreadPrompts>,
    /// Traffic of this node's paths over the links between failure domains.
    pub links: sync::Mutex<link_budget::LinkMeter>,
    /// Requests that wait for room, and what decides when they are sent.
    pub admission: admission::AdmissionState,
    /// Memory that callers make the process hold, if the settings limit it.
    pub memory: Option<sync::Arc<memory::MemoryAccount>>,
    /// Events about bounds on callers.
    pub bounds: bounds::BoundLog,
    /// Retry budgets of this node.
    pub budget: sync::Mutex<budget::RetryBudget>,
    /// Claims of this node for retries of others.
    pub loans: sync::Mutex<retry_loan::PendingLoans>,
    /// Recent checks of runners that may have died during a run.
    pub crash_checks: sync::Mutex<crash::CrashChecks>,
    /// Recent calls to runners that closed connections of answers.
    pub end_calls: sync::Mutex<answer_end::EndCalls>,
    /// Requests under which runners died.
    pub suspects: sync::Mutex<ledger::CrashLedger>,
    /// Whether a document is in force.
    pub document_known: watch::Sender<bool>,
    /// Places of requests that wait for the first document.
    pub document_waits: tokio::sync::Semaphore,
    /// Whether this node has learned of the requests under which runners died
    /// before it started.
    pub suspects_known: watch::Sender<bool>,
    /// Signals that an answer cleared the crashes of a request.
    pub suspects_cleared: tokio::sync::Notify,
    /// Permits for trials of requests that may crash runners.
    pub trials: sync::Mutex<trial::TrialState>,
    /// Permits to send requests to runners that named a limit.
    pub limits: sync::Mutex<runner_limit::LimitState>,
    /// Requests whose changed records were not sent to other nodes yet.
    pub suspects_untold: sync::Mutex<Vec<suspect::RequestFingerprint>>,
    /// Signals that there are such requests.
    pub suspects_changed: tokio::sync::Notify,
    /// Copy of the records in the store, `None` until it was read.
    pub suspects_stored: sync::Mutex<Option<suspect_store::StoredLedger>>,
    /// Signals that the copy may differ from the records.
    pub suspects_unstored: tokio::sync::Notify,
    mirrors: sync::Mutex<[mirror::TableMirror; store::WatchedTable::ALL.len()]>,
    routing: sync::RwLock<Option<sync::Arc<routing::RoutingTable>>>,
    /// Row of the document in force.
    document_row: sync::Mutex<Option<mirror::MirrorRow>>,
    /// The latest outage of the store.
    outage: sync::Mutex<Option<fleet::StoreOutage>>,
    store_lost: atomic::AtomicBool,
    /// Latest era of the store that the store or a peer named.
    store_era: atomic::AtomicU64,
    /// When the store last answered for each table.
    store_answered_at: sync::Mutex<[Option<time::Instant>; store::WatchedTable::ALL.len()]>,
    leading: watch::Sender<bool>,
    /// Versions that peers named, and rows that this node lacks.
    pub row_lag: sync::Mutex<versions::RowLag>,
    /// When this node last requested rows from a peer.
    rows_requested_at: sync::Mutex<Option<time::Instant>>,
    stopping: atomic::AtomicBool,
    /// Times of the graceful stop, once it has begun.
    pub stop_plan: watch::Sender<Option<stop::StopPlan>>,
}

impl GatewayCore {
    /// Creates the state of a node that has received nothing yet.
    pub fn new(settings: settings::GatewaySettings, logger: slog::Logger) -> Self {
        let members = sync::Arc::new(member::MemberView::default());
        let post = peer::PeerEndpoint::new(
            settings.name.clone(),
            settings.peers,
            id::new_incarnation(),
            node_settings::peer_signer(&settings.peer_keys),
            sync::Arc::clone(&members),
        );
        let policy = budget::BudgetPolicy {
            share: settings.retry_share,
            extra: settings.retry_extra,
            window: settings.retry_window_s,
            has_loans: settings.share_demand,
            has_peers: settings.seeds.iter().any(|seed| *seed != settings.peers),
        };
        let memory = settings.memory_mb.map(|memory_mb| {
            let limits = memory::AccountLimits::of_host(memory_mb);
            sync::Arc::new(memory::MemoryAccount::new(limits))
        });
        let recorder = event::EventRecorder::with_capacity(logger, EVENT_CAPACITY);
        let metrics = metrics::GatewayMetrics::default();
        let context = dial::DialContext {
            host: settings.name.clone(),
            address: settings.peers,
            signer: node_settings::peer_signer(&settings.peer_keys),
            members: sync::Arc::clone(&members),
            post: sync::Arc::new(post),
            fleet: sync::Arc::default(),
            recorder: sync::Arc::new(recorder),
            metrics: metrics.tunnels.clone(),
        };
        let source = link::LinkSource::new(settings.peers.ip());
        let opener = sync::Arc::new(direct::TcpOpener::new(source));
        let direct = sync::Arc::new(direct::DirectDialer::new(context.clone(), opener));
        let relay = sync::Arc::new(relay::RelayDialer::new(context.clone()));
        let direct_only = race::RaceDialer::new(sync::Arc::clone(&direct), None);
        Self {
            recorder: sync::Arc::clone(&context.recorder),
            panics: sync::Arc::new(panics::PanicLog::new(metrics.panics.clone())),
            metrics,
            post: sync::Arc::clone(&context.post),
            fleet: sync::Arc::clone(&context.fleet),
            dialer: sync::Arc::new(race::RaceDialer::new(
                sync::Arc::clone(&direct),
                Some(relay),
            )),
            prober: stage_probe::StageProber::new(sync::Arc::clone(&direct)),
            relay_server: relay_server::RelayServer::new(
                context,
                direct,
                sync::Arc::new(direct_only),
            ),
            store: store::StoreClient::new(settings.store, STORE_TIMEOUT),
            members,
            loads: sync::Mutex::default(),
            demand: sync::Mutex::default(),
            failures: sync::Mutex::default(),
            lengths: sync::Mutex::default(),
            unread: sync::Mutex::default(),
            links: sync::Mutex::default(),
            admission: admission::AdmissionState::new(settings.wait_limit),
            memory,
            bounds: bounds::BoundLog::default(),
            budget: sync::Mutex::new(budget::RetryBudget::new(policy, time::Instant::now())),
            loans: sync::Mutex::default(),
            crash_checks: sync::Mutex::default(),
            end_calls: sync::Mutex::default(),
            suspects: sync::Mutex::default(),
            document_known: watch::Sender::new(false),
            document_waits: tokio::sync::Semaphore::new(settings.wait_limit),
            suspects_known: watch::Sender::new(false),
            suspects_cleared: tokio::sync::Notify::new(),
            trials: sync::Mutex::default(),
            limits: sync::Mutex::default(),
            suspects_untold: sync::Mutex::default(),
            suspects_changed: tokio::sync::Notify::new(),
            suspects_stored: sync::Mutex::default(),
            suspects_unstored: tokio::sync::Notify::new(),
            mirrors: sync::Mutex::default(),
            routing: sync::RwLock::default(),
            document_row: sync::Mutex::default(),
            outage: sync::Mutex::default(),
            store_lost: atomic::AtomicBool::new(false),
            store_era: atomic::AtomicU64::new(0),
            store_answered_at: sync::Mutex::default(),
            leading: watch::Sender::new(false),
            row_lag: sync::Mutex::default(),
            rows_requested_at: sync::Mutex::default(),
            stopping: atomic::AtomicBool::new(false),
            stop_plan: watch::Sender::new(None),
            started_at: time::Instant::now(),
            settings,
        }
    }

    /// Records an event.
    pub fn note(&self, code: event::EventCode, subject: &str, detail: impl Into<String>) {
        self.recorder.record(code, subject, detail);
    }

    /// Returns the version, domain and addresses of this node for the log.
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

    /// Returns the routing table of the document in force.
    pub fn routing(&self) -> Option<sync::Arc<routing::RoutingTable>> {
        let table = self.routing.read();
        table.unwrap_or_else(sync::PoisonError::into_inner).clone()
    }

    /// Returns the version of the document in force, 0 for none.
    pub fn document_version(&self) -> id::DocumentVersion {
        self.routing().map_or(0, |table| table.version())
    }

    /// Returns the row of the document in force if the copy of the operator's table has
    /// another one: the store came back without the latest document.
    pub fn unstored_document(&self) -> Option<mirror::MirrorRow> {
        let row = lock(&self.document_row).clone()?;
        let is_stored = self.with_mirror(store::WatchedTable::Operator, |mirror| {
            mirror
                .get(&row.key)
                .is_some_and(|stored| stored.value == row.value)
        });
        (!is_stored).then_some(row)
    }

    /// Returns whether this node can serve callers: it has the runner entries and
    /// a document, knows which requests crash runners, and it is not stopping.
    pub fn is_ready(&self) -> bool {
        let is_known = *self.suspects_known.borrow();
        let runners = self.with_mirror(store::WatchedTable::Runners, |mirror| mirror.is_complete());
        !self.is_stopping() && is_known && runners && self.routing().is_some()
    }

    /// Returns whether this node is stopping and callers should use other nodes.
    pub fn is_stopping(&self) -> bool {
        self.stopping.load(atomic::Ordering::Relaxed)
    }

    /// Returns how far this node is in its stop.
    pub fn stop_phase(&self) -> stop::StopPhase {
        let plan = *self.stop_plan.borrow();
        plan.map_or(stop::StopPhase::Running, |plan| {
            plan.phase(time::Instant::now())
        })
    }

    /// Returns whether a request on a route with this deadline may begin now, as far as a
    /// stop of this node allows it.
    pub fn admits(&self, rule: &document::RouteRule, deadline: time::Instant) -> bool {
        let plan = *self.stop_plan.borrow();
        let now = time::Instant::now();
        plan.is_none_or(|plan| plan.admits(stop::expected_end(rule, deadline, now), now))
    }

    /// Waits until this node stops and has to answer the requests that are still open.
    pub async fn answers_due(&self) {
        let mut plans = self.stop_plan.subscribe();
        // The sender is a part of this state, so it exists as long as the call.
        if let Ok(plan) = plans.wait_for(Option::is_some).await.map(|plan| *plan)
            && let Some(plan) = plan
        {
            time::sleep_until(plan.answers_at()).await;
        }
    }

    /// Marks this node as stopping.
    pub fn begin_stop(&self) {
        self.stopping.store(true, atomic::Ordering::Relaxed);
        self.relay_server.begin_stop();
    }

    /// Returns the sum of the latest row versions of all tables.
    ///
    /// It grows with every row that this node receives. Nodes of the release before
    /// compare it to find out which of them has newer rows; others compare
    /// [`Self::table_versions`].
    pub fn store_version(&self) -> u64 {
        let mirrors = lock(&self.mirrors);
        mirrors
            .iter()
            .map(|mirror| mirror.latest_version().number)
            .sum()
    }

    /// Returns the version of the newest change in the copy of each table.
    pub fn table_versions(&self) -> versions::TableVersions {
        let mirrors = lock(&self.mirrors);
        mirrors
            .iter()
            .map(mirror::TableMirror::change_version)
            .collect()
    }

    /// Calls `read` with the copy of a table.
    pub fn with_mirror<T>(
        &self,
        table: store::WatchedTable,
        read: impl FnOnce(&mirror::TableMirror) -> T,
    ) -> T {
        read(&lock(&self.mirrors)[table.index()])
    }

    /// Merges changed rows into the copy of a table and applies them.
    ///
    /// Returns the rows whose content changed.
    pub fn merge(
        &self,
        table: store::WatchedTable,
        rows: Vec<mirror::MirrorRow>,
    ) -> Vec<mirror::MirrorRow> {
        let changes = lock(&self.mirrors)[table.index()].merge(rows);
        self.apply_changes(table, &changes);
        changes
    }

    /// Merges the changes after a version into the copy of a table and applies
    /// them.
    ///
    /// Returns the rows whose content changed, or `None` and changes nothing if
    /// rows in between are missing.
    pub fn merge_after(
        &self,
        table: store::WatchedTable,
        after: store::RowVersion,
        rows: Vec<mirror::MirrorRow>,
    ) -> Option<Vec<mirror::MirrorRow>> {
        let changes = lock(&self.mirrors)[table.index()].merge_after(after, rows)?;
        self.apply_changes(table, &changes);
        Some(changes)
    }

    /// Merges the changes after one version up to another one, as
    /// [`Self::merge_after`] does.
    pub fn merge_between(
        &self,
        table: store::WatchedTable,
        after: store::RowVersion,
        until: store::RowVersion,
        rows: Vec<mirror::MirrorRow>,
    ) -> Option<Vec<mirror::MirrorRow>> {
        let changes = lock(&self.mirrors)[table.index()].merge_between(after, until, rows)?;
        self.apply_changes(table, &changes);
        Some(changes)
    }

    /// Replaces the copy of a table by the whole table as of a version and
    /// applies the changes.
    ///
    /// Returns the rows whose content changed.
    pub fn replace(
        &self,
        table: store::WatchedTable,
        rows: Vec<mirror::MirrorRow>,
        version: store::RowVersion,
    ) -> Vec<mirror::MirrorRow> {
        let changes = lock(&self.mirrors)[table.index()].replace(rows, version);
        self.apply_changes(table, &changes);
        changes
    }

    /// Records whether the store answered a call for a table that began at `started`.
    pub fn record_store_call(
        &self,
        table: store::WatchedTable,
        answered: bool,
        started: time::Instant,
        cause: &str,
    ) {
        let now = time::Instant::now();
        if answered {
            lock(&self.store_answered_at)[table.index()] = Some(now);
            return self.end_outage(now, cause);
        }
        let mut outage = lock(&self.outage);
        let failed_at = outage.map_or(started, |outage| outage.failed_at.max(started));
        *outage = Some(fleet::StoreOutage {
            failed_at,
            restored_at: None,
        });
        drop(outage);
        if !self.store_lost.swap(true, atomic::Ordering::Relaxed) {
            self.note(event::EventCode::StoreLost, "store", cause);
        }
    }

    /// Records that a leader sent a summary. If it reaches the store, an outage
    /// has ended also for a node that no longer calls the store itself.
    pub fn record_summary(&self, leader: &str, now: time::Instant) {
        self.admission.wake();
        let limit = self.store_age_limit();
        let is_reached = lock(&self.loads).leader_reaches_store(limit, now);
        if is_reached {
            self.end_outage(now, &format!("leader={leader}"));
        }
    }

    /// Records that a call of a peer that began at `failed_at` failed, too. It
    /// counts only around an outage that this node noticed itself: a peer may
    /// have been cut off alone.
    pub fn record_peer_outage(&self, failed_at: time::Instant, now: time::Instant) {
        let mut outage = lock(&self.outage);
        let recent = outage.as_mut().filter(|outage| {
            let restored_at = outage.restored_at.unwrap_or(now);
            now < restored_at + fleet::RESTORE_GRACE
        });
        if let Some(outage) = recent {
            outage.failed_at = outage.failed_at.max(failed_at);
        }
    }

    /// Returns the latest known era of the store, 0 for a store that names none.
    pub fn store_era(&self) -> store::StoreEra {
        self.store_era.load(atomic::Ordering::Relaxed)
    }

    /// Makes a call to the store, counts it and notes the era that the store names, be it
    /// in the answer to a call that failed.
    pub async fn call_store<T>(&self, call: impl Future<Output = T>) -> T {
        self.metrics.store_calls.inc();
        let result = call.await;
        self.note_era(self.store.era(), "store");
        result
    }

    /// Records that the store or a peer named an era of the store.
    ///
    /// In a new era the store may lack the entries of live runners until they are
    /// written again, as after an outage, and what this node wrote there.
    pub fn note_era(&self, era: store::StoreEra, source: &str) {
        let before = self.store_era.fetch_max(era, atomic::Ordering::Relaxed);
        if era <= before {
            return;
        }
        self.metrics.store_era.set(era as i64);
        let versions = {
            let mirrors = lock(&self.mirrors);
            mirrors.each_ref().map(|mirror| mirror.complete_version())
        };
        let [operator, runners] = versions;
        let detail = format!("before={before} operator={operator} runners={runners} from={source}");
        self.note(event::EventCode::StoreEraChanged, &era.to_string(), detail);
        if versions.iter().all(|version| version.number == 0) {
            // This node has nothing of the era before.
            return;
        }
        let now = time::Instant::now();
        *lock(&self.outage) = Some(fleet::StoreOutage {
            failed_at: now,
            restored_at: (!self.is_store_lost()).then_some(now),
        });
        *lock(&self.suspects_stored) = None;
        self.suspects_unstored.notify_one();
    }

    /// Returns the latest outage of the store.
    pub fn outage(&self) -> Option<fleet::StoreOutage> {
        *lock(&self.outage)
    }

    fn end_outage(&self, now: time::Instant, cause: &str) {
        if !self.store_lost.swap(false, atomic::Ordering::Relaxed) {
            return;
        }
        if let Some(outage) = lock(&self.outage).as_mut() {
            outage.restored_at = Some(now);
        }
        self.note(event::EventCode::StoreRegained, "store", cause);
    }

    /// Returns whether the latest watched call to the store failed.
    pub fn is_store_lost(&self) -> bool {
        self.store_lost.load(atomic::Ordering::Relaxed)
    }

    /// Returns the milliseconds since the store last answered for the table for
    /// which that is longest ago, or the maximum if it never did for one of them.
    ///
    /// A table whose answers come more often counts as older by the difference, so
    /// that one limit fits all tables.
    pub fn store_age_ms(&self, now: time::Instant) -> u32 {
        let answered_at = *lock(&self.store_answered_at);
        let wait = |table| store_watch::poll_wait(table, self.settings.contact_ms);
        let longest = store::WatchedTable::ALL.into_iter().map(wait).max();
        let ages = store::WatchedTable::ALL.into_iter().map(|table| {
            let age = now.saturating_duration_since(answered_at[table.index()]?);
            let age = age + longest.unwrap_or_default().saturating_sub(wait(table));
            u32::try_from(age.as_millis()).ok()
        });
        ages.map(|age| age.unwrap_or(u32::MAX)).max().unwrap_or(0)
    }

    /// Returns whether this node may request rows from a peer now.
    ///
    /// It returns `true` at most once in each period, and records the request.
    pub fn may_request_rows(&self, period: std_time::Duration) -> bool {
        let now = time::Instant::now();
        let mut requested_at = lock(&self.rows_requested_at);
        let due = requested_at
            .is_none_or(|requested_at| now.saturating_duration_since(requested_at) >= period);
        if due {
            *requested_at = Some(now);
        }
        due
    }

    /// Returns the time until this node may request rows again.
    pub fn rows_request_due(&self, period: std_time::Duration) -> std_time::Duration {
        let requested_at = *lock(&self.rows_requested_at);
        requested_at.map_or(std_time::Duration::ZERO, |requested_at| {
            period.saturating_sub(requested_at.elapsed())
        })
    }

    /// Records whether this node leads its failure domain.
    pub fn set_leading(&self, leading: bool) {
        self.leading
            .send_if_modified(|before| std::mem::replace(before, leading) != leading);
    }

    /// Returns whether this node leads its failure domain.
    pub fn is_leading(&self) -> bool {
        *self.leading.borrow()
    }

    /// Waits until this node leads its failure domain.
    pub async fn leads(&self) {
        // The sender is a part of this state, so it exists as long as the call.
        let _ = self.leading.subscribe().wait_for(|leading| *leading).await;
    }

    /// Returns the time for which this node may rely on a leader that reaches the
    /// store. It is zero if this node has to watch the store itself: it leads its
    /// domain, or it knows no such leader.
    pub fn store_trust_left(&self, now: time::Instant) -> std_time::Duration {
        if self.is_leading() {
            return std_time::Duration::ZERO;
        }
        let limit = self.store_age_limit();
        lock(&self.loads).store_trust_left(limit, now)
    }

    /// Returns the age of the store's latest answer from which a leader counts as
    /// cut off from the store. A summary is up to a period old before the next one
    /// comes.
    fn store_age_limit(&self) -> std_time::Duration {
        let limit = self.settings.contact_ms.mul_f64(leader::STORE_AGE_FRACTION);
        limit + lock(&self.loads).period()
    }

    /// Drops runners whose grace period has ended and passes the size of the
    /// fleet to the retry budgets and the limits of runners.
    pub fn tick(&self, now: time::Instant) {
        let changes = lock(&self.fleet).expire(now);
        changes
            .into_iter()
            .for_each(|change| self.record_change(change));
        let nodes = self.members.fleet_size();
        lock(&self.budget).note_nodes(nodes);
        lock(&self.limits).note_nodes(nodes, now);
        admission::publish(self, now);
    }

    /// Returns the metrics in the OpenMetrics text format.
    pub fn render_metrics(&self) -> String {
        let known = self.table_versions();
        let lag = lock(&self.row_lag).age(&known, time::Instant::now());
        self.metrics.rows_behind_ms.set(lag.as_millis() as i64);
        let held = self.memory.as_ref().map_or(0, |account| account.used());
        self.metrics.held_bytes.set(held as i64);
        self.metrics.render()
    }

    /// Tells the list of runners the addresses of the nodes.
    pub fn set_nodes(&self, members: &[member::MemberRecord]) {
        let settings = &self.settings;
        let own = [
            settings.callers,
            settings.ready,
            settings.directory,
            settings.peers,
            settings.metrics,
        ];
        let members = members.iter();
        let others = members.flat_map(|record| [record.callers, record.peers]);
        let mut addresses: Vec<_> = own.into_iter().chain(others).collect();
        addresses.sort_unstable();
        addresses.dedup();
        let (mut changes, entries) = lock(&self.fleet).set_nodes(addresses);
        let table = store::WatchedTable::Runners;
        for id in entries {
            let row = self.with_mirror(table, |mirror| mirror.get(&id).cloned());
            changes.extend(row.and_then(|row| lock(&self.fleet).update(&row, None)));
        }
        changes
            .into_iter()
            .for_each(|change| self.record_change(change));
    }

    /// Returns the other nodes of this node's failure domain among `members`.
    pub fn domain_peers<'a>(
        &'a self,
        members: &'a [member::MemberRecord],
    ) -> impl Iterator<Item = &'a member::MemberRecord> {
        members.iter().filter(|record| {
            record.domain == self.settings.domain && record.name != self.settings.name
        })
    }

    /// Returns a few other nodes, for a question that any of them can answer.
    pub fn few_peers(&self) -> Vec<id::HostName> {
        let contacts = self.members.contacts().into_iter();
        contacts
            .map(|contact| contact.host)
            .filter(|host| *host != self.settings.name)
            .take(ASKED_PEERS)
            .collect()
    }

    /// Returns the node that issues the permits for a key: all nodes with the same
    /// members choose the same one.
    pub fn issuer(&self, key: &suspect::RequestFingerprint) -> id::HostName {
        let members = self.members.alive();
        let serving: Vec<_> = members
            .into_iter()
            .filter(|record| record.phase == member::MemberPhase::Serving)
            .map(|record| record.name)
            .collect();
        if serving.is_empty() {
            return self.settings.name.clone();
        }
        let [issuer, _] = suspect::issuers(key, &serving);
        issuer
    }

    /// Sends a message to a node.
    pub fn send_message(&self, to: &str, kind: peer::MessageKind, message: &impl serde::Serialize) {
        if let Ok(body) = postcard::to_stdvec(message) {
            self.post.send(to, kind, &body);
        }
    }

    /// Returns the membership record of this node at its start.
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

    fn apply_changes(&self, table: store::WatchedTable, changes: &[mirror::MirrorRow]) {
        match table {
            store::WatchedTable::Operator => changes
                .iter()
                .filter(|row| row.key == store::WatchedTable::DOCUMENT_KEY)
                .for_each(|row| self.apply_document(row)),
            store::WatchedTable::Runners => {
                let now = time::Instant::now();
                let grace_end = self
                    .outage()
                    .and_then(|outage| outage.grace_end(self.settings.contact_ms, now));
                for row in changes {
                    let change = lock(&self.fleet).update(row, grace_end);
                    if let Some(change) = change {
                        self.record_change(change);
                    }
                }
            }
        }
    }

    /// Applies rows of an earlier era, or of a peer that knows none, which are no part of
    /// the copy of the table: a document's own version tells whether it is newer.
    pub fn apply_older(&self, table: store::WatchedTable, rows: &[mirror::MirrorRow]) {
        if table == store::WatchedTable::Operator {
            self.apply_changes(table, rows);
        }
    }

    /// Puts the document of a row in force if its own version is higher than that of the
    /// one in force.
    pub fn apply_document(&self, row: &mirror::MirrorRow) {
        let Some(value) = &row.value else { return };
        let document = match document::decode(value) {
            Ok(document) => document,
            Err(error) => {
                let subject = format!("row version {}", row.version);
                self.note(event::EventCode::ConfigRefused, &subject, error.to_string());
                return;
            }
        };
        let current = self.document_version();
        if document.version <= current {
            if document.version == current {
                self.note_stored_again(row);
            }
            let detail = format!("document version in force: {current}");
            let subject = document.version.to_string();
            self.note(event::EventCode::ConfigBehind, &subject, detail);
            return;
        }
        let detail = format!(
            "row_version={} before={current} routes={} services={}",
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
        *lock(&self.document_row) = Some(row.clone());
        self.document_known.send_replace(true);
        self.metrics.document_version.set(version as i64);
        self.note(
            event::EventCode::ConfigInForce,
            &version.to_string(),
            detail,
        );
    }

    /// Records that the document in force was written again in a later row.
    fn note_stored_again(&self, row: &mirror::MirrorRow) {
        let mut known = lock(&self.document_row);
        if known
            .as_ref()
            .is_none_or(|known| known.version < row.version)
        {
            *known = Some(row.clone());
        }
    }

    /// Applies the runners, sorted by key, that a leader found to have failed; none of
    /// them gets requests for `hold`.
    pub fn apply_failed(&self, failed: &[demand::FailedRunner], hold: std_time::Duration) {
        let now = time::Instant::now();
        let mut fleet = lock(&self.fleet);
        let changes = fleet.set_failed(failed, hold, now);
        let count = fleet.failed(now).len();
        drop(fleet);
        self.metrics.failed_runners.set(count as i64);
        changes
            .into_iter()
            .for_each(|change| self.record_change(change));
    }

    /// Records that this node saw a runner's process fail, to be told to its leader.
    pub fn note_failed(&self, process: &suspect::CrashId) {
        if self.settings.share_demand {
            let key = leader::runner_key(&process.upstream);
            lock(&self.demand).note_failed(key, process.incarnation);
        }
    }

    fn record_change(&self, change: fleet::FleetChange) {
        match change {
            fleet::FleetChange::Found(id, detail) => {
                self.note(event::EventCode::UpstreamFound, &id, detail);
            }
            fleet::FleetChange::Leaving(id) => {
                self.note(event::EventCode::UpstreamLeaving, &id, "");
            }
            fleet::FleetChange::Lost(id, cause) => {
                self.note(event::EventCode::UpstreamLost, &id, cause);
            }
            fleet::FleetChange::Kept(id, until) => {
                let now = time::Instant::now();
                let outage = self.outage().map(|outage| outage.describe(now));
                let detail = format!(
                    "kept_ms={} {}",
                    (until - now).as_millis(),
                    outage.unwrap_or_default()
                );
                self.note(event::EventCode::UpstreamKept, &id, detail);
            }
            fleet::FleetChange::Changed(id, detail) => {
                self.note(event::EventCode::UpstreamChanged, &id, detail);
            }
            fleet::FleetChange::Failed(id, age) => {
                let detail = format!("age_ms={}", age.as_millis());
                self.note(event::EventCode::UpstreamFailed, &id, detail);
            }
            fleet::FleetChange::Regained(id) => {
                self.note(event::EventCode::UpstreamRegained, &id, "");
            }
            fleet::FleetChange::Unreadable(id, reason) => {
                self.note(event::EventCode::UpstreamUnreadable, &id, reason);
            }
        }
    }
}

/// Locks a mutex and ignores poisoning: no panic leaves the state behind it
/// half changed.
pub(crate) fn lock<T>(mutex: &sync::Mutex<T>) -> sync::MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(sync::PoisonError::into_inner)
}
