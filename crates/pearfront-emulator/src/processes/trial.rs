//! Runs one test on the test cluster: starts processes, waits until their views agree, runs a script of faults and judges
//! the records. A run on a machine that was late is void and repeated. Used by the tests of the process cluster.

use super::judge::{Verdict, judge};
use super::player::LATE;
use super::test_cluster::{Program, TestCluster, run};
use crate::sockets::NodeCommand;
use crate::void_plays::{PLAYS, Play, in_time};
use serde_json::Value;
use std::rc::Rc;
use std::time::Duration;

/// Time-out for an awaited event: far longer than it takes on the slowest machine.
pub const PATIENCE: Duration = Duration::from_secs(60);

/// Describes `count` processes of the program at `path`, in a folder named after the test. `cluster` overrides that key
/// in their configuration files.
pub fn program(path: &str, what: &str, count: usize, cluster: Value) -> Program {
    let folder = std::env::temp_dir().join(format!("pearfront-cluster-{what}-{}", std::process::id()));
    // Files left by an earlier run of this test must not be reused.
    drop(std::fs::remove_dir_all(&folder));
    let run = format!("exec '{path}'");
    Program { command: NodeCommand { run, folder }, count, zones: 3, cluster }
}

/// Result of a run that was in time: the script's own result and the judge's verdict.
pub type Trial = (Result<(), String>, Verdict);

/// Runs `script` on processes whose views agree; repeats it until a run was in time.
///
/// # Errors
/// A process could not be started, or no run was in time.
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
/// The event did not occur within `PATIENCE`.
pub async fn event(
    test_cluster: &Rc<TestCluster>,
    what: &str,
    event: impl Fn(&TestCluster) -> bool,
) -> Result<(), String> {
    if test_cluster.until(PATIENCE, event).await { Ok(()) } else { Err(format!("not seen: {what}")) }
}
