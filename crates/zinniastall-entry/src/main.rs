//! Entry instance: serves callers and targets, routes and forwards.

fn main() {}
