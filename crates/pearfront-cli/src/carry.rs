//! `pearfront move`: a node's file of the old shape, written again for a node beside one caller's process.

use crate::Trouble;
use pearfront_settings::sidecar::{SidecarConfig, SidecarTarget, to_sidecar};
use std::fs::OpenOptions;
use std::io::Write;
use std::path::PathBuf;

/// Write a node's file for a node beside each client process, and list what could not be carried over.
#[derive(clap::Args)]
pub struct Move {
    /// The file of a node of a pool, as ROUTER_CONFIG names it. It is only read.
    file: PathBuf,
    /// Where the new file goes; not needed to look only.
    #[arg(long, required_unless_present = "dry_run")]
    out: Option<PathBuf>,
    /// How many nodes there will be, one for each client process.
    #[arg(long, value_parser = clap::value_parser!(u32).range(1..))]
    nodes: u32,
    /// The locations, in the order of the settings.
    #[arg(long, value_delimiter = ',', required = true)]
    zones: Vec<String>,
    /// The location of this node.
    #[arg(long)]
    zone: String,
    /// Jobs that a connection to a server carries at once.
    #[arg(long, default_value_t = 1, value_parser = clap::value_parser!(u32).range(1..))]
    streams: u32,
    /// This node's own seed, hexadecimal.
    #[arg(long)]
    seed: String,
    /// Only tell what would be written and left; change nothing.
    #[arg(long)]
    dry_run: bool,
    /// Replace the new file if it is there.
    #[arg(long)]
    force: bool,
}

impl Move {
    pub fn run(self) -> Result<(), Trouble> {
        let name = self.file.display().to_string();
        let input = |what: String| Trouble::Input(format!("{name}: {what}"));
        let text = std::fs::read(&self.file).map_err(|error| input(error.to_string()))?;
        let old = serde_json::from_slice(&text).map_err(|error| input(error.to_string()))?;
        let (nodes, streams) = (self.nodes, self.streams);
        let target = SidecarTarget {
            nodes,
            zones: self.zones.clone(),
            zone: self.zone.clone(),
            streams,
            seed: self.seed.clone(),
        };
        let SidecarConfig { file, not_carried_over } = to_sidecar(&old, &target).map_err(input)?;
        match &self.out {
            Some(out) if !self.dry_run => self.write(out, &(format!("{file:#}\n")))?,
            _ => println!("nothing written"),
        }
        println!("not carried over as it was:");
        not_carried_over.iter().for_each(|line| println!("  {line}"));
        Ok(())
    }

    fn write(&self, out: &PathBuf, text: &str) -> Result<(), Trouble> {
        let shown = out.display();
        if self.force && same_file(out, &self.file) {
            return Err(Trouble::Input(format!("{shown}: is the old file, which is the way back")));
        }
        let mut open = OpenOptions::new();
        // Without leave the file must be new; looking first and writing then would leave a gap.
        open.write(true).create_new(!self.force).create(self.force).truncate(self.force);
        let mut file = open.open(out).map_err(|error| Trouble::Input(format!("{shown}: {error}")))?;
        file.write_all(text.as_bytes()).map_err(|error| Trouble::Undone(format!("{shown}: {error}")))?;
        println!("{shown} written");
        Ok(())
    }
}

fn same_file(one: &PathBuf, other: &PathBuf) -> bool {
    let (one, other) = (std::fs::canonicalize(one), std::fs::canonicalize(other));
    matches!((one, other), (Ok(one), Ok(other)) if one == other)
}
