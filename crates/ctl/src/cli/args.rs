use {
    crate::CtlError,
    clap::{Arg, ArgMatches},
    jasmine_conf::tree::{EditId, Path, Setting, Value, ValueType},
    jasmine_core::ids::Revision,
    std::{env, fs, time::Duration},
};

/// How answers are printed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum OutputForm {
    /// Tables for people.
    Table,
    /// JSON for scripts.
    Json,
}

/// What every command needs.
#[derive(Clone)]
pub struct GlobalArgs {
    /// Base URLs of controllers, tried in turn.
    pub controllers: Vec<String>,
    /// The operators' token.
    pub token: String,
    /// Who edits.
    pub author: String,
    /// How answers are printed.
    pub output: OutputForm,
    /// How long one controller may take to answer.
    pub timeout: Duration,
}

impl std::fmt::Debug for GlobalArgs {
    /// Leaves the token out: debug output ends up in logs.
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
    /// [`CtlError::Usage`] or [`CtlError::File`] where a controller or the token is lacking.
    pub fn read(matches: &ArgMatches) -> Result<Self, CtlError> {
        let output = match matches.get_one::<String>("output").map(String::as_str) {
            Some("json") => OutputForm::Json,
            _ => OutputForm::Table,
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

/// How an edit is sent.
#[derive(Clone, Debug)]
pub struct EditArgs {
    /// Its id.
    pub id: EditId,
    /// The revision it is based on; none: the newest.
    pub base: Option<Revision>,
    /// Whether it is only checked.
    pub dry_run: bool,
    /// How long to wait until it is in force everywhere.
    pub wait: Option<Duration>,
}

impl EditArgs {
    /// Reads the options that commands which edit have in common.
    ///
    /// # Errors
    ///
    /// [`CtlError::Form`] where the id is none.
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
    let given: Vec<String> = match matches.get_many::<String>("controller") {
        Some(given) => given.cloned().collect(),
        None => env::var("JASMINE_CONTROLLERS")
            .unwrap_or_default()
            .split(',')
            .map(|address| address.trim().to_owned())
            .filter(|address| !address.is_empty())
            .collect(),
    };
    if given.is_empty() {
        return Err(CtlError::Usage(
            "no controller is named: give --controller or set JASMINE_CONTROLLERS".to_owned(),
        ));
    }
    Ok(given.iter().map(|address| base_url(address)).collect())
}

fn base_url(address: &str) -> String {
    let address = address.trim_end_matches('/');
    if address.starts_with("http://") {
        return address.to_owned();
    }
    format!("http://{address}")
}

/// The token, never from the command line: other users of the machine can read that.
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
                "no token: give --token-file, or set JASMINE_TOKEN_FILE or JASMINE_TOKEN"
                    .to_owned(),
            ));
        }
    };
    Ok(text.trim().to_owned())
}

/// The value of an argument that the command line can't be without or that has a default.
///
/// # Panics
///
/// Where the definition of the command line doesn't say so: a defect.
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

/// The path that a command is about.
pub(crate) fn path_arg(matches: &ArgMatches) -> Result<Path, CtlError> {
    Ok(Path::parse(required::<String>(matches, "path"))?)
}

/// The `setting=value` arguments.
pub(crate) fn settings_arg(matches: &ArgMatches) -> Result<Vec<(Setting, Value)>, CtlError> {
    matches
        .get_many::<String>("settings")
        .into_iter()
        .flatten()
        .map(|text| read_setting(text))
        .collect()
}

fn read_setting(text: &str) -> Result<(Setting, Value), CtlError> {
    let (name, value) = text
        .split_once('=')
        .ok_or_else(|| CtlError::Usage(format!("{text:?}: expected setting=value")))?;
    let setting = Setting::from_name(name)
        .ok_or_else(|| CtlError::Usage(format!("there is no setting {name:?}")))?;
    let value_type = setting.spec().value_type;
    let read = match value_type {
        ValueType::Number(..) => value.parse().ok().map(Value::Number),
        ValueType::Flag => value.parse().ok().map(Value::Flag),
        ValueType::Accounts if value != "all" => Some(Value::Names(names(value))),
        _ => Some(Value::text(value)),
    };
    match read {
        Some(read) if value_type.allows(&read) => Ok((setting, read)),
        _ => Err(CtlError::Usage(format!(
            "{name}={value} is not allowed: {}",
            value_type.allowed()
        ))),
    }
}

fn names(list: &str) -> Vec<Box<str>> {
    list.split(',')
        .map(str::trim)
        .filter(|name| !name.is_empty())
        .map(Box::from)
        .collect()
}

/// The options that commands which edit have in common.
pub(super) fn edit_args() -> [Arg; 4] {
    [
        Arg::new("dry-run")
            .long("dry-run")
            .action(clap::ArgAction::SetTrue)
            .help("Checks the edit and writes nothing"),
        Arg::new("base")
            .long("base")
            .value_name("REVISION")
            .value_parser(clap::value_parser!(u64))
            .help("Refuses the edit if others have changed the same since this revision"),
        Arg::new("edit-id")
            .long("edit-id")
            .value_name("ID")
            .help("Id of the edit; with the same id and --base it is never done twice"),
        Arg::new("wait")
            .long("wait")
            .value_name("SECONDS")
            .value_parser(clap::value_parser!(u64).range(1..=3_600))
            .help("Waits until the edit is in force on every VM"),
    ]
}

/// The argument that names a node.
pub(super) fn path() -> Arg {
    Arg::new("path")
        .value_name("PATH")
        .required(true)
        .help("Path of the node, such as /accounts/clinics/san-juan")
}

/// The `setting=value` arguments.
pub(super) fn settings() -> Arg {
    Arg::new("settings")
        .value_name("SETTING=VALUE")
        .num_args(0..)
        .help("Settings; a list of accounts is written access=one,two")
}
