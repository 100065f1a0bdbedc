use {
    crate::CtlError,
    clap::{Arg, ArgMatches},
    jasmine_conf::tree::{EditId, Path, Setting, Value, ValueType},
    jasmine_core::ids::Revision,
    std::{env, fs, time::Duration},
};

/// Output format.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputFormat {
    /// Human-readable tables.
    Table,
    /// JSON, for scripts.
    Json,
}

/// Options common to all commands that call a controller.
#[derive(Clone)]
pub struct GlobalArgs {
    /// Base URLs of controllers, tried in turn.
    pub controllers: Vec<String>,
    /// Bearer token of the operator API.
    pub token: String,
    /// Author recorded with edits.
    pub author: String,
    /// Output format.
    pub output: OutputFormat,
    /// Timeout of a call to one controller.
    pub timeout: Duration,
}

impl std::fmt::Debug for GlobalArgs {
    /// Omits the token, as debug output may be logged.
    fn fmt(
        &self,
        f: &mut std::fmt::Formatter<'_>,
    ) -> std::fmt::Result {
        f.debug_struct("GlobalArgs")
            .field("controllers", &self.controllers)
            .field("author", &self.author)
            .finish_non_exhaustive()
    }
}

impl GlobalArgs {
    /// Reads the global options and the environment.
    ///
    /// # Errors
    ///
    /// [`CtlError::Usage`] if no controller or token is given, [`CtlError::File`] if the token file can't
    /// be read.
    pub fn read(matches: &ArgMatches) -> Result<Self, CtlError> {
        let output = match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => OutputFormat::Json,
            _ => OutputFormat::Table,
        };
        let author = matches
            .get_one::<String>("author")
            .cloned()
            .or_else(|| env::var("JASMINE_AUTHOR").ok())
            .or_else(|| env::var("USER").ok())
            .unwrap_or_else(|| "operator".to_owned());
        Ok(Self {
            controllers: controllers(matches)?,
            token: token(matches)?,
            author,
            output,
            timeout: Duration::from_secs(*required(matches, "timeout")),
        })
    }
}

/// Options common to commands that submit an edit.
#[derive(Clone, Debug)]
pub struct EditArgs {
    /// Id of the edit, which makes retries idempotent.
    pub id: EditId,
    /// Revision that the edit is based on; the newest if `None`.
    pub base: Option<Revision>,
    /// Whether the edit is only validated.
    pub dry_run: bool,
    /// How long to wait until the edit is in force on every VM.
    pub wait: Option<Duration>,
}

impl EditArgs {
    /// Reads the options of commands that submit an edit.
    ///
    /// # Errors
    ///
    /// [`CtlError::InvalidName`] if the edit id is malformed.
    pub fn read(matches: &ArgMatches) -> Result<Self, CtlError> {
        let id = match matches.get_one::<String>("edit-id") {
            Some(text) => EditId::parse(text)?,
            None => EditId::random(),
        };
        Ok(Self {
            id,
            base: matches.get_one::<u64>("base").copied().map(Revision),
            dry_run: matches.get_flag("dry-run"),
            wait: matches
                .get_one::<u64>("wait")
                .copied()
                .map(Duration::from_secs),
        })
    }
}

fn controllers(matches: &ArgMatches) -> Result<Vec<String>, CtlError> {
    let addresses: Vec<String> = match matches.get_many::<String>("controller") {
        Some(addresses) => addresses.cloned().collect(),
        None => env::var("JASMINE_CONTROLLERS")
            .unwrap_or_default()
            .split(',')
            .map(|address| address.trim().to_owned())
            .filter(|address| !address.is_empty())
            .collect(),
    };
    if addresses.is_empty() {
        return Err(CtlError::Usage(
            "no controller given: use --controller or set JASMINE_CONTROLLERS".to_owned(),
        ));
    }
    Ok(addresses.iter().map(|address| base_url(address)).collect())
}

fn base_url(address: &str) -> String {
    let address = address.trim_end_matches('/');
    if address.starts_with("http://") {
        return address.to_owned();
    }
    format!("http://{address}")
}

