//! How large a fleet is, and with which settings its processes start.

/// How many of each kind, and how they are set up.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// Availability zones.
    pub zones: Vec<&'static str>,
    /// Entry boxes a zone.
    pub boxes: usize,
    /// Engines a zone.
    pub engines: usize,
    /// Plain services in all, spread over the zones.
    pub services: usize,
    /// Stores in all, spread over the zones.
    pub stores: usize,
    /// Organisations; each one's key is `key-NAME`.
    pub organisations: Vec<&'static str>,
    /// Further arguments of each engine.
    pub engine_args: Vec<String>,
    /// Further arguments of each store.
    pub store_args: Vec<String>,
    /// Rate of each store's link, in bytes a second, as the box list gives it.
    pub link_rate: u64,
    /// Values of the entries' settings.
    pub entry_settings: Vec<&'static str>,
    /// Values of the keepers' settings.
    pub keeper_settings: Vec<&'static str>,
    /// Whether each target stands behind a fault proxy.
    pub proxies: bool,
}

impl Default for FleetShape {
    fn default() -> Self {
        Self {
            zones: vec!["kariakoo"],
            boxes: 1,
            engines: 2,
            services: 1,
            stores: 1,
            organisations: vec!["riders", "mechanics"],
            engine_args: Vec::new(),
            store_args: Vec::new(),
            link_rate: 50_000_000,
            entry_settings: vec!["entry.drain-lag-ms=200"],
            keeper_settings: vec![
                "keeper.gossip-ms=200",
                "keeper.load-ms=100",
                "keeper.list-ms=200",
            ],
            proxies: false,
        }
    }
}
