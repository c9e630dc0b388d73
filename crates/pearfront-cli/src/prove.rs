//! `pearfront prove`: cores of many processes in simulated time, seed by seed, until one shows what must never be.

use crate::Trouble;
use hdrhistogram::Histogram;
use pearfront_emulator::again::{PLAYS, Play, in_time};
use pearfront_emulator::cores::exhaustive::{Bounds, check};
use pearfront_emulator::cores::membership::Trouble as Befalls;
use pearfront_emulator::cores::membership::{Findings, Plan, Weather, World, play};
use pearfront_emulator::cores::{consensus, distribute, duties};
use pearfront_emulator::processes::scenario::Scenario;
use pearfront_emulator::processes::{player, run};
use pearfront_emulator::sockets::NodeCommand;
use pearfront_membership::Times;

/// Play cores of many processes in simulated time under weather and kills, and look at what must always hold after every
/// step. The first seed that fails is played again, step by step.
#[derive(clap::Args)]
pub struct Prove {
    #[command(subcommand)]
    what: What,
}

#[derive(clap::Subcommand)]
enum What {
    Membership(Members),
    Consensus(Log),
    Duties(Duties),
    Distribute(Distribute),
    Processes(Storms),
    Every(Every),
}

#[derive(clap::Args)]
struct Seeds {
    /// Seeds to play, one after another.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seeds: u64,
    /// The first of them.
    #[arg(long, default_value_t = 1)]
    first: u64,
}

impl Seeds {
    fn all(&self) -> std::ops::Range<u64> {
        self.first..self.first.saturating_add(self.seeds)
    }
}

/// A minute of 20 % loss, delays to 500 ms and pauses to 3 s, one in ten killed: no running process is held to be gone,
/// every killed one is found by all.
#[derive(clap::Args)]
struct Members {
    #[command(flatten)]
    seeds: Seeds,
    /// Processes in each play.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(2..=1000))]
    instances: u64,
    /// Quiet weather instead, in which one process is killed: how soon is it found?
    #[arg(long)]
    calm: bool,
    /// In quiet weather: the kernels at the other ends of its links say that it is gone.
    #[arg(long, requires = "calm")]
    proof: bool,
    /// Show a play step by step; only for one seed.
    #[arg(long)]
    steps: bool,
}

/// Steps before a failure that are shown.
const SHOWN: usize = 60;

impl Prove {
    pub fn run(self) -> Result<(), Trouble> {
        match self.what {
            What::Membership(members) => members.run(),
            What::Consensus(log) => log.run(),
            What::Duties(duties) => duties.run(),
            What::Distribute(distribute) => distribute.run(),
            What::Processes(storms) => storms.run(),
            What::Every(every) => every.run(),
        }
    }
}

impl Members {
    fn plan(&self, seed: u64) -> Plan {
        let instances = self.instances as usize;
        if !self.calm {
            return Plan::storm(instances, seed);
        }
        let kill = Befalls::Kill { who: instances - 1, proof: self.proof };
        let troubles = vec![(20_000.0 + seed as f64 % 200.0, kill)];
        let times = Times::default();
        Plan { instances, length: 40_000.0, weather: Weather::CALM, links: self.proof, times, troubles }
    }

    fn run(self) -> Result<(), Trouble> {
        if self.steps {
            return self.steps(self.seeds.first);
        }
        let mut first = histogram()?;
        let (mut half, mut last, mut agreed) = (first.clone(), first.clone(), first.clone());
        let mut sums = Findings::default();
        for seed in self.seeds.all() {
            let found = play(self.plan(seed), seed);
            let wrong = found.broken.clone().or_else(|| {
                (found.not_found > 0)
                    .then(|| format!("{} killed ones were not found by all", found.not_found))
            });
            if let Some(what) = wrong {
                println!("seed={seed} instances={}: {what}", self.instances);
                self.steps(seed)?;
                return Err(Trouble::RuleBroken);
            }
            for (one, other, all) in &found.found {
                first.saturating_record(*one as u64);
                half.saturating_record(*other as u64);
                last.saturating_record(*all as u64);
            }
            if let Some(after) = found.agreed_after {
                agreed.saturating_record(after as u64);
            }
            sums.suspicions += found.suspicions;
            sums.refutations += found.refutations;
            sums.datagrams += found.datagrams;
            sums.frames += found.frames;
            sums.bytes += found.bytes;
            sums.most_datagrams = sums.most_datagrams.max(found.most_datagrams);
        }
        let seeds = self.seeds.seeds as f64;
        for (what, times) in [("first", &first), ("half", &half), ("all", &last), ("agreed", &agreed)] {
            println!("{what:7} n={} {}", times.len(), spread(times));
        }
        println!(
            "seeds={} instances={} false_deaths=0 suspicions={} refutations={} datagrams_per_s={:.1} frames_per_s={:.2} \
             bytes_per_s={:.0} most_datagrams_per_s={:.1}",
            self.seeds.seeds,
            self.instances,
            sums.suspicions,
            sums.refutations,
            sums.datagrams / seeds,
            sums.frames / seeds,
            sums.bytes / seeds,
            sums.most_datagrams
        );
        Ok(())
    }

