// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.time.InstantSource;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.oatlug.gateway.DeploymentAdapter;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.engine.EngineSpeeds;
import org.oatlug.internal.engine.OpenReading;
import org.oatlug.internal.limit.AdvertisedLimits;
import org.oatlug.internal.limit.RateSenders;
import org.oatlug.internal.limit.TurnLine;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.routing.ZoneReach;

/**
 * The parts of one instance that requests use. Immutable; its parts belong to one event loop.
 *
 * @param vertx the runtime
 * @param settings the settings
 * @param clock the clock
 * @param adapter the wire forms of the deployment
 * @param client opens connections to upstreams
 * @param tables the tables
 * @param speeds how fast engines read
 * @param reading which prompts wait at upstreams
 * @param zones which availability zones are reached
 * @param limits the rate limits that upstreams advertise
 * @param rates the rates of all instances together at upstreams that are cold or limited
 * @param crashes keeps requests under which upstreams end from ending more
 * @param selection chooses upstreams
 * @param stages chooses models of cascades
 * @param versions chooses versions while a roll-out runs
 * @param budgets the retry budgets
 * @param deadlines the timers of the deadlines of open requests
 * @param turns the requests that wait until they begin
 * @param spread spreads the moments at which refused callers may come back
 * @param times how long answers usually take
 * @param held the bytes of bodies that requests hold
 * @param logLimit bounds the lines about requests
 * @param meters the counters
 */
public record GatewayParts(
    Vertx vertx,
    GatewaySettings settings,
    InstantSource clock,
    DeploymentAdapter adapter,
    HttpClient client,
    GatewayTables tables,
    EngineSpeeds speeds,
    OpenReading reading,
    ZoneReach zones,
    AdvertisedLimits limits,
    RateGate rates,
    CrashGuard crashes,
    UpstreamSelection selection,
    StageRule stages,
    VersionRule versions,
    RetryBudgets budgets,
    OpenDeadlines deadlines,
    TurnLine<Exchange> turns,
    ReturnSpread spread,
    AnswerTimes times,
    HeldBytes held,
    LogLimit logLimit,
    Meters meters) {
  /** Takes in that the process stood still, maybe for longer than its timers know. */
  public void stoodStill() {
    meters.count("pause");
    deadlines.setAnew();
  }

  /** Returns which requests upstreams ended under, as all instances together have seen it. */
  public CrashLedger crashLedger() {
    return crashes.ledger();
  }

  /**
   * Returns the parts of an instance, made from what they are about.
   *
   * @param instances how many instances are believed to live, this one included
   */
  public static GatewayParts create(
      Vertx vertx,
      GatewaySettings settings,
      InstantSource clock,
      DeploymentAdapter adapter,
      GatewayTables tables,
      VersionRule versions,
      RateSenders senders,
      IntSupplier instances,
      RandomGenerator random,
      Meters meters) {
    AnswerTimes times = AnswerTimes.create(clock);
    EngineSpeeds speeds = EngineSpeeds.create();
    OpenReading reading = OpenReading.create();
    ZoneReach zones = ZoneReach.create();
    AdvertisedLimits limits = AdvertisedLimits.create(clock);
    RateGate rates = RateGate.create(tables, settings.bounds(), limits, senders);
    CrashGuard crashes = CrashGuard.create(vertx, clock, meters);
    return new GatewayParts(
        vertx,
        settings,
        clock,
        adapter,
        UpstreamAttempt.newClient(vertx),
        tables,
        speeds,
        reading,
        zones,
        limits,
        rates,
        crashes,
        UpstreamSelection.create(
            settings.zone(), tables, speeds, reading, zones, rates, crashes::isSetApart, random),
        ExpectedWorth.create(tables, times),
        versions,
        RetryBudgets.within(settings.bounds(), instances),
        OpenDeadlines.create(vertx, clock),
        TurnLine.create(clock, task -> vertx.runOnContext(unused -> task.run()), Exchange::begin),
        ReturnSpread.by(random, instances),
        times,
        HeldBytes.create(),
        LogLimit.create(clock, meters),
        meters);
  }
}
