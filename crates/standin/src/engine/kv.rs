//! Export and import of cached KV blocks, so that another replica needn't compute the first blocks
//! of a prompt again.
//!
//! An export names the model, weights and incarnation that computed it. An export of another model
//! or of other weights is refused: its blocks would lead to wrong tokens.

use std::sync::Arc;
use std::time::Instant;

use serde::{Deserialize, Serialize};
use serde_json::json;
use viz::{Response, Result, StatusCode};

use crate::cache::{chain, BlockRange, BLOCK_BYTES};
use crate::engine::Engine;
use crate::{lock, reply};

/// The exported first blocks of a prompt.
#[derive(Clone, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct KvExport {
    /// The model that computed the blocks.
    pub model: String,
    /// The weights that computed the blocks.
    pub weights: String,
    /// The engine incarnation that computed the blocks.
    pub incarnation: u64,
    /// Cache salt.
    pub scope: String,
    /// Texts of the blocks, in order.
    pub texts: Vec<String>,
}

impl Engine {
    pub(super) fn export(&self, hash: Option<u64>) -> Result<Response> {
        let served = lock(&self.served);
        let prefix = hash.and_then(|h| lock(&self.cache).prefix(h));
        let Some(prefix) = prefix else {
            return reply::json(StatusCode::NOT_FOUND, &json!({"error": "not cached"}));
        };
        let export = KvExport {
            model: served.model.clone(),
            weights: served.weights.clone(),
            incarnation: self.incarnation,
            scope: prefix.scope,
            texts: prefix.texts,
        };
        reply::json(StatusCode::OK, &export)
    }

    pub(super) async fn import(self: Arc<Self>, body: &[u8]) -> Result<Response> {
        let export = match serde_json::from_slice::<KvExport>(body) {
            Ok(k) => k,
            Err(e) => return reply::error(StatusCode::BAD_REQUEST, &e),
        };
        if export.texts.iter().any(|t| t.len() != BLOCK_BYTES) {
            let text = format!("blocks have {BLOCK_BYTES} bytes");
            return reply::json(StatusCode::BAD_REQUEST, &json!({ "error": text }));
        }
        let time = self.settings.import_per_block * export.texts.len() as u32;
        tokio::time::sleep(self.faults.slowed(time)).await;
        self.add(&export)
    }

    fn add(&self, export: &KvExport) -> Result<Response> {
        // Locked until the blocks are stored, so that no load order starts between check and
        // import.
        let served = lock(&self.served);
        if served.loading || served.weights != export.weights || served.model != export.model {
            let text = format!("serves {} {}", served.model, served.weights);
            return reply::json(StatusCode::CONFLICT, &json!({ "error": text }));
        }
        let prompt = export.texts.concat();
        let chain = chain(&export.scope, prompt.as_bytes());
        let range = BlockRange {
            scope: &export.scope,
            prompt: prompt.as_bytes(),
            chain: &chain,
            from: 0,
            to: chain.len(),
        };
        self.with_cache(|c, out| c.store(Instant::now(), &range, out));
        reply::json(StatusCode::OK, &json!({"blocks": chain.len()}))
    }
}
