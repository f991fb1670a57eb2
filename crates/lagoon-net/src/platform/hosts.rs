//! The platform's list of hosts.

use lagoonline::id;
use lagoonline::port::hosts;
use lagoonline::port::table;
use ntex::http;
use serde::Deserialize;

use super::client;

#[derive(Deserialize)]
struct Line {
    name: String,
    zone: String,
    #[serde(default)]
    incarnation: u64,
    state: String,
}

#[derive(Deserialize)]
struct List {
    hosts: Vec<Line>,
}

impl From<Line> for hosts::Entry {
    fn from(line: Line) -> Self {
        let leaving = line.state == "leaving";
        hosts::Entry {
            name: line.name,
            zone: id::Zone::from(line.zone),
            incarnation: id::Incarnation(line.incarnation),
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
        let list: List = self.parse(step, &response.body)?;
        Ok(list.hosts.into_iter().map(hosts::Entry::from).collect())
    }
}