    /// The last steps of that seed's play.
    fn steps(&self, seed: u64) -> Result<(), Trouble> {
        let mut shown = std::collections::VecDeque::new();
        let (found, _) = World::new(self.plan(seed), seed).play(&mut |at, what| {
            if shown.len() == SHOWN {
                shown.pop_front();
            }
            shown.push_back(format!("{:10.3} {what}", at / 1000.0));
        });
        shown.iter().for_each(|line| println!("{line}"));
        println!("seed={seed} {}", found.broken.as_deref().unwrap_or("nothing broken"));
        Ok(())
    }
}

/// A replicated log among voters on disks that lose, stall and are older ones, killed, stopped and cut: one leader a term,
/// nothing committed is lost or changed, reads see all that was committed before them.
#[derive(clap::Args)]
struct Log {
    #[command(flatten)]
    seeds: Seeds,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: u64,
    /// Folders come back older or empty, one at a time.
    #[arg(long)]
    disks: bool,
}

impl Log {
    fn run(self) -> Result<(), Trouble> {
        let plan = consensus::Plan::storm(self.voters as usize, self.disks);
        let (mut without, mut able) = (histogram()?, histogram()?);
        let (mut committed, mut reads, mut terms, mut forgot) = (0, 0, 0, 0);
        for seed in self.seeds.all() {
            let found = consensus::play(plan.clone(), seed);
            if let Some(what) = found.broken {
                println!("seed={seed} voters={}: {what}", self.voters);
                return Err(Trouble::RuleBroken);
            }
            found.leaderless.iter().for_each(|ms| without.saturating_record(*ms as u64));
            found.able.iter().for_each(|ms| able.saturating_record(*ms as u64));
            committed += found.committed;
            reads += found.reads;
            terms += found.terms;
            forgot += found.forgot;
        }
        println!(
            "seeds={} voters={} broken=0 committed={committed} reads={reads} terms={terms} forgot={forgot} \
             leaderless n={} {} while_able {}",
            self.seeds.seeds,
            self.voters,
            without.len(),
            spread(&without),
            spread(&able)
        );
        Ok(())
    }
}

/// Processes that want duties, above voters as in `prove consensus`, with clocks that run unevenly: at no instant do more
/// act on a duty than may, no token is given twice, and each history is that of one place.
#[derive(clap::Args)]
struct Duties {
    #[command(flatten)]
    seeds: Seeds,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: u64,
    /// Processes that want duties.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    agents: u64,
    /// Folders come back older or empty, one at a time.
    #[arg(long)]
    disks: bool,
    /// Quiet weather, in which only this befalls the holder: how long until the next one acts?
    #[arg(long, value_enum)]
    only: Option<Befallen>,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Befallen {
    Word,
    Kill,
    Silence,
    Deaf,
}

impl Duties {
    fn plan(&self) -> duties::Plan {
        let (voters, agents) = (self.voters as usize, self.agents as usize);
        let only = match self.only {
            None => return duties::Plan::storm(voters, agents, self.disks),
            Some(Befallen::Word) => duties::Only::Word,
            Some(Befallen::Kill) => duties::Only::Kill,
            Some(Befallen::Silence) => duties::Only::Silence,
            Some(Befallen::Deaf) => duties::Only::Deaf,
        };
        duties::Plan::handover(voters, agents, only)
    }

