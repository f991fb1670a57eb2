//! Scrapes the metrics of entry hosts and saves them to files.

use std::fs;
use std::io;
use std::path;
use std::time;

use ntex::client;

/// Why a scrape failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host could not be reached, or its response had an error status, was incomplete or was
    /// too large.
    #[error("scraping {host}: {reason}")]
    Scrape {
        /// The entry host.
        host: String,
        /// The error of the HTTP client, or the HTTP status.
        reason: String,
    },
    /// The metrics could not be written to a file.
    #[error("saving {}: {error}", path.display())]
    Save {
        /// The file.
        path: path::PathBuf,
        /// The cause.
        error: io::Error,
    },
}

/// Maximum size of a response body, in bytes.
const MAX_BODY_BYTES: usize = 16 << 20;

/// Scrapes `http://ADDRESS/metrics` and saves the response to `DIR/HOST/SECOND.prom`, from
/// where [`crate::store`] reads it. SECOND is the time of the scrape.
///
/// # Errors
///
/// The scrape failed, or the response could not be written.
pub async fn save(dir: &path::Path, host: &str, address: &str) -> Result<(), Error> {
    let fail = |reason: String| Error::Scrape { host: host.to_owned(), reason };
    let client = client::Client::new().await;
    let request = client.get(format!("http://{address}/metrics"));
    let response = request.send().await.map_err(|error| fail(error.to_string()))?;
    if !response.status().is_success() {
        return Err(fail(format!("status {}", response.status())));
    }
    let body =
        response.body().limit(MAX_BODY_BYTES).await.map_err(|error| fail(error.to_string()))?;
    let since_epoch = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let host_dir = dir.join(host);
    let path = host_dir.join(format!("{}.prom", since_epoch.as_secs()));
    let write = || fs::create_dir_all(&host_dir).and_then(|()| fs::write(&path, &body));
    write().map_err(|error| Error::Save { path: path.clone(), error })
}
