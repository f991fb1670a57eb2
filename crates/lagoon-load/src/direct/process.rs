//! CPU time and memory of a process, as counted by the kernel.

use std::fs;
use std::io;
use std::path;
use std::time;

/// CPU time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// CPU time of all threads that have not ended.
    pub cpu_time: time::Duration,
    /// Current resident memory, in KB.
    pub resident_kb: u64,
    /// Peak resident memory, in KB.
    pub peak_resident_kb: u64,
}

/// Reads the usage of a process.
///
/// # Errors
///
/// The process does not exist, or its files in `/proc` cannot be read.
///
/// ```
/// let usage = lagoon_load::direct::process::read(std::process::id()).unwrap();
/// assert!(usage.resident_kb > 0 && usage.peak_resident_kb >= usage.resident_kb);
/// ```
pub fn read(id: u32) -> io::Result<Usage> {
    let folder = path::PathBuf::from(format!("/proc/{id}"));
    let mut nanoseconds = 0;
    for task in fs::read_dir(folder.join("task"))? {
        // A thread may end after the directory was listed.
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else { continue };
        nanoseconds += text.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    }
    let status = fs::read_to_string(folder.join("status"))?;
    Ok(Usage {
        cpu_time: time::Duration::from_nanos(nanoseconds),
        resident_kb: field(&status, "VmRSS:"),
        peak_resident_kb: field(&status, "VmHWM:"),
    })
}

/// Returns the value of a numeric field of `/proc/PID/status`, or 0 if it is missing.
fn field(status: &str, name: &str) -> u64 {
    let value = status.lines().find_map(|line| line.strip_prefix(name));
    value.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
