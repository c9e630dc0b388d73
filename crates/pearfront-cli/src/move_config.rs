//! `pearfront move`: converts the configuration of a node of a pool into that of a sidecar, a node beside one client process.

use crate::CommandError;
use pearfront_settings::sidecar::{SidecarConfig, SidecarTarget, to_sidecar};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

/// Convert a node's configuration file for sidecars, one node beside each client process, and list what could not be carried
/// over.
#[derive(clap::Args)]
pub struct Move {
    /// The configuration file of a node of a pool, as ROUTER_CONFIG names it. It is only read.
    file: PathBuf,
    /// Where to write the new file; not needed with --dry-run.
    #[arg(long, required_unless_present = "dry_run")]
    out: Option<PathBuf>,
    /// Number of nodes, one for each client process.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    nodes: u32,
    /// All zones, in the order of the settings.
    #[arg(long, value_delimiter = ',', required = true)]
    zones: Vec<String>,
    /// The zone of this node.
    #[arg(long)]
    zone: String,
    /// Concurrent requests that a connection to a server carries.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
    streams: u32,
    /// Seed of this node's random numbers, hexadecimal.
    #[arg(long)]
    seed: String,
    /// Only print what could not be carried over; write nothing.
    #[arg(long)]
    dry_run: bool,
    /// Overwrite the new file if it exists.
    #[arg(long)]
    force: bool,
}

impl Move {
    pub fn run(self) -> Result<(), CommandError> {
        let name = self.file.display().to_string();
        let invalid = |message: String| CommandError::InvalidInput(format!("{name}: {message}"));
        let text = std::fs::read(&self.file).map_err(|error| invalid(error.to_string()))?;
        let old = serde_json::from_slice(&text).map_err(|error| invalid(error.to_string()))?;
        let (nodes, streams) = (self.nodes, self.streams);
        let target = SidecarTarget {
            nodes,
            zones: self.zones.clone(),
            zone: self.zone.clone(),
            streams,
            seed: self.seed.clone(),
        };
        let SidecarConfig { file, not_carried_over } = to_sidecar(&old, &target).map_err(invalid)?;
        match &self.out {
            Some(out) if !self.dry_run => self.write(out, &(format!("{file:#}\n")))?,
            _ => println!("nothing written"),
        }
        println!("not carried over as it was:");
        not_carried_over.iter().for_each(|line| println!("  {line}"));
        Ok(())
    }

    fn write(&self, out: &PathBuf, text: &str) -> Result<(), CommandError> {
        let path = out.display();
        if self.force && same_file(out, &self.file) {
            return Err(CommandError::InvalidInput(format!(
                "{path}: is the old file, which is needed for a rollback"
            )));
        }
        let mut options = OpenOptions::new();
        // Without --force the file must not exist; checking first and then opening it would be a race.
        options.write(true).create_new(!self.force).create(self.force).truncate(self.force);
        let mut file =
            options.open(out).map_err(|error| CommandError::InvalidInput(format!("{path}: {error}")))?;
        file.write_all(text.as_bytes()).map_err(|error| CommandError::Failed(format!("{path}: {error}")))?;
        println!("{path} written");
        Ok(())
    }
}

fn same_file(first: &PathBuf, second: &PathBuf) -> bool {
    let (first, second) = (std::fs::canonicalize(first), std::fs::canonicalize(second));
    matches!((first, second), (Ok(first), Ok(second)) if first == second)
}
