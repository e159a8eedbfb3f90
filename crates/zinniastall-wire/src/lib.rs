//! Frames and links between the system's own processes.
