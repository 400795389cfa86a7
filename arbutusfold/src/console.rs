//! The console of forms: pages without a script on the operators' listener.

pub mod draft;
pub mod edit;
pub mod form;
pub mod page;
pub mod session;

use std::time as std_time;

use askama::Template;
use bytes::Bytes;
use http_body_util::{BodyExt, Limited};
use hyper::body;

use crate::caller;
use crate::document;
use crate::event;
use crate::node;
use crate::operate;

/// Path below which the console lives.
pub const CONSOLE_PATH: &str = "/console";

/// Longest form in bytes.
const FORM_LIMIT_BYTES: usize = 4 << 20;

/// Pause after a wrong token, which slows guessing down.
const REFUSAL_PAUSE: std_time::Duration = std_time::Duration::from_millis(300);

/// Changes of one page of the history.
const HISTORY_ENTRIES: usize = 30;

/// What pages may load and where forms may go.
const CONTENT_POLICY: &str = "default-src 'none'; style-src 'self'; form-action 'self'; \
                              frame-ancestors 'none'; base-uri 'none'";

const STYLE: &str = include_str!("../templates/console/style.css");

/// Tells whether a path belongs to the console.
pub fn owns(path: &str) -> bool {
    path.strip_prefix(CONSOLE_PATH)
        .is_some_and(|rest| rest.is_empty() || rest.starts_with('/'))
}

/// Answers one request of a browser.
pub async fn answer(
    core: &node::NodeCore,
    request: http::Request<body::Incoming>,
) -> caller::CallerAnswer {
    let path = request.uri().path().to_owned();
    let method = request.method().clone();
    let place = path.trim_start_matches(CONSOLE_PATH).trim_matches('/');
    if place == "style.css" {
        return style();
    }
    if method == http::Method::POST && !is_same_origin(request.headers()) {
        return refuse(core, "This form came from another site.");
    }
    if place == "sign-in" {
        return sign_in(core, request).await;
    }
    let now = event::unix_millis();
    let session = session::OperatorSession::of_request(&core.settings, request.headers(), now);
    let Some(session) = session else {
        return redirect("/console/sign-in", None);
    };
    let query = form::SentForm::parse(request.uri().query().unwrap_or_default().as_bytes());
    match (method.as_str(), place) {
        ("GET", "") => overview(core, &session),
        ("GET", "edit") => edit::begin(core, &session).await,
        ("GET", "document") => show_document(core, &session, &query).await,
        ("GET", "history") => history(core, &session, &query).await,
        ("GET", "explain") => explain(core, &session, &query),
        ("POST", "edit" | "sign-out") => {
            let sent = read_form(request).await;
            let sent = sent.filter(|sent| session.takes_form(&core.settings, sent.get("code")));
            match (sent, place) {
                (None, _) => refuse(core, "This form has run out or was not made here."),
                (Some(sent), "edit") => edit::take(core, &session, &sent).await,
                (Some(_), _) => redirect("/console/sign-in", Some(session::clear_cookie())),
            }
        }
        _ => message(
            core,
            &session,
            http::StatusCode::NOT_FOUND,
            "There is no such page.".to_owned(),
        ),
    }
}

async fn sign_in(
    core: &node::NodeCore,
    request: http::Request<body::Incoming>,
) -> caller::CallerAnswer {
    let mut refused = false;
    if request.method() == http::Method::POST {
        let sent = read_form(request).await.unwrap_or_default();
        let operator = operate::operator_of_token(core, sent.get("token").trim());
        let session = operator
            .and_then(|operator| session::OperatorSession::begin(&core.settings, &operator));
        if let Some(session) = session {
            return redirect(CONSOLE_PATH, Some(session.set_cookie()));
        }
        tokio::time::sleep(REFUSAL_PAUSE).await;
        refused = true;
    }
    let frame = page::PageFrame {
        title: "Sign in".to_owned(),
        ..page::PageFrame::default()
    };
    let status = match refused {
        true => http::StatusCode::UNAUTHORIZED,
        false => http::StatusCode::OK,
    };
    render(status, &page::SignInPage { frame, refused })
}

fn overview(core: &node::NodeCore, session: &session::OperatorSession) -> caller::CallerAnswer {
    let frame = frame(core, session, "Overview");
    let status = operate::status(core);
    render(http::StatusCode::OK, &page::OverviewPage { frame, status })
}

async fn show_document(
    core: &node::NodeCore,
    session: &session::OperatorSession,
    query: &form::SentForm,
) -> caller::CallerAnswer {
    let asked = query.get("version").parse();
    let version = asked.unwrap_or_else(|_| core.config.version());
    let text = match version {
        0 => Ok(Some(String::new())),
        _ => core.config.text(version).await,
    };
    let text = match text {
        Ok(Some(text)) => text,
        Ok(None) => {
            let text = format!("Version {version} does not exist or is no longer kept.");
            return message(core, session, http::StatusCode::NOT_FOUND, text);
        }
        Err(error) => return unavailable(core, session, &error.to_string()),
    };
    let digest = match version {
        0 => String::new(),
        _ => document::digest_key(&text),
    };
    let page = page::DocumentPage {
        frame: frame(core, session, "Document"),
        version,
        digest,
        text,
    };
    render(http::StatusCode::OK, &page)
}

