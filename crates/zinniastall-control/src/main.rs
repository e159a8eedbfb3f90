//! Control replica: the replicated log, operators' calls and orders to targets.

fn main() {}
