//! gateway.

fn main() {}
