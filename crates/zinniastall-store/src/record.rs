//! Record format: length, checksum and CBOR body.
//!
//! The checksum also covers the length, so that a torn or corrupted length isn't trusted. It is
//! salted (per kind of file, and at random per log segment), so that bytes within a command can't
//! pass for a record, whether by accident or by intent.

use serde::Serialize;
use serde::de::DeserializeOwned;

use crate::error::Damage;

const FIELD_BYTES: usize = 4;
const HEADER_BYTES: usize = 2 * FIELD_BYTES;

/// A decoded record.
#[derive(Debug)]
pub(crate) struct Record<T> {
    pub(crate) value: T,
    /// Byte offset after the record.
    pub(crate) end: usize,
}

/// Appends a record to a buffer.
pub(crate) fn write(buffer: &mut Vec<u8>, salt: u64, value: &impl Serialize) {
    let start = buffer.len();
    buffer.extend_from_slice(&[0; HEADER_BYTES]);
    // Writing to memory can't fail, and all stored types can be serialised.
    let written = ciborium::into_writer(value, &mut *buffer);
    debug_assert!(written.is_ok(), "records can be serialised");
    let length = u32::try_from(buffer.len() - start - HEADER_BYTES)
        .unwrap_or(u32::MAX)
        .to_le_bytes();
    let checksum = checksum(salt, length, &buffer[start + HEADER_BYTES..]).to_le_bytes();
    buffer[start..start + FIELD_BYTES].copy_from_slice(&length);
    buffer[start + FIELD_BYTES..start + HEADER_BYTES].copy_from_slice(&checksum);
}

/// Reads the record at a byte offset.
pub(crate) fn read<T: DeserializeOwned>(
    bytes: &[u8],
    at: usize,
    salt: u64,
) -> Result<Record<T>, Damage> {
    let (body, end) = frame(bytes, at, salt).ok_or(Damage::Checksum)?;
    let value = ciborium::from_reader(body).map_err(|_| Damage::Content)?;
    Ok(Record { value, end })
}

/// Returns whether a complete record starts anywhere after a byte offset.
pub(crate) fn any_after(bytes: &[u8], at: usize, salt: u64) -> bool {
    (at + 1..bytes.len()).any(|start| frame(bytes, start, salt).is_some())
}

fn frame(bytes: &[u8], at: usize, salt: u64) -> Option<(&[u8], usize)> {
    let head = bytes.get(at..at + HEADER_BYTES)?;
    let (length, sum) = head.split_at(FIELD_BYTES);
    let length: [u8; FIELD_BYTES] = length.try_into().ok()?;
    let end = (at + HEADER_BYTES).checked_add(usize::try_from(u32::from_le_bytes(length)).ok()?)?;
    let body = bytes.get(at + HEADER_BYTES..end)?;
    (checksum(salt, length, body).to_le_bytes() == sum).then_some((body, end))
}

fn checksum(salt: u64, length: [u8; FIELD_BYTES], body: &[u8]) -> u32 {
    let mut hasher = crc32fast::Hasher::new();
    hasher.update(&salt.to_le_bytes());
    hasher.update(&length);
    hasher.update(body);
    hasher.finalize()
}
