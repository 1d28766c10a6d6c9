// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.MultiMap;
import io.vertx.core.buffer.Buffer;
import io.vertx.core.http.HttpMethod;
import java.time.Instant;
import java.util.Optional;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.crash.RequestFingerprint;

/**
 * A request that was admitted, with its whole body. Immutable.
 *
 * @param head the head
 * @param route its route
 * @param service the service of the route that answers it
 * @param workspace the workspace of its key, empty on a route open to all
 * @param method the HTTP method
 * @param uri path and query as they came
 * @param headers the headers that go on to an upstream
 * @param body the body, empty for none
 * @param hasBody whether it has a body at all
 * @param arrived when its head arrived
 * @param deadline when it has to have its final answer
 */
record Incoming(
    RequestHead head,
    Route route,
    String service,
    Optional<WorkspaceKeys> workspace,
    HttpMethod method,
    String uri,
    MultiMap headers,
    Buffer body,
    boolean hasBody,
    Instant arrived,
    Instant deadline) {
  /** The longest subject, in characters. */
  private static final int MOST_SUBJECT_LENGTH = 160;

  /** Returns what this request has in common with those that its caller sends again. */
  String fingerprint() {
    return RequestFingerprint.of(head.host(), uri, workspaceName(), body.getBytes());
  }

  /** Returns whose request it is and where it goes, for operators. */
  String subject() {
    String text = workspaceName() + " " + head.host() + head.path();
    return text.substring(0, Math.min(text.length(), MOST_SUBJECT_LENGTH));
  }

  private String workspaceName() {
    return workspace.map(WorkspaceKeys::name).orElse("");
  }
}
