//! Opening the connections of callers.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use rustix::io::Errno;
use tokio::net::{TcpListener, TcpSocket, TcpStream};
use tokio::time::sleep;

use crate::connection::{Callers, Connection};

/// Bytes that the kernel may receive of a connection before they are read. It counts its own overhead as well, and so
/// keeps up to twice as many.
const RECEIVE_BUFFER: u32 = 16 << 10;
/// Bytes that it may keep until they are acknowledged. With less than a packet of the loopback device, each would
/// wait for a delayed acknowledgement.
const SEND_BUFFER: u32 = 64 << 10;
/// Connections that wait to be accepted.
const BACKLOG: u32 = 1_024;
/// Delay after a failed accept, for example when no descriptors are left.
const RETRY_DELAY: Duration = Duration::from_millis(20);

/// Listens at an address. The kernel buffers little of each connection, also before it is accepted.
pub fn bind(addr: SocketAddr) -> io::Result<TcpListener> {
    let socket = match addr {
        SocketAddr::V4(_) => TcpSocket::new_v4()?,
        SocketAddr::V6(_) => TcpSocket::new_v6()?,
    };
    socket.set_reuseaddr(true)?;
    socket.set_recv_buffer_size(RECEIVE_BUFFER)?;
    socket.set_send_buffer_size(SEND_BUFFER)?;
    socket.bind(addr)?;
    socket.listen(BACKLOG)
}

/// Accepts the connections that wait at a listener, and closes it: the kernel would reset them.
pub fn drain(
    listener: TcpListener,
    callers: &Callers,
    mut handle: impl FnMut(TcpStream, Connection),
) {
    let Ok(listener) = listener.into_std() else {
        return;
    };
    while let Ok((tcp, from)) = listener.accept() {
        let tcp = tcp
            .set_nonblocking(true)
            .and_then(|()| TcpStream::from_std(tcp));
        if let (Ok(tcp), Ok(conn)) = (tcp, callers.open(from.ip())) {
            handle(tcp, conn);
        }
    }
}

/// Accepts the next connection for which there is room. Others are closed unread, so that their callers know that
/// nothing has run.
pub async fn accept(listener: &TcpListener, callers: &Callers) -> (TcpStream, Connection) {
    loop {
        match listener.accept().await {
            Ok((tcp, from)) => {
                if let Ok(conn) = callers.open(from.ip()) {
                    return (tcp, conn);
                }
            }
            Err(e) => {
                let full = [Errno::MFILE, Errno::NFILE].map(Errno::raw_os_error);
                if e.raw_os_error().is_some_and(|e| full.contains(&e)) {
                    callers.close_worst();
                }
                sleep(RETRY_DELAY).await;
            }
        }
    }
}
