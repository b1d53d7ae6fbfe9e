//! Cost and speed of membership and dissemination with 10, 100 and 1,180 members in virtual time.
//!
//! Prints a table for each fleet size. Links have a delay of 5 ms one way plus up to a fifth at
//! random, and lose 1% of all datagrams and pulls. CPU is the wall time spent in `Fleet::step`
//! alone, so it grows when the machine is busy. Arguments: the fleet sizes to run; `hour` for a
//! virtual hour without faults that counts false deaths; `split` for two groups of regions that
//! lose each other; `far` for links of 15 ms.

#[path = "../tests/net/mod.rs"]
mod net;

use std::alloc::{GlobalAlloc, Layout, System};
use std::sync::atomic::{AtomicU64, Ordering};

use hdrhistogram::Histogram;
use model::Micros;
use net::{row, Net};

/// An allocator that counts bytes in use, to measure the memory of a view.
struct Counting;

static USED: AtomicU64 = AtomicU64::new(0);

// SAFETY: Both calls are forwarded unchanged to the system allocator; the counter does not touch
// the allocated memory.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(&self, l: Layout) -> *mut u8 {
        USED.fetch_add(l.size() as u64, Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `alloc`.
        unsafe { System.alloc(l) }
    }

    unsafe fn dealloc(&self, p: *mut u8, l: Layout) {
        USED.fetch_sub(l.size() as u64, Ordering::Relaxed);
        // SAFETY: The caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(p, l) }
    }
}

#[global_allocator]
static ALLOC: Counting = Counting;

/// Configuration changes measured at each fleet size.
const CHANGES: u64 = 20;
/// Bytes of a configuration text.
const TEXT: usize = 8_000;
/// Delay of all links with the `far` argument, as between regions.
const FAR: Micros = Micros::from_millis(15);
/// Bytes of IP and UDP headers.
const HEADERS: u64 = 28;

/// Sums over all running members.
#[derive(Clone, Copy, Default)]
struct Totals {
    sent: u64,
    bytes: u64,
    pulled: u64,
    micros: u64,
    reads: u64,
}

fn totals(net: &Net) -> Totals {
    let mut t = Totals::default();
    for n in net.up() {
        let c = n.fleet.counters();
        t.sent += c.sent;
        t.bytes += c.sent_bytes + HEADERS * c.sent;
        t.pulled += n.pulled;
        t.micros += n.spent.as_micros() as u64;
        t.reads += n.reads;
    }
    t
}

fn print_rates(label: impl AsRef<str>, a: Totals, b: Totals, span: Micros, n: usize) {
    let per = |x: u64| x as f64 / span.as_secs_f64() / n as f64;
    println!(
        "| {} | {:.2} messages/s, {:.0} B/s sent, {:.0} B/s pulled, {:.0} us CPU/s a member; {:.1} table reads/s in all |",
        label.as_ref(),
        per(b.sent - a.sent),
        per(b.bytes - a.bytes),
        per(b.pulled - a.pulled),
        per(b.micros - a.micros),
        (b.reads - a.reads) as f64 / span.as_secs_f64(),
    );
}

fn start_fleet(n: usize, seed: u64, far: bool) -> Net {
    let before = USED.load(Ordering::Relaxed);
    let mut net = Net::new(seed, 0.01);
    net.domains = if n > 100 { 11 } else { 3 };
    net.row = Some(row(1, "x".repeat(TEXT)));
    net.timed = true;
    if far {
        net.delay = FAR;
    }
    net.add_nodes(n);
    let whole = net.run_until(Micros::from_secs(300), Net::is_complete);
    let ms = format_duration(whole);
    println!("| cold start of all, until everyone knows everyone | {ms} |");
    net.run(Micros::from_secs(60));
    let used = USED.load(Ordering::Relaxed) - before;
    let entries = (n * (n - 1)) as u64;
    println!("| memory | {} B a member entry |", used / entries);
    net
}

fn steady(net: &mut Net, n: usize) {
    let span = Micros::from_secs(60);
    let a = totals(net);
    net.run(span);
    print_rates("steady state", a, totals(net), span, n);
}

fn changes(net: &mut Net, n: usize) {
    let mut h = Histogram::<u64>::new(3).expect("three digits are supported");
    let mut confirmed = Histogram::<u64>::new(3).expect("three digits are supported");
    for v in 0..CHANGES {
        let r = row(v + 2, format!("{v}{}", "x".repeat(TEXT)));
        let start = net.now;
        let writer = (v as usize * 7) % n;
        net.accept(writer, r.clone());
        let known = net.run_until(Micros::from_secs(10), |net| {
            net.nodes[writer].fleet.in_force().lagging.is_empty()
        });
        confirmed
            .record(known.map_or(10_000, Micros::as_millis))
            .expect("it resizes");
        net.run(Micros::from_secs(5));
        for x in net.up() {
            let at = x.adopted.iter().find(|a| a.1 == r.version).map(|a| a.0);
            h.record(at.map_or(10_000, |at| at.since(start).as_millis()))
                .expect("it resizes");
        }
    }
    print_times("change in force, over members and changes", &h);
    print_times("writer knows that it is in force", &confirmed);
}

