//! `pearfront soak`: real node processes under faults that overlap, seed by seed, held against the rules.

use crate::Trouble;
use pearfront_soak::judge::{Break, Rule, Verdict, judge};
use pearfront_soak::plan::Plan;
use pearfront_soak::runner::{RunSummary, Setup, run};
use pearfront_soak::{record, role, shim};
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use tokio::task::LocalSet;

/// The name of the hidden command that plays a role.
const ROLE: &str = "soak-role";
/// Breaks of one seed that are shown.
const SHOWN: usize = 12;

/// Play fleets of 10 to 40 real processes under randomized faults, and hold what clients, servers and the way between them
/// saw against the rules. Each seed prints how often each fault happened; a broken rule ends with exit code 3.
#[derive(clap::Args)]
pub struct Soak {
    /// Seeds to play.
    #[arg(long, default_value_t = 10, value_parser = clap::value_parser!(u64).range(1..=100_000))]
    seeds: u64,
    /// The first of them.
    #[arg(long, default_value_t = 1)]
    first: u64,
    /// A seed to leave out; may be given again.
    #[arg(long)]
    without: Vec<u64>,
    /// Length of a play, seconds.
    #[arg(long, default_value_t = 25.0)]
    seconds: f64,
    /// Plays beside one another.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=16))]
    beside: u64,
    /// The node program; beside this one if it is not named.
    #[arg(long)]
    node: Option<PathBuf>,
    /// Leave records and logs of the plays in this folder.
    #[arg(long)]
    keep: Option<PathBuf>,
    /// Without the shim that lets system calls fail and steps the wall clock (it needs a C compiler).
    #[arg(long)]
    no_shim: bool,
}

/// Plays one of the processes beside the nodes.
#[derive(clap::Args)]
pub struct RoleOf {}

impl RoleOf {
    pub fn run(self) -> Result<(), Trouble> {
        let runtime = crate::runtime()?;
        LocalSet::new().block_on(&runtime, role::run()).map_err(Trouble::Undone)
    }
}

impl Soak {
    pub fn run(self) -> Result<(), Trouble> {
        let own = std::env::current_exe().map_err(|error| Trouble::Undone(error.to_string()))?;
        let node = self.node.clone().unwrap_or_else(|| own.with_file_name("pearfront-node"));
        let node =
            node.canonicalize().map_err(|error| Trouble::Input(format!("{}: {error}", node.display())))?;
        let base = std::env::temp_dir().join(format!("pearfront-soak-{}", std::process::id()));
        let base = self.keep.clone().unwrap_or(base);
        std::fs::create_dir_all(&base)
            .map_err(|error| Trouble::Undone(format!("{}: {error}", base.display())))?;
        let base = base.canonicalize().map_err(|error| Trouble::Undone(error.to_string()))?;
        let library = if self.no_shim { None } else { Some(shim::build(&base)) };
        let library = library.transpose().map_err(|error| Trouble::Undone(format!("fault shim: {error}")))?;
        let setup = |seed: u64| Setup {
            node: node.clone(),
            role_command: (own.clone(), ROLE.into()),
            folder: base.join(format!("seed-{seed}")),
            shim: library.clone(),
        };
        let broken = self.play_all(setup)?;
        if self.keep.is_none() {
            let _ = std::fs::remove_dir_all(&base);
        }
        if broken == 0 { Ok(()) } else { Err(Trouble::RuleBroken) }
    }

    /// Plays all seeds; of how many a rule was broken.
    fn play_all(&self, setup: impl Fn(u64) -> Setup) -> Result<usize, Trouble> {
        let seeds = self.first..self.first + self.seeds;
        let seeds: Vec<u64> = seeds.filter(|seed| !self.without.contains(seed)).collect();
        let mut broken = 0;
        for beside in seeds.chunks(self.beside as usize) {
            let playing: Vec<_> = beside
                .iter()
                .map(|seed| {
                    let (plan, setup) = (Plan::draw(*seed, self.seconds * 1000.0), setup(*seed));
                    std::thread::spawn(move || {
                        play_one(&plan, setup).map(|(played, verdict)| (plan, played, verdict))
                    })
                })
                .collect();
            for one in playing {
                let done = one.join().map_err(|_| Trouble::Undone("a play has panicked".into()))?;
                let (plan, played, verdict) = done?;
                show(&plan, &played, &verdict);
                broken += usize::from(!verdict.breaks.is_empty());
            }
        }
        println!("{} seeds, rules broken in {broken}", seeds.len());
        Ok(broken)
    }
}

fn play_one(plan: &Plan, setup: Setup) -> Result<(RunSummary, Verdict), Trouble> {
    let folder = setup.folder.clone();
    remove(&folder);
    let runtime = crate::runtime()?;
    let played = LocalSet::new().block_on(&runtime, run(plan, setup)).map_err(Trouble::Undone)?;
    let records = record::read_all(&folder).map_err(|error| Trouble::Undone(error.to_string()))?;
    let verdict = judge(plan, &records);
    write_breaks(&folder, &verdict.breaks).map_err(|error| Trouble::Undone(error.to_string()))?;
    Ok((played, verdict))
}

/// What an earlier play of the seed has left.
fn remove(folder: &Path) {
    let _ = std::fs::remove_dir_all(folder);
}

/// How many breaks there are of each rule.
fn by_rule(breaks: &[Break]) -> String {
    let mut counts: BTreeMap<Rule, usize> = BTreeMap::new();
    breaks.iter().for_each(|broken| *counts.entry(broken.rule).or_default() += 1);
    let counts: Vec<String> = counts.iter().map(|(rule, count)| format!("{rule:?} {count}")).collect();
    counts.join(", ")
}

/// All breaks, one a line, beside the records.
fn write_breaks(folder: &Path, breaks: &[Break]) -> std::io::Result<()> {
    let lines: String = breaks.iter().map(|broken| format!("{}\n", line_of(broken))).collect();
    std::fs::write(folder.join("breaks.txt"), lines)
}

fn line_of(broken: &Break) -> String {
    format!("{:?} at {:.0}: {}", broken.rule, broken.at, broken.description)
}

fn show(plan: &Plan, played: &RunSummary, verdict: &Verdict) {
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
            format!("{} BREAKS: {}", breaks.len(), by_rule(breaks))
        },
    );
    let faults: Vec<String> = played.faults.iter().map(|(name, count)| format!("{name} {count}")).collect();
    println!("  faults: {}", faults.join(", "));
    for broken in breaks.iter().take(SHOWN) {
        println!("  {}", line_of(broken));
    }
}
