//! Operators' HTTP: health, metrics, configuration.

use std::sync::Arc;

use rules::RuleSet;
use viz::{Body, Request, RequestExt, Response, Router};

use crate::entry::Context;
use crate::view::View;

/// The operators' interface.
pub fn router(cx: Arc<Context>) -> Router {
    let [a, b] = std::array::from_fn(|_| Arc::clone(&cx));
    Router::new()
        .get("/health/*", move |r: Request| {
            let res = health(&a, r.path());
            async move { Ok::<_, viz::Error>(res) }
        })
        .put("/admin/configuration", move |r: Request| {
            apply(Arc::clone(&b), r)
        })
}

/// Answers a health question.
pub fn health(cx: &Context, path: &str) -> Response {
    let ready = cx.view.load().rules.is_some();
    let status = match path {
        "/health/live" => 200,
        "/health/ready" if ready => 200,
        "/health/ready" => 503,
        _ => 404,
    };
    Response::builder()
        .status(status)
        .body(Body::empty())
        .unwrap_or_default()
}

async fn apply(cx: Arc<Context>, mut req: Request) -> viz::Result<Response> {
    let text = req.text().await.map_err(viz::Error::boxed)?;
    let (status, body) = match RuleSet::compile(&text) {
        Err(f) => (400, f.to_string()),
        Ok(rules) => {
            let old = cx.view.load_full();
            let view = View {
                rules: Some(Arc::new(rules)),
                ..(*old).clone()
            };
            cx.view.store(Arc::new(view));
            (200, String::new())
        }
    };
    let res = Response::builder()
        .status(status)
        .body(Body::Full(body.into()));
    Ok(res.unwrap_or_default())
}
