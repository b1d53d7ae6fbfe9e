//! A stand-in that runs as a separate process, for failures that end the whole process.

use std::io::{BufRead, BufReader};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};

/// A running example program of the stand-in package; it is killed when dropped.
pub struct Program {
    child: Child,
    /// The address at which the program listens.
    pub at: SocketAddr,
}

impl Program {
    /// Starts a program and waits until it listens.
    pub fn start(name: &str, args: &[&str]) -> Self {
        let path = example_path(name);
        assert!(
            path.exists(),
            "{} is missing; `cargo test --workspace` or `cargo build --examples` builds it",
            path.display()
        );
        let mut child = Command::new(path)
            .args(args)
            .stdout(Stdio::piped())
            .stderr(Stdio::null())
            .spawn()
            .expect("start of the stand-in");
        let out = child.stdout.take().expect("the program's output");
        let mut line = String::new();
        BufReader::new(out)
            .read_line(&mut line)
            .expect("the program's first line");
        let at = line.trim().strip_prefix("listening ").expect(&line);
        let at = at.parse().expect("an address");
        Self { child, at }
    }

    /// Sends the process a signal.
    pub fn signal(&self, name: &str) {
        super::child::signal(&self.child, name);
    }

    /// Whether the process is running.
    pub fn is_running(&mut self) -> bool {
        matches!(self.child.try_wait(), Ok(None))
    }
}

impl Drop for Program {
    fn drop(&mut self) {
        let _ = self.child.kill();
        let _ = self.child.wait();
    }
}

/// Path of an example program; cargo puts examples in a folder beside the binaries.
fn example_path(name: &str) -> PathBuf {
    let daemon = Path::new(env!("CARGO_BIN_EXE_clementinestepd"));
    daemon.with_file_name("examples").join(name)
}
