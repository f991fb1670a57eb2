//! The object store of the platform.

use bytes::Bytes;
use lagoonline::port::objects;
use lagoonline::port::table;
use ntex::http;
use ntex::util;

use super::client;

impl objects::Objects for client::Client {
    async fn put(&self, key: &str, body: Bytes) -> Result<(), table::Error> {
        let step = "put object";
        let call = client::Call {
            step,
            kind: client::Kind::Write,
            method: http::Method::PUT,
            path: format!("/objects/{key}"),
            query: &[],
            body: Some(util::Bytes::copy_from_slice(&body)),
        };
        let response = self.call(call).await?;
        if response.status != http::StatusCode::OK {
            return Err(self.refused(step, response.status));
        }
        Ok(())
    }

    async fn get(&self, key: &str) -> Result<Option<Bytes>, table::Error> {
        let call = client::Call {
            step: "get object",
            kind: client::Kind::Read,
            method: http::Method::GET,
            path: format!("/objects/{key}"),
            query: &[],
            body: None,
        };
        let response = self.call(call).await?;
        let found = response.status == http::StatusCode::OK;
        Ok(found.then(|| Bytes::copy_from_slice(&response.body)))
    }
}
