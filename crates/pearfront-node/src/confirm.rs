//! What happens while the list is too old to go by: servers are probed, those that answer well go on by their own word, and
//! the module is told of the others as of ones that drain, until the list or they themselves say otherwise.

use crate::clock::{Clock, ms};
use crate::discovery::{self, Discovery};
use crate::dispatcher::EventQueue;
use crate::guard::Guard;
use crate::logger::Limited;
use crate::probe::Prober;
use crate::terms::InForce;
use pearfront::chance::Chance;
use pearfront::interface::{Address, Listing, Standing};
use rand::seq::SliceRandom;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How often leases are looked at: a share of how long a server's word lasts, ms at the least and at the most. Where servers
/// are suspended it is done each time that one has given its word as well.
const LOOK_PART: f64 = 0.125;
const LOOK: (f64, f64) = (25.0, 100.0);
/// Least time between two looks: there may be thousands of servers.
const SPACING: Duration = Duration::from_millis(10);
/// How long before a lease ends its server is probed: a share of how long one by its own word lasts, and ms at the most.
const AHEAD_PART: f64 = 0.5;
const MOST_AHEAD: f64 = 1500.0;
/// Servers that are enough to go on with: of more the load of probes by all nodes would tell.
const ENOUGH: usize = 8;
/// Probes in one look at the most.
const MOST_PROBES: usize = 4;
/// Least time between two probes of one server, ms; half of what its word lasts, where that is less.
const AGAIN: f64 = 500.0;

/// Lines a second of the log.
const LINES: u32 = 2;

/// Keeps the module from servers without a lease.
pub struct Confirmer {
    discovery: Rc<Discovery>,
    prober: Rc<Prober>,
    inbox: Rc<EventQueue>,
    terms: Rc<InForce>,
    clock: Clock,
    /// Those that the module is told not to send to.
    suspended: RefCell<BTreeSet<Address>>,
    changes: Limited,
    /// When each was probed last.
    probed: RefCell<BTreeMap<Address, f64>>,
}

impl Confirmer {
    pub fn new(
        discovery: Rc<Discovery>,
        prober: Rc<Prober>,
        inbox: Rc<EventQueue>,
        terms: Rc<InForce>,
        clock: Clock,
    ) -> Self {
        let (suspended, probed) = (RefCell::default(), RefCell::default());
        let changes = Limited::new(LINES);
        Self { discovery, prober, inbox, terms, clock, suspended, changes, probed }
    }

    /// Looks at the leases as long as the node runs.
    pub async fn run(self, mut chance: Chance) {
        loop {
            sleep(SPACING).await;
            let pause = (self.discovery.own_word_lasts() * LOOK_PART).clamp(LOOK.0, LOOK.1);
            if self.suspended.borrow().is_empty() {
                sleep(ms(pause)).await;
            } else {
                let _ = timeout(ms(pause), self.discovery.word_given()).await;
            }
            self.look(pause, &mut chance);
        }
    }

    /// Looks once; the next look comes after such a pause, ms.
    fn look(&self, pause: f64, chance: &mut Chance) {
        let (now, lasts) = (self.clock.now(), self.discovery.own_word_lasts());
        let ahead = (lasts * AHEAD_PART).min(MOST_AHEAD);
        let old = self.discovery.list_lease() <= now + ahead;
        if !old && self.suspended.borrow().is_empty() {
            return;
        }
        let ready = self.discovery.ready();
        self.suspend(&ready, now + pause);
        if old && self.terms.now().settings.may_probe {
            let again = AGAIN.min(lasts / 2.0);
            self.probe(&ready, now, now + ahead, again, chance);
        }
    }

    fn lease(&self, line: &Listing) -> f64 {
        self.discovery.lease(discovery::address(line.server))
    }

    /// Tells the module which servers have no lease to that time, and which have one again.
    fn suspend(&self, ready: &[Listing], until: f64) {
        let lost = |line: &&Listing| Guard::is_enforced() && self.lease(line) <= until;
        let suspended: BTreeSet<_> = ready.iter().filter(lost).map(|line| line.server).collect();
        let before = self.suspended.replace(suspended.clone());
        let changed =
            ready.iter().filter(|line| suspended.contains(&line.server) != before.contains(&line.server));
        let standing = |line: &Listing| match suspended.contains(&line.server) {
            true => Listing { standing: Standing::Draining, ..*line },
            false => *line,
        };
        let lines: Vec<Listing> = changed.map(standing).collect();
        if !lines.is_empty() {
            let age = self.clock.now() - self.discovery.list_lease();
            let (without, all) = (suspended.len(), ready.len());
            self.changes.info(|| {
                format!("{without} of {all} servers without a lease, that of the list ended {age:.0} ms ago")
            });
            self.inbox.push(move |balancer| balancer.suspended(lines.into_iter()));
        }
    }

    /// Probes servers whose lease ends by that time, and that were not probed within the last `again` ms, until enough have one.
    fn probe(&self, ready: &[Listing], now: f64, until: f64, again: f64, chance: &mut Chance) {
        let ends = |line: &&Listing| self.lease(line) <= until;
        let mut ending: Vec<&Listing> = ready.iter().filter(ends).collect();
        // Where there is hardly a descriptor left one probe at a time has one.
        let at_once = if self.prober.has_room() { MOST_PROBES } else { usize::from(!self.prober.is_out()) };
        let wanted = ENOUGH.saturating_sub(ready.len() - ending.len()).min(at_once);
        let mut probed = self.probed.borrow_mut();
        probed.retain(|_, at| now - *at < again);
        ending.retain(|line| !probed.contains_key(&line.server));
        ending.shuffle(&mut chance.0);
        for line in ending.into_iter().take(wanted) {
            probed.insert(line.server, now);
            spawn_local(self.prober.clone().probe(line.server, discovery::address(line.server)));
        }
    }
}
