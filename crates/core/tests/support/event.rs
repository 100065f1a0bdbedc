use {
    bolero::{TypeGenerator, generator::bolero_generator::Driver},
    jasmine_core::{clock::Millis, ids::VmId},
};

/// How a message in transit is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Deliver,
    Duplicate,
    Drop,
}

/// An event in the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Advance(Millis),
    /// A request at a VM: its cost, and its actual usage in percent of the cost.
    Request {
        vm: VmId,
        controller: bool,
        second: bool,
        cost: u64,
        uses: u64,
    },
    /// The oldest running request of a VM ends.
    Finish(VmId),
    /// A VM's periodic work: epoch, report, prefetch and resends.
    Tick {
        vm: VmId,
        reply_lost: bool,
    },
    /// A controller reads the store; with `old_list` it keeps its stale VM list.
    Read {
        vm: VmId,
        old_list: bool,
    },
    /// A controller runs its epoch state machine.
    Decide(VmId),
    /// The next pending write reaches the store.
    Write(VmId),
    Carry(Link, usize),
    /// All messages in transit are delivered.
    CarryAll,
    /// All VMs that are not frozen run for a while; reports of holdings may be lost.
    Run {
        time: Millis,
        reports_lost: bool,
    },
    Kill(VmId),
    Start(VmId),
    Leave(VmId),
    Freeze(VmId),
    Thaw(VmId),
    Store(bool),
    /// The VM list is updated.
    List,
    /// The list omits a live VM for a while.
    Unlist(VmId),
    /// Operators change the limit of the first account.
    Limit(u64),
    /// A VM applies the latest configuration.
    Configure(VmId),
}

/// Number of VMs in a generated fleet.
pub const VMS: u32 = 4;

impl TypeGenerator for Event {
    fn generate<D: Driver>(driver: &mut D) -> Option<Self> {
        let vm = VmId(u32::from(driver.produce::<u8>()?) % VMS + 1);
        let any: u16 = driver.produce()?;
        let flag: bool = driver.produce()?;
        let weight: u8 = driver.produce()?;
        Some(match weight {
            0..60 => Self::Request {
                vm,
                controller: any.is_multiple_of(7),
                second: flag && any.is_multiple_of(3),
                cost: u64::from(any % 40) + 1,
                uses: u64::from(any / 64 % 101),
            },
            60..90 => Self::Finish(vm),
            90..110 => Self::Advance(Millis(u64::from(any) % 400)),
            110..113 => Self::Advance(Millis(u64::from(any) % 8000)),
            113..135 => Self::Tick {
                vm,
                reply_lost: any.is_multiple_of(4),
            },
            135..145 => Self::Read { vm, old_list: flag },
            145..155 => Self::Decide(vm),
            155..165 => Self::Write(vm),
            165..190 => Self::Carry(Link::Deliver, usize::from(any)),
            190..205 => Self::CarryAll,
            205..213 => Self::Run {
                time: Millis(u64::from(any) % 600),
                reports_lost: any.is_multiple_of(3),
            },
            213 => Self::Carry(Link::Drop, usize::from(any)),
            214..217 => Self::Carry(Link::Duplicate, usize::from(any)),
            217..220 => Self::Kill(vm),
            220..229 => Self::Start(vm),
            229..231 => Self::Leave(vm),
            231..234 => Self::Freeze(vm),
            234..239 => Self::Thaw(vm),
            239 => Self::Store(false),
            240..243 => Self::Store(true),
            243..249 => Self::List,
            249 => Self::Unlist(vm),
            250..252 => Self::Limit(u64::from(any) % 200 + 20),
            252..=255 => Self::Configure(vm),
        })
    }
}
