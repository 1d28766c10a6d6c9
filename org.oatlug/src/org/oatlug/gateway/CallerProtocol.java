// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpServerRequest;
import org.oatlug.errors.RequestInvalidException;

/** The wire form of callers' requests. Implementations are stateless. */
public interface CallerProtocol {

  /**
   * Reads the head of a request.
   *
   * @throws RequestInvalidException if it breaks the protocol
   */
  RequestHead read(HttpServerRequest request) throws RequestInvalidException;

  /** Returns the headers that go on to an upstream: none that are the system's to set. */
  MultiMap passedOn(HttpServerRequest request);
}
