//! Regions that a request may reach: where its prompt and what is kept of it must stay.

use derive_more::{Display, Error};
use sillpin_core::{RegionId, ZoneId};
use std::collections::HashMap;
use std::str::FromStr;

/// A zone and the region that it lies in, as `ZONE/REGION` in the settings.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ZoneRegion {
    /// The zone.
    pub zone: ZoneId,
    /// Its region.
    pub region: RegionId,
}

/// A text that does not name a zone and a region.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("expected ZONE/REGION, got {text:?}")]
pub struct NoZoneRegion {
    text: String,
}

impl FromStr for ZoneRegion {
    type Err = NoZoneRegion;

    fn from_str(s: &str) -> Result<Self, NoZoneRegion> {
        let fault = || NoZoneRegion { text: s.to_owned() };
        let (zone, region) = s.split_once('/').ok_or_else(fault)?;
        Ok(Self {
            zone: zone.parse().map_err(|_| fault())?,
            region: region.parse().map_err(|_| fault())?,
        })
    }
}

/// Which region each zone lies in.
pub type ZoneRegions = HashMap<ZoneId, RegionId>;

/// Where a request may go. What its route and its organisation say both binds; an empty list allows all regions.
#[derive(Debug, Clone, Copy)]
pub struct Residency<'a> {
    /// Regions of the route.
    pub route: &'a [RegionId],
    /// Regions of the organisation.
    pub organisation: &'a [RegionId],
    /// Which region each zone lies in.
    pub regions: &'a ZoneRegions,
}

impl Residency<'_> {
    /// Whether a zone lies where the request may go. A zone whose region is not known does not, if any region is named.
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
