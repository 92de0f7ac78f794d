//! A response body that keeps a guard until it has been sent or given up.

use crate::body::Body;
use bytes::Bytes;
use hyper::body::{Body as HttpBody, Frame, SizeHint};
use std::io;
use std::pin::Pin;
use std::task::{Context, Poll};

/// The body; its guard is dropped with it.
pub(crate) struct GuardedBody<G> {
    body: Body,
    _guard: G,
}

impl<G> GuardedBody<G> {
    pub(crate) fn new(body: Body, guard: G) -> Self {
        Self {
            body,
            _guard: guard,
        }
    }
}

impl<G: Unpin> HttpBody for GuardedBody<G> {
    type Data = Bytes;
    type Error = io::Error;

    fn poll_frame(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
    ) -> Poll<Option<io::Result<Frame<Bytes>>>> {
        Pin::new(&mut self.get_mut().body).poll_frame(cx)
    }

    fn is_end_stream(&self) -> bool {
        self.body.is_end_stream()
    }

    fn size_hint(&self) -> SizeHint {
        self.body.size_hint()
    }
}
