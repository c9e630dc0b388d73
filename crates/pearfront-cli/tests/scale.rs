//! `pearfront scale` as a command: what it writes, what it reads back, and what it rejects.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};

const SMALL: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../rehearsals/scale/small.toml");

fn scale(words: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pearfront")).arg("scale").args(words).output().unwrap()
}

/// An empty temporary folder for one test.
fn folder(name: &str) -> PathBuf {
    let folder = std::env::temp_dir().join(format!("pearfront-scale-{name}-{}", std::process::id()));
    drop(std::fs::remove_dir_all(&folder));
    std::fs::create_dir_all(&folder).unwrap();
    folder
}

fn text(path: &Path) -> String {
    path.to_str().unwrap().to_string()
}

#[test]
fn a_run_writes_tables_result_and_plots_and_can_be_evaluated_by_another_plan() {
    let folder = folder("run");
    let out = folder.join("out");
    let ran = scale(&[SMALL, "--only", "lists", "--out", &text(&out)]);
    let shown = String::from_utf8_lossy(&ran.stdout).to_string();
    assert!(ran.status.success(), "{ran:?}");
    assert!(shown.contains("| 1 | one whole list |"), "{shown}");
    for file in ["result.json", "scale.md", "row-00.svg"] {
        assert!(out.join(file).is_file(), "{file}");
    }
    // The same points by a plan with a hundred times the budget: nothing fails any more.
    let plan = std::fs::read_to_string(SMALL).unwrap().replace("budget = 15000", "budget = 1500000");
    let wider = folder.join("wider.toml");
    std::fs::write(&wider, plan).unwrap();
    let again = scale(&[&text(&wider), "--from", &text(&out.join("result.json"))]);
    let shown = String::from_utf8_lossy(&again.stdout).to_string();
    assert!(again.status.success() && !shown.contains("| 1 |"), "{shown}");
    // Series that the result does not contain are listed as not measured.
    assert!(shown.contains("void or not measured"), "{shown}");
    drop(std::fs::remove_dir_all(&folder));
}

#[test]
fn a_wrong_plan_is_rejected_with_its_key() {
    let folder = folder("wrong");
    let wrong = folder.join("wrong.toml");
    std::fs::write(&wrong, std::fs::read_to_string(SMALL).unwrap().replace("fleet = 22000", "flet = 22000"))
        .unwrap();
    let ran = scale(&[&text(&wrong)]);
    assert_eq!(ran.status.code(), Some(2), "{ran:?}");
    assert!(String::from_utf8_lossy(&ran.stderr).contains("flet"), "{ran:?}");
    let ran = scale(&[SMALL, "--only", "everything"]);
    assert_eq!(ran.status.code(), Some(2), "{ran:?}");
    drop(std::fs::remove_dir_all(&folder));
}
