use {
    super::{CallerKey, Problem},
    jasmine_conf::fleet::{Call, Service},
    jasmine_core::error::ErrorKind,
};

/// The part of a path that goes to a plain service, checked.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct ServicePath {
    path: String,
    query: String,
}

impl ServicePath {
    /// Takes path and query as they came.
    ///
    /// # Errors
    ///
    /// `bad_request` when the path steps up, hides a separator, or holds the caller's key: a server that
    /// decodes it could run another call than the one that the operators' row describes.
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
                "The path steps up or hides a separator.",
            )),
            () if key.is_in(path.as_bytes()) || key.is_in(query.as_bytes()) => Err(
                Problem::bad_request("The path or query holds the caller's key."),
            ),
            () => Ok(Self {
                path,
                query: query.to_owned(),
            }),
        }
    }

    /// The operators' row for this path.
    ///
    /// # Errors
    ///
    /// `service_not_found` when there is none.
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

    /// Path and query as the service gets them.
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
    let mut wanted = pattern.trim_start_matches('/').split('/');
    let mut found = path.trim_start_matches('/').split('/');
    loop {
        match (wanted.next(), found.next()) {
            (None, None) => return true,
            (Some("{}"), Some(segment)) if !segment.is_empty() => {}
            (Some(wanted), Some(found)) if wanted == found => {}
            _ => return false,
        }
    }
}
