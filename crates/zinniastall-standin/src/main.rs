//! Small fakes for tests and the demo: a model engine, a plain service, the weight store, a statsd sink.

fn main() {}
