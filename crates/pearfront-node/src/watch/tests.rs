//! The watch against a fake discovery service, with tokio's paused time. Whatever fails, and in whatever
//! order, a list must arrive before the changes in it count as delivered.

use super::*;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::time::Duration;
use test_case::test_case;
use tokio::sync::Notify;

/// How a call to the fake service fails.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// No answer comes, and nothing more on its connection.
    Silent,
    /// The list begins at once and stalls.
    Stalled,
    /// The list begins at once and breaks off.
    BrokenOff,
    /// The list can't be decoded.
    Unreadable,
    /// The connection is reset, or the answer is a 503.
    Refused,
    /// The connection is never established.
    NotConnected,
    /// The service moves during the call and sends nothing from the old address.
    Moved,
}

use Fault::*;
const FAULTS: [Fault; 7] = [Silent, Stalled, BrokenOff, Unreadable, Refused, NotConnected, Moved];

/// How long a stalled list is waited for, ms.
const LIST_BODY_TIMEOUT_MS: f64 = 1000.0;
/// How long the service takes to answer, ms.
const ANSWER_MS: f64 = 20.0;

/// A service whose next calls fail as listed; all calls after them succeed.
struct FakeService {
    started: Instant,
    backoff: Backoff,
    faults: RefCell<Vec<Fault>>,
    /// How many lists are sent before the first fault.
    healthy_lists: usize,
    /// A held call fails at this share of its hold time.
    failure_point: f64,
    /// The service is down until this time: calls that begin before fail this way.
    down: Cell<Option<(f64, Fault)>>,
    call_starts: RefCell<Vec<f64>>,
    lists: RefCell<Vec<f64>>,
    moved_at: Cell<Option<f64>>,
    moved_signal: Notify,
    list_sent: Notify,
}

impl FakeService {
    fn new(backoff: Backoff) -> Self {
        Self {
            started: Instant::now(),
            backoff,
            faults: RefCell::default(),
            healthy_lists: 0,
            failure_point: 0.0,
            down: Cell::new(None),
            call_starts: RefCell::default(),
            lists: RefCell::default(),
            moved_at: Cell::new(None),
            moved_signal: Notify::new(),
            list_sent: Notify::new(),
        }
    }

    fn now(&self) -> f64 {
        self.started.elapsed().as_secs_f64() * 1000.0
    }

    fn fault(&self, now: f64) -> Option<Fault> {
        let down = self.down.get().filter(|(until, _)| now < *until).map(|(_, fault)| fault);
        down.or_else(|| {
            let mut faults = self.faults.borrow_mut();
            (!faults.is_empty() && self.lists.borrow().len() >= self.healthy_lists).then(|| faults.remove(0))
        })
    }

    /// Waits for the next list and returns the time of its arrival.
    async fn next_list(&self) -> f64 {
        self.list_sent.notified().await;
        *self.lists.borrow().last().unwrap()
    }
}

impl DiscoveryService for FakeService {
    async fn call(&self, new_connection: bool, hold_ms: f64) -> Result<(), Failure> {
        self.call_starts.borrow_mut().push(self.now());
        let fault = self.fault(self.now());
        if fault.is_some() && !new_connection {
            sleep(ms(hold_ms * self.failure_point)).await;
        }
        match fault {
            // A held call is answered, without changes, at the end of its hold time.
            None => {
                sleep(ms(if new_connection { ANSWER_MS } else { hold_ms + ANSWER_MS })).await;
                // The service may have gone down in the meantime.
                if let Some((_, fault)) = self.down.get().filter(|(until, _)| self.now() < *until) {
                    return match fault {
                        Refused => Err(Failure::Unavailable("connection broke".into())),
                        _ => pending().await,
                    };
                }
                self.lists.borrow_mut().push(self.now());
                self.list_sent.notify_waiters();
                Ok(())
            }
            Some(Silent | NotConnected) => pending().await,
            Some(Stalled) => {
                sleep(ms(LIST_BODY_TIMEOUT_MS)).await;
                Err(Failure::Truncated("a list that stalled".into()))
            }
            Some(BrokenOff | Unreadable) => Err(Failure::Truncated("a list that broke off".into())),
            Some(Refused) => Err(Failure::Unavailable("connection broke".into())),
            Some(Moved) => {
                sleep(ms(1.0)).await;
                self.moved_at.set(Some(self.now()));
                self.moved_signal.notify_waiters();
                pending().await
            }
        }
    }

    async fn service_moved(&self) {
        self.moved_signal.notified().await;
    }

    fn backoff(&self) -> Backoff {
        self.backoff
    }

    fn call_failed(&self, _: &Failure, _: bool) {}
}

const POLLED: Backoff = Backoff { first_ms: 1500.0, longest_ms: 7500.0 };
const PUSHED: Backoff = Backoff { first_ms: 20.0, longest_ms: 4000.0 };

/// Runs the faults between two lists: the time between these lists, and the time allowed.
async fn time_between_lists(faults: &[Fault], backoff: Backoff, seed: u64) -> (f64, f64) {
    // The call after the second list is held, and fails at the beginning, at the end or in between.
    let failure_point = f64::from(seed as u32 % 4) / 3.0;
    let service = FakeService {
        faults: RefCell::new(faults.to_vec()),
        healthy_lists: 2,
        failure_point,
        ..FakeService::new(backoff)
    };
    let test = async {
        service.next_list().await;
        let second_list = service.next_list().await;
        let third_list = service.next_list().await;
        let allowed_ms = service.moved_at.get().map_or(ASSUMED_DELIVERY_MS, |at| {
            (at - second_list + ASSUMED_DELIVERY_AFTER_MOVE_MS).min(ASSUMED_DELIVERY_MS)
        });
        (third_list - second_list, allowed_ms)
    };
    tokio::select! {
        never = run(&service, SeededRng::from_seed(seed)) => never,
        result = test => result,
    }
}

