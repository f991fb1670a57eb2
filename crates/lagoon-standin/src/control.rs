//! One address for the switches and records of all stand-ins of a process, also of dead ones.
//!
//! `POST /NAME/faults`, `GET /NAME/faults`, `GET /NAME/record` and `POST /NAME/leave`, as at the
//! stand-in's own port, where NAME is that of its settings, or `platform`.

use std::collections;

use ntex::http;

use crate::port;
use crate::server;

/// Stand-ins by name.
#[derive(Clone, Debug, Default)]
pub struct Control {
    nodes: collections::HashMap<String, server::Node>,
}

impl Control {
    pub(crate) fn new<I>(nodes: I) -> Self
    where
        I: IntoIterator<Item = (String, server::Node)>,
    {
        Control { nodes: nodes.into_iter().collect() }
    }

    /// The node that `NAME/CALL` means, and the call's path there.
    fn find(&self, path: &str) -> Option<(server::Node, http::uri::Uri)> {
        let (name, call) = path.split_once('/')?;
        let known = matches!(call, "faults" | "record" | "leave");
        let uri = format!("/{call}").parse().ok().filter(|_| known)?;
        Some((self.nodes.get(name)?.clone(), uri))
    }

    pub(crate) async fn handle(&self, mut request: http::Request) -> http::Response {
        let path = request.path().trim_start_matches('/').to_owned();
        let Some((node, uri)) = self.find(&path) else {
            port::discard(&mut request).await;
            return port::refuse(404, "unknown_call");
        };
        request.head_mut().uri = uri;
        // Boxed because a node's handling has this one's as a part.
        Box::pin(node.handle(request)).await
    }
}
