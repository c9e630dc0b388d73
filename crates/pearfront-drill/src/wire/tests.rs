use super::*;
use test_case::test_case;

const SETTINGS: &str = r#"{"siblings": 1, "round": 4000000, "discovery": "pushed", "customers": [],
        "profiles": [{"effect": "safe", "contract_time": 1000000000, "gain": 1.0, "surprise": true}],
        "limits": {"most_shots": 3, "cancel": true}, "deductions": {}, "objective_mix": {"whole": 1.0},
        "report": {"fields": ["utilization"], "via": "probe"},
        "rules": {"cold": 9e9, "cold_from": 0.3, "tip_multiple": 4.0, "overload_for": 2e9}}"#;

fn hex(text: &str) -> Vec<u8> {
    let digits: Vec<char> = text.chars().filter(char::is_ascii_hexdigit).collect();
    let byte = |pair: &[char]| u8::from_str_radix(&String::from_iter(pair), 16).unwrap();
    digits.chunks(2).map(byte).collect()
}

fn padded(text: &str) -> Vec<u8> {
    let mut record = hex(text);
    record.resize(EVENT, 0);
    record
}

fn frame(records: &[&str], tail: &[u8]) -> Vec<u8> {
    let mut frame = 8_400_000_000u64.to_le_bytes().to_vec();
    frame.extend((records.len() as u32).to_le_bytes());
    records.iter().for_each(|record| frame.extend(padded(record)));
    frame.extend(tail);
    frame
}

fn boot(settings: &str) -> Vec<u8> {
    let length = settings.len() as u32;
    let boot = format!("0100 0700000000000000 00000000 {:08x}", length.swap_bytes());
    let mut tail = settings.as_bytes().to_vec();
    tail.extend(hex("0000803f 0a124a07c32b 00 0000 00 0000 0000000000000000"));
    let table = format!("0b00 00000000 {:08x} 01000000", length.swap_bytes());
    frame(&["0c00 0300", &boot, &table, "0200 02 29000000 00000000"], &tail)
}

#[test]
fn a_job_of_the_wire_page_becomes_an_attempt_within_its_limit() {
    let mut drill = Drill::default();
    drill.answer(&boot(SETTINGS)).unwrap();
    // The page's own example: limit 9.00 s on the clock, which stands at 8.4 s here.
    let demand = "0300 c4913a5d 640ad2557c3bf091 01 001bb70000000000 00 90dbb60302000000 0000";
    let reply = drill.answer(&frame(&["0c00 0300", demand], &[])).unwrap();
    assert_eq!(reply[8..12], hex("0d00 0300"));
    assert_eq!(reply[32..44], hex("0100 c4913a5d 0a124a07 c32b"));
    let limit = u64::from_le_bytes(reply[44..52].try_into().unwrap());
    assert_eq!(limit, 0x0002_03b6_db90 - 8_400_000_000);
    // ClientLeft for an unknown job, an outcome for a finished one, a probe of nobody: no words are lost on them.
    let odd = ["0c00 0300", "0600 192b6f0e", "0500 192b6f0e 0000 0a124a07 c32b 0a", "0800 0a9011f2 ec2b"];
    let mut odd = frame(&odd, &[]);
    odd[BATCH_HEAD + 3 * EVENT + 16] = 10;
    assert_eq!(drill.answer(&odd).unwrap(), hex("00000000 00000000"));
    assert_eq!(drill.answer(&frame(&[], &[])).unwrap(), hex("00000000 00000000"));
    // A stop and a start in one batch.
    let mut again = boot(SETTINGS);
    let stop = [padded("0c00 0300"), padded("0a00")].concat();
    again.splice(BATCH_HEAD..BATCH_HEAD, stop);
    again[8..12].copy_from_slice(&6u32.to_le_bytes());
    drill.answer(&again).unwrap();
}

