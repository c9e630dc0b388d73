//! `pearfront store`: what a folder of records has, and whether it is whole.

use crate::Trouble;
use pearfront_cluster::rescue;
use pearfront_store::{Folder, StoreError, check};
use std::path::PathBuf;

/// Look at a folder of records.
#[derive(clap::Args)]
pub struct Store {
    #[command(subcommand)]
    what: What,
}

#[derive(clap::Subcommand)]
enum What {
    Check(Check),
    Rescue(Rescue),
}

/// Where a majority of voters is lost for good: make, out of the folder that one of them has left, the folder that all
/// voters begin anew from. WARNING: whatever only the lost ones knew is gone, and if one of them still runs or starts
/// again with what it had, two of them may hold one duty at once.
#[derive(clap::Args)]
struct Rescue {
    /// The folder `voter` of the one that is left; it must not run.
    folder: PathBuf,
    /// Where to make the new one; copy it over the folder `voter` of every voter before any of them starts.
    #[arg(long)]
    to: PathBuf,
    /// Said by whoever is certain that the others are lost.
    #[arg(long)]
    the_others_are_lost: bool,
}

impl Rescue {
    fn run(self) -> Result<(), Trouble> {
        if !self.the_others_are_lost {
            let what = "what only the others knew would be gone, and two may hold one duty if one of them still runs; \
                        say --the-others-are-lost if that is certain";
            return Err(Trouble::Input(what.into()));
        }
        let found = rescue(&self.folder, &self.to).map_err(Trouble::Undone)?;
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

/// Say what is there and whether it is whole; nothing is changed, and a process may hold the folder meanwhile.
#[derive(clap::Args)]
struct Check {
    folder: PathBuf,
}

impl Store {
    pub fn run(self) -> Result<(), Trouble> {
        match self.what {
            What::Check(check) => check.run(),
            What::Rescue(rescue) => rescue.run(),
        }
    }
}

impl Check {
    fn run(self) -> Result<(), Trouble> {
        let folder = self.folder;
        let shown = folder.display();
        if !folder.is_dir() {
            return Err(Trouble::Input(format!("{shown}: is no folder")));
        }
        match check(&mut Folder::open_read_only(&folder)) {
            Ok(found) => {
                let snapshot = found.snapshot.as_ref().map_or("no snapshot".to_string(), |snapshot| {
                    format!("a snapshot of {} bytes up to record {}", snapshot.bytes.len(), snapshot.index)
                });
                println!(
                    "{shown}: whole; {snapshot}, {} records behind it, the last is {}",
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
                println!("{shown}: {damage}");
                Err(Trouble::RuleBroken)
            }
            Err(error) => Err(Trouble::Undone(format!("{shown}: {error}"))),
        }
    }
}
