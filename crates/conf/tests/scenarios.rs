//! Golden tests of edits and queries, one file per scenario in `scenarios/`.
//!
//! A prefix names the operator; `base=<revision>` is the base of the edit, by default the newest
//! revision. `UPDATE_GOLDENFILES=1` rewrites the expected output.

use {
    goldenscript::{ArgumentConsumer, Command, Context, Runner},
    jasmine_conf::{
        fleet::Fleet,
        tree::{Edit, EditId, EditLog, EditOp, NodeKind, Path, Setting, Settings, Tree, Value},
    },
    jasmine_core::ids::Revision,
    std::{collections::BTreeMap, error::Error, fmt::Write, sync::Arc},
};

type Outcome<T> = Result<T, Box<dyn Error>>;

#[derive(Default)]
struct TestController {
    tree: Tree,
    log: EditLog,
    fleet: Fleet,
    edits: u32,
}

impl TestController {
    fn edit(
        &mut self,
        author: &str,
        base: Option<&str>,
        ops: Vec<EditOp>,
    ) -> Outcome<String> {
        let base = match base {
            Some(text) => Revision(text.parse()?),
            None => self.tree.revision(),
        };
        self.edits += 1;
        let edit = Edit {
            id: EditId::parse(&format!("e{}", self.edits))?,
            author: author.to_owned(),
            base,
            ops,
        };
        let proposal = self.tree.propose(&edit, &self.log, 0).map_err(|e| {
            let conflicts = e.conflicts().iter();
            let lines: Vec<_> = conflicts
                .map(|conflict| format!("\n  {conflict}"))
                .collect();
            format!("{e}{}", lines.concat())
        })?;
        let changes = self.tree.apply(&proposal.accepted)?;
        self.tree.refresh(&mut self.fleet, &changes);
        self.log.push(Arc::new(proposal.accepted));
        Ok(format!("revision {}", self.tree.revision()))
    }

    fn explain(
        &self,
        path: &Path,
        setting: Setting,
    ) -> Outcome<String> {
        let explanation = self.tree.explain(path, setting)?;
        let value = explanation
            .value
            .map_or("unset".to_owned(), |value| value.to_string());
        let from = explanation
            .from
            .map_or("default".to_owned(), |path| path.to_string());
        Ok(format!("{value} from {from}"))
    }

    fn list(
        &self,
        path: &Path,
    ) -> String {
        let mut out = String::new();
        for (path, node) in self.tree.within(path) {
            let settings: Vec<_> = node
                .settings
                .iter()
                .map(|(setting, value)| format!(" {setting}={value}"))
                .collect();
            let _infallible = writeln!(
                out,
                "{path} {} {}{}",
                node.kind,
                node.number,
                settings.concat()
            );
        }
        out
    }
}

impl Runner for TestController {
    type Command = Command;

    fn run(
        &mut self,
        command: &Command,
        context: &Context,
    ) -> Outcome<String> {
        let author = context.prefix.as_deref().unwrap_or("ana");
        let mut args = command.consume_args();
        let base = args.take_key("base").map(str::to_owned);
        let mut path = || -> Outcome<Path> { Ok(Path::parse(args.next_pos().ok_or("no path")?)?) };
        let out = match command.name.as_str() {
            "create" => {
                let path = path()?;
                let kind = args
                    .next_pos()
                    .and_then(NodeKind::from_name)
                    .ok_or("no kind")?;
                let settings = settings(&mut args)?.into_iter().collect::<BTreeMap<_, _>>();
                let settings = Settings::from(settings);
                let op = EditOp::Create {
                    path,
                    kind,
                    settings,
                };
                self.edit(author, base.as_deref(), vec![op])?
            }
            "set" => {
                let path = path()?;
                let ops = settings(&mut args)?
                    .into_iter()
                    .map(|(setting, value)| EditOp::Set {
                        path: path.clone(),
                        setting,
                        value,
                    });
                self.edit(author, base.as_deref(), ops.collect())?
            }
            "unset" => {
                let path = path()?;
                let setting = setting(args.next_pos().ok_or("no setting")?)?;
                self.edit(
                    author,
                    base.as_deref(),
                    vec![EditOp::Unset { path, setting }],
                )?
            }
            "delete" => {
                let path = path()?;
                self.edit(author, base.as_deref(), vec![EditOp::Delete { path }])?
            }
            "explain" => {
                let path = path()?;
                self.explain(&path, setting(args.next_pos().ok_or("no setting")?)?)?
            }
            "list" => self.list(&path()?),
            "history" => {
                let path = path()?;
                let lines = self.log.history_of(&path).map(|accepted| {
                    let ops: Vec<_> = accepted.edit.ops.iter().map(ToString::to_string).collect();
                    format!(
                        "{} {}: {}\n",
                        accepted.revision,
                        accepted.edit.author,
                        ops.join(", ")
                    )
                });
                lines.collect::<Vec<_>>().concat()
            }
            "account" => {
                let name = args.next_pos().ok_or("no name")?;
                let found = self
                    .fleet
                    .accounts
                    .iter()
                    .find(|account| account.name == name);
                format!("{:?}", found.ok_or("no such account")?)
            }
            "adapter" => {
                let name = args.next_pos().ok_or("no name")?;
                format!("{:?}", self.fleet.model(name)?)
            }
            name => return Err(format!("no command {name}").into()),
        };
        args.reject_next()?;
        Ok(out)
    }
}

fn setting(name: &str) -> Outcome<Setting> {
    Ok(Setting::from_name(name).ok_or_else(|| format!("no setting {name}"))?)
}

fn settings(args: &mut ArgumentConsumer<'_>) -> Outcome<Vec<(Setting, Value)>> {
    let mut rows = Vec::new();
    while let Some((name, text)) = args.next_key() {
        let value = serde_json::from_str(text).unwrap_or_else(|_| Value::text(text));
        rows.push((setting(name)?, value));
    }
    Ok(rows)
}

fn run(name: &str) {
    let file = format!("{}/tests/scenarios/{name}", env!("CARGO_MANIFEST_DIR"));
    goldenscript::run(&mut TestController::default(), file).unwrap();
}

#[test]
fn inheritance() {
    run("inheritance");
}

#[test]
fn racing_edits() {
    run("racing_edits");
}

#[test]
fn versions() {
    run("versions");
}
