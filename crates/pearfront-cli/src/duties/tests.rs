use super::*;
use serde_json::json;

#[test]
fn duties_are_listed_with_holders_and_candidates() {
    let status = json!({"name": "n1", "voters": ["n0", "n1", "n2"], "leader": "n0", "trouble": "a sync failed",
        "voter": null, "foreign": 2, "holds": [], "duties": [
            {"duty": "export", "holders": [{"name": "n3", "token": 7, "left_ms": 8100.0}],
             "candidates": ["n3", "n4"], "ran_ms_ago": 61_000.0, "ran_by": "n4"},
            {"duty": "sweep", "holders": [], "candidates": [], "ran_ms_ago": null, "ran_by": null}]});
    let shown = table(&status);
    let cells = |line: &str| {
        let cells = line.split("  ").map(str::trim).filter(|cell| !cell.is_empty());
        cells.map(str::to_string).collect::<Vec<_>>()
    };
    let lines: Vec<&str> = shown.lines().collect();
    assert_eq!(lines[1], "n1 is no voter any more: a sync failed");
    assert_eq!(cells(lines[4]), ["export", "n3", "7", "8.1 s", "n3 n4", "61.0 s ago by n4"]);
    assert_eq!(cells(lines[5]), ["sweep", "nobody", "-", "-", "-"]);
}
