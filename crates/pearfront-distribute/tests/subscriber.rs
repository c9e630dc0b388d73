//! A node's side: versions take effect as a whole, no gaps, never an older version, and the choice of distributors.

use pearfront_distribute::{
    Config, Peer, ProcessId, Rejection, Restriction, RestrictionKind, Server, ServerState, Service,
    ServiceOptions, ServiceUpdate, Subscriber, SubscriberAction, Times, ToDistributor, ToSubscriber, Update,
    rank_peers,
};
use std::collections::BTreeMap;

fn peer(name: &str, zone: &str, region: &str) -> Peer {
    Peer { name: name.into(), zone: zone.into(), region: region.into() }
}

fn service(limit: u32, servers: &[&str]) -> Service {
    let server = |name: &&str| {
        let server = Server {
            address: name.to_string(),
            zone: String::new(),
            state: ServerState::Serving,
            limit: None,
        };
        (name.to_string(), server)
    };
    Service {
        options: ServiceOptions { limit: Some(limit), settings: String::new() },
        servers: servers.iter().map(server).collect(),
    }
}

struct Node {
    core: Subscriber,
    link: u64,
    to: String,
    sent: Vec<ToDistributor>,
    closed: Vec<u64>,
    opened: Vec<(f64, String)>,
    now: f64,
}

impl Node {
    fn new(interest: &[&str], distributors: &[Peer], seed: u64) -> Self {
        let me = ProcessId { name: "n1".into(), incarnation: 1 };
        let interest = interest.iter().map(|name| name.to_string()).collect();
        let core =
            Subscriber::new("shop", me, ("z1", "r1"), distributors, interest, Times::default(), (seed, 0.0));
        let (sent, closed, opened) = (Vec::new(), Vec::new(), Vec::new());
        let mut node = Self { core, link: 0, to: String::new(), sent, closed, opened, now: 0.0 };
        node.advance_to(0.0);
        node
    }

    fn run_actions(&mut self) {
        for out in self.core.take_actions() {
            match out {
                SubscriberAction::Open { link, to } => {
                    self.opened.push((self.now, to.clone()));
                    (self.link, self.to) = (link, to);
                }
                SubscriberAction::Send { message, .. } => self.sent.push(message),
                SubscriberAction::Close { link } => self.closed.push(link),
            }
        }
    }

    /// Advances the time, calling `tick` whenever it is due.
    fn advance_to(&mut self, now: f64) {
        while self.core.due() <= now {
            self.now = self.now.max(self.core.due());
            self.core.tick(self.now);
            self.run_actions();
        }
        self.now = now;
    }

    fn receive(&mut self, message: ToSubscriber) {
        self.core.receive(self.link, message, self.now);
        self.run_actions();
    }

    fn update(&mut self, from: Option<u64>, to: u64, services: &[(&str, ServiceUpdate)]) {
        let services = services.iter().map(|(name, update)| (name.to_string(), update.clone())).collect();
        let (session, update) = (self.core.session(), Update { from, to, services });
        self.receive(ToSubscriber::Update { session, update, age: 0.0 });
    }

    fn apply_pending(&mut self) -> bool {
        let taken = self.core.apply_pending(|_| Ok(()));
        self.run_actions();
        taken
    }

    fn version(&self) -> Option<u64> {
        self.core.config().map(|config| config.version)
    }

    fn subscribed_versions(&self) -> Vec<Option<u64>> {
        let held = |message: &ToDistributor| match message {
            ToDistributor::Subscribe { held, .. } => Some(*held),
            _ => None,
        };
        self.sent.iter().filter_map(held).collect()
    }
}

fn distributors_by_distance() -> Vec<Peer> {
    vec![peer("d1", "z1", "r1"), peer("d2", "z2", "r1"), peer("d3", "z9", "r2")]
}

fn node_at_version_7() -> Node {
    let mut node = Node::new(&["cart", "user"], &distributors_by_distance(), 1);
    node.update(None, 7, &[("cart", ServiceUpdate::Full(service(5, &["a", "b"])))]);
    assert!(node.version().is_none() && node.apply_pending());
    node
}

#[test]
fn an_update_takes_effect_as_a_whole_when_the_node_applies_it() {
    let mut node = node_at_version_7();
    let both = [("cart", ServiceUpdate::Removed), ("user", ServiceUpdate::Full(service(1, &["u"])))];
    node.update(Some(7), 9, &both);
    let before = node.core.config().cloned();
    assert_eq!(before.as_ref().map(|config| config.version), Some(7));
    assert!(node.apply_pending());
    let services: Vec<&String> = node.core.config().unwrap().services.keys().collect();
    assert_eq!(services, ["user"]);
    assert_eq!(node.sent.last(), Some(&ToDistributor::Acknowledge { session: 1, version: 9 }));
}

