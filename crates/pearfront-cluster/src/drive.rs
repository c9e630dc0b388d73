//! Drives the core of membership: one task for datagrams and timers, one for who dials in, and the folder.

use crate::board::{Board, Sent};
use crate::clock::Clock;
use crate::disk;
use crate::folder;
use crate::link::{Event, Greeting, Word};
use crate::links::{Condition, Links, MOST};
use crate::seat::Seat;
use crate::settings::Settings;
use crate::view::{CountsView, MemberView, View, state_word};
use pearfront_consensus::PersistentState;
use pearfront_duties::ProcessId;
use pearfront_membership::{
    Action, Change, Destination, Identity, MAX_DATAGRAM_BYTES, Member, Membership, State,
};
use pearfront_store::{Folder, Store};
use rand::RngCore;
use std::cell::{Cell, RefCell};
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::path::PathBuf;
use std::rc::Rc;
use std::time::Duration;
use tokio::net::{TcpListener, TcpSocket, UdpSocket};
use tokio::sync::mpsc::{self, Receiver, Sender};
use tokio::sync::{Notify, watch};
use tokio::task::{spawn_blocking, spawn_local};
use tokio::time::{Instant, sleep, sleep_until};

/// Datagrams read in one go before anything else has its turn.
const IN_ONE_GO: usize = 32;
/// Datagrams that are read in a second, and at once: sixteen processes need some 100. Beyond it they wait in the kernel
/// and are dropped there; a flood costs jobs nothing then.
const BUDGET: f64 = 2000.0;
const BUDGET_AT_ONCE: f64 = 400.0;
/// Pause in reading once the budget is used up.
const BUDGET_PAUSE: Duration = Duration::from_millis(20);
/// Time between two looks at all links: beats, dials.
const LINK_LOOK: Duration = Duration::from_millis(250);
/// Others to which links are kept: everyone up to so many, else the next of them in the order of names.
const PARTNERS: usize = 32;
/// Words from links that wait for the driver.
const EVENTS: usize = 256;
/// Connections that the kernel holds for this process.
const BACKLOG: u32 = 256;
/// Descriptors that the cluster may use: two sockets, its streams, a file and its folder.
const DESCRIPTORS: usize = MOST + 8;

pub struct Cluster {
    pub(crate) settings: Settings,
    name: String,
    pub(crate) clock: Clock,
    core: RefCell<Membership>,
    socket: UdpSocket,
    links: Rc<Links>,
    /// The incarnation that the folder should have.
    keep: watch::Sender<u64>,
    over_budget: Cell<u64>,
    /// Duties, where there are voters.
    pub(crate) board: Option<RefCell<Board>>,
    /// Something has come of them.
    pub(crate) news: Notify,
}

/// Everything bound and read, before anything is said.
pub struct Bound {
    socket: UdpSocket,
    listener: TcpListener,
}

fn bind(address: SocketAddr) -> Result<Bound, String> {
    let told = |error: std::io::Error| format!("listen: {address}: {error}");
    let stream = if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.map_err(told)?;
    stream.set_reuseaddr(true).map_err(told)?;
    stream.bind(address).map_err(told)?;
    let listener = stream.listen(BACKLOG).map_err(told)?;
    let socket = std::net::UdpSocket::bind(address).map_err(told)?;
    socket.set_nonblocking(true).map_err(told)?;
    Ok(Bound { socket: UdpSocket::from_std(socket).map_err(told)?, listener })
}

