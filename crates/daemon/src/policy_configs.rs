//! Conversion of the configuration's feature tables into the settings of the policy modules.
//!
//! Each feature table has the name of its module, except that the table `place` sets
//! `probe_placement`. No other code maps tables to modules.

use model::Class;
use policy::{admit, concurrency, health, probe_placement, quarantine, queue, reserve, retry};
use rules::Config;

/// Settings of every policy module.
#[derive(Clone, Copy, Debug)]
pub struct PolicyConfigs {
    /// Which replicas are probed and chosen.
    pub placement: probe_placement::Config,
    /// Reservations for requests whose probe has been answered.
    pub reserve: reserve::Config,
    /// Which requests are refused before they are queued.
    pub admit: admit::Config,
    /// Order of queued requests.
    pub queue: queue::Config,
    /// Number of requests that a target runs at a time.
    pub concurrency: concurrency::Config,
    /// How often a request is retried.
    pub retry: retry::Config,
    /// When a slow target is ejected.
    pub health: health::Config,
    /// When a request is refused for crashing its targets.
    pub quarantine: quarantine::Config,
}

impl From<&Config> for PolicyConfigs {
    fn from(c: &Config) -> Self {
        Self {
            placement: probe_placement::Config {
                probes: c.place.probes as usize,
                ..probe_placement::Config::default()
            },
            reserve: reserve::Config {
                hold: c.reserve.hold.0,
                ..reserve::Config::default()
            },
            admit: admit(c),
            queue: queue(c),
            concurrency: concurrency::Config {
                least: c.concurrency.least,
                first: c.concurrency.first,
                most: c.concurrency.most,
                ..concurrency::Config::running()
            },
            retry: retry::Config {
                share: c.retry.share.fraction(),
                saved: f64::from(c.retry.saved),
                attempts: c.retry.attempts,
            },
            health: health(c),
            quarantine: quarantine::Config {
                strikes: c.quarantine.strikes as usize,
                lasts: c.quarantine.lasts.0,
                kept: c.quarantine.kept as usize,
                ..quarantine::Config::default()
            },
        }
    }
}

fn admit(c: &Config) -> admit::Config {
    let a = &c.admit;
    let mut wait = admit::Config::default().wait;
    for (class, limit) in [
        (Class::Call, a.call),
        (Class::Normal, a.normal),
        (Class::Batch, a.batch),
    ] {
        wait[class.index()] = limit.0;
    }
    admit::Config {
        wait,
        places: a.places as usize,
        reserve: a.reserve.fraction(),
        ..admit::Config::default()
    }
}

fn queue(c: &Config) -> queue::Config {
    let mut assured = queue::Config::default().assured;
    assured[Class::Normal.index()] = c.queue.normal.fraction();
    assured[Class::Batch.index()] = c.queue.batch.fraction();
    queue::Config {
        assured,
        ageing: u64::from(c.queue.ageing),
    }
}

fn health(c: &Config) -> health::Config {
    let h = &c.health;
    health::Config {
        slow: f64::from(h.slow),
        samples: h.samples,
        ejected: h.ejected.fraction(),
        out: h.out.0,
        longest: h.longest.0,
        trials: h.trials,
        ..health::Config::default()
    }
}
