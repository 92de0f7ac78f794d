//! Encodes datagrams, counts them and sends them to several boxes.

use super::datagram::Datagram;
use super::oversize::{self, Parts};
use super::wire::FleetKey;
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

/// A message that is ready to be sent, as one datagram or several.
pub(super) struct EncodedDatagram {
    bufs: Vec<Vec<u8>>,
    to: Vec<SocketAddr>,
}

impl Transmitter<'_> {
    /// Encodes a message for several boxes and counts it as sent. Returns `None` if there are no boxes, or if it can't
    /// be encoded, which is logged.
    pub fn encode(&self, datagram: &Datagram, to: Vec<SocketAddr>) -> Option<EncodedDatagram> {
        if to.is_empty() {
            return None;
        }
        let Parts { bufs, is_truncated } = match oversize::encode(self.fleet_key, datagram) {
            Ok(parts) => parts,
            Err(e) => {
                self.metrics.datagrams(datagram.name(), "too long", 1, 0);
                event!(self.log, events::GOSSIP_FAILED, "why" => e.to_string());
                return None;
            }
        };
        for buf in &bufs {
            self.metrics
                .datagrams(datagram.name(), "sent", to.len(), buf.len());
        }
        if bufs.len() > 1 {
            let what = match is_truncated {
                true => "truncated",
                false => "split",
            };
            self.metrics.datagrams(datagram.name(), what, 1, 0);
        }
        Some(EncodedDatagram { bufs, to })
    }
}

impl EncodedDatagram {
    /// Returns the number of datagrams and their bytes in all.
    pub fn size(&self) -> (usize, usize) {
        let bytes: usize = self.bufs.iter().map(Vec::len).sum();
        (self.to.len() * self.bufs.len(), self.to.len() * bytes)
    }

    /// Sends it to all boxes.
    pub async fn send(&self, socket: &UdpSocket) {
        for peer in &self.to {
            for buf in &self.bufs {
                // A datagram that cannot be sent counts as lost; later ones repeat its content.
                let _ = socket.send_to(buf, peer).await;
            }
        }
    }
}
