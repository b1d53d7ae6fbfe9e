//! Pools with links cut between sidecars that reach each other through others, forced event by event.

// Only `slots_order` uses all faults of the scripts.
#[allow(dead_code)]
#[path = "../slots_order/pool.rs"]
mod pool;
mod relay;

use policy::rollout;

use pool::{announcement, run, Script, Span};

/// When the new version is announced, in ms.
const ANNOUNCED: u64 = 2_000;
/// Time after the end of every run, in ms.
const ALWAYS: u64 = 100_000;
/// How long a load takes, in ms.
const LOAD_TIME: u64 = 4_000;
/// Number of times that links come and go.
const FLAPS: u64 = 60;

/// Two hosts between which all datagrams may be lost.
type Link = (usize, usize);

/// Hosts, and the links that remain between them.
#[derive(Clone)]
struct Topology {
    name: &'static str,
    hosts: usize,
    kept: Vec<Link>,
}

impl Topology {
    fn path(hosts: usize) -> Self {
        Self {
            name: "path",
            hosts,
            kept: (1..hosts).map(|h| (h - 1, h)).collect(),
        }
    }

    fn ring(hosts: usize) -> Self {
        let mut path = Self::path(hosts);
        path.kept.push((0, hosts - 1));
        Self {
            name: "ring",
            ..path
        }
    }

    fn star(hosts: usize, center: usize) -> Self {
        let others = (0..hosts).filter(|h| *h != center);
        Self {
            name: "star",
            hosts,
            kept: others.map(|h| (h.min(center), h.max(center))).collect(),
        }
    }

    fn all() -> Vec<Self> {
        vec![
            Self::star(3, 0),
            Self::star(3, 2),
            Self::star(4, 1),
            Self::star(9, 4),
            Self::ring(5),
            Self::ring(6),
            Self::ring(9),
            Self::path(4),
            Self::path(5),
            Self::path(9),
        ]
    }

    fn cut_links(&self) -> Vec<Link> {
        let pairs = (0..self.hosts).flat_map(|a| (a + 1..self.hosts).map(move |b| (a, b)));
        pairs.filter(|l| !self.kept.contains(l)).collect()
    }

    /// All links but the kept ones are cut in each of the spans.
    fn script(&self, cuts: &[(u64, u64)]) -> Script {
        let spans = |(a, b): Link| {
            cuts.iter().map(move |(from, to)| {
                let span = Span {
                    host: b,
                    from: *from,
                    to: *to,
                };
                (a, span)
            })
        };
        Script {
            hosts: self.hosts,
            loads: vec![LOAD_TIME],
            announced: vec![announcement(2, ANNOUNCED)],
            cuts: self.cut_links().into_iter().flat_map(spans).collect(),
            deadline: ANNOUNCED + Script::default().allowed,
            ..Script::default()
        }
    }

    /// Number of engines that may load at a time while the time allowed is sufficient.
    fn limit(&self) -> usize {
        let share = rollout::Config::default().share;
        ((self.hosts as f64 * share).round() as usize).max(1)
    }

    /// Runs a script. Returns what it broke: the limit, or the time allowed for all hosts but `except`.
    fn broken(&self, name: &str, script: &Script, except: Option<usize>) -> Option<String> {
        let run = run(script);
        let lacks = |h: &usize| Some(*h) != except && run.versions[*h] < 2;
        let lacking = (0..self.hosts).filter(lacks).count();
        let breaks = run.most > self.limit() || lacking > 0;
        breaks.then(|| {
            format!(
                "{} of {}, {name}: {} load at a time, {lacking} lack the version{}",
                self.name, self.hosts, run.most, run.trace
            )
        })
    }
}

fn assert_none(broken: impl IntoIterator<Item = String>) {
    let broken: Vec<_> = broken.into_iter().collect();
    assert!(broken.is_empty(), "{}", broken.join("\n"));
}

/// Guards against loads on both sides of cut links when sidecars reach each other through others.
#[test]
fn sidecars_connected_through_others_exceed_the_limit() {
    let broken = Topology::all().into_iter().flat_map(|topology| {
        let times = [0, 500, 1_950, 2_050, 2_300]
            .into_iter()
            .flat_map(|from| [2_800, 4_000, 8_000, ALWAYS].map(|to| (from, to)));
        times.filter_map(move |(from, to)| {
            let name = format!("cut from {from} to {to} ms");
            topology.broken(&name, &topology.script(&[(from, to)]), None)
        })
    });
    assert_none(broken);
}

/// Guards against a claim that takes a slot between two cuts of a link that comes and goes.
#[test]
fn sidecars_with_unstable_links_exceed_the_limit() {
    struct Case {
        cut: u64,
        pause: u64,
    }
    #[rustfmt::skip]
    let cases = [
        Case { cut: 700, pause: 300 },
        Case { cut: 400, pause: 400 },
        Case { cut: 1_500, pause: 200 },
        Case { cut: 300, pause: 700 },
    ];
    let broken = cases.iter().flat_map(|c| {
        Topology::all().into_iter().filter_map(|topology| {
            let starts = (0..FLAPS).map(|n| 1_000 + n * (c.cut + c.pause));
            let spans: Vec<_> = starts.map(|at| (at, at + c.cut)).collect();
            let name = format!("cut for {} of {} ms", c.cut, c.cut + c.pause);
            topology.broken(&name, &topology.script(&spans), None)
        })
    });
    assert_none(broken);
}

/// A host with one link in a topology, and when it orders its load. Links are cut from the start.
fn order_of_leaf(topology: &Topology) -> Option<(usize, u64)> {
    let links = |host: usize| {
        let of_host = |l: &&Link| l.0 == host || l.1 == host;
        topology.kept.iter().filter(of_host).count()
    };
    let orders = run(&topology.script(&[(0, ALWAYS)])).orders;
    orders.into_iter().find(|(host, _)| links(*host) == 1)
}

/// Guards against a slot that is freed or blocked by what others relay of a sidecar that is stopped during its load.
#[test]
fn sidecar_stopped_behind_a_cut_frees_or_blocks_its_slot() {
    struct Case {
        name: &'static str,
        /// How long the sidecar is killed.
        killed: Option<u64>,
        /// How long the sidecar is paused.
        paused: Option<u64>,
        /// Whether the sidecar comes back, so that its engine has to finish.
        returns: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "restarted", killed: Some(300), paused: None, returns: true },
        Case { name: "restarted after the load", killed: Some(LOAD_TIME + 500), paused: None, returns: true },
        Case { name: "paused", killed: None, paused: Some(LOAD_TIME - 100), returns: true },
        Case { name: "killed for good", killed: Some(ALWAYS), paused: None, returns: false },
    ];
    let broken = cases.iter().flat_map(|c| {
        let topologies = [
            Topology::star(3, 0),
            Topology::star(4, 1),
            Topology::path(4),
        ];
        topologies.into_iter().filter_map(|topology| {
            let (host, at) = order_of_leaf(&topology)?;
            let span = |length: u64| Span {
                host,
                from: at + 100,
                to: at + 100 + length,
            };
            let script = Script {
                killed: c.killed.map(span).into_iter().collect(),
                paused: c.paused.map(span).into_iter().collect(),
                ..topology.script(&[(0, ALWAYS)])
            };
            topology.broken(c.name, &script, (!c.returns).then_some(host))
        })
    });
    assert_none(broken);
}
