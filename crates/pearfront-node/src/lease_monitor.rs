//! What happens while the list is too old to go by: servers are probed, those that answer well go on by their own word, and
//! the module is told of the others as of ones that drain, until the list or they themselves say otherwise.

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

/// How often leases are looked at: a share of how long a server's word lasts, ms at the least and at the most. Where servers
/// are suspended it is done each time that one has given its word as well.
const CHECK_SHARE: f64 = 0.125;
const CHECK_INTERVAL_MS: (f64, f64) = (25.0, 100.0);
/// Least time between two looks: there may be thousands of servers.
const MIN_CHECK_SPACING: Duration = Duration::from_millis(10);
/// How long before a lease ends its server is probed: a share of how long one by its own word lasts, and ms at the most.
const PROBE_AHEAD_SHARE: f64 = 0.5;
const MAX_PROBE_AHEAD_MS: f64 = 1500.0;
/// Servers that are enough to go on with: of more the load of probes by all nodes would tell.
const ENOUGH_SERVERS: usize = 8;
/// Probes in one look at the most.
const MAX_PROBES: usize = 4;
/// Least time between two probes of one server, ms; half of what its word lasts, where that is less.
const PROBE_INTERVAL_MS: f64 = 500.0;

/// Lines a second of the log.
const LOG_LINES_PER_S: u32 = 2;

/// Keeps the module from servers without a lease.
pub struct LeaseMonitor {
    discovery: Rc<Discovery>,
    prober: Rc<Prober>,
    inbox: Rc<EventQueue>,
    settings: Rc<SharedSettings>,
    clock: Clock,
    /// Those that the module is told not to send to.
    suspended: RefCell<BTreeSet<Address>>,
    change_log: InfoLimiter,
    /// When each was probed last.
    last_probes: RefCell<BTreeMap<Address, f64>>,
}

impl LeaseMonitor {
    pub fn new(
        discovery: Rc<Discovery>,
        prober: Rc<Prober>,
        inbox: Rc<EventQueue>,
        settings: Rc<SharedSettings>,
        clock: Clock,
    ) -> Self {
        let (suspended, last_probes) = (RefCell::default(), RefCell::default());
        let change_log = InfoLimiter::new(LOG_LINES_PER_S);
        Self { discovery, prober, inbox, settings, clock, suspended, change_log, last_probes }
    }

    /// Looks at the leases as long as the node runs.
    pub async fn run(self, mut chance: SeededRng) {
        loop {
            sleep(MIN_CHECK_SPACING).await;
            let pause = (self.discovery.confirmation_lifetime_ms() * CHECK_SHARE)
                .clamp(CHECK_INTERVAL_MS.0, CHECK_INTERVAL_MS.1);
            if self.suspended.borrow().is_empty() {
                sleep(ms(pause)).await;
            } else {
                let _ = timeout(ms(pause), self.discovery.server_confirmed()).await;
            }
            self.check(pause, &mut chance);
        }
    }

    /// Looks once; the next look comes after such a pause, ms.
    fn check(&self, pause: f64, chance: &mut SeededRng) {
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
            self.probe(&ready, now, now + ahead, interval_ms, chance);
        }
    }

    fn lease_until(&self, entry: &ListedServer) -> f64 {
        self.discovery.lease_until(discovery::decode_address(entry.address))
    }

    /// Tells the module which servers have no lease to that time, and which have one again.
    fn suspend(&self, ready: &[ListedServer], until: f64) {
        let has_no_lease = |entry: &&ListedServer| Guard::is_enforced() && self.lease_until(entry) <= until;
        let suspended: BTreeSet<_> = ready.iter().filter(has_no_lease).map(|entry| entry.address).collect();
        let before = self.suspended.replace(suspended.clone());
        let changed = ready
            .iter()
            .filter(|entry| suspended.contains(&entry.address) != before.contains(&entry.address));
        let standing = |entry: &ListedServer| match suspended.contains(&entry.address) {
            true => ListedServer { state: ServerState::Draining, ..*entry },
            false => *entry,
        };
        let entries: Vec<ListedServer> = changed.map(standing).collect();
        if !entries.is_empty() {
            let age = self.clock.now() - self.discovery.list_lease_until();
            let (without, all) = (suspended.len(), ready.len());
            self.change_log.info(|| {
                format!("{without} of {all} servers without a lease, that of the list ended {age:.0} ms ago")
            });
            self.inbox.push(move |balancer| balancer.states_overridden(entries.into_iter()));
        }
    }

    /// Probes servers whose lease ends by that time, and that were not probed within the last `again` ms, until enough have one.
    fn probe(&self, ready: &[ListedServer], now: f64, until: f64, interval_ms: f64, chance: &mut SeededRng) {
        let ends_soon = |entry: &&ListedServer| self.lease_until(entry) <= until;
        let mut ending: Vec<&ListedServer> = ready.iter().filter(ends_soon).collect();
        // Where there is hardly a descriptor left one probe at a time has one.
        let at_once =
            if self.prober.has_room() { MAX_PROBES } else { usize::from(!self.prober.has_outstanding()) };
        let wanted = ENOUGH_SERVERS.saturating_sub(ready.len() - ending.len()).min(at_once);
        let mut last_probes = self.last_probes.borrow_mut();
        last_probes.retain(|_, at| now - *at < interval_ms);
        ending.retain(|entry| !last_probes.contains_key(&entry.address));
        ending.shuffle(&mut chance.0);
        for entry in ending.into_iter().take(wanted) {
            last_probes.insert(entry.address, now);
            spawn_local(self.prober.clone().probe(entry.address, discovery::decode_address(entry.address)));
        }
    }
}
