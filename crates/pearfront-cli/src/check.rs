//! `pearfront check`: validates a scenario file.

use crate::CommandError;
use pearfront_emulator::scenario::Scenario;
use std::path::{Path, PathBuf};

/// Validate a scenario file; the first mistake is reported with its key and line.
#[derive(clap::Args)]
pub struct Check {
    /// The scenario file.
    file: PathBuf,
}

impl Check {
    pub fn run(self) -> Result<(), CommandError> {
        let scenario = read(&self.file)?;
        let servers: usize = scenario.tiers.iter().map(|tier| tier.servers).sum();
        println!(
            "{}: {:?}, {} s, {servers} servers in {} tiers, {} nodes, up to {} jobs a second, {} troubles",
            self.file.display(),
            scenario.name,
            scenario.length_s,
            scenario.tiers.len(),
            scenario.nodes.count,
            scenario.clients.rate.most(),
            scenario.troubles.len()
        );
        for (tier, load) in scenario.tiers.iter().zip(scenario.loads()) {
            println!("  {}: {:.0} % of its capacity at the highest rate", tier.name, load * 100.0);
        }
        Ok(())
    }
}

/// Reads and validates a scenario file.
pub fn read(file: &Path) -> Result<Scenario, CommandError> {
    let text = std::fs::read_to_string(file);
    let text = text.map_err(|error| CommandError::InvalidInput(format!("{}: {error}", file.display())))?;
    Scenario::parse(&text).map_err(|error| CommandError::InvalidInput(format!("{}: {error}", file.display())))
}
