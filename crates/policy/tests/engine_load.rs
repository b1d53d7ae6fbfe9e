//! Choice between engines that are short of memory.

use policy::engine_load::Load;
use policy::ttft_placement::{choose, Candidate, Sources};

/// Tokens of an engine's memory.
const MEMORY: u32 = 85_000;
/// Tokens of the prompt.
const PROMPT: u32 = 9_200;
/// Tokens of the prompt's opening.
const OPENING: u32 = 6_300;
/// Milliseconds to compute a token.
const READ: f64 = 0.0226;

/// With a quarter of the engines gone, small shortages of memory must not move prompts away from the
/// engines that hold their openings.
#[test]
fn opening_is_used_at_its_holder_unless_much_memory_is_short_there() {
    struct Case {
        name: &'static str,
        /// Memory that can't be released, at the holder and at the other engine.
        used: [u32; 2],
        /// Tokens of pending prefill, at the holder and at the other engine.
        waiting: [u32; 2],
        /// Whether the holder of the opening is chosen.
        held: bool,
    }
    #[rustfmt::skip]
    let cases = [
        Case { name: "both have room", used: [40_000, 40_000], waiting: [0, 0], held: true },
        Case { name: "the holder is short of 1%", used: [76_700, 40_000], waiting: [0, 0], held: true },
        Case { name: "the holder is short of 1%, the other engine of more", used: [76_700, 84_000], waiting: [0, 0], held: true },
        Case { name: "the holder is short of a fifth", used: [85_000, 40_000], waiting: [8_000, 0], held: false },
        Case { name: "pending prompts will fill the holder's memory", used: [74_000, 60_000], waiting: [12_000, 12_000], held: false },
    ];
    for c in cases {
        let sources = Sources::new([]);
        let candidate = |i: usize| {
            let load = Load {
                tokens_ahead: f64::from(c.waiting[i]),
                memory_used: c.used[i],
                memory_total: MEMORY,
                ..Load::default()
            };
            let candidate = Candidate {
                key: i,
                addr: i,
                domain: 0,
                wait: load.wait(PROMPT, READ),
                prefill_per_token: READ,
                held: if i == 0 { OPENING } else { 0 },
                eviction_cost: READ * 0.8,
                network_delay: 0.0,
                penalty: 0.0,
                discount: 0.0,
                cost_factor: 1.0,
            };
            (candidate, &sources)
        };
        let choice = choose(PROMPT, [candidate(0), candidate(1)]).expect("an engine");
        assert_eq!(choice.key == 0, c.held, "{}", c.name);
    }
}
