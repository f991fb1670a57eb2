//! Scrapes entry hosts and saves what they say.

use std::fs;
use std::io;
use std::path;
use std::time;

use ntex::client;

/// Why a scrape failed.
#[derive(Debug, thiserror::Error)]
pub enum Error {
    /// The host did not answer with metrics.
    #[error("scraping {host}: {why}")]
    Scrape {
        /// The entry host.
        host: String,
        /// What was seen.
        why: String,
    },
    /// The text could not be saved.
    #[error("saving {}: {error}", path.display())]
    Save {
        /// Where.
        path: path::PathBuf,
        /// Why.
        error: io::Error,
    },
}

/// Longest answer, in bytes.
const ANSWER_LIMIT: usize = 16 << 20;

/// Scrapes `http://ADDRESS/metrics` and saves the text below `dir` for [`crate::store`].
///
/// # Errors
///
/// The host did not answer, or the text could not be saved.
pub async fn save(dir: &path::Path, host: &str, address: &str) -> Result<(), Error> {
    let fail = |why: String| Error::Scrape { host: host.to_owned(), why };
    let client = client::Client::new().await;
    let request = client.get(format!("http://{address}/metrics"));
    let answer = request.send().await.map_err(|error| fail(error.to_string()))?;
    if !answer.status().is_success() {
        return Err(fail(format!("status {}", answer.status())));
    }
    let body = answer.body().limit(ANSWER_LIMIT).await.map_err(|error| fail(error.to_string()))?;
    let second = time::SystemTime::now().duration_since(time::UNIX_EPOCH).unwrap_or_default();
    let folder = dir.join(host);
    let path = folder.join(format!("{}.prom", second.as_secs()));
    let write = || fs::create_dir_all(&folder).and_then(|()| fs::write(&path, &body));
    write().map_err(|error| Error::Save { path: path.clone(), error })
}