impl Cluster {
    /// Binds, reads the folder and begins to join; runs as long as the process. Needs a `LocalSet`.
    ///
    /// # Errors
    /// The key that can't be had as it is, and why.
    pub fn start(settings: Settings, node: &str) -> Result<Rc<Self>, String> {
        settings.check()?;
        let name = settings.name.clone().unwrap_or_else(|| node.to_string());
        let kept = match &settings.folder {
            Some(folder) => {
                std::fs::create_dir_all(folder)
                    .map_err(|error| format!("folder: {}: {error}", folder.display()))?;
                folder::read(folder).map_err(|problem| format!("folder: {problem}"))?
            }
            None => 0,
        };
        // Read before anything is bound: a voter whose folder is damaged must not be there at all.
        let voter = settings.voter_folder(&name)?;
        let voter = voter.map(|folder| disk::open(&folder).map_err(|problem| format!("folder: {problem}")));
        let voter = voter.transpose()?;
        let Bound { socket, listener } = bind(settings.listen)?;
        let mut chance = rand::rng();
        let (life, seed) = (chance.next_u64(), chance.next_u64());
        let clock = Clock::start();
        let who = Identity {
            installation: settings.installation.clone(),
            name: name.clone(),
            zone: settings.zone.clone(),
            address: settings.reached_at(),
            life,
            last_incarnation: kept,
        };
        let seeds = settings.asked_first(&name);
        let core = Membership::new(who, seeds, settings.times.core(), seed, clock.now())
            .map_err(|problem| format!("name: {problem}"))?;
        let (events, heard) = mpsc::channel(EVENTS);
        let greeting = Greeting::new(&settings.installation, &name, life);
        let me = ProcessId { name: name.clone(), life };
        let board = board(&settings, me, voter, &events, (chance.next_u64(), clock.now()));
        let links = Links::new(greeting, clock, events);
        let (keep, wanted) = watch::channel(kept);
        if let Some(folder) = settings.folder.clone() {
            spawn_local(keep_incarnation(folder, wanted));
        }
        log::info!(
            "cluster: event=start name={name} listen={} life={life:016x} kept={kept}",
            settings.listen
        );
        let over_budget = Cell::new(0);
        let cluster = Rc::new(Self {
            settings,
            name,
            clock,
            core: RefCell::new(core),
            socket,
            links,
            keep,
            over_budget,
            board: board.map(RefCell::new),
            news: Notify::new(),
        });
        spawn_local(cluster.links.clone().accept(listener));
        spawn_local(cluster.clone().look_at_links());
        spawn_local(cluster.clone().drive(heard));
        Ok(cluster)
    }

    /// Descriptors that it may use, which nothing else may have.
    pub fn max_descriptors() -> usize {
        DESCRIPTORS
    }

