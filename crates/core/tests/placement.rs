//! Tests of adapter placement and of the assignment of owners to engines.

use jasmine_core::{
    ids::{AdapterId, AdapterVersion, DataCentreId, Fence, UpstreamId, VmId},
    ownership::{Candidate, assign},
    placement::{EngineCandidate, Instance, preferred},
};

const ADAPTERS: u32 = 3000;

fn engines(count: u32) -> Vec<EngineCandidate> {
    (0..count)
        .map(|engine| EngineCandidate {
            upstream: UpstreamId(engine),
            data_centre: DataCentreId((engine % 3) as u16),
            weight: 8,
        })
        .collect()
}

fn adapter(number: u32) -> AdapterVersion {
    AdapterVersion {
        adapter: AdapterId(number),
        version: 1,
    }
}

fn homes(engines: &[EngineCandidate]) -> Vec<UpstreamId> {
    (0..ADAPTERS)
        .map(|number| preferred(adapter(number), engines, 1)[0])
        .collect()
}

#[test]
fn adapters_spread_evenly() {
    let homes = homes(&engines(9));
    for engine in 0..9 {
        let count = homes.iter().filter(|home| home.0 == engine).count();
        assert!((250..420).contains(&count), "engine {engine} has {count}");
    }
}

/// Guards against removing an engine moving the adapters of other engines, which causes reloads.
#[test]
fn removed_engine_moves_only_its_adapters() {
    let all = engines(9);
    let (before, after) = (homes(&all), homes(&all[..8]));
    let moved = before.iter().zip(&after).filter(|(a, b)| a != b).count();
    let lost = before.iter().filter(|home| home.0 == 8).count();
    assert_eq!(moved, lost);
}

/// Guards against copies of an adapter sharing a data centre, whose loss would unload the adapter.
#[test]
fn copies_in_separate_data_centres() {
    for number in 0..ADAPTERS {
        let chosen = preferred(adapter(number), &engines(9), 3);
        let mut places: Vec<u32> = chosen.iter().map(|engine| engine.0 % 3).collect();
        places.sort_unstable();
        assert_eq!(places, [0, 1, 2]);
    }
}

#[test]
fn instance_names() {
    let upstream = UpstreamId(4);
    let instance = Instance {
        upstream,
        adapter: adapter(7),
        fence: Fence(12),
    };
    assert_eq!(instance.name(), "7-1-12");
    assert_eq!(Instance::parse(upstream, "7-1-12"), Some(instance));
    bolero::check!()
        .with_iterations(2000)
        .with_type::<String>()
        .for_each(|name| {
            let parsed = Instance::parse(upstream, name);
            assert!(parsed.is_none_or(|instance| instance.name() == *name));
        });
}

/// Guards against owners in another data centre, which lose their engines when a link fails.
#[test]
fn owners_in_the_data_centre_of_the_engine() {
    let live: Vec<Candidate> = (0..7)
        .map(|vm| Candidate {
            vm: VmId(vm),
            data_centre: DataCentreId((vm % 3) as u16),
        })
        .collect();
    for engine in 0..9 {
        let place = DataCentreId((engine % 3) as u16);
        let owner = assign(UpstreamId(engine), place, &live).expect("there are live candidates");
        assert_eq!(owner.0 % 3, engine % 3);
        let far = assign(UpstreamId(engine), DataCentreId(9), &live);
        assert!(
            far.is_some(),
            "without a live controller in the data centre, another one owns the engine"
        );
    }
    assert_eq!(assign(UpstreamId(0), DataCentreId(0), &[]), None);
}
