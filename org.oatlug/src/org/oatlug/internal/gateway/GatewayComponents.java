// Copyright (c) 2026, the oatlug authors
// SPDX-License-Identifier: BSD-3-Clause

package org.oatlug.internal.gateway;

import io.vertx.core.Vertx;
import io.vertx.core.http.HttpClient;
import java.time.Duration;
import java.time.InstantSource;
import java.util.Optional;
import java.util.concurrent.Executor;
import java.util.function.IntSupplier;
import java.util.random.RandomGenerator;
import org.oatlug.gateway.DeploymentAdapter;
import org.oatlug.gateway.GatewaySettings;
import org.oatlug.internal.crash.CrashLedger;
import org.oatlug.internal.engine.PrefillBacklog;
import org.oatlug.internal.engine.PrefillEstimates;
import org.oatlug.internal.engine.PrefillWork;
import org.oatlug.internal.forward.ServicePaths;
import org.oatlug.internal.limit.AdvertisedLimits;
import org.oatlug.internal.limit.BrittleShares;
import org.oatlug.internal.limit.ConcurrencyLimit;
import org.oatlug.internal.limit.DispatchQueue;
import org.oatlug.internal.limit.NewConnectionRelief;
import org.oatlug.internal.limit.RateSenders;
import org.oatlug.internal.limit.WorkspaceShares;
import org.oatlug.internal.metrics.Meters;
import org.oatlug.internal.routing.ZoneReachability;
import org.oatlug.internal.util.ConnectTimes;
import org.oatlug.internal.util.EventLoopDelay;
import org.oatlug.internal.util.NextIteration;
import org.oatlug.internal.util.TimeoutEvidence;

/**
 * Holds the components of one instance that serve requests. Immutable; the components are owned by
 * one event loop.
 *
 * @param vertx the Vert.x runtime
 * @param settings the settings
 * @param clock the clock
 * @param adapter the wire formats of the deployment
 * @param client the HTTP client for upstreams
 * @param tables the state of services, upstreams and roll-outs
 * @param prefillEstimates the estimated prefill times of engines
 * @param prefillBacklog the prompts that wait for prefill at upstreams
 * @param prefillWork the prefill work that requests bring to engines
 * @param workMeter measures the prefill work by service
 * @param reservations the engines that are reserved for deferrable requests
 * @param zones the reachability of availability zones
 * @param paths whether this instance reaches the upstreams of each service
 * @param forwarding forwards requests to instances that reach a service
 * @param limits the rate limits that upstreams advertise
 * @param brittle the rejections per second that brittle upstreams bear
 * @param rates limits the rate of all instances together to cold or rate-limited upstreams
 * @param crashes isolates requests that are suspected of crashing upstreams
 * @param pacing the pace of upstreams
 * @param selection chooses upstreams
 * @param shares the shares of workspaces while capacity is short
 * @param work the work of requests, by which capacity is shared
 * @param stages chooses models of cascades
 * @param versions chooses versions during a roll-out
 * @param budgets the retry budgets
 * @param deadlines the deadline timers of open requests
 * @param dispatchQueue the queue of requests that have not started
 * @param eventLoopDelay measures the lag of the event loop
 * @param connectTimes measures how long connects take
 * @param timeouts decides which timeouts are evidence about the other side
 * @param relief decides when this instance takes no new connections for a while
 * @param instances the number of instances believed to be alive, including this one
 * @param requestQueue the queue of requests that wait for room at an upstream
 * @param retryAfterJitter computes the retry delays of refused callers
 * @param refusedCallers tells refused callers when to return, and recognizes their retries
 * @param times the measured times of responses
 * @param bodyMemory the memory budget of request and response bodies
 * @param readAhead the responses that callers have not read yet
 * @param logLimit limits the rate of log lines about requests
 * @param errors records the errors that handlers did not expect
 * @param meters the counters
 */
