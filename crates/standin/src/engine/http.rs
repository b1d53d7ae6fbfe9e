//! An engine's HTTP interface.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use serde_json::json;
use viz::{Method, Request, RequestExt, Response, Result, Router, StatusCode};

use crate::engine::request::CompletionRequest;
use crate::engine::run::Job;
use crate::engine::{Engine, Faults};
use crate::{lock, reply};

impl Engine {
    /// The HTTP interface of the engine.
    pub fn router(self: &Arc<Self>) -> Router {
        let engine = Arc::clone(self);
        Router::new().any("/*", move |r: Request| Arc::clone(&engine).serve(r))
    }

    async fn serve(self: Arc<Self>, mut req: Request) -> Result<Response> {
        let body = req.bytes().await.map_err(viz::Error::boxed)?;
        let path = req.path().to_owned();
        match (req.method(), path.as_str()) {
            (&Method::POST, "/v1/completions" | "/v1/chat/completions") => {
                let id = req.header::<_, String>("x-request-id").unwrap_or_default();
                self.complete(id, &body).await
            }
            (&Method::GET, "/load") => {
                let late = Duration::from_millis(self.faults.get().late);
                tokio::time::sleep(late).await;
                self.report_load()
            }
            (&Method::GET, "/events") => self.events(req.query_string().unwrap_or_default()),
            (&Method::GET, "/cache") => self.list_blocks(),
            (&Method::GET, "/log") => reply::json(StatusCode::OK, &self.run_log()),
            (&Method::GET, "/history") => reply::json(StatusCode::OK, &self.feed.history()),
            (&Method::POST, "/kv") => self.import(&body).await,
            (&Method::GET, p) if p.starts_with("/kv/") => self.export(p[4..].parse().ok()),
            (&Method::POST, "/orders") => self.order(&body),
            (&Method::GET, "/orders") => reply::json(StatusCode::OK, &self.orders()),
            (&Method::POST, "/faults") => {
                let peer = req.extensions().get::<Option<Arc<SocketAddr>>>();
                let peer = peer.and_then(|p| p.as_deref().copied());
                self.post_faults(&body, peer)
            }
            (&Method::GET, "/faults") => reply::json(StatusCode::OK, &self.faults.get()),
            _ => reply::json(StatusCode::NOT_FOUND, &json!({})),
        }
    }

    async fn complete(self: Arc<Self>, id: String, body: &[u8]) -> Result<Response> {
        let request = match serde_json::from_slice::<CompletionRequest>(body) {
            Ok(a) => a,
            Err(e) => return reply::error(StatusCode::BAD_REQUEST, &e),
        };
        if let Some(status) = self.faults.take_error() {
            let status = StatusCode::from_u16(status).unwrap_or(StatusCode::SERVICE_UNAVAILABLE);
            return reply::json(status, &json!({"error": "fault"}));
        }
        let Some((weights, cuts)) = self.serving() else {
            return reply::json(
                StatusCode::SERVICE_UNAVAILABLE,
                &json!({"error": "loading"}),
            );
        };
        let prompt = request.prompt_text();
        if self
            .settings
            .poison
            .as_ref()
            .is_some_and(|p| prompt.contains(p))
        {
            std::process::abort();
        }
        let job = Job {
            id,
            prompt,
            request,
            weights,
            cuts,
        };
        self.answer(job).await
    }

    /// The weights in use and the number of times that running work was cut; none while loading.
    fn serving(&self) -> Option<(String, u64)> {
        let s = lock(&self.served);
        match s.loading {
            true => None,
            false => Some((s.weights.clone(), *self.cuts.borrow())),
        }
    }

    fn report_load(&self) -> Result<Response> {
        let blocks = self.with_cache(|c, _| c.len());
        let load = self.feed.reported_load();
        let served = lock(&self.served);
        reply::json(
            StatusCode::OK,
            &json!({
                "incarnation": self.incarnation,
                "running": load.running,
                "waiting": load.waiting,
                "model": served.model,
                "weights": served.weights,
                "adapters": served.adapters,
                "role": served.role,
                "loading": served.loading,
                "blocks": blocks,
            }),
        )
    }

    fn events(&self, query: &str) -> Result<Response> {
        let after = query.strip_prefix("after=").and_then(|n| n.parse().ok());
        self.with_cache(|_, _| ());
        let (next, events) = self.feed.after(self.publishing(), after.unwrap_or(0));
        reply::json(
            StatusCode::OK,
            &json!({"incarnation": self.incarnation, "next": next, "events": events}),
        )
    }

    fn list_blocks(&self) -> Result<Response> {
        let (seq, blocks) = {
            let cache = lock(&self.cache);
            (self.feed.seq(), cache.list())
        };
        reply::json(
            StatusCode::OK,
            &json!({"incarnation": self.incarnation, "seq": seq, "blocks": blocks}),
        )
    }

    fn post_faults(&self, body: &[u8], peer: Option<SocketAddr>) -> Result<Response> {
        match serde_json::from_slice::<Faults>(body) {
            Ok(f) => self.set_faults_except(f, peer),
            Err(e) => return reply::error(StatusCode::BAD_REQUEST, &e),
        }
        reply::json(StatusCode::OK, &self.faults.get())
    }
}
