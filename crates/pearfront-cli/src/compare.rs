//! `pearfront compare`: two sets of plays side by side.

use crate::{Trouble, results};
use pearfront_emulator::report;
use std::path::PathBuf;

/// Put two folders of results side by side and say what is within noise. Several seeds each are needed for that
/// (`rehearse --seeds 5`).
#[derive(clap::Args)]
pub struct Compare {
    one: PathBuf,
    other: PathBuf,
}

impl Compare {
    pub fn run(self) -> Result<(), Trouble> {
        let (one, other) = (results::read(&self.one)?, results::read(&self.other)?);
        let compared = report::compare(&one, &other).map_err(Trouble::Input)?;
        println!("{:16} {:>10} {:>10} {:>10} {:>10}", "figure", "one", "other", "change", "noise");
        for row in &compared {
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
        for (name, set) in [("one", &one), ("other", &other)] {
            let broken = set.iter().filter(|outcome| !outcome.verdict.broken.is_empty()).count();
            println!("{name}: {} plays, {broken} with a rule broken", set.len());
        }
        Ok(())
    }
}
