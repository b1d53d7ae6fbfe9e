//! A small HTTP client. Each call uses a new connection, so that no connection is shared and no
//! request is sent twice.

use std::net::SocketAddr;

use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::client::conn::http1::handshake;
use hyper::{Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// The reason for which a call has no answer.
#[derive(Debug, thiserror::Error)]
pub enum CallError {
    /// The connection failed.
    #[error("cannot connect: {0}")]
    Connect(#[from] std::io::Error),
    /// The connection broke, or the answer is not HTTP.
    #[error("connection broke: {0}")]
    Broken(#[from] hyper::Error),
    /// The call is not a valid HTTP request.
    #[error("invalid request: {0}")]
    Request(#[from] hyper::http::Error),
    /// The body of the answer is not the expected JSON.
    #[error("invalid body: {0}")]
    Body(#[from] serde_json::Error),
}

/// An HTTP request and the address to send it to.
#[derive(Clone, Debug)]
pub struct Call {
    /// Address of the server.
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
    /// A GET request without body.
    pub fn get(to: SocketAddr, path: impl Into<String>) -> Self {
        Self {
            to,
            method: "GET",
            path: path.into(),
            headers: Vec::new(),
            body: Bytes::new(),
        }
    }

    /// A POST request with a body.
    pub fn post(to: SocketAddr, path: impl Into<String>, body: impl Into<Bytes>) -> Self {
        Self {
            method: "POST",
            body: body.into(),
            ..Self::get(to, path)
        }
    }

    /// Adds a header.
    pub fn header(mut self, name: &'static str, value: impl Into<String>) -> Self {
        self.headers.push((name, value.into()));
        self
    }

    /// Sends the request and returns the answer once its headers are received.
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

    /// Sends the request and reads the whole answer.
    pub async fn fetch(self) -> Result<(StatusCode, Bytes), CallError> {
        let res = self.send().await?;
        let status = res.status();
        Ok((status, res.into_body().collect().await?.to_bytes()))
    }

    /// Sends the request and parses the answer as JSON.
    pub async fn json<T: serde::de::DeserializeOwned>(self) -> Result<(StatusCode, T), CallError> {
        let (status, body) = self.fetch().await?;
        Ok((status, serde_json::from_slice(&body)?))
    }
}
