//! Calls of plain services, some of which must not run more than once.

use std::sync;

use async_trait::async_trait;
use bytes::Bytes;
use http_body_util::Full;
use tokio::time;

use crate::caller;
use crate::client;
use crate::document;
use crate::id;
use crate::node;
use crate::record;
use crate::traffic;

/// Delay suggested to a caller before it retries a failed call.
const RETRY_AFTER: std::time::Duration = std::time::Duration::from_secs(1);

/// A call of a plain service.
#[derive(Clone, Debug)]
pub struct ServiceCall {
    /// Request id.
    pub request: id::RequestId,
    /// Organisation of the caller.
    pub organisation: id::OrganisationName,
    /// HTTP method.
    pub method: http::Method,
    /// Path within the service, with a leading slash.
    pub path: String,
    /// Content type of the body.
    pub content_type: String,
    /// Request body.
    pub body: Bytes,
    /// Time of receipt.
    pub received: time::Instant,
    /// Value of the header `Idempotency-Key`, which is the same in a resend of
    /// the call.
    pub idempotency_key: Option<String>,
}

/// Runs a call; one marked as not idempotent runs at most once.
///
/// # Errors
///
/// [`caller::CallerError`], which says whether the call ran.
pub async fn run(
    core: &sync::Arc<node::NodeCore>,
    config: &document::ConfigDocument,
    spec: &document::ServiceSpec,
    call: &ServiceCall,
    guard: &traffic::EntryGuard,
) -> Result<record::RecordedAnswer, caller::CallerError> {
    if !spec.is_non_idempotent(call.method.as_str(), &call.path) {
        return run_idempotent(core, config, spec, call, guard).await;
    }
    let Some(idempotency) = call.idempotency_key.clone() else {
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
    let dispatcher = ServiceDispatch {
        core,
        config,
        spec,
        call,
        first_index: core.next_round_robin(),
    };
    let marked = record::KeyedCall {
        key,
        digest: digest_call(call),
        received: call.received,
        upstream_count: spec.upstreams.len(),
        timeout: spec.deadline_ms,
        dispatcher: &dispatcher,
    };
    record::run_keyed(&core.records, &marked)
        .await
        .map_err(|error| marked_error(&error))
}

/// Sends a marked call to the upstreams of its service, one after another.
struct ServiceDispatch<'a> {
    core: &'a node::NodeCore,
    config: &'a document::ConfigDocument,
    spec: &'a document::ServiceSpec,
    call: &'a ServiceCall,
    first_index: usize,
}

#[async_trait]
impl record::CallDispatch for ServiceDispatch<'_> {
    async fn dispatch(&self, turn: usize) -> Result<record::RecordedAnswer, record::DispatchError> {
        let upstream = pick_upstream(self.config, self.spec, self.first_index + turn);
        dispatch(self.core, self.spec, upstream, self.call)
            .await
            .map_err(|error| match error {
                client::ClientError::NotSent { reason } => {
                    record::DispatchError::NotSent { reason }
                }
                error => record::DispatchError::Lost {
                    reason: error.to_string(),
                },
            })
    }
}

fn marked_error(error: &record::KeyedError) -> caller::CallerError {
    use caller::RunOutcome;
    use http::StatusCode;
    let (status, code, ran) = match error {
        record::KeyedError::NotRun { .. } => (
            StatusCode::SERVICE_UNAVAILABLE,
            "call_not_run",
            RunOutcome::No,
        ),
        record::KeyedError::Reused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            RunOutcome::No,
        ),
        record::KeyedError::Pending { .. } => {
            (StatusCode::CONFLICT, "outcome_unknown", RunOutcome::Unknown)
        }
        record::KeyedError::Unreachable { .. } => (
            StatusCode::SERVICE_UNAVAILABLE,
            "record_unavailable",
            RunOutcome::Unknown,
        ),
    };
    let failed = caller::CallerError::new(status, code, &error.to_string())
        .with_ran(ran)
        .with_record();
    match error {
        record::KeyedError::Reused => failed,
        // Retrying with the same key is safe and returns the first answer.
        _ => failed.with_pause(RETRY_AFTER),
    }
}

async fn run_idempotent(
    core: &sync::Arc<node::NodeCore>,
    config: &document::ConfigDocument,
    spec: &document::ServiceSpec,
    call: &ServiceCall,
    guard: &traffic::EntryGuard,
) -> Result<record::RecordedAnswer, caller::CallerError> {
    let first_index = core.next_round_robin();
    for attempt in 0..spec.upstreams.len() {
        let Some(upstream) = pick_upstream(config, spec, first_index + attempt) else {
            continue;
        };
        let name = &upstream.name;
        if !core.traffic.may_call(&spec.name, &spec.upstreams, name) {
            continue;
        }
        let deadline = call.received + spec.deadline_ms;
        match dispatch(core, spec, Some(upstream), call).await {
            Ok(answer) => {
                core.traffic.record_success(&spec.name, name);
                return Ok(answer);
            }
            Err(error) => {
                let sent = !matches!(error, client::ClientError::NotSent { .. });
                let failed = traffic::FailedCall {
                    service: &spec.name,
                    upstream: name,
                    sent,
                    // A call that timed out did not lose its connection.
                    disconnected: sent && time::Instant::now() < deadline,
                    deadline,
                };
                core.traffic
                    .retry_call(guard, &call.organisation, &call.request, &failed)
                    .await?;
            }
        }
    }
    Err(caller::CallerError::new(
        http::StatusCode::BAD_GATEWAY,
        "upstream_failed",
        "no upstream answered",
    )
    .with_ran(caller::RunOutcome::Unknown)
    .with_pause(RETRY_AFTER))
}

fn pick_upstream<'a>(
    config: &'a document::ConfigDocument,
    spec: &document::ServiceSpec,
    index: usize,
) -> Option<&'a document::UpstreamSpec> {
    let count = spec.upstreams.len().max(1);
    config.upstream(spec.upstreams.get(index % count)?)
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
            body: body.to_vec(),
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
