//! The watch against a service that is played, with tokio's paused time: whatever befalls its calls, in whatever order,
//! a list has come by when what it tells counts as told.

use super::*;
use rand::SeedableRng;
use rand::seq::IndexedRandom;
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::future::pending;
use std::time::Duration;
use test_case::test_case;
use tokio::sync::Notify;

/// What befalls a call.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Fault {
    /// Nothing comes of it, nor of its connection.
    Silent,
    /// Its list begins at once and stalls.
    Stalled,
    /// The same, and ends.
    BrokenOff,
    /// Its list can't be read.
    Unreadable,
    /// It is reset, or answered 503.
    Refused,
    /// Its connection never comes up.
    NotConnected,
    /// The service moves while it is on, and says nothing at the old place.
    Moved,
}

use Fault::*;
const FAULTS: [Fault; 7] = [Silent, Stalled, BrokenOff, Unreadable, Refused, NotConnected, Moved];

/// What a stalled list is waited for.
const LIST_BODY_TIMEOUT_MS: f64 = 1000.0;
/// How long the service takes to answer, ms.
const ANSWER_MS: f64 = 20.0;

/// A service whose next calls fare as told, and all behind them well.
struct FakeService {
    started: Instant,
    backoff: Backoff,
    faults: RefCell<Vec<Fault>>,
    /// The lists before the first of these.
    healthy_lists: usize,
    /// What befalls a held call does so at this share of its time.
    failure_point: f64,
    /// Down until then: what begins before fares so.
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

    /// Waits for the next list; when it came.
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
            // One that is held is answered with nothing new when that is over.
            None => {
                sleep(ms(if new_connection { ANSWER_MS } else { hold_ms + ANSWER_MS })).await;
                // The service may have gone down since.
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

/// From one list to the next where what comes between fares so: the time, and by when it had to be.
async fn time_between_lists(faults: &[Fault], backoff: Backoff, seed: u64) -> (f64, f64) {
    // The call behind the second list is held, and fails at its beginning, at its end or between.
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
        let came = service.next_list().await;
        let allowed_ms = service.moved_at.get().map_or(ASSUMED_DELIVERY_MS, |at| {
            (at - second_list + ASSUMED_DELIVERY_AFTER_MOVE_MS).min(ASSUMED_DELIVERY_MS)
        });
        (came - second_list, allowed_ms)
    };
    tokio::select! {
        never = run(&service, SeededRng::from_seed(seed)) => never,
        result = test => result,
    }
}

/// All orders of so many fates.
fn fault_sequences(length: usize) -> Vec<Vec<Fault>> {
    if length == 0 {
        return vec![Vec::new()];
    }
    let with = |rest: Vec<Fault>| FAULTS.into_iter().map(move |fault| [&rest[..], &[fault]].concat());
    fault_sequences(length - 1).into_iter().flat_map(with).collect()
}

// A held call and up to two more behind it may fare in any way, in any order: the next one has the list in time.
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

// Longer orders of what fails at once, by chance.
#[test_case(POLLED; "polled")]
#[test_case(PUSHED; "pushed")]
#[tokio::test(start_paused = true)]
async fn calls_that_fail_at_once_leave_time_for_others(backoff: Backoff) {
    for seed in 0..500 {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let quick = [BrokenOff, Unreadable, Refused];
        let faults: Vec<Fault> = (0..4).map(|_| *quick.choose(&mut chance).unwrap()).collect();
        let (took_ms, allowed_ms) = time_between_lists(&faults, backoff, seed).await;
        assert!(took_ms <= allowed_ms, "{faults:?}, seed {seed}: {took_ms:.0} ms");
    }
}

// The service is away for any time, in any way, and heard in time from its return on. Where it refused calls meanwhile one
// more may fail at once; where it was silent, or let nobody in, that one is still out at its return.
#[test_case(POLLED; "polled")]
#[test_case(PUSHED; "pushed")]
#[tokio::test(start_paused = true)]
async fn after_an_outage_a_list_arrives_in_time(backoff: Backoff) {
    for (seed, down) in (0..900).zip([Silent, Refused, NotConnected].into_iter().cycle()) {
        let mut chance = ChaCha8Rng::seed_from_u64(seed);
        let away = chance.random_range(100.0..60_000.0);
        let service = FakeService::new(backoff);
        let test = async {
            service.next_list().await;
            sleep(ms(chance.random_range(0.0..3000.0))).await;
            let back = service.now() + away;
            service.down.set(Some((back, down)));
            if down == Refused {
                let next = [BrokenOff, Unreadable, Refused];
                service.faults.borrow_mut().push(*next.choose(&mut chance).unwrap());
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

// Calls are priced, and a service with too many callers gets no better by more of them: while nothing of it is heard a
// node calls no more than so often, and where all nodes ask for lists they are spread at its return.
#[test_case(Refused, 1600.0; "refused")]
#[test_case(Silent, 2500.0; "silent")]
#[tokio::test(start_paused = true)]
async fn an_unavailable_service_is_called_neither_too_often_nor_by_all_nodes_at_once(
    fault: Fault,
    least: f64,
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
    let every = AWAY * NODES as f64 / all as f64;
    first.sort_by(f64::total_cmp);
    let together = |from: f64| first.iter().filter(|at| **at >= from && **at < from + 100.0).count();
    let busiest = first.iter().map(|at| together(*at)).max().unwrap();
    println!("{fault:?}: a call every {every:.0} ms, {busiest} of {NODES} nodes within 100 ms");
    assert!(
        every >= least && busiest <= NODES as usize / 10,
        "a call every {every:.0} ms, {busiest} within 100 ms"
    );
}

// While the service is well a node calls it as often as it did: once in nearly 3 s.
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
