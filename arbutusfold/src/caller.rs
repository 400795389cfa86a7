//! The listener that callers reach: addresses, models, completions, services.

mod error;
mod sse;

use std::convert;
use std::sync;
use std::time as std_time;

use bytes::Bytes;
use http_body_util::{BodyExt, Full, Limited, combinators};
use hyper::body;
use serde::{Deserialize, Serialize};
use tokio::time;

use crate::complete;
use crate::config;
use crate::document;
use crate::event;
use crate::id;
use crate::node;
use crate::service;
use crate::suspect;
use crate::traffic;

pub use error::{CallerError, RunOutcome};

/// Header that carries a request id in and out.
const REQUEST_ID_HEADER: &str = "x-request-id";

/// Header that names a request if it is sent again.
const IDEMPOTENCY_HEADER: &str = "idempotency-key";

/// Longest request id that a caller may choose, in characters.
const REQUEST_ID_LIMIT: usize = 128;

/// Tokens of an answer for which the caller named no number.
const DEFAULT_MAX_TOKENS: id::TokenIndex = 16;

/// Most tokens that a caller may ask for.
const MAX_TOKENS_LIMIT: id::TokenIndex = 32_768;

/// Body of an answer.
pub type AnswerBody = combinators::UnsyncBoxBody<Bytes, convert::Infallible>;

/// Answer to a caller.
pub type CallerAnswer = http::Response<AnswerBody>;

/// Body of a completion request; fields that other servers know are passed over.
#[derive(Debug, Deserialize)]
struct CompletionBody {
    model: String,
    prompt: String,
    max_tokens: Option<id::TokenIndex>,
    #[serde(default)]
    stream: bool,
}

/// Answers one request of a caller.
pub async fn answer(
    core: sync::Arc<node::NodeCore>,
    request: http::Request<body::Incoming>,
) -> Result<CallerAnswer, convert::Infallible> {
    core.metrics.requests.inc();
    let request_id = request
        .headers()
        .get(REQUEST_ID_HEADER)
        .and_then(|value| value.to_str().ok())
        .filter(|value| !value.is_empty() && value.len() <= REQUEST_ID_LIMIT)
        .map_or_else(id::new_request_id, str::to_owned);
    let first_version = request.version() < http::Version::HTTP_2;
    let flight = node::InFlightGuard::new(&core, &request_id);
    let keyed = request.headers().contains_key(IDEMPOTENCY_HEADER);
    let outcome = dispatch(&core, &request_id, request, flight).await;
    let mut answer = outcome.unwrap_or_else(|error| {
        let error = match keyed {
            true => error.for_keyed(),
            false => error,
        };
        refuse(&core, &request_id, &error);
        error.to_answer()
    });
    if let Ok(value) = http::HeaderValue::from_str(&request_id) {
        answer.headers_mut().insert(REQUEST_ID_HEADER, value);
    }
    if first_version && core.is_stopping() {
        // A connection that is not used again cannot be cut between requests.
        let close = http::HeaderValue::from_static("close");
        answer.headers_mut().insert(http::header::CONNECTION, close);
    }
    Ok(answer)
}

fn refuse(core: &node::NodeCore, request: &str, error: &CallerError) {
    core.metrics.refused.inc();
    core.recorder.record(
        event::EventCode::RequestRefused,
        request,
        format!("{}: {}", error.code, error.message),
    );
}

async fn dispatch(
    core: &sync::Arc<node::NodeCore>,
    request_id: &str,
    request: http::Request<body::Incoming>,
    flight: node::InFlightGuard,
) -> Result<CallerAnswer, CallerError> {
    let path = request.uri().path().to_owned();
    if path == "/v1/addresses" {
        let query = request.uri().query().unwrap_or_default();
        return Ok(json_answer(http::StatusCode::OK, &addresses(core, query)));
    }
    let Some(config) = core.config.current() else {
        return Err(CallerError::new(
            http::StatusCode::SERVICE_UNAVAILABLE,
            "no_configuration",
            "this host has no configuration yet",
        )
        .with_pause(std_time::Duration::from_secs(1)));
    };
    let organisation = authenticate(&config, request.headers())?.clone();
    match (request.method().as_str(), path.as_str()) {
        ("GET", "/v1/models") => Ok(json_answer(http::StatusCode::OK, &models(&config.document))),
        ("POST", "/v1/completions") => {
            completions(core, &config, &organisation, request_id, request, flight).await
        }
        (_, path) if path.starts_with("/v1/services/") => {
            services(core, &config, &organisation, request_id, request).await
        }
        _ => Err(CallerError::new(
            http::StatusCode::NOT_FOUND,
            "not_found",
            "no such path",
        )),
    }
}

