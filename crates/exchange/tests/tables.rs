//! Table tests of the registry, the replay buffer and the relay on their own.

use assert_matches::assert_matches;
use bytes::Bytes;
use exchange::registry::MARK_TTL;
use exchange::relay::MAX_RESUMES;
use exchange::replay::MAX_BYTES;
use exchange::{
    Action, Event, Exchange, IncarnationMatch, Lookup, NotRun, Owner, Registry, Relay,
    ReplayBuffer, ReplayError, Token,
};
use model::{Code, Micros, Outcome};

const T: Token = Token(Bytes::from_static(b"token"));

/// One call on a registry.
#[derive(Clone, Copy, Debug)]
enum Call {
    Open(IncarnationMatch),
    Resume(IncarnationMatch),
    Close {
        ran: bool,
    },
    /// The clock advances.
    Wait(Micros),
}

/// Guards against a request that arrives late from a broken connection and runs a second time, and
/// against reporting a request that ran as "not run" once its answer is no longer kept.
#[test]
fn registry_marks_late_and_ended_exchanges() {
    use Call::{Close, Open, Resume, Wait};
    use IncarnationMatch::{Current, Other, Unknown};
    struct Case {
        what: &'static str,
        calls: &'static [Call],
        seen: Lookup<u8>,
    }
    const SHORT: Micros = Micros(MARK_TTL.0 - 1);
    #[rustfmt::skip]
    let cases = [
        Case { what: "new", calls: &[Open(Current)], seen: Lookup::New },
        Case { what: "sent twice", calls: &[Open(Current), Open(Current)], seen: Lookup::Active(1) },
        Case { what: "resumed", calls: &[Open(Current), Resume(Current)], seen: Lookup::Active(1) },
        Case { what: "never arrived", calls: &[Resume(Current)], seen: Lookup::Voided },
        Case { what: "arrives late", calls: &[Resume(Current), Open(Current)], seen: Lookup::Voided },
        Case { what: "arrives very late", calls: &[Resume(Current), Wait(SHORT), Open(Current)], seen: Lookup::Voided },
        Case { what: "mark renewed", calls: &[Resume(Current), Wait(SHORT), Resume(Current), Wait(SHORT), Open(Current)], seen: Lookup::Voided },
        Case { what: "mark expired", calls: &[Resume(Current), Wait(MARK_TTL), Open(Current)], seen: Lookup::New },
        Case { what: "refused, resumed", calls: &[Open(Current), Close { ran: false }, Resume(Current)], seen: Lookup::Voided },
        Case { what: "refused, sent again", calls: &[Open(Current), Close { ran: false }, Open(Current)], seen: Lookup::Voided },
        Case { what: "ran, resumed", calls: &[Open(Current), Close { ran: true }, Resume(Current)], seen: Lookup::Ended },
        Case { what: "ran, sent again", calls: &[Open(Current), Close { ran: true }, Open(Current)], seen: Lookup::Ended },
        Case { what: "ran, resumed late", calls: &[Open(Current), Close { ran: true }, Wait(SHORT), Resume(Current)], seen: Lookup::Ended },
        Case { what: "earlier incarnation, open", calls: &[Open(Other)], seen: Lookup::OtherIncarnation },
        Case { what: "earlier incarnation, then this", calls: &[Open(Other), Open(Current)], seen: Lookup::New },
        Case { what: "earlier incarnation, resume", calls: &[Resume(Other)], seen: Lookup::Ended },
        Case { what: "unknown incarnation, here", calls: &[Open(Unknown), Resume(Unknown)], seen: Lookup::Active(1) },
        Case { what: "unknown incarnation, not here", calls: &[Resume(Unknown)], seen: Lookup::Ended },
        Case { what: "unknown incarnation, late", calls: &[Resume(Unknown), Open(Unknown)], seen: Lookup::Voided },
    ];
    for c in cases {
        let mut now = Micros::ZERO;
        let mut registry = Registry::default();
        let mut seen = Lookup::New;
        for &call in c.calls {
            match call {
                Open(m) => seen = registry.open(m, T, || 1),
                Resume(m) => seen = registry.resume(now, m, T),
                Close { ran } => drop(registry.close(now, &T, ran)),
                Wait(t) => now = now + t,
            }
            registry.expire(now);
        }
        assert_eq!(seen, c.seen, "{}", c.what);
    }
}

