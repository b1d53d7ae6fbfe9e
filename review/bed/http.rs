//! HTTP/1.1 over blocking sockets: reading of heads and bodies, and a client.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// A request or an answer.
#[derive(Clone, Debug, Default)]
pub struct Message {
    /// Request line or status line.
    pub first: String,
    /// Headers with names in lower case.
    pub headers: Vec<(String, String)>,
    pub body: Vec<u8>,
}

impl Message {
    pub fn header(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, v)| v.as_str())
    }

    /// Path and query of a request.
    pub fn target(&self) -> &str {
        self.first.split(' ').nth(1).unwrap_or_default()
    }

    pub fn method(&self) -> &str {
        self.first.split(' ').next().unwrap_or_default()
    }

    /// Status of an answer.
    pub fn status(&self) -> u16 {
        let text = self.first.split(' ').nth(1);
        text.and_then(|t| t.parse().ok()).unwrap_or(0)
    }

    /// Value of a query's field.
    pub fn query(&self, name: &str) -> Option<&str> {
        let (_, query) = self.target().split_once('?')?;
        let pairs = query.split('&').filter_map(|p| p.split_once('='));
        pairs.filter(|(k, _)| *k == name).map(|(_, v)| v).next()
    }
}

/// A connection with the bytes that were read ahead.
pub struct Conn {
    pub tcp: TcpStream,
    ahead: Vec<u8>,
}

fn ended() -> io::Error {
    io::ErrorKind::UnexpectedEof.into()
}

impl Conn {
    pub fn new(tcp: TcpStream) -> Self {
        let _ = tcp.set_nodelay(true);
        Self {
            tcp,
            ahead: Vec::new(),
        }
    }

    pub fn connect(to: SocketAddr, limit: Duration) -> io::Result<Self> {
        let tcp = TcpStream::connect_timeout(&to, limit)?;
        Ok(Self::new(tcp))
    }

    fn fill(&mut self) -> io::Result<usize> {
        let mut buffer = [0; 16_384];
        let n = self.tcp.read(&mut buffer)?;
        self.ahead.extend_from_slice(&buffer[..n]);
        Ok(n)
    }

    fn line(&mut self) -> io::Result<String> {
        loop {
            if let Some(end) = self.ahead.iter().position(|b| *b == b'\n') {
                let line: Vec<u8> = self.ahead.drain(..=end).collect();
                return Ok(String::from_utf8_lossy(&line).trim_end().to_owned());
            }
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
    }

    fn exact(&mut self, n: usize) -> io::Result<Vec<u8>> {
        while self.ahead.len() < n {
            if self.fill()? == 0 {
                return Err(ended());
            }
        }
        Ok(self.ahead.drain(..n).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Message> {
        let mut message = Message {
            first: self.line()?,
            ..Message::default()
        };
        loop {
            let line = self.line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(message);
            };
            let header = (name.to_ascii_lowercase(), value.trim().to_owned());
            message.headers.push(header);
        }
    }

    /// Reads a head with its body. A body without a length or chunks is empty in a request and goes
    /// up to the connection's end in an answer.
    pub fn message(&mut self) -> io::Result<Message> {
        let mut m = self.head()?;
        if m.header("transfer-encoding").is_some() {
            loop {
                let line = self.line()?;
                let n = usize::from_str_radix(line.trim(), 16).map_err(|_| ended())?;
                let chunk = self.exact(n)?;
                self.line()?;
                if n == 0 {
                    return Ok(m);
                }
                m.body.extend_from_slice(&chunk);
            }
        }
        match m.header("content-length").and_then(|l| l.parse().ok()) {
            Some(n) => m.body = self.exact(n)?,
            None if m.first.starts_with("HTTP/") && m.status() >= 200 => {
                while self.fill()? > 0 {}
                m.body = std::mem::take(&mut self.ahead);
            }
            None => {}
        }
        Ok(m)
    }

    /// Writes a message with a length.
    pub fn send(&mut self, first: &str, headers: &[(&str, String)], body: &[u8]) -> io::Result<()> {
        let mut bytes = format!("{first}\r\n").into_bytes();
        for (name, value) in headers {
            bytes.extend_from_slice(format!("{name}: {value}\r\n").as_bytes());
        }
        bytes.extend_from_slice(format!("content-length: {}\r\n\r\n", body.len()).as_bytes());
        bytes.extend_from_slice(body);
        self.tcp.write_all(&bytes)
    }

    /// Sends a request and reads its answer.
    pub fn exchange(
        &mut self,
        first: &str,
        headers: &[(&str, String)],
        body: &[u8],
        limit: Duration,
    ) -> io::Result<Message> {
        self.tcp.set_read_timeout(Some(limit))?;
        self.send(first, headers, body)?;
        self.message()
    }
}
