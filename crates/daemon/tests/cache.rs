//! No request uses cached blocks of an earlier incarnation of an engine, another team or older
//! weights.

mod common;

use std::time::Duration;

use common::{completion, quick, wait_for, words, Caller, Fleet, Prompt};
use serde_json::{json, Value};
use standin::engine::Settings;

/// API key of the second team in the sample configuration.
const SECOND_KEY: &str = "sample-key-two";

/// A long prompt; each number gives one that shares no blocks with the others.
fn long_prompt(n: usize) -> String {
    format!("opening {n}: {}", "a shared regulation text. ".repeat(80))
}

/// A prompt of the first team for the initial weights.
fn team_one(text: &str) -> Prompt<'_> {
    Prompt {
        scope: "team-one",
        weights: "1",
        text,
    }
}

/// Guards against reporting the cached blocks of an engine that crashed and restarted empty:
/// requests would wait there for a recomputed prefix although another replica holds it.
#[test]
fn blocks_of_a_crashed_engine_are_not_reported_after_its_restart() {
    let mut fleet = Fleet::start(1, 1, &quick());
    let prompt = long_prompt(1);
    let body = completion(&prompt, 4, true);
    let answer = fleet.caller(0).post("/v1/completions", &body);
    assert!(answer.is_complete_stream(), "{}", answer.text());
    wait_for("the sidecar to report the blocks", || {
        fleet.offer(0, team_one(&prompt)).matched > 0
    });

    fleet.restart_engine(0, &quick());
    let incarnation = fleet.replicas[0].engine.incarnation();
    let mut offer = fleet.offer(0, team_one(&prompt));
    wait_for("the sidecar to see the new incarnation", || {
        offer = fleet.offer(0, team_one(&prompt));
        offer.engine == incarnation
    });
    assert_eq!(
        offer.matched, 0,
        "blocks of the earlier incarnation are reported"
    );

    let answer = fleet.caller(0).post("/v1/completions", &body);
    assert!(answer.is_complete_stream(), "{}", answer.text());
    assert_eq!(answer.words(), words(&prompt, 4));
    assert_eq!(fleet.replicas[0].engine.run_log()[0].cached, 0);
}

/// Guards against a team that sends another team's prompt and sets the fields that select a cache:
/// if it got that team's blocks, the answer time would reveal that the prompt was sent before.
#[test]
fn teams_share_no_blocks_whatever_fields_they_set() {
    let fleet = Fleet::start(1, 1, &quick());
    let prompt = long_prompt(2);
    let second = Caller::new(fleet.entries[0].address("callers"), SECOND_KEY);
    let plain = json!({"model": "lekha", "prompt": prompt, "max_tokens": 4});
    let mut forged = plain.clone();
    forged["cache_salt"] = json!("team-one");
    forged["priority"] = json!(-9);
    forged["resume"] = json!(3);

    let warm = fleet.caller(0).post("/v1/completions", &plain.to_string());
    let again = fleet.caller(0).post("/v1/completions", &plain.to_string());
    let other = second.post("/v1/completions", &plain.to_string());
    let forged_answer = second.post("/v1/completions", &forged.to_string());
    assert_eq!(
        [&warm, &again, &other, &forged_answer].map(|a| a.status),
        [200; 4]
    );
    assert!(cached(&again.json()) > 0, "the team's own blocks are used");
    assert_eq!(cached(&other.json()), 0, "another team's blocks were used");

    let ran = fleet.replicas[0].engine.run_log();
    let forged = ran.last().expect("the forged request");
    assert_eq!((forged.priority, forged.resumed, forged.tokens), (1, 0, 4));
    // The forged request uses only the blocks of its own team's earlier request.
    assert_eq!(forged.cached, ran[1].cached);
    let salted = second.post("/v1/completions", &salted(&long_prompt(3)));
    assert_eq!(cached(&salted.json()), 0);
    assert!(fleet.offer(0, team_one(&long_prompt(3))).matched == 0);
}

