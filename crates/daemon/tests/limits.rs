//! Team limits, and how the configuration's feature tables reach the policy modules.

use daemon::entry::limits::{LimitedRequest, Limits};
use daemon::policy_configs::PolicyConfigs;
use model::{Class, Micros};
use rules::{Limits as Allowed, RuleSet};

const NOW: Micros = Micros::from_secs(10);

/// Limits, the number of entries that share them, and how many of 50 simultaneous requests pass.
struct Case {
    what: &'static str,
    team: Allowed,
    rule: Allowed,
    entries: usize,
    prompt: usize,
    passes: usize,
}

fn request_limit(n: u32) -> Allowed {
    Allowed {
        requests: Some(n),
        ..Allowed::default()
    }
}

fn token_limit(n: u32) -> Allowed {
    Allowed {
        tokens: Some(n),
        ..Allowed::default()
    }
}

/// Guards against a faulty client that takes the slots and cache of other teams, and against
/// entries whose shares of a limit add up to more than the limit.
#[test]
fn burst_is_limited_to_two_seconds_of_the_teams_limit() {
    let no_limit = Allowed::default();
    #[rustfmt::skip]
    let cases = [
        Case { what: "no limit", team: no_limit, rule: no_limit, entries: 1, prompt: 0, passes: 50 },
        Case { what: "the team's", team: request_limit(4), rule: no_limit, entries: 1, prompt: 0, passes: 8 },
        Case { what: "the rule's", team: no_limit, rule: request_limit(3), entries: 1, prompt: 0, passes: 6 },
        Case { what: "the smaller of both", team: request_limit(4), rule: request_limit(2), entries: 1, prompt: 0, passes: 4 },
        Case { what: "a part of it at each entry", team: request_limit(4), rule: no_limit, entries: 4, prompt: 0, passes: 2 },
        Case { what: "tokens", team: token_limit(100), rule: no_limit, entries: 1, prompt: 160, passes: 5 },
    ];
    for c in cases {
        let mut limits = Limits::default();
        let sent = LimitedRequest {
            team: "one",
            rule: "all",
            prompt_bytes: c.prompt,
            entries: c.entries,
        };
        let all = (0..50).map(|_| limits.take(NOW, sent, &c.team, &c.rule));
        let (passed, refused): (Vec<_>, Vec<_>) = all.partition(Result::is_ok);
        assert_eq!(passed.len(), c.passes, "{}", c.what);
        // A refusal states a wait after which a request passes.
        let wait = refused.first().map_or(Micros::ZERO, |w| w.unwrap_err());
        assert!(
            limits.take(NOW + wait, sent, &c.team, &c.rule).is_ok(),
            "{}",
            c.what
        );
        let other = LimitedRequest {
            team: "two",
            ..sent
        };
        assert!(
            limits.take(NOW, other, &c.team, &c.rule).is_ok(),
            "{}",
            c.what
        );
    }
}

/// Guards against a value that the configuration accepts but that never reaches the policy module
/// of its table: no error would show that the change has no effect.
#[test]
fn feature_tables_reach_their_modules() {
    let text = "[place]\nprobes = 3\n[reserve]\nhold = \"70ms\"\n\
        [admit]\nplaces = 9\nreserve = \"20%\"\ncall = \"1s\"\nnormal = \"2s\"\nbatch = \"3s\"\n\
        [queue]\nnormal = \"7%\"\nbatch = \"3%\"\nageing = 5\n\
        [concurrency]\nleast = 2\nfirst = 3\nmost = 4\n\
        [retry]\nattempts = 2\nshare = \"5%\"\nsaved = 6\n\
        [health]\nslow = 4\nsamples = 5\nejected = \"10%\"\nout = \"1s\"\nlongest = \"9s\"\ntrials = 2\n\
        [quarantine]\nstrikes = 2\nlasts = \"60s\"\nkept = 8\n";
    let rules = RuleSet::compile(text).expect("no faults");
    let t = PolicyConfigs::from(rules.config());
    let secs = Micros::from_secs;
    assert_eq!(t.placement.probes, 3);
    assert_eq!(t.reserve.hold, Micros::from_millis(70));
    assert_eq!((t.admit.places, t.admit.reserve), (9, 0.2));
    assert_eq!(t.admit.wait, [secs(1), secs(2), secs(3)]);
    let assured = |c: Class| t.queue.assured[c.index()];
    assert_eq!(
        (assured(Class::Normal), assured(Class::Batch)),
        (0.07, 0.03)
    );
    assert_eq!(t.queue.ageing, 5);
    let c = t.concurrency;
    assert_eq!((c.least, c.first, c.most), (2, 3, 4));
    assert_eq!(
        (t.retry.attempts, t.retry.share, t.retry.saved),
        (2, 0.05, 6.0)
    );
    let h = t.health;
    assert_eq!((h.slow, h.samples, h.ejected, h.trials), (4.0, 5, 0.1, 2));
    assert_eq!((h.out, h.longest), (secs(1), secs(9)));
    let q = t.quarantine;
    assert_eq!((q.strikes, q.lasts, q.kept), (2, secs(60), 8));
}

/// Guards against a default that is changed in a policy module but not in the table of the
/// configuration: every process would go on using the old value.
#[test]
fn defaults_of_the_tables_equal_the_defaults_of_the_modules() {
    let t = PolicyConfigs::from(&rules::Config::default());
    let module_defaults = [
        format!("{:?}", policy::probe_placement::Config::default()),
        format!("{:?}", policy::reserve::Config::default()),
        format!("{:?}", policy::admit::Config::default()),
        format!("{:?}", policy::queue::Config::default()),
        format!("{:?}", policy::concurrency::Config::running()),
        format!("{:?}", policy::retry::Config::default()),
        format!("{:?}", policy::health::Config::default()),
        format!("{:?}", policy::quarantine::Config::default()),
    ];
    let table_defaults = [
        format!("{:?}", t.placement),
        format!("{:?}", t.reserve),
        format!("{:?}", t.admit),
        format!("{:?}", t.queue),
        format!("{:?}", t.concurrency),
        format!("{:?}", t.retry),
        format!("{:?}", t.health),
        format!("{:?}", t.quarantine),
    ];
    for (table, module) in table_defaults.iter().zip(&module_defaults) {
        assert_eq!(table, module);
    }
}
