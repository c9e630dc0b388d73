use super::*;
use serde_json::json;

#[test]
fn members_are_listed_with_those_that_suspect_them() {
    let member = json!({"name": "n1", "zone": "b", "state": "suspect", "since_s": 1.25, "incarnation": 3,
        "round_trip_ms": 0.4, "heard_s": null, "link": "stalled", "told_by": null, "suspected_by": ["n0", "n2"]});
    let status = json!({"name": "n0", "installation": "shop", "zone": "a", "state": "member", "incarnation": 1,
        "sure": false, "sum": "0a", "health": 2, "barred_by": null, "deaf_s": 3.0, "members": [member]});
    let shown = table(&status);
    let lines: Vec<&str> = shown.lines().collect();
    assert!(lines[0].contains("not sure") && lines[1] == "it has heard nobody for 3.0 s", "{shown}");
    let cells: Vec<&str> = lines[3].split("  ").map(str::trim).filter(|cell| !cell.is_empty()).collect();
    assert_eq!(cells, ["n1", "b", "suspect", "1.2 s", "3", "0.40 ms", "-", "stalled", "n0 n2"]);
}
