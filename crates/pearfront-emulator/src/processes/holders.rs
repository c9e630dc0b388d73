//! Duty holders that run beside the node processes, as an operators' command would. A holder requests the lease from its
//! node, checks the clock before each act, and acts on one receiver that records the order of acts and the highest fencing
//! token. Tests judge that record and not what any process reports. Used by the test cluster's scenarios and tests.

use super::test_cluster::{TestCluster, call};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

/// Interval between two acts, and between two lease renewals while the holder has the lease.
const ACT_INTERVAL: Duration = Duration::from_millis(5);
const RENEW_INTERVAL: Duration = Duration::from_millis(300);
/// Shortest interval without an act, ms, that is reported: the acts of one holder are a fraction of it apart.
const REPORTED_GAP_MS: f64 = 100.0;
/// Pause after a call that failed or did not grant the lease.
const RETRY_PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Deserialize)]
struct Held {
    token: u64,
    left_ms: f64,
    leave: bool,
}

#[derive(Debug, Deserialize)]
struct HoldAnswer {
    held: Option<Held>,
}

/// One act as the receiver got it: time in ms, holder and fencing token.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Act {
    pub at: f64,
    pub who: usize,
    pub token: u64,
}

/// Receives the acts of all holders and refuses those with an outdated fencing token.
#[derive(Debug, Default)]
pub struct Receiver {
    /// The first act under each new token.
    pub turns: Vec<Act>,
    /// The last act.
    pub last: Option<Act>,
    pub acts: u64,
    /// Number of acts whose token was below the highest one received.
    pub refused: u64,
    /// Intervals without any act, ms, that were longer than `REPORTED_GAP_MS`.
    pub gaps: Vec<f64>,
    highest: u64,
    owners: BTreeMap<u64, usize>,
    pub broken: Vec<String>,
}

impl Receiver {
    /// Records one act, or returns false if its token is outdated.
    pub fn take(&mut self, act: Act) -> bool {
        if act.token < self.highest {
            self.refused += 1;
            return false;
        }
        if *self.owners.entry(act.token).or_insert(act.who) != act.who {
            self.broken.push(format!("token {} is n{}'s and another's", act.token, act.who));
        }
        if self.last.is_none_or(|last| last.token != act.token) {
            self.turns.push(act);
        }
        if let Some(last) = self.last.filter(|last| act.at - last.at > REPORTED_GAP_MS) {
            self.gaps.push(act.at - last.at);
        }
        self.highest = act.token;
        self.last = Some(act);
        self.acts += 1;
        true
    }

    /// Time from `at` to the first act under a new token, ms.
    pub fn gap_after(&self, at: f64) -> Option<f64> {
        self.turns.iter().find(|act| act.at >= at).map(|act| act.at - at)
    }
}

/// A client that requests a duty's lease through one node.
pub struct Holder {
    pub who: usize,
    duty: String,
    test_cluster: Rc<TestCluster>,
    receiver: Rc<RefCell<Receiver>>,
    /// Token and end of the lease, ms from the test cluster's start.
    lease: Cell<Option<(u64, f64)>>,
    /// Delay, ms, between the next clock check and the act that follows it.
    act_delay: Cell<f64>,
    done: Cell<bool>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Whether it checks the clock before acting. Holders that do not exist to test the judge.
    checks_clock: bool,
}

impl Holder {
    pub fn start(
        test_cluster: &Rc<TestCluster>,
        duty: &str,
        who: usize,
        receiver: &Rc<RefCell<Receiver>>,
        checks_clock: bool,
    ) -> Rc<Self> {
        let holder = Rc::new(Self {
            who,
            duty: duty.into(),
            test_cluster: test_cluster.clone(),
            receiver: receiver.clone(),
            lease: Cell::new(None),
            act_delay: Cell::new(0.0),
            done: Cell::new(false),
            tasks: RefCell::default(),
            checks_clock,
        });
        let tasks = [spawn_local(holder.clone().run_requests()), spawn_local(holder.clone().run_acts())];
        holder.tasks.replace(tasks.iter().map(|task| task.abort_handle()).collect());
        holder
    }

    /// Ends abruptly, without giving the lease up.
    pub fn end(&self) {
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
        self.lease.set(None);
    }

    /// Gives the lease up at once and stops requesting it.
    pub async fn give_up(&self) {
        self.done.set(true);
        self.lease.set(None);
        let path = format!("/_duties/{}/give-up?client=c{}", self.duty, self.who);
        call(self.test_cluster.operators(self.who), "PUT", &path).await;
    }

    /// Delays the next act by `ms` after its clock check.
    pub fn be_late(&self, ms: f64) {
        self.act_delay.set(ms);
    }

    pub fn may_act(&self) -> Option<u64> {
        let now = self.test_cluster.now();
        self.lease.get().filter(|(_, until)| now < *until).map(|(token, _)| token)
    }

    async fn run_requests(self: Rc<Self>) {
        let path = format!("/_duties/{}/hold?client=c{}", self.duty, self.who);
        while !self.done.get() {
            let before = self.test_cluster.now();
            let body = call(self.test_cluster.operators(self.who), "PUT", &path).await;
            let answer = body.and_then(|body| serde_json::from_str::<HoldAnswer>(&body).ok());
            let Some(HoldAnswer { held }) = answer else {
                sleep(RETRY_PAUSE).await;
                continue;
            };
            match held {
                Some(held) if held.leave => {
                    self.lease.set(None);
                    self.give_up().await;
                    self.done.set(false);
                }
                // The lease counts from before the request was sent, so that the answer's delay can't extend it.
                Some(held) if !self.done.get() => self.lease.set(Some((held.token, before + held.left_ms))),
                _ => {
                    if self.checks_clock {
                        self.lease.set(None);
                    }
                }
            }
            sleep(if self.lease.get().is_some() { RENEW_INTERVAL } else { RETRY_PAUSE }).await;
        }
    }

    async fn run_acts(self: Rc<Self>) {
        loop {
            sleep(ACT_INTERVAL).await;
            let now = self.test_cluster.now();
            let Some((token, until)) = self.lease.get() else { continue };
            if self.checks_clock && now >= until {
                continue;
            }
            let late = self.act_delay.replace(0.0);
            if late > 0.0 {
                sleep(Duration::from_secs_f64(late / 1e3)).await;
            }
            self.receiver.borrow_mut().take(Act { at: self.test_cluster.now(), who: self.who, token });
        }
    }
}

#[cfg(test)]
mod tests;
