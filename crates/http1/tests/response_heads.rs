//! Which heads are those of a response.

use jasmine_http1::{HeadScanner, HttpError, parse_response_head};

fn parse(
    method: &str,
    head: &str,
) -> Result<bool, HttpError> {
    let whole = format!("{head}\r\n\r\n");
    let parsed = parse_response_head(whole.as_bytes(), method, &mut HeadScanner::default());
    parsed.map(|parsed| parsed.is_some_and(|(_, len)| len == whole.len()))
}

#[test]
fn all_statuses_of_a_class() {
    // Guards against a status that no client can read, and against a sound one that is rejected.
    for code in 0..=999 {
        let parsed = parse("GET", &format!("HTTP/1.1 {code:03} Reason"));
        let expected = match code {
            101 => Err(HttpError::Upgrade),
            100..=599 => Ok(true),
            _ => Err(HttpError::Status(code)),
        };
        assert_eq!(parsed, expected, "{code}");
    }
}

#[test]
fn all_bytes_of_names_and_values() {
    // Guards against a byte in a header that another reader takes for the end of the name or of the line.
    for byte in 0..=u8::MAX {
        let is_token = byte.is_ascii_alphanumeric() || b"!#$%&'*+-.^_`|~".contains(&byte);
        let is_text = byte == b'\t' || (byte >= b' ' && byte != 0x7f);
        let head = |before: &[u8], after: &[u8]| {
            let start = b"HTTP/1.1 200 OK\r\n";
            [start, before, &[byte], after, b"\r\n\r\n"].concat()
        };
        for (head, is_accepted) in [
            (head(b"X", b"Y: a"), is_token || byte == b':'),
            (head(b"X", b": a"), is_token || byte == b':'),
            (head(b"", b"X: a"), is_token),
            (head(b"X: a", b"b"), is_text),
        ] {
            let parsed = parse_response_head(&head, "GET", &mut HeadScanner::default());
            assert_eq!(
                matches!(parsed, Ok(Some(_))),
                is_accepted,
                "{byte} {head:?}"
            );
        }
    }
}

#[test]
fn framings_of_all_methods() {
    // Guards against a framing that only matters to the next reader, as the response has no body here.
    let ambiguous = [
        "Content-Length: 1\r\nContent-Length: 1",
        "Content-Length: 1, 1",
        "Content-Length: +1",
        "Content-Length:",
        "Content-Length: 1\r\nTransfer-Encoding: chunked",
        "Transfer-Encoding: identity",
        "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked",
    ];
    for (method, status) in [
        ("GET", 200),
        ("GET", 204),
        ("GET", 304),
        ("HEAD", 200),
        ("GET", 103),
    ] {
        for framing in ambiguous {
            let parsed = parse(method, &format!("HTTP/1.1 {status} Reason\r\n{framing}"));
            assert_eq!(
                parsed,
                Err(HttpError::Malformed),
                "{method} {status} {framing}"
            );
        }
        let sound = format!("HTTP/1.1 {status} Reason\r\nContent-Length: 0");
        assert_eq!(parse(method, &sound), Ok(true), "{method} {status}");
    }
}

#[test]
fn interim_responses_have_no_body() {
    // Guards against a body that is read as the next head.
    for framing in ["Content-Length: 1", "Transfer-Encoding: chunked"] {
        let interim = format!("HTTP/1.1 103 Reason\r\n{framing}");
        assert_eq!(parse("GET", &interim), Err(HttpError::InterimBody));
    }
}

#[test]
fn transfer_codings_of_older_versions() {
    // Guards against a body whose end depends on whether the reader knows its transfer coding.
    for method in ["GET", "HEAD"] {
        let head = "HTTP/1.0 200 Reason\r\nTransfer-Encoding: chunked";
        assert_eq!(parse(method, head), Err(HttpError::Malformed));
    }
}

#[test]
fn status_lines() {
    for line in [
        "HTTP/1.1 200 OK",
        "HTTP/1.0 404 Not Found",
        "HTTP/1.1 500 ",
        "HTTP/1.1 503",
    ] {
        assert_eq!(parse("GET", line), Ok(true), "{line}");
    }
    for line in [
        "",
        "\r\nHTTP/1.1 200 OK",
        " HTTP/1.1 200 OK",
        "HTTP/2.0 200 OK",
        "HTTP/1.2 200 OK",
        "HTTP/1.1",
        "HTTP/1.1 20 OK",
        "HTTP/1.1 1000 OK",
        "HTTP/1.1 2x0 OK",
        "HTTP/1.1 -20 OK",
        "HTTP/1.1 +20 OK",
        "HTTP/1.1  200 OK",
        "HTTP/1.1 200 O\x01K",
        "ICY 200 OK",
    ] {
        assert!(!matches!(parse("GET", line), Ok(true)), "{line:?}");
    }
}
