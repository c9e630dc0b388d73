//! `Cluster` connects the membership core and the duties to sockets, timers and files. The node and the scale
//! measurements create one.

use crate::clock::Clock;
use crate::duty_service::{DutyService, Outgoing};
use crate::incarnation_file;
use crate::link::{Event, Handshake, LinkMessage};
use crate::links::{LinkState, Links, MAX_STREAMS};
use crate::replica::Replica;
use crate::settings::Settings;
use crate::view::{CountsView, MemberView, View, state_name};
use crate::voter_store;
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

/// Datagrams read in a row before other events get their turn.
const DATAGRAMS_PER_TURN: usize = 32;
/// Rate limit and burst for reading datagrams. Sixteen processes need some 100 a second; what exceeds the limit
/// waits in the kernel and is dropped there, so a flood takes no time from requests.
const DATAGRAMS_PER_SECOND: f64 = 2000.0;
const DATAGRAM_BURST: f64 = 400.0;
/// Pause in reading once the budget is used up.
const READ_PAUSE: Duration = Duration::from_millis(20);
/// Interval for link maintenance: heartbeats and dialling.
const LINK_INTERVAL: Duration = Duration::from_millis(250);
/// Links are kept to all others up to this number, else to the nearest ones in the order of names.
const MAX_PARTNERS: usize = 32;
/// Events from links that may wait in the queue.
const MAX_QUEUED_EVENTS: usize = 256;
/// Listen backlog of the kernel.
const LISTEN_BACKLOG: u32 = 256;
/// File descriptors that the cluster may use: two sockets, its streams, a file and its folder.
const MAX_DESCRIPTORS: usize = MAX_STREAMS + 8;

/// This process as a member of its installation.
pub struct Cluster {
    pub(crate) settings: Settings,
    name: String,
    pub(crate) clock: Clock,
    core: RefCell<Membership>,
    socket: UdpSocket,
    links: Rc<Links>,
    /// The incarnation that the folder should hold.
    incarnation: watch::Sender<u64>,
    over_budget: Cell<u64>,
    /// Present if there are voters.
    pub(crate) duty_service: Option<RefCell<DutyService>>,
    /// Notified when the state of duties may have changed.
    pub(crate) duties_changed: Notify,
}

/// The bound sockets.
pub struct Bound {
    socket: UdpSocket,
    listener: TcpListener,
}

fn bind(address: SocketAddr) -> Result<Bound, String> {
    let describe = |error: std::io::Error| format!("listen: {address}: {error}");
    let stream =
        if address.is_ipv4() { TcpSocket::new_v4() } else { TcpSocket::new_v6() }.map_err(describe)?;
    stream.set_reuseaddr(true).map_err(describe)?;
    stream.bind(address).map_err(describe)?;
    let listener = stream.listen(LISTEN_BACKLOG).map_err(describe)?;
    let socket = std::net::UdpSocket::bind(address).map_err(describe)?;
    socket.set_nonblocking(true).map_err(describe)?;
    Ok(Bound { socket: UdpSocket::from_std(socket).map_err(describe)?, listener })
}

