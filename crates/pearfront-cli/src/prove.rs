//! `pearfront prove`: simulates the protocol cores of many processes in virtual time, seed by seed, and checks invariants. It
//! stops at the first seed that breaks one.

use crate::CommandError;
use hdrhistogram::Histogram;
use pearfront_emulator::cores::exhaustive::{Bounds, check};
use pearfront_emulator::cores::membership::Trouble as Fault;
use pearfront_emulator::cores::membership::{Findings, Plan, Weather, World, play};
use pearfront_emulator::cores::{consensus, distribute, duties};
use pearfront_emulator::processes::scenario::Scenario;
use pearfront_emulator::processes::{player, run};
use pearfront_emulator::sockets::NodeCommand;
use pearfront_emulator::void_plays::{PLAYS, Play, in_time};
use pearfront_membership::Times;

/// Simulate the protocol cores of many processes in virtual time under network faults and kills, and check invariants after
/// every step. The command stops at the first seed that breaks one; `membership` then shows its last steps.
#[derive(clap::Args)]
pub struct Prove {
    #[command(subcommand)]
    target: Target,
}

#[derive(clap::Subcommand)]
enum Target {
    Membership(MembershipProof),
    Consensus(ConsensusProof),
    Duties(DutiesProof),
    Distribute(DistributeProof),
    Processes(ProcessesProof),
    Every(EveryProof),
}

#[derive(clap::Args)]
struct Seeds {
    /// Number of seeds.
    #[arg(long, default_value_t = 100, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
}

impl Seeds {
    fn range(&self) -> std::ops::Range<u64> {
        self.first..self.first.saturating_add(self.seeds)
    }
}

/// Membership during a minute of 20 % loss, delays up to 500 ms and pauses up to 3 s, with one process in ten killed: no running
/// process is declared dead, and every killed one is detected by all others.
#[derive(clap::Args)]
struct MembershipProof {
    #[command(flatten)]
    seeds: Seeds,
    /// Number of processes.
    #[arg(long, default_value_t = 16, value_parser = clap::value_parser!(u64).range(2..=1000))]
    instances: u64,
    /// Instead without network faults, and one process killed: how soon is it detected?
    #[arg(long)]
    calm: bool,
    /// With --calm: the kernels at the other ends of its connections report its end.
    #[arg(long, requires = "calm")]
    proof: bool,
    /// Show the last steps of the first seed only.
    #[arg(long)]
    steps: bool,
}

/// Steps that are shown before a failure.
const MAX_STEPS_SHOWN: usize = 60;

impl Prove {
    pub fn run(self) -> Result<(), CommandError> {
        match self.target {
            Target::Membership(proof) => proof.run(),
            Target::Consensus(proof) => proof.run(),
            Target::Duties(proof) => proof.run(),
            Target::Distribute(proof) => proof.run(),
            Target::Processes(proof) => proof.run(),
            Target::Every(proof) => proof.run(),
        }
    }
}

impl MembershipProof {
    fn plan(&self, seed: u64) -> Plan {
        let instances = self.instances as usize;
        if !self.calm {
            return Plan::storm(instances, seed);
        }
        let kill = Fault::Kill { who: instances - 1, proof: self.proof };
        let troubles = vec![(20_000.0 + seed as f64 % 200.0, kill)];
        let times = Times::default();
        Plan { instances, length: 40_000.0, weather: Weather::CALM, links: self.proof, times, troubles }
    }

    fn run(self) -> Result<(), CommandError> {
        if self.steps {
            return self.print_steps(self.seeds.first);
        }
        let mut found_by_first = histogram()?;
        let (mut found_by_half, mut found_by_all, mut agreed) =
            (found_by_first.clone(), found_by_first.clone(), found_by_first.clone());
        let mut totals = Findings::default();
        for seed in self.seeds.range() {
            let found = play(self.plan(seed), seed);
            let broken = found.broken.clone().or_else(|| {
                (found.not_found > 0)
                    .then(|| format!("{} killed ones were not found by all", found.not_found))
            });
            if let Some(broken) = broken {
                println!("seed={seed} instances={}: {broken}", self.instances);
                self.print_steps(seed)?;
                return Err(CommandError::RuleBroken);
            }
            for (first, half, all) in &found.found {
                found_by_first.saturating_record(*first as u64);
                found_by_half.saturating_record(*half as u64);
                found_by_all.saturating_record(*all as u64);
            }
            if let Some(after) = found.agreed_after {
                agreed.saturating_record(after as u64);
            }
            totals.suspicions += found.suspicions;
            totals.refutations += found.refutations;
            totals.datagrams += found.datagrams;
            totals.frames += found.frames;
            totals.bytes += found.bytes;
            totals.most_datagrams = totals.most_datagrams.max(found.most_datagrams);
        }
        let seeds = self.seeds.seeds as f64;
        for (name, times) in [
            ("first", &found_by_first),
            ("half", &found_by_half),
            ("all", &found_by_all),
            ("agreed", &agreed),
        ] {
            println!("{name:7} n={} {}", times.len(), summary(times));
        }
        println!(
            "seeds={} instances={} false_deaths=0 suspicions={} refutations={} datagrams_per_s={:.1} frames_per_s={:.2} \
             bytes_per_s={:.0} most_datagrams_per_s={:.1}",
            self.seeds.seeds,
            self.instances,
            totals.suspicions,
            totals.refutations,
            totals.datagrams / seeds,
            totals.frames / seeds,
            totals.bytes / seeds,
            totals.most_datagrams
        );
        Ok(())
    }

