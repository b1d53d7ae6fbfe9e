//! The engine's cache: bounded by number and age; a chain goes from its end.

use std::time::{Duration, Instant};

use standin::cache::{chain, BlockRange, Cache, Event, BLOCK_BYTES};

const AGE: Duration = Duration::from_secs(5);

fn text(blocks: &str) -> String {
    blocks.chars().flat_map(|c| [c; BLOCK_BYTES]).collect()
}

fn store(cache: &mut Cache, now: Instant, blocks: &str) -> Vec<Event> {
    let prompt = text(blocks);
    let chain = chain("s", prompt.as_bytes());
    let mut out = Vec::new();
    let piece = BlockRange {
        scope: "s",
        prompt: prompt.as_bytes(),
        chain: &chain,
        from: 0,
        to: chain.len(),
    };
    cache.store(now, &piece, &mut out);
    out
}

fn find(cache: &mut Cache, now: Instant, blocks: &str) -> usize {
    cache.find(now, &chain("s", text(blocks).as_bytes()))
}

#[test]
fn is_bounded_and_evicts_the_least_recently_used() {
    struct Case {
        stored: &'static [&'static str],
        look: &'static str,
        found: usize,
    }
    let cases = [
        Case {
            stored: &["abc"],
            look: "abc",
            found: 3,
        },
        Case {
            stored: &["abc"],
            look: "abx",
            found: 2,
        },
        Case {
            stored: &["abc", "xy"],
            look: "abc",
            found: 2,
        },
        Case {
            stored: &["abc", "xy", "abz"],
            look: "xy",
            found: 2,
        },
        Case {
            stored: &["abc", "wxyz"],
            look: "abc",
            found: 0,
        },
    ];
    for c in cases {
        let now = Instant::now();
        let mut cache = Cache::new(4, AGE);
        c.stored
            .iter()
            .for_each(|s| drop(store(&mut cache, now, s)));
        assert!(cache.len() <= 4);
        assert_eq!(find(&mut cache, now, c.look), c.found, "{:?}", c.stored);
    }
}

#[test]
fn evicts_what_lies_unused_for_long() {
    let start = Instant::now();
    let mut cache = Cache::new(100, AGE);
    store(&mut cache, start, "ab");
    store(&mut cache, start, "xy");
    assert_eq!(find(&mut cache, start + AGE / 2, "xy"), 2);
    let mut out = Vec::new();
    cache.expire(start + AGE, &mut out);
    let gone: Vec<_> = chain("s", text("ab").as_bytes())
        .into_iter()
        .rev()
        .map(|hash| Event::Removed { hash })
        .collect();
    assert_eq!(out, gone);
    assert_eq!(find(&mut cache, start + AGE, "xy"), 2);
}

#[test]
fn lists_parents_before_children() {
    let now = Instant::now();
    let mut cache = Cache::new(100, AGE);
    let stored = store(&mut cache, now, "abc");
    assert_eq!(cache.list(), stored);
}
