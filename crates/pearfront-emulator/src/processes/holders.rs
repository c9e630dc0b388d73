//! Those who hold duties beside the programs, as a command of the operators' would: they ask their node, look at the
//! clock before each act, and act at one place that keeps the order in which acts came and the highest token. What came
//! there is the record that is judged; no program's opinion is.

use super::test_cluster::{TestCluster, call};
use serde::Deserialize;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::{AbortHandle, spawn_local};
use tokio::time::sleep;

/// Time between two acts, and between two calls while it holds.
const ACT: Duration = Duration::from_millis(5);
const AGAIN: Duration = Duration::from_millis(300);
/// Time without an act, ms, that is told: one holder's own acts are a fraction of it apart.
const GAP: f64 = 100.0;
/// Pause after a call that came to nothing.
const PAUSE: Duration = Duration::from_millis(50);

#[derive(Debug, Deserialize)]
struct Held {
    token: u64,
    left_ms: f64,
    leave: bool,
}

#[derive(Debug, Deserialize)]
struct Told {
    held: Option<Held>,
}

/// One act as it came.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Act {
    pub at: f64,
    pub who: usize,
    pub token: u64,
}

/// Where acts go.
#[derive(Debug, Default)]
pub struct Receiver {
    /// Only where another came, or another token.
    pub turns: Vec<Act>,
    /// The last act.
    pub last: Option<Act>,
    pub acts: u64,
    /// Acts with a token below one that had come.
    pub refused: u64,
    /// Times in which nothing came, ms, where they were longer than `GAP`.
    pub gaps: Vec<f64>,
    highest: u64,
    owners: BTreeMap<u64, usize>,
    pub broken: Vec<String>,
}

impl Receiver {
    /// Takes one act, or refuses it.
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
        if let Some(last) = self.last.filter(|last| act.at - last.at > GAP) {
            self.gaps.push(act.at - last.at);
        }
        self.highest = act.token;
        self.last = Some(act);
        self.acts += 1;
        true
    }

    /// Longest time without any act between two instants, ms.
    pub fn gap_after(&self, at: f64) -> Option<f64> {
        self.turns.iter().find(|act| act.at >= at).map(|act| act.at - at)
    }
}

/// One that wants a duty through one node.
pub struct Holder {
    pub who: usize,
    duty: String,
    test_cluster: Rc<TestCluster>,
    receiver: Rc<RefCell<Receiver>>,
    /// Token, and until when it may act, ms from the test cluster's start.
    may: Cell<Option<(u64, f64)>>,
    /// It stands still for so long between its next look and the act.
    late: Cell<f64>,
    done: Cell<bool>,
    tasks: RefCell<Vec<AbortHandle>>,
    /// Does it look at the clock? One that does not is there to check the judge.
    looks: bool,
}

impl Holder {
    pub fn start(
        test_cluster: &Rc<TestCluster>,
        duty: &str,
        who: usize,
        receiver: &Rc<RefCell<Receiver>>,
        looks: bool,
    ) -> Rc<Self> {
        let holder = Rc::new(Self {
            who,
            duty: duty.into(),
            test_cluster: test_cluster.clone(),
            receiver: receiver.clone(),
            may: Cell::new(None),
            late: Cell::new(0.0),
            done: Cell::new(false),
            tasks: RefCell::default(),
            looks,
        });
        let tasks = [spawn_local(holder.clone().asks()), spawn_local(holder.clone().acts())];
        holder.tasks.replace(tasks.iter().map(|task| task.abort_handle()).collect());
        holder
    }

    /// Ends without a word.
    pub fn end(&self) {
        self.tasks.borrow().iter().for_each(AbortHandle::abort);
        self.may.set(None);
    }

    /// Gives the duty up at once, and wants it no more.
    pub async fn give_up(&self) {
        self.done.set(true);
        self.may.set(None);
        let path = format!("/_duties/{}/give-up?client=c{}", self.duty, self.who);
        call(self.test_cluster.operators(self.who), "PUT", &path).await;
    }

    /// Stands still for so long between the next look at the clock and the act.
    pub fn be_late(&self, ms: f64) {
        self.late.set(ms);
    }

    pub fn may_act(&self) -> Option<u64> {
        let now = self.test_cluster.now();
        self.may.get().filter(|(_, until)| now < *until).map(|(token, _)| token)
    }

    async fn asks(self: Rc<Self>) {
        let path = format!("/_duties/{}/hold?client=c{}", self.duty, self.who);
        while !self.done.get() {
            let before = self.test_cluster.now();
            let body = call(self.test_cluster.operators(self.who), "PUT", &path).await;
            let told = body.and_then(|body| serde_json::from_str::<Told>(&body).ok());
            let Some(Told { held }) = told else {
                sleep(PAUSE).await;
                continue;
            };
            match held {
                Some(held) if held.leave => {
                    self.may.set(None);
                    self.give_up().await;
                    self.done.set(false);
                }
                // Counted from before it asked.
                Some(held) if !self.done.get() => self.may.set(Some((held.token, before + held.left_ms))),
                _ => {
                    if self.looks {
                        self.may.set(None);
                    }
                }
            }
            sleep(if self.may.get().is_some() { AGAIN } else { PAUSE }).await;
        }
    }

    async fn acts(self: Rc<Self>) {
        loop {
            sleep(ACT).await;
            let now = self.test_cluster.now();
            let Some((token, until)) = self.may.get() else { continue };
            if self.looks && now >= until {
                continue;
            }
            let late = self.late.replace(0.0);
            if late > 0.0 {
                sleep(Duration::from_secs_f64(late / 1e3)).await;
            }
            self.receiver.borrow_mut().take(Act { at: self.test_cluster.now(), who: self.who, token });
        }
    }
}

#[cfg(test)]
mod tests;
