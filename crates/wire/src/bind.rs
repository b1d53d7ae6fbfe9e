//! Binding the same port for TCP and UDP.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

/// Number of retries to find a port that is free for both protocols.
const MAX_RETRIES: u32 = 16;

/// Binds an address for TCP and UDP; port 0 selects a port that is free for both.
pub async fn bind_both(at: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut retries_left = MAX_RETRIES;
    loop {
        let tcp = TcpListener::bind(at).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) if at.port() != 0 || retries_left == 0 => return Err(e),
            Err(_) => retries_left -= 1,
        }
    }
}
