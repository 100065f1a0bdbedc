//! Benchmarks of placement, routing and ownership, at the current and the designed fleet size.

#![expect(
    missing_docs,
    reason = "criterion's macro generates an undocumented function"
)]

use {
    criterion::{BatchSize, Criterion, criterion_group, criterion_main},
    jasmine_core::{
        clock::Millis,
        ids::{
            AccountId, AdapterId, AdapterVersion, DataCentreId, Fence, Holder, Incarnation,
            ModelId, Role, UpstreamId, VmId,
        },
        ownership::{
            AcquireOutcome, AcquireRequest, OwnerEvent, OwnerMachine, OwnerSettings, Ownership,
        },
        placement::{EngineCandidate, Instance, preferred},
        routing::{
            EngineView, RequestOutcome, Route, Router, RouterSettings, Target, UpstreamSpec,
            UpstreamSpecKind,
        },
    },
    std::{
        alloc::{GlobalAlloc, Layout, System},
        hint::black_box,
        sync::atomic::{AtomicUsize, Ordering::Relaxed},
    },
};

/// Global allocator that counts allocated bytes and allocations.
struct Counting;

static BYTES: AtomicUsize = AtomicUsize::new(0);
static CALLS: AtomicUsize = AtomicUsize::new(0);

#[expect(unsafe_code, reason = "implementing `GlobalAlloc` requires it")]
// SAFETY: every call is forwarded unchanged to the system allocator.
unsafe impl GlobalAlloc for Counting {
    unsafe fn alloc(
        &self,
        layout: Layout,
    ) -> *mut u8 {
        BYTES.fetch_add(layout.size(), Relaxed);
        CALLS.fetch_add(1, Relaxed);
        // SAFETY: the caller upholds the contract of `alloc`.
        unsafe { System.alloc(layout) }
    }

    unsafe fn dealloc(
        &self,
        ptr: *mut u8,
        layout: Layout,
    ) {
        BYTES.fetch_sub(layout.size(), Relaxed);
        // SAFETY: the caller upholds the contract of `dealloc`.
        unsafe { System.dealloc(ptr, layout) }
    }
}

#[global_allocator]
static ALLOCATOR: Counting = Counting;

/// The size of a fleet.
struct Size {
    name: &'static str,
    engines: u32,
    models: u32,
    adapters: u32,
    gateways: u32,
    /// Engines per owner.
    owned: u32,
}

const FLEET_SIZES: [Size; 2] = [
    Size {
        name: "today",
        engines: 9,
        models: 1,
        adapters: 3_000,
        gateways: 8,
        owned: 2,
    },
    Size {
        name: "designed-for",
        engines: 2_400,
        models: 3,
        adapters: 52_000,
        gateways: 360,
        owned: 7,
    },
];

const SLOTS: u32 = 16;
const NOW: Millis = Millis(100_000);
const ACCOUNT: AccountId = AccountId(1);

fn adapter(number: u32) -> AdapterVersion {
    AdapterVersion {
        adapter: AdapterId(number),
        version: 1,
    }
}

fn model(
    size: &Size,
    number: u32,
) -> ModelId {
    ModelId(number % size.models)
}

/// Creates a router with full engines and grants for the first 200 adapters.
fn router(size: &Size) -> Router {
    let mut router = Router::new(RouterSettings::new(DataCentreId(0)));
    let specs: Vec<UpstreamSpec> = (0..size.engines)
        .map(|engine| UpstreamSpec {
            upstream: UpstreamId(engine),
            data_centre: DataCentreId((engine % 21) as u16),
            kind: UpstreamSpecKind::Engine {
                model: model(size, engine),
                slots: SLOTS,
                max_batch: 32,
            },
            is_draining: false,
        })
        .collect();
    router.set_upstreams(&specs);
    for engine in 0..size.engines {
        let upstream = UpstreamId(engine);
        let resident = (0..SLOTS).map(|slot| Instance {
            upstream,
            adapter: adapter((engine + slot * size.engines) % size.adapters),
            fence: Fence(1),
        });
        let view = EngineView {
            upstream,
            owner_fence: Fence(1),
            running: engine % 16,
            waiting: 0,
            free_slots: 0,
            healthy: true,
            boot: 1,
            resident: resident.collect(),
        };
        router.update_view(view, NOW);
    }
    for number in 0..200 {
        let target = Target::Adapter(model(size, number), adapter(number));
        if let Route::Acquire { upstream, ask } = router.route(target, None, ACCOUNT, NOW) {
            let instance = Instance {
                upstream,
                adapter: adapter(number),
                fence: Fence(1),
            };
            let owner = Fence(1);
            let granted = AcquireOutcome::Granted { instance, owner };
            router.handle_acquire_outcome(upstream, adapter(number), ask, granted, NOW);
        }
    }
    router
}

