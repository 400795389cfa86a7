//! Sessions of operators, which every node of the fleet can check.

use std::time as std_time;

use subtle::ConstantTimeEq;

use crate::document;
use crate::event;
use crate::id;
use crate::settings;

/// Name of the cookie that carries a session.
const COOKIE_NAME: &str = "arbutusfold_session";

/// Longest time of a session.
pub const SESSION_TIME: std_time::Duration = std_time::Duration::from_secs(8 * 60 * 60);

/// Purposes keep the codes of sessions and of forms apart.
const SESSION_PURPOSE: &str = "arbutusfold 2026 console session";
const FORM_PURPOSE: &str = "arbutusfold 2026 console form";

/// An operator who is signed in.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct OperatorSession {
    /// Name of the operator.
    pub operator: id::OperatorName,
    /// Value of the cookie.
    pub cookie: String,
}

impl OperatorSession {
    /// Begins a session of the operator whose token was given.
    pub fn begin(settings: &settings::NodeSettings, operator: &str) -> Option<Self> {
        let held = find_operator(settings, operator)?;
        let expiry = event::unix_millis() + SESSION_TIME.as_millis() as u64;
        let body = format!("{expiry}.{operator}");
        let key = peer_keys(settings).next()?;
        let code = code_of(&key, SESSION_PURPOSE, &[&body, &held.digest]);
        Some(Self {
            operator: operator.to_owned(),
            cookie: format!("{body}.{code}"),
        })
    }

    /// Returns the session of a request, if it holds and has not run out.
    ///
    /// Removing an operator's token from the settings ends its sessions.
    pub fn of_request(
        settings: &settings::NodeSettings,
        headers: &http::HeaderMap,
        now_ms: u64,
    ) -> Option<Self> {
        let cookie = cookie_of(headers)?;
        let (body, code) = cookie.rsplit_once('.')?;
        let (expiry, operator) = body.split_once('.')?;
        let held = find_operator(settings, operator)?;
        let known = peer_keys(settings).any(|key| {
            let expected = code_of(&key, SESSION_PURPOSE, &[body, &held.digest]);
            bool::from(expected.as_bytes().ct_eq(code.as_bytes()))
        });
        let lasts = expiry.parse::<u64>().is_ok_and(|expiry| expiry > now_ms);
        (known && lasts).then(|| Self {
            operator: operator.to_owned(),
            cookie: cookie.to_owned(),
        })
    }

    /// Returns the code that every form of this session carries.
    pub fn form_code(&self, settings: &settings::NodeSettings) -> String {
        peer_keys(settings)
            .next()
            .map(|key| code_of(&key, FORM_PURPOSE, &[&self.cookie]))
            .unwrap_or_default()
    }

    /// Tells whether a form came from a page of this session.
    pub fn takes_form(&self, settings: &settings::NodeSettings, code: &str) -> bool {
        peer_keys(settings).any(|key| {
            let expected = code_of(&key, FORM_PURPOSE, &[&self.cookie]);
            bool::from(expected.as_bytes().ct_eq(code.as_bytes()))
        })
    }

    /// Returns the header that gives the session to the browser.
    pub fn set_cookie(&self) -> String {
        let age = SESSION_TIME.as_secs();
        format!(
            "{COOKIE_NAME}={}; Path=/console; HttpOnly; SameSite=Strict; Max-Age={age}",
            self.cookie
        )
    }
}

/// Returns the header that takes the session from the browser.
pub fn clear_cookie() -> String {
    format!("{COOKIE_NAME}=; Path=/console; HttpOnly; SameSite=Strict; Max-Age=0")
}

fn cookie_of(headers: &http::HeaderMap) -> Option<&str> {
    headers
        .get_all(http::header::COOKIE)
        .iter()
        .filter_map(|value| value.to_str().ok())
        .flat_map(|value| value.split("; "))
        .find_map(|pair| pair.strip_prefix(COOKIE_NAME)?.strip_prefix('='))
}

fn find_operator<'a>(
    settings: &'a settings::NodeSettings,
    name: &str,
) -> Option<&'a settings::OperatorToken> {
    settings
        .operator_tokens
        .iter()
        .find(|held| held.name == name)
}

fn peer_keys(settings: &settings::NodeSettings) -> impl Iterator<Item = String> {
    settings.peer_keys.iter().cloned()
}

fn code_of(key: &str, purpose: &str, parts: &[&str]) -> String {
    let key = blake3::derive_key(purpose, key.as_bytes());
    // A digest has one length, so parts cannot run into each other.
    let parts: String = parts
        .iter()
        .map(|part| document::digest_key(part))
        .collect();
    blake3::keyed_hash(&key, parts.as_bytes())
        .to_hex()
        .to_string()
}
