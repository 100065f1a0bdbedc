//! ctl.

fn main() {}
