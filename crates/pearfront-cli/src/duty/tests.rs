use super::*;
use test_case::test_case;

#[test_case("24h" => Some(86_400_000.0); "hours")]
#[test_case("90s" => Some(90_000.0); "seconds")]
#[test_case("1.5m" => Some(90_000.0); "a part of a minute")]
#[test_case("24" => None; "no unit")]
#[test_case("-3s" => None; "before now")]
#[test_case("s" => None; "no number")]
fn times_need_their_unit(text: &str) -> Option<f64> {
    span(text).ok()
}

fn stands(token: Option<u64>, leave: bool) -> Stands {
    let held = token.map(|token| Held { token, left_ms: 10_000.0, leave });
    Stands { held, holders: Vec::new(), ran_ms_ago: None, leader: None }
}

#[test_case(stands(Some(7), false), None; "renewed")]
#[test_case(stands(Some(7), true), Some("another is to have the duty"); "to be left")]
#[test_case(stands(Some(8), false), Some("the duty is held no more"); "under another token it is another's work")]
#[test_case(stands(None, false), Some("the duty is held no more"); "lost")]
fn what_is_heard_decides_whether_it_goes_on(stands: Stands, wanted: Option<&str>) {
    let mut grip =
        Grip { token: 7, until: now() + 1000.0, most: 1000.0, group: None, leave: None, told: None };
    grip.heard(now(), &stands);
    assert_eq!(grip.leave.as_deref(), wanted);
    assert_eq!(grip.until > now() + 5000.0, stands.held.is_some_and(|held| held.token == 7));
}
