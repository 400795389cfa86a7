//! Metrics of a node.

use prometheus_client::encoding::text;
use prometheus_client::metrics::{counter, gauge};
use prometheus_client::registry;

use crate::peer;

/// Counters and gauges of a node with the registry that exports them.
#[derive(Debug)]
pub struct MetricSet {
    registry: registry::Registry,
    /// Requests received from callers.
    pub requests: counter::Counter,
    /// Requests answered completely.
    pub answered: counter::Counter,
    /// Requests refused or failed.
    pub refused: counter::Counter,
    /// Tokens delivered to callers.
    pub tokens: counter::Counter,
    /// Tokens dropped because their proof was invalid.
    pub dropped: counter::Counter,
    /// Attempts after the first one of a request.
    pub retries: counter::Counter,
    /// Requests in flight.
    pub in_flight: gauge::Gauge,
    /// Messages between nodes.
    pub transport: peer::TransportMetrics,
    /// Version of the configuration document in force.
    pub config_version: gauge::Gauge,
}

impl Default for MetricSet {
    fn default() -> Self {
        let mut set = Self {
            registry: registry::Registry::with_prefix("arbutusfold"),
            requests: counter::Counter::default(),
            answered: counter::Counter::default(),
            refused: counter::Counter::default(),
            tokens: counter::Counter::default(),
            dropped: counter::Counter::default(),
            retries: counter::Counter::default(),
            in_flight: gauge::Gauge::default(),
            transport: peer::TransportMetrics::default(),
            config_version: gauge::Gauge::default(),
        };
        let counters = [
            ("requests", "Requests that callers sent", &set.requests),
            ("answered", "Requests answered completely", &set.answered),
            ("refused", "Requests refused or failed", &set.refused),
            ("tokens", "Tokens delivered to callers", &set.tokens),
            ("dropped", "Tokens dropped for want of proof", &set.dropped),
            ("retries", "Attempts after the first", &set.retries),
        ];
        for (name, help, metric) in counters {
            set.registry.register(name, help, metric.clone());
        }
        set.registry
            .register("in_flight", "Requests in flight", set.in_flight.clone());
        set.transport.register(&mut set.registry);
        set.registry.register(
            "config_version",
            "Version of the configuration in force",
            set.config_version.clone(),
        );
        set
    }
}

impl MetricSet {
    /// Returns all metrics in the OpenMetrics text format.
    pub fn render(&self) -> String {
        let mut text = String::new();
        // Writing to a string cannot fail.
        let _ = text::encode(&mut text, &self.registry);
        text
    }
}
