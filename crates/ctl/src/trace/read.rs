use {
    super::{LogLine, RequestTrace},
    crate::CtlError,
    std::{
        fs::File,
        io::{BufRead, BufReader},
        path::PathBuf,
    },
};

/// Events about the state of a whole process rather than a request.
const PROCESS_STATE_EVENTS: [&str; 13] = [
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

/// Collects the log lines related to the request `id`.
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
    let request_lines = request_trace.request_lines.clone();
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
        if (is_process_state || is_upstream_event) && line.time <= end {
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
