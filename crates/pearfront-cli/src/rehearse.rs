//! `pearfront rehearse`: plays a scenario and says what came of it.

use crate::{Trouble, among, check, results};
use indicatif::{ProgressBar, ProgressStyle};
use pearfront_emulator::decide::Policy;
use pearfront_emulator::judge::{Verdict, judge};
use pearfront_emulator::model;
use pearfront_emulator::report::Outcome;
use pearfront_emulator::scenario::Scenario;
use pearfront_emulator::sockets::{self, NodeCommand};
use std::path::PathBuf;

/// The platform's file, as seen from the root.
const DEPLOY: &str = "deploy/balancer.toml";

#[derive(Debug, Clone, Copy, PartialEq, Eq, clap::ValueEnum)]
enum Play {
    /// Simulated time round the decision module itself; the same seed gives the same result, byte for byte.
    Model,
    /// Real time: node programs on loopback addresses, between emulated servers, callers and discovery.
    Sockets,
    /// Real time: several node programs of one installation, with relays between them; files in `rehearsals/cluster/`.
    Processes,
}

/// Play a scenario. The last line of the output is for machines: service, rules, latencies.
#[derive(clap::Args)]
pub struct Rehearse {
    /// The scenario file; `rehearsals/` has some.
    scenario: PathBuf,
    #[arg(long, value_enum, default_value_t = Play::Model)]
    play: Play,
    /// Seed of all chance; the file's own if absent.
    #[arg(long)]
    seed: Option<u64>,
    /// Play so many seeds, one after another, from the first on.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u64).range(1..=1000))]
    seeds: u64,
    /// Write result.json, seconds.tsv and report.html there; with several seeds into a folder each below it.
    #[arg(long, value_name = "DIR")]
    out: Option<PathBuf>,
    /// The node program, in the sockets play; else what the deploy file's `run` says.
    #[arg(long, value_name = "PROGRAM")]
    nodes: Option<PathBuf>,
    /// Who decides, in the model play: module, random, two-choices, least-held or sees-all.
    #[arg(long, default_value = "module", value_parser = policy)]
    policy: Policy,
}

fn policy(name: &str) -> Result<Policy, String> {
    let names: Vec<&str> = Policy::ALL.iter().map(|(name, _)| *name).collect();
    Policy::named(name).ok_or_else(|| format!("it is one of {}", names.join(", ")))
}

impl Rehearse {
    pub fn run(self) -> Result<(), Trouble> {
        if self.play == Play::Processes {
            return self.processes();
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
                let below = folder.join(format!("seed-{seed}"));
                results::write(if self.seeds > 1 { &below } else { folder }, &outcome)?;
            }
            outcomes.push(outcome);
            let last = outcomes.len() as u64 == self.seeds;
            if let Some(distance) = Outcome::distance_together(&outcomes).filter(|_| last && self.seeds > 1) {
                println!("all seeds together: mean distance from the recorded curve {distance:.3}");
            }
            println!("seed={seed} {line}");
            if void {
                return Err(Trouble::Undone("the emulator itself ran late: the play is void".into()));
            }
        }
        if kept { Ok(()) } else { Err(Trouble::RuleBroken) }
    }

    /// Several processes of one installation: their scenarios have a form of their own.
    fn processes(self) -> Result<(), Trouble> {
        let scenario = among::read(&self.scenario)?;
        let first = self.seed.unwrap_or(scenario.seed);
        let mut kept = true;
        for seed in first..first.saturating_add(self.seeds) {
            let out = self.out.as_ref().map(|out| out.join(format!("seed-{seed}")));
            kept &= among::rehearse(&scenario, seed, &self.command(seed)?, out.as_deref())?;
        }
        if kept { Ok(()) } else { Err(Trouble::RuleBroken) }
    }

    /// How nodes are started, and a folder for their files: beside the results, else a fresh one that is kept.
    fn command(&self, seed: u64) -> Result<NodeCommand, Trouble> {
        if self.policy != Policy::Module {
            return Err(Trouble::Input("--policy: on sockets the node program decides".into()));
        }
        let run = match &self.nodes {
            Some(program) => format!("exec '{}'", program.display()),
            None => deployed()?,
        };
        let below = format!("nodes-{seed}-{}", std::process::id());
        let folder = self.out.clone().unwrap_or_else(|| std::env::temp_dir().join("pearfront")).join(below);
        Ok(NodeCommand { run, folder })
    }

    fn play(&self, scenario: &Scenario, seed: u64) -> Result<Verdict, Trouble> {
        // Drawn on a terminal only.
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
            // It has a form of its own, and went its own way before this.
            Play::Processes => Err(Trouble::Undone("processes are played by their own scenarios".into())),
            Play::Sockets => {
                let command = self.command(seed)?;
                sockets::play(scenario, seed, &command, &mut progress).map_err(Trouble::Undone)
            }
        };
        bar.finish_and_clear();
        Ok(judge(scenario, &records?))
    }
}

/// What the deploy file of this folder starts a node with.
fn deployed() -> Result<String, Trouble> {
    let wrong = |what: String| Trouble::Input(format!("{DEPLOY}: {what}; --nodes names a program instead"));
    let text = std::fs::read_to_string(DEPLOY).map_err(|error| wrong(error.to_string()))?;
    let deploy: toml::Table = toml::from_str(&text).map_err(|error| wrong(error.message().to_string()))?;
    let run = deploy.get("run").and_then(|run| run.as_str());
    run.map(str::to_string).ok_or_else(|| wrong("run is missing or no text".into()))
}
