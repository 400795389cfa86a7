//! Handling of callers' requests: admission, plain services and outcomes.

use std::convert;
use std::sync;
use std::time as std_time;

use arbutusfold_platform::{document, head};
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body;
use rand::RngExt;
use tokio::time;

use crate::event;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::crash;
use crate::gateway::metrics;
use crate::gateway::request;
use crate::gateway::response;
use crate::gateway::routing;
use crate::gateway::stream;

/// Time subtracted from a deadline for sending the response to the caller.
const RESPONSE_MARGIN: std_time::Duration = std_time::Duration::from_millis(30);

/// `Retry-After` time of a node that has no document yet. The node waits for the
/// store, and most callers retry only once.
const UNREADY_RETRY_AFTER: std_time::Duration = std_time::Duration::from_millis(2_000);

/// Time that a request waits for a node that has just started to learn which
/// requests crash runners.
const LEARN_TIMEOUT: std_time::Duration = std_time::Duration::from_millis(300);

/// Handles one request of a caller.
pub async fn handle(
    core: sync::Arc<core::GatewayCore>,
    request: http::Request<body::Incoming>,
) -> Result<response::GatewayResponse, convert::Infallible> {
    let started = time::Instant::now();
    let head = head::decode_caller(request.headers());
    let request_id = head.request.clone();
    core.metrics.in_flight.inc();
    let _guard = InFlightGuard(sync::Arc::clone(&core));
    let disconnect = DisconnectGuard::new(&core, &request_id, started);
    let mut response = match admit(&core, head, request, started).await {
        Ok(request) => serve(request).await,
        Err(refusal) => {
            let detail = format!(
                "status={} cause={} document={} ms={}",
                refusal.status.as_u16(),
                refusal.cause,
                core.document_version(),
                started.elapsed().as_millis()
            );
            core.note(event::EventCode::RequestRefused, &request_id, detail);
            count_request(&core, "none", refusal.status);
            refusal.to_response()
        }
    };
    disconnect.disarm();
    if core.is_stopping() {
        let close = http::HeaderValue::from_static("close");
        response
            .headers_mut()
            .insert(http::header::CONNECTION, close);
    }
    Ok(response)
}

/// Counts a request as in flight until it is dropped.
struct InFlightGuard(sync::Arc<core::GatewayCore>);

impl Drop for InFlightGuard {
    fn drop(&mut self) {
        self.0.metrics.in_flight.dec();
    }
}

/// Logs a caller that disconnects before it gets the response head. The handler
/// is dropped in that case, so the guard is dropped while still armed.
struct DisconnectGuard {
    core: sync::Arc<core::GatewayCore>,
    request: String,
    started: time::Instant,
    armed: bool,
}

impl DisconnectGuard {
    fn new(core: &sync::Arc<core::GatewayCore>, request: &str, started: time::Instant) -> Self {
        Self {
            core: sync::Arc::clone(core),
            request: request.to_owned(),
            started,
            armed: true,
        }
    }

    fn disarm(mut self) {
        self.armed = false;
    }
}

impl Drop for DisconnectGuard {
    fn drop(&mut self) {
        if self.armed {
            self.core.metrics.abandoned.inc();
            let detail = format!(
                "before the response head ms={}",
                self.started.elapsed().as_millis()
            );
            self.core
                .note(event::EventCode::CallerLeft, &self.request, detail);
        }
    }
}

