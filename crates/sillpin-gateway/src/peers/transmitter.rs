//! Encodes datagrams, counts them and sends them to several boxes.

use super::datagram::Datagram;
use super::wire::{self, FleetKey};
use crate::metrics::BoxMetrics;
use sillpin_telemetry::{event, events};
use slog::Logger;
use std::net::SocketAddr;
use tokio::net::UdpSocket;

/// What is needed to encode the datagrams of a box.
pub(super) struct Transmitter<'a> {
    /// Key of the fleet.
    pub fleet_key: FleetKey,
    /// Counts datagrams.
    pub metrics: &'a BoxMetrics,
    /// Log.
    pub log: &'a Logger,
}

/// A datagram that is ready to be sent.
pub(super) struct EncodedDatagram {
    buf: Vec<u8>,
    to: Vec<SocketAddr>,
}

impl Transmitter<'_> {
    /// Encodes a datagram for several boxes and counts it as sent. Returns `None` if there are no boxes, or if it can't
    /// be encoded, which is logged.
    pub fn encode(&self, datagram: &Datagram, to: Vec<SocketAddr>) -> Option<EncodedDatagram> {
        if to.is_empty() {
            return None;
        }
        let buf = match wire::encode(self.fleet_key, datagram) {
            Ok(buf) => buf,
            Err(e) => {
                event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string());
                return None;
            }
        };
        self.metrics
            .datagrams(datagram.name(), "sent", to.len(), buf.len());
        Some(EncodedDatagram { buf, to })
    }
}

impl EncodedDatagram {
    /// Returns the number of datagrams and their bytes in all.
    pub fn size(&self) -> (usize, usize) {
        (self.to.len(), self.to.len() * self.buf.len())
    }

    /// Sends it to all boxes.
    pub async fn send(&self, socket: &UdpSocket) {
        for peer in &self.to {
            // A datagram that cannot be sent counts as lost; later ones repeat its content.
            let _ = socket.send_to(&self.buf, peer).await;
        }
    }
}
