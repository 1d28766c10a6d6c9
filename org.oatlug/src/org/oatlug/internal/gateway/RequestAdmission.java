// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.http.HttpServerRequest;
import java.util.Optional;
import org.oatlug.errors.RefusedException;
import org.oatlug.gateway.RequestHead;
import org.oatlug.gateway.Route;
import org.oatlug.gateway.WorkspaceKeys;
import org.oatlug.internal.forward.ForwardedRequest;

/** Admits or refuses the requests that arrive on one port. Used from one event loop. */
interface RequestAdmission {
  /**
   * An admitted request.
   *
   * @param route its route
   * @param workspace the workspace that sent it, empty if it is unknown and not required
   * @param forwarded what the instance that forwards it says, empty for a caller's request
   */
  record Admitted(
      Route route, Optional<WorkspaceKeys> workspace, Optional<ForwardedRequest> forwarded) {}

  /** Reads the head of a request, and refuses one that is invalid. */
  RequestHead read(HttpServerRequest request) throws RefusedException;

  /** Admits a request, or refuses it. */
  Admitted admit(HttpServerRequest request, RequestHead head) throws RefusedException;
}
