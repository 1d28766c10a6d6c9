// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.HashMap;
import java.util.Map;

/**
 * The fault switches of a stand-in, set by {@code PUT /faults} with a JSON object of switch names
 * and numbers. A number counts how often the fault still strikes; -1 means always. Used from one
 * event loop.
 */
public final class Faults {
  private final Map<String, Integer> switches = new HashMap<>();

  /** Adds the route that sets the switches. */
  public void addTo(Router router) {
    router
        .put("/faults")
        .handler(BodyHandler.create(false))
        .handler(
            context -> {
              JsonObject wanted = context.body().asJsonObject();
              switches.clear();
              wanted.forEach(
                  entry -> switches.put(entry.getKey(), ((Number) entry.getValue()).intValue()));
              context.response().end("{}");
            });
  }

  /** Returns whether the fault strikes now, and counts it. */
  public boolean strikes(String name) {
    int left = switches.getOrDefault(name, 0);
    if (left > 0) {
      switches.put(name, left - 1);
    }
    return left != 0;
  }

  /** Returns the number of a switch, 0 if it is not set. */
  public int value(String name) {
    return switches.getOrDefault(name, 0);
  }
}