fn authenticate<'a>(
    config: &'a config::ActiveDocument,
    headers: &http::HeaderMap,
) -> Result<&'a document::OrganisationSpec, CallerError> {
    headers
        .get(http::header::AUTHORIZATION)
        .and_then(|value| value.to_str().ok())
        .and_then(|value| value.strip_prefix("Bearer "))
        .and_then(|key| config.organisation_for_key(key))
        .ok_or_else(|| {
            CallerError::new(
                http::StatusCode::UNAUTHORIZED,
                "key_refused",
                "the key is missing or unknown",
            )
        })
}

fn addresses(core: &node::NodeCore, query: &str) -> serde_json::Value {
    let field = |name: &str| query.split('&').find_map(|part| part.strip_prefix(name));
    let caller = field("caller=").unwrap_or_default();
    let organisation = field("organisation=");
    serde_json::json!({
        "addresses": core.members.addresses_for(caller, organisation),
        "keep_ms": core.settings.answer_keep_ms.as_millis() as u64,
    })
}

fn models(document: &document::ConfigDocument) -> serde_json::Value {
    let models: Vec<_> = document
        .models
        .iter()
        .map(|model| {
            serde_json::json!({
                "id": model.name, "object": "model", "created": 0, "owned_by": "arbutusfold",
            })
        })
        .collect();
    serde_json::json!({ "object": "list", "data": models })
}

async fn read_body(
    core: &node::NodeCore,
    request: http::Request<body::Incoming>,
) -> Result<Bytes, CallerError> {
    let limit = core.settings.body_limit_bytes;
    let body = Limited::new(request.into_body(), limit).collect();
    let body = time::timeout(node::BODY_TIME_LIMIT, body)
        .await
        .map_err(|_| {
            CallerError::new(
                http::StatusCode::REQUEST_TIMEOUT,
                "body_slow",
                "the body did not arrive in time",
            )
        })?;
    let body = body.map_err(
        |error| match error.is::<http_body_util::LengthLimitError>() {
            true => CallerError::new(
                http::StatusCode::PAYLOAD_TOO_LARGE,
                "body_too_large",
                &format!("the body is longer than {limit} bytes"),
            ),
            false => CallerError::new(
                http::StatusCode::BAD_REQUEST,
                "body_broken",
                "the body broke off",
            ),
        },
    )?;
    Ok(body.to_bytes())
}

async fn completions(
    core: &sync::Arc<node::NodeCore>,
    config: &config::ActiveDocument,
    organisation: &document::OrganisationSpec,
    request_id: &str,
    request: http::Request<body::Incoming>,
    flight: node::InFlightGuard,
) -> Result<CallerAnswer, CallerError> {
    let body = read_body(core, request).await?;
    let asked: CompletionBody = serde_json::from_slice(&body).map_err(|error| {
        CallerError::new(
            http::StatusCode::BAD_REQUEST,
            "body_invalid",
            &error.to_string(),
        )
    })?;
    let model = config.document.model(&asked.model).ok_or_else(|| {
        CallerError::new(
            http::StatusCode::NOT_FOUND,
            "model_not_found",
            &format!("there is no model {:?}", asked.model),
        )
    })?;
    let max_tokens = asked.max_tokens.unwrap_or(DEFAULT_MAX_TOKENS);
    if !(1..=MAX_TOKENS_LIMIT).contains(&max_tokens) {
        return Err(CallerError::new(
            http::StatusCode::BAD_REQUEST,
            "max_tokens_invalid",
            &format!("max_tokens is {max_tokens}; 1 to {MAX_TOKENS_LIMIT} are allowed"),
        ));
    }
    let deadline = time::Instant::now() + organisation.deadline_ms;
    let entry = traffic::EntryRequest {
        request: request_id,
        kind: traffic::EntryKind::Completion,
        organisation,
        fingerprint: suspect::fingerprint(&organisation.name, &model.name, asked.prompt.as_bytes()),
        permit: true,
        max_tokens: u64::from(max_tokens),
        deadline,
    };
    let mut pass = core.traffic.enter(&entry).await?;
    let request = complete::CompletionRequest {
        id: request_id.to_owned(),
        ticket: pass.ticket(),
        model: model.clone(),
        organisation: organisation.name.clone(),
        priority: organisation.priority,
        prompt: asked.prompt,
        max_tokens,
        deadline,
    };
    let frame = sse::AnswerFrame::new(request_id, &model.name);
    let mut driver = complete::CompletionDriver::new(sync::Arc::clone(core), request);
    if asked.stream {
        // The first piece is awaited so that a refusal keeps its HTTP status.
        let first = driver.next().await?;
        return Ok(sse::stream_answer(core, driver, frame, first, flight, pass));
    }
    let mut text = String::new();
    let mut finish = None;
    let mut tokens: u64 = 0;
    while let Some(piece) = driver.next().await? {
        text.push_str(&piece.text);
        finish = piece.finish;
        tokens += 1;
        pass.note_token();
    }
    pass.note_answered();
    finished(core, request_id, tokens);
    let usage = sse::TokenUsage::new(tokens);
    let answer = frame.object(&text, finish, Some(usage));
    Ok(json_answer(http::StatusCode::OK, &answer))
}

