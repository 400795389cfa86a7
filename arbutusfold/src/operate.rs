//! The listener that operators reach: health, metrics, configuration, explain.

use std::convert;
use std::sync;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body;
use serde::{Deserialize, Serialize};
use subtle::ConstantTimeEq;

use crate::caller;
use crate::config;
use crate::console;
use crate::document;
use crate::event;
use crate::id;
use crate::member;
use crate::node;
use crate::platform;

/// Audit entries of one answer when the query names no number.
const HISTORY_ENTRIES: usize = 50;

/// The configuration in force at a node.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ShownDocument {
    /// Version, 0 for none.
    pub version: id::DocumentVersion,
    /// Digest of the text in hexadecimal.
    pub digest: String,
    /// Text as it was submitted.
    pub text: String,
}

/// Answer to a submission that was accepted.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AcceptedDocument {
    /// Version of the document.
    pub version: id::DocumentVersion,
}

/// Which hosts hold which version, as one node sees it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConfigStatus {
    /// Version in force at the node that was asked.
    pub version: id::DocumentVersion,
    /// What is wrong with the table service.
    pub fault: config::StoreFault,
    /// Nodes alive, by name.
    pub hosts: Vec<HostStatus>,
}

/// The version that a host holds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct HostStatus {
    /// Name of the host.
    pub host: id::HostName,
    /// Its region.
    pub region: id::RegionName,
    /// Its failure domain.
    pub domain: id::DomainName,
    /// Version in force there.
    pub version: id::DocumentVersion,
    /// Whether it may be named to callers.
    pub serving: bool,
}

/// Hosts of the region, as one node knows them.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct MemberList {
    /// Their records, by name.
    pub members: Vec<member::MemberRecord>,
}

/// Audit entries, newest first.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct AuditTrail {
    /// The entries.
    pub entries: Vec<config::AuditEntry>,
}

/// The story of one subject.
#[derive(Clone, Debug, Serialize)]
pub struct SubjectStory {
    /// Events about it, oldest first.
    pub events: Vec<event::EventRecord>,
}

/// An error as operators see it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OperatorError {
    /// Stable code.
    pub code: String,
    /// Message for people.
    pub message: String,
    /// The change that came first, for the code `conflict`.
    #[serde(default, skip_serializing_if = "Option::is_none")]
    pub conflict: Option<config::ConfigConflict>,
}

/// Body of an answer that carries an error.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ErrorBody {
    /// The error.
    pub error: OperatorError,
}

/// Answers one request of an operator.
pub async fn answer(
    core: sync::Arc<node::NodeCore>,
    request: http::Request<body::Incoming>,
) -> Result<caller::CallerAnswer, convert::Infallible> {
    let path = request.uri().path().to_owned();
    let answer = match (request.method().as_str(), path.as_str()) {
        ("GET", "/health") => text(http::StatusCode::OK, "ok\n"),
        ("GET", "/ready") => match is_ready(&core) {
            true => text(http::StatusCode::OK, "ready\n"),
            false => text(http::StatusCode::SERVICE_UNAVAILABLE, "not ready\n"),
        },
        ("GET", "/metrics") => text(http::StatusCode::OK, &core.metrics.render()),
        (_, path) if console::owns(path) => console::answer(&core, request).await,
        _ => answer_operator(&core, request, &path).await,
    };
    Ok(answer)
}

/// Tells whether this node serves and its own answers name it.
fn is_ready(core: &node::NodeCore) -> bool {
    core.is_serving() && core.members.is_serving(&core.settings.name)
}

