//! Accepts clients' connections, as long as there is room for them. What waits in the kernel's queue is on a clock as well: a
//! request may lie on each connection there.

use crate::arrival::Arrival;
use crate::logger::Seldom;
use crate::take_in::{LAST_SERVED, TakeIn};
use std::convert::Infallible;
use std::future::poll_fn;
use std::io;
use std::rc::Rc;
use std::task::Poll;
use std::time::Duration;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep, sleep_until, timeout};

/// Pause after a failed accept: what it lacked is back soon, and the loop must not spin.
const PAUSE: Duration = Duration::from_millis(5);
/// How long new connections go on coming after SIGTERM, with some room: the protocol says 400 ms.
const STILL_COMING: Duration = Duration::from_millis(500);
/// How long connections may wait in the queue where there is no place for them. Then they are shut unread: a request of
/// the shortest times that lies there is lost soon after.
const LONGEST_WAIT: Duration = Duration::from_millis(300);

pub struct Acceptor {
    listener: TcpListener,
    /// When what waits in the queue came.
    queue: Arrival,
    take_in: Rc<TakeIn>,
    failed: Seldom,
    shut: Seldom,
}

impl Acceptor {
    pub fn new(listener: TcpListener, take_in: Rc<TakeIn>) -> Self {
        let queue = Arrival::since(Instant::now());
        Self { listener, queue, take_in, failed: Seldom::default(), shut: Seldom::default() }
    }

    /// Accepts clients until told to end; then until no more come, and serves those that stay almost as long as the
    /// node runs: they may have nowhere else to go. `end` tells when the module will give its last answers.
    pub async fn run(self, end: impl Future<Output = f64>) {
        let answered = tokio::select! {
            never = self.accept_all() => match never {},
            answered = end => answered,
        };
        let _ = timeout(STILL_COMING, self.accept_all()).await;
        let clients_end = async {
            while self.take_in.room.has_callers() {
                sleep(PAUSE).await;
            }
        };
        tokio::select! {
            never = self.accept_all() => match never {},
            () = sleep_until(self.take_in.route.clock.at(answered - LAST_SERVED)) => {}
            () = clients_end => {}
        }
        // What the kernel has accepted counts as ours, unless another process serves the same socket.
        while self.take_in.life.accepts()
            && let Some(Ok(stream)) = self.accept_now().await
        {
            self.take_in.open(stream, self.queue.earliest());
        }
    }

    async fn accept_all(&self) -> Infallible {
        loop {
            if !self.has_place() {
                self.stand_back().await;
                continue;
            }
            if !self.take_in.life.accepts() {
                // Another process takes what comes, or nobody: should this one go on, it may have waited since now.
                self.queue.looks_away(Instant::now());
            }
            let accepted = tokio::select! {
                biased;
                () = self.take_in.life.changed() => continue,
                accepted = self.accept(), if self.take_in.life.accepts() => accepted,
            };
            match accepted {
                Ok(stream) => self.take_in.open(stream, self.queue.earliest()),
                Err(error) => {
                    self.take_in.book.accept_failed.add();
                    self.failed.warn(format_args!("accept failed: {error}"));
                    sleep(PAUSE).await;
                }
            }
        }
    }

    /// Attempts and probes that wait for a connection go first.
    fn has_place(&self) -> bool {
        !self.take_in.room.is_waited_for() && self.take_in.make_place()
    }

    fn is_too_old(&self) -> bool {
        self.queue.of_unread().elapsed() > LONGEST_WAIT
    }

    /// There is no place: waits for one, and shuts what has waited for too long.
    async fn stand_back(&self) {
        self.queue.looks_away(Instant::now());
        if !self.is_too_old() || !self.take_in.life.accepts() {
            return self.take_in.room.freed().await;
        }
        while let Some(Ok(stream)) = self.accept_now().await {
            self.take_in.book.shut_unread.add();
            self.shut.warn("no place for a connection, shut unread");
            drop(stream);
        }
    }

    async fn accept(&self) -> io::Result<TcpStream> {
        poll_fn(|context| match self.listener.poll_accept(context) {
            Poll::Pending => {
                self.queue.found_nothing();
                Poll::Pending
            }
            Poll::Ready(accepted) => {
                self.queue.read(Instant::now(), 1, None);
                Poll::Ready(accepted.map(|(stream, _)| stream))
            }
        })
        .await
    }

    /// What waits in the queue now, if anything does.
    async fn accept_now(&self) -> Option<io::Result<TcpStream>> {
        timeout(Duration::ZERO, self.accept()).await.ok()
    }
}
