//! Counters and latency histograms of a gateway.

use prometheus_client::encoding::{EncodeLabelSet, text};
use prometheus_client::metrics::{counter, family, gauge, histogram};
use prometheus_client::registry;

use crate::peer;

/// Upper bounds of the latency buckets in seconds. They range from a fifth of
/// the shortest objective to the longest deadline in use.
const LATENCY_BOUNDS_S: [f64; 12] = [
    0.02, 0.05, 0.1, 0.15, 0.25, 0.5, 1.0, 2.0, 4.0, 8.0, 16.0, 32.0,
];

/// Labels of the request counter.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct OutcomeLabels {
    /// Service that the request was sent to.
    pub service: String,
    /// HTTP status sent to the caller.
    pub status: u16,
}

/// Labels of the counter of runners that died during a run.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct CrashLabels {
    /// What made the request suspect that the runner died.
    pub sign: String,
}

/// Labels of the counter of runs that were not started.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RunRefusalLabels {
    /// Why the run was not started.
    pub cause: &'static str,
}

/// Labels of the counter of streams that were moved to other runners.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct RerouteLabels {
    /// Why the runners were replaced.
    pub cause: String,
}

/// Labels of the counter of answers that ended.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct AnswerEndLabels {
    /// What tells where the body ends.
    pub framing: String,
    /// What had become of the connection.
    pub connection: String,
}

/// Labels of the counter of requests and connections that met a bound.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct BoundLabels {
    /// Which bound.
    pub cause: &'static str,
}

/// Labels of the counter of refused tunnels.
#[derive(Clone, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct TunnelRefusalLabels {
    /// Why this node refused the tunnel.
    pub cause: String,
}

/// Counters of the tunnels between nodes; clones share them.
#[derive(Clone, Debug, Default)]
pub struct TunnelMetrics {
    /// Tunnels that this node opened through others.
    pub opened: counter::Counter,
    /// Tunnels that this node served.
    pub served: counter::Counter,
    /// Tunnels that this node refused, by cause.
    pub refused: family::Family<TunnelRefusalLabels, counter::Counter>,
    /// Opened tunnels that were lost before their end.
    pub lost: counter::Counter,
    /// Tunnels through other nodes that are open.
    pub open: gauge::Gauge,
    /// Tunnels that are being served.
    pub serving: gauge::Gauge,
}

impl TunnelMetrics {
    fn register(&self, registry: &mut registry::Registry) {
        let counters = [
            ("tunnels_opened", "Tunnels through nodes", &self.opened),
            ("tunnels_served", "Tunnels served for nodes", &self.served),
            ("tunnels_lost", "Tunnels that broke", &self.lost),
        ];
        for (name, help, metric) in counters {
            registry.register(name, help, metric.clone());
        }
        registry.register(
            "tunnels_refused",
            "Tunnels that were not served, by cause",
            self.refused.clone(),
        );
        let gauges = [
            ("tunnels_open", "Open tunnels through nodes", &self.open),
            ("tunnels_serving", "Open tunnels for nodes", &self.serving),
        ];
        for (name, help, metric) in gauges {
            registry.register(name, help, metric.clone());
        }
    }
}

