//! Tests of the state that the modules of a gateway share.

#![allow(clippy::unwrap_used)]

use arbutusfold::gateway::{core, mirror, settings};
use arbutusfold_platform::store;
use bytes::Bytes;

fn core() -> core::GatewayCore {
    let text = r#"{"name": "front-1", "region": "r", "domain": "a",
        "callers": "10.0.0.1:1", "ready": "10.0.0.1:2", "directory": "10.0.0.1:3",
        "peers": "10.0.0.1:4", "metrics": "10.0.0.1:5", "store": "10.0.0.1:6",
        "peer_keys": ["00112233445566778899aabbccddeeff00112233445566778899aabbccddeeff"]}"#;
    let settings = settings::parse_file("node.jsonc", text).unwrap();
    let logger = slog::Logger::root(slog::Discard, slog::o!());
    core::GatewayCore::new(settings, logger)
}

fn document_row(row_version: u64, version: u64) -> mirror::MirrorRow {
    let text = format!(r#"{{"version": {version}, "routes": [], "services": []}}"#);
    mirror::MirrorRow {
        key: store::WatchedTable::DOCUMENT_KEY.to_owned(),
        version: row_version,
        value: Some(Bytes::from(text)),
    }
}

/// Guards against a node that follows the store back to an older document.
#[tokio::test]
async fn document_of_a_lower_version_never_comes_into_force() {
    let core = core();
    core.merge(store::WatchedTable::Operator, vec![document_row(10, 6)]);
    assert_eq!(core.document_version(), 6);
    core.merge(store::WatchedTable::Operator, vec![document_row(11, 3)]);
    core.replace(store::WatchedTable::Operator, vec![document_row(12, 4)], 12);
    assert_eq!(core.document_version(), 6);
    core.merge(store::WatchedTable::Operator, vec![document_row(13, 9)]);
    assert_eq!(core.document_version(), 9);
}