impl Cluster {
    /// Binds the sockets, reads the folder and starts to join. It runs as long as the process, and needs a
    /// `LocalSet`.
    ///
    /// # Errors
    /// The faulty key, and why.
    pub fn start(settings: Settings, node: &str) -> Result<Rc<Self>, String> {
        settings.check()?;
        let name = settings.name.clone().unwrap_or_else(|| node.to_string());
        let last_incarnation = match &settings.folder {
            Some(folder) => {
                std::fs::create_dir_all(folder)
                    .map_err(|error| format!("folder: {}: {error}", folder.display()))?;
                incarnation_file::read(folder).map_err(|problem| format!("folder: {problem}"))?
            }
            None => 0,
        };
        // Done before binding: a voter whose folder is damaged must not take part at all.
        let voter = settings.voter_folder(&name)?;
        let voter =
            voter.map(|folder| voter_store::open(&folder).map_err(|problem| format!("folder: {problem}")));
        let voter = voter.transpose()?;
        let Bound { socket, listener } = bind(settings.listen)?;
        let mut rng = rand::rng();
        let (life, seed) = (rng.next_u64(), rng.next_u64());
        let clock = Clock::start();
        let identity = Identity {
            installation: settings.installation.clone(),
            name: name.clone(),
            zone: settings.zone.clone(),
            address: settings.advertised_address(),
            life,
            last_incarnation,
        };
        let seeds = settings.initial_contacts(&name);
        let core = Membership::new(identity, seeds, settings.times.membership(), seed, clock.now())
            .map_err(|problem| format!("name: {problem}"))?;
        let (events, received) = mpsc::channel(MAX_QUEUED_EVENTS);
        let handshake = Handshake::new(&settings.installation, &name, life);
        let own_id = ProcessId { name: name.clone(), life };
        let duty_service = duty_service(&settings, own_id, voter, &events, (rng.next_u64(), clock.now()));
        let links = Links::new(handshake, clock, events);
        let (incarnation, to_persist) = watch::channel(last_incarnation);
        if let Some(folder) = settings.folder.clone() {
            spawn_local(persist_incarnations(folder, to_persist));
        }
        log::info!(
            "cluster: event=start name={name} listen={} life={life:016x} kept={last_incarnation}",
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
            incarnation,
            over_budget,
            duty_service: duty_service.map(RefCell::new),
            duties_changed: Notify::new(),
        });
        spawn_local(cluster.links.clone().accept(listener));
        spawn_local(cluster.clone().maintain_links());
        spawn_local(cluster.clone().run(received));
        Ok(cluster)
    }

    /// File descriptors to reserve for the cluster.
    pub fn max_descriptors() -> usize {
        MAX_DESCRIPTORS
    }

    async fn run(self: Rc<Self>, mut events: Receiver<Event>) {
        let mut buffer = vec![0; MAX_DATAGRAM_BYTES + 1];
        let (mut budget, mut refilled_at) = (DATAGRAM_BURST, self.clock.now());
        let mut read_after = Instant::now();
        self.with_core(|core, now| core.tick(now));
        loop {
            let due = self.core.borrow().due();
            let duties_due = self.duty_service.as_ref().map_or(f64::INFINITY, |duties| duties.borrow().due());
            tokio::select! {
                event = events.recv() => {
                    let Some(event) = event else { return };
                    self.on_event(event);
                }
                ready = self.socket.readable(), if Instant::now() >= read_after => {
                    if ready.is_err() {
                        sleep(READ_PAUSE).await;
                    }
                    let now = self.clock.now();
                    budget = (budget + (now - refilled_at).max(0.0) * DATAGRAMS_PER_SECOND / 1000.0).min(DATAGRAM_BURST);
                    refilled_at = now;
                    budget -= self.read_datagrams(&mut buffer, budget) as f64;
                    if budget < 1.0 {
                        self.over_budget.set(self.over_budget.get() + 1);
                        read_after = Instant::now() + READ_PAUSE;
                    }
                }
                () = sleep_until(read_after), if Instant::now() < read_after => {}
                () = sleep_until(self.clock.at(due)) => self.with_core(|core, now| core.tick(now)),
                () = sleep_until(self.clock.at(duties_due)), if duties_due.is_finite() => {
                    self.with_duties(DutyService::tick);
                }
            }
        }
    }

    /// Reads waiting datagrams within the budget; returns how many.
    fn read_datagrams(self: &Rc<Self>, buffer: &mut [u8], budget: f64) -> usize {
        let most = DATAGRAMS_PER_TURN.min(budget.max(0.0) as usize);
        for done in 0..most {
            // The source address is ignored: the packet names its sender.
            let Ok((length, _)) = self.socket.try_recv_from(buffer) else { return done };
            self.with_core(|core, now| {
                // The core counts what it refuses.
                let _ = core.receive_bytes(&buffer[..length], now);
            });
        }
        most
    }

    /// Calls the membership core and executes the actions that follow.
    fn with_core<T>(self: &Rc<Self>, call: impl FnOnce(&mut Membership, f64) -> T) -> T {
        let (value, actions) = {
            let mut core = self.core.borrow_mut();
            let value = call(&mut core, self.clock.now());
            (value, core.take_actions())
        };
        for action in actions {
            self.execute(action);
        }
        value
    }

    /// Calls the duty service and sends its messages; `None` without voters.
    pub(crate) fn with_duties<T>(&self, call: impl FnOnce(&mut DutyService, f64) -> T) -> Option<T> {
        let duties = self.duty_service.as_ref()?;
        let (value, outgoing, changed) = {
            let mut duties = duties.borrow_mut();
            let value = call(&mut duties, self.clock.now());
            (value, duties.take_outgoing(), std::mem::take(&mut duties.changed))
        };
        // A process that is barred or has not joined yet does not take part.
        let is_member = *self.core.borrow().state() == State::Member;
        outgoing.into_iter().filter(|_| is_member).for_each(|outgoing| self.send(outgoing));
        if changed {
            self.duties_changed.notify_waiters();
        }
        Some(value)
    }

    fn send(&self, Outgoing { to, life, message }: Outgoing) {
        let core = self.core.borrow();
        if let Some(life) = life.or_else(|| core.member(&to).map(|member| member.card.life)) {
            self.links.send(life, message);
        }
    }

    fn execute(self: &Rc<Self>, action: Action) {
        match action {
            Action::Datagram { to, bytes } => {
                // A datagram that the kernel does not accept counts as lost; the protocol tolerates that.
                let _ = self.socket.try_send_to(&bytes, self.address_of(&to));
            }
            Action::Frame { to, bytes } => self.links.send_frame(to.life, self.address_of(&to), bytes),
            Action::PersistIncarnation(incarnation) => drop(self.incarnation.send(incarnation)),
            Action::Changed(change) => self.log_change(&change),
        }
    }

    /// The address of a process: from this node's `peers` setting, else as that process advertises it.
    fn address_of(&self, to: &Destination) -> SocketAddr {
        let configured = to.name.as_ref().and_then(|name| self.settings.peers.get(name));
        configured.copied().unwrap_or(to.address)
    }

    fn on_event(self: &Rc<Self>, event: Event) {
        match event {
            Event::Received { from, message } => self.on_link_message(&from, message),
            Event::Down { peer } => {
                log::info!("cluster: event=link-down name={} life={:016x}", peer.name, peer.life);
                let core = self.core.borrow();
                let member = core.member(&peer.name).filter(|member| member.card.life == peer.life);
                if let Some(member) = member {
                    let to = Destination {
                        name: Some(peer.name.clone()),
                        life: None,
                        address: member.card.address,
                    };
                    spawn_local(self.links.clone().verify(peer.name, peer.life, self.address_of(&to)));
                }
            }
            Event::Ended { name, life } => {
                self.with_core(|core, now| core.process_ended(&name, life, now));
                self.with_duties(|duties, now| duties.process_ended(&name, life, now));
            }
            Event::RecordsStored(stored) => {
                self.with_duties(|duties, now| duties.on_stored(stored, now));
            }
        }
    }

    fn on_link_message(self: &Rc<Self>, from: &Handshake, message: LinkMessage) {
        match message {
            LinkMessage::Heartbeat(number) => {
                self.links.acknowledge(from.life, number);
                self.with_core(|core, now| core.link_active(&from.name, from.life, None, now));
            }
            LinkMessage::HeartbeatAck(number) => {
                let trip = self.links.on_acknowledged(from.life, number);
                self.with_core(|core, now| core.link_active(&from.name, from.life, trip, now));
            }
            LinkMessage::Membership(bytes) => {
                self.links.mark_used(from.life);
                self.with_core(|core, now| {
                    let _ = core.receive_bytes(&bytes, now);
                });
            }
            message => {
                self.links.mark_used(from.life);
                self.with_duties(|duties, now| duties.receive(&from.name, message, now));
            }
        }
    }

    async fn maintain_links(self: Rc<Self>) {
        loop {
            sleep(LINK_INTERVAL).await;
            let partners = self.partners();
            let lives: Vec<u64> = partners.iter().map(|(_, life, _)| *life).collect();
            // Only one side of each pair dials, or there would be two links.
            let to_dial =
                partners.into_iter().filter(|(name, ..)| self.name < *name || self.only_sends_requests(name));
            let to_dial: Vec<_> = to_dial.collect();
            self.links.maintain(&to_dial, &lives);
        }
    }

    /// Is that a voter that this process only sends requests to? Such a voter keeps no link of its own.
    fn only_sends_requests(&self, name: &str) -> bool {
        let voters = &self.settings.voters;
        let is_voter = |name: &str| voters.iter().any(|voter| voter == name);
        is_voter(name) && !is_voter(&self.name) && self.core.borrow().members().count() > MAX_PARTNERS
    }

    /// Members to which a link is kept.
    fn partners(&self) -> Vec<(String, u64, SocketAddr)> {
        let core = self.core.borrow();
        if *core.state() != State::Member {
            return Vec::new();
        }
        let present: Vec<&Member> = core.members().filter(|member| member.is_present()).collect();
        let address = |member: &Member| {
            let name = Some(member.card.name.clone());
            self.address_of(&Destination { name, life: None, address: member.card.address })
        };
        let own_index = present.partition_point(|member| member.card.name < self.name);
        let is_partner = |index: usize| {
            // Distance in the ring of names, which includes this process.
            let ahead = (index + present.len() - own_index) % present.len().max(1) + 1;
            let is_voter = self.settings.voters.contains(&present[index].card.name);
            present.len() <= MAX_PARTNERS
                || is_voter
                || ahead <= MAX_PARTNERS / 2
                || ahead > present.len() - MAX_PARTNERS / 2
        };
        let partners = present.iter().enumerate().filter(|(index, _)| is_partner(*index));
        partners.map(|(_, member)| (member.card.name.clone(), member.card.life, address(member))).collect()
    }

    /// Logs a change as `event=... key=...`; the soak and tests parse these lines.
    fn log_change(&self, change: &Change) {
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

    /// Announces to the others that this process leaves. Links end with the process.
    pub fn leave(self: &Rc<Self>) {
        self.with_core(|core, now| core.leave(now));
    }

    /// The answer to `/_members`.
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
            state: state_name(state),
            barred_by,
            view_confirmed: core.is_view_confirmed(),
            isolated_s: core.isolated_since().map(|since| (now - since) / 1000.0),
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
            last_heard_s: member.last_heard.is_finite().then(|| (now - member.last_heard) / 1000.0),
            reported_by: member.reported_by.clone(),
            suspected_by: suspected_by.into_iter().map(str::to_string).collect(),
            link: match self.links.state(member.card.life) {
                LinkState::None => "none",
                LinkState::Up => "up",
                LinkState::Stalled => "stalled",
            },
        }
    }

    /// Figures for the counters line.
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

