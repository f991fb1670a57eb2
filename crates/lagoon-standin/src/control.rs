//! Control address for the fault switches and records of all stand-ins in a process.
//!
//! It is reachable also while a stand-in itself is down.
//!
//! `POST /NAME/faults`, `GET /NAME/faults`, `GET /NAME/record` and `POST /NAME/leave` work as at
//! the stand-in's own port. NAME is the name in its settings, or `platform`.

use std::collections;

use ntex::http;

use crate::server;
use crate::transport;

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

    /// Resolves the path `NAME/CALL` to a stand-in and the path of the call there.
    fn resolve(&self, path: &str) -> Option<(server::Node, http::uri::Uri)> {
        let (name, call) = path.split_once('/')?;
        let is_known = matches!(call, "faults" | "record" | "leave");
        let uri = format!("/{call}").parse().ok().filter(|_| is_known)?;
        Some((self.nodes.get(name)?.clone(), uri))
    }

    pub(crate) async fn handle(&self, mut request: http::Request) -> http::Response {
        let path = request.path().trim_start_matches('/').to_owned();
        let Some((node, uri)) = self.resolve(&path) else {
            transport::discard(&mut request).await;
            return transport::refuse(404, "unknown_call");
        };
        request.head_mut().uri = uri;
        // Boxed because `Node::handle` may call this function: an async recursion.
        Box::pin(node.handle(request)).await
    }
}
