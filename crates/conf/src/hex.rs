//! Encoding and decoding of lower-case hex.

/// The hex digits by value.
const DIGITS: [char; 16] = [
    '0', '1', '2', '3', '4', '5', '6', '7', '8', '9', 'a', 'b', 'c', 'd', 'e', 'f',
];

/// Encodes bytes as lower-case hex.
pub fn encode(bytes: &[u8]) -> String {
    bytes
        .iter()
        .flat_map(|&byte| {
            [
                DIGITS[usize::from(byte >> 4)],
                DIGITS[usize::from(byte & 15)],
            ]
        })
        .collect()
}

/// Decodes 32 bytes from 64 lower-case hex digits; `None` for any other text.
pub fn decode_32(text: &str) -> Option<[u8; 32]> {
    let mut bytes = [0; 32];
    if text.len() != 64 {
        return None;
    }
    for (byte, pair) in bytes.iter_mut().zip(text.as_bytes().chunks_exact(2)) {
        *byte = digit(pair[0])? << 4 | digit(pair[1])?;
    }
    Some(bytes)
}

const fn digit(byte: u8) -> Option<u8> {
    match byte {
        b'0'..=b'9' => Some(byte - b'0'),
        b'a'..=b'f' => Some(byte - b'a' + 10),
        _ => None,
    }
}