#[test]
fn actions_look_as_on_the_wire_page() {
    let mut reply = Reply { node: 3, ..Reply::default() };
    reply.attempt(0x5d3a_91c4, [0x0a, 0x12, 0x4a, 0x07, 0xc3, 0x2b], 80.0);
    reply.wake_after(500.0);
    reply.node = 5;
    reply.log("two servers known");
    let bytes = reply.finish().to_vec();
    assert_eq!(bytes[..8], hex("89000000 05000000"));
    assert_eq!(bytes[8..12], hex("0d00 0300"));
    assert_eq!(bytes[32..56], hex("0100 c4913a5d 0a124a07 c32b 00b4c40400000000 00000000"));
    assert_eq!(bytes[56..80], hex("0500 0065cd1d00000000 0000000000000000 000000000000"));
    assert_eq!(bytes[104..114], hex("0900 00000000 11000000"));
    assert_eq!(bytes[128..], *b"two servers known");
}

#[test]
fn hundreds_of_instances_and_servers_fit_in_a_frame_and_bad_input_there_is_named() {
    let (instances, servers, length) = (700u16, 600u32, SETTINGS.len() as u32);
    let mut records = Vec::new();
    for instance in 0..instances {
        let on = format!("0c00 {:04x}", instance.swap_bytes());
        let boot = format!("0100 {:016x} 00000000 {:08x}", instance, length.swap_bytes());
        let table = format!("0b00 00000000 {:08x} {:08x}", length.swap_bytes(), servers.swap_bytes());
        records.extend([on, boot, table, "0200 02 29000000 00000000".into()]);
    }
    let mut tail = SETTINGS.replace("\"siblings\": 1", "\"siblings\": 9").into_bytes();
    for server in 0..servers {
        tail.extend(hex(&format!("0000803f 0a00{server:04x} c32b 00 0000 00 0000 0000000000000000")));
    }
    let records: Vec<&str> = records.iter().map(String::as_str).collect();
    let mut drill = Drill::default();
    drill.answer(&frame(&records, &tail)).unwrap();
    let demand = "0300 c4913a5d 0000000000000000 00 0000000000000000 00 90dbb60302000000 0000";
    let reply = drill.answer(&frame(&["0c00 bb02", demand], &[])).unwrap();
    assert_eq!(reply[8..12], hex("0d00 bb02"));
    let unknown = demand.replace("00 90db", "07 90db");
    let said = drill.answer(&frame(&["0c00 bb02", &unknown], &[])).unwrap_err();
    assert_eq!(said, "event 1: unknown class 7");
    let short = drill.answer(&frame(&records, &tail[..tail.len() - 1])).unwrap_err();
    assert!(short.starts_with("event 2: tail bytes"), "{short}");
}

#[test_case(&frame(&["0c00 0900", "0700 4d00000000000000"], &[]), "instance 9 was never started"; "unknown instance")]
#[test_case(&frame(&["0700 4d00000000000000"], &[]), "no instance named"; "nobody addressed")]
#[test_case(&frame(&["0c00 0300", "6300"], &[]), "unknown code 99"; "unknown code")]
#[test_case(&frame(&["0b00 00000000 08000000 01000000"], &[0; 24]), "tail bytes 8..32 of 24"; "offset outside")]
#[test_case(&[0, 0, 0, 0, 0, 0, 0, 0, 2, 0, 0, 0, 1], "2 records do not fit in 1 bytes"; "short frame")]
#[test_case(&boot("{\"siblings\": 1}"), "limits is missing"; "settings lack a key")]
fn bad_input_is_named(frame: &[u8], problem: &str) {
    let mut drill = Drill::default();
    drill.answer(&boot(SETTINGS)).unwrap();
    let said = drill.answer(frame).unwrap_err();
    assert!(said.contains(problem), "{said}");
}

#[test_case(&[], Ok(false); "the end between frames is no fault")]
#[test_case(&[8, 0], Err("input ends within a frame's length".into()); "cut in the length")]
#[test_case(&[0, 0, 0, 0, 1], Err("input ends within a frame: 1 of 12 bytes".into()); "cut in the head")]
fn frames_end_where_they_should(mut input: &[u8], wanted: Result<bool, String>) {
    assert_eq!(read_frame(&mut input, &mut Vec::new()), wanted);
}
