//! Commands that ask a node over its listeners.

use std::net;
use std::time as std_time;

use anyhow::Context;
use arbutusfold::{client, config, document, id, operate};
use http_body_util::Full;

use crate::command::{self, ConfigCommand, NodeAddress};
use crate::exit::{CommandError, ExitReason};

/// Variable that holds the operator token.
const TOKEN_VARIABLE: &str = "ARBUTUSFOLD_TOKEN";

/// Longest wait for an answer; a node needs up to 10 s to settle a lost one.
const ANSWER_LIMIT: std_time::Duration = std_time::Duration::from_secs(30);

/// Runs a command about the configuration.
///
/// # Errors
///
/// [`CommandError`] with the exit code.
pub async fn run_config(command: ConfigCommand) -> Result<(), CommandError> {
    match command {
        ConfigCommand::Submit {
            node_address,
            base,
            document,
        } => submit(&node_address, base, &document).await,
        ConfigCommand::Show {
            node_address,
            version,
        } => show(&node_address, version).await,
        ConfigCommand::History {
            node_address,
            limit,
        } => history(&node_address, limit).await,
        ConfigCommand::Status { node_address } => status(&node_address).await,
    }
}

/// Prints the audit trail as JSON.
///
/// # Errors
///
/// [`CommandError`] with the exit code.
pub async fn audit(
    address: NodeAddress,
    before: Option<id::DocumentVersion>,
    limit: usize,
) -> Result<(), CommandError> {
    let before = before.map_or(String::new(), |before| format!("&before={before}"));
    let path = format!("/v1/audit?limit={limit}{before}");
    let trail: operate::AuditTrail = get(&address, &path).await?;
    print_json(&serde_json::json!(trail))
}

/// Prints the events about a subject as JSON.
///
/// # Errors
///
/// [`CommandError`] with the exit code.
pub async fn explain(address: NodeAddress, subject: String) -> Result<(), CommandError> {
    let path = format!("/v1/explain/{subject}");
    let story: serde_json::Value = get(&address, &path).await?;
    print_json(&story)
}

/// Prints the addresses that a caller is given, one a line.
///
/// # Errors
///
/// [`CommandError`] with the exit code.
pub async fn addresses(callers: net::SocketAddr, caller: String) -> Result<(), CommandError> {
    let path = format!("/v1/addresses?caller={caller}");
    let answer: serde_json::Value =
        call(callers, http::Method::GET, &path, None, String::new()).await?;
    let addresses = answer["addresses"].as_array().into_iter().flatten();
    for address in addresses.filter_map(serde_json::Value::as_str) {
        println!("{address}");
    }
    Ok(())
}

async fn submit(
    address: &NodeAddress,
    base: id::DocumentVersion,
    path: &std::path::Path,
) -> Result<(), CommandError> {
    let text = command::read_file(path)?;
    // Errors then name the file; the node checks again.
    document::parse_file(&path.display().to_string(), &text)
        .map_err(|error| CommandError::new(ExitReason::Refused, error.to_string()))?;
    let token = token(address)?;
    let path = format!("/v1/config?base={base}");
    let method = http::Method::POST;
    let accepted: operate::AcceptedDocument =
        call(address.node, method, &path, Some(&token), text).await?;
    println!("accepted as version {}", accepted.version);
    Ok(())
}

async fn show(
    address: &NodeAddress,
    version: Option<id::DocumentVersion>,
) -> Result<(), CommandError> {
    let query = version.map_or(String::new(), |version| format!("?version={version}"));
    let shown: operate::ShownDocument = get(address, &format!("/v1/config{query}")).await?;
    eprintln!("version {}", shown.version);
    print!("{}", shown.text);
    Ok(())
}

async fn history(address: &NodeAddress, limit: usize) -> Result<(), CommandError> {
    let path = format!("/v1/audit?limit={limit}");
    let trail: operate::AuditTrail = get(address, &path).await?;
    println!("version  base     at_ms          operator          changes");
    for entry in trail.entries {
        let count = entry.changes.entries.len() + entry.changes.omitted;
        println!(
            "{:<8} {:<8} {:<14} {:<17} {count}",
            entry.version, entry.base, entry.at_ms, entry.operator
        );
    }
    Ok(())
}

