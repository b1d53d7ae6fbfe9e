//! HTTP endpoints of both roles: health and metrics.

use std::sync::OnceLock;

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use viz::{Body, Request, RequestExt, Response, Router};

use crate::meter;

/// Histogram buckets in seconds. They cover the goal of 1.5 s for the time to the first token.
const SECONDS_BUCKETS: [f64; 11] = [
    0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 1.5, 3.0, 10.0,
];

static METRICS: OnceLock<PrometheusHandle> = OnceLock::new();

/// Router with health and metrics. `ready` says whether the process is ready.
pub fn router(ready: impl Fn() -> bool + Clone + Send + Sync + 'static) -> Router {
    install();
    Router::new()
        .get("/health/*", move |r: Request| {
            let res = health(r.path(), ready());
            async move { Ok::<_, viz::Error>(res) }
        })
        .get("/metrics", |_: Request| async {
            let text = METRICS.get().map(PrometheusHandle::render);
            Ok::<_, viz::Error>(answer(200, "text/plain", text.unwrap_or_default()))
        })
}

/// Response to a health check.
pub fn health(path: &str, ready: bool) -> Response {
    let (status, text) = match path {
        "/health/live" => (200, "live\n"),
        "/health/ready" if ready => (200, "ready\n"),
        "/health/ready" => (503, "not ready\n"),
        _ => (404, "no such question\n"),
    };
    answer(status, "text/plain", text)
}

/// Response with this body.
pub fn answer(status: u16, kind: &str, body: impl Into<bytes::Bytes>) -> Response {
    let res = Response::builder()
        .status(status)
        .header("content-type", kind)
        .body(Body::Full(body.into().into()));
    res.unwrap_or_default()
}

/// Installs the recorder of metrics; later calls have no effect.
fn install() {
    METRICS.get_or_init(|| {
        let recorder = PrometheusBuilder::new()
            .set_buckets(&SECONDS_BUCKETS)
            .unwrap_or_else(|_| PrometheusBuilder::new())
            .build_recorder();
        let handle = recorder.handle();
        let _ = metrics::set_global_recorder(recorder);
        meter::describe();
        overload::meter::describe();
        tcp::meter::describe();
        handle
    });
}
