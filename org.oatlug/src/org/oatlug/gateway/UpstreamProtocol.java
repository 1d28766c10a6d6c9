// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;

/** Encodes requests to upstreams and decodes their responses. Implementations are stateless. */
public interface UpstreamProtocol {

  /** Adds the metadata of an attempt to the headers of a request. */
  void addMetadata(MultiMap headers, AttemptMetadata metadata);

  /** Decodes the head of a response. */
  ResponseHead read(HttpClientResponse response);

  /** Returns the headers of a response to forward to the caller. */
  MultiMap responseHeaders(HttpClientResponse response);
}
