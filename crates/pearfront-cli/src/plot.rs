//! `pearfront plot`: the page of a result, made anew.

use crate::{Trouble, results};
use std::path::PathBuf;

/// Make the page of a folder's result anew.
#[derive(clap::Args)]
pub struct Plot {
    folder: PathBuf,
}

impl Plot {
    pub fn run(self) -> Result<(), Trouble> {
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
