use super::*;
use test_case::test_case;

#[test_case("24h" => Some(86_400_000.0); "hours")]
#[test_case("90s" => Some(90_000.0); "seconds")]
#[test_case("1.5m" => Some(90_000.0); "a part of a minute")]
#[test_case("24" => None; "no unit")]
#[test_case("-3s" => None; "before now")]
#[test_case("s" => None; "no number")]
fn durations_need_their_unit(text: &str) -> Option<f64> {
    parse_duration_ms(text).ok()
}

fn status(token: Option<u64>, leave: bool) -> DutyStatus {
    let held = token.map(|token| HeldDuty { token, left_ms: 10_000.0, leave });
    DutyStatus { held, holders: Vec::new(), ran_ms_ago: None, leader: None }
}

#[test_case(status(Some(7), false), None; "renewed")]
#[test_case(status(Some(7), true), Some("the duty is to go to another process"); "to be left")]
#[test_case(status(Some(8), false), Some("the duty is no longer held"); "under another token it is another lease")]
#[test_case(status(None, false), Some("the duty is no longer held"); "lost")]
fn the_answer_of_the_node_decides_whether_the_command_continues(status: DutyStatus, wanted: Option<&str>) {
    let mut running = RunningCommand {
        token: 7,
        valid_until: now() + 1000.0,
        longest_left_ms: 1000.0,
        group: None,
        end_reason: None,
        term_sent_at: None,
    };
    running.update(now(), &status);
    assert_eq!(running.end_reason.as_deref(), wanted);
    assert_eq!(running.valid_until > now() + 5000.0, status.held.is_some_and(|held| held.token == 7));
}
