//! Handling of callers' requests: admission, plain services and outcomes.

use std::convert;
use std::net;
use std::sync;
use std::time as std_time;

use arbutusfold_platform::{document, head};
use bytes::Bytes;
use futures_util::FutureExt;
use futures_util::future::BoxFuture;
use hyper::body;
use rand::RngExt;
use tokio::time;

use crate::event;
use crate::gateway::answer_body;
use crate::gateway::bounds;
use crate::gateway::core;
use crate::gateway::core::lock;
use crate::gateway::crash;
use crate::gateway::held;
use crate::gateway::memory;
use crate::gateway::metrics;
use crate::gateway::receive;
use crate::gateway::request;
use crate::gateway::response;
use crate::gateway::returns;
use crate::gateway::routing;
use crate::gateway::stop;
use crate::gateway::stream;
use crate::id;
use crate::serve;

/// Time subtracted from a deadline for sending the response to the caller.
pub const RESPONSE_MARGIN: std_time::Duration = std_time::Duration::from_millis(30);

/// `Retry-After` time of a node that has no document yet, unless it forecasts returns.
/// The node waits for the store, and most callers retry only once.
const UNREADY_RETRY_AFTER: std_time::Duration = std_time::Duration::from_millis(2_000);

/// Longest time that a request waits for the first document. All hosts may have lost
/// theirs at once, and callers of a stream leave after twice this time.
const DOCUMENT_WAIT: std_time::Duration = std_time::Duration::from_millis(1_000);

/// Part of a caller's time that such a wait takes at most.
const DOCUMENT_WAIT_FRACTION: f64 = 0.25;

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
    let refuse = |refusal: response::GatewayRefusal| {
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
    };
    let served = async {
        match admit(&core, head, request, started).await {
            Ok(request) => serve(request).await,
            Err(refusal) => refuse(refusal),
        }
    };
    let mut response = tokio::select! {
        biased;
        response = served => response,
        // The request may have run; the end of the process would cut it.
        () = core.answers_due() => refuse(stop::failure()),
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
    let deadline = head.deadline;
    let unready = || unready_refusal(core, deadline);
    if core.routing().is_none() {
        wait_document(core, deadline).await;
    }
    core.routing().ok_or_else(unready)?;
    let mut known = core.suspects_known.subscribe();
    let learned = time::timeout(LEARN_TIMEOUT, known.wait_for(|known| *known));
    if !matches!(learned.await, Ok(Ok(_))) {
        let cause = "this node has just started";
        return Err(response::GatewayRefusal::not_run(cause, LEARN_TIMEOUT));
    }
    // A newer document may have come into force meanwhile.
    let table = core.routing().ok_or_else(unready)?;
    let (parts, body) = request.into_parts();
    let host = parts.headers.get(http::header::HOST);
    let host = host.and_then(|host| host.to_str().ok()).unwrap_or_default();
    let verdict = table.decide(host, parts.uri.path(), head.key.as_deref());
    let refuse = |status, cause: &str| Err(response::GatewayRefusal::failed(status, cause));
    let (rule, organisation, priority, rank) = match verdict {
        routing::RouteVerdict::Allowed {
            rule,
            organisation,
            priority,
            rank,
        } => (
            rule.clone(),
            organisation.map(str::to_owned),
            priority,
            rank,
        ),
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
    if !core.admits(&rule, deadline) {
        return Err(stop::refusal());
    }
    let limit_bytes = table.limits().body_bytes;
    let body = match &core.memory {
        Some(account) => {
            let hold = HeldRequest {
                core,
                account,
                organisation: organisation.as_deref(),
                deadline,
            };
            hold.receive(&parts, body, limit_bytes).await?
        }
        None => {
            let read = receive::read_unheld(body, limit_bytes, deadline);
            read.await.map_err(|error| error.to_refusal())?
        }
    };
    let service = routing::choose_service(&rule, rand::rng().random()).to_owned();
    lock(&core.budget).note_request(&service, started);
    let call = request::AdmittedCall {
        table,
        rule,
        service,
        head,
        parts,
        body,
        organisation,
        priority,
        rank,
        started,
        deadline,
    };
    Ok(request::CallerRequest::new(core, call))
}

/// Waits a short time for the first document of a node that has just started. As many
/// requests wait as may wait for room.
async fn wait_document(core: &core::GatewayCore, deadline: Option<std_time::Duration>) {
    let Ok(_place) = core.document_waits.try_acquire() else {
        return;
    };
    let limit = deadline.map_or(DOCUMENT_WAIT, |deadline| {
        DOCUMENT_WAIT.min(deadline.mul_f64(DOCUMENT_WAIT_FRACTION))
    });
    let mut known = core.document_known.subscribe();
    // Without a document in time, the caller is refused.
    let _ = time::timeout(limit, known.wait_for(|known| *known)).await;
}

/// Returns the refusal of a node that has no document yet.
fn unready_refusal(
    core: &core::GatewayCore,
    deadline: Option<std_time::Duration>,
) -> response::GatewayRefusal {
    let retry_after = match core.settings.wait_limit {
        0 => UNREADY_RETRY_AFTER,
        _ => returns::unready_return(
            core.started_at.elapsed(),
            core.is_store_lost(),
            deadline.unwrap_or(std_time::Duration::MAX),
            rand::rng().random(),
        ),
    };
    response::GatewayRefusal::not_run("no document is known yet", retry_after)
}

/// A request whose body is received within the account of memory.
struct HeldRequest<'a> {
    core: &'a core::GatewayCore,
    account: &'a sync::Arc<memory::MemoryAccount>,
    organisation: Option<&'a str>,
    deadline: time::Instant,
}

