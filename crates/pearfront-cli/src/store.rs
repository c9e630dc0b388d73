//! `pearfront store`: what a folder of records has, and whether it is whole.

use crate::Trouble;
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
}

/// Say what is there and whether it is whole; nothing is changed, and a process may hold the folder meanwhile.
#[derive(clap::Args)]
struct Check {
    folder: PathBuf,
}

impl Store {
    pub fn run(self) -> Result<(), Trouble> {
        let What::Check(Check { folder }) = self.what;
        let shown = folder.display();
        if !folder.is_dir() {
            return Err(Trouble::Input(format!("{shown}: is no folder")));
        }
        match check(&mut Folder::look(&folder)) {
            Ok(found) => {
                let snapshot = found.snapshot.as_ref().map_or("no snapshot".to_string(), |snapshot| {
                    format!("a snapshot of {} bytes up to record {}", snapshot.bytes.len(), snapshot.index)
                });
                println!(
                    "{shown}: whole; {snapshot}, {} records behind it, the last is {}",
                    found.entries.len(),
                    found.last()
                );
                if found.torn > 0 {
                    println!(
                        "{} bytes at the end were being written and will be cut off at the next start",
                        found.torn
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
