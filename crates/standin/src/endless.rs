//! A server that answers every request with bytes without end, until its caller closes the connection.

use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::{TcpListener, TcpStream};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::lock;

/// Size of the blocks that are sent, and the pause between two of them: some 60 MB a second.
const BLOCK: usize = 64 << 10;
const PAUSE: Duration = Duration::from_millis(1);
/// Fields of a long head, and length of its longest value; less than 64 KiB together.
const LONG_HEAD_FIELDS: usize = 60;
const LONG_HEAD_VALUE: usize = 60_000;
/// End of a head.
const HEAD_END: &[u8] = b"\r\n\r\n";
/// Header that is repeated in the answer.
const ID_HEADER: &str = "attempt-id";

/// What is sent without end.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Endless {
    /// The status line.
    StatusLine,
    /// The value of a header.
    HeaderValue,
    /// Headers.
    Headers,
    /// Informational answers before the final one.
    Informational,
    /// A body that ends with its connection.
    Body,
    /// A body in chunks.
    Chunks,
    /// The extension of a chunk's size.
    ChunkExtension,
    /// Trailers after a body in chunks.
    Trailers,
    /// Empty lines of an event stream in chunks.
    EmptyEvents,
    /// A chunk of a size that no body has.
    HugeChunk,
    /// Empty lines before the status line.
    EmptyLines,
    /// Answers that ask for the body.
    Continue,
    /// A head of nearly the longest length, and then a body.
    LongHead,
}

impl Endless {
    /// All kinds.
    pub const ALL: [Self; 13] = [
        Self::StatusLine,
        Self::HeaderValue,
        Self::Headers,
        Self::Informational,
        Self::Body,
        Self::Chunks,
        Self::ChunkExtension,
        Self::Trailers,
        Self::EmptyEvents,
        Self::HugeChunk,
        Self::EmptyLines,
        Self::Continue,
        Self::LongHead,
    ];

    /// The bytes before those without end, in an answer to the request with this id.
    fn start(self, id: &str) -> String {
        let head = format!(
            "HTTP/1.1 200 OK\r\n{ID_HEADER}: {id}\r\nresponse-signature: s\r\n\
             content-type: text/event-stream\r\n"
        );
        let chunked = "transfer-encoding: chunked\r\n\r\n";
        match self {
            Self::StatusLine => "HTTP/1.1 200 ".to_owned(),
            Self::HeaderValue => format!("{head}x-more: "),
            Self::Headers => head,
            Self::Informational | Self::EmptyLines | Self::Continue => String::new(),
            Self::HugeChunk => format!("{head}{chunked}fffffffffffff\r\n"),
            Self::LongHead => {
                let fields = "x-more: xxxxxxxxxxxxxxxxxxxxxxxx\r\n".repeat(LONG_HEAD_FIELDS);
                let long = "y".repeat(LONG_HEAD_VALUE);
                format!("{head}{fields}x-long: {long}\r\nconnection: close\r\n\r\n")
            }
            Self::Body => format!("{head}connection: close\r\n\r\n"),
            Self::Chunks | Self::EmptyEvents => format!("{head}{chunked}"),
            Self::ChunkExtension => format!("{head}{chunked}4;x="),
            Self::Trailers => format!("{head}{chunked}4\r\nbody\r\n0\r\n"),
        }
    }

    /// The bytes that are repeated.
    fn block(self) -> Vec<u8> {
        let unit = match self {
            Self::StatusLine
            | Self::HeaderValue
            | Self::Body
            | Self::ChunkExtension
            | Self::HugeChunk
            | Self::LongHead => "x",
            Self::EmptyLines => "\r\n",
            Self::Continue => "HTTP/1.1 100 Continue\r\n\r\n",
            Self::Headers | Self::Trailers => "x-more: x\r\n",
            Self::Informational => "HTTP/1.1 103 Early Hints\r\n\r\n",
            Self::Chunks => "8\r\nxxxxxxxx\r\n",
            Self::EmptyEvents => "4\r\n:\n\n\n\r\n",
        };
        unit.repeat(BLOCK / unit.len()).into_bytes()
    }
}

