//! How a connection to a server is made: one that is late is dialled again beside it, and the first to come up is taken.
//! A lone try that is late costs its job the whole connect limit, and a job through several tiers pays that at each.

use std::cell::Cell;
use std::future::poll_fn;
use std::pin::Pin;
use std::task::{Context, Poll};
use std::time::Duration;
use tokio::time::timeout;

/// Share of the connect limit after which a connection is late: nearly all come up within a fraction of what the
/// settings allow, and one dialled then has most of the limit left.
const LATE_SHARE: f64 = 0.125;
/// Dials beside the first at the most: where a third is late, one in 27 connections still is.
const MAX_HEDGES: usize = 2;
/// Hedges as a share of connections: where all are late, as to servers that are cut off, more would only be load.
const HEDGE_SHARE: f64 = 0.5;
/// Hedges that may be saved up, and that a node begins with: it may come up in the middle of such a time.
const MAX_HEDGE_BUDGET: f64 = 10.0;

pub struct Dialer {
    hedge_budget: Cell<f64>,
}

impl Default for Dialer {
    fn default() -> Self {
        Self { hedge_budget: Cell::new(MAX_HEDGE_BUDGET) }
    }
}

impl Dialer {
    /// The first connection to come up within the limit; an error if none does. `has_room` is asked before each dial
    /// beside the first.
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

/// The first of the dials that comes up, or the error of the last one left.
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
