//! Which upstreams a VM probes to see whether its links work.

mod scheduler_world;

use {
    jasmine_core::ids::UpstreamId,
    scheduler_world::{CALLS, ENGINES, World},
    std::collections::BTreeSet,
};

const PROBES: usize = 3;

#[test]
fn every_service_is_probed() {
    // Guards against a VM that takes its links for lost, and hands over the lead, as all engines have crashed.
    let mut world = World::leading(9);
    for id in 100..103 {
        world.add_server(UpstreamId(id));
    }
    for salt in 0..50 {
        let (chosen, known) = world.scheduler.upstreams_to_probe(salt, PROBES, world.now);
        let services: BTreeSet<_> = chosen.iter().map(|&(_, service)| service).collect();
        assert_eq!((chosen.len(), known), (PROBES, 12));
        assert_eq!(services, BTreeSet::from([ENGINES, CALLS]), "salt {salt}");
        let engines = chosen.iter().filter(|(_, service)| *service == ENGINES);
        assert_eq!(engines.count(), 2, "salt {salt}");
    }
}

#[test]
fn one_service_is_enough() {
    // Guards against fewer probes than there are upstreams to probe.
    let world = World::leading(9);
    let (chosen, known) = world.scheduler.upstreams_to_probe(1, PROBES, world.now);
    assert_eq!((chosen.len(), known), (PROBES, 9));
}
