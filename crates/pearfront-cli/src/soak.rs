//! `pearfront soak`: real node processes under overlapping random faults, seed by seed, judged by the rules.

use crate::CommandError;
use pearfront_soak::judge::{Break, Rule, Verdict, judge};
use pearfront_soak::plan::Plan;
use pearfront_soak::runner::{RunSummary, Setup, run};
use pearfront_soak::{record, role, shim};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use tokio::task::LocalSet;

/// Name of the hidden command that plays a role.
const ROLE_COMMAND: &str = "soak-role";
/// Broken rules of one seed that are printed.
const MAX_BREAKS_SHOWN: usize = 12;

/// Run fleets of 10 to 40 real processes under random faults, and judge what clients, servers and the relays between them
/// recorded by the rules. For each seed it prints how often each fault happened; a broken rule ends with exit code 3.
#[derive(clap::Args)]
pub struct Soak {
    /// Number of seeds.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// The first seed.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// A seed to skip; may be repeated.
    #[arg(long)]
    without: Vec<u64>,
    /// Duration of a run, seconds.
    #[arg(long, default_value_t = 25.0)]
    seconds: f64,
    /// Number of runs in parallel.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    beside: u64,
    /// Path of the node program; by default in the folder of this one.
    #[arg(long)]
    node: Option<PathBuf>,
    /// Keep the records and logs in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Run without the shim that makes system calls fail and steps the wall clock; it needs a C compiler.
    #[arg(long)]
    no_shim: bool,
}

/// Plays one of the processes around the nodes: servers, clients, relays or discovery.
#[derive(clap::Args)]
pub struct SoakRole {}

impl SoakRole {
    pub fn run(self) -> Result<(), CommandError> {
        let runtime = crate::runtime()?;
        LocalSet::new().block_on(&runtime, role::run()).map_err(CommandError::Failed)
    }
}

impl Soak {
    pub fn run(self) -> Result<(), CommandError> {
        let own_program = std::env::current_exe().map_err(|error| CommandError::Failed(error.to_string()))?;
        let node = self.node.clone().unwrap_or_else(|| own_program.with_file_name("pearfront-node"));
        let node = node
            .canonicalize()
            .map_err(|error| CommandError::InvalidInput(format!("{}: {error}", node.display())))?;
        let base = std::env::temp_dir().join(format!("pearfront-soak-{}", std::process::id()));
        let base = self.keep.clone().unwrap_or(base);
        std::fs::create_dir_all(&base)
            .map_err(|error| CommandError::Failed(format!("{}: {error}", base.display())))?;
        let base = base.canonicalize().map_err(|error| CommandError::Failed(error.to_string()))?;
        let library = if self.no_shim { None } else { Some(shim::build(&base)) };
        let library =
            library.transpose().map_err(|error| CommandError::Failed(format!("fault shim: {error}")))?;
        let setup = |seed: u64| Setup {
            node: node.clone(),
            role_command: (own_program.clone(), ROLE_COMMAND.into()),
            folder: base.join(format!("seed-{seed}")),
            shim: library.clone(),
        };
        let broken = self.play_all(setup)?;
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&base);
        }
        if broken == 0 { Ok(()) } else { Err(CommandError::RuleBroken) }
    }

    /// Plays all seeds; returns the number of seeds that broke a rule.
    fn play_all(&self, setup: impl Fn(u64) -> Setup) -> Result<usize, CommandError> {
        let seeds = self.first..self.first + self.seeds;
        let seeds: Vec<u64> = seeds.filter(|seed| !self.without.contains(seed)).collect();
        let mut broken = 0;
        for group in seeds.chunks(self.beside as usize) {
            let playing: Vec<_> = group
                .iter()
                .map(|seed| {
                    let (plan, setup) = (Plan::draw(*seed, self.seconds * 1000.0), setup(*seed));
                    std::thread::spawn(move || {
                        play_one(&plan, setup).map(|(played, verdict)| (plan, played, verdict))
                    })
                })
                .collect();
            for play in playing {
                let done = play.join().map_err(|_| CommandError::Failed("a run has panicked".into()))?;
                let (plan, played, verdict) = done?;
                print_summary(&plan, &played, &verdict);
                broken += usize::from(!verdict.breaks.is_empty());
            }
        }
        println!("{} seeds, rules broken in {broken}", seeds.len());
        Ok(broken)
    }
}

fn play_one(plan: &Plan, setup: Setup) -> Result<(RunSummary, Verdict), CommandError> {
    let folder = setup.folder.clone();
    remove_old_records(&folder);
    let runtime = crate::runtime()?;
    let played = LocalSet::new().block_on(&runtime, run(plan, setup)).map_err(CommandError::Failed)?;
    let records = record::read_all(&folder).map_err(|error| CommandError::Failed(error.to_string()))?;
    let verdict = judge(plan, &records);
    write_breaks(&folder, &verdict.breaks).map_err(|error| CommandError::Failed(error.to_string()))?;
    Ok((played, verdict))
}

/// Removes what an earlier run of the seed has left.
fn remove_old_records(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}

/// Number of breaks by rule.
fn count_by_rule(breaks: &[Break]) -> String {
    let mut counts: BTreeMap<Rule, usize> = BTreeMap::new();
    breaks.iter().for_each(|broken| *counts.entry(broken.rule).or_default() += 1);
    let counts: Vec<String> = counts.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
    counts.join(", ")
}

/// Writes all breaks, one a line, into the folder of the records.
fn write_breaks(folder: &Path, breaks: &[Break]) -> std::io::Result<()> {
    let lines: String = breaks.iter().map(|broken| format!("{}\n", break_line(broken))).collect();
    std::fs::write(folder.join("breaks.txt"), lines)
}

fn break_line(broken: &Break) -> String {
    format!("{:?} at {:.0}: {}", broken.rule, broken.at, broken.description)
}

fn print_summary(plan: &Plan, played: &RunSummary, verdict: &Verdict) {
    let Verdict { requests, attempts, served, refused, left, unserved, shut_unread, breaks } = verdict;
    let fleet = &plan.fleet;
    println!(
        "seed {}: {} processes ({} nodes, {} servers, lists {}, draws by {}), {requests} requests, {attempts} attempts, {served} served, \
         {refused} refused or failed, {left} left, {unserved} not judged, {shut_unread} shut unread; {} counted by the nodes; {}",
        plan.seed,
        played.processes,
        fleet.nodes,
        fleet.servers,
        if fleet.pushed { "pushed" } else { "asked for" },
        if fleet.probes_first { "requests held, asked first" } else { "utilisation" },
        played.violations,
        if breaks.is_empty() {
            "rules kept".into()
        } else {
            format!("{} BREAKS: {}", breaks.len(), count_by_rule(breaks))
        },
    );
    let faults: Vec<String> = played.faults.iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!("  faults: {}", faults.join(", "));
    for broken in breaks.iter().take(MAX_BREAKS_SHOWN) {
        println!("  {}", break_line(broken));
    }
}