/// Finds the route of a request, checks its key and reads its body.
async fn admit(
    core: &sync::Arc<core::GatewayCore>,
    head: head::CallerHead,
    request: http::Request<body::Incoming>,
    started: time::Instant,
) -> Result<request::CallerRequest, response::GatewayRefusal> {
    let Some(table) = core.routing() else {
        let cause = "no document is known yet";
        return Err(response::GatewayRefusal::not_run(
            cause,
            UNREADY_RETRY_AFTER,
        ));
    };
    let mut known = core.suspects_known.subscribe();
    let learned = time::timeout(LEARN_TIMEOUT, known.wait_for(|known| *known));
    if !matches!(learned.await, Ok(Ok(_))) {
        let cause = "this node has just started";
        return Err(response::GatewayRefusal::not_run(cause, LEARN_TIMEOUT));
    }
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let verdict = table.decide(host, parts.uri.path(), head.key.as_deref());
    let refuse = |status, cause: &str| Err(response::GatewayRefusal::failed(status, cause));
    let (rule, organisation, priority) = match verdict {
        routing::RouteVerdict::Allowed {
            rule,
            organisation,
            priority,
        } => (rule.clone(), organisation.map(str::to_owned), priority),
        routing::RouteVerdict::NoRoute => {
            return refuse(
                http::StatusCode::NOT_FOUND,
                "no route for this host and path",
            );
        }
        routing::RouteVerdict::KeyUnknown => {
            return refuse(
                http::StatusCode::UNAUTHORIZED,
                "the key is missing or unknown",
            );
        }
    };
    if head.request.is_empty() {
        return refuse(http::StatusCode::BAD_REQUEST, "the request has no id");
    }
    let timeout = head.deadline.unwrap_or(rule.timeout).min(rule.timeout);
    let deadline = started + timeout.saturating_sub(RESPONSE_MARGIN);
    let body = read_body(body, table.limits().body_bytes, deadline).await?;
    let service = routing::choose_service(&rule, rand::rng().random()).to_owned();
    lock(&core.budget).note_request(&service, started);
    Ok(request::CallerRequest {
        core: sync::Arc::clone(core),
        table,
        rule,
        service,
        head,
        parts,
        body,
        organisation,
        priority,
        started,
        deadline,
        excluded: Vec::new(),
        executed: 0,
        attempts: 0,
        latest_runners: String::new(),
        trace: sync::Arc::default(),
        unfinished: Vec::new(),
        trial: None,
        fingerprint: sync::OnceLock::new(),
        part_keys: sync::OnceLock::new(),
        has_begun: false,
    })
}

async fn read_body(
    body: body::Incoming,
    limit_bytes: usize,
    deadline: time::Instant,
) -> Result<Bytes, response::GatewayRefusal> {
    let collected = Limited::new(body, limit_bytes).collect();
    match time::timeout_at(deadline, collected).await {
        Ok(Ok(collected)) => Ok(collected.to_bytes()),
        Ok(Err(error)) if error.is::<http_body_util::LengthLimitError>() => {
            Err(response::GatewayRefusal::failed(
                http::StatusCode::PAYLOAD_TOO_LARGE,
                "the body is too long",
            ))
        }
        Ok(Err(error)) => {
            let cause = format!("the body broke off: {error}");
            Err(response::GatewayRefusal::failed(
                http::StatusCode::BAD_REQUEST,
                cause,
            ))
        }
        Err(_) => {
            let cause = "the body did not come in time";
            Err(response::GatewayRefusal::failed(
                http::StatusCode::REQUEST_TIMEOUT,
                cause,
            ))
        }
    }
}

async fn serve(mut request: request::CallerRequest) -> response::GatewayResponse {
    let core = sync::Arc::clone(&request.core);
    if let Some(refusal) = request.quarantine_refusal().await {
        return finish(&core, &request, Err(refusal));
    }
    match request.rule.kind {
        document::RouteKind::Streaming => stream::serve(request).await,
        document::RouteKind::Idempotent | document::RouteKind::NonIdempotent => {
            let result = serve_plain(&mut request).await;
            finish(&core, &request, result)
        }
    }
}

/// Logs and counts a request with a complete response or a refusal, and returns
/// the response for the caller.
pub fn finish(
    core: &core::GatewayCore,
    request: &request::CallerRequest,
    result: Result<response::GatewayResponse, response::GatewayRefusal>,
) -> response::GatewayResponse {
    core.metrics
        .total_seconds
        .observe(request.started.elapsed().as_secs_f64());
    match result {
        Ok(response) => {
            let status = response.status();
            let detail = format!("status={} {}", status.as_u16(), request.describe());
            request.note(event::EventCode::RequestAnswered, detail);
            count_request(core, &request.service, status);
            response
        }
        Err(refusal) => {
            let detail = format!(
                "status={} cause={} {}",
                refusal.status.as_u16(),
                refusal.cause,
                request.describe()
            );
            request.note(event::EventCode::RequestRefused, detail);
            count_request(core, &request.service, refusal.status);
            refusal.to_response()
        }
    }
}

