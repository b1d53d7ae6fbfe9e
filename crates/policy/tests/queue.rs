//! Order, expiry and review of waiting requests.

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
fn order_is_class_then_team_then_length() {
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
            name: "a call overtakes all other classes",
            jobs: vec![
                job(a, Class::Batch, 1, 1),
                job(a, Class::Normal, 1, 2),
                job(a, Class::Call, 1, 3),
            ],
            order: vec![3, 2, 1],
        },
        Case {
            name: "a team's many requests don't delay another team's single one",
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
            name: "a long request is overtaken only for a limited time",
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

/// Calls alone could fill the engine for hours. Without assured shares, the other classes would get
/// nothing in that time.
#[test]
fn calls_dont_starve_other_classes() {
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

/// A request that can no longer meet its deadline would take engine time from others for an answer
/// that its caller doesn't receive.
#[test]
fn requests_past_their_latest_start_are_expired_at_once() {
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
    assert_eq!(
        queue.next_expiry(),
        Some(Micros::from_millis(4_990) + Micros(1))
    );
    assert_eq!(order(&mut queue), [3]);
}

/// The wait estimated on arrival can turn out too short. Without a review, the caller would be
/// refused only at its deadline, when it can't try another replica.
#[test]
fn requests_that_will_not_start_in_time_are_returned_early() {
    struct Case {
        name: &'static str,
        /// Index of the team, work in ms, and number of requests.
        jobs: Vec<(usize, u64, u32)>,
        /// How many times slower than expected the engine is.
        slow: u64,
        /// Current work of each request in ms, if it differs from the expected work.
        current_work: Option<u64>,
        kept: [usize; 2],
    }
    let teams: [TeamKey; 2] = teams();
    let cases = [
        Case {
            name: "in time",
            jobs: vec![(0, 100, 50)],
            slow: 1,
            current_work: None,
            kept: [50, 0],
        },
        Case {
            name: "burst: as many as can be served stay",
            jobs: vec![(0, 100, 300)],
            slow: 1,
            current_work: None,
            kept: [69, 0],
        },
        Case {
            name: "hot caller: another team's few requests overtake and stay",
            jobs: vec![(0, 100, 300), (1, 100, 10)],
            slow: 1,
            current_work: None,
            kept: [34, 10],
        },
        Case {
            name: "slow engine",
            jobs: vec![(0, 100, 50)],
            slow: 5,
            current_work: None,
            kept: [14, 0],
        },
        Case {
            name: "prefix evicted: the request itself takes too long",
            jobs: vec![(0, 100, 5)],
            slow: 1,
            current_work: Some(9_500),
            kept: [0, 0],
        },
    ];
    let now = Micros::from_secs(1);
    for case in cases {
        let mut queue = Queue::new(Config::default());
        for (team, work, count) in case.jobs {
            for payload in 0..count {
                queue.push(Job {
                    deadline: Micros::from_secs(10),
                    ..job(teams[team], Class::Call, work, payload)
                });
            }
        }
        let wait = |work: Micros| Micros(work.0 * case.slow);
        let current_work = |job: &Job<u32>| case.current_work.map_or(job.work, Micros::from_millis);
        // Each review examines 16 requests; by 1.39 s all have been examined. With one team, the 69th
        // then has 6.8 s before it, a quarter more is 8.5 s, and 8.61 s are left. Beside another team,
        // as much again goes first, up to four times what that team has waiting, so that the 34th is
        // the last.
        for i in 0..40 {
            let most = queue.len().min(16);
            let returned = queue.review(
                now + Micros::from_millis(10 * i) - Micros(1),
                wait,
                current_work,
            );
            assert!(returned.len() <= most, "{}: {}", case.name, returned.len());
            let repeated = queue.review(now + Micros::from_millis(10 * i), wait, current_work);
            assert!(
                repeated.is_empty(),
                "{}: a second review follows too soon",
                case.name
            );
        }
        let kept = queue.drain();
        let of = |team| kept.iter().filter(|j| j.team == teams[team]).count();
        assert_eq!([of(0), of(1)], case.kept, "{}", case.name);
    }
}

/// If the wait reported to a probe differs from the actual one, entries choose replicas by wrong
/// figures.
#[test]
fn estimated_wait_is_the_work_that_goes_before() {
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
        let ahead = queue.work_ahead(case.class, teams[case.team], 1, work);
        assert_eq!(ahead.as_millis(), case.ahead, "{}", case.name);
    }
}

#[test]
fn cancelled_request_leaves_no_trace() {
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