    fn run(self) -> Result<(), Trouble> {
        let (plan, mut without) = (self.plan(), histogram()?);
        let mut sums = duties::Findings::default();
        for seed in self.seeds.all() {
            let found = duties::play(&plan, seed);
            if let Some(what) = found.log.broken {
                println!("seed={seed} voters={} agents={}: {what}", self.voters, self.agents);
                return Err(Trouble::RuleBroken);
            }
            found.without.iter().for_each(|ms| without.saturating_record((*ms * 1000.0) as u64));
            sums.granted += found.granted;
            sums.renewed += found.renewed;
            sums.acts += found.acts;
            sums.refused += found.refused;
            sums.asks += found.asks;
            sums.calls += found.calls;
            sums.log.committed += found.log.committed;
            sums.log.terms += found.log.terms;
            sums.log.forgot += found.log.forgot;
        }
        println!(
            "seeds={} voters={} agents={} broken=0 granted={} renewed={} asks={} acts={} refused={} committed={} \
             terms={} forgot={} calls_checked={}",
            self.seeds.seeds,
            self.voters,
            self.agents,
            sums.granted,
            sums.renewed,
            sums.asks,
            sums.acts,
            sums.refused,
            sums.log.committed,
            sums.log.terms,
            sums.log.forgot,
            sums.calls
        );
        if !without.is_empty() {
            let ms = |us: u64| us as f64 / 1000.0;
            let (half, most) = (without.value_at_quantile(0.5), without.value_at_quantile(0.99));
            println!(
                "without a holder n={} p50_ms={:.1} p99_ms={:.1} most_ms={:.1}",
                without.len(),
                ms(half),
                ms(most),
                ms(without.max())
            );
        }
        Ok(())
    }
}

/// Voters, distributors and nodes with changes all the time: a node has one committed version, never an older one after a newer
/// one, and nothing is in force everywhere while a running node decides under less.
#[derive(clap::Args)]
struct Distribute {
    #[command(flatten)]
    seeds: Seeds,
    /// Voters; five where `--only` is given.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: u64,
    /// Folders of voters come back older, one at a time.
    #[arg(long)]
    disks: bool,
    /// Only this happens, at the size below.
    #[arg(long, value_enum)]
    only: Option<Loss>,
    /// Where `--only` is given.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    distributors: u64,
    /// Where `--only` is given.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=30_000))]
    nodes: u64,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum Loss {
    /// Distributors are killed, stopped, cut one way and stalled, one after another.
    Distributors,
    /// A region is cut off for two minutes.
    Region,
    /// All voters are gone for half a minute.
    Voters,
    /// All nodes begin at once.
    Cold,
    /// All nodes lose their links at once.
    Warm,
}

impl Distribute {
    fn plan(&self) -> distribute::Plan {
        let script = match self.only {
            None => {
                return distribute::Plan {
                    voters: self.voters as usize,
                    ..distribute::Plan::storm(self.disks)
                };
            }
            Some(Loss::Distributors) => distribute::Script::Distributors,
            Some(Loss::Region) => distribute::Script::Region,
            Some(Loss::Voters) => distribute::Script::Voters,
            Some(Loss::Cold) => distribute::Script::Cold,
            Some(Loss::Warm) => distribute::Script::Warm,
        };
        distribute::Plan::of(script, self.distributors as usize, self.nodes as usize)
    }

    fn run(self) -> Result<(), Trouble> {
        let plan = self.plan();
        let (mut in_force, mut known, mut whole) = (histogram()?, histogram()?, histogram()?);
        let mut sums = distribute::Findings::default();
        for seed in self.seeds.all() {
            let found = distribute::play(plan.clone(), seed);
            if let Some(what) = found.broken {
                println!("seed={seed} voters={} nodes={}: {what}", plan.voters, plan.nodes);
                return Err(Trouble::RuleBroken);
            }
            found.in_force.iter().for_each(|ms| in_force.saturating_record(*ms as u64));
            found.known.iter().for_each(|ms| known.saturating_record(*ms as u64));
            found.whole_after.iter().for_each(|ms| whole.saturating_record(*ms as u64));
            sums.add(&found);
        }
        println!(
            "seeds={} voters={} distributors={} nodes={} broken=0 versions={} sets_refused={} said_again={} \
             node_refusals={} updates={} snapshots={} restricts={} forgot={}",
            self.seeds.seeds,
            plan.voters,
            plan.distributors,
            plan.nodes,
            sums.versions,
            sums.refused_sets,
            sums.said_again,
            sums.node_refusals,
            sums.updates,
            sums.snapshots,
            sums.restricts,
            sums.forgot
        );
        for (what, times) in [("in force", &in_force), ("known to voters", &known), ("whole again", &whole)] {
            if !times.is_empty() {
                println!("{what}: n={} {}", times.len(), spread(times));
            }
        }
        let seconds = self.seeds.seeds as f64 * plan.length / 1000.0;
        let us_a_second =
            |spent: std::time::Duration, count: usize| spent.as_secs_f64() * 1e6 / (seconds * count as f64);
        println!(
            "a node: bytes_per_s={:.0} cpu_us_per_s={:.1}; a distributor: cpu_us_per_s={:.1}; most bytes in one second \
             after the trouble: distributor={} node={}",
            sums.node_bytes / self.seeds.seeds as f64,
            us_a_second(sums.spent_nodes, plan.nodes),
            us_a_second(sums.spent_distributors, plan.distributors),
            sums.most_distributor_bytes,
            sums.most_node_bytes
        );
        Ok(())
    }
}

/// Real node programs, three or five of them voters and as many again beside which somebody wants a duty, in a minute of
/// kills, stops, cuts and stalled streams by seed: no act comes under an old token, and in the end all is well again.
#[derive(clap::Args)]
struct Storms {
    /// Seeds to play, one after another.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seeds: u64,
    /// The first of them.
    #[arg(long, default_value_t = 1)]
    first: u64,
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=5))]
    voters: u64,
    /// The node program.
    #[arg(long, default_value = "target/release/pearfront-node")]
    node: std::path::PathBuf,
}

