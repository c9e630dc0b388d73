//! `pearfront rehearse`: plays a scenario and judges the result by the rules.

use crate::{CommandError, check, processes, results};
use indicatif::{ProgressBar, ProgressStyle};
use pearfront_emulator::decide::Policy;
use pearfront_emulator::judge::{Verdict, judge};
use pearfront_emulator::model;
use pearfront_emulator::report::Outcome;
use pearfront_emulator::scenario::Scenario;
use pearfront_emulator::sockets::{self, NodeCommand};
use std::path::PathBuf;

/// The deploy file, relative to the repository's root; it says how a node is started.
const DEPLOY_FILE: &str = "deploy/balancer.toml";

#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Play {
    /// The decision module itself in simulated time; the same seed gives the same result, byte for byte.
    Model,
    /// Node processes in real time on loopback addresses, between emulated servers, clients and discovery.
    Sockets,
    /// Several node processes of one installation in real time, with relays between them; scenarios in `rehearsals/cluster/`.
    Processes,
}

/// Play a scenario. The last line of the output is machine-readable: service, rules, latencies.
#[derive(clap::Args)]
pub struct Rehearse {
    /// The scenario file; there are some in `rehearsals/`.
    scenario: PathBuf,
    /// What is played, and in which time.
    #[arg(long, value_enum, default_value_t = Play::Model)]
    play: Play,
    /// Seed of all random numbers; the scenario's own by default.
    #[arg(long)]
    seed: Option<u64>,
    /// Number of consecutive seeds to play.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Folder for result.json, seconds.tsv and report.html; with several seeds, each gets a folder in it.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The node program, with sockets and processes; by default what `run` in the deploy file says.
    #[arg(long, value_name = "PROGRAM")]
    nodes: Option<PathBuf>,
    /// The policy that decides, with --play model: module, random, two-choices, least-held or sees-all.
    #[arg(long, default_value = "module", value_parser = parse_policy)]
    policy: Policy,
}

fn parse_policy(name: &str) -> Result<Policy, String> {
    let names: Vec<&str> = Policy::ALL.iter().map(|(name, _)| *name).collect();
    Policy::named(name).ok_or_else(|| format!("must be one of {}", names.join(", ")))
}

impl Rehearse {
    pub fn run(self) -> Result<(), CommandError> {
        if self.play == Play::Processes {
            return self.rehearse_processes();
        }
        let scenario = check::read(&self.scenario)?;
        let first = self.seed.unwrap_or(scenario.seed);
        let mut kept = true;
        let mut outcomes = Vec::new();
        for seed in first..first.saturating_add(self.seeds) {
            let verdict = self.play(&scenario, seed)?;
            for finding in &verdict.broken {
                println!("rule broken: {} ({} times)", finding.rule, finding.cases);
                finding.examples.iter().for_each(|case| println!("  {case}"));
            }
            kept &= verdict.broken.is_empty();
            let (line, void) = (verdict.line(), verdict.void);
            let play = if self.play == Play::Model { "model" } else { "sockets" };
            let outcome = Outcome::new(&scenario, play, self.policy.name(), seed, verdict);
            if let Some(distance) = outcome.recorded_distance {
                println!("mean distance from the recorded curve: {distance:.3}");
            }
            if let Some(folder) = &self.out {
                let subfolder = folder.join(format!("seed-{seed}"));
                results::write(if self.seeds > 1 { &subfolder } else { folder }, &outcome)?;
            }
            outcomes.push(outcome);
            let last = outcomes.len() as u64 == self.seeds;
            if let Some(distance) = Outcome::distance_together(&outcomes).filter(|_| last && self.seeds > 1) {
                println!("all seeds together: mean distance from the recorded curve {distance:.3}");
            }
            println!("seed={seed} {line}");
            if void {
                return Err(CommandError::Failed("the emulator itself ran late: the play is void".into()));
            }
        }
        if kept { Ok(()) } else { Err(CommandError::RuleBroken) }
    }

    /// Plays several processes of one installation, whose scenarios have a format of their own.
    fn rehearse_processes(self) -> Result<(), CommandError> {
        let scenario = processes::read(&self.scenario)?;
        let first = self.seed.unwrap_or(scenario.seed);
        let mut kept = true;
        for seed in first..first.saturating_add(self.seeds) {
            let out = self.out.as_ref().map(|out| out.join(format!("seed-{seed}")));
            kept &= processes::rehearse(&scenario, seed, &self.node_command(seed)?, out.as_deref())?;
        }
        if kept { Ok(()) } else { Err(CommandError::RuleBroken) }
    }

    /// How nodes are started, and the folder for their files: among the results, or a temporary one that is not removed.
    fn node_command(&self, seed: u64) -> Result<NodeCommand, CommandError> {
        if self.policy != Policy::Module {
            return Err(CommandError::InvalidInput(
                "--policy: with node processes the node program decides".into(),
            ));
        }
        let run = match &self.nodes {
            Some(program) => format!("exec '{}'", program.display()),
            None => deployed_command()?,
        };
        let subfolder = format!("nodes-{seed}-{}", std::process::id());
        let folder =
            self.out.clone().unwrap_or_else(|| std::env::temp_dir().join("pearfront")).join(subfolder);
        Ok(NodeCommand { run, folder })
    }

    fn play(&self, scenario: &Scenario, seed: u64) -> Result<Verdict, CommandError> {
        // The bar is drawn only on a terminal.
        let bar = ProgressBar::new(1000);
        if let Ok(style) = ProgressStyle::with_template("{bar:40} {percent} % {elapsed}") {
            bar.set_style(style);
        }
        let mut progress = |share: f64| bar.set_position((share * 1000.0) as u64);
        let records = match self.play {
            Play::Model => {
                let options = model::Options { seed, policy: self.policy, fault: None };
                Ok(model::play(scenario, options, &mut progress))
            }
            // `run` handles it before, since its scenarios have another format.
            Play::Processes => {
                Err(CommandError::Failed("--play processes needs a scenario of `rehearsals/cluster/`".into()))
            }
            Play::Sockets => {
                let command = self.node_command(seed)?;
                sockets::play(scenario, seed, &command, &mut progress).map_err(CommandError::Failed)
            }
        };
        bar.finish_and_clear();
        Ok(judge(scenario, &records?))
    }
}

/// The command that starts a node by the deploy file of this folder.
fn deployed_command() -> Result<String, CommandError> {
    let invalid = |message: String| {
        CommandError::InvalidInput(format!(
            "{DEPLOY_FILE}: {message}; alternatively name a program with --nodes"
        ))
    };
    let text = std::fs::read_to_string(DEPLOY_FILE).map_err(|error| invalid(error.to_string()))?;
    let deploy: toml::Table = toml::from_str(&text).map_err(|error| invalid(error.message().to_string()))?;
    let run = deploy.get("run").and_then(|run| run.as_str());
    run.map(str::to_string).ok_or_else(|| invalid("run is missing or not a string".into()))
}
