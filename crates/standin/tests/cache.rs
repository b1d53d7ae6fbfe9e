//! Tests of the prefix cache of an engine: bounded by number of blocks and idle time; a chain is
//! evicted from its end.

use std::time::{Duration, Instant};

use standin::cache::{chain, BlockRange, Cache, Event, BLOCK_BYTES};

const MAX_IDLE: Duration = Duration::from_secs(5);

fn text(blocks: &str) -> String {
    blocks.chars().flat_map(|c| [c; BLOCK_BYTES]).collect()
}

fn store(cache: &mut Cache, now: Instant, blocks: &str) -> Vec<Event> {
    let prompt = text(blocks);
    let chain = chain("s", prompt.as_bytes());
    let mut out = Vec::new();
    let range = BlockRange {
        scope: "s",
        prompt: prompt.as_bytes(),
        chain: &chain,
        from: 0,
        to: chain.len(),
    };
    cache.store(now, &range, &mut out);
    out
}

fn find(cache: &mut Cache, now: Instant, blocks: &str) -> usize {
    cache.find(now, &chain("s", text(blocks).as_bytes()))
}

#[test]
fn least_recently_used_blocks_are_evicted_beyond_the_bound() {
    struct Case {
        stored: &'static [&'static str],
        prompt: &'static str,
        found: usize,
    }
    let cases = [
        Case {
            stored: &["abc"],
            prompt: "abc",
            found: 3,
        },
        Case {
            stored: &["abc"],
            prompt: "abx",
            found: 2,
        },
        Case {
            stored: &["abc", "xy"],
            prompt: "abc",
            found: 2,
        },
        Case {
            stored: &["abc", "xy", "abz"],
            prompt: "xy",
            found: 2,
        },
        Case {
            stored: &["abc", "wxyz"],
            prompt: "abc",
            found: 0,
        },
    ];
    for c in cases {
        let now = Instant::now();
        let mut cache = Cache::new(4, MAX_IDLE);
        c.stored
            .iter()
            .for_each(|s| drop(store(&mut cache, now, s)));
        assert!(cache.len() <= 4);
        assert_eq!(find(&mut cache, now, c.prompt), c.found, "{:?}", c.stored);
    }
}

#[test]
fn idle_blocks_are_evicted() {
    let start = Instant::now();
    let mut cache = Cache::new(100, MAX_IDLE);
    store(&mut cache, start, "ab");
    store(&mut cache, start, "xy");
    assert_eq!(find(&mut cache, start + MAX_IDLE / 2, "xy"), 2);
    let mut out = Vec::new();
    cache.expire(start + MAX_IDLE, &mut out);
    let removed: Vec<_> = chain("s", text("ab").as_bytes())
        .into_iter()
        .rev()
        .map(|hash| Event::Removed { hash })
        .collect();
    assert_eq!(out, removed);
    assert_eq!(find(&mut cache, start + MAX_IDLE, "xy"), 2);
}

#[test]
fn parents_are_listed_before_children() {
    let now = Instant::now();
    let mut cache = Cache::new(100, MAX_IDLE);
    let stored = store(&mut cache, now, "abc");
    assert_eq!(cache.list(), stored);
}