async fn history(
    core: &node::NodeCore,
    session: &session::OperatorSession,
    query: &form::SentForm,
) -> caller::CallerAnswer {
    let before = query.get("before").parse().ok();
    let entries = match core.config.history(before, HISTORY_ENTRIES).await {
        Ok(entries) => entries,
        Err(error) => return unavailable(core, session, &error.to_string()),
    };
    let page = page::HistoryPage {
        frame: frame(core, session, "History and audit"),
        earlier: entries.last().map_or(0, |entry| entry.version),
        entries: entries.into_iter().map(From::from).collect(),
    };
    render(http::StatusCode::OK, &page)
}

fn explain(
    core: &node::NodeCore,
    session: &session::OperatorSession,
    query: &form::SentForm,
) -> caller::CallerAnswer {
    let subject = query.get("subject").trim().to_owned();
    let events = core.recorder.about(&subject);
    let page = page::ExplainPage {
        frame: frame(core, session, "Explain"),
        subject,
        events: events.into_iter().map(From::from).collect(),
    };
    render(http::StatusCode::OK, &page)
}

fn frame(
    core: &node::NodeCore,
    session: &session::OperatorSession,
    title: &str,
) -> page::PageFrame {
    page::PageFrame {
        title: title.to_owned(),
        operator: session.operator.clone(),
        host: core.settings.name.clone(),
        code: session.form_code(&core.settings),
    }
}

fn message(
    core: &node::NodeCore,
    session: &session::OperatorSession,
    status: http::StatusCode,
    message: String,
) -> caller::CallerAnswer {
    let kind = match status.is_success() {
        true => "notice",
        false => "error",
    };
    let page = page::MessagePage {
        frame: frame(core, session, "arbutusfold"),
        kind,
        message,
        draft_text: String::new(),
    };
    render(status, &page)
}

fn unavailable(
    core: &node::NodeCore,
    session: &session::OperatorSession,
    reason: &str,
) -> caller::CallerAnswer {
    let text = format!("The table service gave no answer: {reason}. Try again.");
    message(core, session, http::StatusCode::SERVICE_UNAVAILABLE, text)
}

fn refuse(core: &node::NodeCore, reason: &str) -> caller::CallerAnswer {
    let frame = page::PageFrame {
        title: "Refused".to_owned(),
        host: core.settings.name.clone(),
        ..page::PageFrame::default()
    };
    let page = page::MessagePage {
        frame,
        kind: "error",
        message: reason.to_owned(),
        draft_text: String::new(),
    };
    render(http::StatusCode::FORBIDDEN, &page)
}

/// Tells whether a form was sent from a page of this listener.
///
/// Browsers name the origin of every form; other clients name none and must
/// still carry the code.
fn is_same_origin(headers: &http::HeaderMap) -> bool {
    let text = |name| headers.get(name).and_then(|value| value.to_str().ok());
    let Some(origin) = text(http::header::ORIGIN) else {
        return true;
    };
    let host = origin.split_once("://").map(|(_, host)| host);
    host.is_some() && host == text(http::header::HOST)
}

async fn read_form(request: http::Request<body::Incoming>) -> Option<form::SentForm> {
    let body = Limited::new(request.into_body(), FORM_LIMIT_BYTES).collect();
    let body = tokio::time::timeout(node::BODY_TIME_LIMIT, body).await;
    let body = body.ok()?.ok()?.to_bytes();
    Some(form::SentForm::parse(&body))
}

fn render(status: http::StatusCode, page: &impl Template) -> caller::CallerAnswer {
    let (status, text) = match page.render() {
        Ok(text) => (status, text),
        Err(error) => (http::StatusCode::INTERNAL_SERVER_ERROR, error.to_string()),
    };
    let mut answer = http::Response::new(caller::full(Bytes::from(text)));
    *answer.status_mut() = status;
    let headers = [
        (http::header::CONTENT_TYPE, "text/html; charset=utf-8"),
        (http::header::CONTENT_SECURITY_POLICY, CONTENT_POLICY),
        (http::header::X_CONTENT_TYPE_OPTIONS, "nosniff"),
        (http::header::REFERRER_POLICY, "same-origin"),
        (http::header::CACHE_CONTROL, "no-store"),
    ];
    for (name, value) in headers {
        answer
            .headers_mut()
            .insert(name, http::HeaderValue::from_static(value));
    }
    answer
}

fn style() -> caller::CallerAnswer {
    let mut answer = http::Response::new(caller::full(Bytes::from_static(STYLE.as_bytes())));
    let kind = http::HeaderValue::from_static("text/css; charset=utf-8");
    answer
        .headers_mut()
        .insert(http::header::CONTENT_TYPE, kind);
    answer
}

fn redirect(to: &'static str, cookie: Option<String>) -> caller::CallerAnswer {
    let mut answer = http::Response::new(caller::full(Bytes::new()));
    *answer.status_mut() = http::StatusCode::SEE_OTHER;
    let headers = answer.headers_mut();
    headers.insert(http::header::LOCATION, http::HeaderValue::from_static(to));
    // Names of operators hold nothing that a header could not.
    if let Some(cookie) = cookie.and_then(|cookie| http::HeaderValue::from_str(&cookie).ok()) {
        headers.insert(http::header::SET_COOKIE, cookie);
    }
    answer
}
