//! Membership of entry instances, the zone's targets, and digests of other zones.
