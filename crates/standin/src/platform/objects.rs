//! In-memory object store with S3 path-style requests.

use std::collections::HashMap;

use actix_http::body::BoxBody;
use actix_http::{Method, Response, StatusCode};
use bytes::Bytes;

/// Objects by path.
#[derive(Debug, Default)]
pub(crate) struct ObjectStore {
    objects: HashMap<String, Bytes>,
}

impl ObjectStore {
    /// Handles a request for an object.
    pub(crate) fn handle(&mut self, method: &Method, path: &str, body: Bytes) -> Response<BoxBody> {
        match *method {
            Method::PUT => {
                self.objects.insert(path.to_owned(), body);
                Response::build(StatusCode::OK).finish().map_into_boxed_body()
            }
            Method::GET => match self.objects.get(path) {
                Some(content) => Response::ok().set_body(content.clone()).map_into_boxed_body(),
                None => Response::not_found(),
            },
            _ => Response::build(StatusCode::METHOD_NOT_ALLOWED).finish().map_into_boxed_body(),
        }
    }
}
