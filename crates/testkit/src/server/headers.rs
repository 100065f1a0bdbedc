use actix_web::HttpRequest;

/// Returns all headers of a request as text.
pub(crate) fn header_list(req: &HttpRequest) -> Vec<(String, String)> {
    let headers = req.headers().iter();
    headers
        .map(|(name, value)| {
            (
                name.to_string(),
                String::from_utf8_lossy(value.as_bytes()).into_owned(),
            )
        })
        .collect()
}

/// Returns a header of a request, empty if absent.
pub(crate) fn header(
    req: &HttpRequest,
    name: &str,
) -> String {
    let value = req
        .headers()
        .get(name)
        .and_then(|value| value.to_str().ok());
    value.unwrap_or_default().to_owned()
}
