//! Tests of chains, marks and levels.

use model::BlockHash;
use prefix::{chain, grid, levels, next, root, Marks, Seed, BLOCK_BYTES, MAX_MARKS};

fn text(blocks: usize) -> Vec<u8> {
    (0..blocks * BLOCK_BYTES)
        .map(|i| (i / 7 % 251) as u8)
        .collect()
}

/// Guards against equal hashes for the same prompt of two teams, models or versions of weights: a
/// team could infer another's prompts from latency, or blocks of older weights would count as cached.
#[test]
fn different_scope_model_or_weights_share_no_hash() {
    struct Case {
        name: &'static str,
        seed: Seed,
    }
    let cases = [
        Case {
            name: "other team",
            seed: Seed::new("b", "m", "1"),
        },
        Case {
            name: "other model",
            seed: Seed::new("a", "n", "1"),
        },
        Case {
            name: "older weights",
            seed: Seed::new("a", "m", "0"),
        },
        Case {
            name: "moved boundary",
            seed: Seed::new("am", "", "1"),
        },
        Case {
            name: "empty fields",
            seed: Seed::new("", "", ""),
        },
    ];
    let hashes = chain(Seed::new("a", "m", "1"), text(40));
    for case in cases {
        let others = chain(case.seed, text(40));
        assert!(hashes.iter().all(|h| !others.contains(h)), "{}", case.name);
    }
}

#[test]
fn only_complete_blocks_are_hashed_each_with_its_parent() {
    let seed = Seed::new("a", "m", "1");
    let prompt = text(3);
    let hashes = chain(seed, &prompt[..3 * BLOCK_BYTES - 1]);
    let first = next(root(seed), &prompt[..BLOCK_BYTES]);
    assert_eq!(
        hashes,
        [first, next(first, &prompt[BLOCK_BYTES..2 * BLOCK_BYTES])]
    );
    assert!(chain(seed, "short").is_empty());
}

#[test]
fn marks_are_few_and_cover_end_and_beginning() {
    for n in [0usize, 1, 2, 5, 16, 17, 100, 1_000, 1_012, 20_000] {
        let hashes: Vec<BlockHash> = (1..=n as u64).map(BlockHash).collect();
        let marks = Marks::with(&hashes, Some(n as u32 / 3));
        let depths: Vec<u32> = marks.points().iter().map(|m| m.blocks).collect();
        assert!(depths.len() <= MAX_MARKS, "{n}: {depths:?}");
        assert!(depths.windows(2).all(|w| w[0] > w[1]), "{n}: {depths:?}");
        assert!(marks
            .points()
            .iter()
            .all(|m| m.hash.0 == u64::from(m.blocks)));
        assert_eq!(marks.blocks(), n as u32);
        assert_eq!(depths.contains(&(n as u32 / 3)), n >= 3, "{n}: {depths:?}");
        let shallow = depths.last().copied().unwrap_or(0) as usize;
        assert!(shallow <= n / 8 || n <= MAX_MARKS, "{n}: {depths:?}");
    }
}

/// Guards against levels that differ between prompts with a common prefix but questions of
/// different lengths: each prompt would be computed at another replica.
#[test]
fn levels_agree_between_prompts_of_different_lengths() {
    let long: Vec<BlockHash> = (1..=1_012).map(BlockHash).collect();
    let key = |n: usize| levels(&long[..n]).map(|m| m.blocks).collect::<Vec<_>>();
    assert_eq!(key(1_012), [768, 320, 80]);
    assert_eq!(key(1_012), key(1_001));
    assert_eq!(key(1), [1]);
    assert_eq!(key(0), []);
    assert_eq!(
        grid(21).collect::<Vec<_>>(),
        [20, 16, 14, 12, 10, 8, 7, 6, 5, 4, 3, 2, 1]
    );
}
