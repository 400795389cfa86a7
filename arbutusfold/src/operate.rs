//! The listener that operators reach: health, metrics, configuration, explain.

use std::convert;
use std::sync;

use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body;
use subtle::ConstantTimeEq;

use crate::caller;
use crate::config;
use crate::document;
use crate::node;

/// Longest configuration document in bytes.
const DOCUMENT_LIMIT_BYTES: usize = 8 << 20;

/// Answers one request of an operator.
pub async fn answer(
    core: sync::Arc<node::NodeCore>,
    request: http::Request<body::Incoming>,
) -> Result<caller::CallerAnswer, convert::Infallible> {
    let path = request.uri().path().to_owned();
    let answer = match (request.method().as_str(), path.as_str()) {
        ("GET", "/health") => text(http::StatusCode::OK, "ok\n".to_owned()),
        ("GET", "/ready") => match core.is_serving() {
            true => text(http::StatusCode::OK, "ready\n".to_owned()),
            false => text(
                http::StatusCode::SERVICE_UNAVAILABLE,
                "not ready\n".to_owned(),
            ),
        },
        ("GET", "/metrics") => text(http::StatusCode::OK, core.metrics.render()),
        _ if operator_of(&core, request.headers()).is_none() => caller::json_answer(
            http::StatusCode::UNAUTHORIZED,
            &serde_json::json!({"error": {"code": "token_refused", "message": "operator token is missing or unknown"}}),
        ),
        ("POST", "/v1/config") => submit(&core, request).await,
        ("GET", "/v1/members") => caller::json_answer(
            http::StatusCode::OK,
            &serde_json::json!({ "members": core.members.alive() }),
        ),
        ("GET", "/v1/config") => show(&core),
        ("GET", path) if path.starts_with("/v1/explain/") => {
            let subject = path.trim_start_matches("/v1/explain/");
            caller::json_answer(
                http::StatusCode::OK,
                &serde_json::json!({ "events": core.recorder.about(subject) }),
            )
        }
        _ => caller::json_answer(
            http::StatusCode::NOT_FOUND,
            &serde_json::json!({"error": {"code": "not_found", "message": "no such path"}}),
        ),
    };
    Ok(answer)
}

fn text(status: http::StatusCode, text: String) -> caller::CallerAnswer {
    let mut answer = http::Response::new(caller::full(Bytes::from(text)));
    *answer.status_mut() = status;
    answer
}

/// Returns a short name for the operator whose token the request carries.
fn operator_of(core: &node::NodeCore, headers: &http::HeaderMap) -> Option<String> {
    let token = headers
        .get(http::header::AUTHORIZATION)?
        .to_str()
        .ok()?
        .strip_prefix("Bearer ")?;
    let digest = document::digest_key(token);
    // Every token is compared, so the time taken tells nothing of a digest.
    core.settings
        .operator_tokens
        .iter()
        .fold(None, |known, held| {
            let same = bool::from(held.digest.as_bytes().ct_eq(digest.as_bytes()));
            if same { Some(held.name.clone()) } else { known }
        })
}

fn show(core: &node::NodeCore) -> caller::CallerAnswer {
    let held = core.config.current();
    let shown = held.map(|held| serde_json::json!({"version": held.version, "text": held.text}));
    caller::json_answer(
        http::StatusCode::OK,
        &shown.unwrap_or_else(|| serde_json::json!({"version": 0, "text": ""})),
    )
}

async fn submit(
    core: &sync::Arc<node::NodeCore>,
    request: http::Request<body::Incoming>,
) -> caller::CallerAnswer {
    let refuse = |status: http::StatusCode, code: &str, message: String| {
        caller::json_answer(
            status,
            &serde_json::json!({"error": {"code": code, "message": message}}),
        )
    };
    let operator = operator_of(core, request.headers()).unwrap_or_default();
    let base = request
        .uri()
        .query()
        .and_then(|query| query.strip_prefix("base="))
        .and_then(|base| base.parse().ok());
    let Some(base) = base else {
        let message = "the query must be base=VERSION".to_owned();
        return refuse(http::StatusCode::BAD_REQUEST, "base_missing", message);
    };
    let body = Limited::new(request.into_body(), DOCUMENT_LIMIT_BYTES)
        .collect()
        .await;
    let text = body.map_err(|error| error.to_string()).and_then(|body| {
        String::from_utf8(body.to_bytes().to_vec()).map_err(|error| error.to_string())
    });
    let text = match text {
        Ok(text) => text,
        Err(message) => return refuse(http::StatusCode::BAD_REQUEST, "body_invalid", message),
    };
    match core.config.submit(base, &operator, text).await {
        Ok(version) => caller::json_answer(
            http::StatusCode::OK,
            &serde_json::json!({ "version": version }),
        ),
        Err(error) => {
            let (status, code) = match &error {
                config::ConfigError::Invalid(_) => {
                    (http::StatusCode::BAD_REQUEST, "document_invalid")
                }
                config::ConfigError::Conflict { .. } => (http::StatusCode::CONFLICT, "conflict"),
                config::ConfigError::Platform(_) => (
                    http::StatusCode::SERVICE_UNAVAILABLE,
                    "platform_unavailable",
                ),
            };
            refuse(status, code, error.to_string())
        }
    }
}
