// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.standin;

import io.vertx.core.json.JsonObject;
import io.vertx.ext.web.Router;
import io.vertx.ext.web.handler.BodyHandler;
import java.util.HashMap;
import java.util.Map;

/**
 * Fault switches of a stand-in, set by {@code PUT /faults} with a JSON object of switch names and
 * numbers. A number is how many more times the fault is injected; -1 means always. Used from one
 * event loop.
 */
public final class Faults {
  private final Map<String, Integer> switches = new HashMap<>();

  /** Adds the route that replaces all switches. */
  public void addTo(Router router) {
    router
        .put("/faults")
        .handler(BodyHandler.create(false))
        .handler(
            context -> {
              JsonObject requested = context.body().asJsonObject();
              switches.clear();
              requested.forEach(
                  entry -> switches.put(entry.getKey(), ((Number) entry.getValue()).intValue()));
              context.response().end("{}");
            });
  }

  /** Returns true if the fault is to be injected now, and decrements its remaining count. */
  public boolean triggers(String name) {
    int remaining = switches.getOrDefault(name, 0);
    if (remaining > 0) {
      switches.put(name, remaining - 1);
    }
    return remaining != 0;
  }

  /** Returns the number of a switch, or 0 if it is not set. */
  public int value(String name) {
    return switches.getOrDefault(name, 0);
  }
}
