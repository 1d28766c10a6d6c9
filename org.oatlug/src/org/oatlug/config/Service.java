// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;

/**
 * The routes of an application of plain services. Immutable.
 *
 * @param routes the routes; the first one with a matching method and prefix applies
 */
public record Service(List<Route> routes) {
  /**
   * A route of a service.
   *
   * @param method the HTTP method
   * @param prefix the prefix of the path
   * @param repeatable true if a request may run more than once
   */
  public record Route(String method, String prefix, boolean repeatable) {}
}
