use {
    super::{CallerKey, Problem},
    jasmine_conf::fleet::{Call, Service},
    jasmine_core::error::ErrorKind,
};

/// The validated path and query of a call of a plain service.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePath {
    path: String,
    query: String,
}

impl ServicePath {
    /// Validates the undecoded path and query.
    ///
    /// # Errors
    ///
    /// `bad_request` if the path contains a dot segment or an encoded separator, with which a server
    /// could execute another call than the configured one, or if it contains the caller's key.
    pub fn parse(
        path: &str,
        query: &str,
        key: &CallerKey,
    ) -> Result<Self, Problem> {
        let path = format!("/{}", path.trim_start_matches('/'));
        let lower = path.to_ascii_lowercase();
        let has_dot_segment = lower
            .replace("%2e", ".")
            .split('/')
            .any(|segment| segment == "." || segment == "..");
        let has_encoded_separator =
            lower.contains("%2f") || lower.contains("%5c") || lower.contains('\\');
        match () {
            () if has_dot_segment || has_encoded_separator => Err(Problem::bad_request(
                "The path contains a dot segment or an encoded separator.",
            )),
            () if key.is_in(path.as_bytes()) || key.is_in(query.as_bytes()) => Err(
                Problem::bad_request("The path or query contains the caller's key."),
            ),
            () => Ok(Self {
                path,
                query: query.to_owned(),
            }),
        }
    }

    /// Returns the configured call for this method and path.
    ///
    /// # Errors
    ///
    /// `service_not_found` if none matches.
    pub fn call<'a>(
        &self,
        service: &'a Service,
        method: &str,
    ) -> Result<&'a Call, ErrorKind> {
        service
            .calls
            .iter()
            .find(|call| call.method == method && path_matches(&call.path, &self.path))
            .ok_or(ErrorKind::ServiceNotFound)
    }

    /// Returns path and query for the request to the service.
    pub fn target(&self) -> String {
        if self.query.is_empty() {
            self.path.clone()
        } else {
            format!("{}?{}", self.path, self.query)
        }
    }
}

fn path_matches(
    pattern: &str,
    path: &str,
) -> bool {
    let mut pattern_segments = pattern.trim_start_matches('/').split('/');
    let mut segments = path.trim_start_matches('/').split('/');
    loop {
        match (pattern_segments.next(), segments.next()) {
            (None, None) => return true,
            (Some("{}"), Some(segment)) if !segment.is_empty() => {}
            (Some(wanted), Some(found)) if wanted == found => {}
            _ => return false,
        }
    }
}
