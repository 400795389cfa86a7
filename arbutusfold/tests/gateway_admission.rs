//! What a node decides of a request before it sends it to a runner.

#![allow(clippy::unwrap_used)]

mod gateway_network;
mod gateway_script;

use std::time as std_time;

use arbutusfold::gateway::mirror;
use arbutusfold_platform::store;
use bytes::Bytes;
use tokio::time;

/// Guards against a request that is refused as only an older document says: the node
/// took the document before it waited for what it has to know first.
#[tokio::test]
async fn document_that_arrives_while_a_request_waits_decides_it() {
    let sound = vec![(0, gateway_script::answer(200, "sound"))];
    let runners = gateway_script::start_runners(1, vec![sound]).await;
    let (core, node) = gateway_script::start_node(&runners).await;
    core.suspects_known.send_replace(false);
    let newer = async {
        time::sleep(std_time::Duration::from_millis(100)).await;
        let text = gateway_script::DOCUMENT.replace("\"version\":1", "\"version\":2");
        let row = mirror::MirrorRow {
            key: store::WatchedTable::DOCUMENT_KEY.to_owned(),
            version: store::RowVersion::new(0, 2),
            value: Some(Bytes::from(text.replace("/p/", "/added/"))),
        };
        core.merge(store::WatchedTable::Operator, vec![row]);
        core.suspects_known.send_replace(true);
    };
    let (answer, ()) = tokio::join!(gateway_script::call(node, "/added/x"), newer);
    assert!(answer.starts_with("HTTP/1.1 200"), "{answer}");
}
