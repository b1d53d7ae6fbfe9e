//! A simulated network switch between processes of the router: it loses, delays and reorders
//! datagrams.
//!
//! Each process has an address at the switch. A datagram to that address is forwarded to the
//! process from the sender's address at the switch, so that answers pass through the switch as
//! well. TCP connections to the address are forwarded without faults.

use std::collections::HashMap;
use std::io;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex};
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::net::{TcpListener, UdpSocket};
use tokio::task::JoinSet;
use tokio::time::sleep;

use crate::link::Link;
use crate::lock;

/// Size of the largest datagram forwarded.
const MAX_DATAGRAM: usize = 64 << 10;

/// Loss and delay of datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Fraction of the datagrams that is lost.
    pub loss: f64,
    /// Longest delay. Each datagram has a random delay up to this one, so that some overtake
    /// others.
    pub delay: Duration,
}

impl Conditions {
    /// All datagrams are delivered without delay.
    pub const IDEAL: Self = Self {
        loss: 0.0,
        delay: Duration::ZERO,
    };
}

/// A process behind the switch.
#[derive(Debug)]
struct Port {
    /// Address of the process.
    process: SocketAddr,
    /// Address at the switch, to which other processes send.
    addr: SocketAddr,
    socket: Arc<UdpSocket>,
    link: Arc<Link>,
}

/// A switch and its ports.
#[derive(Debug)]
pub struct Switch {
    conditions: Mutex<Conditions>,
    rng: Mutex<StdRng>,
    ports: Mutex<HashMap<String, Port>>,
    tasks: Mutex<JoinSet<()>>,
}

impl Switch {
    /// A switch whose losses and delays are drawn from a random generator with `seed`.
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            conditions: Mutex::new(Conditions::IDEAL),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            ports: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    /// Sets loss and delay of datagrams from now on.
    pub fn set_conditions(&self, conditions: Conditions) {
        *lock(&self.conditions) = conditions;
    }

    /// Registers the address of a process under a name, again after each start of the process.
    /// Returns its address at the switch, which stays the same.
    ///
    /// # Errors
    ///
    /// If no port can be bound.
    pub fn register(self: &Arc<Self>, name: &str, process: SocketAddr) -> io::Result<SocketAddr> {
        let mut ports = lock(&self.ports);
        if let Some(port) = ports.get_mut(name) {
            port.process = process;
            port.link.redirect(process);
            return Ok(port.addr);
        }
        let (tcp, udp) = bind()?;
        let addr = tcp.local_addr()?;
        let (link, accept) = Link::from_listener(tcp, process)?;
        let socket = Arc::new(udp);
        let mut tasks = lock(&self.tasks);
        tasks.spawn(accept);
        tasks.spawn(forward(
            Arc::clone(self),
            name.to_owned(),
            Arc::clone(&socket),
        ));
        let port = Port {
            process,
            addr,
            socket,
            link,
        };
        ports.insert(name.to_owned(), port);
        Ok(addr)
    }

    /// Draws the delay of a datagram; none if it is lost.
    fn draw_delay(&self) -> Option<Duration> {
        let conditions = *lock(&self.conditions);
        let mut rng = lock(&self.rng);
        let lost = rng.random_bool(conditions.loss.clamp(0.0, 1.0));
        let fraction = rng.random::<f64>();
        (!lost).then(|| conditions.delay.mul_f64(fraction))
    }

    /// The sender's socket at the switch, and the address of the receiving process.
    fn route(&self, from: SocketAddr, to: &str) -> Option<(Arc<UdpSocket>, SocketAddr)> {
        let ports = lock(&self.ports);
        let sender = ports.values().find(|p| p.process == from)?;
        let process = ports.get(to)?.process;
        Some((Arc::clone(&sender.socket), process))
    }
}

/// Binds the same port for TCP connections and for datagrams.
fn bind() -> io::Result<(TcpListener, UdpSocket)> {
    loop {
        let tcp = std::net::TcpListener::bind("127.0.0.1:0")?;
        match std::net::UdpSocket::bind(tcp.local_addr()?) {
            Ok(udp) => {
                tcp.set_nonblocking(true)?;
                udp.set_nonblocking(true)?;
                return Ok((TcpListener::from_std(tcp)?, UdpSocket::from_std(udp)?));
            }
            Err(e) if e.kind() == io::ErrorKind::AddrInUse => {}
            Err(e) => return Err(e),
        }
    }
}

/// Forwards the datagrams to one process.
async fn forward(switch: Arc<Switch>, to: String, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; MAX_DATAGRAM];
    let mut delayed = JoinSet::new();
    loop {
        // A datagram sent to a closed port makes a later receive fail.
        let Ok((n, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        while delayed.try_join_next().is_some() {}
        let route = switch.route(from, &to);
        let (Some((sender, process)), Some(delay)) = (route, switch.draw_delay()) else {
            continue;
        };
        let datagram = buffer[..n].to_vec();
        delayed.spawn(async move {
            sleep(delay).await;
            // Sending fails if the process has ended; the datagram is lost then.
            let _ = sender.send_to(&datagram, process).await;
        });
    }
}
