//! The command line as a program: its output, the files it writes, and its exit codes.

use std::path::{Path, PathBuf};
use std::process::{Command, Output};
use std::sync::atomic::{AtomicU32, Ordering};

fn run(arguments: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_pearfront")).args(arguments).output().unwrap()
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).unwrap()
}

/// A temporary folder of one test.
struct Folder(PathBuf);

impl Folder {
    fn new() -> Self {
        static COUNT: AtomicU32 = AtomicU32::new(0);
        let number = COUNT.fetch_add(1, Ordering::Relaxed);
        let folder = std::env::temp_dir().join(format!("pearfront-cli-{}-{number}", std::process::id()));
        std::fs::create_dir_all(&folder).unwrap();
        Self(folder)
    }

    fn path(&self, name: &str) -> String {
        self.0.join(name).to_str().unwrap().to_string()
    }

    /// The scenario `calm-minute`, shortened and with changes.
    fn scenario(&self, changes: &[(&str, &str)], more: &str) -> String {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../rehearsals/calm-minute.toml");
        let mut text = std::fs::read_to_string(file).unwrap().replace("length_s = 60", "length_s = 12");
        for (old, new) in changes {
            assert!(text.contains(old), "{old}");
            text = text.replace(old, new);
        }
        let path = self.path("scenario.toml");
        std::fs::write(&path, text + more).unwrap();
        path
    }
}

impl Drop for Folder {
    fn drop(&mut self) {
        std::fs::remove_dir_all(&self.0).unwrap();
    }
}

#[test]
fn store_check_reports_an_intact_folder_or_where_it_is_damaged() {
    let folder = Folder::new();
    let empty = run(&["store", "check", &folder.path("")]);
    assert_eq!(empty.status.code(), Some(0), "{}", text(&empty.stderr));
    assert!(text(&empty.stdout).ends_with("whole; no snapshot, 0 records behind it, the last is 0\n"));
    std::fs::write(folder.path("snapshot"), b"half of one").unwrap();
    let damaged = run(&["store", "check", &folder.path("")]);
    assert_eq!(damaged.status.code(), Some(3));
    assert!(text(&damaged.stdout).contains("snapshot is damaged at byte 0"), "{}", text(&damaged.stdout));
    assert_eq!(run(&["store", "check", &folder.path("nowhere")]).status.code(), Some(2));
}

#[test]
fn a_rehearsal_that_keeps_the_rules_exits_with_0_and_a_machine_readable_line() {
    let folder = Folder::new();
    let played = run(&["rehearse", &folder.scenario(&[], ""), "--out", &folder.path("out")]);
    assert_eq!(played.status.code(), Some(0), "{}", text(&played.stderr));
    let printed = text(&played.stdout);
    let last = printed.lines().last().unwrap();
    let pairs: Vec<(&str, &str)> = last.split(' ').map(|pair| pair.split_once('=').expect(last)).collect();
    assert!(pairs.contains(&("rules", "kept")) && pairs.contains(&("void", "false")), "{last}");
    assert!(pairs.iter().any(|(name, value)| *name == "service" && value.parse::<f64>().unwrap() > 0.9));
    // No progress bar without a terminal, and no log line below warning.
    assert_eq!(text(&played.stderr), "");
    for name in ["result.json", "seconds.tsv", "report.html"] {
        assert!(folder.0.join("out").join(name).is_file(), "{name}");
    }
}

#[test]
fn a_broken_rule_is_named_and_exits_with_3() {
    let folder = Folder::new();
    // A cold server can take next to no load, and the random policy ignores that.
    let more = "[discovery]\nlate_ms = [1, 2]\n[rules]\ntip_multiple = 0.3\n[[troubles]]\nwhat = \"silent\"\nat_s = 1\nfor_s = 2\ncount = 4\n";
    let scenario = folder.scenario(&[], more);
    let played = run(&["rehearse", &scenario, "--policy", "random"]);
    assert_eq!(played.status.code(), Some(3), "{}", text(&played.stdout));
    assert!(text(&played.stdout).contains("rule broken: cold-servers"));
    assert!(text(&played.stdout).lines().last().unwrap().contains("rules=cold-servers"));
}

#[test]
fn bad_input_exits_with_2_and_names_key_and_line() {
    let folder = Folder::new();
    let scenario = folder.scenario(&[("cores = 2", "cores = 0")], "");
    for command in ["check", "rehearse"] {
        let output = run(&[command, &scenario]);
        assert_eq!(output.status.code(), Some(2));
        assert!(
            text(&output.stderr).contains("line 12: kinds[0].cores: 0 is not above 0"),
            "{}",
            text(&output.stderr)
        );
    }
    assert_eq!(run(&["check", "nowhere.toml"]).status.code(), Some(2));
    assert_eq!(run(&["rehearse", &folder.scenario(&[], ""), "--policy", "best"]).status.code(), Some(2));
    let sockets = run(&["rehearse", &folder.scenario(&[], ""), "--play", "sockets", "--policy", "random"]);
    assert_eq!(sockets.status.code(), Some(2));
}

#[test]
fn a_node_program_that_does_not_start_is_reported_and_exits_with_1() {
    let folder = Folder::new();
    let scenario = folder.scenario(&[], "");
    let nodes = folder.path("no-such-program");
    let out = folder.path("out");
    let played = run(&["rehearse", &scenario, "--play", "sockets", "--nodes", &nodes, "--out", &out]);
    assert_eq!(played.status.code(), Some(1));
    let error = text(&played.stderr);
    assert!(error.contains("did not start") || error.contains("ended at its start"), "{error}");
}

