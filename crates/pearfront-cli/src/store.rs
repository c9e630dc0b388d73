//! `pearfront store`: checks the stored log of a voter, and recovers a cluster that has lost its majority.

use crate::CommandError;
use pearfront_cluster::rescue;
use pearfront_store::{Folder, StoreError, check};
use std::path::PathBuf;

/// Check or recover a voter's stored log.
#[derive(clap::Args)]
pub struct Store {
    #[command(subcommand)]
    action: Action,
}

#[derive(clap::Subcommand)]
enum Action {
    Check(Check),
    Rescue(Rescue),
}

/// Recover after the permanent loss of a majority of voters: from the folder of a remaining voter, make the folder with which
/// all voters start again. WARNING: everything that only the lost voters knew is lost, and if one of them still runs, or starts
/// again with its old folder, two processes may hold the same duty at once.
#[derive(clap::Args)]
struct Rescue {
    /// The folder `voter` of a remaining voter, which must not be running.
    folder: PathBuf,
    /// Where to make the new folder; copy it over the folder `voter` of every voter before any of them starts.
    #[arg(long)]
    to: PathBuf,
    /// Confirms that the other voters are lost for certain.
    #[arg(long)]
    the_others_are_lost: bool,
}

impl Rescue {
    fn run(self) -> Result<(), CommandError> {
        if !self.the_others_are_lost {
            let message = "what only the other voters knew would be lost, and two processes may hold one duty if one of them still runs; \
                        confirm with --the-others-are-lost";
            return Err(CommandError::InvalidInput(message.into()));
        }
        let found = rescue(&self.folder, &self.to).map_err(CommandError::Failed)?;
        println!(
            "{} duties up to entry {}; the last token known is {}, the next one will be {}, in a term above {}",
            found.duties, found.last_index, found.last_token, found.next_token, found.term
        );
        println!(
            "now copy {} over the folder `voter` of every voter, and then start them",
            self.to.display()
        );
        Ok(())
    }
}

/// Print what a folder contains and whether it is intact. Nothing is changed, and the process of the folder may be running.
#[derive(clap::Args)]
struct Check {
    /// The folder `voter` of a node.
    folder: PathBuf,
}

impl Store {
    pub fn run(self) -> Result<(), CommandError> {
        match self.action {
            Action::Check(check) => check.run(),
            Action::Rescue(rescue) => rescue.run(),
        }
    }
}

impl Check {
    fn run(self) -> Result<(), CommandError> {
        let folder = self.folder;
        let path = folder.display();
        if !folder.is_dir() {
            return Err(CommandError::InvalidInput(format!("{path}: is not a folder")));
        }
        match check(&mut Folder::open_read_only(&folder)) {
            Ok(found) => {
                let snapshot = found.snapshot.as_ref().map_or("no snapshot".to_string(), |snapshot| {
                    format!("a snapshot of {} bytes up to record {}", snapshot.bytes.len(), snapshot.index)
                });
                println!(
                    "{path}: whole; {snapshot}, {} records behind it, the last is {}",
                    found.entries.len(),
                    found.last_index()
                );
                if found.torn_bytes > 0 {
                    println!(
                        "{} bytes at the end were being written and will be cut off at the next start",
                        found.torn_bytes
                    );
                }
                Ok(())
            }
            Err(damage @ StoreError::Damaged { .. }) => {
                println!("{path}: {damage}");
                Err(CommandError::RuleBroken)
            }
            Err(error) => Err(CommandError::Failed(format!("{path}: {error}"))),
        }
    }
}
