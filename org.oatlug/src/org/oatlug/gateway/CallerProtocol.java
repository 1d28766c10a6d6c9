// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import org.oatlug.errors.RequestInvalidException;

/** Decodes the wire form of callers' requests. Implementations are stateless. */
public interface CallerProtocol {

  /**
   * Decodes the head of a request.
   *
   * @throws RequestInvalidException if it violates the protocol
   */
  RequestHead read(HttpServerRequest request) throws RequestInvalidException;

  /** Returns the headers to forward to an upstream, without those that the system itself sets. */
  MultiMap forwardedHeaders(HttpServerRequest request);
}
