//! Runs a scenario on the test cluster: injects each fault at its time, then waits until all views agree or the
//! time-out ends, and compares the result with what the scenario expects.

use super::holders::{Holder, Receiver};
use super::judge::{Finding, Verdict, judge};
use super::scenario::{Folder, Scenario, Trouble, What};
use super::test_cluster::{Program, Records, Start, TestCluster, wait};
use crate::sockets::NodeCommand;
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;

/// Scheduling delay of the test cluster itself, 99th percentile in us, above which a run is void: it says nothing of
/// the programs.
pub const LATE: u64 = 100_000;
/// Time-out for all processes to agree at the start.
const JOIN_TIMEOUT: Duration = Duration::from_secs(60);

/// Result of one run of a scenario.
pub struct Played {
    pub records: Records,
    pub verdict: Verdict,
    /// Time from the end of the last fault until all views agreed, ms; none if they did not.
    pub agreed_after: Option<f64>,
    pub suspicions: u64,
    /// How the duty was held, if the scenario has one.
    pub duty: Option<Held>,
    pub void: bool,
}

/// How a duty was held.
pub struct Held {
    pub acts: u64,
    /// Number of tokens under which the duty was held.
    pub turns: usize,
    /// Intervals in which no holder acted, ms.
    pub gaps: Vec<f64>,
}

/// Runs a scenario once.
///
/// # Errors
/// A process could not be started, or the processes did not agree at the start.
pub async fn play(scenario: &Scenario, seed: u64, command: &NodeCommand) -> Result<Played, String> {
    let program = Program {
        command: command.clone(),
        count: scenario.processes,
        zones: scenario.zones,
        cluster: scenario.cluster.clone(),
    };
    let test_cluster = TestCluster::new(program, seed)?;
    test_cluster.start_all().await?;
    if !test_cluster.until(JOIN_TIMEOUT, TestCluster::agreed).await {
        test_cluster.end().await;
        return Err("the processes did not come together".into());
    }
    for who in 0..test_cluster.count() {
        test_cluster.copy_folder(who)?;
    }
    let receiver = Rc::new(RefCell::new(Receiver::default()));
    let holders: Vec<_> = scenario
        .holders
        .iter()
        .map(|who| Holder::start(&test_cluster, &scenario.duty, *who, &receiver, true))
        .collect();
    test_cluster.note("all agree: troubles begin");
    let began = test_cluster.now();
    let troubles: Vec<_> = scenario
        .troubles
        .iter()
        .map(|trouble| spawn_local(inject(test_cluster.clone(), trouble.clone(), began)))
        .collect();
    for trouble in troubles {
        trouble.await.map_err(|error| error.to_string())??;
    }
    let over = test_cluster.now();
    let agreed = test_cluster.until(Duration::from_secs_f64(scenario.patience_s), TestCluster::agreed).await;
    let agreed_after = agreed.then(|| test_cluster.now() - over);
    let held = duty(scenario, &test_cluster, &receiver, over).await;
    holders.iter().for_each(|holder| holder.end());
    let count = |view: super::test_cluster::View| view.counts.get("suspicions").copied().unwrap_or(0);
    let suspicions = (0..test_cluster.count()).filter_map(|who| test_cluster.view(who)).map(count).sum();
    let records = test_cluster.end().await;
    let mut verdict = judge(&records, scenario.expect.cuts_excuse);
    expected(scenario, agreed_after, suspicions, &mut verdict);
    let (held, broken) = held;
    verdict.broken.extend(broken.into_iter().map(|what| Finding { at: f64::NAN, what }));
    let void = verdict.late_p99_us > LATE;
    Ok(Played { records, verdict, agreed_after, suspicions, duty: held, void })
}