fn finished(core: &node::NodeCore, request: &str, tokens: u64) {
    core.metrics.answered.inc();
    core.recorder.record(
        event::EventCode::RequestAnswered,
        request,
        format!("{tokens} tokens"),
    );
}

async fn services(
    core: &sync::Arc<node::NodeCore>,
    config: &config::ActiveDocument,
    organisation: &document::OrganisationSpec,
    request_id: &str,
    request: http::Request<body::Incoming>,
) -> Result<CallerAnswer, CallerError> {
    let path = request.uri().path().to_owned();
    let rest = path.strip_prefix("/v1/services/").unwrap_or_default();
    let (name, below) = rest.split_once('/').unwrap_or((rest, ""));
    let spec = config.document.service(name).ok_or_else(|| {
        CallerError::new(
            http::StatusCode::NOT_FOUND,
            "service_not_found",
            &format!("there is no service {name:?}"),
        )
    })?;
    let header = |name: &str| {
        request
            .headers()
            .get(name)
            .and_then(|value| value.to_str().ok())
            .map(str::to_owned)
    };
    let mut call = service::ServiceCall {
        request: request_id.to_owned(),
        organisation: organisation.name.clone(),
        method: request.method().clone(),
        path: format!("/{below}"),
        content_type: header("content-type").unwrap_or_else(|| "application/json".to_owned()),
        received: time::Instant::now(),
        idempotency_key: header(IDEMPOTENCY_HEADER),
        body: Bytes::new(),
    };
    call.body = read_body(core, request).await?;
    let marked = spec.is_non_idempotent(call.method.as_str(), &call.path);
    let entry = traffic::EntryRequest {
        request: request_id,
        kind: traffic::EntryKind::Service,
        organisation,
        fingerprint: suspect::fingerprint(
            &organisation.name,
            &format!("{} {path}", call.method),
            &call.body,
        ),
        permit: !marked,
        max_tokens: 1,
        deadline: call.received + spec.deadline_ms,
    };
    let entered = core.traffic.enter(&entry).await;
    let mut pass = entered?;
    // The call goes on when the caller leaves: its outcome must be recorded.
    let core_held = sync::Arc::clone(core);
    let document = config.document.clone();
    let spec = spec.clone();
    let task = tokio::spawn(async move {
        let answer = service::run(&core_held, &document, &spec, &call, &pass).await;
        if answer.is_ok() {
            pass.note_token();
            pass.note_answered();
        }
        answer
    });
    let answer = task.await.map_err(|error| {
        CallerError::new(
            http::StatusCode::INTERNAL_SERVER_ERROR,
            "internal",
            &error.to_string(),
        )
        .with_ran(RunOutcome::Unknown)
    })??;
    core.metrics.answered.inc();
    let mut response = http::Response::new(full(Bytes::from(answer.body)));
    *response.status_mut() =
        http::StatusCode::from_u16(answer.status).unwrap_or(http::StatusCode::BAD_GATEWAY);
    if let Ok(value) = http::HeaderValue::from_str(&answer.content_type) {
        response
            .headers_mut()
            .insert(http::header::CONTENT_TYPE, value);
    }
    Ok(response)
}

/// Returns a body that holds `bytes`.
pub fn full(bytes: Bytes) -> AnswerBody {
    Full::new(bytes).boxed_unsync()
}

/// Returns an answer that holds `value` as JSON.
pub fn json_answer<T: Serialize>(status: http::StatusCode, value: &T) -> CallerAnswer {
    // Answers hold no maps with keys that JSON could not write.
    let body = serde_json::to_vec(value).unwrap_or_default();
    let mut answer = http::Response::new(full(Bytes::from(body)));
    *answer.status_mut() = status;
    answer.headers_mut().insert(
        http::header::CONTENT_TYPE,
        http::HeaderValue::from_static("application/json"),
    );
    answer
}
