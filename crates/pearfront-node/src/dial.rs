//! Establishes connections to servers. A connection that is late is dialled again beside the first, and the
//! first to be established is used. A single late dial would cost its request the whole connect time-out, at
//! each tier that it passes. Used by the connection pool.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// A connection is late after this share of the connect time-out: nearly all are established within a
/// fraction of the time-out, and one dialled then has most of it left.
const LATE_SHARE: f64 = 0.125;
/// Most dials beside the first. Where a third of all connections are late, one in 27 still is with these.
const MAX_HEDGES: usize = 2;
/// Extra dials as a share of connections: where all are late, as to servers that are cut off, more would only
/// be load.
const HEDGE_SHARE: f64 = 0.5;
/// Most extra dials that may be saved up; a new node begins with as many, since it may start in the middle of
/// such a fault.
const MAX_HEDGE_BUDGET: f64 = 10.0;

/// Dials servers, and limits the extra dials of a node.
pub struct Dialer {
    hedge_budget: Cell<f64>,
}

impl Default for Dialer {
    fn default() -> Self {
        Self { hedge_budget: Cell::new(MAX_HEDGE_BUDGET) }
    }
}

impl Dialer {
    /// Returns the first connection that is established within the time-out, or an error if none is.
    /// `has_room` is asked before each extra dial.
    pub async fn dial<T, F: Future<Output = Result<T, ()>>>(
        &self,
        limit: Duration,
        open: impl Fn() -> F,
        has_room: impl Fn() -> bool,
    ) -> Result<T, ()> {
        self.hedge_budget.set((self.hedge_budget.get() + HEDGE_SHARE).min(MAX_HEDGE_BUDGET));
        let late = limit.mul_f64(LATE_SHARE);
        let race = async {
            let mut dials = vec![Box::pin(open())];
            for _ in 0..MAX_HEDGES {
                if let Ok(first) = timeout(late, first(&mut dials)).await {
                    return first;
                }
                if has_room() && self.spend_hedge() {
                    dials.push(Box::pin(open()));
                }
            }
            first(&mut dials).await
        };
        timeout(limit, race).await.unwrap_or(Err(()))
    }

    fn spend_hedge(&self) -> bool {
        let enough = self.hedge_budget.get() >= 1.0;
        self.hedge_budget.set(self.hedge_budget.get() - if enough { 1.0 } else { 0.0 });
        enough
    }
}

/// The first dial that succeeds, or the error of the last one left.
async fn first<T, F: Future<Output = Result<T, ()>>>(dials: &mut Vec<Pin<Box<F>>>) -> Result<T, ()> {
    poll_fn(|context: &mut Context| {
        let mut at = 0;
        while let Some(dial) = dials.get_mut(at) {
            match dial.as_mut().poll(context) {
                Poll::Pending => at += 1,
                Poll::Ready(Err(())) if dials.len() > 1 => drop(dials.remove(at)),
                Poll::Ready(ended) => return Poll::Ready(ended),
            }
        }
        Poll::Pending
    })
    .await
}

#[cfg(test)]
mod tests;
