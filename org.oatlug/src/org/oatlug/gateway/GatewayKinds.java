// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

/** The kinds of objects that routed services read from the store. */
public final class GatewayKinds {
  /** The routing configuration, one object. */
  public static final String ROUTING = "routing";

  /** The upstreams, an object each, named by themselves at each start. */
  public static final String UPSTREAM = "upstream";

  /** The roll-outs, an object a service. */
  public static final String ROLLOUT = "rollout";

  /**
   * The availability zones whose upstreams shall get nothing, an object each, named by the zone.
   */
  public static final String EVACUATION = "evacuation";

  private GatewayKinds() {}
}