/// Guards against chunks that are dropped too early or kept too long, and against a missing chunk
/// that is answered with another chunk or with nothing instead of an error.
#[test]
fn replay_buffer_keeps_unconfirmed_chunks_within_its_limit() {
    struct Case {
        what: &'static str,
        keep: bool,
        /// Size of each chunk, and the position up to which is confirmed after it.
        chunks: &'static [(usize, u64)],
        full: bool,
        /// Result of reading chunks 0, 1, ...
        received: &'static [Result<Option<usize>, ReplayError>],
    }
    const HALF: usize = MAX_BYTES / 2;
    #[rustfmt::skip]
    let cases = [
        Case { what: "empty", keep: false, chunks: &[], full: false, received: &[Ok(None), Err(ReplayError::Ahead(1))] },
        Case { what: "unconfirmed", keep: false, chunks: &[(1, 0), (2, 0)], full: false, received: &[Ok(Some(1)), Ok(Some(2)), Ok(None), Err(ReplayError::Ahead(3))] },
        Case { what: "confirmed", keep: false, chunks: &[(1, 0), (2, 1)], full: false, received: &[Err(ReplayError::Gone(0)), Ok(Some(2)), Ok(None)] },
        Case { what: "confirmed ahead", keep: false, chunks: &[(1, u64::MAX), (2, 0)], full: false, received: &[Err(ReplayError::Gone(0)), Ok(Some(2)), Ok(None)] },
        Case { what: "full", keep: false, chunks: &[(HALF, 0), (HALF, 0)], full: true, received: &[Ok(Some(HALF)), Ok(Some(HALF)), Ok(None)] },
        Case { what: "full, confirmed", keep: false, chunks: &[(HALF, 0), (HALF, 1)], full: false, received: &[Err(ReplayError::Gone(0)), Ok(Some(HALF))] },
        Case { what: "kept", keep: true, chunks: &[(1, 1), (2, 2)], full: false, received: &[Ok(Some(1)), Ok(Some(2)), Ok(None)] },
        Case { what: "kept, full", keep: true, chunks: &[(HALF, 0), (HALF, 0)], full: true, received: &[Ok(Some(HALF)), Ok(Some(HALF))] },
        Case { what: "kept, confirmed before full", keep: true, chunks: &[(HALF, 1), (HALF, 0)], full: false, received: &[Err(ReplayError::Gone(0)), Ok(Some(HALF))] },
        Case { what: "kept no longer", keep: true, chunks: &[(HALF, 1), (HALF, 0), (1, 3)], full: false, received: &[Err(ReplayError::Gone(0)), Err(ReplayError::Gone(1)), Err(ReplayError::Gone(2)), Ok(None)] },
    ];
    for c in cases {
        let mut r = if c.keep {
            ReplayBuffer::keep_all()
        } else {
            ReplayBuffer::default()
        };
        for (i, &(size, confirmed)) in c.chunks.iter().enumerate() {
            assert_eq!(r.push(Bytes::from(vec![0; size])), i as u64);
            r.confirm(confirmed);
        }
        assert_eq!(r.full(), c.full, "{}", c.what);
        assert_eq!(r.total(), None, "{}", c.what);
        for (i, received) in c.received.iter().enumerate() {
            let size = r.get(i as u64).map(|b| b.map(|b| b.len()));
            assert_eq!(size, *received, "{} {i}", c.what);
        }
        r.end();
        assert_matches!(r.total(), Some((n, _)) if n == c.chunks.len() as u64);
    }
}

fn chunk(seq: u64) -> Event {
    Event::Chunk {
        seq,
        data: Bytes::from_static(b"data: x\n\n"),
        events: 1,
    }
}