/// Creates the duty service, with a replica if this process is a voter; `None` if there are no voters.
fn duty_service(
    settings: &Settings,
    own_id: ProcessId,
    voter: Option<(Store<Folder>, PersistentState)>,
    events: &Sender<Event>,
    (seed, now): (u64, f64),
) -> Option<DutyService> {
    if settings.voters.is_empty() {
        return None;
    }
    let (consensus_times, duty_times) = (settings.times.consensus(), settings.times.duties());
    let replica = voter.map(|(store, kept)| {
        let (groups, to_persist) = mpsc::unbounded_channel();
        spawn_local(voter_store::store_groups(store, to_persist, events.clone()));
        Replica::new(&own_id.name, &settings.voters, kept, (consensus_times, duty_times), groups, seed, now)
    });
    Some(DutyService::new(own_id, &settings.voters, duty_times, replica))
}

/// Writes new incarnations to the folder. A slow disk delays nothing else, and other members report an
/// incarnation that was not stored.
async fn persist_incarnations(folder: PathBuf, mut to_persist: watch::Receiver<u64>) {
    while to_persist.changed().await.is_ok() {
        let (incarnation, folder) = (*to_persist.borrow_and_update(), folder.clone());
        match spawn_blocking(move || incarnation_file::write(&folder, incarnation)).await {
            Ok(Ok(())) => {}
            Ok(Err(problem)) => log::error!("cluster: event=not-kept: {problem}"),
            Err(error) => log::error!("cluster: event=not-kept: {error}"),
        }
    }
}
