//! Folders of results: written by `rehearse`, read by `compare` and `plot`.

use crate::Trouble;
use pearfront_emulator::report::Outcome;
use std::path::Path;

pub const RESULT: &str = "result.json";

pub fn write(folder: &Path, outcome: &Outcome) -> Result<(), Trouble> {
    let page = outcome.page().map_err(Trouble::Undone)?;
    let made = std::fs::create_dir_all(folder);
    let put = |name: &str, text: &str| std::fs::write(folder.join(name), text);
    made.and_then(|()| put(RESULT, &outcome.json()))
        .and_then(|()| put("seconds.tsv", &outcome.table()))
        .and_then(|()| put("report.html", &page))
        .map_err(|error| Trouble::Undone(format!("{}: {error}", folder.display())))
}

/// The results in a folder: its own, or one in each folder below it.
pub fn read(folder: &Path) -> Result<Vec<Outcome>, Trouble> {
    let wrong = |path: &Path, what: String| Trouble::Input(format!("{}: {what}", path.display()));
    let mut places = vec![folder.to_path_buf()];
    let entries = std::fs::read_dir(folder).map_err(|error| wrong(folder, error.to_string()))?;
    places.extend(entries.flatten().map(|entry| entry.path()).filter(|path| path.is_dir()));
    places.sort();
    let mut outcomes = Vec::new();
    for place in places.into_iter().map(|place| place.join(RESULT)).filter(|place| place.is_file()) {
        let text = std::fs::read_to_string(&place).map_err(|error| wrong(&place, error.to_string()))?;
        outcomes.push(Outcome::from_json(&text).map_err(|what| wrong(&place, what))?);
    }
    if outcomes.is_empty() {
        return Err(wrong(folder, format!("no {RESULT} here or in a folder below")));
    }
    Ok(outcomes)
}