/// Metrics of a gateway and the registry that exports them.
#[derive(Debug)]
pub struct GatewayMetrics {
    registry: registry::Registry,
    /// Completed requests, by service and status.
    pub requests: family::Family<OutcomeLabels, counter::Counter>,
    /// Requests in flight.
    pub in_flight: gauge::Gauge,
    /// Attempts of requests after the first one.
    pub retries: counter::Counter,
    /// Runs that were not started, by cause.
    pub refused_runs: family::Family<RunRefusalLabels, counter::Counter>,
    /// Requests that wait for room.
    pub waiting: gauge::Gauge,
    /// Requests that waited for room and were sent.
    pub waited: counter::Counter,
    /// Requests that got no room, by cause.
    pub room_refusals: family::Family<RunRefusalLabels, counter::Counter>,
    /// Runners that died during a run of a request, once for each request.
    pub crashes: family::Family<CrashLabels, counter::Counter>,
    /// Permits to send a request to a runner that named a limit.
    pub limit_permits: counter::Counter,
    /// Claims for such a permit that were denied or not answered.
    pub limit_denials: counter::Counter,
    /// Answers of runners whose bodies ended, by framing and end of the connection.
    pub answer_ends: family::Family<AnswerEndLabels, counter::Counter>,
    /// Streams resumed on another path.
    pub resumed: counter::Counter,
    /// Running streams moved to other runners, by cause.
    pub rerouted: family::Family<RerouteLabels, counter::Counter>,
    /// Checks of the runners of a silent stream.
    pub stage_checks: counter::Counter,
    /// Connections that these checks opened to the runners of the stream.
    pub stage_connections: counter::Counter,
    /// Calls to runners after answers that ended with their connection.
    pub end_calls: counter::Counter,
    /// Callers that disconnected before the end of their response.
    pub abandoned: counter::Counter,
    /// Orders sent to runners.
    pub orders: counter::Counter,
    /// Calls to the platform's store.
    pub store_calls: counter::Counter,
    /// Hops between failure domains on chosen paths.
    pub path_crossings: counter::Counter,
    /// Reservations of memory that an answer outgrew.
    pub corrected_reservations: counter::Counter,
    /// Expected time to the first event on a chosen path, in seconds.
    pub expected_first_seconds: histogram::Histogram,
    /// Panics, each of which ended a task or the handling of a request.
    pub panics: counter::Counter,
    /// Runners to which this node sends nothing because a leader found them to have
    /// failed.
    pub failed_runners: gauge::Gauge,
    /// Failures of runners that were withdrawn again.
    pub failures_withdrawn: counter::Counter,
    /// Retries of other nodes that this one sent.
    pub borrowed_retries: counter::Counter,
    /// Retries of this node that others may send.
    pub lent_retries: counter::Counter,
    /// Bytes of demand sent to other nodes.
    pub demand_bytes: counter::Counter,
    /// Messages between nodes.
    pub transport: peer::TransportMetrics,
    /// Tunnels between nodes.
    pub tunnels: TunnelMetrics,
    /// Requests and connections of callers that met a bound, by cause.
    pub bounded: family::Family<BoundLabels, counter::Counter>,
    /// Open connections of all listeners for callers and the platform.
    pub connections: gauge::Gauge,
    /// Memory that callers make the process hold, in bytes.
    pub held_bytes: gauge::Gauge,
    /// Version of the document in force.
    pub document_version: gauge::Gauge,
    /// Era of the store.
    pub store_era: gauge::Gauge,
    /// Time for which this node has known of a row that it lacks.
    pub rows_behind_ms: gauge::Gauge,
    /// Time to the first event of a stream, in seconds.
    pub first_seconds: histogram::Histogram,
    /// Time to the end of a response, in seconds.
    pub total_seconds: histogram::Histogram,
    /// Longest pause between two events of a stream, in seconds; one value per
    /// stream.
    pub gap_seconds: histogram::Histogram,
}

