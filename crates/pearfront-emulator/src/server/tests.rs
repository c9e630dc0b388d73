use super::*;
use test_case::test_case;

const LONG_AGO: f64 = f64::NEG_INFINITY;

fn kind(cores: f64) -> Kind {
    Kind { name: "m".into(), cores, speed: 1.0, share: 1.0 }
}

fn server(cores: f64, started: f64, change: impl Fn(&mut ServerBehaviour)) -> Server<u32> {
    let mut behaviour = ServerBehaviour { slots: 2.0, queue: 2, ..ServerBehaviour::default() };
    change(&mut behaviour);
    Server::new(&kind(cores), &behaviour, &Rules::default(), started, 0.0)
}

fn work(work: f64) -> Need {
    Need { work, calls: 0, fails: false, repeat: false }
}

/// All events until the end, with their times.
fn play(server: &mut Server<u32>) -> Vec<(f64, u32, ServerEvent)> {
    let mut all = Vec::new();
    while server.due().is_finite() {
        let at = server.due();
        all.extend(server.advance(at).into_iter().map(|(ticket, what)| (at.round(), ticket, what)));
    }
    all
}

#[test]
fn jobs_in_slots_share_the_cores_and_the_next_one_waits() {
    let mut server = server(1.0, LONG_AGO, |_| {});
    let came = [1, 2, 3].map(|ticket| server.arrive(ticket, work(10.0)));
    assert_eq!(came, [Arrival::Began, Arrival::Began, Arrival::Waits]);
    let done = ServerEvent::Done;
    assert_eq!(
        play(&mut server),
        [(20.0, 1, done), (20.0, 2, done), (20.0, 3, ServerEvent::Began), (30.0, 3, done)]
    );
}

#[test]
fn a_full_queue_turns_away() {
    let mut server = server(1.0, LONG_AGO, |_| {});
    let came: Vec<Arrival> = (0..5).map(|ticket| server.arrive(ticket, work(10.0))).collect();
    assert_eq!(came[3..], [Arrival::Waits, Arrival::TurnedAway]);
}

#[test]
fn a_slot_stays_taken_while_the_next_tier_is_called() {
    let mut server = server(1.0, LONG_AGO, |behaviour| behaviour.slots = 1.0);
    server.arrive(1, Need { calls: 1, ..work(10.0) });
    server.arrive(2, work(10.0));
    assert_eq!(server.advance(50.0), [(1, ServerEvent::Calls)]);
    assert_eq!((server.held(), server.due()), (2, f64::INFINITY));
    assert_eq!(server.call_ended(&1, true), None);
    assert_eq!(server.advance(55.0), [(1, ServerEvent::Done), (2, ServerEvent::Began)]);
    assert_eq!(server.advance(65.0), [(2, ServerEvent::Done)]);
}

#[test]
fn a_failed_call_fails_the_job() {
    let mut server = server(1.0, LONG_AGO, |_| {});
    server.arrive(1, Need { calls: 1, ..work(10.0) });
    server.advance(50.0);
    assert_eq!((server.call_ended(&1, false), server.held()), (Some(ServerEvent::Failed), 0));
}

// The share grows from 0.5 to 1 over 100 ms: the mean is 0.75 over it.
#[test]
fn a_cold_server_works_slower_until_it_is_warm() {
    let cold = |behaviour: &mut ServerBehaviour| (behaviour.cold_from, behaviour.warm_up_s) = (0.5, 0.1);
    let mut server = server(1.0, 0.0, cold);
    server.arrive(1, work(75.0));
    let (at, ..) = play(&mut server)[0];
    assert!((100.0..110.0).contains(&at), "{at}");
}

#[test]
fn a_cold_server_that_is_sent_too_much_falls_over_and_stays_down() {
    let mut server = server(1.0, 0.0, |_| {});
    let mut came = Vec::new();
    for ticket in 0..100 {
        came.push(server.arrive(ticket, work(100.0)));
    }
    // 4 x 0.3 of a core for 2 s are 2400 ms of work, whether accepted or turned away.
    assert_eq!(came.iter().position(|came| *came == Arrival::Fell), Some(24));
    assert_eq!((server.held(), server.due(), server.connect()), (0, f64::INFINITY, false));
}

#[test]
fn a_warm_server_bears_any_burst() {
    let mut server = server(1.0, LONG_AGO, |_| {});
    assert!((0..100).all(|ticket| server.arrive(ticket, work(100.0)) != Arrival::Fell));
}

#[test]
fn a_crowded_server_stays_slow_until_it_is_mostly_idle() {
    let behaviour = |behaviour: &mut ServerBehaviour| {
        (behaviour.slots, behaviour.crowded_at, behaviour.calm_at, behaviour.crowded_speed) =
            (9.0, 3.0, 1.0, 0.25);
    };
    let mut server = server(1.0, LONG_AGO, behaviour);
    let _ = [0, 1, 2].map(|ticket| server.arrive(ticket, work(30.0)));
    assert!(!server.is_crowded());
    server.arrive(3, work(90.0));
    assert!(server.is_crowded());
    // Three end at 4 x 30 / 0.25; the last one, alone, continues at full speed.
    let ends = play(&mut server);
    assert_eq!((ends[2].0, ends[3].0), (480.0, 540.0));
    assert!(!server.is_crowded());
}

#[test_case(true, 0; "dropped")]
#[test_case(false, 1; "run all the same")]
fn called_off_work_goes_on_and_waiting_work_is(dropped: bool, waiting_ran: usize) {
    let mut server =
        server(1.0, LONG_AGO, |behaviour| (behaviour.slots, behaviour.drops_waiting) = (1.0, dropped));
    server.arrive(1, work(10.0));
    server.arrive(2, work(10.0));
    assert_eq!((server.call_off(&1), server.call_off(&2)), (false, dropped));
    let ran = play(&mut server).iter().filter(|(_, _, what)| *what == ServerEvent::Done).count();
    assert_eq!(ran, 1 + waiting_ran);
}

#[test]
fn nothing_moves_while_it_stands_still_and_then_all_goes_on() {
    let mut server = server(1.0, LONG_AGO, |_| {});
    server.arrive(1, work(10.0));
    server.advance(5.0);
    server.stall_until(100.0);
    assert_eq!(play(&mut server), [(105.0, 1, ServerEvent::Done)]);
}

#[test]
fn connections_are_limited() {
    let mut server = server(1.0, LONG_AGO, |behaviour| behaviour.connections = 2);
    assert_eq!([server.connect(), server.connect(), server.connect()], [true, true, false]);
    server.disconnect();
    assert!(server.connect());
}

#[test]
fn load_reports_are_as_old_as_their_refresh() {
    let mut server = server(2.0, LONG_AGO, |_| {});
    server.arrive(1, work(300.0));
    server.advance(199.0);
    assert_eq!(server.report(), Report::default());
    server.advance(200.0);
    assert_eq!(server.report(), Report { utilisation: 0.5, held: 1.0, waiting: 0.0 });
    server.advance(390.0);
    assert_eq!(server.report().held, 1.0);
}

#[test]
fn an_error_at_once_costs_next_to_nothing() {
    let mut server = server(1.0, LONG_AGO, |_| {});
    server.arrive(1, Need { fails: true, calls: 2, ..work(500.0) });
    assert_eq!(play(&mut server), [(0.0, 1, ServerEvent::Failed)]);
}
