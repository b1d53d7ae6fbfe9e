//! A target whose answers a test writes byte by byte.

use std::future::Future;
use std::io;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::io::AsyncReadExt;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::task::JoinSet;

/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;

/// A request whose head has arrived.
#[derive(Debug)]
pub struct Received {
    /// The connection.
    pub tcp: TcpStream,
    /// Id of the request.
    pub id: String,
    /// Stated length of its body.
    pub length: usize,
    /// What has arrived of the body.
    pub body: Vec<u8>,
}

impl Received {
    /// The head of a signed answer to the request, without the empty line that ends it.
    pub fn head(&self, status: &str) -> String {
        format!(
            "HTTP/1.1 {status}\r\nattempt-id: {}\r\nresponse-signature: s\r\n",
            self.id
        )
    }
}

/// Starts a target on a port of 127.0.0.1, as [`start_at`] does.
///
/// # Errors
///
/// If no port can be bound.
pub async fn start<F, Fut>(buffer: Option<u32>, answer: F) -> io::Result<(SocketAddr, JoinSet<()>)>
where
    F: Fn(Received) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = io::Result<()>> + Send + 'static,
{
    start_at((Ipv4Addr::LOCALHOST, 0).into(), buffer, answer).await
}

/// Starts a target at an address, which ends when the task set is dropped. It passes the first request on each
/// connection to `answer`. Connections have a receive buffer of this size if one is given.
///
/// # Errors
///
/// If the address can't be bound.
pub async fn start_at<F, Fut>(
    at: SocketAddr,
    buffer: Option<u32>,
    answer: F,
) -> io::Result<(SocketAddr, JoinSet<()>)>
where
    F: Fn(Received) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = io::Result<()>> + Send + 'static,
{
    let socket = TcpSocket::new_v4()?;
    if let Some(buffer) = buffer {
        socket.set_recv_buffer_size(buffer)?;
    }
    socket.set_reuseaddr(true)?;
    socket.bind(at)?;
    let listener = socket.listen(BACKLOG)?;
    let addr = listener.local_addr()?;
    let mut tasks = JoinSet::new();
    tasks.spawn(accept(listener, Arc::new(answer)));
    Ok((addr, tasks))
}

async fn accept<F, Fut>(listener: TcpListener, answer: Arc<F>)
where
    F: Fn(Received) -> Fut + Send + Sync + 'static,
    Fut: Future<Output = io::Result<()>> + Send + 'static,
{
    let mut connections = JoinSet::new();
    while let Ok((tcp, _)) = listener.accept().await {
        let answer = Arc::clone(&answer);
        connections.spawn(async move {
            // A caller that closes the connection ends the answer.
            if let Ok(Some(received)) = receive(tcp).await {
                let _ = answer(received).await;
            }
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn receive(mut tcp: TcpStream) -> io::Result<Option<Received>> {
    let mut bytes = Vec::new();
    let head_end = loop {
        let end = bytes.windows(HEAD_END.len()).position(|w| w == HEAD_END);
        if let Some(end) = end {
            break end + HEAD_END.len();
        }
        if tcp.read_buf(&mut bytes).await? == 0 {
            return Ok(None);
        }
    };
    let body = bytes.split_off(head_end);
    let head = String::from_utf8_lossy(&bytes).into_owned();
    let field = |name: &str| {
        let fields = head.lines().filter_map(|l| l.split_once(": "));
        let mut named = fields.filter(|(n, _)| n.eq_ignore_ascii_case(name));
        named.next().map(|(_, value)| value.to_owned())
    };
    Ok(Some(Received {
        tcp,
        id: field("attempt-id").unwrap_or_default(),
        length: field("content-length")
            .and_then(|l| l.parse().ok())
            .unwrap_or_default(),
        body,
    }))
}
