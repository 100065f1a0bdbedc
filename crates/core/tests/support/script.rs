use {
    super::{Event, Fleet, MessageFate, daemon::Outcome},
    goldenscript::{Command, Context, Runner},
    jasmine_core::{
        clock::Millis,
        ids::{AccountId, VmId},
        rights::RightsSettings,
    },
    std::{error::Error, fmt::Write as _},
};

/// Runs all scripts in a folder, each with a new fleet.
pub fn run_scripts(folder: &str) {
    for entry in std::fs::read_dir(folder).expect("scripts") {
        let path = entry.expect("a script").path();
        goldenscript::run(&mut Script::default(), path).expect("a script that runs");
    }
}

/// Runs script commands on a fleet.
#[derive(Default)]
struct Script {
    fleet: Option<Fleet>,
}

impl Script {
    fn apply(
        &mut self,
        event: Event,
    ) -> String {
        let Some(fleet) = &mut self.fleet else {
            return "no fleet".to_owned();
        };
        let outcomes = fleet.apply(event);
        fleet.check_shares();
        fleet.check_limits();
        outcomes
            .into_iter()
            .map(|outcome| describe(outcome) + "\n")
            .collect()
    }

    fn each_message(
        &mut self,
        fate: MessageFate,
    ) -> String {
        let in_transit = self.fleet.as_ref().map_or(0, Fleet::in_transit);
        let mut out = String::new();
        for _ in 0..in_transit {
            out += &self.apply(Event::HandleMessage(fate, 0));
        }
        let _ = write!(out, "{in_transit} messages");
        out
    }
}

fn describe(outcome: Outcome) -> String {
    match outcome {
        Outcome::Admitted => "admitted".to_owned(),
        Outcome::Pending => "asks peers".to_owned(),
        Outcome::Refused(kind, None) => format!("refused: {kind:?}"),
        Outcome::Refused(kind, Some(after)) => format!("refused: {kind:?}, back in {after} ms"),
    }
}

impl Runner for Script {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _context: &Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let mut number = |name: &str, default: u64| -> Result<u64, Box<dyn Error>> {
            Ok(args
                .take_key(name)
                .map(str::parse)
                .transpose()?
                .unwrap_or(default))
        };
        let vm = VmId(number("vm", 1)? as u32);
        let (cost, usage_percent, rate) = (
            number("cost", 10)?,
            number("uses", 100)?,
            number("rate", 100)?,
        );
        let (account, ms) = (number("account", 1)?, Millis(number("ms", 1000)?));
        let vms = number("vms", 3)? as u32;
        args.reject_next()?;
        let event = match command.name.as_str() {
            "fleet" => {
                self.fleet = Some(Fleet::new(vms, RightsSettings::default()));
                return Ok(self.apply(Event::Run {
                    time: Millis(2000),
                    loses_reports: false,
                }));
            }
            "show" => {
                let account = AccountId(account as u32);
                return Ok(self
                    .fleet
                    .as_mut()
                    .map_or(String::new(), |fleet| fleet.show(account)));
            }
            "drop" => return Ok(self.each_message(MessageFate::Drop)),
            "duplicate" => return Ok(self.each_message(MessageFate::Duplicate)),
            "deliver" => return Ok(self.each_message(MessageFate::Deliver)),
            "request" => Event::Request {
                vm,
                controller: account == 9,
                is_second_account: account == 2,
                cost,
                usage_percent,
            },
            "finish" => Event::Finish(vm),
            "advance" => Event::Advance(ms),
            "tick" => Event::Tick {
                vm,
                loses_report: false,
            },
            "run" => Event::Run {
                time: ms,
                loses_reports: false,
            },
            "kill" => Event::Kill(vm),
            "start" => Event::Start(vm),
            "leave" => Event::Stop(vm),
            "freeze" => Event::Freeze(vm),
            "thaw" => Event::Thaw(vm),
            "outage" => Event::Store(false),
            "recovery" => Event::Store(true),
            "list" => Event::UpdateList,
            "unlist" => Event::OmitFromList(vm),
            "limit" => Event::Limit(rate),
            "configure" => Event::Configure(vm),
            other => return Err(format!("no command {other}").into()),
        };
        Ok(self.apply(event))
    }
}
