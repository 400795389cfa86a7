//! Plain services beside the models, some of whose calls may not be repeated.

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

/// Time after which a caller may ask again.
const COME_BACK: std::time::Duration = std::time::Duration::from_secs(1);

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
    /// When the call was received.
    pub received: time::Instant,
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
    pass: &traffic::EntryPass,
) -> Result<record::RecordedAnswer, caller::CallerError> {
    if !spec.is_non_idempotent(call.method.as_str(), &call.path) {
        return run_repeatable(core, config, spec, call, pass).await;
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
    let dispatcher = ServiceDispatch {
        core,
        config,
        spec,
        call,
        first: core.next_turn(),
    };
    let marked = record::MarkedCall {
        key,
        digest: digest_call(call),
        received: call.received,
        turns: spec.upstreams.len(),
        deadline: spec.deadline_ms,
        dispatcher: &dispatcher,
    };
    record::run_marked(&core.records, &marked)
        .await
        .map_err(|error| marked_failed(&error))
}

/// Sends a marked call to the upstreams of its service in turn.
struct ServiceDispatch<'a> {
    core: &'a node::NodeCore,
    config: &'a document::ConfigDocument,
    spec: &'a document::ServiceSpec,
    call: &'a ServiceCall,
    first: usize,
}

#[async_trait]
impl record::CallDispatch for ServiceDispatch<'_> {
    async fn dispatch(&self, turn: usize) -> Result<record::RecordedAnswer, record::DispatchError> {
        let upstream = pick(self.config, self.spec, self.first + turn);
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

fn marked_failed(error: &record::MarkedError) -> caller::CallerError {
    use caller::RunOutcome;
    use http::StatusCode;
    let (status, code, ran) = match error {
        record::MarkedError::NotRun { .. } => (
            StatusCode::SERVICE_UNAVAILABLE,
            "call_not_run",
            RunOutcome::No,
        ),
        record::MarkedError::Reused => (
            StatusCode::UNPROCESSABLE_ENTITY,
            "idempotency_key_reused",
            RunOutcome::No,
        ),
        record::MarkedError::Pending { .. } => {
            (StatusCode::CONFLICT, "outcome_unknown", RunOutcome::Unknown)
        }
        record::MarkedError::Unreachable { .. } => (
            StatusCode::SERVICE_UNAVAILABLE,
            "record_unavailable",
            RunOutcome::Unknown,
        ),
    };
    let failed = caller::CallerError::new(status, code, &error.to_string())
        .with_ran(ran)
        .with_record();
    match error {
        record::MarkedError::Reused => failed,
        // Asking again with the same key is safe and gets the first answer.
        _ => failed.with_pause(COME_BACK),
    }
}

async fn run_repeatable(
    core: &sync::Arc<node::NodeCore>,
    config: &document::ConfigDocument,
    spec: &document::ServiceSpec,
    call: &ServiceCall,
    pass: &traffic::EntryPass,
) -> Result<record::RecordedAnswer, caller::CallerError> {
    let first = core.next_turn();
    for turn in 0..spec.upstreams.len() {
        let Some(upstream) = pick(config, spec, first + turn) else {
            continue;
        };
        let name = &upstream.name;
        if !core.traffic.may_call(&spec.name, &spec.upstreams, name) {
            continue;
        }
        let deadline = call.received + spec.deadline_ms;
        match dispatch(core, spec, Some(upstream), call).await {
            Ok(answer) => {
                core.traffic.note_call(&spec.name, name);
                return Ok(answer);
            }
            Err(error) => {
                let sent = !matches!(error, client::ClientError::NotSent { .. });
                let failed = traffic::FailedCall {
                    service: &spec.name,
                    upstream: name,
                    sent,
                    // A call that ran out of time broke no connection.
                    died: sent && time::Instant::now() < deadline,
                    deadline,
                };
                core.traffic
                    .retry_call(pass, &call.organisation, &call.request, &failed)
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
    .with_pause(COME_BACK))
}

fn pick<'a>(
    config: &'a document::ConfigDocument,
    spec: &document::ServiceSpec,
    turn: usize,
) -> Option<&'a document::UpstreamSpec> {
    let count = spec.upstreams.len().max(1);
    config.upstream(spec.upstreams.get(turn % count)?)
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
