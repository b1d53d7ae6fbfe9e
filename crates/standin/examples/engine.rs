//! The model engine stand-in as a program; prints its address once it listens.

use std::time::Duration;

use argh::FromArgs;
use standin::engine::{Engine, Settings};

/// A model engine for development.
#[derive(FromArgs)]
struct Args {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// model it serves
    #[argh(option, default = "Settings::default().model")]
    model: String,
    /// weights it serves
    #[argh(option, default = "Settings::default().weights")]
    weights: String,
    /// blocks its cache holds
    #[argh(option, default = "Settings::default().blocks")]
    blocks: usize,
    /// requests it computes at a time
    #[argh(option, default = "Settings::default().slots")]
    slots: usize,
    /// microseconds to compute one block of prompt
    #[argh(option, default = "400")]
    prefill_us: u64,
    /// microseconds to compute one token of answer
    #[argh(option, default = "5000")]
    decode_us: u64,
    /// milliseconds by which cache events are late
    #[argh(option, default = "50")]
    lag_ms: u64,
    /// one in this many cache events is lost; 0 for none
    #[argh(option, default = "0")]
    lose: u64,
    /// a prompt with this text kills the process
    #[argh(option)]
    poison: Option<String>,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let a: Args = argh::from_env();
    let engine = Engine::new(Settings {
        model: a.model,
        weights: a.weights,
        blocks: a.blocks,
        slots: a.slots,
        prefill: Duration::from_micros(a.prefill_us),
        decode: Duration::from_micros(a.decode_us),
        lag: Duration::from_millis(a.lag_ms),
        lose: a.lose,
        poison: a.poison,
    });
    let (addr, server) = standin::listen(&a.listen, engine.router()).await?;
    println!("listening {addr}");
    server.await
}
