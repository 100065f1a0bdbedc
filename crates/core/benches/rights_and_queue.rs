//! Benchmarks of rate rights, epochs and the fair queue, at two fleet sizes.
//!
//! Run with `cargo bench -p jasmine-core --bench rights_and_queue`. The memory use of a ledger is
//! printed first, as growth of the resident set size.

#![expect(
    missing_docs,
    reason = "criterion's macro generates an undocumented function"
)]

use {
    criterion::{BatchSize, Criterion, criterion_group, criterion_main},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, Epoch, Holder, Incarnation, ModelId, RequestId, Role, VmId},
        membership::{
            Budget, EpochAction, EpochMachine, HoldingsRecord, LiveVm, MembershipSettings,
            StoreView, Versioned,
        },
        queue::{FairQueue, Priority, QueueSettings, QueueTarget, QueuedRequest},
        rights::{
            Admission, CallerTag, FULL_SHARE, Limit, OutgoingTakeRequest, Right, RightsLedger,
            RightsSettings, TakeRequest,
        },
    },
    std::hint::black_box,
};

const LIMIT: Limit = Limit {
    rate: 100_000,
    burst: 1_000_000_000,
};

/// Client accounts and gateways, at the current and the designed size.
const FLEET_SIZES: [(u32, u32); 2] = [(5, 8), (500, 180)];

fn holder(vm: u32) -> Holder {
    Holder {
        vm: VmId(vm),
        role: Role::Gateway,
        incarnation: Incarnation(1),
    }
}

fn ledger(
    accounts: u32,
    holders: u32,
) -> RightsLedger {
    let mut ledger = RightsLedger::new(holder(1), RightsSettings::default());
    ledger.set_peers((1..=holders).map(holder));
    ledger.enter_epoch(Epoch(1), Millis::ZERO);
    for account in (1..=accounts).map(AccountId) {
        ledger.set_limit(account, LIMIT, Millis::ZERO);
        let grant = Right {
            account,
            rate_share: FULL_SHARE / 8,
            burst_share: FULL_SHARE / 8,
            tokens: LIMIT.burst_millitokens() / 8,
        };
        ledger.apply_grants(Epoch(1), &[grant], Millis::ZERO);
    }
    ledger
}

/// Asks every peer once for every account, with empty responses.
fn ask_all(
    ledger: &mut RightsLedger,
    accounts: u32,
    holders: u32,
) {
    for account in (1..=accounts).map(AccountId) {
        for round in 0..u64::from(holders) {
            let now = Millis(round * 1000);
            for ask in ledger.create_take_requests(account, 1000, now) {
                answer(ledger, &ask, now);
            }
        }
    }
}

fn answer(
    ledger: &mut RightsLedger,
    ask: &OutgoingTakeRequest,
    now: Millis,
) {
    let given = jasmine_core::rights::TakeResponse {
        epoch: Epoch(1),
        right: Right::none(ask.request.account),
        spare: 0,
    };
    ledger.handle_take_response(ask.request.transfer, &given, now);
}

fn rights(c: &mut Criterion) {
    for (accounts, holders) in FLEET_SIZES {
        let name = format!("{accounts} accounts, {holders} holders");
        let mut ledger = ledger(accounts, holders);
        ask_all(&mut ledger, accounts, holders);
        let mut n = 0;
        c.bench_function(&format!("admit and settle, {name}"), |b| {
            b.iter(|| {
                n += 1;
                let account = AccountId(n % accounts + 1);
                let caller = CallerTag(u64::from(n));
                let now = Millis(1_000_000 + u64::from(n));
                if let Admission::Admitted(charge) = ledger.try_admit(account, 100, caller, now) {
                    ledger.settle(charge, 60, now);
                }
            });
        });
        let mut transfer = 0;
        c.bench_function(&format!("give, {name}"), |b| {
            b.iter(|| {
                transfer += 1;
                let request = TakeRequest {
                    from: holder(transfer as u32 % (holders - 1) + 2),
                    transfer: jasmine_core::ids::TransferId(transfer),
                    epoch: Epoch(1),
                    account: AccountId(transfer as u32 % accounts + 1),
                    needed: 1000,
                    demand: 10,
                };
                black_box(ledger.handle_take_request(&request, Millis(2_000_000 + transfer)))
            });
        });
        let mut round = 0;
        c.bench_function(&format!("ask three and receive, {name}"), |b| {
            b.iter(|| {
                round += 1;
                let account = AccountId(round as u32 % accounts + 1);
                let now = Millis(100_000_000 + round * 1000);
                for ask in ledger.create_take_requests(account, 1000, now) {
                    answer(&mut ledger, &ask, now);
                }
            });
        });
        c.bench_function(&format!("rebalance all accounts, {name}"), |b| {
            b.iter(|| black_box(ledger.prefetch(Millis(u64::MAX / 2))));
        });
    }
}

