//! Benchmark of time and memory for hashing, lookups and events.
//!
//! Run with `cargo run --release -p prefix --example prefix_bench`.

use std::hint::black_box;
use std::time::Instant;

use bytes::Bytes;
use model::{BlockHash, Incarnation, Micros};
use prefix::{chain, Block, Config, Event, Index, Kind, Marks, Seed, BLOCK_BYTES};

/// Number of blocks in one prompt, about 16,000 tokens.
const PROMPT_BLOCKS: usize = 1_000;
/// Number of bytes in a KiB.
const KIB: f64 = 1_024.0;

/// A prompt that shares its first half with nine others.
fn prompt(number: usize) -> Vec<u8> {
    let fill = |i: usize| {
        let part = if i < PROMPT_BLOCKS / 2 * BLOCK_BYTES {
            number / 10
        } else {
            number
        };
        (part.wrapping_mul(31).wrapping_add(i / 8) % 251) as u8
    };
    let mut text: Vec<u8> = (0..PROMPT_BLOCKS * BLOCK_BYTES).map(fill).collect();
    let half = PROMPT_BLOCKS / 2 * BLOCK_BYTES;
    text[..8].copy_from_slice(&(number as u64 / 10).to_le_bytes());
    text[half..half + 8].copy_from_slice(&(number as u64).to_le_bytes());
    text
}

fn seed() -> Seed {
    Seed::new("team", "model", "1")
}

/// A prompt's blocks, with the chain's hashes as the engine's ids.
fn blocks(text: &Bytes, hashes: &[BlockHash]) -> Vec<Block> {
    let parent = |i: usize| i.checked_sub(1).map(|p| hashes[p].0);
    (0..hashes.len())
        .map(|i| Block {
            hash: hashes[i].0,
            parent: parent(i),
            scope: "team".to_owned(),
            text: text.slice(i * BLOCK_BYTES..(i + 1) * BLOCK_BYTES),
        })
        .collect()
}

fn hashing() {
    let text = prompt(1);
    let rounds = 2_000;
    let start = Instant::now();
    for _ in 0..rounds {
        black_box(chain(seed(), black_box(&text)));
    }
    let ns = start.elapsed().as_nanos() as f64 / f64::from(rounds);
    let per = ns / (text.len() as f64 / KIB);
    println!(
        "hash      {per:.0} ns/KiB, {:.1} us for {PROMPT_BLOCKS} blocks",
        ns / 1e3
    );
    let hashes = chain(seed(), &text);
    let start = Instant::now();
    for _ in 0..rounds {
        black_box(Marks::new(black_box(&hashes)));
    }
    let ns = start.elapsed().as_nanos() as f64 / f64::from(rounds);
    println!("marks     {ns:.0} ns a prompt");
}

fn index(size: usize) {
    let mut index = Index::new(Config::default(), "model", "1");
    let mut seq = 0;
    let mut spent = 0;
    let mut prompts = Vec::new();
    for number in 0.. {
        let text = Bytes::from(prompt(number));
        let hashes = chain(seed(), &text);
        let events: Vec<Event> = blocks(&text, &hashes)
            .into_iter()
            .map(|block| {
                seq += 1;
                let kind = Kind::Stored(block);
                Event {
                    seq,
                    incarnation: Incarnation(1),
                    kind,
                }
            })
            .collect();
        let start = Instant::now();
        for event in events {
            let _ = index.apply(Micros(seq), event);
        }
        spent += start.elapsed().as_nanos();
        prompts.push(hashes);
        if index.len() >= size {
            break;
        }
    }
    let count = index.len();
    let bytes = index.bytes() as f64 / count as f64;
    println!(
        "{count:>7} blocks: {bytes:.0} B/block, stored {} ns/event",
        spent / u128::from(seq)
    );

    let marks: Vec<Marks> = prompts
        .iter()
        .map(|p| Marks::new(&p[..PROMPT_BLOCKS - 7]))
        .collect();
    let missing = Marks::new(&chain(seed(), prompt(9_999_999)));
    let rounds = 200_000;
    let start = Instant::now();
    for i in 0..rounds {
        black_box(index.matched(&marks[i * 7 % marks.len()]));
    }
    let hit = start.elapsed().as_nanos() / rounds as u128;
    let start = Instant::now();
    for _ in 0..rounds {
        black_box(index.matched(black_box(&missing)));
    }
    let miss = start.elapsed().as_nanos() / rounds as u128;
    println!("{count:>7} blocks: look-up {hit} ns found, {miss} ns not found");

    let start = Instant::now();
    let mut removed = 0u128;
    for hashes in prompts.iter().rev().take(60) {
        for hash in hashes[PROMPT_BLOCKS / 2..].iter().rev() {
            seq += 1;
            let kind = Kind::Removed { hash: hash.0 };
            let _ = index.apply(
                Micros(seq),
                Event {
                    seq,
                    incarnation: Incarnation(1),
                    kind,
                },
            );
            removed += 1;
        }
    }
    println!(
        "{count:>7} blocks: removed {} ns/event",
        start.elapsed().as_nanos() / removed
    );
}

fn main() {
    hashing();
    index(62_000);
    index(620_000);
}
