//! `pearfront compare`: the results of two sets of rehearsals side by side.

use crate::{CommandError, results};
use pearfront_emulator::report;
use std::path::PathBuf;

/// Compare the results in two folders and show which differences are within noise. That needs several seeds in each
/// (`rehearse --seeds 5`).
#[derive(clap::Args)]
pub struct Compare {
    /// Folder of the first results.
    one: PathBuf,
    /// Folder of the results to compare with them.
    other: PathBuf,
}

impl Compare {
    pub fn run(self) -> Result<(), CommandError> {
        let (one, other) = (results::read(&self.one)?, results::read(&self.other)?);
        let rows = report::compare(&one, &other).map_err(CommandError::InvalidInput)?;
        println!("{:16} {:>10} {:>10} {:>10} {:>10}", "figure", "one", "other", "change", "noise");
        for row in &rows {
            println!(
                "{:16} {:10.3} {:10.3} {:+10.3} {:10.3}  {}",
                row.figure,
                row.one,
                row.other,
                row.other - row.one,
                row.noise,
                row.says()
            );
        }
        for (name, outcomes) in [("one", &one), ("other", &other)] {
            let broken = outcomes.iter().filter(|outcome| !outcome.verdict.broken.is_empty()).count();
            println!("{name}: {} plays, {broken} with a rule broken", outcomes.len());
        }
        Ok(())
    }
}
