//! Plain services beside the models, some of whose calls may not be repeated.

use std::sync;

use bytes::Bytes;
use http_body_util::Full;
use tokio::time;

use crate::caller;
use crate::client;
use crate::document;
use crate::id;
use crate::node;
use crate::record;

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Request id.
    pub request: id::RequestId,
    /// Organisation of the caller.
    pub organisation: id::OrganisationName,
    /// HTTP method.
    pub method: http::Method,
    /// Path below the service, with its leading slash.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Body.
    pub body: Bytes,
    /// Key that names the call if it is sent again.
    pub idempotency: Option<String>,
}

/// Runs a call; a marked one at most once.
///
/// # Errors
///
/// [`caller::CallerError`] says whether the call ran.
pub async fn run(
    core: &sync::Arc<node::NodeCore>,
    config: &document::ConfigDocument,
    spec: &document::ServiceSpec,
    call: &ServiceCall,
) -> Result<record::RecordedAnswer, caller::CallerError> {
    if !spec.is_marked(call.method.as_str(), &call.path) {
        return run_repeatable(core, config, spec, call).await;
    }
    let Some(idempotency) = call.idempotency.clone() else {
        return Err(caller::CallerError::new(
            http::StatusCode::BAD_REQUEST,
            "idempotency_key_missing",
            "this call needs the header Idempotency-Key",
        ));
    };
    let key = record::RecordKey {
        organisation: call.organisation.clone(),
        service: spec.name.clone(),
        idempotency,
    };
    let digest = digest_call(call);
    let decision = core.records.start(&key, &call.request, &digest).await;
    match decision {
        Ok(record::RecordDecision::Run) => {
            let upstream = pick(core, config, spec, 0);
            let outcome = dispatch(core, spec, upstream, call).await;
            let answer = outcome.map_err(|_| unknown_outcome())?;
            core.records
                .finish(&key, &call.request, &digest, answer.clone())
                .await;
            Ok(answer)
        }
        Ok(record::RecordDecision::Replay(answer)) => Ok(answer),
        Ok(record::RecordDecision::Reused) => Err(caller::CallerError::new(
            http::StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            "this key was used with another request",
        )),
        Ok(record::RecordDecision::Pending) => Err(unknown_outcome()),
        Err(record::RecordError::NotRun { reason }) => Err(caller::CallerError::new(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "record_unavailable",
            &reason,
        )
        .with_pause(std::time::Duration::from_secs(1))),
        Err(record::RecordError::Unknown { .. }) => Err(unknown_outcome()),
    }
}

async fn run_repeatable(
    core: &sync::Arc<node::NodeCore>,
    config: &document::ConfigDocument,
    spec: &document::ServiceSpec,
    call: &ServiceCall,
) -> Result<record::RecordedAnswer, caller::CallerError> {
    for turn in 0..spec.upstreams.len() {
        let upstream = pick(core, config, spec, turn);
        if let Ok(answer) = dispatch(core, spec, upstream, call).await {
            return Ok(answer);
        }
    }
    Err(caller::CallerError::new(
        http::StatusCode::BAD_GATEWAY,
        "upstream_failed",
        "no upstream answered",
    )
    .with_ran(caller::RunOutcome::Unknown)
    .with_pause(std::time::Duration::from_secs(1)))
}

fn pick<'a>(
    core: &node::NodeCore,
    config: &'a document::ConfigDocument,
    spec: &document::ServiceSpec,
    turn: usize,
) -> Option<&'a document::UpstreamSpec> {
    let count = spec.upstreams.len().max(1);
    let turn = (core.next_turn() + turn) % count;
    config.upstream(spec.upstreams.get(turn)?)
}

async fn dispatch(
    core: &node::NodeCore,
    spec: &document::ServiceSpec,
    upstream: Option<&document::UpstreamSpec>,
    call: &ServiceCall,
) -> Result<record::RecordedAnswer, client::ClientError> {
    let not_sent = |reason: String| client::ClientError::NotSent { reason };
    let upstream = upstream.ok_or_else(|| not_sent("no upstream".to_owned()))?;
    let request = http::Request::builder()
        .method(call.method.clone())
        .uri(format!("http://{}{}", upstream.address, call.path))
        .header(http::header::CONTENT_TYPE, &call.content_type)
        .header("x-request-id", &call.request)
        .body(Full::new(call.body.clone()))
        .map_err(|error| not_sent(error.to_string()))?;
    let exchange = async {
        let response = core.services.send(request).await?;
        let status = response.status().as_u16();
        let content_type = response
            .headers()
            .get(http::header::CONTENT_TYPE)
            .and_then(|value| value.to_str().ok())
            .unwrap_or("application/octet-stream")
            .to_owned();
        let body = client::read_body(response.into_body()).await?;
        Ok(record::RecordedAnswer {
            status,
            content_type,
            body: String::from_utf8_lossy(&body).into_owned(),
        })
    };
    time::timeout(spec.deadline_ms, exchange)
        .await
        .unwrap_or_else(|_| {
            Err(client::ClientError::Lost {
                reason: "no answer within the deadline".to_owned(),
            })
        })
}

fn digest_call(call: &ServiceCall) -> String {
    let mut hasher = blake3::Hasher::new();
    hasher.update(call.method.as_str().as_bytes());
    hasher.update(&[0]);
    hasher.update(call.path.as_bytes());
    hasher.update(&[0]);
    hasher.update(&call.body);
    hasher.finalize().to_hex().to_string()
}

fn unknown_outcome() -> caller::CallerError {
    caller::CallerError::new(
        http::StatusCode::CONFLICT,
        "outcome_unknown",
        "the call was started and its outcome is not known yet; ask again with the same key",
    )
    .with_ran(caller::RunOutcome::Unknown)
    .with_pause(std::time::Duration::from_secs(1))
}