/// All sequences of this many faults.
fn fault_sequences(length: usize) -> Vec<Vec<Fault>> {
    if length == 0 {
        return vec![Vec::new()];
    }
    let with = |rest: Vec<Fault>| FAULTS.into_iter().map(move |fault| [&rest[..], &[fault]].concat());
    fault_sequences(length - 1).into_iter().flat_map(with).collect()
}

// A held call and up to two after it may fail in any way and order: the next one still brings the list in
// time.
#[test_case(POLLED; "polled")]
#[test_case(PUSHED; "pushed")]
#[tokio::test(start_paused = true)]
async fn after_any_three_failures_the_list_arrives_in_time(backoff: Backoff) {
    for faults in (1..=3).flat_map(fault_sequences) {
        let mut worst: f64 = 0.0;
        for seed in 0..20 {
            let (took_ms, allowed_ms) = time_between_lists(&faults, backoff, seed).await;
            assert!(
                took_ms <= allowed_ms,
                "{faults:?}, seed {seed}: {took_ms:.0} ms, {allowed_ms:.0} allowed"
            );
            worst = worst.max(took_ms);
        }
        println!("{faults:?} {worst:.0}");
    }
}

// Longer random sequences of calls that fail at once.
#[test_case(POLLED; "polled")]
#[test_case(PUSHED; "pushed")]
#[tokio::test(start_paused = true)]
async fn calls_that_fail_at_once_leave_time_for_others(backoff: Backoff) {
    for seed in 0..500 {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let quick = [BrokenOff, Unreadable, Refused];
        let faults: Vec<Fault> = (0..4).map(|_| *quick.choose(&mut rng).unwrap()).collect();
        let (took_ms, allowed_ms) = time_between_lists(&faults, backoff, seed).await;
        assert!(took_ms <= allowed_ms, "{faults:?}, seed {seed}: {took_ms:.0} ms");
    }
}

// The service is down for any time and in any way; after its return a list arrives in time. Where it refused
// calls, one more may fail at once; where it was silent or accepted no connection, the call made meanwhile is
// still open at its return.
#[test_case(POLLED; "polled")]
#[test_case(PUSHED; "pushed")]
#[tokio::test(start_paused = true)]
async fn after_an_outage_a_list_arrives_in_time(backoff: Backoff) {
    for (seed, down) in (0..900).zip([Silent, Refused, NotConnected].into_iter().cycle()) {
        let mut rng = ChaCha8Rng::seed_from_u64(seed);
        let away = rng.random_range(100.0..60_000.0);
        let service = FakeService::new(backoff);
        let test = async {
            service.next_list().await;
            sleep(ms(rng.random_range(0.0..3000.0))).await;
            let back = service.now() + away;
            service.down.set(Some((back, down)));
            if down == Refused {
                let next = [BrokenOff, Unreadable, Refused];
                service.faults.borrow_mut().push(*next.choose(&mut rng).unwrap());
            }
            sleep(ms(away)).await;
            service.next_list().await - back
        };
        let took_ms = tokio::select! {
            never = run(&service, SeededRng::from_seed(seed)) => never,
            took_ms = test => took_ms,
        };
        assert!(took_ms <= ASSUMED_DELIVERY_MS, "{down:?} for {away:.0} ms, seed {seed}: {took_ms:.0} ms");
    }
}

// Calls cost discovery work, and an overloaded service gets worse with more of them: without answers a node
// calls no more often than this, and where lists are polled the nodes are spread out at its return.
#[test_case(Refused, 1600.0; "refused")]
#[test_case(Silent, 2500.0; "silent")]
#[tokio::test(start_paused = true)]
async fn an_unavailable_service_is_called_neither_too_often_nor_by_all_nodes_at_once(
    fault: Fault,
    min_interval_ms: f64,
) {
    const AWAY: f64 = 60_000.0;
    const NODES: u64 = 300;
    let (mut first, mut all) = (Vec::new(), 0);
    for seed in 0..NODES {
        let service = FakeService::new(POLLED);
        service.down.set(Some((AWAY, fault)));
        tokio::select! {
            never = run(&service, SeededRng::from_seed(seed)) => never,
            _ = service.next_list() => {}
        }
        all += service.call_starts.borrow().len();
        first.push(service.call_starts.borrow().last().unwrap() - AWAY);
    }
    let interval_ms = AWAY * NODES as f64 / all as f64;
    first.sort_by(f64::total_cmp);
    let calls_within_100_ms =
        |from: f64| first.iter().filter(|at| **at >= from && **at < from + 100.0).count();
    let busiest = first.iter().map(|at| calls_within_100_ms(*at)).max().unwrap();
    println!("{fault:?}: a call every {interval_ms:.0} ms, {busiest} of {NODES} nodes within 100 ms");
    assert!(
        interval_ms >= min_interval_ms && busiest <= NODES as usize / 10,
        "a call every {interval_ms:.0} ms, {busiest} within 100 ms"
    );
}

// A healthy service is called about once in 3 s.
#[tokio::test(start_paused = true)]
async fn a_healthy_service_is_called_once_in_three_seconds() {
    let service = FakeService::new(POLLED);
    tokio::select! {
        never = run(&service, SeededRng::from_seed(1)) => never,
        () = sleep(Duration::from_secs(300)) => {}
    }
    let calls = service.call_starts.borrow().len();
    assert!((95..=106).contains(&calls), "{calls}");
}
