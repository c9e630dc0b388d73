//! `pearfront rehearse --play processes`: several node processes of one installation, with relays between them.

use crate::CommandError;
use pearfront_emulator::processes::player::{Played, play};
use pearfront_emulator::processes::scenario::Scenario;
use pearfront_emulator::processes::{picture, run};
use pearfront_emulator::sockets::NodeCommand;
use std::fmt::Write;
use std::path::Path;

/// Reads a scenario file of `rehearsals/cluster/`.
pub fn read(file: &Path) -> Result<Scenario, CommandError> {
    let invalid = |message: String| CommandError::InvalidInput(format!("{}: {message}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|error| invalid(error.to_string()))?;
    Scenario::parse(&text).map_err(|error| invalid(error.to_string()))
}

/// Plays one seed and prints the result; false if a rule was broken.
pub fn rehearse(
    scenario: &Scenario,
    seed: u64,
    command: &NodeCommand,
    out: Option<&Path>,
) -> Result<bool, CommandError> {
    let played = run(play(scenario, seed, command)).map_err(CommandError::Failed)?;
    for finding in &played.verdict.broken {
        println!("broken: at {:.1} s: {}", finding.at / 1000.0, finding.what);
    }
    println!("seed={seed} {}", summary(&played));
    if let Some(folder) = out {
        write(folder, &played)
            .map_err(|error| CommandError::Failed(format!("{}: {error}", folder.display())))?;
        println!("{}", folder.join("report.html").display());
    }
    if played.void {
        return Err(CommandError::Failed("the machine ran late: the play is void".into()));
    }
    Ok(played.verdict.broken.is_empty())
}

fn summary(played: &Played) -> String {
    let verdict = &played.verdict;
    let found = sorted(&verdict.found);
    let silent = sorted(&verdict.silent);
    let median = |times: &[f64]| times.get(times.len() / 2).copied();
    let show_ms = |ms: Option<f64>| ms.map_or("-".into(), |ms| format!("{ms:.0}"));
    let duty = played.duty.as_ref().map_or(String::new(), |duty| {
        let mut gaps = duty.gaps.clone();
        gaps.sort_by(f64::total_cmp);
        format!(
            " acts={} turns={} gaps={} gap_p50_ms={} gap_most_ms={}",
            duty.acts,
            duty.turns,
            gaps.len(),
            show_ms(median(&gaps)),
            show_ms(gaps.last().copied())
        )
    });
    format!(
        "broken={} found={} found_p50_ms={} found_most_ms={} silent={} silent_p50_ms={} \
         silent_most_ms={} agreed_after_ms={} suspicions={} late_p99_us={} void={}{duty}",
        verdict.broken.len(),
        found.len(),
        show_ms(median(&found)),
        show_ms(found.last().copied()),
        silent.len(),
        show_ms(median(&silent)),
        show_ms(silent.last().copied()),
        show_ms(played.agreed_after),
        played.suspicions,
        verdict.late_p99_us,
        played.void
    )
}

fn sorted(all: &[(String, Vec<f64>)]) -> Vec<f64> {
    let mut times: Vec<f64> = all.iter().flat_map(|(_, times)| times.iter().copied()).collect();
    times.sort_by(f64::total_cmp);
    times
}

fn write(folder: &Path, played: &Played) -> std::io::Result<()> {
    std::fs::create_dir_all(folder)?;
    let svg = picture::picture(&played.records).map_err(std::io::Error::other)?;
    let mut page = String::from("<!doctype html><meta charset=utf-8><title>Processes</title>");
    let _ = write!(page, "<p>{}</p>{svg}<pre>", summary(played));
    for finding in &played.verdict.broken {
        let _ = writeln!(page, "broken: at {:.1} s: {}", finding.at / 1000.0, finding.what);
    }
    for (at, act) in &played.records.acts {
        let _ = writeln!(page, "{:9.3} {act:?}", at / 1000.0);
    }
    page.push_str("</pre>");
    std::fs::write(folder.join("report.html"), page)
}
