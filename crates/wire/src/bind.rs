//! One port for both TCP and UDP.

use std::io;
use std::net::SocketAddr;

use tokio::net::{TcpListener, UdpSocket};

/// Tries to find a port that is free for both.
const TRIES: u32 = 16;

/// Binds an address for TCP and UDP; port 0 for any that both can have.
pub async fn bind_both(at: SocketAddr) -> io::Result<(TcpListener, UdpSocket)> {
    let mut left = TRIES;
    loop {
        let tcp = TcpListener::bind(at).await?;
        match UdpSocket::bind(tcp.local_addr()?).await {
            Ok(udp) => return Ok((tcp, udp)),
            Err(e) if at.port() != 0 || left == 0 => return Err(e),
            Err(_) => left -= 1,
        }
    }
}
