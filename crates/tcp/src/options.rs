//! Socket options by which the kernel notices a far end that has vanished.

use std::io;
use std::mem::size_of;
use std::os::fd::{AsFd, AsRawFd};
use std::time::Duration;

use libc::{c_int, socklen_t};
use socket2::{SockRef, TcpKeepalive};
use tokio::net::TcpStream;

/// Idle time after which the kernel sends keep-alive probes.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(1);
/// Interval between two keep-alive probes.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(1);
/// Most probes that the kernel accepts.
const MAX_RETRIES: u64 = 127;
/// `TCP_RTO_MAX_MS` of Linux 6.15 and later.
const TCP_RTO_MAX_MS: c_int = 44;
/// Longest time between two probes of a closed window, in milliseconds; by default it grows to two minutes, and a far
/// end that vanishes meanwhile isn't noticed before.
const MAX_PROBE_INTERVAL: c_int = 2_000;
/// The kernel's own maximum.
const DEFAULT_PROBE_INTERVAL: c_int = 120_000;

/// Sends small segments at once, and has the kernel close a connection on which nothing is to be sent once the far
/// end has left its probes unanswered for a time, in seconds from two on.
///
/// # Errors
///
/// If the connection has ended.
pub fn set_common(tcp: &TcpStream, unacked: Duration) -> io::Result<()> {
    tcp.set_nodelay(true)?;
    let probed = unacked.saturating_sub(KEEPALIVE_IDLE);
    let retries = (probed.as_secs() / KEEPALIVE_INTERVAL.as_secs()).clamp(1, MAX_RETRIES);
    let probes = TcpKeepalive::new()
        .with_time(KEEPALIVE_IDLE)
        .with_interval(KEEPALIVE_INTERVAL)
        .with_retries(retries as u32);
    SockRef::from(tcp).set_tcp_keepalive(&probes)
}

/// Sets how long sent bytes may stay unacknowledged, or the far end's window closed, before the kernel
/// closes the connection.
///
/// # Errors
///
/// If the connection has ended.
pub fn set_user_timeout(tcp: &TcpStream, limit: Duration) -> io::Result<()> {
    SockRef::from(tcp).set_tcp_user_timeout(Some(limit))
}

/// Undoes [`set_user_timeout`].
///
/// # Errors
///
/// If the connection has ended.
pub fn clear_user_timeout(tcp: &TcpStream) -> io::Result<()> {
    SockRef::from(tcp).set_tcp_user_timeout(None)
}

/// Has the kernel probe a closed window at short intervals; without effect on older kernels.
pub fn probe_often(tcp: &TcpStream) {
    set_probe_interval(tcp, MAX_PROBE_INTERVAL);
}

/// Undoes [`probe_often`]. The kernel keeps a connection that the process has closed for a number of probes.
pub fn probe_rarely(tcp: &TcpStream) {
    set_probe_interval(tcp, DEFAULT_PROBE_INTERVAL);
}

fn set_probe_interval(tcp: &TcpStream, ms: c_int) {
    // SAFETY: the descriptor is open while it is borrowed, and the value is an integer of the stated length.
    unsafe {
        libc::setsockopt(
            tcp.as_fd().as_raw_fd(),
            libc::IPPROTO_TCP,
            TCP_RTO_MAX_MS,
            (&raw const ms).cast(),
            size_of::<c_int>() as socklen_t,
        );
    }
}
