//! Regions in which a request's prompt may be processed and its KV cache stored.

use derive_more::{Display, Error};
use sillpin_core::{RegionId, ZoneId};
use std::collections::HashMap;
use std::str::FromStr;

/// A zone and its region, written as `ZONE/REGION` in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRegion {
    /// Name of the zone.
    pub zone: ZoneId,
    /// Region that the zone is in.
    pub region: RegionId,
}

/// Error for a text that is not of the form `ZONE/REGION`.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("expected ZONE/REGION, got {text:?}")]
pub struct InvalidZoneRegion {
    text: String,
}

impl FromStr for ZoneRegion {
    type Err = InvalidZoneRegion;

    fn from_str(s: &str) -> Result<Self, InvalidZoneRegion> {
        let error = || InvalidZoneRegion { text: s.to_owned() };
        let (zone, region) = s.split_once('/').ok_or_else(error)?;
        Ok(Self {
            zone: zone.parse().map_err(|_| error())?,
            region: region.parse().map_err(|_| error())?,
        })
    }
}

/// Region of each zone.
pub type ZoneRegions = HashMap<ZoneId, RegionId>;

/// Regions that a request may reach. The lists of its route and its organisation both apply; an
/// empty list allows all regions.
#[derive(Debug, Clone, Copy)]
pub struct Residency<'a> {
    /// Regions that the route allows.
    pub route: &'a [RegionId],
    /// Regions that the organisation allows.
    pub organisation: &'a [RegionId],
    /// Region of each zone.
    pub regions: &'a ZoneRegions,
}

impl Residency<'_> {
    /// Returns whether the request may reach a zone. A zone without a known region is allowed only
    /// if neither list names a region.
    pub fn allows(&self, zone: &ZoneId) -> bool {
        if self.route.is_empty() && self.organisation.is_empty() {
            return true;
        }
        let Some(region) = self.regions.get(zone) else {
            return false;
        };
        let permits = |regions: &[RegionId]| regions.is_empty() || regions.contains(region);
        permits(self.route) && permits(self.organisation)
    }
}
