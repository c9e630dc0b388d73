//! What two processes of one node tell one another while an upgrade goes on: the list as last told, which ids are
//! open, and what each uses of the limits that they share. The one that serves listens at a socket in `$TMPDIR`, the
//! next one to start calls there; what can't be understood leaves each as if it were alone.

use crate::capacity::{Capacity, Usage};
use crate::discovery::Discovery;
use crate::lifecycle::{Lifecycle, State};
use crate::logger::Seldom;
use crate::system::patiently;
use serde::{Deserialize, Serialize};
use serde_json::Value;
use std::cell::{Cell, RefCell};
use std::collections::HashSet;
use std::path::PathBuf;
use std::pin::pin;
use std::rc::Rc;
use std::time::Duration;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::unix::OwnedReadHalf;
use tokio::net::{UnixListener, UnixStream};
use tokio::sync::Notify;
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::task::spawn_local;
use tokio::time::{interval, sleep, timeout};

/// What both sides must agree on; any change of `Word` is another version.
const VERSION: u64 = 1;
/// How often each tells what it uses.
const EVERY: Duration = Duration::from_millis(50);
/// How long a new process waits for the first word of the one before it: it may be busy.
const HELLO: Duration = Duration::from_millis(1500);
/// Words that may wait to be written: one that reads no more of them is as good as gone.
const WAITING: usize = 4096;
/// Longest line, bytes: a list of thousands of servers.
const LONGEST: u64 = 8 * 1024 * 1024;
/// Silent for so long, though each says something every 50 ms, another process may stand still: nothing is left to it.
const SILENT: Duration = Duration::from_millis(300);
/// Pause after a failed accept.
const ACCEPT_PAUSE: Duration = Duration::from_millis(100);

#[derive(Debug, Serialize, Deserialize)]
#[serde(rename_all = "snake_case", deny_unknown_fields)]
enum Word {
    Hello {
        version: u64,
    },
    /// The whole list in discovery's form.
    List(Value),
    /// It says yes to operators.
    Ready,
    Uses {
        connections: usize,
        bytes: usize,
    },
    /// A job of this id is open there, or no longer.
    Open(String),
    Over(String),
}

/// Another process of this node.
struct Other {
    out: Sender<Word>,
    greeted: Cell<bool>,
    ready: Cell<bool>,
    /// Has it said nothing for too long?
    silent: Cell<bool>,
    uses: Cell<Usage>,
    ids: RefCell<HashSet<String>>,
    /// Rung when it does not read what it is told.
    lost: Notify,
}

impl Other {
    fn tell(&self, word: Word) {
        if self.out.try_send(word).is_err() {
            self.lost.notify_one();
        }
    }

    /// Waits while it stands still. It has its connections meanwhile, and its requests may go on: nothing of that is free before
    /// it speaks again, or has ended.
    async fn stands_still(&self) {
        sleep(SILENT + EVERY).await;
        while self.silent.get() {
            sleep(EVERY).await;
        }
    }
}

pub struct Peers {
    others: RefCell<Vec<Rc<Other>>>,
    /// The ids open here.
    ids: RefCell<HashSet<String>>,
    pub room: Rc<Capacity>,
    life: Rc<Lifecycle>,
    greeted: Notify,
    /// Rung when the last other process has gone.
    alone: Notify,
    failing: Seldom,
}

impl Peers {
    pub fn new(room: Rc<Capacity>, life: Rc<Lifecycle>) -> Rc<Self> {
        let (others, ids, greeted) = (RefCell::default(), RefCell::default(), Notify::new());
        Rc::new(Self { others, ids, room, life, greeted, alone: Notify::new(), failing: Seldom::default() })
    }

    /// Where the processes of a node of this name meet; nowhere without a folder that they share.
    pub fn place(name: &str) -> Option<PathBuf> {
        let folder = std::env::var_os("TMPDIR").filter(|folder| !folder.is_empty())?;
        let name: String = name.chars().filter(char::is_ascii_alphanumeric).collect();
        Some(PathBuf::from(folder).join(format!("pearfront-{name}.sock")))
    }

    /// Is a job of that id open, here or in another process?
    pub fn has_open(&self, id: &str) -> bool {
        let there = |other: &Rc<Other>| other.ids.borrow().contains(id);
        self.ids.borrow().contains(id) || self.others.borrow().iter().any(there)
    }

    pub fn open(&self, id: String) {
        self.tell(|| Word::Open(id.clone()));
        self.ids.borrow_mut().insert(id);
    }

    pub fn over(&self, id: &str) {
        self.tell(|| Word::Over(id.into()));
        self.ids.borrow_mut().remove(id);
    }

    /// This process says yes to operators.
    pub fn ready(&self) {
        self.tell(|| Word::Ready);
    }

    fn tell(&self, word: impl Fn() -> Word) {
        self.others.borrow().iter().for_each(|other| other.tell(word()));
    }

    /// Calls the process before this one, and waits for what it has to say; is there one? One that ends meanwhile is none.
    pub async fn call(self: &Rc<Self>, place: &PathBuf, discovery: &Rc<Discovery>) -> bool {
        match UnixStream::connect(place).await {
            Err(error) => {
                log::info!("no other process of this node to ask: {error}");
                false
            }
            Ok(stream) => {
                let ended = spawn_local(self.clone().talk(stream, discovery.clone()));
                tokio::select! {
                    biased;
                    greeted = timeout(HELLO, self.greeted.notified()) => {
                        if greeted.is_err() {
                            log::warn!("the other process of this node does not answer");
                        }
                        true
                    }
                    _ = ended => false,
                }
            }
        }
    }

