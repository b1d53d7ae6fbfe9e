//! The network between processes of ours: datagrams that are lost, delayed and overtake one another.
//!
//! Each process is reached at an address of the switch. What arrives there is passed to the process from the
//! sender's address at the switch, so that answers pass through it as well. Connections to such an address
//! are passed on as they are.

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

/// Largest datagram that is passed on.
const LARGEST: usize = 64 << 10;

/// What happens to datagrams.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Conditions {
    /// Part that is lost.
    pub loss: f64,
    /// Longest delay; each datagram has its own, so that some overtake others.
    pub delay: Duration,
}

impl Conditions {
    /// All datagrams pass at once.
    pub const IDEAL: Self = Self {
        loss: 0.0,
        delay: Duration::ZERO,
    };
}

/// A process behind the switch.
#[derive(Debug)]
struct Port {
    /// Where the process is.
    process: SocketAddr,
    /// Where others reach it.
    addr: SocketAddr,
    socket: Arc<UdpSocket>,
    link: Arc<Link>,
}

/// A switch.
#[derive(Debug)]
pub struct Switch {
    conditions: Mutex<Conditions>,
    rng: Mutex<StdRng>,
    ports: Mutex<HashMap<String, Port>>,
    tasks: Mutex<JoinSet<()>>,
}

impl Switch {
    /// A switch whose losses and delays are drawn from a seed.
    pub fn new(seed: u64) -> Arc<Self> {
        Arc::new(Self {
            conditions: Mutex::new(Conditions::IDEAL),
            rng: Mutex::new(StdRng::seed_from_u64(seed)),
            ports: Mutex::default(),
            tasks: Mutex::default(),
        })
    }

    /// Treats datagrams like this from now on.
    pub fn set_conditions(&self, conditions: Conditions) {
        *lock(&self.conditions) = conditions;
    }

    /// Enters where a process of a name is, again after each of its starts; gives where others reach it.
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
        tasks.spawn(pass(Arc::clone(self), name.to_owned(), Arc::clone(&socket)));
        let port = Port {
            process,
            addr,
            socket,
            link,
        };
        ports.insert(name.to_owned(), port);
        Ok(addr)
    }

    /// How long a datagram takes; none if it is lost.
    fn draw(&self) -> Option<Duration> {
        let conditions = *lock(&self.conditions);
        let mut rng = lock(&self.rng);
        let lost = rng.random_bool(conditions.loss.clamp(0.0, 1.0));
        let part = rng.random::<f64>();
        (!lost).then(|| conditions.delay.mul_f64(part))
    }

    /// The sender's socket at the switch, and where a process is.
    fn route(&self, from: SocketAddr, to: &str) -> Option<(Arc<UdpSocket>, SocketAddr)> {
        let ports = lock(&self.ports);
        let sender = ports.values().find(|p| p.process == from)?;
        let process = ports.get(to)?.process;
        Some((Arc::clone(&sender.socket), process))
    }
}

/// Binds a port for connections and datagrams.
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

/// Passes a process's datagrams on.
async fn pass(switch: Arc<Switch>, to: String, socket: Arc<UdpSocket>) {
    let mut buffer = vec![0; LARGEST];
    let mut delayed = JoinSet::new();
    loop {
        // A port that is closed at a former receiver comes back as an error.
        let Ok((n, from)) = socket.recv_from(&mut buffer).await else {
            continue;
        };
        while delayed.try_join_next().is_some() {}
        let route = switch.route(from, &to);
        let (Some((sender, process)), Some(delay)) = (route, switch.draw()) else {
            continue;
        };
        let datagram = buffer[..n].to_vec();
        delayed.spawn(async move {
            sleep(delay).await;
            // A process that has ended receives nothing.
            let _ = sender.send_to(&datagram, process).await;
        });
    }
}