fn queue(c: &mut Criterion) {
    for (accounts, targets) in [(5, 4), (500, 4), (500, 1000)] {
        let mut queue = FairQueue::new(QueueSettings {
            max_queued: usize::MAX,
            ..QueueSettings::default()
        });
        let mut n = 0;
        let mut push = move |queue: &mut FairQueue| {
            n += 1;
            let waiting = QueuedRequest {
                request: RequestId(n),
                account: AccountId(n as u32 % accounts),
                priority: Priority::Normal,
                cost: 100 + n % 400,
                deadline: Millis(u64::MAX),
                target: QueueTarget::Base(ModelId((n * 7) as u32 % targets)),
            };
            let _ = black_box(queue.push(waiting, Millis(n / 100)));
            Millis(n / 100)
        };
        for _ in 0..10_000 {
            push(&mut queue);
        }
        let name = format!("{accounts} accounts, {targets} targets, 10,000 waiting");
        c.bench_function(&format!("push and pop, {name}"), |b| {
            b.iter(|| {
                let now = push(&mut queue);
                black_box(queue.pop(now, |_| true))
            });
        });
        c.bench_function(&format!("pop when nothing can run, {name}"), |b| {
            b.iter(|| black_box(queue.pop(Millis(1), |_| false)));
        });
    }
}

fn view(
    vms: u32,
    accounts: u32,
) -> StoreView {
    let one = Some(Incarnation(1));
    let live = |vm| LiveVm {
        vm: VmId(vm),
        gateway: one,
        controller: one,
    };
    StoreView {
        read_at: Millis(1000),
        live: (1..=vms).map(live).collect(),
        listed: Some((1..=vms).map(VmId).collect()),
        budgets: (1..=accounts)
            .map(|account| Budget {
                account: AccountId(account),
                role: Role::Gateway,
                limit: LIMIT,
            })
            .collect(),
        ..StoreView::default()
    }
}

/// Creates a view in which all members have reported for the first epoch.
fn reported(
    vms: u32,
    accounts: u32,
) -> StoreView {
    let mut view = view(vms, accounts);
    let mut machine = EpochMachine::new(VmId(1), MembershipSettings::default());
    machine.step(&view, Millis(0));
    let actions = machine.step(&view, Millis(1000));
    let Some(EpochAction::WriteEpoch { record, .. }) = actions.into_iter().next() else {
        return view;
    };
    let report = |&holder: &Holder| HoldingsRecord {
        epoch: record.epoch,
        holder,
        rights: (1..=accounts)
            .map(|account| Right {
                account: AccountId(account),
                rate_share: 1000,
                burst_share: 1000,
                tokens: 1000,
            })
            .collect(),
    };
    view.holdings = record.members.iter().map(report).collect();
    view.epoch = Some(Versioned {
        value: record,
        mod_revision: 1,
    });
    view
}

fn epochs(c: &mut Criterion) {
    for (accounts, vms) in FLEET_SIZES {
        let name = format!("{accounts} accounts, {vms} VMs");
        let quiet = reported(vms, accounts);
        let machine = EpochMachine::new(VmId(1), MembershipSettings::default());
        c.bench_function(&format!("finalise an epoch, {name}"), |b| {
            b.iter_batched(
                || machine.clone(),
                |mut machine| black_box(machine.step(&quiet, Millis(2000))),
                BatchSize::SmallInput,
            );
        });
        let mut settled = quiet.clone();
        if let Some(epoch) = &mut settled.epoch {
            epoch.value.closing = false;
        }
        let mut machine = machine.clone();
        c.bench_function(&format!("look when nothing has changed, {name}"), |b| {
            b.iter(|| black_box(machine.step(&settled, Millis(2000))));
        });
    }
}

fn resident_kib() -> u64 {
    let status = std::fs::read_to_string("/proc/self/status").unwrap_or_default();
    status
        .lines()
        .find_map(|line| line.strip_prefix("VmRSS:"))
        .and_then(|rest| rest.trim().trim_end_matches("kB").trim().parse().ok())
        .unwrap_or(0)
}

fn memory(_: &mut Criterion) {
    for (accounts, holders) in FLEET_SIZES {
        let before = resident_kib();
        let mut kept = Vec::new();
        for _ in 0..4 {
            let mut ledger = ledger(accounts, holders);
            ask_all(&mut ledger, accounts, holders);
            kept.push(ledger);
        }
        let grown = resident_kib() - before;
        println!(
            "ledger of {accounts} accounts, {holders} holders: {} KiB",
            grown / 4
        );
    }
}

criterion_group!(benches, memory, rights, queue, epochs);
criterion_main!(benches);
