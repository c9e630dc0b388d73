use super::*;

fn scenario(change: impl Fn(&mut Scenario)) -> Rc<Scenario> {
    let file = include_str!("../../../../rehearsals/calm-minute.toml");
    let mut scenario = Scenario::parse(file).unwrap();
    change(&mut scenario);
    Rc::new(scenario)
}

#[test]
fn asks_follow_rate_and_shares() {
    let asks: Vec<PlannedAsk> = Workload::new(scenario(|_| {}), 5).collect();
    let part = |wanted: &dyn Fn(&PlannedAsk) -> bool| {
        asks.iter().filter(|ask| wanted(ask)).count() as f64 / asks.len() as f64
    };
    assert!((asks.len() as f64 / 60.0 - 750.0).abs() < 15.0, "{}", asks.len());
    assert!((part(&|ask| ask.profile == 1) - 0.2).abs() < 0.01);
    assert!((part(&|ask| ask.customer == 0) - 0.6).abs() < 0.01);
    let work: f64 = asks.iter().map(|ask| ask.work).sum::<f64>() / asks.len() as f64;
    assert!((work - 25.0).abs() < 0.5, "{work}");
    assert!(asks.windows(2).all(|pair| pair[0].at <= pair[1].at));
}

#[test]
fn only_what_was_rejected_is_tried_again_if_it_is_non_idempotent() {
    let scenario = scenario(|scenario| scenario.clients.retry_share = 1.0);
    let ask = Workload::new(scenario.clone(), 5).find(|ask| ask.profile == 2).unwrap();
    assert_eq!(ask.next_try(&scenario, ask.at, 1, 0.0, false), None);
    let told = ask.next_try(&scenario, ask.at, 1, 700.0, true).unwrap();
    assert_eq!(told, ask.at + 700.0);
    // Two retries, then none; and none that would start too late.
    assert_eq!(ask.next_try(&scenario, ask.at, 3, 0.0, true), None);
    assert_eq!(ask.next_try(&scenario, ask.deadline - 30.0, 1, 0.0, true), None);
}