    /// Waits until no other process of this node is known.
    pub async fn alone(&self) {
        while !self.others.borrow().is_empty() {
            self.alone.notified().await;
        }
    }

    /// Answers the next process of this node that starts, as long as this one runs.
    pub async fn serve(self: Rc<Self>, place: PathBuf, discovery: Rc<Discovery>) {
        // What stands there is of a process that this one follows, or of one that has gone.
        let _ = std::fs::remove_file(&place);
        let listener = match patiently(|| UnixListener::bind(&place)) {
            Ok(listener) => listener,
            Err(error) => return log::warn!("the next process of this node will know nothing: {error}"),
        };
        loop {
            match listener.accept().await {
                Ok((stream, _)) => drop(spawn_local(self.clone().talk(stream, discovery.clone()))),
                Err(error) => {
                    self.failing.warn(format_args!("another process of this node was not let in: {error}"));
                    sleep(ACCEPT_PAUSE).await;
                }
            }
        }
    }

    async fn talk(self: Rc<Self>, stream: UnixStream, discovery: Rc<Discovery>) {
        let (read, mut write) = stream.into_split();
        let (out, words) = mpsc::channel(WAITING);
        let other = Rc::new(Other {
            out,
            greeted: Cell::new(false),
            ready: Cell::new(false),
            silent: Cell::new(false),
            uses: Cell::default(),
            ids: RefCell::default(),
            lost: Notify::new(),
        });
        other.tell(Word::Hello { version: VERSION });
        other.tell(Word::List(discovery.as_json()));
        self.ids.borrow().iter().for_each(|id| other.tell(Word::Open(id.clone())));
        if self.life.is_ready() {
            other.tell(Word::Ready);
        }
        self.others.borrow_mut().push(other.clone());
        let writing = async {
            let (mut words, mut tick) = (words, interval(EVERY));
            while let Some(word) = self.next(&mut words, &mut tick).await {
                let mut line = serde_json::to_string(&word).expect("words are plain");
                line.push('\n');
                if write.write_all(line.as_bytes()).await.is_err() {
                    break;
                }
            }
            "it does not listen".to_string()
        };
        let told = async {
            tokio::select! {
                problem = writing => problem,
                () = other.lost.notified() => {
                    other.stands_still().await;
                    "it does not read what it is told".to_string()
                }
            }
        };
        let problem = tokio::select! {
            problem = told => problem,
            problem = self.hear(&other, read, &discovery) => problem,
        };
        self.others.borrow_mut().retain(|known| !Rc::ptr_eq(known, &other));
        self.share();
        log::info!("the other process of this node is gone: {problem}");
        if self.others.borrow().is_empty() {
            self.alone.notify_waiters();
        }
    }

    async fn next(&self, words: &mut Receiver<Word>, tick: &mut tokio::time::Interval) -> Option<Word> {
        tokio::select! {
            biased;
            word = words.recv() => word,
            _ = tick.tick() => {
                let Usage { connections, bytes } = self.room.usage();
                Some(Word::Uses { connections, bytes })
            }
        }
    }

    /// Takes in what another process says until it ends; says why.
    async fn hear(&self, other: &Other, read: OwnedReadHalf, discovery: &Rc<Discovery>) -> String {
        let mut reader = BufReader::new(read);
        loop {
            let mut line = Vec::new();
            let read =
                self.follow_silence(other, (&mut reader).take(LONGEST).read_until(b'\n', &mut line)).await;
            match read {
                Ok(0) => return "it has ended".into(),
                Ok(_) => {}
                Err(error) => return error.to_string(),
            }
            let word = serde_json::from_slice(&line).map_err(|error| error.to_string());
            if let Err(problem) = word.and_then(|word| self.take(other, word, discovery)) {
                return format!("it can't be understood: {problem}");
            }
        }
    }

    /// Waits for its next word; meanwhile it is known whether it has been silent for too long.
    async fn follow_silence<T>(&self, other: &Other, word: impl Future<Output = T>) -> T {
        let mut word = pin!(word);
        if let Ok(word) = timeout(SILENT, word.as_mut()).await {
            return word;
        }
        other.silent.set(true);
        self.share();
        let word = word.await;
        other.silent.set(false);
        word
    }

    fn take(&self, other: &Other, word: Word, discovery: &Rc<Discovery>) -> Result<(), String> {
        match word {
            Word::Hello { version: VERSION } => other.greeted.set(true),
            Word::Hello { version } => return Err(format!("version {version}, not {VERSION}")),
            _ if !other.greeted.get() => return Err("it says nothing of its version".into()),
            // From then on each has its own watch.
            Word::List(_) if self.life.state() != State::Starting => {}
            Word::List(list) => {
                discovery.told_by_other(&list)?;
                self.greeted.notify_waiters();
            }
            Word::Ready => other.ready.set(true),
            Word::Uses { connections, bytes } => other.uses.set(Usage { connections, bytes }),
            Word::Open(id) => drop(other.ids.borrow_mut().insert(id)),
            Word::Over(id) => drop(other.ids.borrow_mut().remove(&id)),
        }
        self.share();
        Ok(())
    }

    /// What the others are and use, where it matters here.
    fn share(&self) {
        let others = self.others.borrow();
        let known: Vec<_> = others.iter().filter(|other| other.greeted.get()).collect();
        self.room.set_others(&known.iter().map(|other| other.uses.get()).collect::<Vec<_>>());
        self.life.succeeded(known.iter().any(|other| other.ready.get() && !other.silent.get()));
    }
}

#[cfg(test)]
mod tests;
