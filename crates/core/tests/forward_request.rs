//! Scripted scenarios of one forwarded request: `scripts/forward`.

use {
    goldenscript::{Command, Context, Runner, run},
    jasmine_core::{
        clock::Millis,
        error::{ErrorKind, Refusal},
        forward::{
            Attempt, Delivery, ForwardAction, ForwardEvent, ForwardMachine, ForwardPlan, Head,
            Part, PartKind, Repeat,
        },
        ids::UpstreamId,
    },
    std::{error::Error, fmt::Write, num::ParseIntError, path::PathBuf, str::FromStr},
};

struct Script {
    machine: Option<ForwardMachine>,
    now: Millis,
}

fn script(name: &str) {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let mut runner = Script {
        machine: None,
        now: Millis(1),
    };
    run(&mut runner, dir.join("tests/scripts/forward").join(name))
        .expect("the script must run without errors");
}

impl Script {
    fn begin(
        &mut self,
        repeat: Repeat,
        delivery: Delivery,
    ) -> String {
        let plan = ForwardPlan {
            repeat,
            delivery,
            deadline: Millis(30_000),
            head_timeout: Millis(3_000),
            part_timeout: Millis(2_000),
            max_attempts: 3,
        };
        let (machine, action) = ForwardMachine::new(plan, self.now);
        self.machine = Some(machine);
        format!("{action:?}\n")
    }

    fn handle_event(
        &mut self,
        event: ForwardEvent,
    ) -> Result<String, Box<dyn Error>> {
        let machine = self.machine.as_mut().ok_or("no request has been started")?;
        Ok(format_actions(&machine.handle(event, self.now)))
    }

    /// Advances the time and fires the machine's timer when it is due.
    fn pass(
        &mut self,
        time: Millis,
    ) -> Result<String, Box<dyn Error>> {
        let until = self.now + time;
        let machine = self.machine.as_mut().ok_or("no request has been started")?;
        let mut out = String::new();
        while let Some(wake) = machine.wake_at().filter(|&wake| wake <= until) {
            self.now = self.now.max(wake);
            let actions = machine.handle(ForwardEvent::Timer, self.now);
            write!(out, "at {}: {}", self.now, format_actions(&actions))?;
        }
        self.now = until;
        Ok(out)
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
        let attempt = Attempt(number(args.take_key("attempt"))?.unwrap_or(1));
        let event = match command.name.as_str() {
            "begin" => {
                let (repeat, delivery) = (
                    args.next_pos().ok_or("missing argument: repeat")?,
                    args.next_pos().ok_or("missing argument: delivery")?,
                );
                args.reject_next()?;
                let repeat = match repeat {
                    "once" => Repeat::Once,
                    _ => Repeat::Idempotent,
                };
                let delivery = match delivery {
                    "streamed" => Delivery::Streamed,
                    _ => Delivery::Buffered,
                };
                return Ok(self.begin(repeat, delivery));
            }
            "pass" => {
                let time = args.next_pos().ok_or("missing argument: time")?.parse()?;
                args.reject_next()?;
                return self.pass(Millis(time));
            }
            "routed" => ForwardEvent::Routed {
                attempt,
                upstream: UpstreamId(number(args.take_key("to"))?.unwrap_or(1)),
            },
            "refused" => ForwardEvent::RouteRefused {
                attempt,
                refusal: Refusal::new(ErrorKind::RateLimited),
            },
            "unreachable" => ForwardEvent::Unreachable { attempt },
            "head" => ForwardEvent::Head {
                attempt,
                head: head(args.next_pos().ok_or("missing argument: head")?)?,
            },
            "part" => ForwardEvent::Part {
                attempt,
                part: Part {
                    offset: number(args.take_key("offset"))?.unwrap_or(0),
                    kind: kind(args.next_pos().ok_or("missing argument: kind")?)?,
                },
            },
            "end" => ForwardEvent::End {
                attempt,
                generated_tokens: number(args.take_key("made"))?,
            },
            "lost" => ForwardEvent::Lost { attempt },
            "caller-slow" => ForwardEvent::CallerSlow,
            "caller-ready" => ForwardEvent::CallerReady,
            "caller-gone" => ForwardEvent::CallerGone,
            "withdrawn" => ForwardEvent::KeyWithdrawn,
            name => return Err(format!("unknown command: {name}").into()),
        };
        args.reject_next()?;
        self.handle_event(event)
    }
}

fn number<T>(value: Option<&str>) -> Result<Option<T>, Box<dyn Error>>
where
    T: FromStr<Err = ParseIntError>,
{
    Ok(value.map(str::parse).transpose()?)
}

fn format_actions(actions: &[ForwardAction]) -> String {
    match actions {
        [] => "nothing\n".to_owned(),
        actions => actions.iter().fold(String::new(), |mut out, action| {
            writeln!(out, "{action:?}").expect("writing to a string can't fail");
            out
        }),
    }
}

fn head(name: &str) -> Result<Head, Box<dyn Error>> {
    Ok(match name {
        "accepted" => Head::Accepted { resumable: true },
        "unresumable" => Head::Accepted { resumable: false },
        "not-loaded" => Head::NotLoaded,
        "busy" => Head::Busy,
        "rejected" => Head::Rejected,
        "stream-gone" => Head::StreamGone,
        "failed" => Head::Failed,
        "crossed" => Head::WrongRequest,
        name => return Err(format!("unknown head {name}").into()),
    })
}

fn kind(name: &str) -> Result<PartKind, Box<dyn Error>> {
    Ok(match name {
        "opening" => PartKind::Opening,
        "tokens" => PartKind::Tokens,
        "finish" => PartKind::Finish,
        "usage" => PartKind::Usage,
        name => return Err(format!("unknown kind {name}").into()),
    })
}

#[test]
fn resumed_stream() {
    // A stream whose connection breaks or stalls must be resumed.
    script("resumed_stream");
}

#[test]
fn lost_engine() {
    // A response must not be continued with tokens of a second run after its engine has restarted.
    script("lost_engine");
}

#[test]
fn late_answers() {
    // A late response of an abandoned attempt must not mix with that of the next attempt.
    script("late_answers");
}

#[test]
fn once_only() {
    // A request that is not idempotent must not be sent again after it may have run.
    script("once_only");
}

#[test]
fn true_refusals() {
    // A refusal must not claim "not run" if an earlier attempt may have run.
    script("true_refusals");
}
