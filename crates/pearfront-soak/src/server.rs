//! A server: serves requests after some time, now and then with an error or at great length, and turns them away once it
//! drains.

use crate::clock;
use crate::http::{Connection, Message, Rest, answer};
use crate::record::{Record, Recorder};
use crate::role::{Order, Orders, ServerRole, listen};
use crate::wish::{Form, Wish};
use rand::{Rng, SeedableRng};
use rand_chacha::ChaCha8Rng;
use std::cell::{Cell, RefCell};
use std::io;
use std::rc::Rc;
use std::time::Duration;
use tokio::task::spawn_local;
use tokio::time::sleep;

/// Shortest and longest time for a request, ms; one in twenty takes ten times as long.
const TAKES: (f64, f64) = (2.0, 40.0);
const LONG: f64 = 0.05;
/// Share of requests that end in an error.
const ERRORS: f64 = 0.01;
/// Bytes written at a time.
const BLOCK: usize = 64 * 1024;
/// What drips: so many bytes, with this pause.
const DROP: usize = 2048;
const PAUSE: Duration = Duration::from_millis(150);
/// An answer that begins late does so after this time.
const LATE: Duration = Duration::from_millis(2000);
/// So many drops of an answer that has an end.
const DROPS: usize = 20;

struct Server {
    role: ServerRole,
    recorder: Recorder,
    chance: RefCell<ChaCha8Rng>,
    drains: Cell<bool>,
    /// Requests that it holds.
    held: Cell<usize>,
}

/// Does the connection go on behind an answer?
#[derive(PartialEq, Eq)]
enum After {
    GoesOn,
    Ends,
}

pub async fn play(recorder: Recorder, role: ServerRole, mut orders: Orders) -> Result<(), String> {
    let listener = listen(role.address)?;
    let chance = RefCell::new(ChaCha8Rng::seed_from_u64(role.seed));
    let server = Rc::new(Server { role, recorder, chance, drains: Cell::new(false), held: Cell::new(0) });
    let accepting = server.clone();
    spawn_local(async move {
        while let Ok((stream, _)) = listener.accept().await {
            spawn_local(accepting.clone().serve(Connection::new(stream)));
        }
    });
    while let Some(order) = orders.next().await {
        if matches!(order, Order::Drain) {
            server.drains.set(true);
        }
    }
    Ok(())
}

impl Server {
    async fn serve(self: Rc<Self>, mut connection: Connection) {
        while let Some(message) = connection.head().await {
            let mut rest = Rest::of_request(&message);
            while let Ok(Some(_)) = connection.piece(&mut rest).await {}
            if rest != Rest::Over {
                return;
            }
            match self.answer(&message, &mut connection).await {
                Ok(After::GoesOn) => {}
                Ok(After::Ends) | Err(_) => return,
            }
        }
    }

    async fn answer(&self, message: &Message, connection: &mut Connection) -> io::Result<After> {
        let answer = match message.header("x-trace-id") {
            Some(id) if self.role.serves_on || !self.drains.get() => {
                let is_served = self.run(id).await;
                match Wish::decode(message) {
                    Some(wish) if is_served => return give(wish, connection).await,
                    _ if is_served => answer("200 OK", "", id.as_bytes()),
                    _ => answer("500 Oops", "", b""),
                }
            }
            _ if self.drains.get() => answer("503 Draining", "X-Never-Ran: 1\r\n", b""),
            _ => answer("200 OK", "", format!("TEXT util=0.30,inflight={}", self.held.get()).as_bytes()),
        };
        connection.write(&answer).await?;
        Ok(After::GoesOn)
    }

    /// Runs a request: whether it is served.
    async fn run(&self, id: &str) -> bool {
        let ran = Record::Ran { id: id.to_string(), server: self.role.number, at: clock::now() };
        self.recorder.write(&ran);
        let (takes, fails) = {
            let mut chance = self.chance.borrow_mut();
            let times = if chance.random_bool(LONG) { 10.0 } else { 1.0 };
            (chance.random_range(TAKES.0..TAKES.1) * times, chance.random_bool(ERRORS))
        };
        self.held.set(self.held.get() + 1);
        sleep(Duration::from_secs_f64(takes / 1000.0)).await;
        self.held.set(self.held.get() - 1);
        !fails
    }
}

/// Gives an answer in the form that is wanted.
async fn give(wish: Wish, connection: &mut Connection) -> io::Result<After> {
    let framing = match wish.form {
        Form::Length | Form::Stalls | Form::Drips | Form::Late => format!("Content-Length: {}", wish.length),
        Form::Chunked | Form::Endless => "Transfer-Encoding: chunked".to_string(),
        Form::UntilEnd => "Connection: close".to_string(),
    };
    if wish.form == Form::Late {
        sleep(LATE).await;
    }
    connection.write(format!("HTTP/1.1 200 OK\r\n{framing}\r\n\r\n").as_bytes()).await?;
    match wish.form {
        Form::Length | Form::Late => write_some(connection, wish.length).await?,
        Form::UntilEnd => {
            write_some(connection, wish.length).await?;
            return Ok(After::Ends);
        }
        Form::Chunked => {
            write_chunk(connection, wish.length).await?;
            connection.write(b"0\r\n\r\n").await?;
        }
        Form::Stalls => {
            write_some(connection, wish.length / 2).await?;
            connection.closed().await;
            return Ok(After::Ends);
        }
        Form::Drips => {
            let drops = (wish.length / 2 / DROP).min(DROPS);
            write_some(connection, wish.length - drops * DROP).await?;
            for _ in 0..drops {
                sleep(PAUSE).await;
                write_some(connection, DROP).await?;
            }
        }
        Form::Endless => {
            write_chunk(connection, wish.length).await?;
            loop {
                sleep(PAUSE).await;
                write_chunk(connection, DROP).await?;
            }
        }
    }
    Ok(After::GoesOn)
}

async fn write_some(connection: &mut Connection, length: usize) -> io::Result<()> {
    let block = [b'x'; BLOCK];
    let mut left = length;
    while left > 0 {
        let count = left.min(BLOCK);
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
    write_some(connection, length).await?;
    connection.write(b"\r\n").await
}