fn end(count: u64, of: u64) -> Event {
    let data = b"data: x\n\n".repeat(of as usize);
    let digest = Bytes::copy_from_slice(blake3::hash(&data).as_bytes());
    Event::End { count, digest }
}

fn refused(code: Code) -> Event {
    Event::Refused(NotRun::reported(code, None))
}

fn failed(known: bool) -> Event {
    Event::Failed(
        Exchange::new()
            .dispatch()
            .fail(Code::TargetLost, known, false),
    )
}

fn claimed() -> Event {
    Event::Claimed(Some(Owner {
        token: Bytes::from_static(b"first"),
        address: String::new(),
        incarnation: 1,
    }))
}

/// The parts of an action that the tests check.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Reaction {
    Finish,
    Resume(u64),
    Join,
    Wait,
    Elsewhere(u64, Code, Outcome),
    Give(Code, Outcome),
}

fn reaction(action: Action) -> Reaction {
    match action {
        Action::Wait | Action::Deliver(_) => Reaction::Wait,
        Action::Resume { next, .. } => Reaction::Resume(next),
        Action::Join(_) => Reaction::Join,
        Action::Finish => Reaction::Finish,
        Action::Fail(f) => Reaction::Give(f.code, f.outcome),
        Action::RetryElsewhere { delivered, failure } => {
            Reaction::Elsewhere(delivered, failure.code, failure.outcome)
        }
    }
}

