//! The protocol's messages: each is decoded once into a small typed value, and encoded once. Header
//! names and paths are known only here. Used by all modules of the node that send or receive
//! messages.

mod body;
mod clients;
mod discovery;
mod headers;
mod load_report;
mod operators;
mod request;
mod servers;

pub use body::{Body, read_whole};
pub use clients::{Answer, ClientCall, decode_client_call, encode_malformed, encode_up, last_on_connection};
pub use discovery::{
    ServerEntry, ServerList, decode_list, decode_list_json, encode_list, encode_list_request,
};
pub use load_report::{decode_report, decode_report_of};
pub use operators::{
    AdminCall, decode_admin, encode_admin, encode_conflict, encode_json, encode_unknown_call,
};
pub use request::{ClientRequest, RequestBody};
pub use servers::{Reply, decode_end, decode_reply, encode_probe};