/// A request that sets the first team's cache salt.
fn salted(prompt: &str) -> String {
    json!({"prompt": prompt, "max_tokens": 1, "cache_salt": "team-one"}).to_string()
}

/// Number of prompt tokens that the engine took from its cache.
fn cached(answer: &Value) -> u64 {
    let tokens = &answer["usage"]["prompt_tokens_details"]["cached_tokens"];
    tokens.as_u64().expect("a usage")
}

/// Guards against failed requests while one replica switches its weights and aborts its streams,
/// and against reporting blocks of the older weights afterwards.
#[test]
fn switching_weights_ends_no_stream_and_leaves_no_older_blocks() {
    let set = Settings {
        load_time: Duration::from_millis(600),
        ..quick()
    };
    let fleet = Fleet::start(1, 2, &set);
    let prompt = long_prompt(4);
    let body = completion(&prompt, 150, true);
    let caller = fleet.caller(0);
    let first = caller.begin("POST", "/v1/completions", &[], &body);
    first.wait_for("choices");
    let at = fleet.running_replica();
    wait_for("the sidecar to report the blocks", || {
        fleet.offer(at, team_one(&prompt)).matched > 0
    });
    let engine = Caller::new(fleet.replicas[at].standin.at, "");
    let order = json!({"fence": 1, "order": "load", "weights": "2"}).to_string();
    assert_eq!(engine.post("/orders", &order).status, 202);

    wait_for("the weights to be loaded", || {
        let answer = caller.post("/v1/completions", &completion(&prompt, 3, true));
        assert!(
            answer.is_complete_stream(),
            "{} {}",
            answer.status,
            answer.text()
        );
        assert_eq!(answer.words(), words(&prompt, 3));
        engine.get("/load").json()["weights"] == "2"
    });
    let first = first.end();
    assert!(first.is_complete_stream(), "{}", first.text());
    assert_eq!(first.words(), words(&prompt, 150));
    wait_for(
        "the sidecar to drop the blocks of the older weights",
        || fleet.offer(at, team_one(&prompt)).matched == 0,
    );
}

/// Guards against blocks that stay reported after their eviction because an event was late,
/// reordered or lost: requests would be sent to a replica that has to recompute them.
#[test]
fn late_and_lost_events_leave_no_evicted_block_reported() {
    let set = Settings {
        blocks: 100,
        event_lag: Duration::from_millis(150),
        lose_every: 3,
        reorder: true,
        ..quick()
    };
    let fleet = Fleet::start(1, 1, &set);
    let caller = fleet.caller(0);
    let texts: Vec<String> = (10..30).map(long_prompt).collect();
    let send = |text: &str| {
        let answer = caller.post("/v1/completions", &completion(text, 2, true));
        assert!(answer.is_complete_stream(), "{}", answer.text());
        assert_eq!(answer.words(), words(text, 2));
    };
    texts.iter().for_each(|t| send(t));
    let engine = Caller::new(fleet.replicas[0].standin.at, "");
    let mut extra = 100;
    let mut agreements = 0;
    wait_for(
        "the sidecar to report no more blocks than the engine holds",
        || {
            // A lost event is detected only by a later one, which this request causes.
            extra += 1;
            send(&format!("nudge {extra}"));
            let cache = engine.get("/cache").json();
            let blocks = cache["blocks"].as_array().expect("blocks");
            assert!(blocks.len() <= 100, "the prompts exceed the cache");
            let exceeds = |t: &&String| fleet.offer(0, team_one(t)).matched > held(blocks, t);
            // A block may be evicted between the two reads, so a single mismatch isn't a failure.
            agreements = match texts.iter().any(|t| exceeds(&t)) {
                true => 0,
                false => agreements + 1,
            };
            agreements == 3
        },
    );
}

/// Number of leading blocks of a prompt in the engine's list.
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