#[derive(Debug, Default)]
struct State {
    /// Ids of the requests received.
    ids: Vec<String>,
    /// Answers to requests with an id that are being sent.
    open: usize,
    /// Longest time from a request to the close of its connection.
    longest: Duration,
}

/// A server that answers with bytes without end.
#[derive(Debug)]
pub struct EndlessServer {
    kind: Endless,
    addr: SocketAddr,
    state: Mutex<State>,
}

impl EndlessServer {
    /// Starts a server on a port of 127.0.0.1; it ends when the task set is dropped.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub async fn start(kind: Endless) -> io::Result<(Arc<Self>, JoinSet<()>)> {
        Self::start_at(SocketAddr::from(([127, 0, 0, 1], 0)), kind).await
    }

    /// Starts a server at an address.
    ///
    /// # Errors
    ///
    /// If the address can't be bound.
    pub async fn start_at(at: SocketAddr, kind: Endless) -> io::Result<(Arc<Self>, JoinSet<()>)> {
        let listener = TcpListener::bind(at).await?;
        let server = Arc::new(Self {
            kind,
            addr: listener.local_addr()?,
            state: Mutex::default(),
        });
        let mut tasks = JoinSet::new();
        tasks.spawn(accept(Arc::clone(&server), listener));
        Ok((server, tasks))
    }

    /// Address of the server.
    pub fn addr(&self) -> SocketAddr {
        self.addr
    }

    /// Whether a request with this id was received.
    pub fn has_received(&self, id: &str) -> bool {
        lock(&self.state).ids.iter().any(|i| i == id)
    }

    /// Number of requests received.
    pub fn received(&self) -> usize {
        lock(&self.state).ids.len()
    }

    /// Number of answers to requests with an id that are being sent.
    pub fn open(&self) -> usize {
        lock(&self.state).open
    }

    /// Longest time from a request to the close of its connection.
    pub fn longest(&self) -> Duration {
        lock(&self.state).longest
    }
}

async fn accept(server: Arc<EndlessServer>, listener: TcpListener) {
    let mut connections = JoinSet::new();
    while let Ok((tcp, _)) = listener.accept().await {
        let server = Arc::clone(&server);
        connections.spawn(async move {
            // A caller that closes the connection ends the answer.
            let _ = answer(&server, tcp).await;
        });
        while connections.try_join_next().is_some() {}
    }
}

async fn answer(server: &EndlessServer, mut tcp: TcpStream) -> io::Result<()> {
    let mut received = Vec::new();
    while !received.windows(HEAD_END.len()).any(|w| w == HEAD_END) {
        if tcp.read_buf(&mut received).await? == 0 {
            return Ok(());
        }
    }
    let head = String::from_utf8_lossy(&received).into_owned();
    let fields = head.lines().filter_map(|l| l.split_once(": "));
    let id = fields.filter(|(name, _)| name.eq_ignore_ascii_case(ID_HEADER));
    let id = id.map(|(_, value)| value.to_owned()).next();
    let id = id.unwrap_or_default();
    let counted = usize::from(!id.is_empty());
    {
        let mut state = lock(&server.state);
        state.ids.push(id.clone());
        state.open += counted;
    }
    let began = Instant::now();
    let sent = send(server.kind, &id, &mut tcp).await;
    let mut state = lock(&server.state);
    state.open -= counted;
    state.longest = state.longest.max(began.elapsed());
    sent
}

async fn send(kind: Endless, id: &str, tcp: &mut TcpStream) -> io::Result<()> {
    tcp.write_all(kind.start(id).as_bytes()).await?;
    let block = kind.block();
    loop {
        tcp.write_all(&block).await?;
        sleep(PAUSE).await;
    }
}
