use {
    bolero::{TypeGenerator, generator::bolero_generator::Driver},
    jasmine_core::{clock::Millis, ids::VmId},
};

/// What happens to a message under way.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Link {
    Deliver,
    Duplicate,
    Drop,
}

/// One thing that happens to the fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Event {
    Advance(Millis),
    /// A request at a VM; its cost and, in percent of it, what it really uses.
    Request {
        vm: VmId,
        controller: bool,
        second: bool,
        cost: u64,
        uses: u64,
    },
    /// The oldest running request of a VM ends.
    Finish(VmId),
    /// A daemon's periodic work: epoch, report, asking ahead, sending again.
    Tick {
        vm: VmId,
        reply_lost: bool,
    },
    /// A controller reads the store; `old_list` leaves its copy of the VM list as it is.
    Read {
        vm: VmId,
        old_list: bool,
    },
    /// A controller decides what to write.
    Decide(VmId),
    /// What it decided reaches the store.
    Write(VmId),
    Carry(Link, usize),
    /// All that is under way arrives.
    CarryAll,
    /// Everything that is awake works for a while; reports of holdings may fail to reach the store.
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
    /// The VM list catches up.
    List,
    /// The list leaves out a VM that is alive, for a while.
    Unlist(VmId),
    /// Operators set another limit.
    Limit(u64),
    /// A VM takes the newest configuration.
    Configure(VmId),
}

/// VMs of a generated fleet.
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
