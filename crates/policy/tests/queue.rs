//! The order of waiting requests.

use model::{Class, Micros, TeamKey};
use policy::queue::{Config, Job, Queue};
use slotmap::SlotMap;

const FAR: Micros = Micros::from_secs(1_000);

fn teams<const N: usize>() -> [TeamKey; N] {
    let mut map: SlotMap<TeamKey, ()> = SlotMap::with_key();
    std::array::from_fn(|_| map.insert(()))
}

fn job(team: TeamKey, class: Class, work_ms: u64, payload: u32) -> Job<u32> {
    Job {
        team,
        weight: 1,
        class,
        work: Micros::from_millis(work_ms),
        arrived: Micros::ZERO,
        deadline: FAR,
        payload,
    }
}

fn order(queue: &mut Queue<u32>) -> Vec<u32> {
    queue.drain().into_iter().map(|j| j.payload).collect()
}

#[test]
fn the_order_is_class_then_team_then_length() {
    struct Case {
        name: &'static str,
        jobs: Vec<Job<u32>>,
        order: Vec<u32>,
    }
    let [a, b] = teams();
    let later = |j: Job<u32>, ms| Job {
        arrived: Micros::from_millis(ms),
        ..j
    };
    let cases = [
        Case {
            name: "a call overtakes all",
            jobs: vec![
                job(a, Class::Batch, 1, 1),
                job(a, Class::Normal, 1, 2),
                job(a, Class::Call, 1, 3),
            ],
            order: vec![3, 2, 1],
        },
        Case {
            name: "a team's many don't shut out another's one",
            jobs: vec![
                job(a, Class::Call, 10, 1),
                job(a, Class::Call, 10, 2),
                job(a, Class::Call, 10, 3),
                later(job(b, Class::Call, 10, 4), 5),
            ],
            order: vec![1, 4, 2, 3],
        },
        Case {
            name: "a weight of two gets twice the work",
            jobs: vec![
                Job {
                    weight: 2,
                    ..job(a, Class::Call, 10, 1)
                },
                Job {
                    weight: 2,
                    ..job(a, Class::Call, 11, 2)
                },
                Job {
                    weight: 2,
                    ..job(a, Class::Call, 12, 3)
                },
                later(job(b, Class::Call, 20, 4), 1),
                later(job(b, Class::Call, 20, 5), 2),
            ],
            order: vec![1, 4, 2, 3, 5],
        },
        Case {
            name: "short before long",
            jobs: vec![
                job(a, Class::Call, 1_000, 1),
                later(job(a, Class::Call, 10, 2), 900),
            ],
            order: vec![2, 1],
        },
        Case {
            name: "a long one is overtaken only for a while",
            jobs: vec![
                job(a, Class::Call, 1_000, 1),
                later(job(a, Class::Call, 10, 2), 6_000),
            ],
            order: vec![1, 2],
        },
    ];
    for case in cases {
        let mut queue = Queue::new(Config::default());
        for job in case.jobs {
            queue.push(job);
        }
        assert_eq!(order(&mut queue), case.order, "{}", case.name);
        assert_eq!(
            (queue.len(), queue.work()),
            (0, Micros::ZERO),
            "{}",
            case.name
        );
    }
}

/// Calls alone could fill the engine for hours. Without an assured share nobody of the other
/// classes would be served in that time, however small the request.
#[test]
fn under_a_flood_of_calls_the_rest_still_moves() {
    let [a] = teams();
    let mut queue = Queue::new(Config::default());
    for _ in 0..400 {
        queue.push(job(a, Class::Normal, 10, 1));
        queue.push(job(a, Class::Batch, 10, 2));
        queue.push(job(a, Class::Call, 10, 0));
    }
    let mut served = [0; 3];
    for _ in 0..300 {
        let job = queue.pop().expect("the queue is full");
        served[job.class.index()] += 1;
        queue.push(Job { payload: 0, ..job });
    }
    assert!((25..=33).contains(&served[1]), "{served:?}");
    assert!((12..=17).contains(&served[2]), "{served:?}");
}

/// A request waits until its caller's deadline can't be met. Run all the same, it would take the
/// engine from others for an answer that nobody receives.
#[test]
fn what_comes_too_late_is_given_back_at_once() {
    let [a] = teams();
    let mut queue = Queue::new(Config::default());
    let due = |work, deadline, payload| Job {
        deadline: Micros::from_millis(deadline),
        ..job(a, Class::Call, work, payload)
    };
    queue.push(due(100, 1_000, 1));
    queue.push(due(950, 1_000, 2));
    queue.push(due(10, 5_000, 3));
    let mut late = |at| -> Vec<u32> {
        let jobs = queue.expire(Micros::from_millis(at));
        jobs.into_iter().map(|j| j.payload).collect()
    };
    assert_eq!(late(50), []);
    assert_eq!(late(51), [2]);
    assert_eq!(late(901), [1]);
    assert_eq!(queue.wake(), Some(Micros::from_millis(4_990) + Micros(1)));
    assert_eq!(order(&mut queue), [3]);
}

/// What a probe is told must agree with what then happens, or entries choose by a fiction.
#[test]
fn the_wait_told_is_the_work_that_goes_before() {
    struct Case {
        name: &'static str,
        class: Class,
        team: usize,
        ahead: u64,
    }
    let teams: [TeamKey; 3] = teams();
    let mut queue = Queue::new(Config::default());
    for _ in 0..10 {
        queue.push(job(teams[0], Class::Call, 100, 0));
        queue.push(job(teams[0], Class::Normal, 100, 0));
    }
    let cases = [
        Case {
            name: "same team",
            class: Class::Call,
            team: 0,
            ahead: 555,
        },
        Case {
            name: "other team",
            class: Class::Call,
            team: 1,
            ahead: 111,
        },
        Case {
            name: "normal",
            class: Class::Normal,
            team: 1,
            ahead: 1_100,
        },
        Case {
            name: "batch",
            class: Class::Batch,
            team: 2,
            ahead: 2_000,
        },
    ];
    for case in cases {
        let work = Micros::from_millis(100);
        let ahead = queue.ahead(case.class, teams[case.team], 1, work);
        assert_eq!(ahead.as_millis(), case.ahead, "{}", case.name);
    }
}

#[test]
fn a_cancelled_request_leaves_no_trace() {
    let [a] = teams();
    let mut queue = Queue::new(Config::default());
    let key = queue.push(job(a, Class::Call, 10, 1));
    queue.push(job(a, Class::Call, 10, 2));
    assert_eq!(queue.remove(key).map(|j| j.payload), Some(1));
    assert!(queue.remove(key).is_none());
    assert_eq!(
        (queue.len_of(Class::Call), queue.work()),
        (1, Micros::from_millis(10))
    );
    assert_eq!(order(&mut queue), [2]);
}
