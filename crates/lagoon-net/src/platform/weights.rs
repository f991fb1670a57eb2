//! The rate-limited weight store.

use lagoonline::port::table;
use ntex::http;
use ntex::util;
use serde::Serialize;

use super::client;

#[derive(Serialize)]
struct Take<'a> {
    bytes: u64,
    holder: &'a str,
}

impl client::Client {
    /// Takes `bytes` of the weight store's rate; `Refused` when it has none now.
    ///
    /// # Errors
    ///
    /// `Refused`, or `Unknown`: then the bytes may be taken, which only costs time.
    pub async fn take_weights(&self, bytes: u64, holder: &str) -> Result<(), table::Error> {
        let step = "take weights";
        let body = serde_json::to_vec(&Take { bytes, holder });
        let body = body.map_err(|error| self.refused(step, error))?;
        let call = client::Call {
            step,
            kind: client::Kind::Write,
            method: http::Method::POST,
            path: "/weights/take".to_owned(),
            query: &[],
            body: Some(util::Bytes::from(body)),
        };
        let answer = self.call(call).await?;
        if answer.status != http::StatusCode::OK {
            return Err(self.refused(step, answer.status));
        }
        Ok(())
    }
}
