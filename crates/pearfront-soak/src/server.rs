//! The role of a server: answers requests after a service time, now and then with an error or a long answer, and rejects them
//! once it drains.

use crate::answer_spec::{AnswerForm, AnswerSpec};
use crate::clock;
use crate::http::{Connection, Message, RemainingBody, answer};
use crate::record::{Record, Recorder};
use crate::role::{Order, Orders, ServerRole, listen};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::io;
use std::ops::Range;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Shortest and longest service time of a request, ms; one in twenty takes ten times as long.
const SERVICE_TIME_MS: (f64, f64) = (2.0, 40.0);
const LONG_SHARE: f64 = 0.05;
/// Share of requests that end in an error.
const ERROR_SHARE: f64 = 0.01;
/// Bytes written at a time.
const BLOCK_BYTES: usize = 64 * 1024;
/// Bytes of a block of a trickling answer, and the range from which the pause between two is drawn, ms.
const TRICKLE_BYTES: usize = 2048;
const TRICKLE_PAUSE_MS: Range<u64> = 50..MAX_PAUSE_MS;
/// All pauses of a trickling answer that has an end, ms: its clients wait for longer.
const TRICKLE_TIME_MS: u64 = 3000;
/// Delay of an answer that begins late.
const LATE_DELAY: Duration = Duration::from_millis(2000);
/// Longest pause of a server within an answer, ms.
pub const MAX_PAUSE_MS: u64 = 2500;

struct Server {
    role: ServerRole,
    recorder: Recorder,
    rng: RefCell<ChaCha8Rng>,
    draining: Cell<bool>,
    /// Requests in work.
    in_flight: Cell<usize>,
}

/// What becomes of the connection after an answer.
#[derive(PartialEq, Eq)]
enum NextStep {
    KeepAlive,
    Close,
}

/// Serves requests until the orders end.
pub async fn run(recorder: Recorder, role: ServerRole, mut orders: Orders) -> Result<(), String> {
    let listener = listen(role.address)?;
    let rng = RefCell::new(ChaCha8Rng::seed_from_u64(role.seed));
    let server = Rc::new(Server { role, recorder, rng, draining: Cell::new(false), in_flight: Cell::new(0) });
    let accepting = server.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(accepting.clone().serve(Connection::new(stream)));
        }
    });
    while let Some(order) = orders.next().await {
        if matches!(order, Order::Drain) {
            server.draining.set(true);
        }
    }
    Ok(())
}

impl Server {
    async fn serve(self: Rc<Self>, mut connection: Connection) {
        while let Some(message) = connection.head().await {
            let mut rest = RemainingBody::of_request(&message);
            while let Ok(Some(_)) = connection.piece(&mut rest).await {}
            if rest != RemainingBody::Done {
                return;
            }
            match self.answer(&message, &mut connection).await {
                Ok(NextStep::KeepAlive) => {}
                Ok(NextStep::Close) | Err(_) => return,
            }
        }
    }

    async fn answer(&self, message: &Message, connection: &mut Connection) -> io::Result<NextStep> {
        let answer = match message.header("x-trace-id") {
            Some(id) if self.role.serves_on || !self.draining.get() => {
                let is_served = self.execute(id).await;
                match AnswerSpec::decode(message) {
                    Some(answer_spec) if is_served => {
                        return self.write_answer(answer_spec, connection).await;
                    }
                    _ if is_served => answer("200 OK", "", id.as_bytes()),
                    _ => answer("500 Oops", "", b""),
                }
            }
            _ if self.draining.get() => answer("503 Draining", "X-Never-Ran: 1\r\n", b""),
            _ => answer("200 OK", "", format!("TEXT util=0.30,inflight={}", self.in_flight.get()).as_bytes()),
        };
        connection.write(&answer).await?;
        Ok(NextStep::KeepAlive)
    }

    /// Runs a request; false if it fails.
    async fn execute(&self, id: &str) -> bool {
        let ran = Record::Ran { id: id.to_string(), server: self.role.number, at: clock::now() };
        self.recorder.write(&ran);
        let (service_time, fails) = {
            let mut rng = self.rng.borrow_mut();
            let times = if rng.random_bool(LONG_SHARE) { 10.0 } else { 1.0 };
            (rng.random_range(SERVICE_TIME_MS.0..SERVICE_TIME_MS.1) * times, rng.random_bool(ERROR_SHARE))
        };
        self.in_flight.set(self.in_flight.get() + 1);
        sleep(Duration::from_secs_f64(service_time / 1000.0)).await;
        self.in_flight.set(self.in_flight.get() - 1);
        !fails
    }

    /// Draws a pause between two blocks of an answer.
    fn draw_pause(&self) -> Duration {
        Duration::from_millis(self.rng.borrow_mut().random_range(TRICKLE_PAUSE_MS))
    }

    /// Writes an answer in the form that the request asks for.
    async fn write_answer(
        &self,
        answer_spec: AnswerSpec,
        connection: &mut Connection,
    ) -> io::Result<NextStep> {
        let framing = match answer_spec.form {
            AnswerForm::Length | AnswerForm::Stalls | AnswerForm::Trickles | AnswerForm::Late => {
                format!("Content-Length: {}", answer_spec.length)
            }
            AnswerForm::Chunked | AnswerForm::Endless => "Transfer-Encoding: chunked".to_string(),
            AnswerForm::UntilEnd => "Connection: close".to_string(),
        };
        if answer_spec.form == AnswerForm::Late {
            sleep(LATE_DELAY).await;
        }
        connection.write(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await?;
        match answer_spec.form {
            AnswerForm::Length | AnswerForm::Late => write_bytes(connection, answer_spec.length).await?,
            AnswerForm::UntilEnd => {
                write_bytes(connection, answer_spec.length).await?;
                return Ok(NextStep::Close);
            }
            AnswerForm::Chunked => {
                write_chunk(connection, answer_spec.length).await?;
                connection.write(b"0\r\n\r\n").await?;
            }
            AnswerForm::Stalls => {
                write_bytes(connection, answer_spec.length / 2).await?;
                connection.closed().await;
                return Ok(NextStep::Close);
            }
            AnswerForm::Trickles => {
                let pause = self.draw_pause();
                let max_blocks = Duration::from_millis(TRICKLE_TIME_MS).div_duration_f64(pause) as usize;
                let blocks = (answer_spec.length / 2 / TRICKLE_BYTES).min(max_blocks);
                write_bytes(connection, answer_spec.length - blocks * TRICKLE_BYTES).await?;
                for _ in 0..blocks {
                    sleep(pause).await;
                    write_bytes(connection, TRICKLE_BYTES).await?;
                }
            }
            AnswerForm::Endless => {
                let pause = self.draw_pause();
                write_chunk(connection, answer_spec.length).await?;
                loop {
                    sleep(pause).await;
                    write_chunk(connection, TRICKLE_BYTES).await?;
                }
            }
        }
        Ok(NextStep::KeepAlive)
    }
}

async fn write_bytes(connection: &mut Connection, length: usize) -> io::Result<()> {
    let block = [b'x'; BLOCK_BYTES];
    let mut left = length;
    while left > 0 {
        let count = left.min(BLOCK_BYTES);
        connection.write(&block[..count]).await?;
        left -= count;
    }
    Ok(())
}

async fn write_chunk(connection: &mut Connection, length: usize) -> io::Result<()> {
    if length == 0 {
        return Ok(());
    }
    connection.write(format!("{length:x}\r\n").as_bytes()).await?;
    write_bytes(connection, length).await?;
    connection.write(b"\r\n").await
}
