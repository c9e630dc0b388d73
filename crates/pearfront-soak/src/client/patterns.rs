//! Traffic of clients other than single requests: several requests in one write, requests without a pause, connections that are
//! only held, and stalled requests.

use super::exchange::{Outcome, Sent, closes_connection, has_close_raced};
use super::request::Request;
use super::{BURST_SIZE, Client};
use crate::clock;
use crate::http::End;
use crate::record::{Pipeline, Record};
use rand::Rng;
use std::rc::Rc;
use std::time::Duration;
use tokio::time::{Instant, sleep, timeout};

/// How long a client waits beyond the deadline.
const GIVE_UP_AFTER_DEADLINE: Duration = Duration::from_secs(3);
/// Longest time for which a client sends requests without a pause.
const BACK_TO_BACK_DURATION: Duration = Duration::from_secs(5);
/// Pause before a held connection that was closed is opened again.
const RECONNECT_PAUSE: Duration = Duration::from_millis(20);

impl Client {
    /// Sends several requests in one write on a new connection; their answers come in the same order.
    pub(super) async fn burst(self: Rc<Self>, node: usize) {
        let Some(mut connection) = self.connect(node).await else { return };
        let requests: Vec<Request> = {
            let rng = &mut *self.rng.borrow_mut();
            let count = rng.random_range(BURST_SIZE);
            (0..count).map(|_| Request::draw_plain(rng, &self.role)).collect()
        };
        let bytes: Vec<u8> = requests.iter().flat_map(Request::head).collect();
        let began = clock::now();
        if connection.write(&bytes).await.is_err() {
            return;
        }
        let at = clock::now();
        for request in &requests {
            let (id, effect, deadline) = (request.id.clone(), request.effect, request.deadline);
            let pipeline = Some(Pipeline { first: requests[0].id.clone(), single_write: true });
            self.recorder.write(&Record::Request {
                id,
                node,
                effect,
                began,
                at,
                deadline,
                new_connection: true,
                pipeline,
            });
        }
        let longest = requests.iter().map(|request| request.deadline).fold(0.0, f64::max);
        let until = Instant::now() + Duration::from_secs_f64(longest / 1000.0) + GIVE_UP_AFTER_DEADLINE;
        for (index, request) in requests.iter().enumerate() {
            let left = until.saturating_duration_since(Instant::now());
            let Ok(answer) = timeout(left, connection.message()).await else { return };
            let Some(answer) = answer else {
                let end = connection.end().unwrap_or(End::Orderly);
                let close_raced = index == 0
                    && has_close_raced(&connection, Sent { at, new_connection: true }, clock::now()).await;
                return self.record_unanswered(&requests[index..], end, close_raced);
            };
            let (id, status) = (request.id.clone(), answer.status());
            self.recorder.write(&Record::Answer { id, at: clock::now(), status });
            if closes_connection(&answer) {
                return self.record_unanswered(&requests[index + 1..], End::Orderly, false);
            }
        }
    }

    /// Records that the connection ended before these were answered.
    fn record_unanswered(&self, requests: &[Request], end: End, close_raced: bool) {
        for request in requests {
            let (id, reset) = (request.id.clone(), end == End::Reset);
            self.recorder.write(&Record::Unanswered { id, at: clock::now(), close_raced, reset });
        }
    }

    /// Sends requests one after the other on one connection, without a pause, until it ends.
    pub(super) async fn send_back_to_back(self: Rc<Self>, node: usize) {
        let Some(mut connection) = self.connect(node).await else { return };
        let until = Instant::now() + BACK_TO_BACK_DURATION;
        let mut new_connection = true;
        while Instant::now() < until {
            let mut request = Request::draw_plain(&mut *self.rng.borrow_mut(), &self.role);
            request.disconnect_after_ms = None;
            match self.exchange(node, &request, &mut connection, new_connection).await {
                Outcome::Answered { kept: true } => new_connection = false,
                _ => return,
            }
        }
    }

    /// Holds a connection with nothing or half a head sent on it, and opens another when it is closed.
    pub(super) async fn fill_descriptors(self: Rc<Self>, node: usize, time: Duration) {
        let until = Instant::now() + time;
        let half = self.draw().head();
        let sent = if self.happens(0.5) { 0 } else { half.len() / 2 };
        while Instant::now() < until {
            if let Some(mut connection) = self.connect(node).await
                && connection.write(&half[..sent]).await.is_ok()
            {
                let left = until.saturating_duration_since(Instant::now());
                let _ = timeout(left, connection.read_to_end()).await;
            }
            sleep(RECONNECT_PAUSE).await;
        }
    }

    /// Sends half a request and keeps the connection open.
    pub(super) async fn stall(self: Rc<Self>, node: usize) {
        let Some(mut connection) = self.connect(node).await else { return };
        let half = self.draw().head();
        if connection.write(&half[..half.len() / 2]).await.is_err() {
            return;
        }
        self.wait_for_end(node, &mut connection, clock::now()).await;
    }
}
