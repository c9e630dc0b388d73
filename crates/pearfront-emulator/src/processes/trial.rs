//! One play of a test on the test cluster: processes that agree, a script that does something to them, a judge. A play
//! on a machine that was late is void and played again.

use super::judge::{Verdict, judge};
use super::player::LATE;
use super::test_cluster::{Program, TestCluster, run};
use crate::sockets::NodeCommand;
use crate::void_plays::{PLAYS, Play, in_time};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;

/// How long an event is waited for: far longer than it takes on the slowest machine.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// So many programs of that path, in a folder named after the test; `cluster` is put over their files' key.
pub fn program(path: &str, what: &str, count: usize, cluster: Value) -> Program {
    let folder = std::env::temp_dir().join(format!("pearfront-cluster-{what}-{}", std::process::id()));
    // What an earlier play of this test left is not this one's.
    drop(std::fs::remove_dir_all(&folder));
    let run = format!("exec '{path}'");
    Program { command: NodeCommand { run, folder }, count, zones: 3, cluster }
}

/// What came of it, in time: the script's own word, and the judge's.
pub type Trial = (Result<(), String>, Verdict);

/// Plays what `script` does to processes that agree, until the machine was in time for it.
///
/// # Errors
/// What could not be started, or that no play was in time.
pub fn play<F: Future<Output = Result<(), String>>>(
    program: &Program,
    cuts_excuse: bool,
    script: impl Fn(Rc<TestCluster>) -> F,
) -> Result<Trial, String> {
    in_time(PLAYS, |number| {
        drop(std::fs::remove_dir_all(&program.command.folder));
        run(async {
            let test_cluster = TestCluster::new(program.clone(), number as u64)?;
            test_cluster.start_all().await?;
            let joined = test_cluster.until(PATIENCE, TestCluster::agreed).await;
            let done = if joined {
                script(test_cluster.clone()).await
            } else {
                Err("they did not come together".into())
            };
            let records = test_cluster.end().await;
            let verdict = judge(&records, cuts_excuse);
            if verdict.late_p99_us > LATE {
                return Ok(Play::Void(format!("{} us late", verdict.late_p99_us)));
            }
            Ok(Play::InTime((done, verdict)))
        })
    })
}

/// Waits for an event.
///
/// # Errors
/// It did not come in a generous time.
pub async fn event(
    test_cluster: &Rc<TestCluster>,
    what: &str,
    event: impl Fn(&TestCluster) -> bool,
) -> Result<(), String> {
    if test_cluster.until(PATIENCE, event).await { Ok(()) } else { Err(format!("not seen: {what}")) }
}
