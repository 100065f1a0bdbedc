use {
    bolero::{TypeGenerator, generator::bolero_generator::Driver},
    jasmine_core::{clock::Millis, ids::VmId},
};

/// How a message in transit is handled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum MessageFate {
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
        is_second_account: bool,
        cost: u64,
        usage_percent: u64,
    },
    /// The oldest running request of a VM ends.
    Finish(VmId),
    /// A VM's periodic work: epoch, report, prefetch and resends.
    Tick {
        vm: VmId,
        loses_report: bool,
    },
    /// A controller reads the store; with `keeps_stale_list` it keeps its stale VM list.
    Read {
        vm: VmId,
        keeps_stale_list: bool,
    },
    /// A controller runs its epoch state machine.
    Decide(VmId),
    /// The next pending write reaches the store.
    Write(VmId),
    HandleMessage(MessageFate, usize),
    /// All messages in transit are delivered.
    DeliverAll,
    /// All VMs that are not frozen run for a while; reports of holdings may be lost.
    Run {
        time: Millis,
        loses_reports: bool,
    },
    Kill(VmId),
    Start(VmId),
    Stop(VmId),
    Freeze(VmId),
    Thaw(VmId),
    Store(bool),
    /// The VM list is updated.
    UpdateList,
    /// The list omits a live VM for a while.
    OmitFromList(VmId),
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
                is_second_account: flag && any.is_multiple_of(3),
                cost: u64::from(any % 40) + 1,
                usage_percent: u64::from(any / 64 % 101),
            },
            60..90 => Self::Finish(vm),
            90..110 => Self::Advance(Millis(u64::from(any) % 400)),
            110..113 => Self::Advance(Millis(u64::from(any) % 8000)),
            113..135 => Self::Tick {
                vm,
                loses_report: any.is_multiple_of(4),
            },
            135..145 => Self::Read {
                vm,
                keeps_stale_list: flag,
            },
            145..155 => Self::Decide(vm),
            155..165 => Self::Write(vm),
            165..190 => Self::HandleMessage(MessageFate::Deliver, usize::from(any)),
            190..205 => Self::DeliverAll,
            205..213 => Self::Run {
                time: Millis(u64::from(any) % 600),
                loses_reports: any.is_multiple_of(3),
            },
            213 => Self::HandleMessage(MessageFate::Drop, usize::from(any)),
            214..217 => Self::HandleMessage(MessageFate::Duplicate, usize::from(any)),
            217..220 => Self::Kill(vm),
            220..229 => Self::Start(vm),
            229..231 => Self::Stop(vm),
            231..234 => Self::Freeze(vm),
            234..239 => Self::Thaw(vm),
            239 => Self::Store(false),
            240..243 => Self::Store(true),
            243..249 => Self::UpdateList,
            249 => Self::OmitFromList(vm),
            250..252 => Self::Limit(u64::from(any) % 200 + 20),
            252..=255 => Self::Configure(vm),
        })
    }
}