#[test]
fn a_node_that_rejects_a_version_sends_the_reason_and_keeps_its_version() {
    let mut node = node_at_version_7();
    let before = node.core.config().cloned();
    let both = [("cart", ServiceUpdate::Removed), ("user", ServiceUpdate::Full(service(1, &["u"])))];
    node.update(Some(7), 9, &both);
    let check = |config: &Config| match config.services.contains_key("user") {
        true => Err(format!("user.settings: {}", "é".repeat(300))),
        false => Ok(()),
    };
    assert!(!node.core.apply_pending(check));
    node.run_actions();
    assert_eq!(node.core.config().cloned(), before);
    let Some(ToDistributor::Refuse { session: 1, version: 9, reason }) = node.sent.last() else { panic!() };
    assert!(reason.starts_with("user.settings: ") && reason.len() <= 256);
    // The next update starts from the version it kept.
    node.update(Some(7), 10, &[]);
    assert!(node.apply_pending() && node.version() == Some(10));
}

#[test]
fn a_gap_leads_to_a_new_subscription() {
    let mut node = node_at_version_7();
    node.update(Some(8), 9, &[("cart", ServiceUpdate::Removed)]);
    assert!(!node.apply_pending() && node.version() == Some(7));
    assert_eq!(node.subscribed_versions(), [None, Some(7)]);
    // An update of the former session is ignored.
    let update = Update { from: Some(7), to: 9, services: BTreeMap::new() };
    node.receive(ToSubscriber::Update { session: 1, update, age: 0.0 });
    assert!(!node.apply_pending() && node.version() == Some(7));
}

#[test]
fn an_older_version_is_never_taken() {
    let mut node = node_at_version_7();
    node.update(Some(7), 6, &[("cart", ServiceUpdate::Removed)]);
    assert!(!node.apply_pending() && node.version() == Some(7));
    node.update(None, 9, &[("cart", ServiceUpdate::Removed)]);
    assert!(!node.apply_pending() && node.version() == Some(7));
}

#[test]
fn a_distributor_that_is_behind_the_node_is_left_and_the_node_keeps_its_version() {
    let mut node = node_at_version_7();
    let first = node.to.clone();
    node.receive(ToSubscriber::Rejected { session: 1, reason: Rejection::Behind { version: 3 } });
    assert_eq!(
        (node.closed.len(), node.core.last_rejection.clone()),
        (1, Some(Rejection::Behind { version: 3 }))
    );
    node.advance_to(300.0);
    assert!(node.to != first && node.version() == Some(7));
    assert_eq!(node.subscribed_versions(), [None, Some(7)]);
    // The same holds for a distributor of another installation.
    node.receive(ToSubscriber::Rejected { session: 2, reason: Rejection::WrongInstallation });
    assert_eq!(
        (node.version(), node.core.last_rejection.clone()),
        (Some(7), Some(Rejection::WrongInstallation))
    );
}

#[test]
fn a_silent_link_becomes_suspect_then_is_closed_and_the_next_distributor_is_tried() {
    let mut node = node_at_version_7();
    assert_eq!(node.to, "d1");
    node.advance_to(999.0);
    assert_eq!(node.core.current_distributor(node.now), Some("d1"));
    node.advance_to(1001.0);
    assert_eq!((node.core.current_distributor(node.now), node.closed.len()), (None, 0));
    node.advance_to(2201.0);
    assert_eq!((node.to.as_str(), node.closed.len()), ("d2", 1));
    // A late message over the closed link is ignored.
    node.core.receive(1, ToSubscriber::Rejected { session: 2, reason: Rejection::Full }, node.now);
    node.run_actions();
    assert_eq!(node.closed.len(), 1);
    node.receive(ToSubscriber::Heartbeat { session: 2, unchanged: Some((7, 8)), age: 0.0 });
    assert_eq!(node.version(), Some(8));
}

#[test]
fn without_any_distributor_the_node_keeps_its_version_and_knows_its_age() {
    let mut node = node_at_version_7();
    let before = node.core.config().cloned();
    node.advance_to(600_000.0);
    assert_eq!(node.core.config().cloned(), before);
    assert_eq!(node.core.age(node.now), Some(600_000.0));
    assert!(node.core.is_stale(node.now));
    // It tries all of them, with growing pauses: a random one of up to 2 s after 2 s of silence.
    let all: Vec<&str> = node.opened.iter().map(|(_, to)| to.as_str()).collect();
    assert!(["d1", "d2", "d3"].iter().all(|name| all.contains(name)));
    assert!((80..300).contains(&all.len()), "{}", all.len());
    // A distributor that is behind sends the age of its state.
    while node.closed.contains(&node.link) {
        node.advance_to(node.now + 100.0);
    }
    node.receive(ToSubscriber::Heartbeat {
        session: node.core.session(),
        unchanged: Some((7, 7)),
        age: 5000.0,
    });
    assert_eq!((node.core.age(node.now), node.core.is_stale(node.now)), (Some(5000.0), false));
}