    /// Plays that seed and prints its last steps.
    fn print_steps(&self, seed: u64) -> Result<(), CommandError> {
        let mut steps = std::collections::VecDeque::new();
        let (found, _) = World::new(self.plan(seed), seed).play(&mut |at, what| {
            if steps.len() == MAX_STEPS_SHOWN {
                steps.pop_front();
            }
            steps.push_back(format!("{:10.3} {what}", at / 1000.0));
        });
        steps.iter().for_each(|line| println!("{line}"));
        println!("seed={seed} {}", found.broken.as_deref().unwrap_or("nothing broken"));
        Ok(())
    }
}

/// A replicated log among voters whose disks lose writes, stall or come back older, and that are killed, paused and
/// partitioned: one leader a term, no committed entry is lost or changed, and reads see everything committed before them.
#[derive(clap::Args)]
struct ConsensusProof {
    #[command(flatten)]
    seeds: Seeds,
    /// Number of voters.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: u64,
    /// Voters' folders also come back older or empty, one at a time.
    #[arg(long)]
    disks: bool,
}

impl ConsensusProof {
    fn run(self) -> Result<(), CommandError> {
        let plan = consensus::Plan::storm(self.voters as usize, self.disks);
        let (mut leaderless, mut while_able) = (histogram()?, histogram()?);
        let (mut committed, mut reads, mut terms, mut forgot) = (0, 0, 0, 0);
        for seed in self.seeds.range() {
            let found = consensus::play(plan.clone(), seed);
            if let Some(broken) = found.broken {
                println!("seed={seed} voters={}: {broken}", self.voters);
                return Err(CommandError::RuleBroken);
            }
            found.leaderless.iter().for_each(|ms| leaderless.saturating_record(*ms as u64));
            found.able.iter().for_each(|ms| while_able.saturating_record(*ms as u64));
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
            leaderless.len(),
            summary(&leaderless),
            summary(&while_able)
        );
        Ok(())
    }
}

/// Processes that compete for duties on voters as in `prove consensus`, with clocks that drift: never do more processes act on
/// a duty than allowed, no token is granted twice, and each history is linearizable.
#[derive(clap::Args)]
struct DutiesProof {
    #[command(flatten)]
    seeds: Seeds,
    /// Number of voters.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: u64,
    /// Number of processes that compete for duties.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    agents: u64,
    /// Voters' folders also come back older or empty, one at a time.
    #[arg(long)]
    disks: bool,
    /// No other faults than this one of the holder: how long until the next holder acts?
    #[arg(long, value_enum)]
    only: Option<HolderFault>,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum HolderFault {
    /// It gives the duty up.
    #[value(name = "word")]
    GivesUp,
    /// It is killed.
    #[value(name = "kill")]
    Killed,
    /// It is paused.
    #[value(name = "silence")]
    Silent,
    /// Messages to it are lost; those from it arrive.
    Deaf,
}

impl DutiesProof {
    fn plan(&self) -> duties::Plan {
        let (voters, agents) = (self.voters as usize, self.agents as usize);
        let only = match self.only {
            None => return duties::Plan::storm(voters, agents, self.disks),
            Some(HolderFault::GivesUp) => duties::Only::Word,
            Some(HolderFault::Killed) => duties::Only::Kill,
            Some(HolderFault::Silent) => duties::Only::Silence,
            Some(HolderFault::Deaf) => duties::Only::Deaf,
        };
        duties::Plan::handover(voters, agents, only)
    }

