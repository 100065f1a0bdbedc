//! A client of the key-value service over the JSON gateway of etcd v3.

mod call_counts;
mod call_kind;
mod call_rate_limiter;
mod connectivity;
mod etcd_store;
mod json;
mod json_lines;
mod options;

pub use {
    call_counts::CallCounts,
    call_kind::StoreCallKind,
    connectivity::StoreConnectivity,
    etcd_store::EtcdStore,
    json::{decode_watch, encode_txn},
    json_lines::JsonLines,
    options::EtcdOptions,
};
