//! Write-ahead log and snapshots of one data folder.
