//! Fuzz tests: the decoder of watch streams must not panic on any input.

use {
    bolero::check,
    jasmine_store::etcd::{JsonLines, decode_watch},
};

#[test]
fn watch_line() {
    check!().with_iterations(2000).for_each(|bytes| {
        drop(decode_watch(bytes));
        let wrapped = [b"{\"result\":{\"events\":[", bytes, b"]}}"].concat();
        drop(decode_watch(&wrapped));
    });
}

/// Lines must not depend on the chunk size, and an unterminated line over the limit is rejected.
#[test]
fn lines_in_pieces() {
    check!()
        .with_iterations(2000)
        .with_type::<(Vec<u8>, u8)>()
        .for_each(|(bytes, size)| {
            let mut whole = JsonLines::new(1 << 20);
            assert!(whole.push(bytes));
            let mut pieces = JsonLines::new(1 << 20);
            let mut lines = Vec::new();
            for piece in bytes.chunks(usize::from(*size).max(1)) {
                assert!(pieces.push(piece));
                lines.extend(std::iter::from_fn(|| pieces.next_line()));
            }
            let expected: Vec<_> = std::iter::from_fn(|| whole.next_line()).collect();
            assert_eq!(lines, expected);
        });
    assert!(!JsonLines::new(8).push(b"no end in sight"));
}
