//! The model engine stand-in as a program; prints its address once it listens.

use std::time::Duration;

use argh::FromArgs;
use standin::engine::{Engine, Fencing, Settings};

/// A model engine for development.
#[derive(FromArgs)]
struct Args {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// model served
    #[argh(option, default = "Settings::default().model")]
    model: String,
    /// weights served at the start
    #[argh(option, default = "Settings::default().weights")]
    weights: String,
    /// number of blocks that the cache holds (default 4096)
    #[argh(option, default = "Settings::default().blocks")]
    blocks: usize,
    /// milliseconds after which an unused block is evicted (default 8000)
    #[argh(option, default = "millis(Settings::default().max_idle)")]
    age_ms: u64,
    /// number of requests computed at a time (default 8)
    #[argh(option, default = "Settings::default().slots")]
    slots: usize,
    /// microseconds to compute one block of prompt (default 400)
    #[argh(option, default = "micros(Settings::default().prefill_per_block)")]
    prefill_us: u64,
    /// number of prompt blocks computed without interruption (default 32)
    #[argh(option, default = "Settings::default().prefill_chunk")]
    chunk: usize,
    /// microseconds to compute one token of answer (default 5000)
    #[argh(option, default = "micros(Settings::default().decode_per_token)")]
    decode_us: u64,
    /// percentage by which each other running request lengthens a token's time (default 3)
    #[argh(option, default = "Settings::default().batch_penalty")]
    batch_penalty: u32,
    /// percentage by which a prompt being computed lengthens a token's time (default 50)
    #[argh(option, default = "Settings::default().prefill_penalty")]
    prefill_penalty: u32,
    /// milliseconds by which cache events are late (default 50)
    #[argh(option, default = "millis(Settings::default().event_lag)")]
    lag_ms: u64,
    /// milliseconds by which load is reported late (default 200)
    #[argh(option, default = "millis(Settings::default().load_lag)")]
    load_lag_ms: u64,
    /// one in this many cache events is lost; 0 for none
    #[argh(option, default = "0")]
    lose: u64,
    /// publish adjacent cache events in swapped order
    #[argh(switch)]
    reorder: bool,
    /// microseconds to import one KV block (default 20)
    #[argh(option, default = "micros(Settings::default().import_per_block)")]
    import_us: u64,
    /// milliseconds to load weights (default 2000)
    #[argh(option, default = "millis(Settings::default().load_time)")]
    load_ms: u64,
    /// how orders with outdated fencing numbers are treated: honour or ignore (default honour)
    #[argh(option, default = "Fencing::Honour")]
    fencing: Fencing,
    /// a prompt that contains this text aborts the process
    #[argh(option)]
    poison: Option<String>,
}

fn millis(d: Duration) -> u64 {
    d.as_millis() as u64
}

fn micros(d: Duration) -> u64 {
    d.as_micros() as u64
}

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let a: Args = argh::from_env();
    let engine = Engine::new(Settings {
        model: a.model,
        weights: a.weights,
        blocks: a.blocks,
        max_idle: Duration::from_millis(a.age_ms),
        slots: a.slots,
        prefill_per_block: Duration::from_micros(a.prefill_us),
        prefill_chunk: a.chunk,
        decode_per_token: Duration::from_micros(a.decode_us),
        batch_penalty: a.batch_penalty,
        prefill_penalty: a.prefill_penalty,
        event_lag: Duration::from_millis(a.lag_ms),
        load_lag: Duration::from_millis(a.load_lag_ms),
        lose_every: a.lose,
        reorder: a.reorder,
        import_per_block: Duration::from_micros(a.import_us),
        load_time: Duration::from_millis(a.load_ms),
        fencing: a.fencing,
        poison: a.poison,
    });
    let (addr, server) =
        standin::listen_freezable(&a.listen, engine.router(), engine.freeze_switch()).await?;
    println!("listening {addr}");
    server.await
}
