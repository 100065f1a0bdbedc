//! controller.

fn main() {}