/// Creates an owner whose engines are full, with grants to up to 17 gateways.
fn owner(size: &Size) -> OwnerMachine {
    let mut owner = OwnerMachine::new(OwnerSettings::default());
    owner.handle(OwnerEvent::LeaseExtended(Millis(u64::MAX / 2)), NOW);
    owner.handle(
        OwnerEvent::Members((0..size.gateways).map(VmId).collect()),
        NOW,
    );
    for engine in 0..size.owned {
        let own = Ownership {
            upstream: UpstreamId(engine),
            fence: Fence(1),
            checks_fencing: false,
            slots: SLOTS,
        };
        owner.handle(OwnerEvent::OwnershipGained(own), NOW);
        for slot in 0..SLOTS {
            for vm in 0..size.gateways.min(17) {
                acquire(
                    &mut owner,
                    engine,
                    vm,
                    engine * SLOTS + slot,
                    u64::from(slot),
                );
            }
        }
    }
    owner
}

fn acquire(
    owner: &mut OwnerMachine,
    engine: u32,
    vm: u32,
    number: u32,
    ask: u64,
) {
    let ask = AcquireRequest {
        from: Holder {
            vm: VmId(vm),
            role: Role::Gateway,
            incarnation: Incarnation(1),
        },
        ask,
        upstream: UpstreamId(engine),
        adapter: adapter(number),
        account: ACCOUNT,
        wait: Millis(1000),
    };
    let actions = owner.handle(OwnerEvent::Acquire(ask), NOW + Millis(5000));
    black_box(owner.handle(OwnerEvent::BudgetGranted(1), NOW + Millis(5000)));
    for action in actions {
        black_box(action);
    }
}

fn memory(
    size: &Size,
    what: &str,
    before: usize,
) {
    let kib = (BYTES.load(Relaxed) - before) / 1024;
    println!("{}: memory of {what}: {kib} KiB", size.name);
}

fn decisions(c: &mut Criterion) {
    for size in &FLEET_SIZES {
        let slots: Vec<EngineCandidate> = (0..size.engines / size.models)
            .map(|engine| EngineCandidate {
                upstream: UpstreamId(engine),
                data_centre: DataCentreId((engine % 21) as u16),
                weight: SLOTS,
            })
            .collect();
        c.bench_function(&format!("{}/preferred", size.name), |b| {
            b.iter(|| preferred(black_box(adapter(7)), &slots, 8));
        });
        let before = BYTES.load(Relaxed);
        let mut warm = router(size);
        memory(size, "router", before);
        let target = Target::Adapter(model(size, 7), adapter(7));
        let calls = CALLS.load(Relaxed);
        send(&mut warm, target);
        println!(
            "{}: allocations of a held route: {}",
            size.name,
            CALLS.load(Relaxed) - calls
        );
        c.bench_function(&format!("{}/route-held", size.name), |b| {
            b.iter(|| send(&mut warm, black_box(target)));
        });
        c.bench_function(&format!("{}/route-cold", size.name), |b| {
            let cold = || Target::Adapter(model(size, 1), adapter(size.adapters + 1));
            b.iter_batched(
                || warm.clone(),
                |mut router| {
                    black_box(router.route(cold(), None, ACCOUNT, NOW));
                    router
                },
                BatchSize::LargeInput,
            );
        });
        c.bench_function(&format!("{}/router-tick", size.name), |b| {
            b.iter(|| warm.tick(NOW));
        });
        let before = BYTES.load(Relaxed);
        let mut owner = owner(size);
        memory(size, "owner", before);
        c.bench_function(&format!("{}/acquire", size.name), |b| {
            b.iter(|| acquire(&mut owner, 0, 3, 5, 9));
        });
        c.bench_function(&format!("{}/owner-tick", size.name), |b| {
            b.iter(|| owner.handle(OwnerEvent::Tick, NOW));
        });
    }
}

fn send(
    router: &mut Router,
    target: Target,
) {
    if let Route::Send { upstream, instance } = router.route(target, Some(9), ACCOUNT, NOW) {
        router.finished(upstream, instance, RequestOutcome::Done, NOW);
    }
}

criterion_group!(benches, decisions);
criterion_main!(benches);
