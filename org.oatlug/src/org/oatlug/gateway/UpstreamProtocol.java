// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.http.HttpClientResponse;

/** The wire form of requests to upstreams and of their answers. Implementations are stateless. */
public interface UpstreamProtocol {

  /** Adds to the headers of a request what the system says with it. */
  void addTerms(MultiMap headers, AttemptTerms terms);

  /** Reads the head of an answer. */
  AnswerHead read(HttpClientResponse response);

  /** Returns the headers of an answer that go on to the caller. */
  MultiMap passedBack(HttpClientResponse response);
}
