//! `pearfront plot`: makes the report page of a result again.

use crate::{CommandError, results};
use std::path::PathBuf;

/// Make the report pages of a folder of results again from their result.json.
#[derive(clap::Args)]
pub struct Plot {
    /// Folder that `rehearse --out` wrote.
    folder: PathBuf,
}

impl Plot {
    pub fn run(self) -> Result<(), CommandError> {
        let outcomes = results::read(&self.folder)?;
        for outcome in &outcomes {
            let below = self.folder.join(format!("seed-{}", outcome.seed));
            let folder = if outcomes.len() == 1 && !below.is_dir() { self.folder.clone() } else { below };
            results::write(&folder, outcome)?;
            println!("{}", folder.join("report.html").display());
        }
        Ok(())
    }
}
