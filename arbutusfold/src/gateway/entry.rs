//! Answers to callers that ask where to connect, to the platform and to operators.

use std::convert;
use std::sync;

use arbutusfold_platform::entry;
use hyper::body;

use crate::gateway::answer;
use crate::gateway::core;
use crate::member;

/// Nodes of a caller's failure domain with which the answer names only these.
const LOCAL_NODES: usize = 2;

/// Most addresses that one answer names.
const ADDRESS_LIMIT: usize = 64;

/// Answers a call of the platform or of a caller that asks where to connect.
pub async fn answer(
    core: sync::Arc<core::GatewayCore>,
    request: http::Request<body::Incoming>,
) -> Result<answer::GatewayAnswer, convert::Infallible> {
    let Some(call) = entry::decode(request.method(), request.uri()) else {
        return Ok(answer::plain(http::StatusCode::NOT_FOUND, "no such call"));
    };
    Ok(match call {
        entry::EntryCall::Ready if core.is_ready() => answer::plain(http::StatusCode::OK, "ready"),
        entry::EntryCall::Ready => {
            answer::plain(http::StatusCode::SERVICE_UNAVAILABLE, "not ready")
        }
        entry::EntryCall::Addresses { domain } => {
            let members = core.members.alive();
            let addresses = choose(&members, domain.as_deref());
            match addresses.is_empty() {
                true => answer::plain(http::StatusCode::SERVICE_UNAVAILABLE, "no node serves"),
                false => {
                    let keep = core.settings.answer_keep_ms;
                    answer::json(entry::encode_addresses(addresses, keep))
                }
            }
        }
    })
}

/// Answers with the metrics.
pub async fn answer_metrics(
    core: sync::Arc<core::GatewayCore>,
) -> Result<answer::GatewayAnswer, convert::Infallible> {
    Ok(answer::plain(http::StatusCode::OK, &core.metrics.render()))
}

/// Returns the addresses to name to a caller: those of its failure domain,
/// or all where too few serve there.
pub fn choose(members: &[member::MemberRecord], domain: Option<&str>) -> Vec<std::net::SocketAddr> {
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
