//! Answers to callers that ask where to connect, to the platform and to operators.

use std::convert;
use std::sync;

use arbutusfold_platform::entry;
use hyper::body;

use crate::gateway::core;
use crate::gateway::response;
use crate::member;

/// Nodes of a caller's failure domain with which the answer names only these.
const LOCAL_NODES: usize = 2;

/// Most addresses that one answer names.
const ADDRESS_LIMIT: usize = 64;

/// Answers a call of the platform or of a caller that asks where to connect.
pub async fn handle(
    core: sync::Arc<core::GatewayCore>,
    request: http::Request<body::Incoming>,
) -> Result<response::GatewayResponse, convert::Infallible> {
    let Some(call) = entry::decode(request.method(), request.uri()) else {
        return Ok(response::plain(http::StatusCode::NOT_FOUND, "no such call"));
    };
    Ok(match call {
        entry::EntryCall::Ready if core.is_ready() => {
            response::plain(http::StatusCode::OK, "ready")
        }
        entry::EntryCall::Ready => {
            response::plain(http::StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        entry::EntryCall::Addresses { domain } => {
            let members = core.members.alive();
            let addresses = choose_addresses(&members, domain.as_deref());
            match addresses.is_empty() {
                true => response::plain(http::StatusCode::SERVICE_UNAVAILABLE, "no node serves"),
                false => {
                    let keep = core.settings.answer_keep_ms;
                    response::json(entry::encode_addresses(addresses, keep))
                }
            }
        }
    })
}

/// Answers with the metrics.
pub async fn handle_metrics(
    core: sync::Arc<core::GatewayCore>,
) -> Result<response::GatewayResponse, convert::Infallible> {
    Ok(response::plain(
        http::StatusCode::OK,
        &core.metrics.render(),
    ))
}

/// Returns the addresses to name to a caller: those of its failure domain,
/// or all where too few serve there.
pub fn choose_addresses(
    members: &[member::MemberRecord],
    domain: Option<&str>,
) -> Vec<std::net::SocketAddr> {
    let serving = members
        .iter()
        .filter(|record| record.phase == member::MemberPhase::Serving);
    let local = serving
        .clone()
        .filter(|record| Some(record.domain.as_str()) == domain);
    let chosen: Vec<_> = match local.clone().count() >= LOCAL_NODES {
        true => local.map(|record| record.callers).collect(),
        false => serving.map(|record| record.callers).collect(),
    };
    chosen.into_iter().take(ADDRESS_LIMIT).collect()
}
