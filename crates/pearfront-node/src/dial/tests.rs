//! Tests of late and refused dials, with tokio's paused time.

use super::*;
use std::cell::RefCell;
use test_case::test_case;
use tokio::time::{Instant, sleep};

const LIMIT: f64 = 100.0;

/// Dials a connection. `dials` says after how many ms each dial is established (`None`: never; negative:
/// refused then). Returns which dial was used, when, and when each dial began.
async fn dial(dialer: &Dialer, dials: &[Option<f64>], room: bool) -> (Option<usize>, f64, Vec<f64>) {
    let (start, dial_starts) = (Instant::now(), RefCell::new(Vec::new()));
    let since = || (start.elapsed().as_secs_f64() * 1000.0).round();
    let open = || {
        let index = dial_starts.borrow().len();
        dial_starts.borrow_mut().push(since());
        let delay = dials[index];
        async move {
            match delay {
                Some(delay) => sleep(Duration::from_secs_f64(delay.abs() / 1000.0)).await,
                None => std::future::pending().await,
            }
            if delay.is_some_and(|delay| delay < 0.0) { Err(()) } else { Ok(index) }
        }
    };
    let limit = Duration::from_secs_f64(LIMIT / 1000.0);
    let winner = dialer.dial(limit, open, || room).await.ok();
    let at = since();
    (winner, at, dial_starts.take())
}

// A dial is late after an eighth of the limit: 12.5 ms, which the runtime rounds to 13.
#[test_case(&[Some(5.0)], Some(0), 5.0, 1; "in time it is dialled once")]
#[test_case(&[Some(-5.0)], None, 5.0, 1; "refused it is not dialled again")]
#[test_case(&[Some(1500.0), Some(1.0)], Some(1), 14.0, 2; "late it is dialled again")]
#[test_case(&[Some(20.0), Some(50.0)], Some(0), 20.0, 2; "the late one may still be first")]
#[test_case(&[None, None, Some(1.0)], Some(2), 27.0, 3; "two are late")]
#[test_case(&[None, Some(-1.0), Some(1.0)], Some(2), 27.0, 3; "one refused beside a late one")]
#[test_case(&[Some(20.0), Some(-1.0)], Some(0), 20.0, 2; "the refused one does not end the other")]
#[test_case(&[None, None, None], None, 100.0, 3; "none comes up")]
fn the_first_dial_established_is_used(
    dials: &[Option<f64>],
    winner: Option<usize>,
    at: f64,
    dial_starts: usize,
) {
    let (actual, when, starts) = run_paused(async { dial(&Dialer::default(), dials, true).await });
    assert_eq!((actual, starts.len()), (winner, dial_starts));
    assert!((when - at).abs() <= 2.0, "{when}, not {at}");
}

#[test]
fn without_a_free_descriptor_it_is_dialled_once() {
    let (winner, at, dial_starts) = run_paused(async { dial(&Dialer::default(), &[None], false).await });
    assert_eq!((winner, at, dial_starts), (None, LIMIT, vec![0.0]));
}

// All connections to servers that are cut off are late; the extra dials to them must stop.
#[test]
fn where_all_dials_are_late_few_are_hedged() {
    let hedges = run_paused(async {
        let dialer = Dialer::default();
        let mut hedges = 0;
        for _ in 0..200 {
            hedges += dial(&dialer, &[None; 3], true).await.2.len() - 1;
        }
        hedges
    });
    assert_eq!(hedges as f64, MAX_HEDGE_BUDGET + HEDGE_SHARE * 199.0 - 0.5);
}

fn run_paused<T>(test: impl Future<Output = T>) -> T {
    let runtime = tokio::runtime::Builder::new_current_thread().enable_all().start_paused(true).build();
    runtime.unwrap().block_on(test)
}
