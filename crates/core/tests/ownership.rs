//! Scripted scenarios of owners, gateways and engines: `scripts/ownership`.

#[expect(dead_code, reason = "only the generated orders lose messages")]
mod world;

use {
    goldenscript::{Command, Context, Runner, run},
    jasmine_core::{
        clock::Millis,
        ids::{AdapterVersion, DataCentreId, UpstreamId},
        ownership::OwnerSettings,
        routing::RouterSettings,
    },
    std::{error::Error, fmt::Write, path::PathBuf},
    world::{FakeEngine, World, adapter},
};

/// Length of a time step, in milliseconds.
const STEP: u64 = 100;

struct Script {
    world: World,
}

fn world(
    fakes: &[FakeEngine],
    controllers: usize,
    gateways: usize,
) -> World {
    let routing = RouterSettings::new(DataCentreId(0));
    World::new(
        fakes,
        controllers,
        gateways,
        OwnerSettings::default(),
        routing,
    )
}

fn script(name: &str) {
    let dir = PathBuf::from(env!("CARGO_MANIFEST_DIR"));
    let path = dir.join("tests/scripts/ownership").join(name);
    let mut runner = Script {
        world: world(&[], 0, 0),
    };
    run(&mut runner, path).expect("the script must run without errors");
    assert_eq!(runner.world.faults, Vec::<String>::new());
}

/// The number in `c0`, `g1` or `e2`.
fn number(name: &str) -> Result<usize, Box<dyn Error>> {
    Ok(name[1..].parse()?)
}

fn version(name: &str) -> Result<AdapterVersion, Box<dyn Error>> {
    let (number, version) = name.split_once('@').ok_or("expected adapter@version")?;
    Ok(adapter(number.parse()?, version.parse()?))
}

impl Script {
    fn build(
        &mut self,
        engines: u32,
        slots: u32,
        controllers: usize,
        gateways: usize,
        checks: bool,
    ) {
        let fakes: Vec<FakeEngine> = (0..engines)
            .map(|upstream| FakeEngine::new(upstream, slots, checks))
            .collect();
        self.world = world(&fakes, controllers, gateways);
    }

    fn pass(
        &mut self,
        millis: u64,
    ) {
        for _ in 0..millis / STEP {
            self.world.pass(Millis(STEP));
            self.world.settle();
        }
    }

    fn freeze(
        &mut self,
        name: &str,
        frozen: bool,
    ) -> Result<(), Box<dyn Error>> {
        let i = number(name)?;
        match name.as_bytes()[0] {
            b'c' if !frozen => self.world.thaw(i),
            b'c' => self.world.controllers[i].frozen = true,
            _ => self.world.gateways[i].frozen = frozen,
        }
        Ok(())
    }

    fn restart(
        &mut self,
        name: &str,
    ) -> Result<(), Box<dyn Error>> {
        let i = number(name)?;
        match name.as_bytes()[0] {
            b'c' => self.world.restart_controller(i),
            b'g' => self.world.restart_gateway(i),
            _ => self.world.restart_engine(UpstreamId(i as u32)),
        }
        Ok(())
    }

    fn leave(
        &mut self,
        upstream: u32,
    ) {
        let engine = self.world.engines.get_mut(&UpstreamId(upstream));
        engine.expect("known").is_draining = true;
        let specs: Vec<_> = self.world.engines.values().map(FakeEngine::spec).collect();
        for gateway in &mut self.world.gateways {
            gateway.router.set_upstreams(&specs);
        }
    }

    fn show(&self) -> String {
        let mut out = String::new();
        for engine in self.world.engines.values() {
            let loaded: Vec<String> = engine
                .loaded
                .iter()
                .map(|(instance, work)| format!("{}:{}", instance.name(), work.len()))
                .collect();
            let _ = writeln!(out, "e{} [{}]", engine.upstream, loaded.join(" "));
        }
        for (g, gateway) in self.world.gateways.iter().enumerate() {
            let held: Vec<String> = gateway
                .router
                .held()
                .iter()
                .map(|instance| format!("e{}:{}", instance.upstream, instance.name()))
                .collect();
            let _ = writeln!(
                out,
                "g{g} holds [{}] waiting {}",
                held.join(" "),
                gateway.waiting.len()
            );
        }
        out + &format!(
            "served {} refused {}\n",
            self.world.served, self.world.refused
        )
    }
}

