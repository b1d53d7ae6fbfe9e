//! The platform stand-in as a program; prints its address once it listens.

use argh::FromArgs;
use standin::platform::Platform;

/// The platform's services for development.
#[derive(FromArgs)]
struct Args {
    /// address to listen on (default 127.0.0.1:0)
    #[argh(option, default = "String::from(\"127.0.0.1:0\")")]
    listen: String,
}

#[tokio::main]
async fn main() -> std::io::Result<()> {
    let a: Args = argh::from_env();
    let (addr, server) = standin::listen(&a.listen, Platform::new().router()).await?;
    println!("listening {addr}");
    server.await
}
