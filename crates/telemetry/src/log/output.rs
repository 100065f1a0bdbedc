use {
    super::BoundedWriter,
    flexi_logger::{DeferredNow, FlexiLoggerError, LogSpecification, Logger, LoggerHandle},
    log::Record,
    std::io::Write,
};

/// The log target of the lines that [`super::Line`] writes.
const LOG_TARGET: &str = "jasmine_telemetry";

/// The destination of log lines.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum LogOutput {
    /// Standard error.
    Stderr,
    /// Standard output.
    Stdout,
    /// Standard output through [`BoundedWriter`], which drops lines instead of blocking.
    BoundedStdout,
}

/// Why logging could not be started.
#[derive(Debug)]
#[derive(derive_more::Display, derive_more::Error, derive_more::From)]
pub enum LogError {
    /// The level is not one of `off`, `error`, `warn`, `info`, `debug`, `trace`, or a logger
    /// is already running.
    #[display("failed to start logging: {_0}")]
    Logger(FlexiLoggerError),
}

/// Starts logging at `level`; dropping the handle stops it.
///
/// # Errors
///
/// [`LogError::Logger`] if the level is unknown or a logger is already running.
pub fn start(
    level: &str,
    output: LogOutput,
) -> Result<LoggerHandle, LogError> {
    // Libraries log only warnings and errors.
    let spec = LogSpecification::parse(format!("warn, {LOG_TARGET}={level}"))?;
    let logger = Logger::with(spec).format(format_line);
    let logger = match output {
        LogOutput::Stderr => logger.log_to_stderr(),
        LogOutput::Stdout => logger.log_to_stdout(),
        LogOutput::BoundedStdout => {
            logger.log_to_writer(Box::new(BoundedWriter::new(std::io::stdout())))
        }
    };
    Ok(logger.start()?)
}

/// Prepends time and level; messages of libraries are wrapped in an event `library`.
pub(super) fn format_line(
    w: &mut dyn Write,
    now: &mut DeferredNow,
    record: &Record<'_>,
) -> std::io::Result<()> {
    let time = format_time(now);
    let level = record.level().as_str().to_ascii_lowercase();
    let text = record.args().to_string();
    if text.starts_with("event=") {
        return write!(w, "time={time} level={level} {text}");
    }
    let line = super::Line::new("library")
        .with("module", record.target())
        .with("message", text);
    write!(w, "time={time} level={level} {}", line.as_str())
}

/// The time of a line.
pub(super) fn format_time(now: &mut DeferredNow) -> String {
    let time = now.now_utc_owned().format("%Y-%m-%dT%H:%M:%S%.3fZ");
    time.to_string()
}