/// Reads the token. No option takes it directly, as other users can read command lines.
fn token(matches: &ArgMatches) -> Result<String, CtlError> {
    let file = matches
        .get_one::<String>("token-file")
        .cloned()
        .or_else(|| env::var("JASMINE_TOKEN_FILE").ok());
    let text = match (file, env::var("JASMINE_TOKEN")) {
        (Some(file), _) => fs::read_to_string(&file).map_err(|e| CtlError::File {
            file,
            reason: e.to_string(),
        })?,
        (None, Ok(token)) => token,
        (None, Err(_)) => {
            return Err(CtlError::Usage(
                "no token given: use --token-file, or set JASMINE_TOKEN_FILE or JASMINE_TOKEN"
                    .to_owned(),
            ));
        }
    };
    Ok(text.trim().to_owned())
}

/// Returns the value of an argument that is required or has a default.
///
/// # Panics
///
/// If the argument is neither required nor has a default.
pub(crate) fn required<'m, T>(
    matches: &'m ArgMatches,
    name: &str,
) -> &'m T
where
    T: Clone + Send + Sync + 'static,
{
    matches
        .get_one::<T>(name)
        .expect("the argument is required or has a default")
}

/// Parses the `path` argument.
pub(crate) fn parse_path_arg(matches: &ArgMatches) -> Result<Path, CtlError> {
    Ok(Path::parse(required::<String>(matches, "path"))?)
}

/// Parses the `setting=value` arguments.
pub(crate) fn parse_settings_args(matches: &ArgMatches) -> Result<Vec<(Setting, Value)>, CtlError> {
    matches
        .get_many::<String>("settings")
        .into_iter()
        .flatten()
        .map(|text| parse_setting(text))
        .collect()
}

fn parse_setting(text: &str) -> Result<(Setting, Value), CtlError> {
    let (name, value) = text
        .split_once('=')
        .ok_or_else(|| CtlError::Usage(format!("{text:?}: expected setting=value")))?;
    let setting = Setting::from_name(name)
        .ok_or_else(|| CtlError::Usage(format!("there is no setting {name:?}")))?;
    let value_type = setting.spec().value_type;
    let parsed = match value_type {
        ValueType::Number(..) => value.parse().ok().map(Value::Number),
        ValueType::Flag => value.parse().ok().map(Value::Flag),
        ValueType::Accounts if value != "all" => Some(Value::Names(parse_names(value))),
        _ => Some(Value::text(value)),
    };
    match parsed {
        Some(parsed) if value_type.allows(&parsed) => Ok((setting, parsed)),
        _ => Err(CtlError::Usage(format!(
            "{name}={value} is not allowed: {}",
            value_type.allowed()
        ))),
    }
}

fn parse_names(list: &str) -> Vec<Box<str>> {
    list.split(',')
        .map(str::trim)
        .filter(|name| !name.is_empty())
        .map(Box::from)
        .collect()
}

/// Options of commands that submit an edit.
pub(super) fn edit_args() -> [Arg; 4] {
    [
        Arg::new("dry-run")
            .long("dry-run")
            .action(clap::ArgAction::SetTrue)
            .help("Validates the edit and writes nothing"),
        Arg::new("base")
            .long("base")
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .help("Refuses the edit if it conflicts with a change made since this revision"),
        Arg::new("edit-id")
            .long("edit-id")
            .value_name("ID")
            .help("Id of the edit; with the same id and --base it is applied at most once"),
        Arg::new("wait")
            .long("wait")
            .value_name("SECONDS")
            .value_parser(clap::value_parser!(u64).range(1..=3_600))
            .help("Waits until the edit is in force on every VM"),
    ]
}

/// The positional path of a node.
pub(super) fn path() -> Arg {
    Arg::new("path")
        .value_name("PATH")
        .required(true)
        .help("Path of the node, such as /accounts/clinics/san-juan")
}

/// The positional `setting=value` arguments.
pub(super) fn settings() -> Arg {
    Arg::new("settings")
        .value_name("SETTING=VALUE")
        .num_args(0..)
        .help("Settings; a list of accounts is written access=one,two")
}