async fn answer_operator(
    core: &node::NodeCore,
    request: http::Request<body::Incoming>,
    path: &str,
) -> caller::CallerAnswer {
    let Some(operator) = operator_of(core, request.headers()) else {
        let message = "the operator token is missing or unknown";
        return refuse(http::StatusCode::UNAUTHORIZED, "token_refused", message);
    };
    match (request.method().as_str(), path) {
        ("POST", "/v1/config") => submit(core, &operator, request).await,
        ("GET", "/v1/config") => show(core, &request).await,
        ("GET", "/v1/members") => json(&MemberList {
            members: core.members.alive(),
        }),
        ("GET", "/v1/config/status") => json(&status(core)),
        ("GET", "/v1/audit") => audit(core, &request).await,
        ("GET", path) => match path.strip_prefix("/v1/explain/") {
            Some(subject) => json(&SubjectStory {
                events: core.recorder.about(subject),
            }),
            None => not_found(),
        },
        _ => not_found(),
    }
}

/// Returns the operator whose token it is.
///
/// Every token is compared, so the time taken tells nothing of a digest.
pub fn operator_of_token(core: &node::NodeCore, token: &str) -> Option<id::OperatorName> {
    let digest = document::digest_key(token);
    core.settings
        .operator_tokens
        .iter()
        .fold(None, |known, held| {
            let same = bool::from(held.digest.as_bytes().ct_eq(digest.as_bytes()));
            if same { Some(held.name.clone()) } else { known }
        })
}

/// Returns which hosts hold which version.
pub fn status(core: &node::NodeCore) -> ConfigStatus {
    let hosts = core.members.alive().into_iter().map(|record| {
        // What this node told its peers of itself is a moment old.
        let own = record.name == core.settings.name;
        HostStatus {
            version: if own {
                core.config.version()
            } else {
                record.version
            },
            serving: if own {
                core.is_serving()
            } else {
                record.phase == member::MemberPhase::Serving
            },
            host: record.name,
            region: record.region,
            domain: record.domain,
        }
    });
    ConfigStatus {
        version: core.config.version(),
        fault: core.config.fault(),
        hosts: hosts.collect(),
    }
}

fn operator_of(core: &node::NodeCore, headers: &http::HeaderMap) -> Option<id::OperatorName> {
    let value = headers.get(http::header::AUTHORIZATION)?.to_str().ok()?;
    operator_of_token(core, value.strip_prefix("Bearer ")?)
}

async fn show(
    core: &node::NodeCore,
    request: &http::Request<body::Incoming>,
) -> caller::CallerAnswer {
    let version = match query(request, "version") {
        Ok(version) => version.unwrap_or_else(|| core.config.version()),
        Err(error) => return refuse_query(error),
    };
    if version == 0 {
        return json(&ShownDocument {
            version,
            digest: String::new(),
            text: String::new(),
        });
    }
    match core.config.text(version).await {
        Ok(Some(text)) => json(&ShownDocument {
            version,
            digest: document::digest_key(&text),
            text,
        }),
        Ok(None) => refuse(
            http::StatusCode::NOT_FOUND,
            "version_unknown",
            "this version does not exist or is no longer kept",
        ),
        Err(error) => unavailable(&error),
    }
}

async fn audit(
    core: &node::NodeCore,
    request: &http::Request<body::Incoming>,
) -> caller::CallerAnswer {
    let before = match query(request, "before") {
        Ok(before) => before,
        Err(error) => return refuse_query(error),
    };
    let limit = match query(request, "limit") {
        Ok(limit) => limit.unwrap_or(HISTORY_ENTRIES),
        Err(error) => return refuse_query(error),
    };
    match core.config.history(before, limit).await {
        Ok(entries) => json(&AuditTrail { entries }),
        Err(error) => unavailable(&error),
    }
}

