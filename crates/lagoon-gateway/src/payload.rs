//! Bodies of requests, in segments of equal size.
//!
//! A body that grows as one piece leaves gaps of all sizes behind, which the allocator keeps, so that
//! many bodies at once take several times their bytes. Segments are reused by whatever body comes next.

use std::convert;
use std::pin;
use std::sync;
use std::task;

use bytes::Bytes;
use hyper::body;

/// The content of a body, which can be sent any number of times.
#[derive(Clone, Debug, Default)]
pub(crate) struct Content {
    segments: sync::Arc<[Bytes]>,
    length: usize,
}

impl Content {
    pub(crate) fn len(&self) -> usize {
        self.length
    }

    pub(crate) fn segments(&self) -> impl Clone + Iterator<Item = &[u8]> {
        self.segments.iter().map(|segment| &segment[..])
    }
}

impl From<Bytes> for Content {
    fn from(bytes: Bytes) -> Content {
        Content { length: bytes.len(), segments: sync::Arc::new([bytes]) }
    }
}

impl FromIterator<Bytes> for Content {
    fn from_iter<Segments>(segments: Segments) -> Content
    where
        Segments: IntoIterator<Item = Bytes>,
    {
        let segments: sync::Arc<[Bytes]> = segments.into_iter().collect();
        Content { length: segments.iter().map(Bytes::len).sum(), segments }
    }
}

/// A body that is sent once.
#[derive(Debug, Default)]
pub(crate) struct Payload {
    content: Content,
    /// Number of segments that were sent.
    sent: usize,
    /// Number of bytes that are left.
    left: usize,
}

impl Payload {
    pub(crate) fn new<Source>(content: Source) -> Payload
    where
        Source: Into<Content>,
    {
        let content = content.into();
        Payload { left: content.length, content, sent: 0 }
    }
}

impl body::Body for Payload {
    type Data = Bytes;
    type Error = convert::Infallible;

    fn poll_frame(
        mut self: pin::Pin<&mut Self>,
        _context: &mut task::Context<'_>,
    ) -> task::Poll<Option<Result<body::Frame<Bytes>, convert::Infallible>>> {
        if self.is_end_stream() {
            return task::Poll::Ready(None);
        }
        let segment = self.content.segments.get(self.sent).cloned();
        self.sent += 1;
        self.left -= segment.as_ref().map_or(0, Bytes::len);
        task::Poll::Ready(segment.map(|segment| Ok(body::Frame::data(segment))))
    }

    fn is_end_stream(&self) -> bool {
        self.left == 0
    }

    fn size_hint(&self) -> body::SizeHint {
        body::SizeHint::with_exact(self.left as u64)
    }
}
