//! Follows the control log: takes configuration in, confirms it, passes it on as a relay.