async fn submit(
    core: &node::NodeCore,
    operator: &str,
    request: http::Request<body::Incoming>,
) -> caller::CallerAnswer {
    let base = match query(&request, "base") {
        Ok(Some(base)) => base,
        Ok(None) => {
            let message = "the query must be base=VERSION";
            return refuse(http::StatusCode::BAD_REQUEST, "base_missing", message);
        }
        Err(error) => return refuse_query(error),
    };
    let limit = config::chunk::DOCUMENT_LIMIT_BYTES;
    let body = Limited::new(request.into_body(), limit).collect();
    let body = match tokio::time::timeout(node::BODY_TIME_LIMIT, body).await {
        Ok(Ok(body)) => body.to_bytes(),
        Ok(Err(error)) => {
            let message = format!("{error}; allowed: at most {limit} bytes");
            return refuse(http::StatusCode::BAD_REQUEST, "body_invalid", &message);
        }
        Err(_) => {
            let message = "the body took too long";
            return refuse(http::StatusCode::REQUEST_TIMEOUT, "body_slow", message);
        }
    };
    let Ok(text) = String::from_utf8(body.to_vec()) else {
        let message = "the body is not UTF-8";
        return refuse(http::StatusCode::BAD_REQUEST, "body_invalid", message);
    };
    match core.config.submit(base, operator, text).await {
        Ok(version) => json(&AcceptedDocument { version }),
        Err(error) => refuse_change(error),
    }
}

fn refuse_change(error: config::ConfigError) -> caller::CallerAnswer {
    let message = error.to_string();
    let (status, code) = match &error {
        config::ConfigError::Invalid(_) => (http::StatusCode::BAD_REQUEST, "document_invalid"),
        config::ConfigError::TooLong { .. } => {
            (http::StatusCode::PAYLOAD_TOO_LARGE, "document_too_long")
        }
        config::ConfigError::Conflict(_) => (http::StatusCode::CONFLICT, "conflict"),
        config::ConfigError::NotAccepted(_) => {
            (http::StatusCode::SERVICE_UNAVAILABLE, "not_accepted")
        }
        config::ConfigError::Unknown { .. } => {
            (http::StatusCode::GATEWAY_TIMEOUT, "outcome_unknown")
        }
    };
    let conflict = match error {
        config::ConfigError::Conflict(conflict) => Some(*conflict),
        _ => None,
    };
    let error = OperatorError {
        code: code.to_owned(),
        message,
        conflict,
    };
    caller::json_answer(status, &serde_json::json!(ErrorBody { error }))
}

/// Returns a number of the query, if it is there.
fn query<T: std::str::FromStr>(
    request: &http::Request<body::Incoming>,
    name: &str,
) -> Result<Option<T>, OperatorError> {
    let query = request.uri().query().unwrap_or_default();
    let value = query.split('&').find_map(|pair| {
        let (key, value) = pair.split_once('=')?;
        (key == name).then_some(value)
    });
    let parsed = value.map(str::parse).transpose();
    parsed.map_err(|_| OperatorError {
        code: "query_invalid".to_owned(),
        message: format!("{name} in the query must be a whole number"),
        conflict: None,
    })
}

fn refuse_query(error: OperatorError) -> caller::CallerAnswer {
    let body = ErrorBody { error };
    caller::json_answer(http::StatusCode::BAD_REQUEST, &serde_json::json!(body))
}

fn json<T: Serialize>(value: &T) -> caller::CallerAnswer {
    caller::json_answer(http::StatusCode::OK, &serde_json::json!(value))
}

fn text(status: http::StatusCode, text: &str) -> caller::CallerAnswer {
    let mut answer = http::Response::new(caller::full(Bytes::from(text.to_owned())));
    *answer.status_mut() = status;
    answer
}

fn refuse(status: http::StatusCode, code: &str, message: &str) -> caller::CallerAnswer {
    let error = OperatorError {
        code: code.to_owned(),
        message: message.to_owned(),
        conflict: None,
    };
    caller::json_answer(status, &serde_json::json!(ErrorBody { error }))
}

fn not_found() -> caller::CallerAnswer {
    refuse(http::StatusCode::NOT_FOUND, "not_found", "no such path")
}

fn unavailable(error: &platform::PlatformError) -> caller::CallerAnswer {
    let message = error.to_string();
    refuse(
        http::StatusCode::SERVICE_UNAVAILABLE,
        "platform_unavailable",
        &message,
    )
}
