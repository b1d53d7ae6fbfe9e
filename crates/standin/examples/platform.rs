//! The platform stand-in as a program; prints its address once it listens.

use argh::FromArgs;
use standin::platform::{Budget, Platform};

/// The platform, for development.
#[derive(FromArgs)]
struct Args {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// reads answered per second (default 2000)
    #[argh(option, default = "Budget::default().reads")]
    reads: u64,
    /// writes answered per second (default 400)
    #[argh(option, default = "Budget::default().writes")]
    writes: u64,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let a: Args = argh::from_env();
    let budget = Budget {
        reads: a.reads,
        writes: a.writes,
    };
    let platform = Platform::with_budget(budget);
    let (addr, server) = standin::listen(&a.listen, platform.router()).await?;
    println!("listening {addr}");
    server.await
}
