//! HTTP endpoints for readiness checks, address discovery and metrics.

use std::convert;
use std::sync;

use arbutusfold_platform::discovery;
use hyper::body;

use crate::gateway::core;
use crate::gateway::response;
use crate::member;

/// A caller gets only nodes of its failure domain if at least this many serve
/// there.
const MIN_LOCAL_NODES: usize = 2;

/// Most addresses in one response.
const ADDRESS_LIMIT: usize = 64;

/// Handles a readiness check of the platform or an address query of a caller.
pub async fn handle(
    core: sync::Arc<core::GatewayCore>,
    request: http::Request<body::Incoming>,
) -> Result<response::GatewayResponse, convert::Infallible> {
    let Some(call) = discovery::decode(request.method(), request.uri()) else {
        return Ok(response::plain(http::StatusCode::NOT_FOUND, "no such call"));
    };
    Ok(match call {
        discovery::DiscoveryCall::Ready if core.is_ready() => {
            response::plain(http::StatusCode::OK, "ready")
        }
        discovery::DiscoveryCall::Ready => {
            response::plain(http::StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        discovery::DiscoveryCall::Addresses { domain } => {
            let members = core.members.alive();
            let addresses = choose_addresses(&members, domain.as_deref());
            match addresses.is_empty() {
                true => response::plain(http::StatusCode::SERVICE_UNAVAILABLE, "no node serves"),
                false => {
                    let keep = core.settings.answer_keep_ms;
                    response::json(discovery::encode_addresses(addresses, keep))
                }
            }
        }
    })
}

/// Returns the metrics.
pub async fn handle_metrics(
    core: sync::Arc<core::GatewayCore>,
) -> Result<response::GatewayResponse, convert::Infallible> {
    Ok(response::plain(
        http::StatusCode::OK,
        &core.render_metrics(),
    ))
}

/// Returns the addresses for a caller: those in its failure domain, or all if
/// too few serve there.
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
    let chosen: Vec<_> = match local.clone().count() >= MIN_LOCAL_NODES {
        true => local.map(|record| record.callers).collect(),
        false => serving.map(|record| record.callers).collect(),
    };
    chosen.into_iter().take(ADDRESS_LIMIT).collect()
}
