//! Coordination parts without I/O: consensus, leases, fences, command tables, tickets, membership and digests.

pub mod membership;
