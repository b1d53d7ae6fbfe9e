//! Work of an engine, such as a load of weights, as the holder of a permit records it for the other sidecars.
//!
//! While the holder is silent, other sidecars fetch the report of its engine. An engine that listens on
//! loopback only can't be reached from other hosts, where another engine may have the same address; its
//! work is unknown there.

use std::fmt::{Display, Formatter};
use std::net::{IpAddr, SocketAddr};
use std::str::FromStr;
use std::time::Duration;

use contract::lease::Work;
use policy::liveness::Check;
use store::Client;
use thiserror::Error;
use tokio::time::timeout;

use crate::log;
use crate::sidecar::control_channel::TargetReport;
use crate::sidecar::feed::{self, FeedError};

/// Timeout for the report of another sidecar's engine.
const CHECK_TIMEOUT: Duration = Duration::from_secs(1);

/// Where an engine works.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct EngineWork {
    /// Address of the host, as its sidecar announces it.
    pub host: IpAddr,
    /// Address of the engine on that host.
    pub target: SocketAddr,
}

/// An entry that names no engine.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Error)]
#[error("expected the addresses of a host and an engine, separated by a space")]
pub struct ParseWorkError;

impl Display for EngineWork {
    fn fmt(&self, f: &mut Formatter<'_>) -> std::fmt::Result {
        write!(f, "{} {}", self.host, self.target)
    }
}

impl FromStr for EngineWork {
    type Err = ParseWorkError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        let (host, target) = text.split_once(' ').ok_or(ParseWorkError)?;
        Ok(Self {
            host: host.parse().map_err(|_| ParseWorkError)?,
            target: target.parse().map_err(|_| ParseWorkError)?,
        })
    }
}

impl EngineWork {
    /// Whether the engine can be reached from a host.
    pub fn is_reachable(&self, from: IpAddr) -> bool {
        self.host == from || !self.target.ip().is_loopback()
    }

    /// Judges the work of an engine by its report. Any load counts, also one of a later incarnation.
    pub fn judge(report: &Result<TargetReport, FeedError>) -> Work {
        match report {
            Ok(r) if r.loading => Work::Running,
            Ok(_) => Work::Ended,
            Err(e) if e.check() == Check::Refused => Work::Ended,
            Err(_) => Work::Unknown,
        }
    }
}

/// Checks work that a holder has recorded, from a host.
pub async fn check(client: &Client, from: IpAddr, recorded: &str) -> Work {
    let work: EngineWork = match recorded.parse() {
        Ok(w) => w,
        Err(e) => {
            spdlog::warn!(logger: log::sidecar(), "permit with unreadable work {recorded:?}: {e}");
            return Work::Unknown;
        }
    };
    let result = match work.is_reachable(from) {
        true => timeout(CHECK_TIMEOUT, feed::fetch_report(client, work.target))
            .await
            .map_or(Work::Unknown, |report| EngineWork::judge(&report)),
        false => Work::Unknown,
    };
    spdlog::info!(logger: log::sidecar(), "holder of a permit is silent, work of its engine {} is {result:?}", work.target);
    result
}
