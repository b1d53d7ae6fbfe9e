//! A hosted platform with two engines and two plain replicas; for `scripts/try --platform`.
//!
//! Prints one address per line: the row store as `listening`, then each replica by its id.

use std::error::Error;
use std::sync::Arc;
use std::time::Duration;

use standin::hosted::replica::Replica;
use standin::hosted::row_store::Store;
use standin::hosted::sample::{config, entry, MODEL};

/// Number of events in a stream.
const EVENTS: u64 = 4;
/// Pause before each event.
const PAUSE: Duration = Duration::from_millis(5);

#[tokio::main]
async fn main() -> Result<(), Box<dyn Error>> {
    let store: Arc<Store> = Arc::default();
    let (at, _served) = store.start().await?;
    store.write("op", "config", &config(1));
    let mut lines = vec![format!("listening {at}")];
    let mut replicas = Vec::new();
    for (id, service) in [
        ("engine1", "engines"),
        ("engine2", "engines"),
        ("plain1", "plain"),
        ("plain2", "plain"),
    ] {
        let replica = Replica::new(id, EVENTS, PAUSE);
        replica.set_version(MODEL, 1);
        let (at, served) = replica.start().await?;
        store.write("servers", id, &entry(&replica, service, at, "ready", 1));
        lines.push(format!("{id} {at}"));
        replicas.push(served);
    }
    println!("{}", lines.join("\n"));
    std::future::pending().await
}
