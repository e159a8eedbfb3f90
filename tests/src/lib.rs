//! Scaffolding of the whole-system tests.