#[test]
fn nodes_that_lost_the_same_distributor_reconnect_spread_over_the_pause() {
    let first = |seed: u64| {
        let mut node = Node::new(&["cart"], &distributors_by_distance(), seed);
        node.core.link_closed(1, 100.0);
        node.now = 100.0;
        node.advance_to(400.0);
        node.opened[1].0 - 100.0
    };
    let mut all: Vec<f64> = (0..200).map(first).collect();
    all.sort_by(f64::total_cmp);
    assert!(all[0] < 10.0 && (80.0..120.0).contains(&all[100]) && all[199] <= 200.0, "{all:?}");
}

#[test]
fn restrictions_take_effect_at_once_and_end_with_the_update_that_contains_them() {
    let mut node = node_at_version_7();
    let one = |server: Option<&str>, kind| Restriction {
        service: "cart".into(),
        server: server.map(str::to_string),
        kind,
    };
    let all = vec![
        one(Some("a"), RestrictionKind::Drain),
        one(Some("b"), RestrictionKind::Removed),
        one(None, RestrictionKind::Limit(9)),
    ];
    node.receive(ToSubscriber::Restrict { session: 1, to: 9, all });
    assert_eq!(node.sent.last(), Some(&ToDistributor::AcknowledgeRestrictions { session: 1, version: 9 }));
    let cart = node.core.service("cart").unwrap();
    assert_eq!(
        (cart.servers["a"].state, cart.servers.len(), cart.options.limit),
        (ServerState::Draining, 1, Some(5))
    );
    // The version in force is unchanged.
    assert_eq!(node.core.config().unwrap().services["cart"], service(5, &["a", "b"]));
    // Restrictions stay through an update to a lower version, and end with the one that contains them.
    node.update(Some(7), 8, &[]);
    assert!(node.apply_pending());
    assert_eq!(node.core.service("cart").unwrap().servers.len(), 1);
    node.update(Some(8), 9, &[("cart", ServiceUpdate::Full(service(9, &["b"])))]);
    assert!(node.apply_pending() && node.core.restrictions().is_empty());
    assert_eq!(node.core.service("cart"), Some(service(9, &["b"])));
    // A restriction that comes late has no effect.
    node.receive(ToSubscriber::Restrict {
        session: 1,
        to: 9,
        all: vec![one(None, RestrictionKind::Removed)],
    });
    assert_eq!(node.core.service("cart"), Some(service(9, &["b"])));
}

#[test]
fn added_services_are_requested_in_full_and_dropped_ones_go_at_once() {
    let mut node = node_at_version_7();
    node.core.set_services(vec!["user".into(), "pay".into()]);
    node.run_actions();
    let Some(ToDistributor::Subscribe { held: Some(7), services, new_services, .. }) = node.sent.last()
    else {
        panic!()
    };
    assert_eq!(
        (services.len(), new_services.iter().map(String::as_str).collect::<Vec<_>>()),
        (2, vec!["pay"])
    );
    assert!(node.core.config().unwrap().services.is_empty());
    // A heartbeat does not advance the version while added services are missing.
    node.receive(ToSubscriber::Heartbeat { session: 2, unchanged: Some((7, 9)), age: 0.0 });
    assert_eq!(node.version(), Some(7));
    node.update(
        Some(7),
        9,
        &[("pay", ServiceUpdate::Full(service(1, &["p"]))), ("cart", ServiceUpdate::Removed)],
    );
    assert!(node.apply_pending());
    assert_eq!(node.core.config().unwrap().services.keys().collect::<Vec<_>>(), ["pay"]);
}

#[test]
fn the_nearest_distributors_are_preferred_and_the_loss_of_one_moves_only_its_nodes() {
    let peers: Vec<Peer> =
        (0..9).map(|n| peer(&format!("d{n}"), &format!("z{}", n % 3), &format!("r{}", n / 3))).collect();
    let first =
        |node: usize, peers: &[Peer]| rank_peers(&format!("n{node}"), "z1", "r1", peers)[0].name.clone();
    assert!((0..100).all(|node| first(node, &peers) == "d4"));
    let zone: Vec<Peer> = (0..10).map(|n| peer(&format!("d{n}"), "z1", "r1")).collect();
    let without: Vec<Peer> = zone.iter().filter(|peer| peer.name != "d3").cloned().collect();
    let (mut moved, mut served) = (BTreeMap::<String, u32>::new(), BTreeMap::<String, u32>::new());
    for node in 0..7300 {
        let (before, after) = (first(node, &zone), first(node, &without));
        *served.entry(before.clone()).or_default() += 1;
        assert!(before == "d3" || before == after);
        if before == "d3" {
            *moved.entry(after).or_default() += 1;
        }
    }
    assert!(served.values().all(|count| (600..860).contains(count)), "{served:?}");
    assert!(moved.len() == 9 && moved.values().all(|count| (50..120).contains(count)), "{moved:?}");
}
