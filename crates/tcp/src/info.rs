//! What the kernel says of a connection's acknowledgements.
//!
//! Not all kernels say how old they are: a kernel that doesn't leaves all times at zero. Whether this one does shows
//! after a while on any connection on which bytes were sent, and then holds for all.

use std::io;
use std::mem::{size_of, zeroed};
use std::os::fd::{AsFd, AsRawFd};
use std::sync::atomic::{AtomicU32, Ordering};
use std::time::Duration;

use libc::{socklen_t, tcp_info};

/// Observations without a time after which none is expected any more.
const MAX_UNTIMED: u32 = 16;
/// Value of [`UNTIMED`] once there was a time.
const TIMED: u32 = u32::MAX;
/// Number of observations without a time, while there was none with one.
static UNTIMED: AtomicU32 = AtomicU32::new(0);

/// Whether the kernel says how old an acknowledgement is.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Support {
    /// Not known yet.
    Unknown,
    /// It does.
    Timed,
    /// It doesn't.
    Untimed,
}

/// Whether this kernel says how old an acknowledgement is.
pub fn support() -> Support {
    match UNTIMED.load(Ordering::Relaxed) {
        TIMED => Support::Timed,
        n if n >= MAX_UNTIMED => Support::Untimed,
        _ => Support::Unknown,
    }
}

/// Records an observation some time after bytes were sent.
pub(crate) fn record_observation(acks: &Acks) {
    match acks.timed {
        true => UNTIMED.store(TIMED, Ordering::Relaxed),
        false => {
            let next = |n: u32| (n < MAX_UNTIMED).then(|| n + 1);
            // Nothing changes once it is known.
            let _ = UNTIMED.fetch_update(Ordering::Relaxed, Ordering::Relaxed, next);
        }
    }
}

/// Acknowledgements of a connection.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Acks {
    /// Whether sent data or a probe of a closed window awaits an acknowledgement.
    pub awaited: bool,
    /// Sent segments or probes in a row without an answer.
    pub unanswered: u32,
    /// Time since the last acknowledgement.
    pub last_ack: Duration,
    /// Bytes acknowledged since the connection was opened.
    pub acked: u64,
    /// Bytes that wait in the send buffer, as the window is closed or full.
    pub unsent: u32,
    /// Whether any of the times that the kernel states is above zero.
    pub timed: bool,
}

/// Reads the acknowledgements of a connection.
///
/// # Errors
///
/// If the socket isn't TCP, or the kernel doesn't tell.
pub fn read(socket: impl AsFd) -> io::Result<Acks> {
    // SAFETY: all fields are integers, for which zero is valid.
    let mut info: tcp_info = unsafe { zeroed() };
    let mut len = size_of::<tcp_info>() as socklen_t;
    let fd = socket.as_fd().as_raw_fd();
    // SAFETY: the descriptor is open while it is borrowed, and the kernel writes `len` bytes at most.
    let result = unsafe {
        libc::getsockopt(
            fd,
            libc::IPPROTO_TCP,
            libc::TCP_INFO,
            (&raw mut info).cast(),
            &raw mut len,
        )
    };
    if result != 0 {
        return Err(io::Error::last_os_error());
    }
    let needed = std::mem::offset_of!(tcp_info, tcpi_notsent_bytes) + size_of::<u32>();
    if (len as usize) < needed {
        return Err(io::ErrorKind::Unsupported.into());
    }
    Ok(Acks {
        awaited: info.tcpi_unacked > 0 || info.tcpi_probes > 0,
        unanswered: info.tcpi_retransmits.max(info.tcpi_probes).into(),
        last_ack: Duration::from_millis(info.tcpi_last_ack_recv.into()),
        acked: info.tcpi_bytes_acked,
        unsent: info.tcpi_notsent_bytes,
        timed: [
            info.tcpi_last_ack_recv,
            info.tcpi_last_data_sent,
            info.tcpi_last_data_recv,
        ]
        .iter()
        .any(|ms| *ms > 0),
    })
}
