// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

import io.vertx.core.Vertx;
import org.oatlug.platform.Platform;

/**
 * Translates between the wire forms of a deployment and the types of this package.
 *
 * <p>Loaded by {@link java.util.ServiceLoader}. Stateless, used from one event loop.
 */
public interface DeploymentAdapter {

  /** Returns the protocol between callers and the system. */
  CallerProtocol callers();

  /** Returns the protocol between the system and upstreams. */
  UpstreamProtocol upstreams();

  /** Returns the store of the deployment, whose objects have the kinds of {@link GatewayKinds}. */
  Platform platform(Vertx vertx, GatewaySettings settings);
}