/// How the duty was held, and the rules that were broken: two holders at one time, one token for two holders, or no
/// holder after the last fault.
async fn duty(
    scenario: &Scenario,
    test_cluster: &Rc<TestCluster>,
    receiver: &RefCell<Receiver>,
    over: f64,
) -> (Option<Held>, Vec<String>) {
    if scenario.holders.is_empty() {
        return (None, Vec::new());
    }
    let patience = Duration::from_secs_f64(scenario.patience_s);
    let acts = |_: &TestCluster| receiver.borrow().last.is_some_and(|act| act.at > over);
    let acted = test_cluster.until(patience, acts).await;
    let receiver = receiver.borrow();
    let mut broken = receiver.broken.clone();
    if receiver.refused > 0 {
        broken.push(format!("{} acts came under an old token: two held the duty at once", receiver.refused));
    }
    if !acted {
        broken.push(format!("nobody acts {} s after the last trouble", scenario.patience_s));
    }
    let held = Held { acts: receiver.acts, turns: receiver.turns.len(), gaps: receiver.gaps.clone() };
    (Some(held), broken)
}

/// Checks the scenario's own expectations, in addition to the rules that always hold.
fn expected(scenario: &Scenario, agreed_after: Option<f64>, suspicions: u64, verdict: &mut Verdict) {
    let expect = &scenario.expect;
    let mut report = |what: String| verdict.broken.push(Finding { at: f64::NAN, what });
    match (agreed_after, expect.agreed_within_s) {
        (None, _) => report(format!("not all agreed {} s after the last trouble", scenario.patience_s)),
        (Some(after), Some(within)) if after > within * 1000.0 => {
            report(format!("all agreed {:.1} s after the last trouble, not within {within}", after / 1000.0));
        }
        _ => {}
    }
    if let Some(most) = expect.suspicions_most.filter(|most| suspicions > *most) {
        report(format!("{suspicions} suspicions, not at most {most}"));
    }
    let slow: Vec<String> = verdict
        .found
        .iter()
        .filter_map(|(name, times)| {
            let last = times.iter().copied().fold(0.0, f64::max) / 1000.0;
            let within = expect.found_within_s.filter(|within| last > *within)?;
            Some(format!("{name} was found by all after {last:.1} s, not within {within}"))
        })
        .collect();
    slow.into_iter().for_each(report);
}

async fn inject(test_cluster: Rc<TestCluster>, trouble: Trouble, began: f64) -> Result<(), String> {
    wait(began + trouble.at_s * 1000.0 - test_cluster.now()).await;
    let lasts = trouble.for_s.map(|s| s * 1000.0);
    if let Some(weather) = trouble.weather() {
        set_links(&test_cluster, &trouble, |way| *way = weather);
        wait(lasts.unwrap_or(0.0)).await;
        set_links(&test_cluster, &trouble, |way| *way = super::relay::Weather::FINE);
        return Ok(());
    }
    match trouble.what {
        What::Reset => test_cluster.reset(&trouble.from, &trouble.to),
        What::Stop => {
            trouble.who.iter().for_each(|who| test_cluster.stop(*who));
            wait(lasts.unwrap_or(0.0)).await;
            trouble.who.iter().for_each(|who| test_cluster.go_on(*who));
        }
        What::Roll => {
            for (step, who) in trouble.who.iter().enumerate() {
                wait(began + trouble.at_s * 1000.0 + step as f64 * lasts.unwrap_or(0.0) - test_cluster.now())
                    .await;
                test_cluster.terminate(*who).await;
                test_cluster.start(*who, Start::Kept).await?;
            }
        }
        _ => {
            for who in &trouble.who {
                if trouble.what == What::Kill {
                    test_cluster.kill(*who).await
                } else {
                    test_cluster.terminate(*who).await
                }
            }
            let Some(lasts) = lasts else { return Ok(()) };
            wait(lasts).await;
            let with = match trouble.folder {
                Folder::Kept => Start::Kept,
                Folder::Older => Start::Older,
                Folder::Empty => Start::Empty,
            };
            for who in &trouble.who {
                test_cluster.start(*who, with).await?;
            }
        }
    }
    Ok(())
}

fn set_links(test_cluster: &TestCluster, trouble: &Trouble, change: impl Fn(&mut super::relay::Weather)) {
    test_cluster.weather(&trouble.from, &trouble.to, &change);
    if trouble.both {
        test_cluster.weather(&trouble.to, &trouble.from, &change);
    }
}
