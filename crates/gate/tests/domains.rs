//! Setting and driver of the balance between domains.

use std::ffi::OsString;
use std::os::unix::ffi::OsStringExt;
use std::time::Duration;

use gate::domains::{wait_limit, Domains, Penalties, TargetLoad};
use gate::start::domain_cost;
use gate::update::{Update, MAX_DATAGRAM};
use model::Micros;
use policy::ttft_placement::{choose, Candidate, Sources};
use prost::Message;

/// Guards against a start with a cost that can't be read, and against an environment variable that wins over the flag.
#[test]
fn invalid_cost_is_accepted_or_the_flag_is_ignored() {
    struct Case {
        args: &'static [&'static str],
        variable: Option<&'static str>,
        cost: Result<Option<f64>, &'static str>,
    }
    #[rustfmt::skip]
    let cases = [
        Case { args: &[], variable: None, cost: Ok(None) },
        Case { args: &["entry", "--other"], variable: Some(" "), cost: Ok(None) },
        Case { args: &[], variable: Some("20"), cost: Ok(Some(20.0)) },
        Case { args: &["--domain-cost", "0"], variable: Some("20"), cost: Ok(Some(0.0)) },
        Case { args: &["--domain-cost=1.5"], variable: Some("x"), cost: Ok(Some(1.5)) },
        Case { args: &["--domain-cost"], variable: None, cost: Err("``") },
        Case { args: &[], variable: Some("dear"), cost: Err("`dear`") },
        Case { args: &["--domain-cost=-1"], variable: None, cost: Err("`-1`") },
        Case { args: &["--domain-cost=inf"], variable: None, cost: Err("`inf`") },
    ];
    for c in cases {
        let args = c.args.iter().map(OsString::from);
        let found = domain_cost(args, c.variable.map(OsString::from));
        match (found, c.cost) {
            (Ok(found), Ok(cost)) => assert_eq!(found, cost, "{:?}", c.args),
            (Err(e), Err(text)) => assert!(e.to_string().contains(text), "{e}"),
            (found, cost) => panic!("{:?}: {found:?} instead of {cost:?}", c.args),
        }
    }
}

/// Guards against a start that fails because of an argument that isn't Unicode, and against an unreadable cost that counts
/// as none.
#[test]
fn text_that_is_not_unicode_stops_the_start_or_counts_as_no_cost() {
    let text = || OsString::from_vec(vec![b'/', 0xff]);
    assert!(matches!(domain_cost([text()], None), Ok(None)));
    assert!(domain_cost([], Some(text())).is_err());
}

/// Guards against requests that all follow a report which shows another domain as idle, against requests that stay
/// although they are drawn for another domain, and against expensive bytes that count as cheap after a start.
#[test]
fn request_follows_a_report_or_stays_although_it_is_drawn_for_another_domain() {
    struct Case {
        name: &'static str,
        /// Load of the home domain; its wait is 100 ms at 1.
        home: f64,
        /// Cost of the request's bytes.
        cost: f64,
        draw: f64,
        /// Penalties of home and of the other domain, whose load is 0.2.
        penalties: (f64, f64),
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "home", home: 0.5, cost: 500.0, draw: 0.0, penalties: (0.0, 530.0) },
        Case { name: "home is busier but not short", home: 0.85, cost: 500.0, draw: 0.0, penalties: (0.0, 565.0) },
        Case { name: "home is short, not drawn", home: 1.5, cost: 500.0, draw: 0.95, penalties: (0.0, 630.0) },
        Case { name: "home is short, drawn", home: 1.5, cost: 500.0, draw: 0.0, penalties: (0.0, 0.0) },
        Case { name: "cheap, drawn", home: 0.8, cost: 0.0, draw: 0.0, penalties: (0.0, 0.0) },
        Case { name: "cheap, not drawn", home: 0.8, cost: 0.0, draw: 0.95, penalties: (0.0, 60.0) },
    ];
    for c in cases {
        let mut domains = Domains::default();
        drop(domains.place("pool", 1, 0.9, c.cost));
        for step in 1..20 {
            let now = Micros::from_millis(step * 100);
            let load = |domain: u64, demand: f64| TargetLoad {
                domain,
                demand,
                capacity: 1.0,
                wait: demand * 100.0,
                at: Some(now),
            };
            let targets = [load(1, c.home), load(2, 0.2)];
            domains.update(now, "pool", 1, 100.0, targets.into_iter());
        }
        let placed = domains.place("pool", 1, c.draw, c.cost);
        let found = (placed.of(1), placed.of(2));
        let near = |a: f64, b: f64| (a - b).abs() < 1e-6;
        let same = near(found.0, c.penalties.0) && near(found.1, c.penalties.1);
        assert!(same, "{}: {found:?}", c.name);
    }
}

/// Guards against refusing a request as late since it was to make a copy or to stay in its domain, although another engine
/// would be in time.
#[test]
fn discount_or_penalty_remains_in_the_choice_before_a_refusal() {
    let mut domains = Domains::default();
    let penalties = domains.place("pool", 1, 0.9, 500.0);
    for (name, penalties) in [("no cost", Penalties::default()), ("cost", penalties)] {
        let engine = |key: usize, domain: u64, wait: f64, discount: f64| Candidate {
            key,
            addr: key,
            domain,
            wait,
            prefill_per_token: 0.02,
            held: 7_000,
            eviction_cost: 0.0,
            network_delay: 0.0,
            penalty: penalties.of(domain),
            discount,
            cost_factor: 1.0,
        };
        let all = [engine(0, 2, 100.0, 0.0), engine(1, 1, 200.0, 140.0)];
        let sources = Sources::new([]);
        let chosen = |c: [Candidate<usize, usize>; 2]| {
            let choice = choose(7_000, c.map(|c| (c, &sources)));
            choice.map(|c| c.key)
        };
        assert_eq!(chosen(all), Some(1), "{name}");
        assert_eq!(chosen(all.map(|c| penalties.undo(&c))), Some(0), "{name}");
    }
}

/// Guards against a route without a latency goal, due to which each wait counts as full use and no work moves.
#[test]
fn route_without_a_goal_makes_all_domains_count_as_full() {
    for (goals, limit) in [
        (&[500, 1_500][..], 250.0),
        (&[0, 500], 250.0),
        (&[0], 5_000.0),
        (&[], 5_000.0),
    ] {
        let durations = goals.iter().copied().map(Duration::from_millis);
        let found = wait_limit(durations, Duration::from_secs(10));
        assert_eq!(found, limit, "{goals:?}");
    }
}

/// Guards against reports on openings that are fragmented.
#[test]
fn report_on_openings_exceeds_one_datagram() {
    let mut domains = Domains::default();
    let now = Micros::from_secs(10);
    // From 16,384 requests on, a count takes three bytes.
    (0..60 * 16_384).for_each(|i| domains.record_opening(now, u64::MAX - i % 60));
    let update = Update {
        entry: true,
        opening_demand: domains.take_report(),
        ..Update::default()
    };
    let size = update.encoded_len();
    assert!((500..=MAX_DATAGRAM).contains(&size), "{size} bytes");
}
