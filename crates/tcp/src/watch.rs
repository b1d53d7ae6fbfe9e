//! Watching the far end of a stream while something that was sent isn't acknowledged.
//!
//! The task of the stream is woken at intervals during that time only.

use std::future::Future;
use std::io;
use std::pin::Pin;
use std::task::Context;
use std::time::{Duration, Instant};

use model::Micros;
use tokio::net::TcpStream;
use tokio::time::{sleep, Sleep};

use crate::info::{self, Acks, Support};
use crate::liveness::{Config, Liveness, Verdict};
use crate::{meter, options};

/// Watches one connection.
#[derive(Debug)]
pub struct Watch {
    kind: &'static str,
    config: Config,
    liveness: Liveness,
    opened: Instant,
    /// Wakes the task for the next observation.
    timer: Pin<Box<Sleep>>,
    armed: bool,
    /// Whether the kernel ends the connection itself.
    left_to_kernel: bool,
}

impl Watch {
    /// Sets the options of a connection. Unless the kernel is known to say when the far end acknowledged, it ends
    /// the connection itself.
    ///
    /// # Errors
    ///
    /// If the connection has ended.
    pub fn new(tcp: &TcpStream, kind: &'static str, config: Config) -> io::Result<Self> {
        options::set_common(tcp, config.unacked)?;
        let left_to_kernel = info::support() != Support::Timed;
        match left_to_kernel {
            true => options::set_user_timeout(tcp, config.unacked)?,
            false => options::probe_often(tcp),
        }
        Ok(Self {
            kind,
            config,
            liveness: Liveness::new(config),
            opened: Instant::now(),
            timer: Box::pin(sleep(Duration::ZERO)),
            armed: false,
            left_to_kernel,
        })
    }

    /// Whether the kernel ends the connection itself.
    pub fn is_left_to_kernel(&self) -> bool {
        self.left_to_kernel
    }

    fn now(&self) -> Micros {
        self.opened.elapsed().into()
    }

    /// Records that bytes were sent.
    pub fn record_sent(&mut self) {
        if self.armed || info::support() == Support::Untimed {
            return;
        }
        self.armed = true;
        self.liveness.record_sent(self.now());
        let at = tokio::time::Instant::now() + self.config.interval;
        self.timer.as_mut().reset(at);
    }

    /// Takes the connection over from the kernel if that is possible by now.
    fn take_over(&mut self, tcp: &TcpStream, acks: &Acks) -> io::Result<()> {
        info::record_observation(acks);
        self.left_to_kernel = info::support() != Support::Timed;
        if !self.left_to_kernel {
            options::clear_user_timeout(tcp)?;
            options::probe_often(tcp);
        }
        Ok(())
    }

    /// Observes the connection if it is time to; wakes the task when it is next.
    ///
    /// # Errors
    ///
    /// If the far end has vanished.
    pub fn poll(&mut self, cx: &mut Context<'_>, tcp: &TcpStream) -> io::Result<Option<Acks>> {
        let mut seen = None;
        while self.armed && self.timer.as_mut().poll(cx).is_ready() {
            let acks = match info::read(tcp) {
                // A kernel that says nothing says no time either.
                Err(_) if self.left_to_kernel => Acks::default(),
                read => read?,
            };
            if self.left_to_kernel {
                self.take_over(tcp, &acks)?;
            }
            if self.left_to_kernel {
                self.armed = false;
                break;
            }
            seen = Some(acks);
            let now = self.now();
            match self.liveness.observe(now, &acks) {
                Verdict::Settled => self.armed = false,
                Verdict::Pending(after) => {
                    let at = tokio::time::Instant::now() + after.into();
                    self.timer.as_mut().reset(at);
                }
                Verdict::Vanished => {
                    meter::count_vanished(self.kind);
                    return Err(io::ErrorKind::TimedOut.into());
                }
            }
        }
        Ok(seen)
    }

    /// Bytes that the far end's window doesn't admit yet; none if the kernel watches the connection.
    pub fn unsent(&self, tcp: &TcpStream) -> u32 {
        match self.left_to_kernel {
            true => 0,
            false => info::read(tcp).map_or(0, |a| a.unsent),
        }
    }
}