impl Default for GatewayMetrics {
    fn default() -> Self {
        let latency = || histogram::Histogram::new(LATENCY_BOUNDS_S);
        let mut set = Self {
            registry: registry::Registry::with_prefix("arbutusfold"),
            requests: family::Family::default(),
            in_flight: gauge::Gauge::default(),
            retries: counter::Counter::default(),
            refused_runs: family::Family::default(),
            waiting: gauge::Gauge::default(),
            waited: counter::Counter::default(),
            room_refusals: family::Family::default(),
            crashes: family::Family::default(),
            limit_permits: counter::Counter::default(),
            limit_denials: counter::Counter::default(),
            answer_ends: family::Family::default(),
            resumed: counter::Counter::default(),
            rerouted: family::Family::default(),
            stage_checks: counter::Counter::default(),
            stage_connections: counter::Counter::default(),
            end_calls: counter::Counter::default(),
            abandoned: counter::Counter::default(),
            orders: counter::Counter::default(),
            store_calls: counter::Counter::default(),
            path_crossings: counter::Counter::default(),
            corrected_reservations: counter::Counter::default(),
            expected_first_seconds: latency(),
            panics: counter::Counter::default(),
            failed_runners: gauge::Gauge::default(),
            failures_withdrawn: counter::Counter::default(),
            borrowed_retries: counter::Counter::default(),
            lent_retries: counter::Counter::default(),
            demand_bytes: counter::Counter::default(),
            transport: peer::TransportMetrics::default(),
            tunnels: TunnelMetrics::default(),
            bounded: family::Family::default(),
            connections: gauge::Gauge::default(),
            held_bytes: gauge::Gauge::default(),
            document_version: gauge::Gauge::default(),
            store_era: gauge::Gauge::default(),
            rows_behind_ms: gauge::Gauge::default(),
            first_seconds: latency(),
            total_seconds: latency(),
            gap_seconds: latency(),
        };
        let registry = &mut set.registry;
        registry.register("requests", "Requests that ended", set.requests.clone());
        registry.register("in_flight", "Requests in flight", set.in_flight.clone());
        registry.register("retries", "Sends after the first", set.retries.clone());
        registry.register(
            "refused_runs",
            "Runs that were not started, by cause",
            set.refused_runs.clone(),
        );
        registry.register("waiting", "Requests that wait", set.waiting.clone());
        registry.register("waited", "Waits that ended in a send", set.waited.clone());
        registry.register(
            "room_refusals",
            "Requests that got no room, by cause",
            set.room_refusals.clone(),
        );
        registry.register(
            "crashes",
            "Runners that died during a run of a request",
            set.crashes.clone(),
        );
        registry.register(
            "limit_permits",
            "Permits to send to a runner that named a limit",
            set.limit_permits.clone(),
        );
        registry.register(
            "limit_denials",
            "Claims for such a permit that got none",
            set.limit_denials.clone(),
        );
        registry.register(
            "answer_ends",
            "Answers whose bodies ended, by framing and connection",
            set.answer_ends.clone(),
        );
        registry.register("resumed", "Streams resumed elsewhere", set.resumed.clone());
        registry.register(
            "rerouted",
            "Running streams moved to other runners, by cause",
            set.rerouted.clone(),
        );
        registry.register(
            "stage_checks",
            "Checks of the runners of a silent stream",
            set.stage_checks.clone(),
        );
        registry.register(
            "stage_connections",
            "Connections that such checks opened",
            set.stage_connections.clone(),
        );
        registry.register(
            "end_calls",
            "Calls to runners after answers that ended with their connection",
            set.end_calls.clone(),
        );
        registry.register(
            "abandoned",
            "Callers that left early",
            set.abandoned.clone(),
        );
        registry.register("orders", "Orders sent to runners", set.orders.clone());
        registry.register("store_calls", "Calls to the store", set.store_calls.clone());
        registry.register(
            "path_crossings",
            "Hops between failure domains on chosen paths",
            set.path_crossings.clone(),
        );
        registry.register(
            "corrected_reservations",
            "Reservations of memory that an answer outgrew",
            set.corrected_reservations.clone(),
        );
        registry.register(
            "expected_first_seconds",
            "Expected time to the first event on a chosen path",
            set.expected_first_seconds.clone(),
        );
        registry.register("panics", "Panics of tasks", set.panics.clone());
        registry.register(
            "failed_runners",
            "Runners that a leader found to have failed",
            set.failed_runners.clone(),
        );
        registry.register(
            "failures_withdrawn",
            "Failures of runners that were withdrawn",
            set.failures_withdrawn.clone(),
        );
        registry.register(
            "borrowed_retries",
            "Retries that other nodes lent to this one",
            set.borrowed_retries.clone(),
        );
        registry.register(
            "lent_retries",
            "Retries that this node lent to others",
            set.lent_retries.clone(),
        );
        registry.register(
            "demand_bytes",
            "Bytes of demand sent to other nodes",
            set.demand_bytes.clone(),
        );
        set.transport.register(registry);
        set.tunnels.register(registry);
        registry.register(
            "callers_bounded",
            "Requests and connections refused or closed, by cause",
            set.bounded.clone(),
        );
        registry.register(
            "caller_connections",
            "Open connections of callers",
            set.connections.clone(),
        );
        registry.register(
            "caller_bytes",
            "Memory that callers make the process hold",
            set.held_bytes.clone(),
        );
        let version = set.document_version.clone();
        registry.register(
            "document_version",
            "Version of the document in force",
            version,
        );
        registry.register(
            "store_era",
            "Latest known era of the store, which rises when it comes back from an older copy",
            set.store_era.clone(),
        );
        registry.register(
            "rows_behind_ms",
            "Time since a peer named a newer row than this node has",
            set.rows_behind_ms.clone(),
        );
        let first = set.first_seconds.clone();
        registry.register("first_seconds", "Time to the first event or answer", first);
        let total = set.total_seconds.clone();
        registry.register("total_seconds", "Time to the end of an answer", total);
        let gap = set.gap_seconds.clone();
        registry.register("gap_seconds", "Longest pause between two events", gap);
        set
    }
}

impl GatewayMetrics {
    /// Returns every metric in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
