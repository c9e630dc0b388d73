//! Default values of optional scenario keys, as functions because `serde` requires one for each value.

use super::Group;

pub(super) fn one() -> u64 {
    1
}
pub(super) fn whole() -> f64 {
    1.0
}
pub(super) fn half() -> f64 {
    0.5
}
pub(super) fn two() -> f64 {
    2.0
}
pub(super) fn three() -> u32 {
    3
}
pub(super) fn four() -> f64 {
    4.0
}
pub(super) fn five() -> f64 {
    5.0
}
pub(super) fn eight() -> u16 {
    8
}
pub(super) fn thirty() -> f64 {
    30.0
}
pub(super) fn hundred() -> f64 {
    100.0
}
pub(super) fn connect() -> f64 {
    120.0
}
pub(super) fn memory() -> f64 {
    192.0
}
pub(super) fn sockets() -> f64 {
    1024.0
}
pub(super) fn probe_price() -> f64 {
    0.03
}
pub(super) fn yes() -> bool {
    true
}
pub(super) fn every() -> Group {
    Group::All
}