    async fn drive(self: Rc<Self>, mut events: Receiver<Event>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let (mut budget, mut filled) = (BUDGET_AT_ONCE, self.clock.now());
        let mut reads_from = Instant::now();
        self.call(|core, now| core.tick(now));
        loop {
            let due = self.core.borrow().due();
            let duty = self.board.as_ref().map_or(f64::INFINITY, |board| board.borrow().due());
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else { return };
                    self.event(event);
                }
                ready = self.socket.readable(), if Instant::now() >= reads_from => {
                    if ready.is_err() {
                        sleep(BUDGET_PAUSE).await;
                    }
                    let now = self.clock.now();
                    budget = (budget + (now - filled).max(0.0) * BUDGET / 1000.0).min(BUDGET_AT_ONCE);
                    filled = now;
                    budget -= self.read(&mut buffer, budget) as f64;
                    if budget < 1.0 {
                        self.over_budget.set(self.over_budget.get() + 1);
                        reads_from = Instant::now() + BUDGET_PAUSE;
                    }
                }
                () = sleep_until(reads_from), if Instant::now() < reads_from => {}
                () = sleep_until(self.clock.at(due)) => self.call(|core, now| core.tick(now)),
                () = sleep_until(self.clock.at(duty)), if duty.is_finite() => {
                    self.on_board(Board::tick);
                }
            }
        }
    }

    /// Reads what is there, within the budget; how much that was.
    fn read(self: &Rc<Self>, buffer: &mut [u8], budget: f64) -> usize {
        let most = IN_ONE_GO.min(budget.max(0.0) as usize);
        for done in 0..most {
            // Where it came from says nothing: the packet says whom it is from.
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else { return done };
            self.call(|core, now| {
                // What is refused is counted there.
                let _ = core.receive_bytes(&buffer[..length], now);
            });
        }
        most
    }

    /// Calls the core and does what it wants done.
    fn call<T>(self: &Rc<Self>, call: impl FnOnce(&mut Membership, f64) -> T) -> T {
        let (value, out) = {
            let mut core = self.core.borrow_mut();
            let value = call(&mut core, self.clock.now());
            (value, core.take_actions())
        };
        for out in out {
            self.carry(out);
        }
        value
    }

    /// Calls what has to do with duties, and sends what it wants sent; nothing without voters.
    pub(crate) fn on_board<T>(&self, call: impl FnOnce(&mut Board, f64) -> T) -> Option<T> {
        let board = self.board.as_ref()?;
        let (value, sent, news) = {
            let mut board = board.borrow_mut();
            let value = call(&mut board, self.clock.now());
            (value, board.take_sent(), std::mem::take(&mut board.news))
        };
        // One that was barred, or was not taken in yet, has no say.
        let member = *self.core.borrow().state() == State::Member;
        sent.into_iter().filter(|_| member).for_each(|sent| self.send(sent));
        if news {
            self.news.notify_waiters();
        }
        Some(value)
    }

    fn send(&self, Sent { to, life, word }: Sent) {
        let core = self.core.borrow();
        if let Some(life) = life.or_else(|| core.member(&to).map(|member| member.card.life)) {
            self.links.send(life, word);
        }
    }

    fn carry(self: &Rc<Self>, out: Action) {
        match out {
            Action::Datagram { to, bytes } => {
                // A datagram that the kernel does not take is one that is lost: the core bears that.
                let _ = self.socket.try_send_to(&bytes, self.reached(&to));
            }
            Action::Frame { to, bytes } => self.links.send_frame(to.life, self.reached(&to), bytes),
            Action::PersistIncarnation(incarnation) => drop(self.keep.send(incarnation)),
            Action::Changed(change) => self.told(&change),
        }
    }

    /// Where this process reaches one: as its own file says, else as that one says.
    fn reached(&self, to: &Destination) -> SocketAddr {
        let own = to.name.as_ref().and_then(|name| self.settings.peers.get(name));
        own.copied().unwrap_or(to.address)
    }

    fn event(self: &Rc<Self>, event: Event) {
        match event {
            Event::Heard { from, word } => self.word(&from, word),
            Event::Down { other } => {
                log::info!("cluster: event=link-down name={} life={:016x}", other.name, other.life);
                let core = self.core.borrow();
                let member = core.member(&other.name).filter(|member| member.card.life == other.life);
                if let Some(member) = member {
                    let to = Destination {
                        name: Some(other.name.clone()),
                        life: None,
                        address: member.card.address,
                    };
                    spawn_local(self.links.clone().verify(other.name, other.life, self.reached(&to)));
                }
            }
            Event::Ended { name, life } => {
                self.call(|core, now| core.process_ended(&name, life, now));
                self.on_board(|board, now| board.ended(&name, life, now));
            }
            Event::Stored(stored) => {
                self.on_board(|board, now| board.stored(stored, now));
            }
        }
    }

    fn word(self: &Rc<Self>, from: &Greeting, word: Word) {
        match word {
            Word::Beat(number) => {
                self.links.echo(from.life, number);
                self.call(|core, now| core.link_active(&from.name, from.life, None, now));
            }
            Word::Echo(number) => {
                let trip = self.links.echoed(from.life, number);
                self.call(|core, now| core.link_active(&from.name, from.life, trip, now));
            }
            Word::Frame(bytes) => {
                self.links.used(from.life);
                self.call(|core, now| {
                    let _ = core.receive_bytes(&bytes, now);
                });
            }
            word => {
                self.links.used(from.life);
                self.on_board(|board, now| board.heard(&from.name, word, now));
            }
        }
    }

    async fn look_at_links(self: Rc<Self>) {
        loop {
            sleep(LINK_LOOK).await;
            let partners = self.partners();
            let lives: Vec<u64> = partners.iter().map(|(_, life, _)| *life).collect();
            // One of a pair dials, or there were two links.
            let dials = partners.into_iter().filter(|(name, ..)| self.name < *name || self.asks_only(name));
            let dials: Vec<_> = dials.collect();
            self.links.look(&dials, &lives);
        }
    }

    /// Is that a voter to which this process only turns, and which keeps no link of its own?
    fn asks_only(&self, name: &str) -> bool {
        let voters = &self.settings.voters;
        let is_voter = |name: &str| voters.iter().any(|voter| voter == name);
        is_voter(name) && !is_voter(&self.name) && self.core.borrow().members().count() > PARTNERS
    }

    /// Those to whom a link is kept.
    fn partners(&self) -> Vec<(String, u64, SocketAddr)> {
        let core = self.core.borrow();
        if *core.state() != State::Member {
            return Vec::new();
        }
        let here: Vec<&Member> = core.members().filter(|member| member.is_present()).collect();
        let reached = |member: &Member| {
            let name = Some(member.card.name.clone());
            self.reached(&Destination { name, life: None, address: member.card.address })
        };
        let own = here.partition_point(|member| member.card.name < self.name);
        let near = |place: usize| {
            // Steps from this process to that place and back, in the circle of names with this process in it.
            let ahead = (place + here.len() - own) % here.len().max(1) + 1;
            let voter = self.settings.voters.contains(&here[place].card.name);
            here.len() <= PARTNERS || voter || ahead <= PARTNERS / 2 || ahead > here.len() - PARTNERS / 2
        };
        let near = here.iter().enumerate().filter(|(place, _)| near(*place));
        near.map(|(_, member)| (member.card.name.clone(), member.card.life, reached(member))).collect()
    }

    /// A line in the log for each change, in the notation `event=... key=...`.
    fn told(&self, change: &Change) {
        match change {
            Change::Joined => log::info!("cluster: event=joined"),
            Change::Here { name, incarnation } => {
                log::info!("cluster: event=here name={name} incarnation={incarnation}");
            }
            Change::Restarted { name, incarnation } => {
                log::info!("cluster: event=restarted name={name} incarnation={incarnation}");
            }
            Change::Suspected { name, by } => log::info!("cluster: event=suspected name={name} by={by}"),
            Change::Cleared { name, incarnation } => {
                log::info!("cluster: event=cleared name={name} incarnation={incarnation}");
            }
            Change::Silent { name, told_by } => {
                log::warn!("cluster: event=silent name={name} told_by={}", told_by.as_deref().unwrap_or("-"));
            }
            Change::Ended { name, told_by } => {
                log::warn!("cluster: event=ended name={name} told_by={}", told_by.as_deref().unwrap_or("-"));
            }
            Change::Left { name } => log::info!("cluster: event=left name={name}"),
            Change::Refuted { was, incarnation } => {
                log::warn!("cluster: event=refuted held={} incarnation={incarnation}", was.as_str());
            }
            Change::Doubts { stood } => log::warn!("cluster: event=stood-still ms={stood:.0}"),
            Change::Sure => log::info!("cluster: event=sure"),
            Change::Deaf => log::warn!("cluster: event=deaf"),
            Change::Hears => log::info!("cluster: event=hears"),
            Change::Barred { by } => log::error!(
                "cluster: event=barred: {} is the name of a process at {}; this one takes no part",
                by.name,
                by.address
            ),
            Change::Claimed { by } => {
                log::warn!(
                    "cluster: event=claimed: a process at {} has come under this one's name",
                    by.address
                );
            }
        }
    }

    /// Says goodbye; links end with the process.
    pub fn leave(self: &Rc<Self>) {
        self.call(|core, now| core.leave(now));
    }

    /// All that operators are shown.
    pub fn view(&self) -> View {
        let (core, now) = (self.core.borrow(), self.clock.now());
        let (me, state) = (core.me(), core.state());
        let barred_by = match state {
            State::Barred { by } => Some(by.address.to_string()),
            _ => None,
        };
        View {
            installation: self.settings.installation.clone(),
            name: me.name.clone(),
            zone: me.zone.clone(),
            address: me.address.to_string(),
            incarnation: me.incarnation,
            life: format!("{:016x}", me.life),
            state: state_word(state),
            barred_by,
            sure: core.is_view_confirmed(),
            deaf_s: core.isolated_since().map(|since| (now - since) / 1000.0),
            health: core.health(),
            sum: format!("{:08x}", core.view_checksum()),
            members: core.members().map(|member| self.member_view(&core, member, now)).collect(),
            counts: CountsView::new(core.counts(), self.over_budget.get(), self.links.dropped.get()),
        }
    }

    fn member_view(&self, core: &Membership, member: &Member, now: f64) -> MemberView {
        let suspected_by = core.suspicion(&member.card.name).map(|(by, ..)| by).unwrap_or_default();
        MemberView {
            name: member.card.name.clone(),
            zone: member.card.zone.clone(),
            address: member.card.address.to_string(),
            state: member.status.as_str(),
            since_s: (now - member.since) / 1000.0,
            incarnation: member.card.incarnation,
            life: format!("{:016x}", member.card.life),
            round_trip_ms: (member.round_trip > 0.0).then_some(member.round_trip),
            heard_s: member.heard.is_finite().then(|| (now - member.heard) / 1000.0),
            told_by: member.told_by.clone(),
            suspected_by: suspected_by.into_iter().map(str::to_string).collect(),
            link: match self.links.condition(member.card.life) {
                Condition::None => "none",
                Condition::Up => "up",
                Condition::Stalled => "stalled",
            },
        }
    }

    /// Figures for the counters' line.
    pub fn counters(&self) -> BTreeMap<&'static str, u64> {
        let counts = self.core.borrow().counts();
        BTreeMap::from([
            ("cluster_datagrams_in", counts.datagrams_in),
            ("cluster_datagrams_out", counts.datagrams_out),
            ("cluster_refused", counts.foreign + counts.garbled + counts.elsewhere),
            ("cluster_over_budget", self.over_budget.get()),
            ("cluster_suspicions", counts.suspicions),
            ("cluster_refutations", counts.refutations),
        ])
    }
}