async fn status(address: &NodeAddress) -> Result<(), CommandError> {
    let status: operate::ConfigStatus = get(address, "/v1/config/status").await?;
    println!("host              domain            version  serving");
    for host in &status.hosts {
        println!(
            "{:<17} {:<17} {:<8} {}",
            host.host, host.domain, host.version, host.serving
        );
    }
    if let Some(behind) = status.fault.behind {
        println!("the table service went back to version {behind}");
    }
    if let Some(refused) = status.fault.refused {
        println!("version {refused} in the table service does not hold");
    }
    Ok(())
}

async fn get<A: serde::de::DeserializeOwned>(
    address: &NodeAddress,
    path: &str,
) -> Result<A, CommandError> {
    let token = token(address)?;
    let method = http::Method::GET;
    call(address.node, method, path, Some(&token), String::new()).await
}

async fn call<A: serde::de::DeserializeOwned>(
    address: net::SocketAddr,
    method: http::Method,
    path: &str,
    token: Option<&str>,
    body: String,
) -> Result<A, CommandError> {
    let changes = method == http::Method::POST;
    let mut request = http::Request::builder()
        .method(method)
        .uri(format!("http://{address}{path}"));
    if let Some(token) = token {
        request = request.header(http::header::AUTHORIZATION, format!("Bearer {token}"));
    }
    let request = request
        .body(Full::new(bytes::Bytes::from(body)))
        .map_err(|error| CommandError::new(ExitReason::Usage, error.to_string()))?;
    let exchange = async {
        let response = client::HttpClient::for_services().send(request).await?;
        let status = response.status();
        let body = client::read_body(response.into_body()).await?;
        Ok((status, body))
    };
    let answer = tokio::time::timeout(ANSWER_LIMIT, exchange).await;
    let (status, body) = match answer {
        Ok(Ok(answer)) => answer,
        Ok(Err(error)) => return Err(no_answer(&error, changes)),
        Err(_) => {
            let reason = "no answer in time".to_owned();
            return Err(no_answer(&client::ClientError::Lost { reason }, changes));
        }
    };
    if !status.is_success() {
        return Err(refused(status, &body));
    }
    let answer = serde_json::from_slice(&body).context("the answer is not as expected")?;
    Ok(answer)
}

fn no_answer(error: &client::ClientError, changes: bool) -> CommandError {
    let sent = !matches!(error, client::ClientError::NotSent { .. });
    let reason = match sent && changes {
        true => ExitReason::Unknown,
        false => ExitReason::Unavailable,
    };
    CommandError::new(reason, format!("arbutusfold: {error}"))
}

fn refused(status: http::StatusCode, body: &[u8]) -> CommandError {
    let Ok(body) = serde_json::from_slice::<operate::ErrorBody>(body) else {
        let message = format!("arbutusfold: the node answered {status}");
        return CommandError::new(ExitReason::Other, message);
    };
    let error = body.error;
    let reason = match error.code.as_str() {
        "token_refused" => ExitReason::Token,
        "document_invalid" | "document_too_long" => ExitReason::Refused,
        "conflict" => ExitReason::Conflict,
        "not_accepted" | "platform_unavailable" => ExitReason::Unavailable,
        "outcome_unknown" => ExitReason::Unknown,
        _ => ExitReason::Other,
    };
    let mut message = format!("arbutusfold: {}", error.message);
    if let Some(conflict) = &error.conflict {
        message.push_str(&describe(conflict));
    }
    CommandError::new(reason, message)
}

fn describe(conflict: &config::ConfigConflict) -> String {
    let operator = conflict.operator.as_deref().unwrap_or("unknown");
    let mut text = format!("\nversion {} was made by {operator}", conflict.newest);
    match &conflict.changes {
        None => text.push_str("\nwhat it changed is not known"),
        Some(changes) => {
            for entry in &changes.entries {
                text.push_str(&format!("\n{entry}"));
            }
            if changes.omitted > 0 {
                text.push_str(&format!("\n{} more", changes.omitted));
            }
        }
    }
    text
}

fn token(address: &NodeAddress) -> Result<String, CommandError> {
    let token = match &address.token_file {
        Some(path) => Some(command::read_file(path)?),
        None => std::env::var(TOKEN_VARIABLE).ok(),
    };
    token
        .map(|token| token.trim().to_owned())
        .filter(|token| !token.is_empty())
        .ok_or_else(|| {
            let message = format!("no operator token: set {TOKEN_VARIABLE} or give --token-file");
            CommandError::new(ExitReason::Token, message)
        })
}

fn print_json(value: &serde_json::Value) -> Result<(), CommandError> {
    let text = serde_json::to_string_pretty(value).map_err(anyhow::Error::from)?;
    println!("{text}");
    Ok(())
}
