//! What a process has to know after a restart: the incarnation that it used last. One small file, replaced whole.

use std::fs::{File, rename};
use std::io::{ErrorKind, Write};
use std::path::{Path, PathBuf};

const FILE_NAME: &str = "incarnation";

fn path_in(folder: &Path) -> PathBuf {
    folder.join(FILE_NAME)
}

/// The incarnation kept there; 0 if there is none yet.
///
/// # Errors
/// The file and what is wrong with it: a folder that can't be read is not one that is empty.
pub(crate) fn read(folder: &Path) -> Result<u64, String> {
    let path = path_in(folder);
    match std::fs::read_to_string(&path) {
        Ok(text) => text.trim().parse().map_err(|_| format!("{}: holds no number", path.display())),
        Err(error) if error.kind() == ErrorKind::NotFound => Ok(0),
        Err(error) => Err(format!("{}: {error}", path.display())),
    }
}

/// Replaces it: written, synced, renamed, folder synced, so that a cut of power leaves the old or the new one.
///
/// # Errors
/// The file and what went wrong.
pub(crate) fn write(folder: &Path, incarnation: u64) -> Result<(), String> {
    let (path, new) = (path_in(folder), folder.join(format!("{FILE_NAME}.new")));
    let replace = || {
        let mut file = File::create(&new)?;
        writeln!(file, "{incarnation}")?;
        file.sync_all()?;
        rename(&new, &path)?;
        File::open(folder)?.sync_all()
    };
    replace().map_err(|error: std::io::Error| format!("{}: {error}", path.display()))
}

#[cfg(test)]
mod tests;
