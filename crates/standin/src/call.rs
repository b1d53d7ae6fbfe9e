//! A small HTTP client: a new connection for each call, so that nothing is shared or repeated.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// Why a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// No connection.
    #[error("can't connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke, or what came isn't HTTP.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The call can't be written down as HTTP.
    #[error("no request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The body isn't what was expected.
    #[error("unreadable body: {0}")]
    Body(#[from] serde_json::Error),
}

/// What is sent.
#[derive(Clone, Debug)]
pub struct Call {
    /// Where to.
    pub to: SocketAddr,
    /// HTTP method.
    pub method: &'static str,
    /// Path and query.
    pub path: String,
    /// Headers.
    pub headers: Vec<(&'static str, String)>,
    /// Body.
    pub body: Bytes,
}

impl Call {
    /// A call without body.
    pub fn get(to: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            to,
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A call with a body.
    pub fn post(to: SocketAddr, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: "POST",
            body: body.into(),
            ..Self::get(to, path)
        }
    }

    /// With a header besides.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends it; gives the answer once its head is there.
    pub async fn send(self) -> Result<Response<Incoming>, CallError> {
        let tcp = TcpStream::connect(self.to).await?;
        tcp.set_nodelay(true)?;
        let (mut sender, conn) = handshake(TokioIo::new(tcp)).await?;
        tokio::spawn(conn);
        let mut req = hyper::Request::builder()
            .method(self.method)
            .uri(&self.path);
        if !self.headers.iter().any(|(name, _)| *name == "host") {
            req = req.header("host", self.to.to_string());
        }
        for (name, value) in self.headers {
            req = req.header(name, value);
        }
        Ok(sender.send_request(req.body(Full::new(self.body))?).await?)
    }

    /// Sends it and reads the whole answer.
    pub async fn fetch(self) -> Result<(StatusCode, Bytes), CallError> {
        let res = self.send().await?;
        let status = res.status();
        Ok((status, res.into_body().collect().await?.to_bytes()))
    }

    /// Sends it and reads the answer as JSON.
    pub async fn json<T: serde::de::DeserializeOwned>(self) -> Result<(StatusCode, T), CallError> {
        let (status, body) = self.fetch().await?;
        Ok((status, serde_json::from_slice(&body)?))
    }
}
