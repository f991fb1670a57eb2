//! The platform's list of hosts, entries of which may be out of date.

use lagoonline::id;
use lagoonline::port::hosts;
use lagoonline::port::table;
use ntex::http;
use serde::Deserialize;

use super::client;

#[derive(Deserialize)]
struct Entry {
    name: String,
    zone: String,
    #[serde(default)]
    incarnation: u64,
    state: String,
}

#[derive(Deserialize)]
struct HostList {
    hosts: Vec<Entry>,
}

impl From<Entry> for hosts::Entry {
    fn from(entry: Entry) -> Self {
        let leaving = entry.state == "leaving";
        hosts::Entry {
            name: entry.name,
            zone: id::Zone::from(entry.zone),
            incarnation: id::Incarnation(entry.incarnation),
            state: if leaving { hosts::State::Leaving } else { hosts::State::Live },
        }
    }
}

impl hosts::Hosts for client::Client {
    async fn list(&self) -> Result<Vec<hosts::Entry>, table::Error> {
        let step = "list hosts";
        let call = client::Call {
            step,
            kind: client::Kind::Read,
            method: http::Method::GET,
            path: "/hosts".to_owned(),
            query: &[],
            body: None,
        };
        let response = self.call(call).await?;
        if response.status != http::StatusCode::OK {
            return Err(self.refused(step, response.status));
        }
        let list: HostList = self.parse(step, &response.body)?;
        Ok(list.hosts.into_iter().map(hosts::Entry::from).collect())
    }
}
