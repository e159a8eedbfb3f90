//! Measures the time to compute the fingerprint of a request, by length of its body.

use std::{hint::black_box, time::Instant};

use zinniastall_model::fingerprint::Fingerprint;

/// Number of bytes to digest for each body length.
const BYTES: usize = 200 << 20;
/// Body lengths, in bytes.
const LENGTHS: [usize; 3] = [1 << 10, 32 << 10, 1 << 20];

fn main() {
    for length in LENGTHS {
        let body = vec![b'x'; length];
        let rounds = u32::try_from(BYTES / length).unwrap_or(1);
        let since = Instant::now();
        for _ in 0..rounds {
            let (host, target) = ("maps.example", "/plans/1?page=2");
            black_box(Fingerprint::of(
                Some("studio"),
                host,
                target,
                black_box(&body),
            ));
        }
        println!("{length} bytes: {:?}", since.elapsed() / rounds);
    }
}