/// Guards against reporting "not run" although an attempt may have run, and against sending a
/// non-idempotent request to another replica after an attempt may have run.
#[test]
fn relay_reports_not_run_and_retries_only_when_safe() {
    use Code::{AlreadyAttempted, BadAnswer, Limited, NoTarget, TargetLost};
    use Event::{Gone, Lost, Unsent};
    use Outcome::{Failed, NotRun, Unknown};
    use Reaction::{Elsewhere, Finish, Give, Join, Resume, Wait};
    struct Case {
        what: &'static str,
        idempotent: bool,
        events: Vec<Event>,
        reaction: Reaction,
    }
    let lost = || vec![Lost; MAX_RESUMES as usize + 1];
    let after = |first: Vec<Event>, then: Event| [first, vec![then]].concat();
    #[rustfmt::skip]
    let cases = [
        Case { what: "whole", idempotent: false, events: vec![chunk(0), chunk(1), end(2, 2)], reaction: Finish },
        Case { what: "empty", idempotent: false, events: vec![end(0, 0)], reaction: Finish },
        Case { what: "repeat", idempotent: false, events: vec![chunk(0), chunk(0)], reaction: Wait },
        Case { what: "whole after a repeat", idempotent: false, events: vec![chunk(0), chunk(0), end(1, 1)], reaction: Finish },
        Case { what: "gap", idempotent: false, events: vec![chunk(0), chunk(2)], reaction: Resume(1) },
        Case { what: "end too early", idempotent: false, events: vec![chunk(0), end(2, 2)], reaction: Resume(1) },
        Case { what: "end with fewer", idempotent: false, events: vec![chunk(0), chunk(1), end(1, 1)], reaction: Give(BadAnswer, Unknown) },
        Case { what: "end with fewer, idempotent", idempotent: true, events: vec![chunk(0), chunk(1), end(1, 1)], reaction: Elsewhere(2, BadAnswer, Unknown) },
        Case { what: "end with the right hash and fewer", idempotent: false, events: vec![chunk(0), chunk(1), end(1, 2)], reaction: Give(BadAnswer, Unknown) },
        Case { what: "end with another hash", idempotent: false, events: vec![chunk(0), end(1, 2)], reaction: Give(BadAnswer, Unknown) },
        Case { what: "unsent", idempotent: false, events: vec![Unsent], reaction: Elsewhere(0, NoTarget, NotRun) },
        Case { what: "refused", idempotent: false, events: vec![refused(NoTarget)], reaction: Elsewhere(0, NoTarget, NotRun) },
        Case { what: "refused for good", idempotent: false, events: vec![refused(Limited)], reaction: Give(Limited, NotRun) },
        Case { what: "cut, refused", idempotent: false, events: vec![Lost, refused(NoTarget)], reaction: Elsewhere(0, NoTarget, NotRun) },
        Case { what: "cut, sidecar gone", idempotent: false, events: vec![Lost, Gone], reaction: Give(TargetLost, Unknown) },
        Case { what: "cut for good", idempotent: false, events: lost(), reaction: Give(TargetLost, Unknown) },
        Case { what: "cut for good, idempotent", idempotent: true, events: lost(), reaction: Elsewhere(0, TargetLost, Unknown) },
        Case { what: "ran in part, then unsent", idempotent: true, events: after(lost(), Unsent), reaction: Elsewhere(0, NoTarget, Unknown) },
        Case { what: "ran in part, then refused", idempotent: true, events: after(lost(), refused(NoTarget)), reaction: Elsewhere(0, NoTarget, Unknown) },
        Case { what: "ran in part, then refused for good", idempotent: true, events: after(lost(), refused(Limited)), reaction: Give(Limited, Unknown) },
        Case { what: "delivered in part, then refused elsewhere", idempotent: true, events: vec![chunk(0), failed(false), refused(NoTarget)], reaction: Elsewhere(1, NoTarget, Unknown) },
        Case { what: "continued by another replica", idempotent: true, events: vec![chunk(0), failed(false), chunk(0), end(1, 1)], reaction: Finish },
        Case { what: "target reports a failure", idempotent: true, events: vec![failed(true)], reaction: Give(TargetLost, Failed) },
        Case { what: "refused after a part", idempotent: false, events: vec![chunk(0), refused(NoTarget)], reaction: Give(BadAnswer, Unknown) },
        Case { what: "refused after a part, idempotent", idempotent: true, events: vec![chunk(0), refused(Limited)], reaction: Elsewhere(1, BadAnswer, Unknown) },
        Case { what: "claimed", idempotent: false, events: vec![claimed()], reaction: Join },
        Case { what: "claimed after a part", idempotent: false, events: vec![chunk(0), claimed()], reaction: Give(BadAnswer, Unknown) },
        Case { what: "claimed, owner not known", idempotent: false, events: vec![Event::Claimed(None)], reaction: Give(AlreadyAttempted, Unknown) },
        Case { what: "claimed while joined", idempotent: false, events: vec![claimed(), claimed()], reaction: Give(AlreadyAttempted, Unknown) },
        Case { what: "joined", idempotent: false, events: vec![claimed(), chunk(0), end(1, 1)], reaction: Finish },
        Case { what: "joined, cut", idempotent: false, events: vec![claimed(), chunk(0), Lost], reaction: Resume(1) },
        Case { what: "joined, gone", idempotent: false, events: vec![claimed(), Gone], reaction: Give(AlreadyAttempted, Unknown) },
        Case { what: "joined, refused", idempotent: false, events: vec![claimed(), refused(NoTarget)], reaction: Give(AlreadyAttempted, Unknown) },
        Case { what: "joined, no longer kept", idempotent: false, events: vec![claimed(), failed(false)], reaction: Give(AlreadyAttempted, Unknown) },
        Case { what: "joined, gone, idempotent", idempotent: true, events: vec![claimed(), Gone], reaction: Give(AlreadyAttempted, Unknown) },
    ];
    for c in cases {
        let mut relay = Relay::new(c.idempotent, true);
        let last = c.events.into_iter().map(|e| relay.step(e)).last();
        assert_eq!(last.map(reaction), Some(c.reaction), "{}", c.what);
    }
}

/// Guards against endless resumptions when a sidecar sends only repeated chunks; only a new chunk
/// counts as progress.
#[test]
fn resumptions_are_bounded() {
    let mut relay = Relay::new(false, true);
    relay.step(chunk(0));
    for _ in 0..MAX_RESUMES {
        assert_matches!(relay.step(Event::Lost), Action::Resume { next: 1, .. });
        assert_eq!(relay.step(chunk(0)), Action::Wait);
    }
    assert_matches!(relay.step(Event::Lost), Action::Fail(f) if f.outcome == Outcome::Unknown);
}
