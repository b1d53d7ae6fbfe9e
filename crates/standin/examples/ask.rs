//! Sends one request and prints the answer as it arrives; for `scripts/try`.

use std::io::Write as _;

use argh::FromArgs;
use bytes::Bytes;
use http_body_util::{BodyExt, Full};
use hyper::client::conn::http1::handshake;
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

/// One request.
#[derive(FromArgs)]
struct Args {
    /// address
    #[argh(positional)]
    to: String,
    /// HTTP method
    #[argh(positional)]
    method: String,
    /// path
    #[argh(positional)]
    path: String,
    /// body
    #[argh(positional, default = "String::new()")]
    body: String,
    /// API key
    #[argh(option)]
    key: Option<String>,
    /// a header as name:value; may be repeated
    #[argh(option)]
    header: Vec<String>,
}

#[tokio::main(flavor = "current_thread")]
async fn main() -> Result<(), Box<dyn std::error::Error>> {
    let a: Args = argh::from_env();
    let tcp = TcpStream::connect(&a.to).await?;
    let (mut sender, conn) = handshake(TokioIo::new(tcp)).await?;
    tokio::spawn(conn);
    let mut req = hyper::Request::builder()
        .method(a.method.as_str())
        .uri(&a.path);
    if !a.header.iter().any(|h| h.starts_with("host:")) {
        req = req.header("host", &a.to);
    }
    if let Some(key) = &a.key {
        req = req.header("authorization", format!("Bearer {key}"));
    }
    for (name, value) in a.header.iter().filter_map(|h| h.split_once(':')) {
        req = req.header(name, value);
    }
    let req = req.body(Full::<Bytes>::from(a.body))?;
    let mut res = sender.send_request(req).await?;
    println!("status {}", res.status().as_u16());
    for name in ["x-rule", "x-request-id", "x-outcome", "retry-after"] {
        if let Some(v) = res.headers().get(name) {
            println!("{name}: {}", v.to_str()?);
        }
    }
    while let Some(frame) = res.body_mut().frame().await {
        if let Some(data) = frame?.data_ref() {
            std::io::stdout().write_all(data)?;
        }
    }
    println!();
    Ok(())
}
