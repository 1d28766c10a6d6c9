// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.config;

import java.util.List;

/**
 * The routes of an application of plain services. Immutable.
 *
 * @param routes the routes; the first whose method and prefix match counts
 */
public record Service(List<Route> routes) {
  /**
   * One route.
   *
   * @param method the HTTP method
   * @param prefix the start of the path
   * @param repeatable whether a request may run more than once
   */
  public record Route(String method, String prefix, boolean repeatable) {}
}
