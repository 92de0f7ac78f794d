//! Interfaces of this keeper: [`entry`] for the entry of its box, [`peer`] for keepers and operators,
//! [`http`] for the load balancer and Prometheus.

pub mod entry;
pub mod http;
pub mod peer;
