// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.gateway;

/** Kinds of the stored objects that configure routed services. */
public final class GatewayKinds {
  /** The routing configuration, a single object. */
  public static final String ROUTING = "routing";

  /** The upstreams, one object for each, under a name that the upstream chooses at each start. */
  public static final String UPSTREAM = "upstream";

  /** The roll-outs, one object per service. */
  public static final String ROLLOUT = "rollout";

  /**
   * The evacuated availability zones, whose upstreams receive no requests; one object per zone,
   * named like it.
   */
  public static final String EVACUATION = "evacuation";

  private GatewayKinds() {}
}
