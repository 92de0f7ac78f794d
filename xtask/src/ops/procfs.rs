//! Reads the kernel's counters of processes and of the loopback interface.

use std::fs;
use std::time::Duration;

/// Duration of the kernel's clock tick: `getconf CLK_TCK` is 100 on Linux.
const TICK: Duration = Duration::from_millis(10);

/// Returns the processor time that a process has used, or zero if it cannot be read.
pub fn cpu_time(id: u32) -> Duration {
    let stat = fs::read_to_string(format!("/proc/{id}/stat")).unwrap_or_default();
    let after_name = stat.rsplit(')').next().unwrap_or_default();
    let fields: Vec<&str> = after_name.split_whitespace().collect();
    const USER_TIME: usize = 11;
    const SYSTEM_TIME: usize = 12;
    let ticks = |field: usize| {
        fields
            .get(field)
            .and_then(|f| f.parse::<u32>().ok())
            .unwrap_or(0)
    };
    TICK * (ticks(USER_TIME) + ticks(SYSTEM_TIME))
}

/// Returns the resident memory of a process in bytes, or 0 if it cannot be read.
pub fn memory(id: u32) -> u64 {
    let status = fs::read_to_string(format!("/proc/{id}/status")).unwrap_or_default();
    let line = status.lines().find_map(|line| line.strip_prefix("VmRSS:"));
    let kib = line.and_then(|line| line.trim().strip_suffix(" kB")?.trim().parse::<u64>().ok());
    kib.unwrap_or(0) * 1_024
}

/// Returns the bytes sent over the loopback interface since the machine started.
pub fn loopback_bytes() -> u64 {
    let table = fs::read_to_string("/proc/net/dev").unwrap_or_default();
    let line = table
        .lines()
        .find_map(|line| line.trim().strip_prefix("lo:"));
    const SENT: usize = 8;
    let sent = line.and_then(|line| line.split_whitespace().nth(SENT)?.parse().ok());
    sent.unwrap_or(0)
}
