//! A plain service: quota checks that may be repeated, records that may not.
//!
//! | call | answer |
//! | --- | --- |
//! | `GET /quota/{district}` | `{"district","left"}` |
//! | `POST /records` | 201 `{"record":n}`; each call adds one |
//! | `GET /log` | bodies of all records, in order |

use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use serde_json::json;
use viz::{Request, RequestExt, Response, Result, Router, StatusCode};

use crate::reply;

/// What the service has run.
#[derive(Debug, Default)]
pub struct Service {
    /// How long a call takes.
    pub delay: Duration,
    log: Mutex<Vec<String>>,
}

impl Service {
    /// A service whose calls take `delay`.
    pub fn new(delay: Duration) -> Arc<Self> {
        Arc::new(Self {
            delay,
            log: Mutex::default(),
        })
    }

    /// Its HTTP interface.
    pub fn router(self: &Arc<Self>) -> Router {
        let [a, b, c] = std::array::from_fn(|_| Arc::clone(self));
        Router::new()
            .get("/quota/:district", move |r: Request| {
                Arc::clone(&a).quota(r)
            })
            .post("/records/*", move |r: Request| Arc::clone(&b).record(r))
            .get("/log", move |_: Request| {
                let log = c.bodies();
                async move { reply::json(StatusCode::OK, &log) }
            })
    }

    /// Bodies of all records.
    pub fn bodies(&self) -> Vec<String> {
        self.log
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .clone()
    }

    async fn quota(self: Arc<Self>, req: Request) -> Result<Response> {
        tokio::time::sleep(self.delay).await;
        let district = req.path().rsplit('/').next().unwrap_or_default().to_owned();
        reply::json(StatusCode::OK, &json!({"district": district, "left": 12}))
    }

    async fn record(self: Arc<Self>, mut req: Request) -> Result<Response> {
        let body = req.text().await.map_err(viz::Error::boxed)?;
        let n = {
            let mut log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
            log.push(body);
            log.len()
        };
        tokio::time::sleep(self.delay).await;
        reply::json(StatusCode::CREATED, &json!({"record": n}))
    }
}
