//! What a request costs the VM that decides, by counts that are the same on each machine.

#[expect(dead_code, reason = "the example reports more than this test compares")]
#[path = "../examples/scheduler_cost/fleet.rs"]
mod fleet;

use fleet::SimulatedFleet;

const ENGINES: u32 = 156;
const SECONDS: u64 = 4;

/// What a request costs on average.
#[derive(Clone, Copy, Debug)]
struct Cost {
    /// How often passes over the queue scan it.
    scanned: f64,
    /// How often the choice of its engine is made.
    evaluations: f64,
    /// Allocations of memory, those of the simulation included.
    allocations: f64,
    /// Allocated bytes, likewise.
    bytes: f64,
}

impl Cost {
    fn at(per_s: u64) -> Self {
        let mut fleet = SimulatedFleet::new(ENGINES, false);
        let allocated = allocation_counter::measure(|| fleet.run(per_s, SECONDS));
        let requests = (per_s * SECONDS) as f64;
        Self {
            scanned: fleet.scanned() as f64 / requests,
            evaluations: fleet.evaluations() as f64 / requests,
            allocations: allocated.count_total as f64 / requests,
            bytes: allocated.bytes_total as f64 / requests,
        }
    }

    /// Fails if a figure is more than a tenth above that in docs/CAPACITY.md, "The leader's cost of a request".
    fn check(
        self,
        recorded: Self,
    ) {
        println!("{self:?}, recorded {recorded:?}");
        let figures = [
            ("scans", self.scanned, recorded.scanned),
            ("evaluations", self.evaluations, recorded.evaluations),
            ("allocations", self.allocations, recorded.allocations),
            ("bytes", self.bytes, recorded.bytes),
        ];
        for (name, figure, recorded) in figures {
            assert!(
                figure <= recorded * 1.1,
                "{figure:.2} {name} a request, {recorded:.2} recorded and a tenth more allowed"
            );
        }
    }
}

/// Guards against a cost of a request at the leader that grows unseen.
#[test]
fn a_request_the_engines_can_serve() {
    Cost::at(900).check(Cost {
        scanned: 218.5,
        evaluations: 4.48,
        allocations: 20.8,
        bytes: 5_162.0,
    });
}

/// Guards against the same beyond what the engines can serve, where many requests wait.
#[test]
fn a_request_beyond_the_engines() {
    Cost::at(1_800).check(Cost {
        scanned: 104.6,
        evaluations: 2.84,
        allocations: 15.2,
        bytes: 4_787.0,
    });
}