    fn run(self) -> Result<(), CommandError> {
        let (plan, mut without_holder) = (self.plan(), histogram()?);
        let mut totals = duties::Findings::default();
        for seed in self.seeds.range() {
            let found = duties::play(&plan, seed);
            if let Some(broken) = found.log.broken {
                println!("seed={seed} voters={} agents={}: {broken}", self.voters, self.agents);
                return Err(CommandError::RuleBroken);
            }
            found.without.iter().for_each(|ms| without_holder.saturating_record((*ms * 1000.0) as u64));
            totals.granted += found.granted;
            totals.renewed += found.renewed;
            totals.acts += found.acts;
            totals.refused += found.refused;
            totals.asks += found.asks;
            totals.calls += found.calls;
            totals.log.committed += found.log.committed;
            totals.log.terms += found.log.terms;
            totals.log.forgot += found.log.forgot;
        }
        println!(
            "seeds={} voters={} agents={} broken=0 granted={} renewed={} asks={} acts={} refused={} committed={} \
             terms={} forgot={} calls_checked={}",
            self.seeds.seeds,
            self.voters,
            self.agents,
            totals.granted,
            totals.renewed,
            totals.asks,
            totals.acts,
            totals.refused,
            totals.log.committed,
            totals.log.terms,
            totals.log.forgot,
            totals.calls
        );
        if !without_holder.is_empty() {
            let ms = |us: u64| us as f64 / 1000.0;
            let (median, p99) =
                (without_holder.value_at_quantile(0.5), without_holder.value_at_quantile(0.99));
            println!(
                "without a holder n={} p50_ms={:.1} p99_ms={:.1} most_ms={:.1}",
                without_holder.len(),
                ms(median),
                ms(p99),
                ms(without_holder.max())
            );
        }
        Ok(())
    }
}

/// Voters, distributors and nodes under constant changes of configuration: a node has one committed version, never an older one
/// after a newer one, and no version is reported as in force everywhere while a running node has an older one.
#[derive(clap::Args)]
struct DistributeProof {
    #[command(flatten)]
    seeds: Seeds,
    /// Number of voters; always five with `--only`.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=7))]
    voters: u64,
    /// Voters' folders also come back older, one at a time.
    #[arg(long)]
    disks: bool,
    /// No other faults than these, in a cluster of the size given below.
    #[arg(long, value_enum)]
    only: Option<DistributeFault>,
    /// Number of distributors, with `--only`.
    #[arg(long, default_value_t = 6, value_parser = clap::value_parser!(u64).range(1..=100))]
    distributors: u64,
    /// Number of nodes, with `--only`.
    #[arg(long, default_value_t = 30, value_parser = clap::value_parser!(u64).range(1..=30_000))]
    nodes: u64,
}

#[derive(Clone, Copy, clap::ValueEnum)]
enum DistributeFault {
    /// Distributors are killed, paused, cut off and stalled, one after another.
    Distributors,
    /// A region is partitioned from the others for two minutes.
    Region,
    /// All voters are down for half a minute.
    Voters,
    /// All nodes start at once without any version.
    Cold,
    /// All nodes lose their connections at once.
    Warm,
}

impl DistributeProof {
    fn plan(&self) -> distribute::Plan {
        let script = match self.only {
            None => {
                return distribute::Plan {
                    voters: self.voters as usize,
                    ..distribute::Plan::storm(self.disks)
                };
            }
            Some(DistributeFault::Distributors) => distribute::Script::Distributors,
            Some(DistributeFault::Region) => distribute::Script::Region,
            Some(DistributeFault::Voters) => distribute::Script::Voters,
            Some(DistributeFault::Cold) => distribute::Script::Cold,
            Some(DistributeFault::Warm) => distribute::Script::Warm,
        };
        distribute::Plan::of(script, self.distributors as usize, self.nodes as usize)
    }

