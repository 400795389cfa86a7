//! Counters of the transport between nodes.

use prometheus_client::encoding::{EncodeLabelSet, EncodeLabelValue};
use prometheus_client::metrics::{counter, family, gauge};
use prometheus_client::registry;

/// Why a message between nodes was dropped.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelValue)]
pub enum DropCause {
    /// The queue of a peer was full; its oldest message gave way.
    SendQueueFull,
    /// The message waited too long for a connection.
    Expired,
    /// The message is larger than the peer accepts.
    TooLarge,
    /// The node had not processed earlier messages yet.
    ReceiveBufferFull,
}

/// Labels of the counter of dropped messages.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash, EncodeLabelSet)]
pub struct DropLabels {
    /// Why the message was dropped.
    pub cause: DropCause,
}

/// Counters of one transport; clones share them.
#[derive(Clone, Debug, Default)]
pub struct TransportMetrics {
    /// Messages that were dropped, by cause.
    pub dropped: family::Family<DropLabels, counter::Counter>,
    /// Bytes of messages handed to connections.
    pub sent_bytes: counter::Counter,
    /// Bytes of messages received.
    pub received_bytes: counter::Counter,
    /// Open connections that peers dialled.
    pub inbound: gauge::Gauge,
    /// Dialled connections that broke.
    pub lost: counter::Counter,
}

impl TransportMetrics {
    /// Registers the counters for export.
    pub fn register(&self, registry: &mut registry::Registry) {
        registry.register(
            "peer_dropped",
            "Messages between nodes that were dropped, by cause",
            self.dropped.clone(),
        );
        let counters = [
            ("peer_sent_bytes", "Bytes sent to nodes", &self.sent_bytes),
            (
                "peer_received_bytes",
                "Bytes received from nodes",
                &self.received_bytes,
            ),
            ("peer_lost", "Connections to nodes that broke", &self.lost),
        ];
        for (name, help, metric) in counters {
            registry.register(name, help, metric.clone());
        }
        let inbound = self.inbound.clone();
        registry.register("peer_inbound", "Open connections from nodes", inbound);
    }

    /// Counts `number` dropped messages.
    pub(crate) fn count_dropped(&self, cause: DropCause, number: usize) {
        if number > 0 {
            let counter = self.dropped.get_or_create(&DropLabels { cause });
            counter.inc_by(number as u64);
        }
    }
}
