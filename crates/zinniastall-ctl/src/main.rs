//! Operators' command line over the remote procedure calls.

fn main() {}
