//! Checked JSON settings, logging and metrics set-up, and the common command line.
