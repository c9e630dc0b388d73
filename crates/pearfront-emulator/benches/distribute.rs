//! Cost of one change for a distributor and a node: CPU time and bytes by the number of subscribers of the
//! service, of its servers and of services called; one thread, links without delay. Run by `make
//! bench-distribute`. Prints one line per point, for slopes.

use pearfront_distribute::{
    Catalog, ChangeSet, Command, Distributor, DistributorAction, FromVoter, Peer, ProcessId, Subscriber,
    SubscriberAction, Times, ToSubscriber, ToVoter, decode, encode, parse,
};
use std::time::{Duration, Instant};

/// Number of changes per point, one server each, acknowledged one after another.
const CHANGES: u64 = 50;

fn set(number: u64, services: &str) -> ChangeSet {
    parse(format!(r#"{{"number": "{number}", "services": {{{services}}}}}"#).as_bytes())
        .expect("a change set")
}

fn servers(service: &str, range: std::ops::Range<usize>) -> String {
    let one =
        |n| format!(r#""{service}-{n}": {{"address": "10.0.{}.{}:8080", "zone": "z1"}}"#, n / 250, n % 250);
    format!(r#""{service}": {{"servers": {{{}}}}}"#, range.map(one).collect::<Vec<_>>().join(","))
}

struct World {
    distributor: Distributor,
    nodes: Vec<Subscriber>,
    spent: (Duration, Duration),
    bytes: (u64, u64),
    above: u64,
}

impl World {
    fn new(subscribers: usize, servers_of_each: usize, services: usize) -> Self {
        let times = Times { bytes_per_s: 1e12, burst_bytes: 1e12, ..Times::default() };
        let peer = |name: &str| [Peer { name: name.into(), zone: String::new(), region: String::new() }];
        let who = |name: String| ProcessId { name, incarnation: 1 };
        let distributor = Distributor::new("shop", who("d".into()), ("", ""), &peer("v"), times, (1, 0.0));
        let interest: Vec<String> = (0..services).map(|n| format!("s{n}")).collect();
        let node = |n: usize| {
            Subscriber::new(
                "shop",
                who(format!("n{n}")),
                ("", ""),
                &peer("d"),
                interest.clone(),
                times,
                (n as u64, 0.0),
            )
        };
        let nodes = (0..subscribers).map(node).collect();
        let mut world = Self { distributor, nodes, spent: Default::default(), bytes: (0, 0), above: 0 };
        world.distributor.tick(0.0);
        world.settle(0.0);
        let mut catalog = Catalog::default();
        for service in &interest {
            for from in (0..servers_of_each).step_by(1000) {
                let text = servers(service, from..servers_of_each.min(from + 1000));
                catalog.apply(&Command::Change(set(catalog.version() + 1, &text)).encode());
            }
        }
        world.distributor.receive_from_voter(
            world.above,
            FromVoter::Snapshot { catalog: catalog.encode() },
            1.0,
        );
        world.settle(1.0);
        world.nodes.iter_mut().for_each(|node| node.tick(2.0));
        world.settle(2.0);
        world.distributor.tick(300.0);
        world.settle(300.0);
        let version = catalog.version();
        assert!(world.nodes.iter().all(|node| node.config().is_some_and(|config| config.version == version)));
        (world.spent, world.bytes) = (Default::default(), (0, 0));
        world
    }

    /// Delivers messages until there are none left.
    fn settle(&mut self, now: f64) {
        loop {
            let started = Instant::now();
            let mut idle = true;
            for out in self.distributor.take_actions() {
                idle = false;
                match out {
                    DistributorAction::OpenVoter { link, .. } => self.above = link,
                    DistributorAction::SendVoter { message: ToVoter::Report(report), .. } => {
                        let number = report.number;
                        self.distributor.receive_from_voter(
                            self.above,
                            FromVoter::ReportAccepted { number },
                            now,
                        );
                    }
                    DistributorAction::Send { link, bytes, .. } => {
                        self.bytes.0 += bytes.len() as u64;
                        let started = Instant::now();
                        let message: ToSubscriber = decode(&bytes).expect("a message");
                        self.nodes[link as usize].receive(1, message, now);
                        self.nodes[link as usize].apply_pending(|_| Ok(()));
                        self.spent.1 += started.elapsed();
                    }
                    _ => {}
                }
            }
            for at in 0..self.nodes.len() {
                for out in self.nodes[at].take_actions() {
                    idle = false;
                    if let SubscriberAction::Send { message, .. } = out {
                        self.bytes.1 += encode(&message).len() as u64;
                        self.distributor.receive(at as u64, message, now);
                    }
                }
            }
            self.spent.0 += started.elapsed();
            if idle {
                return;
            }
        }
    }

    fn change(&mut self) {
        let first = self.distributor.version().unwrap_or_default();
        for n in 1..=CHANGES {
            let version = first + n;
            let text = format!(r#""s0": {{"servers": {{"s0-0": {{"address": "10.0.0.1:{}"}}}}}}"#, 1000 + n);
            let sets = vec![set(version, &text)];
            let now = 1000.0 + n as f64;
            let started = Instant::now();
            self.distributor.receive_from_voter(self.above, FromVoter::ChangeSets { to: version, sets }, now);
            self.spent.0 += started.elapsed();
            self.settle(now);
        }
    }
}

fn main() {
    println!(
        "subscribers servers services | distributor_us_a_change distributor_bytes_a_change node_us_a_change node_bytes_a_change"
    );
    let points = [
        (50, 5, 10),
        (200, 5, 10),
        (800, 5, 10),
        (3200, 5, 10),
        (200, 50, 10),
        (200, 500, 10),
        (50, 5000, 1),
        (200, 5, 1),
        (200, 5, 100),
    ];
    for (subscribers, servers, services) in points {
        let mut world = World::new(subscribers, servers, services);
        world.change();
        let (changes, nodes) = (CHANGES as f64, subscribers as f64);
        let (all, at_nodes) = (world.spent.0.as_secs_f64() * 1e6, world.spent.1.as_secs_f64() * 1e6);
        println!(
            "{subscribers} {servers} {services} | {:.1} {:.0} {:.2} {:.0}",
            (all - at_nodes) / changes,
            world.bytes.0 as f64 / changes,
            at_nodes / changes / nodes,
            (world.bytes.0 + world.bytes.1) as f64 / changes / nodes
        );
    }
}
