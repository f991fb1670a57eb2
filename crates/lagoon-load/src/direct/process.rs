//! What a process has spent, by the kernel's count.

use std::fs;
use std::io;
use std::path;
use std::time;

/// Processor time and memory of a process.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Usage {
    /// Time on a processor, over all threads that still live.
    pub processor: time::Duration,
    /// Resident memory, in KB.
    pub resident_kb: u64,
    /// Its highest value so far.
    pub highest_kb: u64,
}

/// Reads the usage of a process.
///
/// # Errors
///
/// There is no such process, or its figures cannot be read.
///
/// ```
/// let usage = lagoon_load::direct::process::read(std::process::id()).unwrap();
/// assert!(usage.resident_kb > 0 && usage.highest_kb >= usage.resident_kb);
/// ```
pub fn read(id: u32) -> io::Result<Usage> {
    let folder = path::PathBuf::from(format!("/proc/{id}"));
    let mut nanoseconds = 0;
    for task in fs::read_dir(folder.join("task"))? {
        // A thread may end between the listing and the reading.
        let Ok(text) = fs::read_to_string(task?.path().join("schedstat")) else { continue };
        nanoseconds += text.split(' ').next().and_then(|text| text.parse().ok()).unwrap_or(0);
    }
    let status = fs::read_to_string(folder.join("status"))?;
    Ok(Usage {
        processor: time::Duration::from_nanos(nanoseconds),
        resident_kb: field(&status, "VmRSS:"),
        highest_kb: field(&status, "VmHWM:"),
    })
}

fn field(status: &str, name: &str) -> u64 {
    let value = status.lines().find_map(|line| line.strip_prefix(name));
    value.and_then(|text| text.split_whitespace().next()?.parse().ok()).unwrap_or(0)
}
