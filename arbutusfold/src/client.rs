//! HTTP clients for upstreams and the platform.

use std::net;

use bytes::Bytes;
use derive_more::{Display, Error};
use http_body_util::{BodyExt, Full, Limited};
use hyper_util::client::legacy;
use hyper_util::client::legacy::connect;
use hyper_util::rt;
use serde::Serialize;

/// Maximum size of a response body in bytes.
const RESPONSE_LIMIT_BYTES: usize = 16 << 20;

/// Error of an HTTP call.
#[derive(Debug, Display, Error)]
pub enum ClientError {
    /// The request did not reach the server.
    #[display("not sent: {reason}")]
    NotSent {
        /// Cause.
        reason: String,
    },
    /// The request may have reached the server, but no complete response came.
    #[display("answer lost: {reason}")]
    Lost {
        /// Cause.
        reason: String,
    },
    /// The server responded with an error status.
    #[display("status {status}: {body}")]
    Status {
        /// HTTP status.
        status: u16,
        /// Body of the response.
        body: String,
    },
}

/// HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct HttpClient {
    client: legacy::Client<connect::HttpConnector, Full<Bytes>>,
}

impl HttpClient {
    /// Creates a client for engines, which use HTTP/2.
    pub fn for_engines() -> Self {
        let client = client_builder()
            .http2_only(true)
            .http2_initial_stream_window_size(1 << 20)
            .http2_initial_connection_window_size(16 << 20)
            .build(connector());
        Self { client }
    }

    /// Creates a client for the platform and plain services, which use HTTP/1.1.
    ///
    /// The pool never retries a request by itself: the caller of this client
    /// decides that, as only it knows whether a call may run twice.
    pub fn for_services() -> Self {
        let client = client_builder()
            .retry_canceled_requests(false)
            .build(connector());
        Self { client }
    }

    /// Sends a request and returns the response with its body unread.
    ///
    /// # Errors
    ///
    /// [`ClientError::NotSent`] only if no connection could be established.
    pub async fn send(
        &self,
        request: http::Request<Full<Bytes>>,
    ) -> Result<http::Response<hyper::body::Incoming>, ClientError> {
        self.client.request(request).await.map_err(|error| {
            let reason = describe_causes(&error);
            if error.is_connect() {
                ClientError::NotSent { reason }
            } else {
                ClientError::Lost { reason }
            }
        })
    }

    /// Sends a value as JSON with POST and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// [`ClientError`], which says whether the call may have had an effect.
    pub async fn post_json<Q, A>(
        &self,
        address: net::SocketAddr,
        path: &str,
        query: &Q,
    ) -> Result<A, ClientError>
    where
        Q: Serialize + ?Sized,
        A: serde::de::DeserializeOwned,
    {
        let body = serde_json::to_vec(query).map_err(not_sent)?;
        let request = http::Request::post(format!("http://{address}{path}"))
            .header(http::header::CONTENT_TYPE, "application/json")
            .body(Full::new(Bytes::from(body)))
            .map_err(not_sent)?;
        let response = self.send(request).await?;
        let status = response.status();
        let body = read_body(response.into_body()).await?;
        if !status.is_success() {
            return Err(ClientError::Status {
                status: status.as_u16(),
                body: String::from_utf8_lossy(&body).into_owned(),
            });
        }
        serde_json::from_slice(&body).map_err(|error| ClientError::Lost {
            reason: error.to_string(),
        })
    }

    /// Sends a GET request and parses the response as JSON.
    ///
    /// # Errors
    ///
    /// [`ClientError`] if no valid response was received.
    pub async fn get_json<A>(&self, address: net::SocketAddr, path: &str) -> Result<A, ClientError>
    where
        A: serde::de::DeserializeOwned,
    {
        let request = http::Request::get(format!("http://{address}{path}"))
            .body(Full::default())
            .map_err(not_sent)?;
        let response = self.send(request).await?;
        let body = read_body(response.into_body()).await?;
        serde_json::from_slice(&body).map_err(|error| ClientError::Lost {
            reason: error.to_string(),
        })
    }
}

/// Reads a whole body, up to a size limit.
///
/// # Errors
///
/// [`ClientError::Lost`] if the body is incomplete or too long.
pub async fn read_body(body: hyper::body::Incoming) -> Result<Bytes, ClientError> {
    Limited::new(body, RESPONSE_LIMIT_BYTES)
        .collect()
        .await
        .map(|collected| collected.to_bytes())
        .map_err(|error| ClientError::Lost {
            reason: error.to_string(),
        })
}

fn client_builder() -> legacy::Builder {
    let mut builder = legacy::Client::builder(rt::TokioExecutor::new());
    builder.timer(rt::TokioTimer::new());
    builder.pool_timer(rt::TokioTimer::new());
    builder
}

fn connector() -> connect::HttpConnector {
    let mut connector = connect::HttpConnector::new();
    connector.set_nodelay(true);
    connector.set_connect_timeout(Some(std::time::Duration::from_millis(500)));
    connector
}

fn not_sent(error: impl std::fmt::Display) -> ClientError {
    ClientError::NotSent {
        reason: error.to_string(),
    }
}

fn describe_causes(error: &dyn std::error::Error) -> String {
    let causes = std::iter::successors(Some(error), |error| error.source());
    causes
        .map(ToString::to_string)
        .collect::<Vec<_>>()
        .join(": ")
}
