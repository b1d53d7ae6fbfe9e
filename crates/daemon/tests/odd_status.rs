//! Services behind the product's own interface whose answers have a status that isn't final.

mod common;

use std::io;
use std::time::Duration;

use common::{quick, Fleet};
use standin::scripted::{self, Received};
use tokio::io::AsyncWriteExt;
use tokio::runtime::Runtime;

async fn answer_with(status: &str, mut received: Received) -> io::Result<()> {
    let head = received.head(&format!("{status} Odd"));
    let answer = format!("{head}content-length: 4\r\n\r\npart");
    received.tcp.write_all(answer.as_bytes()).await?;
    // A connection that closes at once may be the reason why the answer isn't passed on.
    tokio::time::sleep(Duration::from_millis(500)).await;
    Ok(())
}

/// Guards against statuses outside 200 to 599 that callers get as the answer, or as a promise that nothing ran.
#[test]
fn status_that_is_not_final_is_no_answer() {
    let runtime = Runtime::new().expect("a runtime");
    for status in ["000", "099", "101", "199", "600", "700", "999", "abc"] {
        let mut fleet = Fleet::start(1, 0, &quick());
        let at = fleet.service_at.at;
        fleet.service_at.kill();
        let answer = move |received| answer_with(status, received);
        let started = runtime.block_on(scripted::start_at(at, None, answer));
        let (_, _tasks) = started.expect("a service");
        let answer = fleet.caller(0).post("/quota/1", "body");
        assert_eq!(answer.status, 502, "{status}: {}", answer.text());
        assert_ne!(answer.header("x-outcome"), Some("not-run"), "{status}");
    }
}
