//! Configuration objects and the state machine that the control log replicates.
