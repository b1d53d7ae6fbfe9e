//! A small HTTP client based on `hyper-util`, with a timeout for each call.

use std::error::Error as _;
use std::io;
use std::time::Duration;

use bytes::{Bytes, BytesMut};
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::{Method, StatusCode};
use hyper_util::client::legacy::connect::HttpConnector;
use hyper_util::client::legacy::Client as Legacy;
use hyper_util::rt::TokioExecutor;
use thiserror::Error;

/// Maximum size of a response; the longest ones list the whole cache of an engine.
pub const MAX_RESPONSE: usize = 32 << 20;

/// Error of a call that got no response.
#[derive(Debug, Error)]
pub enum HttpError {
    /// The URI or a header is invalid.
    #[error("invalid call: {0}")]
    Call(#[from] hyper::http::Error),
    /// The connection couldn't be established; nothing was sent.
    #[error("can't connect: {0}")]
    Connect(hyper_util::client::legacy::Error),
    /// The connection broke after the call may have been sent.
    #[error("connection lost: {0}")]
    Lost(String),
    /// There was no response in time; the call may have been executed.
    #[error("no answer within {0:?}")]
    Timeout(Duration),
    /// The response is longer than [`MAX_RESPONSE`]; the call may have been executed.
    #[error("the answer is longer than {MAX_RESPONSE} bytes")]
    TooLong,
}

impl HttpError {
    /// Whether the connection was refused, so that no process listens at the address.
    pub fn is_refused(&self) -> bool {
        let Self::Connect(e) = self else {
            return false;
        };
        let causes = std::iter::successors(e.source(), |e| (*e).source());
        let refused = |e: &io::Error| e.kind() == io::ErrorKind::ConnectionRefused;
        causes
            .filter_map(|e| e.downcast_ref::<io::Error>())
            .any(refused)
    }
}

/// An HTTP request with a timeout.
#[derive(Clone, Debug)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Absolute URI.
    pub uri: String,
    /// Names and values of the headers.
    pub headers: Vec<(String, String)>,
    /// Content of the request; may be empty.
    pub body: Bytes,
    /// Maximum time until the whole response has arrived.
    pub timeout: Duration,
}

impl Call {
    /// Creates a call without headers and body.
    pub fn new(method: Method, uri: impl Into<String>, timeout: Duration) -> Self {
        Self {
            method,
            uri: uri.into(),
            headers: Vec::new(),
            body: Bytes::new(),
            timeout,
        }
    }

    /// Sets the body.
    pub fn body(mut self, body: impl Into<Bytes>) -> Self {
        self.body = body.into();
        self
    }

    /// Adds a header.
    pub fn header(mut self, name: impl Into<String>, value: impl Into<String>) -> Self {
        self.headers.push((name.into(), value.into()));
        self
    }
}

/// An HTTP client with a connection pool.
#[derive(Clone, Debug)]
pub struct Client {
    inner: Legacy<HttpConnector, Full<Bytes>>,
}

impl Default for Client {
    fn default() -> Self {
        let mut tcp = HttpConnector::new();
        tcp.set_nodelay(true);
        Self {
            inner: Legacy::builder(TokioExecutor::new()).build(tcp),
        }
    }
}

impl Client {
    /// Sends a call and reads the whole response.
    pub async fn call(&self, call: Call) -> Result<(StatusCode, Bytes), HttpError> {
        let mut req = hyper::Request::builder().method(call.method).uri(call.uri);
        for (name, value) in &call.headers {
            req = req.header(name, value);
        }
        let req = req.body(Full::new(call.body))?;
        let whole = async {
            let res = self.inner.request(req).await.map_err(send_error)?;
            let status = res.status();
            Ok((status, collect(res.into_body()).await?))
        };
        tokio::time::timeout(call.timeout, whole)
            .await
            .unwrap_or(Err(HttpError::Timeout(call.timeout)))
    }
}

/// Collects a response. The bytes are copied, since frames keep the buffers in which they were read.
async fn collect(mut body: Incoming) -> Result<Bytes, HttpError> {
    let mut whole = BytesMut::new();
    while let Some(frame) = body.frame().await {
        let frame = frame.map_err(|e| HttpError::Lost(e.to_string()))?;
        let data = frame.into_data().unwrap_or_default();
        if whole.len() + data.len() > MAX_RESPONSE {
            return Err(HttpError::TooLong);
        }
        whole.extend_from_slice(&data);
    }
    Ok(whole.freeze())
}

fn send_error(e: hyper_util::client::legacy::Error) -> HttpError {
    match e.is_connect() {
        true => HttpError::Connect(e),
        false => HttpError::Lost(e.to_string()),
    }
}
