//! Size of a fleet and the settings of its processes.

/// Number of processes of each kind, and their settings.
#[derive(Debug, Clone)]
pub struct FleetShape {
    /// Availability zones.
    pub zones: Vec<&'static str>,
    /// Entry boxes per zone.
    pub boxes: usize,
    /// Engines per zone.
    pub engines: usize,
    /// Total number of plain services, spread over the zones.
    pub services: usize,
    /// Total number of cache stores, spread over the zones.
    pub stores: usize,
    /// Names of the organisations; the key of each is `key-NAME`.
    pub organisations: Vec<&'static str>,
    /// Additional arguments of each engine.
    pub engine_args: Vec<String>,
    /// Additional arguments of each cache store.
    pub store_args: Vec<String>,
    /// Rate of each cache store's link in the box list, in bytes per second.
    pub link_rate: u64,
    /// Settings of the entries, as `SECTION.KEY=VALUE`.
    pub entry_settings: Vec<&'static str>,
    /// Settings of the keepers, as `SECTION.KEY=VALUE`.
    pub keeper_settings: Vec<&'static str>,
    /// Whether each target is reached through a fault proxy.
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
