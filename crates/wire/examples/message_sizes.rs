//! Prints the sizes of messages between entry VMs, in bytes as serialized.
//!
//! `cargo run -p jasmine-wire --example message_sizes`

use {
    capnp::{
        message::{Builder, HeapAllocator},
        serialize::compute_serialized_size_in_words,
        traits::Owned,
    },
    jasmine_wire::scheduler_capnp::scheduler::{
        hello_params, ping_params, ping_results, place_params,
    },
};

const BYTES_PER_WORD: usize = 8;
/// The id of a part of a prompt, in hexadecimal.
const PART: &str = "5c1e07a291bd3f06";
/// Sound parts that a VM tells a new leader at most, beside accused ones.
const SOUND_PARTS: u32 = 256;
/// Parts of the prompts that an engine ran as it crashed.
const ACCUSED_PER_CRASH: u32 = 3;

/// The size of a message that `fill` writes.
fn size_of<T, F>(fill: F) -> usize
where
    T: Owned,
    F: FnOnce(T::Builder<'_>),
{
    let mut message: Builder<HeapAllocator> = Builder::new_default();
    fill(message.init_root::<T::Builder<'_>>());
    compute_serialized_size_in_words(&message) * BYTES_PER_WORD
}

fn place(names_version: bool) -> usize {
    size_of::<place_params::Owned, _>(|mut params| {
        params.set_session(7);
        let mut job = params.init_job();
        job.set_account("hule930");
        job.set_service("asistente");
        job.set_model("daka510000");
        job.set_adapter("a2288");
        job.set_data_centre("gt-central-a");
        if names_version {
            job.set_version(2);
            job.set_older_ms(3_600);
        }
        let mut parts = job.init_parts(3);
        for at in 0..3 {
            parts.reborrow().get(at).set_id(u64::from(at));
        }
    })
}

/// What a VM tells of the attempts of its callers, by services and buckets of the window.
fn attempts(
    services: u32,
    buckets: u32,
) -> usize {
    size_of::<hello_params::Owned, _>(|params| {
        let mut list = params.init_attempts(services * buckets);
        for at in 0..services * buckets {
            let mut one = list.reborrow().get(at);
            one.set_service("asistente");
            one.set_ago_ms(1_000 * at);
        }
    })
}

fn quarantine(sets: u32) -> usize {
    size_of::<ping_results::Owned, _>(|mut results| {
        results.set_quarantine_differs(sets > 0);
        let mut list = results.init_quarantine(sets);
        for at in 0..sets {
            let mut parts = list.reborrow().get(at).init_parts(1);
            parts.set(0, PART);
        }
    })
}

fn hello(
    (crashes, sound): (u32, u32),
    accounts: u32,
    buckets: u32,
) -> usize {
    size_of::<hello_params::Owned, _>(|mut params| {
        let mut list = params.reborrow().init_accounts(accounts);
        for at in 0..accounts {
            let mut one = list.reborrow().get(at);
            one.set_account("hule930");
            one.init_spent(buckets);
        }
        params.set_vm("edge-gt-central-a-12");
        let mut list = params.reborrow().init_sound(sound);
        for at in 0..sound {
            list.reborrow().get(at).set_part(PART);
        }
        let mut list = params.init_crashes(crashes);
        for at in 0..crashes {
            let mut crash = list.reborrow().get(at);
            crash.set_upstream("i-7f3a91c2d0");
            let mut accused = crash.init_accused(ACCUSED_PER_CRASH);
            for part in 0..ACCUSED_PER_CRASH {
                accused.reborrow().get(part).set_part(PART);
            }
        }
    })
}

fn main() {
    for (services, buckets) in [(1, 1), (1, 13), (2, 13), (20, 13)] {
        let bytes = attempts(services, buckets);
        println!("hello, {services} services, attempts in {buckets} buckets each: {bytes}");
    }
    let ping = size_of::<ping_params::Owned, _>(|mut params| params.set_quarantine_hash(1));
    println!("ping with the hash of the quarantine: {ping}");
    for sets in [0, 1, 10, 100] {
        println!(
            "its answer with {sets} parts in quarantine: {}",
            quarantine(sets)
        );
    }
    for (crashes, sound) in [(0, 0), (1, 0), (20, 0), (0, SOUND_PARTS), (20, SOUND_PARTS)] {
        println!(
            "hello with {crashes} crashes and {sound} sound parts: {}",
            hello((crashes, sound), 0, 0)
        );
    }
    for buckets in [1, 4, 17] {
        println!(
            "hello with 100 accounts used in {buckets} buckets each: {}",
            hello((0, 0), 100, buckets)
        );
    }
    println!("place without a version: {}", place(false));
    println!("place with a version: {}", place(true));
}
