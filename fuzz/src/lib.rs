//! Fakes and fleets that the fuzz tests share.

pub mod crash;
