//! The project's own programs as child processes, started with the command of the deploy file.

use std::fs::{self, File};
use std::io;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use super::http::Conn;

/// Time within which a process has to be ready.
const START_LIMIT: Duration = Duration::from_secs(10);

/// The command of the role `entry` in `deploy/system.toml`.
pub fn command(root: &Path) -> io::Result<PathBuf> {
    let deploy = fs::read_to_string(root.join("deploy/system.toml"))?;
    let section = deploy.split("[roles.entry]").nth(1).unwrap_or_default();
    let run = section.lines().find_map(|l| l.strip_prefix("run = "));
    let run = run.map(|r| r.trim().trim_matches('"'));
    run.map(|r| root.join(r))
        .ok_or(io::ErrorKind::NotFound.into())
}

/// The ports of a day, which are the same on all machines.
#[derive(Clone, Copy)]
pub struct Ports {
    front: u16,
    ready: u16,
    peer: u16,
}

impl Ports {
    /// Ports that are free at the addresses of the first machines.
    pub fn find(machines: u8) -> io::Result<Self> {
        Ok(Self {
            front: free_port(machines)?,
            ready: free_port(machines)?,
            peer: free_port(machines)?,
        })
    }
}

/// A port that is free at the addresses of all machines, for TCP and UDP.
fn free_port(machines: u8) -> io::Result<u16> {
    for _ in 0..100 {
        let port = TcpListener::bind((ip(1), 0))?.local_addr()?.port();
        let is_free = |n| {
            let at = (ip(n), port);
            TcpListener::bind(at).is_ok() && UdpSocket::bind(at).is_ok()
        };
        if (1..=machines).all(is_free) {
            return Ok(port);
        }
    }
    Err(io::Error::other("no free port"))
}

/// Address of a machine.
fn ip(number: u8) -> Ipv4Addr {
    Ipv4Addr::new(127, 55, 0, number)
}

/// An entry: a process of the role that takes consumers' requests.
pub struct Entry {
    pub name: String,
    root: PathBuf,
    dir: PathBuf,
    child: Option<Child>,
    pub front: SocketAddr,
    pub ready: SocketAddr,
    starts: u32,
}

impl Entry {
    /// Writes the settings of an entry with an address of its own, without starting it.
    pub fn prepare(
        root: &Path,
        dir: &Path,
        number: u8,
        ports: Ports,
        store: SocketAddr,
    ) -> io::Result<Self> {
        let name = format!("front-a-{number}");
        let ip = ip(number);
        let at = |port| SocketAddr::from((ip, port));
        let Ports { front, ready, peer } = ports;
        let seeds: Vec<_> = (1..=3).map(|n| format!("{}:{peer}", self::ip(n))).collect();
        let settings = format!(
            "node={name}\nrole=entry\nmachine_class=front\nserves=front,control\nip={ip}\nzone=a\n\
             region=r\nzones.a=r\nlisten.front={}\nlisten.ready={}\nport_range={peer},{}\n\
             seeds={}\nbootstrap=false\nheartbeat_ms=1200\n\
             contracts=base,drain,config,cost,retry,recover,tenants,platform\n\
             bounds.contact_ms=3000\nbounds.drain_ms=2000\nbounds.grace_s=8\n\
             bounds.config_apply_ms=2000\nbounds.max_stretch_ms=5000\n\
             bounds.retry_budget_ratio=0.2\nbounds.budget_window_s=10\n\
             bounds.retry_budget_slack=56\nbounds.lease_ms=3000\nbounds.version_ms=6000\n\
             platform.address={store}\nplatform.form=table\n",
            at(front),
            at(ready),
            peer.saturating_add(15),
            seeds.join(","),
        );
        fs::write(dir.join(format!("{name}.conf")), settings)?;
        Ok(Self {
            name,
            root: root.to_owned(),
            dir: dir.to_owned(),
            child: None,
            front: at(front),
            ready: at(ready),
            starts: 0,
        })
    }

    /// Starts the process and waits until it is ready.
    pub fn start(&mut self) -> io::Result<()> {
        self.starts += 1;
        let log = self.dir.join(format!("{}-{}.log", self.name, self.starts));
        let child = Command::new(command(&self.root)?)
            .current_dir(&self.root)
            .env(
                "CLEMENTINESTEP_SETTINGS",
                self.dir.join(format!("{}.conf", self.name)),
            )
            .env("CLEMENTINESTEP_METRICS_PORT", "0")
            .stdin(Stdio::null())
            .stdout(File::create(log)?)
            .stderr(Stdio::inherit())
            .spawn()?;
        self.child = Some(child);
        let end = Instant::now() + START_LIMIT;
        while Instant::now() < end {
            if self.is_ready() {
                return Ok(());
            }
            thread::sleep(Duration::from_millis(20));
        }
        Err(io::Error::other(format!("{} isn't ready", self.name)))
    }

    /// Whether the process answers the platform's readiness check with 200.
    pub fn is_ready(&self) -> bool {
        let limit = Duration::from_millis(500);
        let Ok(mut conn) = Conn::connect(self.ready, limit) else {
            return false;
        };
        let host = [("host", "ready".to_owned())];
        let answer = conn.exchange("GET /api/ready HTTP/1.1", &host, b"", limit);
        answer.is_ok_and(|a| a.status() == 200)
    }

    /// Sends a signal to the process.
    pub fn signal(&self, name: &str) -> io::Result<()> {
        if let Some(child) = &self.child {
            let kill = format!("kill -s {name} {}", child.id());
            Command::new("sh").args(["-c", &kill]).status()?;
        }
        Ok(())
    }

    /// Stops the process as the platform does: SIGTERM, and SIGKILL after the grace period.
    pub fn stop(&mut self) -> io::Result<()> {
        self.signal("TERM")?;
        let end = Instant::now() + Duration::from_secs(8);
        if let Some(mut child) = self.child.take() {
            while Instant::now() < end {
                if child.try_wait()?.is_some() {
                    return Ok(());
                }
                thread::sleep(Duration::from_millis(10));
            }
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Whether the process has ended by itself.
    pub fn has_ended(&mut self) -> bool {
        let ended = |c: &mut Child| !matches!(c.try_wait(), Ok(None));
        self.child.as_mut().is_some_and(ended)
    }
}

impl Drop for Entry {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            let _ = child.kill();
            let _ = child.wait();
        }
    }
}
