//! Checks the leases of servers. While the list is too old to rely on, servers are probed; those whose probes
//! succeed stay in use, and the others are reported to the decision module as draining, until a list or a
//! probe renews them.

use crate::clock::{Clock, ms};
use crate::discovery::{self, Discovery};
use crate::dispatcher::EventQueue;
use crate::guard::Guard;
use crate::logger::InfoLimiter;
use crate::probe::Prober;
use crate::runtime_settings::SharedSettings;
use pearfront::interface::{Address, ListedServer, ServerState};
use pearfront::rng::SeededRng;
use rand::seq::SliceRandom;
use std::cell::RefCell;
use std::collections::{BTreeMap, BTreeSet};
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::{sleep, timeout};

/// How often leases are checked: a share of the time that a probe is valid, within these bounds in ms. While
/// servers are suspended, leases are also checked after each successful probe.
const CHECK_SHARE: f64 = 0.125;
const CHECK_INTERVAL_MS: (f64, f64) = (25.0, 100.0);
/// Least time between two checks: there may be thousands of servers.
const MIN_CHECK_SPACING: Duration = Duration::from_millis(10);
/// How long before the end of its lease a server is probed: a share of the time that a probe is valid, at
/// most this many ms.
const PROBE_AHEAD_SHARE: f64 = 0.5;
const MAX_PROBE_AHEAD_MS: f64 = 1500.0;
/// Number of servers that are enough to go on with: probes of more, by all nodes, would be a noticeable load.
const ENOUGH_SERVERS: usize = 8;
/// Most probes started by one check.
const MAX_PROBES: usize = 4;
/// Least time between two probes of a server, ms; half of the time that a probe is valid if that is shorter.
const PROBE_INTERVAL_MS: f64 = 500.0;

/// Most lines written to the log per second.
const LOG_LINES_PER_S: u32 = 2;

/// Keeps the decision module from using servers without a lease.
pub struct LeaseMonitor {
    discovery: Rc<Discovery>,
    prober: Rc<Prober>,
    event_queue: Rc<EventQueue>,
    settings: Rc<SharedSettings>,
    clock: Clock,
    /// Servers that the decision module has been told not to use.
    suspended: RefCell<BTreeSet<Address>>,
    change_log: InfoLimiter,
    /// When each server was last probed.
    last_probes: RefCell<BTreeMap<Address, f64>>,
}

impl LeaseMonitor {
    pub fn new(
        discovery: Rc<Discovery>,
        prober: Rc<Prober>,
        event_queue: Rc<EventQueue>,
        settings: Rc<SharedSettings>,
        clock: Clock,
    ) -> Self {
        let (suspended, last_probes) = (RefCell::default(), RefCell::default());
        let change_log = InfoLimiter::new(LOG_LINES_PER_S);
        Self { discovery, prober, event_queue, settings, clock, suspended, change_log, last_probes }
    }

    /// Checks the leases as long as the node runs.
    pub async fn run(self, mut rng: SeededRng) {
        loop {
            sleep(MIN_CHECK_SPACING).await;
            let pause = (self.discovery.confirmation_lifetime_ms() * CHECK_SHARE)
                .clamp(CHECK_INTERVAL_MS.0, CHECK_INTERVAL_MS.1);
            if self.suspended.borrow().is_empty() {
                sleep(ms(pause)).await;
            } else {
                let _ = timeout(ms(pause), self.discovery.server_confirmed()).await;
            }
            self.check(pause, &mut rng);
        }
    }

    /// Checks once; the next check follows after `pause`, ms.
    fn check(&self, pause: f64, rng: &mut SeededRng) {
        let (now, lifetime_ms) = (self.clock.now(), self.discovery.confirmation_lifetime_ms());
        let ahead = (lifetime_ms * PROBE_AHEAD_SHARE).min(MAX_PROBE_AHEAD_MS);
        let is_old = self.discovery.list_lease_until() <= now + ahead;
        if !is_old && self.suspended.borrow().is_empty() {
            return;
        }
        let ready = self.discovery.ready();
        self.suspend(&ready, now + pause);
        if is_old && self.settings.current().policy_settings.may_probe {
            let interval_ms = PROBE_INTERVAL_MS.min(lifetime_ms / 2.0);
            self.probe(&ready, now, now + ahead, interval_ms, rng);
        }
    }

    fn lease_until(&self, entry: &ListedServer) -> f64 {
        self.discovery.lease_until(discovery::decode_address(entry.address))
    }

    /// Tells the decision module which servers have no lease until that time, and which have one again.
    fn suspend(&self, ready: &[ListedServer], until: f64) {
        let has_no_lease = |entry: &&ListedServer| Guard::is_enforced() && self.lease_until(entry) <= until;
        let suspended: BTreeSet<_> = ready.iter().filter(has_no_lease).map(|entry| entry.address).collect();
        let before = self.suspended.replace(suspended.clone());
        let changed = ready
            .iter()
            .filter(|entry| suspended.contains(&entry.address) != before.contains(&entry.address));
        let state = |entry: &ListedServer| match suspended.contains(&entry.address) {
            true => ListedServer { state: ServerState::Draining, ..*entry },
            false => *entry,
        };
        let entries: Vec<ListedServer> = changed.map(state).collect();
        if !entries.is_empty() {
            let age = self.clock.now() - self.discovery.list_lease_until();
            let (without, all) = (suspended.len(), ready.len());
            self.change_log.info(|| {
                format!("{without} of {all} servers without a lease; the list's lease ended {age:.0} ms ago")
            });
            self.event_queue.push(move |balancer| balancer.states_overridden(entries.into_iter()));
        }
    }

    /// Probes servers whose lease ends by that time and that were not probed within the last `again` ms,
    /// until enough servers have a lease.
    fn probe(&self, ready: &[ListedServer], now: f64, until: f64, interval_ms: f64, rng: &mut SeededRng) {
        let ends_soon = |entry: &&ListedServer| self.lease_until(entry) <= until;
        let mut ending: Vec<&ListedServer> = ready.iter().filter(ends_soon).collect();
        // When descriptors are nearly exhausted, only one probe runs at a time.
        let at_once =
            if self.prober.has_room() { MAX_PROBES } else { usize::from(!self.prober.has_outstanding()) };
        let wanted = ENOUGH_SERVERS.saturating_sub(ready.len() - ending.len()).min(at_once);
        let mut last_probes = self.last_probes.borrow_mut();
        last_probes.retain(|_, at| now - *at < interval_ms);
        ending.retain(|entry| !last_probes.contains_key(&entry.address));
        ending.shuffle(&mut rng.0);
        for entry in ending.into_iter().take(wanted) {
            last_probes.insert(entry.address, now);
            spawn_local(self.prober.clone().probe(entry.address, discovery::decode_address(entry.address)));
        }
    }
}
