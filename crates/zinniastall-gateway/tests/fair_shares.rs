//! Shares of client accounts in scarce capacity, without a network.

#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "token counts of a simulation are small"
)]

mod fair_shares {
    pub(crate) mod division;
    pub(crate) mod load;
    pub(crate) mod pressure;
}
