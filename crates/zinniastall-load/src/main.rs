//! Open-loop load, experiments and reports.

fn main() {}