#[test]
fn sets_of_seeds_are_compared_and_pages_made_again() {
    let folder = Folder::new();
    let scenario = folder.scenario(&[("rate = 750", "rate = 200")], "");
    for (policy, out) in [("module", "one"), ("random", "other")] {
        let played =
            run(&["rehearse", &scenario, "--seeds", "2", "--policy", policy, "--out", &folder.path(out)]);
        assert_eq!(played.status.code(), Some(0), "{}", text(&played.stderr));
    }
    let compared = run(&["compare", &folder.path("one"), &folder.path("other")]);
    let printed = text(&compared.stdout);
    assert_eq!(compared.status.code(), Some(0));
    assert!(printed.contains("service") && printed.contains("within noise"), "{printed}");
    assert!(printed.contains("one: 2 plays, 0 with a rule broken"), "{printed}");
    let page = folder.0.join("one/seed-2/report.html");
    std::fs::remove_file(&page).unwrap();
    assert_eq!(run(&["plot", &folder.path("one")]).status.code(), Some(0));
    assert!(page.is_file());
    assert_eq!(run(&["compare", &folder.path("one"), &folder.path("none")]).status.code(), Some(2));
}

const SIDECAR_OPTIONS: [&str; 10] =
    ["--nodes", "300", "--zones", "a,b,c", "--zone", "b", "--streams", "100", "--seed", "1f"];

impl Folder {
    /// The configuration file of a node of a pool, with a change.
    fn node_file(&self, old: &str, new: &str) -> String {
        let file = Path::new(env!("CARGO_MANIFEST_DIR")).join("../../deploy/example.json");
        let text = std::fs::read_to_string(file).unwrap();
        assert!(text.contains(old), "{old}");
        let path = self.path("old.json");
        std::fs::write(&path, text.replacen(old, new, 1)).unwrap();
        path
    }

    fn move_file(&self, file: &str, more: &[&str]) -> Output {
        run(&[&["move", file], &SIDECAR_OPTIONS[..], more].concat())
    }

    fn names(&self) -> Vec<String> {
        let entry =
            |entry: std::io::Result<std::fs::DirEntry>| entry.unwrap().file_name().into_string().unwrap();
        let mut names: Vec<_> = std::fs::read_dir(&self.0).unwrap().map(entry).collect();
        names.sort();
        names
    }
}

#[test]
fn a_node_file_is_converted_and_lost_settings_are_listed() {
    let folder = Folder::new();
    let (old, new) = (folder.node_file("{", "{"), folder.path("new.json"));
    let before = std::fs::read(&old).unwrap();
    let output = folder.move_file(&old, &["--out", &new]);
    assert_eq!(output.status.code(), Some(0), "{}", text(&output.stderr));
    for key in ["seed", "ask_within", "parallel_tries", "deductions.probe"] {
        assert!(text(&output.stdout).contains(key), "{key}: {}", text(&output.stdout));
    }
    assert!(std::fs::read_to_string(&new).unwrap().contains("\"discovery\": \"pushed\""));
    assert_eq!(std::fs::read(&old).unwrap(), before);
    let again = folder.move_file(&new, &["--out", &folder.path("newer.json")]);
    assert_eq!(again.status.code(), Some(2));
    assert!(text(&again.stderr).contains("new.json: config.settings.discovery"), "{}", text(&again.stderr));
    assert_eq!(folder.names(), ["new.json", "old.json"]);
}

#[test]
fn no_file_is_overwritten_without_force_and_a_dry_run_writes_nothing() {
    let folder = Folder::new();
    let (old, new) = (folder.node_file("{", "{"), folder.path("new.json"));
    let dry_run = folder.move_file(&old, &["--dry-run"]);
    assert_eq!(dry_run.status.code(), Some(0), "{}", text(&dry_run.stderr));
    assert!(
        text(&dry_run.stdout).contains("nothing written") && text(&dry_run.stdout).contains("ask_within")
    );
    assert_eq!(folder.move_file(&old, &["--out", &new, "--dry-run"]).status.code(), Some(0));
    assert_eq!(folder.names(), ["old.json"]);
    std::fs::write(&new, "mine").unwrap();
    let refused = folder.move_file(&old, &["--out", &new]);
    assert_eq!(refused.status.code(), Some(2));
    assert!(text(&refused.stderr).contains("new.json"), "{}", text(&refused.stderr));
    assert_eq!(std::fs::read_to_string(&new).unwrap(), "mine");
    assert_eq!(folder.move_file(&old, &["--out", &old, "--force"]).status.code(), Some(2));
    assert_eq!(folder.move_file(&old, &["--out", &new, "--force"]).status.code(), Some(0));
    assert!(std::fs::read_to_string(&new).unwrap().len() > 100);
}

#[test]
fn a_wrong_node_file_is_reported_with_its_key_and_nothing_is_written() {
    let folder = Folder::new();
    let wrong = [
        ("\"siblings\": 1", "\"siblings\": \"one\"", "config.settings.siblings"),
        ("\"siblings\": 1", "\"siblings\": 1, \"sibling\": 2", "config.settings.sibling is unknown"),
        ("\"seed\":", "\"seeds\":", "config.seeds is unknown"),
        ("\"rules\":", "rules:", "old.json: "),
    ];
    for (old, new, problem) in wrong {
        let output = folder.move_file(&folder.node_file(old, new), &["--out", &folder.path("new.json")]);
        let line = text(&output.stderr);
        assert_eq!(output.status.code(), Some(2), "{line}");
        assert!(line.contains("old.json") && line.contains(problem) && line.lines().count() == 1, "{line}");
    }
    let missing = folder.move_file(&folder.path("none.json"), &["--out", &folder.path("new.json")]);
    assert!(missing.status.code() == Some(2) && text(&missing.stderr).contains("none.json"));
    assert_eq!(folder.names(), ["old.json"]);
}
