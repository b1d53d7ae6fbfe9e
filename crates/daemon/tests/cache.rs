//! No request relies on cache entries of a dead engine, another team or older weights.

mod common;

use std::time::Duration;

use common::{completion, quick, wait_for, words, Caller, Fleet, Prompt};
use serde_json::{json, Value};
use standin::engine::Settings;

/// The other caller's key in the sample configuration.
const SECOND: &str = "sample-key-two";

fn long(n: usize) -> String {
    format!("opening {n}: {}", "a shared regulation text. ".repeat(80))
}

fn one(text: &str) -> Prompt<'_> {
    Prompt {
        scope: "team-one",
        weights: "1",
        text,
    }
}

/// An engine crashes and comes back empty at the same address. Its sidecar lives on; if it went on
/// to claim the blocks of the dead life, requests would be sent there for a prefix that has to be
/// recomputed, while another replica holds it, and their callers would wait.
#[test]
fn dead_engines_blocks_are_not_claimed_in_its_next_life() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let prompt = long(1);
    let body = completion(&prompt, 4, true);
    let answer = fleet.caller(0).post("/v1/completions", &body);
    assert!(answer.whole(), "{}", answer.text());
    wait_for("the blocks to be claimed", || {
        fleet.offer(0, one(&prompt)).matched > 0
    });

    fleet.revive(0, &quick());
    let life = fleet.replicas[0].engine.incarnation();
    let mut offer = fleet.offer(0, one(&prompt));
    wait_for("the new life to be seen", || {
        offer = fleet.offer(0, one(&prompt));
        offer.engine == life
    });
    assert_eq!(offer.matched, 0, "blocks of the dead life are claimed");

    let answer = fleet.caller(0).post("/v1/completions", &body);
    assert!(answer.whole(), "{}", answer.text());
    assert_eq!(answer.words(), words(&prompt, 4));
    assert_eq!(fleet.replicas[0].engine.run_log()[0].cached, 0);
}

/// Two teams send the same prompt, and the second sets the fields that decide whose cache is
/// searched. If it found the first one's blocks, the speed of its answer would tell it what the
/// other team has asked.
#[test]
fn teams_share_no_blocks_whatever_they_set() {
    let fleet = Fleet::start(1, 1, &quick());
    let prompt = long(2);
    let second = Caller::new(fleet.entries[0].address("callers"), SECOND);
    let plain = json!({"model": "lekha", "prompt": prompt, "max_tokens": 4});
    let mut forged = plain.clone();
    forged["cache_salt"] = json!("team-one");
    forged["priority"] = json!(-9);
    forged["resume"] = json!(3);

    let warm = fleet.caller(0).post("/v1/completions", &plain.to_string());
    let again = fleet.caller(0).post("/v1/completions", &plain.to_string());
    let other = second.post("/v1/completions", &plain.to_string());
    let forger = second.post("/v1/completions", &forged.to_string());
    assert_eq!([&warm, &again, &other, &forger].map(|a| a.status), [200; 4]);
    assert!(cached(&again.json()) > 0, "the team's own blocks are used");
    assert_eq!(cached(&other.json()), 0, "another team's blocks were used");

    let ran = fleet.replicas[0].engine.run_log();
    let forged = ran.last().expect("the forged request");
    assert_eq!((forged.priority, forged.resumed, forged.tokens), (1, 0, 4));
    // What the forger finds is what its own team's request has left.
    assert_eq!(forged.cached, ran[1].cached);
    let salted = second.post("/v1/completions", &salted(&long(3)));
    assert_eq!(cached(&salted.json()), 0);
    assert!(fleet.offer(0, one(&long(3))).matched == 0);
}

fn salted(prompt: &str) -> String {
    json!({"prompt": prompt, "max_tokens": 1, "cache_salt": "team-one"}).to_string()
}