public record GatewayComponents(
    Vertx vertx,
    GatewaySettings settings,
    InstantSource clock,
    DeploymentAdapter adapter,
    HttpClient client,
    GatewayTables tables,
    PrefillEstimates prefillEstimates,
    PrefillBacklog prefillBacklog,
    PrefillWork prefillWork,
    ServiceWorkMeter workMeter,
    EngineReservations reservations,
    ZoneReachability zones,
    ServicePaths paths,
    PeerForwarding forwarding,
    AdvertisedLimits limits,
    AdvertisedLimits brittle,
    UpstreamRateLimits rates,
    CrashGuard crashes,
    UpstreamPacing pacing,
    UpstreamSelection selection,
    WorkspaceShares shares,
    RequestWork work,
    StageRule stages,
    VersionRule versions,
    RetryBudgets budgets,
    DeadlineTimers deadlines,
    DispatchQueue<Exchange> dispatchQueue,
    EventLoopDelay eventLoopDelay,
    ConnectTimes connectTimes,
    TimeoutEvidence timeouts,
    NewConnectionRelief relief,
    IntSupplier instances,
    RequestQueue requestQueue,
    RetryAfterJitter retryAfterJitter,
    RefusedCallers refusedCallers,
    ResponseTimes times,
    BodyMemoryBudget bodyMemory,
    ReadAheadBuffers readAhead,
    LogRateLimit logLimit,
    HandlerErrors errors,
    Meters meters) {
  /** Handles a pause of the process, which its timers may not have counted. */
  public void handleProcessPause() {
    meters.count("pause");
    deadlines.rescheduleAll();
    requestQueue.roomMayBeFree();
  }

  /** Returns whether this instance may send requests to an upstream of the service. */
  public boolean canSendTo(String service) {
    return !paths.isLost(service) && !rates.lacksShareOf(service);
  }

  /**
   * Returns the shortest goal of the routes in force, by which connections are refused; empty if
   * none is to be refused. Refusals keep the wait of requests near half of it, so that the most
   * urgent request can still be served in time, which the newest-first order would delay.
   */
  Optional<Duration> goalToProtect() {
    return goalToProtect(settings, tables);
  }

  private static Optional<Duration> goalToProtect(GatewaySettings settings, GatewayTables tables) {
    Optional<Duration> goal = tables.shortestGoal();
    return settings.loadManagement().connections().isOn(goal.isPresent()) ? goal : Optional.empty();
  }

  /**
   * Returns the delay of this instance up to which it accepts all connections, empty if it always
   * does.
   */
  Optional<Duration> acceptDelayBound() {
    Optional<Duration> goal = tables.shortestGoal();
    return settings.loadManagement().accepting().isOn(goal.isPresent())
        ? Optional.of(ConcurrencyLimit.boundFor(goal.orElse(Duration.ZERO)))
        : Optional.empty();
  }

  /** Returns whether new connections are limited so that requests start within their goals. */
  private static boolean boundsWait(GatewaySettings settings, GatewayTables tables) {
    boolean hasGoal = tables.shortestGoal().isPresent();
    return hasGoal
        && (settings.loadManagement().connections().isOn(true)
            || settings.loadManagement().accepting().isOn(true));
  }

  private static WorkspaceShares shares(
      GatewaySettings settings, GatewayTables tables, ServiceWorkMeter workMeter, Meters meters) {
    return WorkspaceShares.create(
        () ->
            settings
                .loadManagement()
                .shares()
                .isOn(tables.keys().isRequired() && !tables.deferrableRoutes().isEmpty()),
        workMeter::isCapacityShort,
        name -> tables.keys().weightOf(name),
        meters);
  }

  /** Returns the ledger of requests that crashed upstreams, as seen by all instances. */
  public CrashLedger crashLedger() {
    return crashes.ledger();
  }

  /**
   * Creates the components of an instance.
   *
   * @param instances the number of instances believed to be alive, including this one
   */
  public static GatewayComponents create(
      Vertx vertx,
      GatewaySettings settings,
      InstantSource clock,
      DeploymentAdapter adapter,
      GatewayTables tables,
      VersionRule versions,
      PeerForwarding forwarding,
      RateSenders senders,
      IntSupplier instances,
      RandomGenerator random,
      Meters meters) {
    ResponseTimes times = ResponseTimes.create(clock);
    PrefillEstimates prefillEstimates = PrefillEstimates.create();
    PrefillBacklog prefillBacklog = PrefillBacklog.create();
    PrefillWork prefillWork = PrefillWork.create(instances);
    ServiceWorkMeter workMeter =
        ServiceWorkMeter.create(settings.loadManagement(), tables, prefillWork, clock);
    ZoneReachability zones = ZoneReachability.create();
    AdvertisedLimits limits = AdvertisedLimits.create(clock);
    AdvertisedLimits brittle = AdvertisedLimits.ofRejections(clock);
    UpstreamRateLimits rates =
        UpstreamRateLimits.create(
            tables,
            settings.bounds(),
            limits,
            BrittleShares.create(brittle, senders.ofBrittle()),
            senders);
    WorkspaceShares shares = shares(settings, tables, workMeter, meters);
    RequestQueue requestQueue =
        RequestQueue.create(
            vertx,
            clock,
            settings.loadManagement().queue(),
            tables,
            (service, workspace) ->
                shares.isInUse()
                    && workMeter.isCapacityShortAt(service)
                    && shares.isBeyondShare(workspace, clock.instant()));
    UpstreamPacing pacing = UpstreamPacing.create(settings.loadManagement().pace(), tables, meters);
    Executor eventLoop = NextIteration.of(vertx);
    EventLoopDelay eventLoopDelay =
        EventLoopDelay.create(clock, eventLoop, delay -> meters.time("event-loop.delay", delay));
    ConnectTimes connectTimes = ConnectTimes.create(clock);
    TimeoutEvidence timeouts = TimeoutEvidence.create(eventLoopDelay, connectTimes, clock, meters);
    CrashGuard crashes = CrashGuard.create(vertx, clock, meters, tables, timeouts);
    BodyMemoryBudget bodyMemory = BodyMemoryBudget.create();
    LogRateLimit logLimit = LogRateLimit.create(clock, meters);
    return new GatewayComponents(
        vertx,
        settings,
        clock,
        adapter,
        UpstreamConnection.newClient(vertx),
        tables,
        prefillEstimates,
        prefillBacklog,
        prefillWork,
        workMeter,
        EngineReservations.create(
            settings.loadManagement().reservation(), tables, workMeter, clock, meters),
        zones,
        ServicePaths.create(clock, meters, tables::remainingUpstreamsOf),
        forwarding,
        limits,
        brittle,
        rates,
        crashes,
        pacing,
        UpstreamSelection.create(
            settings.zone(),
            tables,
            prefillEstimates,
            prefillBacklog,
            zones,
            rates,
            pacing,
            crashes::runsSuspect,
            random),
        shares,
        RequestWork.create(),
        ExpectedValueRule.create(tables, times, workMeter::escalationDelayWeight),
        versions,
        RetryBudgets.within(settings.bounds(), instances),
        DeadlineTimers.create(vertx, clock),
        DispatchQueue.create(
            clock,
            eventLoop,
            Exchange::sendFirst,
            () ->
                boundsWait(settings, tables)
                    ? Optional.of(requestQueue.startOrderOfBoundedWait())
                    : requestQueue.startOrder()),
        eventLoopDelay,
        connectTimes,
        timeouts,
        NewConnectionRelief.create(),
        instances,
        requestQueue,
        RetryAfterJitter.create(random, instances),
        RefusedCallers.create(
            () -> settings.loadManagement().retries().isOn(!tables.deferrableRoutes().isEmpty()),
            clock,
            random,
            meters),
        times,
        bodyMemory,
        ReadAheadBuffers.create(
            vertx, clock, settings.loadManagement().readers(), bodyMemory, logLimit, meters),
        logLimit,
        HandlerErrors.create(meters),
        meters);
  }
}
