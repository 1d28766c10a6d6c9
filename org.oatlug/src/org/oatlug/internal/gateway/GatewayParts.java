// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.time.InstantSource;
import java.util.random.RandomGenerator;
import org.oatlug.gateway.DeploymentAdapter;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.metrics.Meters;

/**
 * The parts of one instance that requests use. Immutable; its parts belong to one event loop.
 *
 * @param vertx the runtime
 * @param settings the settings
 * @param clock the clock
 * @param adapter the wire forms of the deployment
 * @param client opens connections to upstreams
 * @param tables the tables
 * @param selection chooses upstreams
 * @param stages chooses models of cascades
 * @param versions chooses versions while a roll-out runs
 * @param budgets the retry budgets
 * @param meters the counters
 */
public record GatewayParts(
    Vertx vertx,
    GatewaySettings settings,
    InstantSource clock,
    DeploymentAdapter adapter,
    HttpClient client,
    GatewayTables tables,
    UpstreamSelection selection,
    StageRule stages,
    VersionRule versions,
    RetryBudgets budgets,
    Meters meters) {
  /** Answers below this confidence are dropped; the best of the trials in docs/design. */
  private static final int DROP_BELOW = 60;

  /** Returns the parts of an instance, made from what they are about. */
  public static GatewayParts create(
      Vertx vertx,
      GatewaySettings settings,
      InstantSource clock,
      DeploymentAdapter adapter,
      GatewayTables tables,
      VersionRule versions,
      RandomGenerator random,
      Meters meters) {
    return new GatewayParts(
        vertx,
        settings,
        clock,
        adapter,
        UpstreamAttempt.newClient(vertx),
        tables,
        UpstreamSelection.create(settings.zone(), tables, random),
        StageRule.smallestThenLargest(DROP_BELOW),
        versions,
        RetryBudgets.within(settings.bounds()),
        meters);
  }
}
