//! Export and import of kept KV, so that another replica needn't compute a prompt's front again.
//!
//! An entry bears the model, weights and life that computed it. Another model's or other weights'
//! entries are refused: what was computed with them would give wrong words.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Response, Result, StatusCode};

use crate::cache::{chain, BlockRange, BLOCK_BYTES};
use crate::engine::Engine;
use crate::{lock, reply};

/// A prompt's front, exported.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The model that computed it.
    pub model: String,
    /// The weights that computed it.
    pub weights: String,
    /// The life that computed it.
    pub incarnation: u64,
    /// Cache salt.
    pub scope: String,
    /// Texts of its blocks.
    pub texts: Vec<String>,
}

impl Engine {
    pub(super) fn export(&self, hash: Option<u64>) -> Result<Response> {
        let served = lock(&self.served);
        let path = hash.and_then(|h| lock(&self.cache).path(h));
        let Some(path) = path else {
            return reply::json(StatusCode::NOT_FOUND, &json!({"error": "not cached"}));
        };
        let kept = KvExport {
            model: served.model.clone(),
            weights: served.weights.clone(),
            incarnation: self.incarnation,
            scope: path.scope,
            texts: path.texts,
        };
        reply::json(StatusCode::OK, &kept)
    }

    pub(super) async fn import(self: Arc<Self>, body: &[u8]) -> Result<Response> {
        let kept = match serde_json::from_slice::<KvExport>(body) {
            Ok(k) => k,
            Err(e) => return reply::refused(StatusCode::BAD_REQUEST, &e),
        };
        if kept.texts.iter().any(|t| t.len() != BLOCK_BYTES) {
            let text = format!("blocks have {BLOCK_BYTES} bytes");
            return reply::json(StatusCode::BAD_REQUEST, &json!({ "error": text }));
        }
        let time = self.set.import * kept.texts.len() as u32;
        tokio::time::sleep(self.faults.slowed(time)).await;
        self.add(&kept)
    }

    fn add(&self, kept: &KvExport) -> Result<Response> {
        // Held until the blocks are in, so that no load order comes between check and import.
        let served = lock(&self.served);
        if served.loading || served.weights != kept.weights || served.model != kept.model {
            let text = format!("serves {} {}", served.model, served.weights);
            return reply::json(StatusCode::CONFLICT, &json!({ "error": text }));
        }
        let prompt = kept.texts.concat();
        let chain = chain(&kept.scope, prompt.as_bytes());
        let piece = BlockRange {
            scope: &kept.scope,
            prompt: prompt.as_bytes(),
            chain: &chain,
            from: 0,
            to: chain.len(),
        };
        self.change(|c, out| c.store(Instant::now(), &piece, out));
        reply::json(StatusCode::OK, &json!({"blocks": chain.len()}))
    }
}
