//! How many callers' connections a host keeps open.
//!
//! Load pattern: thousands of clients connect and send nothing. Without a bound they take all
//! descriptors, and the host reaches neither upstreams nor the platform for those that do send. A host
//! that takes no more connections while it says that it is ready keeps callers waiting in its backlog.
//! So at the bound a new connection takes the place of the one that has been idle for the longest time.

/// The bounds.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Settings {
    /// Descriptors of the process that are kept for files.
    pub file_descriptors: u64,
    /// Share of the rest for connections of callers. The others go to upstreams, the platform and
    /// other hosts.
    pub caller_share: f64,
    /// Connections for readiness checks, metrics and operators.
    pub status_connections: usize,
}

impl Default for Settings {
    fn default() -> Self {
        Settings { file_descriptors: 200, caller_share: 0.75, status_connections: 128 }
    }
}

impl Settings {
    /// Returns how many connections of callers a process with `descriptors` descriptors keeps open;
    /// at least one.
    ///
    /// ```
    /// use lagoonline::load::connections;
    /// let settings = connections::Settings::default();
    /// assert_eq!(settings.max_callers(4_100), 2_925);
    /// assert_eq!(settings.max_callers(100), 1);
    /// ```
    pub fn max_callers(&self, descriptors: u64) -> usize {
        let rest = descriptors.saturating_sub(self.file_descriptors) as f64;
        ((rest * self.caller_share) as usize).max(1)
    }
}