impl Storms {
    fn run(self) -> Result<(), Trouble> {
        let node = std::path::absolute(&self.node).map_err(|error| Trouble::Input(error.to_string()))?;
        if !node.exists() {
            return Err(Trouble::Input(format!("{}: is no program", node.display())));
        }
        let (mut gaps, mut acts, mut turns, mut void) = (histogram()?, 0, 0, 0);
        for seed in self.first..self.first.saturating_add(self.seeds) {
            let scenario = Scenario::storm(seed, self.voters as usize);
            let folder = std::env::temp_dir().join(format!("pearfront-storm-{seed}-{}", std::process::id()));
            let command = NodeCommand { run: format!("exec '{}'", node.display()), folder: folder.clone() };
            let played = in_time(PLAYS, |_| {
                drop(std::fs::remove_dir_all(&folder));
                let played = run(player::play(&scenario, seed, &command))?;
                void += usize::from(played.void);
                Ok(if played.void { Play::Void("the machine was late".into()) } else { Play::InTime(played) })
            });
            let played = played.map_err(Trouble::Undone)?;
            for finding in &played.verdict.broken {
                println!("seed={seed} voters={}: {}", self.voters, finding.what);
            }
            if !played.verdict.broken.is_empty() {
                println!("logs in {}", folder.display());
                return Err(Trouble::RuleBroken);
            }
            drop(std::fs::remove_dir_all(&folder));
            let Some(held) = played.duty else { continue };
            held.gaps.iter().for_each(|ms| gaps.saturating_record(*ms as u64));
            acts += held.acts;
            turns += held.turns;
        }
        println!(
            "seeds={} voters={} broken=0 acts={acts} turns={turns} void={void} gaps n={} {}",
            self.seeds,
            self.voters,
            gaps.len(),
            spread(&gaps)
        );
        Ok(())
    }
}

/// Every order of messages, time-outs, syncs and crashes among three voters, up to so many states: from nothing, from a
/// leader, with a crash, and with a voter that forgets everything.
#[derive(clap::Args)]
struct Every {
    #[arg(long, default_value_t = 200_000, value_parser = clap::value_parser!(u64).range(1..=100_000_000))]
    states: u64,
}

impl Every {
    fn run(self) -> Result<(), Trouble> {
        let from_nothing = Bounds {
            depth: usize::MAX,
            states: self.states as usize,
            terms: 2,
            proposals: 4,
            crashes: 0,
            led: false,
            forgets: false,
            all_forgot: false,
        };
        let led = Bounds { led: true, ..from_nothing };
        let crash = Bounds { crashes: 1, ..led };
        let forgets = Bounds { forgets: true, ..crash };
        for (what, bounds) in
            [("from nothing", from_nothing), ("led", led), ("a crash", crash), ("one forgets", forgets)]
        {
            let found = check(&bounds);
            if let Some((broken, steps)) = found.broken {
                steps.iter().for_each(|step| println!("{step}"));
                println!("{what}: {broken}");
                return Err(Trouble::RuleBroken);
            }
            println!("{what}: states={} broken=0, all up to {} steps", found.states, found.depth);
        }
        Ok(())
    }
}

/// Times as they lie, ms.
fn spread(times: &Histogram<u64>) -> String {
    let (half, most) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    format!("p50_ms={half} p99_ms={most} most_ms={}", times.max())
}

fn histogram() -> Result<Histogram<u64>, Trouble> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|error| Trouble::Undone(error.to_string()))
}