/// Formats an elapsed time, or states that the condition was not reached.
fn format_duration(t: Option<Micros>) -> String {
    match t {
        Some(t) => format!("{} ms", t.as_millis()),
        None => "not reached".to_owned(),
    }
}

fn print_times(label: impl AsRef<str>, h: &Histogram<u64>) {
    println!(
        "| {} | p50 {} ms, p99 {} ms, max {} ms |",
        label.as_ref(),
        h.value_at_quantile(0.5),
        h.value_at_quantile(0.99),
        h.max(),
    );
}

fn mass_restart(net: &mut Net, n: usize) {
    let some = n * 470 / 1_180;
    let span = Micros::from_secs(30);
    let a = totals(net);
    let start = net.now;
    for i in 0..some {
        net.restart(n - 1 - i);
    }
    let last = row(CHANGES + 1, format!("{}{}", CHANGES - 1, "x".repeat(TEXT)));
    let ready = net.run_until(Micros::from_secs(60), |net| net.all_have(&last));
    let whole = net.run_until(Micros::from_secs(240), Net::is_complete);
    if let Some(rest) = (start + span).0.checked_sub(net.now.0) {
        net.run(Micros(rest));
    }
    let time = net.now.since(start);
    let mut b = totals(net);
    b.sent = b.sent.max(a.sent);
    println!(
        "| {some} restart: all have the configuration | {} |",
        format_duration(ready)
    );
    let whole = whole.zip(ready).map(|(w, r)| w + r);
    println!(
        "| {some} restart: everyone knows everyone | {} |",
        format_duration(whole)
    );
    print_rates(format!("{some} restart"), lost(a, n, some), b, time, n);
}

/// Totals before a mass restart, less the share of the restarted members.
fn lost(a: Totals, n: usize, some: usize) -> Totals {
    let keep = |x: u64| x * (n - some) as u64 / n as u64;
    Totals {
        sent: keep(a.sent),
        bytes: keep(a.bytes),
        ..a
    }
}

fn kill_domain(net: &mut Net, n: usize) {
    net.run(Micros::from_secs(60));
    let start = net.now;
    let hit: Vec<usize> = (0..n).filter(|i| i % net.domains == 1).collect();
    hit.iter().for_each(|&i| net.kill(i));
    let out = net.run_until(Micros::from_secs(240), Net::is_complete);
    let ms = format_duration(out);
    println!(
        "| domain of {} dead, until out of every view | {ms} |",
        hit.len()
    );
    let mut h = Histogram::<u64>::new(3).expect("three digits are supported");
    for x in net.up() {
        let gone = x.gone.iter().filter(|g| g.0 >= start);
        gone.for_each(|g| h.record(g.0.since(start).as_millis()).expect("it resizes"));
    }
    print_times("each dead member out of each view", &h);
}

/// Splits a third of the failure domains from the others for ten minutes, far longer than any
/// suspicion timeout, and then reconnects them.
fn split(n: usize) {
    let mut net = start_fleet(n, 55, false);
    let apart = |net: &mut Net, group| {
        let domains = net.domains;
        for (i, x) in net.nodes.iter_mut().enumerate() {
            x.group = if (i % domains).is_multiple_of(3) {
                group
            } else {
                0
            };
        }
    };
    apart(&mut net, 1);
    net.run(Micros::from_secs(600));
    apart(&mut net, 0);
    let a = totals(&net);
    let start = net.now;
    let lost = |net: &Net| net.up().map(|x| x.gone.len()).sum::<usize>();
    let before = lost(&net);
    let healed = net.run_until(Micros::from_secs(240), Net::is_complete);
    let ms = format_duration(healed);
    println!("| split of regions healed, until everyone knows everyone | {ms} |");
    println!(
        "| deaths declared while it heals | {} |",
        lost(&net) - before
    );
    let span = net.now.since(start);
    print_rates("while it heals", a, totals(&net), span, n);
}

fn false_deaths(n: usize) {
    let mut net = start_fleet(n, 99, false);
    net.timed = false;
    let before: Vec<usize> = net.up().map(|x| x.gone.len()).collect();
    let sum = |net: &Net| net.up().map(|x| x.fleet.counters().suspected).sum::<u64>();
    let suspected = sum(&net);
    net.run(Micros::from_secs(3_600));
    let gone: usize = net.up().zip(before).map(|(x, b)| x.gone.len() - b).sum();
    println!("| false deaths in a virtual hour | {gone} |");
    println!(
        "| false suspicions in a virtual hour | {} |",
        sum(&net) - suspected
    );
}

fn main() {
    let args: Vec<String> = std::env::args().skip(1).collect();
    let sizes: Vec<usize> = args.iter().filter_map(|a| a.parse().ok()).collect();
    let sizes = if sizes.is_empty() {
        vec![10, 100, 1_180]
    } else {
        sizes
    };
    for n in sizes {
        println!("\n{n} members\n\n| what | figure |\n| --- | --- |");
        if args.iter().any(|a| a == "hour") {
            false_deaths(n);
            continue;
        }
        if args.iter().any(|a| a == "split") {
            split(n);
            continue;
        }
        let far = args.iter().any(|a| a == "far");
        let mut net = start_fleet(n, 7, far);
        steady(&mut net, n);
        changes(&mut net, n);
        mass_restart(&mut net, n);
        kill_domain(&mut net, n);
    }
}
