//! The plain service stand-in as a program; prints its address once it listens.

use std::time::Duration;

use argh::FromArgs;
use standin::service::Service;

/// A plain service for development.
#[derive(FromArgs)]
struct Args {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
    /// milliseconds that a call takes
    #[argh(option, default = "1")]
    delay_ms: u64,
}

#[tokio::main(worker_threads = 2)]
async fn main() -> std::io::Result<()> {
    let a: Args = argh::from_env();
    let service = Service::new(Duration::from_millis(a.delay_ms));
    let (addr, server) = standin::listen(&a.listen, service.router()).await?;
    println!("listening {addr}");
    server.await
}
