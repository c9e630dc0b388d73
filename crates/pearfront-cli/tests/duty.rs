//! `pearfront duty` with three node processes: commands append the token that they were given to one file. A token below an
//! earlier one in it would be a command that went on after the next one had begun.

use pearfront_emulator::processes::test_cluster::wait;
use pearfront_emulator::processes::trial::{self, event};
use pearfront_emulator::processes::{Start, TestCluster};
use serde_json::json;
use std::path::{Path, PathBuf};
use std::process::Stdio;
use std::rc::Rc;
use tokio::process::{Child, Command};

const PEARFRONT: &str = env!("CARGO_BIN_EXE_pearfront");

/// Path of the node program, in the folder of the command line.
fn node() -> String {
    let node = Path::new(PEARFRONT).with_file_name("pearfront-node");
    assert!(node.exists(), "the node program is not built: the tests of the whole workspace build it");
    node.display().to_string()
}

fn run_script<F: Future<Output = Result<(), String>>>(
    what: &str,
    script: impl Fn(Rc<TestCluster>, PathBuf) -> F,
) {
    let cluster = json!({"voters": ["n0", "n1", "n2"], "duties": {"export": {"lease_ms": 4000}}});
    let program = trial::program(&node(), &format!("command-{what}"), 3, cluster);
    let record = program.command.folder.join("record");
    let (done, verdict) =
        trial::play(&program, true, |test_cluster| script(test_cluster, record.clone())).unwrap();
    assert_eq!((done, verdict.broken), (Ok(()), vec![]), "logs in {}", program.command.folder.display());
    drop(std::fs::remove_dir_all(&program.command.folder));
}

/// Starts a command that runs under the duty, through that node.
fn duty(test_cluster: &TestCluster, node: usize, options: &[&str], script: &str, record: &Path) -> Child {
    let node = test_cluster.operators(node).to_string();
    Command::new(PEARFRONT)
        .args(["duty", "export", "--node", &node])
        .args(options)
        .args(["--", "/bin/sh", "-c", script])
        .env("RECORD", record)
        .stdin(Stdio::null())
        .stderr(Stdio::null())
        .spawn()
        .expect("it can be started")
}

async fn code(mut child: Child) -> Option<i32> {
    child.wait().await.ok().and_then(|status| status.code())
}

fn tokens(record: &Path) -> Vec<u64> {
    let text = std::fs::read_to_string(record).unwrap_or_default();
    text.lines().filter_map(|line| line.parse().ok()).collect()
}

fn check_order(record: &Path) -> Result<(), String> {
    let tokens = tokens(record);
    if tokens.is_sorted() { Ok(()) } else { Err(format!("out of order: {tokens:?}")) }
}

/// A command that appends its token all the time, and so does its child; both ignore TERM.
const STUBBORN: &str = "trap '' TERM; (trap '' TERM; while :; do echo $PEARFRONT_TOKEN >> $RECORD; sleep 0.02; done) & \
                        while :; do echo $PEARFRONT_TOKEN >> $RECORD; sleep 0.02; done";
const ONCE: &str = "echo $PEARFRONT_TOKEN >> $RECORD";

async fn wait_for_token(test_cluster: &Rc<TestCluster>, record: &Path, above: u64) -> Result<u64, String> {
    event(test_cluster, &format!("a token above {above}"), |_| {
        tokens(record).last().is_some_and(|token| *token > above)
    })
    .await?;
    Ok(tokens(record).last().copied().unwrap_or(0))
}

fn expect_code(what: &str, code: Option<i32>, expected: i32) -> Result<(), String> {
    if code == Some(expected) { Ok(()) } else { Err(format!("{what}: {code:?}, not {expected}")) }
}

#[test]
fn a_command_runs_once_per_period_and_its_exit_code_is_passed_on() {
    run_script("once", async |test_cluster, record| {
        expect_code("runs", code(duty(&test_cluster, 0, &["--once-per", "1h"], ONCE, &record)).await, 0)?;
        // Another node knows of the run, too.
        expect_code("again", code(duty(&test_cluster, 1, &["--once-per", "1h"], ONCE, &record)).await, 121)?;
        expect_code("whenever", code(duty(&test_cluster, 2, &[], "exit 7", &record)).await, 7)?;
        expect_code("no program", code(duty(&test_cluster, 2, &[], "exec /no/such", &record)).await, 127)?;
        if tokens(&record).len() == 1 { check_order(&record) } else { Err("it ran twice".into()) }
    });
}

#[test]
fn a_second_command_is_refused_or_waits_for_the_first() {
    run_script("second", async |test_cluster, record| {
        let first = duty(&test_cluster, 0, &[], &format!("{ONCE}; sleep 3; {ONCE}"), &record);
        let token = wait_for_token(&test_cluster, &record, 0).await?;
        expect_code("held", code(duty(&test_cluster, 1, &[], ONCE, &record)).await, 120)?;
        let second = duty(&test_cluster, 1, &["--wait"], ONCE, &record);
        expect_code("first", code(first).await, 0)?;
        expect_code("second", code(second).await, 0)?;
        wait_for_token(&test_cluster, &record, token).await?;
        check_order(&record)
    });
}

// The node of the command is killed: the command and its children, which ignore TERM, have to end before the lease goes to
// another holder.
#[test]
fn a_command_that_ignores_term_is_gone_before_another_holds_its_duty() {
    run_script("stubborn", async |test_cluster, record| {
        let first = duty(&test_cluster, 0, &[], STUBBORN, &record);
        let token = wait_for_token(&test_cluster, &record, 0).await?;
        let second = duty(&test_cluster, 1, &["--wait"], STUBBORN, &record);
        wait(500.0).await;
        test_cluster.kill(0).await;
        let second_token = wait_for_token(&test_cluster, &record, token).await?;
        expect_code("first", code(first).await, 123)?;
        check_order(&record)?;
        // The process that holds the duty is killed: the command has to end with it.
        test_cluster.start(0, Start::Kept).await?;
        event(&test_cluster, "all agree again", TestCluster::agreed).await?;
        let mut second = second;
        second.kill().await.map_err(|error| error.to_string())?;
        let third = duty(&test_cluster, 0, &["--wait"], ONCE, &record);
        expect_code("third", code(third).await, 0)?;
        wait_for_token(&test_cluster, &record, second_token).await?;
        check_order(&record)
    });
}

#[test]
fn a_holder_that_has_to_give_the_duty_up_ends_its_command_and_another_continues() {
    run_script("move", async |test_cluster, record| {
        let first = duty(&test_cluster, 0, &["--grace", "500ms"], STUBBORN, &record);
        let token = wait_for_token(&test_cluster, &record, 0).await?;
        let mut second = duty(&test_cluster, 1, &["--wait"], STUBBORN, &record);
        wait(1500.0).await;
        let node = test_cluster.operators(2).to_string();
        let order = ["duties", "move", "export", "--node", &node, "--to", "n1"];
        let moved = Command::new(PEARFRONT).args(order).output().await.map_err(|error| error.to_string())?;
        if !moved.status.success() {
            return Err(format!("not moved: {moved:?}"));
        }
        wait_for_token(&test_cluster, &record, token).await?;
        expect_code("first", code(first).await, 123)?;
        second.kill().await.map_err(|error| error.to_string())?;
        check_order(&record)
    });
}
