//! What an HTTP client reads of a connection whose bytes are checked.

use {
    bytes::BytesMut,
    jasmine_http1::{HttpError, MAX_INTERIM_RESPONSES, ResponseCheck},
};

const HEAD: &str = "HTTP/1.1 200 OK\r\n";

/// What is read of the answer to one request that comes in pieces of `size` bytes.
fn receive(
    method: &str,
    answer: &str,
    size: usize,
) -> (ResponseCheck, Result<String, HttpError>) {
    let mut check = ResponseCheck::default();
    check.note_sent(format!("{method} / HTTP/1.1\r\n\r\n").as_bytes());
    let read = receive_next(&mut check, answer, size);
    (check, read)
}

fn receive_next(
    check: &mut ResponseCheck,
    answer: &str,
    size: usize,
) -> Result<String, HttpError> {
    let mut read = Vec::new();
    for piece in answer.as_bytes().chunks(size) {
        let mut checked = BytesMut::new();
        check.receive(piece, &mut checked)?;
        read.extend_from_slice(&checked);
    }
    Ok(String::from_utf8(read).unwrap())
}

#[test]
fn sound_responses_pass() {
    // Guards against a byte that is lost or changed, whatever the pieces.
    for (method, body) in [
        ("GET", "Content-Length: 5\r\n\r\nhello"),
        (
            "GET",
            "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n\r\n",
        ),
        (
            "GET",
            "Transfer-Encoding: chunked\r\n\r\n5;a=b\r\nhello\r\n0\r\nX-Sum: 1\r\n\r\n",
        ),
        ("GET", "\r\nhello"),
        ("HEAD", "Content-Length: 5\r\n\r\n"),
    ] {
        let answer = format!("{HEAD}{body}");
        for size in 1..=answer.len() {
            let (check, read) = receive(method, &answer, size);
            assert_eq!(read, Ok(answer.clone()), "{size}");
            assert_eq!(check.close(), Ok(()), "{size}");
        }
    }
}

#[test]
fn interim_responses_are_dropped() {
    // Guards against an interim response that is read as the answer, and against an endless number of them.
    let answer = format!("{HEAD}Content-Length: 2\r\n\r\nok");
    let interim = "HTTP/1.1 103 Early Hints\r\nLink: a\r\n\r\n";
    for (count, expected) in [
        (1, Ok(answer.clone())),
        (MAX_INTERIM_RESPONSES, Ok(answer.clone())),
        (
            MAX_INTERIM_RESPONSES + 1,
            Err(HttpError::EndlessInterim(MAX_INTERIM_RESPONSES)),
        ),
    ] {
        let all = interim.repeat(count as usize) + &answer;
        for size in [1, 7, all.len()] {
            assert_eq!(receive("GET", &all, size).1, expected, "{count} {size}");
        }
    }
}

#[test]
fn heads_are_read_as_a_whole() {
    // Guards against lines that a client reads before the head turns out to be none.
    let start = format!("{HEAD}Content-Length: 2\r\nX-Odd");
    for size in 1..=start.len() {
        let (mut check, read) = receive("GET", &start, size);
        assert_eq!(read, Ok(String::new()), "{size}");
        assert_eq!(check.close(), Err(HttpError::Truncated), "{size}");
        let rest = receive_next(&mut check, " : a\r\n\r\nok", 64);
        assert!(matches!(rest, Err(HttpError::Line(_))), "{rest:?}");
        let later = receive_next(&mut check, &format!("\r\n\r\n{HEAD}\r\n"), 64);
        assert_eq!(later, rest, "{size}");
    }
}

#[test]
fn trailers_and_chunk_lines() {
    // Guards against a body that ends as a whole one with bytes that end none.
    for end in [
        "0\r\nX Odd: a\r\n\r\n",
        "0\r\nX-Odd : a\r\n\r\n",
        "0\r\nnone\r\n\r\n",
        "0\r\n: a\r\n\r\n",
        "0\r\nX-Odd: \x01\r\n\r\n",
        "0\r\nX-A: a\r\n b\r\n\r\n",
        "0;\x01\r\n\r\n",
        "0 \r\n\r\n",
        "0\n\r\n",
    ] {
        let answer = format!("{HEAD}Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n{end}");
        for size in [1, 7, answer.len()] {
            let (_, read) = receive("GET", &answer, size);
            assert!(read.is_err(), "{end:?} {size}: {read:?}");
        }
    }
}

#[test]
fn second_answers_of_a_connection() {
    // Guards against a broken answer behind sound ones, and against one that comes before its request.
    let answer = format!("{HEAD}Content-Length: 2\r\n\r\nok");
    let request = b"GET / HTTP/1.1\r\n\r\n";
    let (mut check, _) = receive("GET", &answer, 64);
    check.note_sent(request);
    assert_eq!(receive_next(&mut check, &answer, 64), Ok(answer.clone()));
    check.note_sent(request);
    let broken = receive_next(&mut check, "HTTP/1.1 000 OK\r\n\r\n", 64);
    assert_eq!(broken, Err(HttpError::Status(0)));

    let (mut check, _) = receive("GET", &answer, 64);
    let early = receive_next(&mut check, &answer, 64);
    assert_eq!(early, Err(HttpError::Surplus));

    let twice = answer.repeat(2);
    let (mut check, read) = receive("GET", &twice, twice.len());
    assert_eq!(
        (read, check.error()),
        (Ok(answer.clone()), Some(HttpError::Surplus))
    );
    check.note_sent(request);
    assert_eq!(
        receive_next(&mut check, &answer, 64),
        Err(HttpError::Surplus)
    );
}

#[test]
fn early_ends() {
    // Guards against a body that breaks off and is read as a whole one.
    for body in [
        "Content-Length: 5\r\n\r\nhell",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n",
        "Transfer-Encoding: chunked\r\n\r\n5\r\nhello\r\n0\r\n",
    ] {
        let (check, _) = receive("GET", &format!("{HEAD}{body}"), 64);
        assert_eq!(check.close(), Err(HttpError::Truncated), "{body:?}");
    }
}
