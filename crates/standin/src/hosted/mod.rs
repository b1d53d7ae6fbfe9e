//! A platform that hosts the router: a row store, replicas listed in it, and the rows that the
//! operator writes.
//!
//! The published protocol is implemented here by hand from its documentation, so that the adapter
//! is checked against the documentation and not against itself.

pub mod prompt_cache;
pub mod replica;
pub mod row_store;
pub mod sample;

use std::convert::Infallible;
use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use http_body_util::combinators::UnsyncBoxBody;
use http_body_util::{BodyExt, Full};
use hyper::body::Incoming;
use hyper::server::conn::http1;
use hyper::service::service_fn;
use hyper::{Request, Response, StatusCode};
use hyper_util::rt::TokioIo;
use tokio::net::TcpListener;
use tokio::sync::Notify;
use tokio::task::JoinSet;
use tokio::time::{sleep, timeout};

/// Interval at which a server checks whether it is up.
const STATE_INTERVAL: Duration = Duration::from_millis(2);

/// The error of an answer that is cut off deliberately.
#[derive(Debug, thiserror::Error)]
#[error("cut off on purpose")]
pub struct CutOff;

/// Cuts off the connection of a request, which has it among its extensions.
#[derive(Clone, Debug, Default)]
pub struct ConnectionCut(Arc<Notify>);

impl ConnectionCut {
    /// Closes the connection, also while bytes of an answer wait to be read.
    pub fn cut(&self) {
        self.0.notify_one();
    }
}

/// The body of an answer.
pub type Body = UnsyncBoxBody<Bytes, CutOff>;

/// A whole body.
pub fn whole(bytes: impl Into<Bytes>) -> Body {
    let body = Full::new(bytes.into());
    body.map_err(|e: Infallible| match e {}).boxed_unsync()
}

/// An answer with a status and a whole body.
pub fn reply(status: StatusCode, bytes: impl Into<Bytes>) -> Response<Body> {
    let mut response = Response::new(whole(bytes));
    *response.status_mut() = status;
    response
}

/// Answers requests on a port of 127.0.0.1 until the returned task set is dropped. If `answer`
/// returns `None`, the connection of the request is closed.
pub async fn serve<F, A>(answer: F) -> std::io::Result<(SocketAddr, JoinSet<()>)>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: std::future::Future<Output = Option<Response<Body>>> + Send + 'static,
{
    serve_while(answer, || Some(0)).await
}

/// Like [`serve`], but as a process that ends and starts again. `start` returns the number of its
/// current start, or `None` while it has ended: all connections of a start break together at its
/// end, and new ones are refused until the next start.
pub async fn serve_while<F, A, U>(answer: F, start: U) -> std::io::Result<(SocketAddr, JoinSet<()>)>
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: std::future::Future<Output = Option<Response<Body>>> + Send + 'static,
    U: Fn() -> Option<usize> + Send + Sync + 'static,
{
    let listener = TcpListener::bind("127.0.0.1:0").await?;
    let at = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(async move {
        let mut listener = listener;
        loop {
            accept_while(&listener, answer.clone(), &start).await;
            drop(listener);
            while start().is_none() {
                sleep(STATE_INTERVAL).await;
            }
            listener = loop {
                match TcpListener::bind(at).await {
                    Ok(listener) => break listener,
                    Err(_) => sleep(STATE_INTERVAL).await,
                }
            };
        }
    });
    Ok((at, tasks))
}

/// Accepts connections and answers their requests until the current start ends.
async fn accept_while<F, A>(listener: &TcpListener, answer: F, start: &impl Fn() -> Option<usize>)
where
    F: Fn(Request<Incoming>) -> A + Clone + Send + 'static,
    A: std::future::Future<Output = Option<Response<Body>>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    let current = start();
    while current.is_some() && start() == current {
        let Ok(Ok((tcp, _))) = timeout(STATE_INTERVAL, listener.accept()).await else {
            continue;
        };
        let answer = answer.clone();
        let cut = ConnectionCut::default();
        let given = cut.clone();
        let service = service_fn(move |mut r: Request<Incoming>| {
            r.extensions_mut().insert(given.clone());
            let answered = answer(r);
            async move { answered.await.ok_or(CutOff) }
        });
        connections.spawn(async move {
            let served = http1::Builder::new().serve_connection(TokioIo::new(tcp), service);
            // A connection that is cut off deliberately ends with an error.
            tokio::select! {
                _ = served => {}
                () = cut.0.notified() => {}
            }
        });
    }
}
