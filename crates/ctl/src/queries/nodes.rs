use {
    crate::{
        CtlError,
        cli::{GlobalArgs, OutputFormat, parse_path_arg, required},
        client::ApiClient,
        output,
    },
    clap::ArgMatches,
    jasmine_conf::{
        api::{NodeRow, TreePage},
        tree::{Explanation, Node, Path, Setting},
    },
    serde::Serialize,
};

/// JSON output of `show`: a node with all values in force.
#[derive(Serialize)]
struct NodeDetails {
    #[serde(flatten)]
    row: NodeRow,
    values: Vec<Explanation>,
}

/// Lists the nodes at and below a path.
pub async fn list(
    api: &ApiClient,
    args: &GlobalArgs,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let path = parse_path_arg(matches)?;
    let depth = matches.get_one::<u16>("depth").copied();
    let all = all_pages(api, &path, depth).await?;
    match args.output {
        OutputFormat::Json => output::json(&all),
        OutputFormat::Table => {
            let rows = all.nodes.iter().map(|row| {
                vec![
                    row.path.to_string(),
                    row.node.kind.to_string(),
                    settings_text(&row.node),
                ]
            });
            output::table(&["path", "kind", "set here"], rows)
        }
    }
}

/// Shows a node with each value in force and the level it comes from.
pub async fn show(
    api: &ApiClient,
    args: &GlobalArgs,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let path = parse_path_arg(matches)?;
    let page = api.tree(&path, Some(0), None).await?;
    let Some(row) = page.nodes.into_iter().next() else {
        return Err(CtlError::Usage(format!("{path}: node not found")));
    };
    let mut values = Vec::new();
    for setting in Setting::ALL {
        if setting.is_allowed_on(row.node.kind, path.collection()) {
            values.push(api.explain(&path, setting).await?);
        }
    }
    match args.output {
        OutputFormat::Json => output::json(&NodeDetails { row, values }),
        OutputFormat::Table => {
            output::line(&format!(
                "{path}  {}  number {}",
                row.node.kind, row.node.number
            ))?;
            let rows = values.iter().map(|value| {
                vec![
                    value.setting.to_string(),
                    value_text(value),
                    source_text(value),
                    value.setting.purpose().to_owned(),
                ]
            });
            output::table(&["setting", "value", "from", "meaning"], rows)
        }
    }
}

/// Shows which level a value comes from.
pub async fn explain(
    api: &ApiClient,
    args: &GlobalArgs,
    matches: &ArgMatches,
) -> Result<(), CtlError> {
    let path = parse_path_arg(matches)?;
    let name = required::<String>(matches, "setting");
    let setting = Setting::from_name(name)
        .ok_or_else(|| CtlError::Usage(format!("there is no setting {name:?}")))?;
    let value = api.explain(&path, setting).await?;
    match args.output {
        OutputFormat::Json => output::json(&value),
        OutputFormat::Table => {
            output::line(&format!(
                "{setting} of {path} is {}, from {}",
                value_text(&value),
                source_text(&value)
            ))?;
            let mut rows: Vec<_> = value
                .levels
                .iter()
                .map(|level| {
                    let text = level
                        .value
                        .as_ref()
                        .map_or("-".to_owned(), ToString::to_string);
                    vec![level.path.to_string(), text]
                })
                .collect();
            let default = value
                .default
                .as_ref()
                .map_or("-".to_owned(), ToString::to_string);
            rows.push(vec!["(default)".to_owned(), default]);
            output::table(&["level", "value"], rows)
        }
    }
}

async fn all_pages(
    api: &ApiClient,
    path: &Path,
    depth: Option<u16>,
) -> Result<TreePage, CtlError> {
    let mut all = api.tree(path, depth, None).await?;
    while let Some(after) = all.next.take() {
        let page = api.tree(path, depth, Some(&after)).await?;
        all.nodes.extend(page.nodes);
        all.next = page.next;
    }
    Ok(all)
}

fn settings_text(node: &Node) -> String {
    node.settings
        .iter()
        .map(|(setting, value)| format!("{setting}={value}"))
        .collect::<Vec<_>>()
        .join(" ")
}

fn value_text(value: &Explanation) -> String {
    value
        .value
        .as_ref()
        .map_or("unset".to_owned(), ToString::to_string)
}

fn source_text(value: &Explanation) -> String {
    match (&value.from, &value.value) {
        (Some(path), _) => path.to_string(),
        (None, Some(_)) => "(default)".to_owned(),
        (None, None) => "-".to_owned(),
    }
}
