//! What this keeper answers: [`entry`] to the entry of its box, [`peer`] to keepers and operators,
//! [`http`] to the balancer and Prometheus.

pub mod entry;
pub mod http;
pub mod peer;