fn cached(answer: &Value) -> u64 {
    let tokens = &answer["usage"]["prompt_tokens_details"]["cached_tokens"];
    tokens.as_u64().expect("a usage")
}

/// Weights are switched on one replica while callers stream from both. Work that ran there is cut
/// by the engine and goes on elsewhere; whoever comes while it loads is served by the other one.
/// Afterwards no block of the older weights is claimed.
#[test]
fn switched_weights_cut_no_stream_and_claim_no_older_block() {
    let set = Settings {
        load_time: Duration::from_millis(600),
        ..quick()
    };
    let fleet = Fleet::start(1, 2, &set);
    let prompt = long(4);
    let body = completion(&prompt, 150, true);
    let caller = fleet.caller(0);
    let first = caller.begin("POST", "/v1/completions", &[], &body);
    first.wait_for("choices");
    let at = fleet.runner();
    wait_for("the blocks to be claimed", || {
        fleet.offer(at, one(&prompt)).matched > 0
    });
    let engine = Caller::new(fleet.replicas[at].standin.at, "");
    let order = json!({"fence": 1, "order": "load", "weights": "2"}).to_string();
    assert_eq!(engine.post("/orders", &order).status, 202);

    wait_for("the weights to be loaded", || {
        let answer = caller.post("/v1/completions", &completion(&prompt, 3, true));
        assert!(answer.whole(), "{} {}", answer.status, answer.text());
        assert_eq!(answer.words(), words(&prompt, 3));
        engine.get("/load").json()["weights"] == "2"
    });
    let first = first.end();
    assert!(first.whole(), "{}", first.text());
    assert_eq!(first.words(), words(&prompt, 150));
    wait_for("the older weights' blocks to be given up", || {
        fleet.offer(at, one(&prompt)).matched == 0
    });
}

/// An engine publishes its events late, swapped and with gaps while its small cache evicts. A
/// removal that was missed would leave a claim for ever: callers would be sent to a replica that
/// recomputes what it is said to hold.
#[test]
fn late_and_missing_events_leave_no_claim_behind() {
    let set = Settings {
        blocks: 100,
        event_lag: Duration::from_millis(150),
        lose_every: 3,
        reorder: true,
        ..quick()
    };
    let fleet = Fleet::start(1, 1, &set);
    let caller = fleet.caller(0);
    let texts: Vec<String> = (10..30).map(long).collect();
    let send = |text: &str| {
        let answer = caller.post("/v1/completions", &completion(text, 2, true));
        assert!(answer.whole(), "{}", answer.text());
        assert_eq!(answer.words(), words(text, 2));
    };
    texts.iter().for_each(|t| send(t));
    let engine = Caller::new(fleet.replicas[0].standin.at, "");
    let mut nudge = 100;
    let mut right = 0;
    wait_for("no more to be claimed than is held", || {
        // Only a later event shows that one before it is missing.
        nudge += 1;
        send(&format!("nudge {nudge}"));
        let cache = engine.get("/cache").json();
        let blocks = cache["blocks"].as_array().expect("blocks");
        assert!(blocks.len() <= 100, "the prompts exceed the cache");
        let over = |t: &&String| fleet.offer(0, one(t)).matched > held(blocks, t);
        // A block may be evicted between the two looks, so that agreement counts, not a miss.
        right = match texts.iter().any(|t| over(&t)) {
            true => 0,
            false => right + 1,
        };
        right == 3
    });
}

/// Blocks of a prompt that the engine lists, from its first on.
fn held(blocks: &[Value], prompt: &str) -> u32 {
    let mut parent = Value::Null;
    let mut n = 0;
    for text in prompt.as_bytes().chunks_exact(prefix::BLOCK_BYTES) {
        let text = String::from_utf8_lossy(text);
        let found = blocks
            .iter()
            .find(|b| b["parent"] == parent && b["text"] == *text);
        match found {
            Some(b) => parent = b["hash"].clone(),
            None => break,
        }
        n += 1;
    }
    n
}