    fn run(self) -> Result<(), CommandError> {
        let plan = self.plan();
        let (mut in_force, mut known, mut whole) = (histogram()?, histogram()?, histogram()?);
        let mut totals = distribute::Findings::default();
        for seed in self.seeds.range() {
            let found = distribute::play(plan.clone(), seed);
            if let Some(broken) = found.broken {
                println!("seed={seed} voters={} nodes={}: {broken}", plan.voters, plan.nodes);
                return Err(CommandError::RuleBroken);
            }
            found.in_force.iter().for_each(|ms| in_force.saturating_record(*ms as u64));
            found.known.iter().for_each(|ms| known.saturating_record(*ms as u64));
            found.whole_after.iter().for_each(|ms| whole.saturating_record(*ms as u64));
            totals.add(&found);
        }
        println!(
            "seeds={} voters={} distributors={} nodes={} broken=0 versions={} sets_refused={} said_again={} \
             node_refusals={} updates={} snapshots={} restricts={} forgot={}",
            self.seeds.seeds,
            plan.voters,
            plan.distributors,
            plan.nodes,
            totals.versions,
            totals.refused_sets,
            totals.said_again,
            totals.node_refusals,
            totals.updates,
            totals.snapshots,
            totals.restricts,
            totals.forgot
        );
        for (name, times) in [("in force", &in_force), ("known to voters", &known), ("whole again", &whole)] {
            if !times.is_empty() {
                println!("{name}: n={} {}", times.len(), summary(times));
            }
        }
        let seconds = self.seeds.seeds as f64 * plan.length / 1000.0;
        let us_a_second =
            |spent: std::time::Duration, count: usize| spent.as_secs_f64() * 1e6 / (seconds * count as f64);
        println!(
            "a node: bytes_per_s={:.0} cpu_us_per_s={:.1}; a distributor: cpu_us_per_s={:.1}; most bytes in one second \
             after the trouble: distributor={} node={}",
            totals.node_bytes / self.seeds.seeds as f64,
            us_a_second(totals.spent_nodes, plan.nodes),
            us_a_second(totals.spent_distributors, plan.distributors),
            totals.most_distributor_bytes,
            totals.most_node_bytes
        );
        Ok(())
    }
}

/// Real node processes, three or five of them voters and as many others through which a duty is claimed, during a minute of
/// kills, pauses, partitions and stalled streams drawn from the seed: nothing is done under an old token, and at the end the
/// cluster has recovered.
#[derive(clap::Args)]
struct ProcessesProof {
    /// Number of seeds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=1_000_000))]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// Number of voters.
    #[arg(long, default_value_t = 3, value_parser = clap::value_parser!(u64).range(3..=5))]
    voters: u64,
    /// Path of the node program.
    #[arg(long, default_value = "target/release/pearfront-node")]
    node: std::path::PathBuf,
}

impl ProcessesProof {
    fn run(self) -> Result<(), CommandError> {
        let node =
            std::path::absolute(&self.node).map_err(|error| CommandError::InvalidInput(error.to_string()))?;
        if !node.exists() {
            return Err(CommandError::InvalidInput(format!("{}: program not found", node.display())));
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
                Ok(if played.void { Play::Void("the machine ran late".into()) } else { Play::InTime(played) })
            });
            let played = played.map_err(CommandError::Failed)?;
            for finding in &played.verdict.broken {
                println!("seed={seed} voters={}: {}", self.voters, finding.what);
            }
            if !played.verdict.broken.is_empty() {
                println!("logs in {}", folder.display());
                return Err(CommandError::RuleBroken);
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
            summary(&gaps)
        );
        Ok(())
    }
}

/// Exhaustive check of every order of messages, time-outs, syncs and crashes among three voters, up to a number of states: from
/// an empty log, with a leader, with a crash, and with a voter that loses its disk.
#[derive(clap::Args)]
struct EveryProof {
    /// Maximum number of states in each of the four cases.
    #[arg(long, default_value_t = 200_000, value_parser = clap::value_parser!(u64).range(1..=100_000_000))]
    states: u64,
}

impl EveryProof {
    fn run(self) -> Result<(), CommandError> {
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
        for (name, bounds) in
            [("from nothing", from_nothing), ("led", led), ("a crash", crash), ("one forgets", forgets)]
        {
            let found = check(&bounds);
            if let Some((broken, steps)) = found.broken {
                steps.iter().for_each(|step| println!("{step}"));
                println!("{name}: {broken}");
                return Err(CommandError::RuleBroken);
            }
            println!("{name}: states={} broken=0, all up to {} steps", found.states, found.depth);
        }
        Ok(())
    }
}

/// Median, 99th percentile and maximum, ms.
fn summary(times: &Histogram<u64>) -> String {
    let (median, p99) = (times.value_at_quantile(0.5), times.value_at_quantile(0.99));
    format!("p50_ms={median} p99_ms={p99} most_ms={}", times.max())
}

fn histogram() -> Result<Histogram<u64>, CommandError> {
    Histogram::new_with_bounds(1, 600_000_000, 3).map_err(|error| CommandError::Failed(error.to_string()))
}
