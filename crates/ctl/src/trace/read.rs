use {
    super::{LogLine, RequestTrace},
    crate::CtlError,
    std::{
        collections::BTreeSet,
        fs::File,
        io::{BufRead, BufReader},
        path::PathBuf,
    },
};

/// Events about the state of a whole process rather than a request.
const PROCESS_STATE_EVENTS: [&str; 14] = [
    "store_read",
    "config_taken",
    "lead_taken",
    "lead_lost",
    "leader_lost",
    "leader_followed",
    "store_lost",
    "store_back",
    "lease_lapsed",
    "history_lost",
    "evidence_received",
    "started",
    "stopping",
    "log_dropped",
];

/// Events about the state of one upstream.
const UPSTREAM_EVENTS: [&str; 4] = [
    "upstream_seen",
    "upstream_gone",
    "order_given",
    "report_failed",
];

/// Events of the VM that decides about a request, which name it by its number.
const DECISION_EVENTS: [&str; 3] = ["retry_decided", "suspect_sent", "crash_reported"];

/// Events about what a VM knows of the parts of prompts.
const PART_EVENTS: [&str; 2] = ["prompt_quarantined", "prompt_released"];

/// Events of any VM about attempts that failed under parts of prompts.
const FAILURE_EVENTS: [&str; 2] = ["attempt_failed", "crash_reported"];

/// Events about whether the end of an upstream counts.
const END_EVENTS: [&str; 2] = ["upstream_ended", "crash_dropped"];

/// Precedes the number of a request where lines also name parts of prompts.
const REQUEST_PREFIX: &str = "request.";

/// The number of the request that a line names.
fn request_number(line: &LogLine) -> Option<u64> {
    let text = line.get("request")?;
    let text = text.strip_prefix(REQUEST_PREFIX).unwrap_or(text);
    u64::from_str_radix(text, 16).ok()
}

/// The parts of prompts that a line names, without the number of crashes that accuse each.
fn parts<'a>(
    line: &'a LogLine,
    key: &str,
) -> impl Iterator<Item = &'a str> {
    let parts = line.get_or_dash(key).split(',');
    parts.filter_map(|part| part.split(':').next())
}

/// Whether a line is about a failure under one of the accused parts.
fn is_failure_under(
    line: &LogLine,
    accused: &BTreeSet<&str>,
) -> bool {
    let is_failure = FAILURE_EVENTS.contains(&line.event.as_str());
    is_failure && parts(line, "parts").any(|part| accused.contains(part))
}

/// The upstream whose end a line is about: `upstream=e-1`, or `crash=e-1:400` with its age.
fn ended_upstream(line: &LogLine) -> Option<&str> {
    let crash = line.get("crash").and_then(|crash| crash.split(':').next());
    line.get("upstream").or(crash)
}

/// Collects the log lines related to the request `id`: its own, what was decided about it and its other attempts, and what
/// the processes and upstreams knew by then.
///
/// # Errors
///
/// [`CtlError::File`] if a file can't be read.
pub fn trace(
    id: &str,
    files: &[PathBuf],
) -> Result<RequestTrace, CtlError> {
    let mut request_trace = RequestTrace::new(id);
    for_each_line(files, &mut request_trace, |request_trace, line| {
        if line.get("id") == Some(id) {
            request_trace.request_lines.push(line);
        }
    })?;
    request_trace
        .request_lines
        .sort_by(|a, b| a.time.cmp(&b.time));
    let Some(end) = request_trace
        .request_lines
        .last()
        .map(|line| line.time.clone())
    else {
        return Ok(request_trace);
    };
    let numbers: BTreeSet<u64> = request_trace
        .request_lines
        .iter()
        .filter_map(request_number)
        .collect();
    for_each_line(files, &mut request_trace, |request_trace, line| {
        let is_decision = DECISION_EVENTS.contains(&line.event.as_str());
        let is_same = || request_number(&line).is_some_and(|number| numbers.contains(&number));
        if is_decision && line.get("id").is_none() && is_same() && line.time <= end {
            request_trace.request_lines.push(line);
        }
    })?;
    request_trace
        .request_lines
        .sort_by(|a, b| a.time.cmp(&b.time));
    let request_lines = request_trace.request_lines.clone();
    let accused: BTreeSet<&str> = request_lines
        .iter()
        .flat_map(|line| parts(line, "accused"))
        .filter(|&part| part != "-")
        .collect();
    let mut failures: Vec<LogLine> = Vec::new();
    request_trace.unparsed_lines = 0;
    for_each_line(files, &mut request_trace, |_, line| {
        if is_failure_under(&line, &accused) && line.time <= end {
            failures.push(line);
        }
    })?;
    let ended: BTreeSet<&str> = failures.iter().filter_map(ended_upstream).collect();
    let processes: Vec<&str> = request_lines
        .iter()
        .map(|line| line.process.as_str())
        .collect();
    let upstreams: Vec<&str> = request_lines
        .iter()
        .filter_map(|line| line.get("upstream"))
        .collect();
    request_trace.unparsed_lines = 0;
    for_each_line(files, &mut request_trace, |request_trace, line| {
        let is_process_state = PROCESS_STATE_EVENTS.contains(&line.event.as_str())
            && processes.contains(&line.process.as_str());
        let is_upstream_event = UPSTREAM_EVENTS.contains(&line.event.as_str())
            && upstreams.contains(&line.get_or_dash("upstream"));
        let is_part_event = PART_EVENTS.contains(&line.event.as_str())
            && processes.contains(&line.process.as_str())
            && parts(&line, "parts").any(|part| accused.contains(part));
        let is_end = END_EVENTS.contains(&line.event.as_str())
            && processes.contains(&line.process.as_str())
            && ended_upstream(&line).is_some_and(|upstream| ended.contains(upstream));
        let is_failure = is_failure_under(&line, &accused);
        let is_context =
            is_process_state || is_upstream_event || is_part_event || is_end || is_failure;
        if is_context && line.time <= end {
            request_trace.add_context(line);
        }
    })?;
    request_trace.context.sort_by(|a, b| a.time.cmp(&b.time));
    Ok(request_trace)
}

fn for_each_line<F>(
    files: &[PathBuf],
    request_trace: &mut RequestTrace,
    mut f: F,
) -> Result<(), CtlError>
where
    F: FnMut(&mut RequestTrace, LogLine),
{
    for path in files {
        let file_error = |e: std::io::Error| CtlError::File {
            file: path.display().to_string(),
            reason: e.to_string(),
        };
        let process = path
            .file_stem()
            .map_or_else(String::new, |name| name.to_string_lossy().into_owned());
        let mut reader = BufReader::new(File::open(path).map_err(file_error)?);
        let mut bytes = Vec::new();
        while reader.read_until(b'\n', &mut bytes).map_err(file_error)? > 0 {
            let text = String::from_utf8_lossy(&bytes);
            match LogLine::parse(&process, &text) {
                Some(line) => f(request_trace, line),
                None => request_trace.unparsed_lines += 1,
            }
            bytes.clear();
        }
    }
    Ok(())
}
