//! A request that crashes its targets stops after two crashes, whoever sends it again.

mod common;

use common::caller::{Answer, Pending};
use common::{completion, quick, wait_for, words, Child, Fleet, Program, QUICKSTART};

/// The text at which the engines' processes die.
const POISON: &str = "DEADLY";
/// Tokens of a stream that lasts about two seconds.
const TOKENS: usize = 200;

/// A fleet whose engines are processes of their own.
struct Processes {
    fleet: Fleet,
    engines: Vec<(Program, Child)>,
}

impl Processes {
    fn start(entries: usize, engines: usize) -> Self {
        let mut p = Self {
            fleet: Fleet::start(entries, 0, &quick()),
            engines: Vec::new(),
        };
        for _ in 0..engines {
            p.add();
        }
        for n in 0..entries {
            let all = 1 + entries + engines;
            wait_for("all engines to be seen", || p.fleet.live_members(n) == all);
        }
        p
    }

    fn add(&mut self) {
        let args = ["--weights", "1", "--poison", POISON, "--decode-us", "10000"];
        let engine = Program::start("engine", &args);
        let (url, seed) = (self.fleet.url(), self.fleet.seed());
        let sidecar = Child::sidecar(&url, &seed, engine.at, "lekha-llm", "model");
        self.engines.push((engine, sidecar));
    }

    /// Engines that have died.
    fn dead(&mut self) -> usize {
        let runs: Vec<_> = self
            .engines
            .iter_mut()
            .map(|(e, _)| e.is_running())
            .collect();
        runs.iter().filter(|r| !**r).count()
    }

    /// Streams through the first entry until each engine has some, so that each crash strikes one.
    fn streams(&self) -> Vec<(String, Pending)> {
        (0..6)
            .map(|n| {
                let prompt = format!("an honest request {n}");
                let body = completion(&prompt, TOKENS, true);
                let caller = self.fleet.caller(0);
                let stream = caller.begin("POST", "/v1/completions", &[], &body);
                stream.wait_for("choices");
                (prompt, stream)
            })
            .collect()
    }

    fn poison(&self, entry: usize, stream: bool) -> Answer {
        let body = completion(&format!("{POISON} question"), 5, stream);
        self.fleet.caller(entry).post("/v1/completions", &body)
    }
}

fn assert_final(answer: &Answer) {
    assert_eq!(answer.status, 422, "{}", answer.text());
    assert_eq!(answer.code(), "quarantined");
    assert!(
        answer.header("retry-after").is_none(),
        "no use in coming back"
    );
}

/// Guards against a request that is retried until it has crashed the whole pool.
#[test]
fn second_crash_is_the_last_and_other_streams_survive() {
    let mut p = Processes::start(2, 4);
    let streams = p.streams();
    let answer = p.poison(0, false);
    assert_final(&answer);
    assert_eq!(answer.header("x-outcome"), Some("unknown"));
    assert_eq!(p.dead(), 2);
    for (prompt, stream) in streams {
        let answer = stream.end();
        assert!(answer.is_complete_stream(), "{prompt}: {}", answer.text());
        assert_eq!(answer.words(), words(&prompt, TOKENS));
    }
    assert_eq!(p.dead(), 2);
}

/// Guards against counting crashes for each attempt of a caller alone.
#[test]
fn crashes_add_up_over_callers_attempts() {
    let mut p = Processes::start(3, 4);
    let once = QUICKSTART.replace(
        "then = { pool = \"lekha-llm\", deadline = \"60s\" }",
        "then = { pool = \"lekha-llm\", deadline = \"60s\", idempotent = false }",
    );
    assert_ne!(once, QUICKSTART);
    p.fleet.apply(&once);
    let first = p.poison(0, true);
    assert_eq!((first.status, first.code().as_str()), (502, "target_lost"));
    assert_eq!((first.header("x-outcome"), p.dead()), (Some("unknown"), 1));
    let second = p.poison(1, true);
    assert_final(&second);
    assert_eq!((second.header("x-outcome"), p.dead()), (Some("unknown"), 2));
    let third = p.poison(2, true);
    assert_final(&third);
    assert_eq!((third.header("x-outcome"), p.dead()), (Some("not-run"), 2));
}

/// Guards against one more crash at each entry through which a convicted request comes again.
#[test]
fn convicted_request_is_refused_at_every_entry() {
    let mut p = Processes::start(3, 4);
    assert_final(&p.poison(0, true));
    assert_eq!(p.dead(), 2);
    for n in [1, 2, 0, 1, 2] {
        let answer = p.poison(n, true);
        assert_eq!(p.dead(), 2, "entry {n} let it crash one more");
        assert_final(&answer);
        assert_eq!(answer.header("x-outcome"), Some("not-run"), "entry {n}");
    }
    let prompt = "an honest request";
    let body = completion(prompt, 3, true);
    let answer = p.fleet.caller(1).post("/v1/completions", &body);
    assert!(answer.is_complete_stream(), "{}", answer.text());
    assert_eq!(answer.words(), words(prompt, 3));
}

/// Guards against entries that send a request on without the crash that the other one knows of.
#[test]
fn request_sent_through_two_entries_at_once_stops_at_the_second_crash() {
    let mut p = Processes::start(2, 5);
    let body = completion(&format!("{POISON} question"), 5, false);
    let pending: Vec<_> = (0..2)
        .map(|n| {
            p.fleet
                .caller(n)
                .begin("POST", "/v1/completions", &[], &body)
        })
        .collect();
    for answer in pending {
        assert_final(&answer.end());
    }
    assert_eq!(p.dead(), 2);
}