/// Counts a completed request.
pub fn count_request(core: &core::GatewayCore, service: &str, status: http::StatusCode) {
    let labels = metrics::OutcomeLabels {
        service: service.to_owned(),
        status: status.as_u16(),
    };
    core.metrics.requests.get_or_create(&labels).inc();
}

/// Gets the complete response of a plain service before any of it is sent to the
/// caller, so that a failed attempt can be retried.
async fn serve_plain(
    request: &mut request::CallerRequest,
) -> Result<response::GatewayResponse, response::GatewayRefusal> {
    let mut error_response: Option<response::GatewayResponse> = None;
    loop {
        if request.time_left().is_zero() {
            return error_response.ok_or_else(|| request.timeout_refusal());
        }
        let target = match request.acquire_target().await {
            Ok(target) => target,
            Err(error) => return error_response.ok_or_else(|| request.refusal(&error.to_string())),
        };
        let guard = request::LoadGuard::new(&request.core, &target);
        let outcome = request.send(&target, None).await;
        let (reach, cause) = match outcome {
            request::AttemptOutcome::Head { response, link } => {
                let (parts, body) = response.into_parts();
                let read =
                    arbutusfold_platform::link::read_body(body, request::RESPONSE_LIMIT_BYTES);
                let read = time::timeout(request.time_left(), read).await;
                drop(link);
                match read {
                    Ok(Ok(bytes)) if parts.status.is_server_error() => {
                        if is_own_failure(&parts) {
                            request.note_survived();
                        }
                        lock(&request.core.fleet).note_error(&target.runners[0]);
                        request.exclude(&target.runners[0]);
                        error_response = Some(relay(&parts, bytes));
                        (
                            request::AttemptReach::Ran,
                            format!("status {}", parts.status.as_u16()),
                        )
                    }
                    Ok(Ok(bytes)) => {
                        if parts.status.is_success() {
                            request.note_begun();
                        }
                        request.note_answered();
                        lock(&request.core.fleet).note_success(&target.runners[0]);
                        return Ok(relay(&parts, bytes));
                    }
                    Ok(Err(error)) => {
                        let cause = error.to_string();
                        if !error.is_way_lost() {
                            request.fail_runner(&target.runners[0], &cause);
                            request.check_crash(&target, 0, crash::CrashSign::Body, false);
                        }
                        (request::AttemptReach::Ran, cause)
                    }
                    Err(_) => {
                        request.check_crash(&target, 0, crash::CrashSign::Timeout, false);
                        return Err(request.timeout_refusal());
                    }
                }
            }
            request::AttemptOutcome::Unanswered { reach, cause } => (reach, cause),
            request::AttemptOutcome::TimedOut => {
                request.fail_runner(&target.runners[0], "no answer in time");
                return error_response.ok_or_else(|| request.timeout_refusal());
            }
        };
        drop(guard);
        let detail = format!("reach={reach:?} cause={cause} {}", request.describe());
        request.note(event::EventCode::AttemptFailed, detail);
        if !request.claim_retry(reach).await {
            return error_response.ok_or_else(|| request.refusal(&cause));
        }
    }
}

/// Returns whether a runner ran the request and failed it, which shows that the
/// request does not crash it.
fn is_own_failure(parts: &http::response::Parts) -> bool {
    parts.status == http::StatusCode::INTERNAL_SERVER_ERROR && head::has_proof(&parts.headers)
}

/// Converts a runner's response to the response for the caller.
pub fn relay(parts: &http::response::Parts, bytes: Bytes) -> response::GatewayResponse {
    let mut response = http::Response::new(response::full_body(bytes));
    *response.status_mut() = parts.status;
    *response.headers_mut() = head::encode_answer(&parts.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}
