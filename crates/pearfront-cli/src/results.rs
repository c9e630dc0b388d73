//! Folders of rehearsal results: written by `rehearse`, read by `compare` and `plot`.

use crate::CommandError;
use pearfront_emulator::report::Outcome;
use std::path::Path;

/// Name of the file with the result in JSON.
pub const RESULT: &str = "result.json";

/// Writes result.json, seconds.tsv and report.html.
pub fn write(folder: &Path, outcome: &Outcome) -> Result<(), CommandError> {
    let page = outcome.page().map_err(CommandError::Failed)?;
    let created = std::fs::create_dir_all(folder);
    let write_file = |name: &str, text: &str| std::fs::write(folder.join(name), text);
    created
        .and_then(|()| write_file(RESULT, &outcome.json()))
        .and_then(|()| write_file("seconds.tsv", &outcome.table()))
        .and_then(|()| write_file("report.html", &page))
        .map_err(|error| CommandError::Failed(format!("{}: {error}", folder.display())))
}

/// Reads the results in a folder and in the folders directly below it.
pub fn read(folder: &Path) -> Result<Vec<Outcome>, CommandError> {
    let invalid =
        |path: &Path, message: String| CommandError::InvalidInput(format!("{}: {message}", path.display()));
    let mut folders = vec![folder.to_path_buf()];
    let entries = std::fs::read_dir(folder).map_err(|error| invalid(folder, error.to_string()))?;
    folders.extend(entries.flatten().map(|entry| entry.path()).filter(|path| path.is_dir()));
    folders.sort();
    let mut outcomes = Vec::new();
    for file in folders.into_iter().map(|folder| folder.join(RESULT)).filter(|file| file.is_file()) {
        let text = std::fs::read_to_string(&file).map_err(|error| invalid(&file, error.to_string()))?;
        outcomes.push(Outcome::from_json(&text).map_err(|message| invalid(&file, message))?);
    }
    if outcomes.is_empty() {
        return Err(invalid(folder, format!("no {RESULT} here or in a folder below")));
    }
    Ok(outcomes)
}