/// Duties, and this process's own seat among the voters, if its file names any.
fn board(
    settings: &Settings,
    me: ProcessId,
    voter: Option<(Store<Folder>, PersistentState)>,
    events: &Sender<Event>,
    (seed, now): (u64, f64),
) -> Option<Board> {
    if settings.voters.is_empty() {
        return None;
    }
    let (log, duties) = (settings.times.log(), settings.times.duties());
    let seat = voter.map(|(store, kept)| {
        let (groups, wanted) = mpsc::unbounded_channel();
        spawn_local(disk::keep(store, wanted, events.clone()));
        Seat::new(&me.name, &settings.voters, kept, (log, duties), groups, seed, now)
    });
    Some(Board::new(me, &settings.voters, duties, seat))
}

/// Keeps the folder at the last incarnation; a slow disk delays nothing else, and what is not kept the others tell.
async fn keep_incarnation(folder: PathBuf, mut wanted: watch::Receiver<u64>) {
    while wanted.changed().await.is_ok() {
        let (incarnation, folder) = (*wanted.borrow_and_update(), folder.clone());
        match spawn_blocking(move || folder::write(&folder, incarnation)).await {
            Ok(Ok(())) => {}
            Ok(Err(problem)) => log::error!("cluster: event=not-kept: {problem}"),
            Err(error) => log::error!("cluster: event=not-kept: {error}"),
        }
    }
}
