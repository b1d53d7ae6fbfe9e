//! Callers that take a few bytes at a time, and callers that vanish.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use socket2::{SockFilter, SockRef};
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpSocket, TcpStream};
use tokio::time::sleep;

/// Code of a packet filter's instruction that returns a constant, the number of bytes accepted.
const RETURN_CONSTANT: u16 = 0x06;

/// A caller that takes a few bytes at a time, and pauses after each.
#[derive(Clone, Copy, Debug)]
pub struct SlowReader {
    pub name: &'static str,
    pub path: &'static str,
    /// Receive buffer, which the kernel doubles, to 2,304 bytes at least.
    pub buffer: u32,
    /// Length of the answer's body.
    pub length: usize,
    pub piece: usize,
    pub pause: Duration,
}

impl SlowReader {
    /// Sends a request.
    pub async fn send(&self, at: SocketAddr, request: &[u8]) -> TcpStream {
        let socket = TcpSocket::new_v4().expect("a socket");
        let window = socket.set_recv_buffer_size(self.buffer);
        window.expect("a window");
        let mut tcp = socket.connect(at).await.expect("a connection");
        tcp.write_all(request).await.expect("a request");
        tcp
    }

    fn is_whole(&self, answer: &[u8]) -> bool {
        let Some(head) = answer.windows(4).position(|w| w == b"\r\n\r\n") else {
            return false;
        };
        let text = String::from_utf8_lossy(&answer[..head]).to_ascii_lowercase();
        match text.contains("transfer-encoding: chunked") {
            true => answer.ends_with(b"\r\n0\r\n\r\n"),
            // A refusal is shorter.
            false => !text.starts_with("http/1.1 200") || answer.len() >= head + 4 + self.length,
        }
    }

    /// Reads a whole answer of this length at least; the error says how much there was.
    pub async fn read(&self, tcp: TcpStream) -> Result<(), String> {
        self.read_on(tcp, Vec::new()).await
    }

    /// Reads the rest of an answer.
    pub async fn read_on(&self, mut tcp: TcpStream, mut answer: Vec<u8>) -> Result<(), String> {
        let began = Instant::now();
        let mut piece = vec![0; self.piece];
        while !self.is_whole(&answer) {
            let end = match tcp.read(&mut piece).await {
                Ok(n) if n > 0 => {
                    answer.extend_from_slice(&piece[..n]);
                    sleep(self.pause).await;
                    continue;
                }
                end => end,
            };
            let (len, after) = (answer.len(), began.elapsed());
            let name = self.name;
            return Err(format!("{name}: {end:?} after {len} bytes and {after:?}"));
        }
        match answer.len() >= self.length && answer.starts_with(b"HTTP/1.1 200") {
            true => Ok(()),
            false => Err(format!(
                "{}: {} bytes: {}",
                self.name,
                answer.len(),
                String::from_utf8_lossy(&answer[..answer.len().min(400)])
            )),
        }
    }
}

/// Makes the kernel drop all that arrives on a connection, so that its end acknowledges nothing and stays open.
pub fn vanish(tcp: &TcpStream) {
    let drop_all = [SockFilter::new(RETURN_CONSTANT, 0, 0, 0)];
    let attached = SockRef::from(tcp).attach_filter(&drop_all);
    attached.expect("a filter");
}

/// Ends [`vanish`].
pub fn reappear(tcp: &TcpStream) {
    SockRef::from(tcp).detach_filter().expect("no filter");
}

/// Number of sockets that a process has open.
pub fn open_sockets(process: u32) -> usize {
    let files = std::fs::read_dir(format!("/proc/{process}/fd")).expect("its files");
    let links = files.filter_map(|f| std::fs::read_link(f.ok()?.path()).ok());
    links
        .filter(|l| l.to_string_lossy().starts_with("socket:"))
        .count()
}