impl Runner for Script {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        _: &Context,
    ) -> Result<String, Box<dyn Error>> {
        let mut args = command.consume_args();
        let checks = args
            .take_key("fencing")
            .is_some_and(|value| value == "checked");
        let mut value = |key, default: u32| args.take_key(key).map_or(Ok(default), str::parse);
        let (engines, slots) = (value("engines", 1)?, value("slots", 2)?);
        let (controllers, gateways) = (value("controllers", 2)?, value("gateways", 2)?);
        let (count, account) = (value("count", 1)?, value("account", 1)?);
        let first = args.next_pos().unwrap_or_default();
        let second = args.next_pos().unwrap_or_default();
        match command.name.as_str() {
            "world" => self.build(
                engines,
                slots,
                controllers as usize,
                gateways as usize,
                checks,
            ),
            "own" => {
                let upstream = UpstreamId(number(first)? as u32);
                self.world.assign_owner(upstream, number(second)?);
                self.pass(STEP);
            }
            "request" => {
                for _ in 0..count {
                    self.world
                        .request(number(first)?, version(second)?, account);
                }
            }
            "settle" => self.world.settle(),
            // Delivers messages without sending the actions that controllers decide on.
            "deliver" => {
                for message in std::mem::take(&mut self.world.net) {
                    self.world.deliver(message);
                }
            }
            "pass" => self.pass(first.parse()?),
            "end" => {
                self.world.end_work(UpstreamId(number(first)? as u32));
                self.world.settle();
            }
            "freeze" => self.freeze(first, true)?,
            "thaw" => self.freeze(first, false)?,
            "restart" => self.restart(first)?,
            "lapse" => self.world.controllers[number(first)?].store_lease = Millis::ZERO,
            "fail" | "mend" => {
                let failing = version(first)?;
                for engine in self.world.engines.values_mut() {
                    match command.name.as_str() {
                        "fail" => engine.failing.insert(failing),
                        _ => engine.failing.remove(&failing),
                    };
                }
            }
            "leave" => self.leave(number(first)? as u32),
            "show" => return Ok(self.show()),
            other => return Err(format!("unknown command: {other}").into()),
        }
        let lines = std::mem::take(&mut self.world.trace);
        Ok(lines.into_iter().map(|line| line + "\n").collect())
    }
}

/// A paused owner sends an unload after another controller has taken over an engine that does not
/// check fencing; the unload must not cut a running request.
#[test]
fn late_order() {
    script("late_order_ignored");
}

/// An engine that checks fencing must refuse the unload of a former owner.
#[test]
fn late_order_checked() {
    script("late_order_checked");
}

/// A new owner must neither reload nor unload instances that gateways still use.
#[test]
fn takeover_keeps_held_instances() {
    script("takeover_keeps_held_instances");
}

/// A gateway that stops responding while it holds a grant must neither block another adapter's load
/// nor lose its running requests.
#[test]
fn silent_holder() {
    script("silent_holder");
}

/// Requests must not keep going to instances that an engine lost in a restart.
#[test]
fn cold_restart() {
    script("cold_restart");
}

/// Requests for an adapter that can't be loaded must fail fast without a load attempt each.
#[test]
fn failing_load() {
    script("failing_load");
}

/// Evicting an adapter in use must not cut its running requests.
#[test]
fn recall_under_traffic() {
    script("recall_under_traffic");
}

/// A draining engine must finish its requests and get no new ones.
#[test]
fn leaving_upstream() {
    script("leaving_upstream");
}

/// A version rollout must neither cut requests of the old version nor serve the wrong version.
#[test]
fn version_rollout() {
    script("version_rollout");
}