impl HeldRequest<'_> {
    async fn receive(
        &self,
        parts: &http::request::Parts,
        body: body::Incoming,
        limit_bytes: usize,
    ) -> Result<Bytes, response::GatewayRefusal> {
        let connection = parts.extensions.get::<serve::RequestConnection>();
        let connection = connection.map(|serve::RequestConnection(state)| &**state);
        let address = connection.map(serve::crowd::ConnectionState::address);
        let owner = memory::HoldOwner {
            address: address.unwrap_or(net::Ipv4Addr::UNSPECIFIED.into()),
            organisation: self.organisation.map(str::to_owned),
        };
        let hold = self
            .account
            .open(owner, memory::HoldKind::Incoming, sync::Arc::default());
        let received = match hold.grow(receive::head_bytes(parts)).await {
            Ok(()) => {
                let account = self.account;
                let deadline = self.deadline;
                receive::read_body(body, limit_bytes, deadline, account, hold, connection).await
            }
            Err(memory::MemoryRefusal) => Err(receive::ReceiveError::NoMemory),
        };
        received.map_err(|error| {
            let cause = match error {
                receive::ReceiveError::TooLong => Some(bounds::BoundCause::BodyLength),
                receive::ReceiveError::NoMemory => Some(bounds::BoundCause::Memory),
                receive::ReceiveError::TimedOut => Some(bounds::BoundCause::BodyTime),
                receive::ReceiveError::Broken(_) => None,
            };
            if let Some(cause) = cause {
                bounds::note(self.core, cause, address);
            }
            error.to_refusal()
        })
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

/// A complete response of a plain service that is no failure.
struct PlainAnswer {
    target: request::AttemptTarget,
    parts: http::response::Parts,
    body: answer_body::WholeBody,
}

/// Result of one attempt at a plain service.
enum PlainEnd {
    Answered(Box<PlainAnswer>),
    /// The runner reported a failure; with the body, if it came soon.
    Reported(http::response::Parts, Option<Bytes>),
    /// The attempt failed.
    Failed(request::AttemptReach, String),
    /// The run is silent and may go on.
    Silent(BoxFuture<'static, HeldEnd>, String),
    /// Nothing was sent.
    Unavailable(String),
    /// The deadline of the request has passed.
    TimedOut,
}

type HeldEnd = held::HeldEnd<Box<PlainAnswer>>;

/// Gets the complete response of a plain service before any of it is sent to the
/// caller, so that a failed attempt can be retried. A silent run is kept beside the
/// next one; the first answer counts.
async fn serve_plain(
    request: &mut request::CallerRequest,
) -> Result<response::GatewayResponse, response::GatewayRefusal> {
    let mut error_response: Option<response::GatewayResponse> = None;
    let mut held = held::HeldRuns::default();
    let mut failed: Option<(request::AttemptReach, String)> = None;
    loop {
        if request.time_left().is_zero() {
            return error_response.ok_or_else(|| request.timeout_refusal());
        }
        let attempt = async {
            if let Some((reach, cause)) = &failed
                && !request.claim_retry(*reach).await
            {
                return PlainEnd::Unavailable(cause.clone());
            }
            try_plain(request).await
        };
        let end = match held.race(attempt).await {
            held::RaceEnd::Attempt(end) => end,
            held::RaceEnd::Held(answer) => regain(request, answer),
        };
        note_failures(request, &mut held, &mut error_response);
        let end = match end {
            PlainEnd::Unavailable(_) if !held.is_empty() => {
                let reach = failed.as_ref().map(|(reach, _)| *reach);
                let reach = reach.unwrap_or(request::AttemptReach::Ran);
                request.note_unsent(reach);
                match held.wait(request.restart_wait(reach)).await {
                    Some(answer) => regain(request, answer),
                    None => {
                        note_failures(request, &mut held, &mut error_response);
                        continue;
                    }
                }
            }
            end => end,
        };
        let (reach, cause) = match end {
            PlainEnd::Answered(answer) => {
                let PlainAnswer {
                    target,
                    parts,
                    body,
                } = *answer;
                if parts.status.is_success() {
                    request.note_begun();
                }
                request.note_answered();
                request.note_answer_end(body.end);
                lock(&request.core.fleet).note_success(&target.runners[0]);
                return Ok(relay(&parts, body.bytes));
            }
            PlainEnd::Reported(parts, bytes) => {
                let cause = format!("status {}", parts.status.as_u16());
                error_response = bytes.map(|bytes| relay(&parts, bytes)).or(error_response);
                (request::AttemptReach::Ran, cause)
            }
            PlainEnd::Failed(reach, cause) => (reach, cause),
            PlainEnd::Silent(run, cause) => {
                held.push(run);
                (request::AttemptReach::Ran, cause)
            }
            PlainEnd::Unavailable(cause) => {
                return error_response.ok_or_else(|| request.refusal(&cause));
            }
            PlainEnd::TimedOut => {
                return error_response.ok_or_else(|| request.timeout_refusal());
            }
        };
        let detail = format!("reach={reach:?} cause={cause} {}", request.describe());
        request.note(event::EventCode::AttemptFailed, detail);
        failed = Some((reach, cause));
    }
}

/// Records the runs that failed while they were held, and the response of the latest
/// one that sent any.
pub fn note_failures<T>(
    request: &mut request::CallerRequest,
    held: &mut held::HeldRuns<T>,
    error_response: &mut Option<response::GatewayResponse>,
) {
    if let Some(reported) = request.note_held_failures(held) {
        let bytes = reported.bytes;
        let response = bytes.map(|bytes| relay(&reported.parts, bytes));
        *error_response = response.or(error_response.take());
    }
}

/// Continues with a silent run that answered.
fn regain(request: &mut request::CallerRequest, answer: Box<PlainAnswer>) -> PlainEnd {
    request.note_regained(&answer.target);
    PlainEnd::Answered(answer)
}

/// Sends the request to a plain service and reads the complete response.
async fn try_plain(request: &mut request::CallerRequest) -> PlainEnd {
    let target = match request.acquire_target().await {
        Ok(target) => target,
        Err(error) => return PlainEnd::Unavailable(error.to_string()),
    };
    let guard = request::LoadGuard::new(&request.core, &target);
    let (response, link) = match request.send(&target, None).await {
        request::AttemptOutcome::Head { response, link } => (response, link),
        request::AttemptOutcome::Silent { answer, cause } => {
            request.note_held(&target, &cause);
            let id = request.head.request.clone();
            let reader = request.body_reader(&target);
            let run = wait_answer(id, answer, guard, target, reader);
            return PlainEnd::Silent(run.boxed(), cause);
        }
        request::AttemptOutcome::Unanswered { reach, cause } => {
            return PlainEnd::Failed(reach, cause);
        }
        request::AttemptOutcome::TimedOut => {
            request.fail_runner(&target.runners[0], "no answer in time");
            return PlainEnd::TimedOut;
        }
    };
    let (parts, body) = response.into_parts();
    let reader = request.body_reader(&target);
    if parts.status.is_server_error() {
        request.note_reported_failure(&target, &parts);
        let bytes = reader.read_failure(&parts, body).await;
        drop(link);
        return PlainEnd::Reported(parts, bytes);
    }
    let read = reader.read(&parts, body).await;
    drop(link);
    match read {
        Ok(body) => PlainEnd::Answered(Box::new(PlainAnswer {
            target,
            parts,
            body,
        })),
        Err(error) if error.is_late() => {
            request.check_crash(&target, 0, crash::CrashSign::Timeout, false);
            PlainEnd::TimedOut
        }
        Err(error) => {
            let fault = error.into_fault();
            request.note_fault(&target, &fault, false);
            PlainEnd::Failed(request::AttemptReach::Ran, fault.cause)
        }
    }
}

/// Waits for the complete response of a silent run. A failure is no delivery: it would
/// end another attempt that may succeed.
async fn wait_answer(
    id: id::RequestId,
    answer: request::PendingAnswer,
    _guard: request::LoadGuard,
    target: request::AttemptTarget,
    reader: answer_body::BodyReader,
) -> HeldEnd {
    let (response, link) = match answer.wait_valid(&id).await {
        Ok(answered) => answered,
        Err(fault) => return Err(fault.at(target, false)),
    };
    let (parts, body) = response.into_parts();
    if parts.status.is_server_error() {
        let bytes = reader.read_failure(&parts, body).await;
        let response = held::FailureResponse { parts, bytes };
        return Err(held::RunFault::reported(response).at(target, false));
    }
    let read = reader.read(&parts, body).await;
    drop(link);
    match read {
        Ok(body) => Ok(Box::new(PlainAnswer {
            target,
            parts,
            body,
        })),
        Err(error) => Err(error.into_fault().at(target, false)),
    }
}

/// Converts a runner's response to the response for the caller.
pub fn relay(parts: &http::response::Parts, bytes: Bytes) -> response::GatewayResponse {
    let mut response = http::Response::new(response::full_body(bytes));
    *response.status_mut() = parts.status;
    *response.headers_mut() = head::encode_answer(&parts.headers);
    response.headers_mut().remove(http::header::CONTENT_LENGTH);
    response
}
