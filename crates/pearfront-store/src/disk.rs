//! The seam: what a store asks of a folder, and no more. Names are plain file names.

use std::fs::{File, OpenOptions};
use std::io::{Error, ErrorKind, Result, Write};
use std::path::{Path, PathBuf};

/// A folder of files. Nothing that was written is durable before its sync has returned; a renamed name not before
/// `sync_folder` has.
pub trait Disk {
    /// The whole file; none if there is none.
    ///
    /// # Errors
    /// It is there and can't be read.
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>>;
    /// Writes behind what is there, or begins the file.
    ///
    /// # Errors
    /// Part of it may have been written.
    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// Cuts the file to so many bytes.
    ///
    /// # Errors
    /// It may have been cut or not.
    fn truncate(&mut self, name: &str, length: usize) -> Result<()>;
    /// Begins the file anew, with this in it.
    ///
    /// # Errors
    /// Any part of it may stand there.
    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()>;
    /// # Errors
    /// What was not synced may be lost, also if a later sync succeeds.
    fn sync(&mut self, name: &str) -> Result<()>;
    /// Gives a file another's name, which then is its own alone.
    ///
    /// # Errors
    /// One of the two names stands.
    fn rename(&mut self, from: &str, to: &str) -> Result<()>;
    /// # Errors
    /// Names may be as they were.
    fn sync_folder(&mut self) -> Result<()>;
}

/// A real folder, held by one process at a time.
pub struct Folder {
    path: PathBuf,
    /// The last file that was appended to stays open.
    open_file: Option<(String, File)>,
    /// Held as long as this is; none to look only.
    _lock: Option<File>,
}

const LOCK_FILE: &str = "lock";

impl Folder {
    /// Opens it, and makes it if it is not there.
    ///
    /// # Errors
    /// It can't be had, or another process holds it.
    pub fn open(path: &Path) -> Result<Self> {
        std::fs::create_dir_all(path)?;
        let lock = OpenOptions::new().create(true).append(true).open(path.join(LOCK_FILE))?;
        match lock.try_lock() {
            Ok(()) => Ok(Self { path: path.into(), open_file: None, _lock: Some(lock) }),
            Err(std::fs::TryLockError::WouldBlock) => {
                Err(Error::new(ErrorKind::ResourceBusy, "another process holds this folder"))
            }
            Err(std::fs::TryLockError::Error(error)) => Err(error),
        }
    }

    /// To look at what is there, also while a process holds it.
    pub fn open_read_only(path: &Path) -> Self {
        Self { path: path.into(), open_file: None, _lock: None }
    }

    fn append_handle(&mut self, name: &str) -> Result<&mut File> {
        if self.open_file.as_ref().is_none_or(|(open, _)| open != name) {
            let file = OpenOptions::new().create(true).append(true).open(self.path.join(name))?;
            self.open_file = Some((name.into(), file));
        }
        let file = self.open_file.as_mut().map(|(_, file)| file);
        file.ok_or_else(|| Error::other("no file is open"))
    }
}

impl Disk for Folder {
    fn read(&mut self, name: &str) -> Result<Option<Vec<u8>>> {
        match std::fs::read(self.path.join(name)) {
            Ok(bytes) => Ok(Some(bytes)),
            Err(error) if error.kind() == ErrorKind::NotFound => Ok(None),
            Err(error) => Err(error),
        }
    }

    fn append(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.append_handle(name)?.write_all(bytes)
    }

    fn truncate(&mut self, name: &str, length: usize) -> Result<()> {
        self.append_handle(name)?.set_len(length as u64)
    }

    fn replace(&mut self, name: &str, bytes: &[u8]) -> Result<()> {
        self.open_file = None;
        let mut file = File::create(self.path.join(name))?;
        file.write_all(bytes)?;
        self.open_file = Some((name.into(), file));
        Ok(())
    }

    fn sync(&mut self, name: &str) -> Result<()> {
        self.append_handle(name)?.sync_all()
    }

    fn rename(&mut self, from: &str, to: &str) -> Result<()> {
        self.open_file = None;
        std::fs::rename(self.path.join(from), self.path.join(to))
    }

    fn sync_folder(&mut self) -> Result<()> {
        File::open(&self.path)?.sync_all()
    }
}
